package route

import "time"

const (
	// meanWeight is the weight of a new value in the moving mean.
	meanWeight = 0.05
	// medianStep is the relative step by which the median follows new values.
	medianStep = 0.05
)

// average follows the mean and the median of durations.
type average struct {
	mean   time.Duration
	median time.Duration
}

// add takes a new value.
func (a *average) add(d time.Duration) {
	if a.mean == 0 {
		a.mean, a.median = d, d
		return
	}
	a.mean += time.Duration(meanWeight * float64(d-a.mean))
	if d > a.median {
		a.median += time.Duration(medianStep * float64(a.median))
	} else {
		a.median -= time.Duration(medianStep * float64(a.median))
	}
	a.median = max(a.median, time.Microsecond)
}
