package bodybudget

import "sync"

// fullSegments are unused segments of maxSegment bytes. They are used again rather than left to the garbage collector,
// which lets garbage grow to the size of all that is in use.
var fullSegments = sync.Pool{New: func() any { return new([maxSegment]byte) }}

// newSegment returns an empty buffer of a capacity of up to maxSegment.
func newSegment(size int) []byte {
	if size < maxSegment {
		return make([]byte, 0, size)
	}
	return fullSegments.Get().(*[maxSegment]byte)[:0]
}

// recycle takes back segments that nobody uses any more.
func recycle(segments [][]byte) {
	for _, s := range segments {
		if cap(s) == maxSegment {
			fullSegments.Put((*[maxSegment]byte)(s[:maxSegment]))
		}
	}
}
