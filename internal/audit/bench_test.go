package audit

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/rs/zerolog"
)

// BenchmarkHeap reports the heap size of a full trail in which each subject has four entries.
func BenchmarkHeap(b *testing.B) {
	for _, limit := range []int{5_000, 20_000, 50_000} {
		b.Run(fmt.Sprintf("entries=%d", limit), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := fullTrail(limit)
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(t)
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(limit), "heap-bytes/entry")
		})
	}
}

// fullTrail returns a trail that has dropped as many entries as it keeps.
func fullTrail(limit int) *Trail {
	t := NewTrail("i-1", fixedClock{}, zerolog.Nop(), limit)
	for i := range 2 * limit {
		t.Record(Entry{
			Subject: fmt.Sprintf("levy-desk/filing-%08d", i/4),
			Event:   "request.answered",
			Actor:   "factory-17",
			Reason:  fmt.Sprintf("target cairo-a-%d-t%d", i%3, i%10),
			Verdict: "ran",
			Worker:  "cairo-a-1-w07",
		})
	}
	return t
}

// BenchmarkRecord measures the recording of one entry in a full trail, without logging.
func BenchmarkRecord(b *testing.B) {
	t := fullTrail(20_000)
	e := Entry{Subject: "levy-desk/filing-1", Event: "request.answered"}
	b.ReportAllocs()
	for b.Loop() {
		t.Record(e)
	}
}
