package forecast

import (
	"math/bits"
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
	kinds map[Kind]*ring[time.Duration]
}

// NewDurations returns durations that have seen nothing.
func NewDurations() *Durations { return &Durations{kinds: map[Kind]*ring[time.Duration]{}} }

// Observe adds the duration of a task that has run from its beginning to its end. New kinds beyond maxKinds are ignored.
func (d *Durations) Observe(k Kind, duration time.Duration) {
	r := d.kinds[k]
	if r == nil {
		if len(d.kinds) >= maxKinds {
			return
		}
		r = &ring[time.Duration]{}
		d.kinds[k] = r
	}
	r.add(duration, durationSamples)
}

// Quantile returns the duration that a share of the tasks of a kind do not exceed. It returns false if too few were seen.
func (d *Durations) Quantile(k Kind, share float64) (time.Duration, bool) {
	r := d.kinds[k]
	if r == nil || len(r.values) < minDurations {
		return 0, false
	}
	return quantile(r.values, share), true
}
