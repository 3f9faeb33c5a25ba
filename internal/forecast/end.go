package forecast

import "time"

// minProgress is the progress in percent from which on it tells more of a task's duration than those of other tasks do.
const minProgress = 20

// complete is the progress in percent of a task that is done.
const complete = 100

// Run is what is known of a task that runs.
type Run struct {
	// Started is when it began, and Seen when Percent was last read.
	Started, Seen time.Time
	// FirstPercent is the progress with which it began, which is above 0 if it resumed from a checkpoint, and Percent that of now.
	FirstPercent, Percent int
	// Expected is how long such tasks run from their beginning to their end; 0 if that is not known.
	Expected time.Duration
}

// End returns when the task is expected to end, and whether anything tells. The end of a task that runs for longer than expected
// is as far ahead as its beginning is behind.
func (r Run) End(now time.Time) (time.Time, bool) {
	elapsed := r.Seen.Sub(r.Started)
	if made := r.Percent - r.FirstPercent; made >= minProgress && elapsed > 0 {
		left := elapsed * time.Duration(max(0, complete-r.Percent)) / time.Duration(made)
		return latest(now, r.Seen.Add(left)), true
	}
	if r.Expected <= 0 {
		return time.Time{}, false
	}
	whole := r.Expected * time.Duration(max(0, complete-r.FirstPercent)) / complete
	if end := r.Started.Add(whole); end.After(now) {
		return end, true
	}
	return now.Add(now.Sub(r.Started)), true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
