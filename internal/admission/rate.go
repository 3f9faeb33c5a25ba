package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// SampleInterval is the time between two samples of the lag.
	SampleInterval = 20 * time.Millisecond
	// sampleWindow is how long a sample counts, and adjustInterval the time between two changes of the rate.
	sampleWindow   = 400 * time.Millisecond
	adjustInterval = 200 * time.Millisecond
	// maxStandingLag is the lag that all samples may reach. Long turns of work make some samples late; a queue that never becomes
	// empty makes all of them late.
	maxStandingLag = 10 * time.Millisecond
	// rateDecrease is the factor of the rate that is left of it after adjustInterval with a standing lag, and rateIncrease the factor
	// without one. They are of one size: a rate that falls faster than it returns settles where the processor is hardly used, as
	// work comes in bursts.
	rateDecrease = 0.9
	rateIncrease = 1.1
	// idleRateIncrease replaces rateIncrease up to the initial rate if no sample is late: the processor has time again, as after a
	// while in which it was slow.
	idleRateIncrease = 1.5
	// answeredShare is the part of the rate that must have been answered for it to rise above the initial one: only the work that
	// follows from answers shows what the process can do.
	answeredShare = 0.8
	// minRateShare is the smallest rate as a part of the initial one.
	minRateShare = 1.0 / 16
)

// sample is a measurement of the lag.
type sample struct {
	at  time.Time
	lag time.Duration
}

// adaptiveRate is a rate of requests that falls while the process runs late, and rises while it does not. It has no upper
// bound: what a request costs is not known, so only the lag tells when there are too many.
type adaptiveRate struct {
	current, initial float64 // requests a second
	samples          []sample
	observedAt       time.Time // when the last sample was taken
	adjustedAt       time.Time
	answered         int // the answers since then
}

func newAdaptiveRate(initial float64) adaptiveRate {
	return adaptiveRate{current: initial, initial: initial}
}

// observe adds a sample of the lag, and adjusts the rate every adjustInterval. A process that runs late takes few samples, so
// it is not their number that counts.
func (r *adaptiveRate) observe(lag time.Duration, now time.Time) {
	r.samples, r.observedAt = append(r.samples, sample{now, lag}), now
	old := slices.IndexFunc(r.samples, func(s sample) bool { return now.Sub(s.at) < sampleWindow })
	r.samples = slices.Delete(r.samples, 0, old)
	if r.adjustedAt.IsZero() {
		r.adjustedAt = now
	}
	if now.Sub(r.adjustedAt) < adjustInterval {
		return
	}
	r.adjust(now)
	r.answered, r.adjustedAt = 0, now
}

// adjust changes the rate by the last samples. It rises as far as answers came, and to the initial rate in any case. What was granted
// does not bound it: nothing is granted during a long turn of work, after which the processor has time for as much as before.
func (r *adaptiveRate) adjust(now time.Time) {
	elapsed := now.Sub(r.adjustedAt).Seconds()
	if r.standingLag() <= maxStandingLag {
		most := max(r.initial, float64(r.answered)/elapsed/answeredShare)
		r.current = max(r.current, min(r.risen(), most))
		return
	}
	r.current = max(minRateShare*r.initial, r.current*math.Pow(rateDecrease, elapsed/adjustInterval.Seconds()))
	r.samples = r.samples[:0] // the next change waits for samples that show the effect of this one
}

// risen returns the rate after a rise.
func (r *adaptiveRate) risen() float64 {
	if slices.ContainsFunc(r.samples, func(s sample) bool { return s.lag > maxStandingLag }) {
		return rateIncrease * r.current
	}
	return max(rateIncrease*r.current, min(idleRateIncrease*r.current, r.initial))
}

// standingLag returns the lag that all samples reach; 0 if there are none.
func (r *adaptiveRate) standingLag() time.Duration {
	if len(r.samples) == 0 {
		return 0
	}
	return slices.MinFunc(r.samples, func(a, b sample) int { return cmp.Compare(a.lag, b.lag) }).lag
}

// isLate reports whether the next sample is overdue, so that the process runs late now.
func (r *adaptiveRate) isLate(now time.Time) bool {
	return !r.observedAt.IsZero() && now.Sub(r.observedAt) > SampleInterval+maxStandingLag
}
