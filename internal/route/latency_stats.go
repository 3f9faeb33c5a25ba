package route

import "time"

const (
	// meanSmoothing is the weight of a new value in the exponential moving mean.
	meanSmoothing = 0.05
	// medianStepRatio is the ratio by which a new value moves the estimate of the median up or down.
	medianStepRatio = 0.05
)

// latencyStats estimates the mean and the median of recent durations.
type latencyStats struct {
	mean   time.Duration
	median time.Duration
}

// add updates the estimates with a new value.
func (a *latencyStats) add(d time.Duration) {
	if a.mean == 0 {
		a.mean, a.median = d, d
		return
	}
	a.mean += time.Duration(meanSmoothing * float64(d-a.mean))
	if d > a.median {
		a.median += time.Duration(medianStepRatio * float64(a.median))
	} else {
		a.median -= time.Duration(medianStepRatio * float64(a.median))
	}
	a.median = max(a.median, time.Microsecond)
}
