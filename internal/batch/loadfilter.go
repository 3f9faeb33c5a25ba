package batch

import "time"

// loadFilter estimates the base load of a job's latency-sensitive tasks: their utilisation without
// best-effort tasks on the same worker. All tasks of a job are taken to have the same base load,
// which changes slowly. Measurements of tasks without interference therefore show how much of the
// utilisation of the other tasks is due to interference.
//
// It is a Kalman filter whose state is the load and its slope. advance is the prediction step and
// correct the update step.
type loadFilter struct {
	at    time.Time
	level float64
	slope float64 // per second
	// levelVar, slopeVar and covariance form the covariance matrix of level and slope.
	levelVar, slopeVar, covariance float64
	peak                           float64 // highest level so far
}

const (
	// measurementLag is the mean age of a measured latency when a worker reports it.
	measurementLag = 250 * time.Millisecond
	// slopeNoiseDensity is the spectral density of the process noise of the slope, in 1/s^3.
	slopeNoiseDensity = 0.004
	// utilisationNoise is the standard deviation of a measured utilisation.
	utilisationNoise = 0.03
	// initialLevelVar and initialSlopeVar are the variances after the first measurement.
	initialLevelVar = 0.02
	initialSlopeVar = 0.005
	// maxLoadAge is how long an estimate is used after its last measurement.
	maxLoadAge = 4 * time.Second
	// peakMargin is by how much a prediction may exceed the highest level so far. Predictions up to
	// assumedPeak are allowed in any case.
	peakMargin  = 0.02
	assumedPeak = 0.66
)

// newLoadFilter returns the filter after the first measurement. variance is the variance of level
// that comes from the uncertainty of the interference factor.
func newLoadFilter(level, variance float64, at time.Time) *loadFilter {
	return &loadFilter{at: at, level: level, levelVar: initialLevelVar + variance, slopeVar: initialSlopeVar, peak: level}
}

// advance extrapolates the estimate to a later time.
func (l *loadFilter) advance(at time.Time) {
	dt := at.Sub(l.at).Seconds()
	if dt <= 0 {
		return
	}
	l.at = at
	l.level += l.slope * dt
	l.levelVar += 2*dt*l.covariance + dt*dt*l.slopeVar + slopeNoiseDensity*dt*dt*dt/3
	l.covariance += dt*l.slopeVar + slopeNoiseDensity*dt*dt/2
	l.slopeVar += slopeNoiseDensity * dt
}

// correct updates the estimate by a measured utilisation. innovation is the measured minus the
// predicted utilisation, factor the interference factor that relates load and utilisation, and
// variance the variance of the measurement.
func (l *loadFilter) correct(innovation, factor, variance float64) {
	innovationVar := factor*factor*l.levelVar + variance
	gain, slopeGain := factor*l.levelVar/innovationVar, factor*l.covariance/innovationVar
	l.level = min(max(l.level+gain*innovation, 0), 1)
	l.slope += slopeGain * innovation
	l.slopeVar -= slopeGain * factor * l.covariance
	l.covariance *= 1 - gain*factor
	l.levelVar *= 1 - gain*factor
	l.peak = max(l.peak, l.level)
}

// maxUntil returns the highest load expected up to the given time.
func (l *loadFilter) maxUntil(until time.Time) float64 {
	later := l.level + l.slope*until.Sub(l.at).Seconds()
	return max(l.level, min(later, max(l.peak+peakMargin, assumedPeak)))
}

// reliable reports whether the estimate is recent and its variance below the initial one. It
// accepts a nil filter.
func (l *loadFilter) reliable(now time.Time) bool {
	return l != nil && now.Sub(l.at) < maxLoadAge && l.levelVar < initialLevelVar
}
