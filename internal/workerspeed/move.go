package workerspeed

import "time"

const (
	// moveOverhead is the time from the decision to stop a run until the next one works elsewhere.
	moveOverhead = 400 * time.Millisecond
	// minGain is the time that a move must save.
	minGain     = 500 * time.Millisecond
	fullPercent = 100
)

// Run is a run of a task on a slow worker.
type Run struct {
	Percent int // its progress
	Rate    Rate
	// Typical is the rate of its peers in percent a second.
	Typical float64
	// SavedAtStop is set if a stop saves the progress.
	SavedAtStop bool
}

// Move reports whether the task is done so much sooner elsewhere that it makes up for the work that is thrown away.
func Move(r Run) bool {
	left, lost := float64(fullPercent-r.Percent), 0.0
	if !r.SavedAtStop {
		lost = float64(r.Percent)
	}
	elsewhere := (left+lost)/r.Typical + moveOverhead.Seconds()
	present := r.Rate.present(r.Typical)
	if present <= 0 {
		return true
	}
	return left/present-elsewhere > max(minGain.Seconds(), lost/r.Typical)
}
