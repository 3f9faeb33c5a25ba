package batch

import "time"

// load follows the own load of a job's tasks with a latency target: the utilisation that they
// would feel without fillers beside them. All tasks of a job share one load, which swings
// slowly, so what tasks without fillers feel tells what the others owe to theirs. It is a
// Kalman filter of the load and its slope.
type load struct {
	at    time.Time
	level float64
	slope float64 // per second
	// The covariances of the two.
	levelVar, slopeVar, both float64
	peak                     float64 // highest level so far
}

const (
	// gaugeLag is how old a measured latency is on average when it is listed.
	gaugeLag = 250 * time.Millisecond
	// loadJerk is the spectral density of the change of a load's slope, in 1/s^3.
	loadJerk = 0.004
	// gaugeNoise is the error of a measured utilisation.
	gaugeNoise = 0.03
	// firstLevelVar and firstSlopeVar are the variances of a load that was measured once.
	firstLevelVar = 0.02
	firstSlopeVar = 0.005
	// loadAge is how long a load is known after its last measurement.
	loadAge = 4 * time.Second
	// peakMargin is how far a prediction may go beyond the highest level so far, and
	// usualPeak the peak that a load is taken to have at least.
	peakMargin = 0.02
	usualPeak  = 0.66
)

// newLoad returns a load that was measured once.
func newLoad(level, variance float64, at time.Time) *load {
	return &load{at: at, level: level, levelVar: firstLevelVar + variance, slopeVar: firstSlopeVar, peak: level}
}

// pass moves the estimate on to a later time.
func (l *load) pass(at time.Time) {
	dt := at.Sub(l.at).Seconds()
	if dt <= 0 {
		return
	}
	l.at = at
	l.level += l.slope * dt
	l.levelVar += 2*dt*l.both + dt*dt*l.slopeVar + loadJerk*dt*dt*dt/3
	l.both += dt*l.slopeVar + loadJerk*dt*dt/2
	l.slopeVar += loadJerk * dt
}

// correct takes in by how much a measured utilisation is above the prediction. It is factor
// times the load, with an error of the given variance.
func (l *load) correct(off, factor, variance float64) {
	spread := factor*factor*l.levelVar + variance
	gain, slopeGain := factor*l.levelVar/spread, factor*l.both/spread
	l.level = min(max(l.level+gain*off, 0), 1)
	l.slope += slopeGain * off
	l.slopeVar -= slopeGain * factor * l.both
	l.both *= 1 - gain*factor
	l.levelVar *= 1 - gain*factor
	l.peak = max(l.peak, l.level)
}

// ahead returns the highest load that is expected until then.
func (l *load) ahead(until time.Time) float64 {
	later := l.level + l.slope*until.Sub(l.at).Seconds()
	return max(l.level, min(later, max(l.peak+peakMargin, usualPeak)))
}

// known reports whether the load was measured lately and well.
func (l *load) known(now time.Time) bool {
	return l != nil && now.Sub(l.at) < loadAge && l.levelVar < firstLevelVar
}
