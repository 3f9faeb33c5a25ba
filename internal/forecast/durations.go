package forecast

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// durationSamples is the number of durations that are kept for each kind of task.
	durationSamples = 32
	// minDurations is the number of durations from which on they are trusted.
	minDurations = 5
	// maxKinds bounds the kinds of tasks that are kept.
	maxKinds = 4096
)

// Kind identifies tasks that are expected to take about the same time.
type Kind struct {
	Queue string
	Image string
	// Size is the size class of the task, see SizeClass.
	Size int
}

// SizeClass returns the class of a task by its CPU in thousandths of a core and its estimated duration. Each class is twice as
// wide as the one below it.
func SizeClass(cpu int64, estimate time.Duration) int {
	const widest = 64
	return bits.Len64(uint64(max(0, cpu)))*widest + bits.Len64(uint64(max(0, estimate.Milliseconds())))
}

// Durations learns how long tasks of each kind run.
type Durations struct {
	kinds map[Kind]*History
}

// NewDurations returns durations that have seen nothing.
func NewDurations() *Durations { return &Durations{kinds: map[Kind]*History{}} }

// Of returns the history of a kind, which the caller may keep. Kinds beyond maxKinds share one that learns nothing.
func (d *Durations) Of(k Kind) *History {
	if h := d.kinds[k]; h != nil {
		return h
	}
	if len(d.kinds) >= maxKinds {
		return unlearned
	}
	h := &History{}
	d.kinds[k] = h
	return h
}

// unlearned is the history of kinds that are not kept.
var unlearned = &History{closed: true}

// History holds the last durations of one kind of task.
type History struct {
	samples ring[time.Duration]
	// sorted holds the samples in order; it is empty if they have changed since.
	sorted []time.Duration
	// closed is set if the history takes no durations.
	closed bool
}

// Observe adds the duration of a task that has run from its beginning to its end.
func (h *History) Observe(duration time.Duration) {
	if h.closed {
		return
	}
	h.samples.add(duration, durationSamples)
	h.sorted = h.sorted[:0]
}

// Quantile returns the duration that a share of the tasks do not exceed. It returns false if too few were seen.
func (h *History) Quantile(share float64) (time.Duration, bool) {
	if len(h.samples.values) < minDurations {
		return 0, false
	}
	if len(h.sorted) == 0 {
		h.sorted = append(h.sorted, h.samples.values...)
		slices.Sort(h.sorted)
	}
	return quantileOfSorted(h.sorted, share), true
}
