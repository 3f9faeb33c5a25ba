package admission

import (
	"slices"
	"time"
)

const (
	// SampleInterval is the time between two samples of the lag.
	SampleInterval = 20 * time.Millisecond
	// sampleWindow is how long a sample counts, and adjustInterval the time between two changes of the rate.
	sampleWindow   = 400 * time.Millisecond
	adjustInterval = 200 * time.Millisecond
	// maxStandingLag is the lag that half of the samples may exceed. A single long turn of work makes some samples late; a
	// queue that never becomes empty makes all of them late.
	maxStandingLag = 10 * time.Millisecond
	// rateDecrease is the factor of the rate that is left after a standing lag, and rateIncrease the factor without one.
	rateDecrease = 0.8
	rateIncrease = 1.05
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
	adjustedAt       time.Time
	// granted are the requests since then, and answered the answers.
	granted, answered int
}

func newAdaptiveRate(initial float64) adaptiveRate {
	return adaptiveRate{current: initial, initial: initial}
}

// observe adds a sample of the lag, and adjusts the rate every adjustInterval. A process that runs late takes few samples, so
// it is not their number that counts.
func (r *adaptiveRate) observe(lag time.Duration, now time.Time) {
	r.samples = append(r.samples, sample{now, lag})
	old := slices.IndexFunc(r.samples, func(s sample) bool { return now.Sub(s.at) < sampleWindow })
	r.samples = slices.Delete(r.samples, 0, old)
	if r.adjustedAt.IsZero() {
		r.adjustedAt = now
	}
	if now.Sub(r.adjustedAt) < adjustInterval {
		return
	}
	r.adjust(now)
	r.granted, r.answered, r.adjustedAt = 0, 0, now
}

// adjust changes the rate by the last samples. It rises as far as answers came, and to the initial rate in any case, and falls
// from what was granted, which may be less than it allowed.
func (r *adaptiveRate) adjust(now time.Time) {
	elapsed := now.Sub(r.adjustedAt).Seconds()
	if r.medianLag() <= maxStandingLag {
		most := max(r.initial, float64(r.answered)/elapsed/answeredShare)
		r.current = max(r.current, min(rateIncrease*r.current, most))
		return
	}
	used := min(r.current, float64(r.granted)/elapsed)
	r.current = max(minRateShare*r.initial, rateDecrease*used)
	r.samples = r.samples[:0] // the next change waits for samples that show the effect of this one
}

// medianLag returns the lag that half of the samples exceed; 0 if there are none.
func (r *adaptiveRate) medianLag() time.Duration {
	if len(r.samples) == 0 {
		return 0
	}
	lags := make([]time.Duration, len(r.samples))
	for i, s := range r.samples {
		lags[i] = s.lag
	}
	slices.Sort(lags)
	return lags[len(lags)/2]
}
