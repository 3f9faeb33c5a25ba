package batch

import "time"

// stuckTime is the least time without progress after which a task counts as stuck.
const stuckTime = 3500 * time.Millisecond

// stuck stops tasks that make no progress, so that they run elsewhere.
func (s *State) stuck(now time.Time) {
	for _, w := range s.workers {
		if w.silent {
			continue
		}
		for _, a := range w.attempts {
			if !a.isStuck(now) {
				continue
			}
			w.shunned = laterOf(w.shunned, now.Add(shunTime))
			s.stop(a, "no progress")
		}
	}
}

func (a *attempt) isStuck(now time.Time) bool {
	if a.stopping || !a.listed || a.step.spec.LongRunning || a.paced == 0 {
		return false
	}
	return now.Sub(a.progress) > max(stuckTime, a.step.spec.Estimate)
}
