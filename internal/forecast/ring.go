package forecast

import (
	"cmp"
	"math"
	"slices"
)

// ring holds the last values that were added.
type ring[T any] struct {
	values []T
	next   int // index of the oldest value once the ring is full
}

// add adds a value to a ring of at most size values, in place of the oldest one if it is full.
func (r *ring[T]) add(v T, size int) {
	if len(r.values) < size {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % size
}

// quantile returns the least of the values that at least a share of them do not exceed; the zero value if there is none.
func quantile[T cmp.Ordered](values []T, share float64) T {
	return quantileOfSorted(slices.Sorted(slices.Values(values)), share)
}

// quantileOfSorted is quantile for values that are in order.
func quantileOfSorted[T cmp.Ordered](sorted []T, share float64) T {
	if len(sorted) == 0 {
		var zero T
		return zero
	}
	rank := int(math.Ceil(share*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}
