package batch

import "time"

// stallTimeout is the time without progress after which a task counts as stalled. A step with a
// longer estimate uses its estimate instead.
const stallTimeout = 3500 * time.Millisecond

// stopStalled stops stalled tasks, so that they run elsewhere, and quarantines their workers.
func (s *State) stopStalled(now time.Time) {
	for _, w := range s.workers {
		if w.unreachable {
			continue
		}
		for _, a := range w.attempts {
			if !a.isStalled(now) {
				continue
			}
			w.quarantinedUntil = laterOf(w.quarantinedUntil, now.Add(quarantineTime))
			s.stop(a, "no progress")
		}
	}
}

// isStalled reports whether an attempt that should make progress has not done so for too long.
// Long-running tasks and tasks throttled to 0 need not make progress.
func (a *attempt) isStalled(now time.Time) bool {
	if a.stopping || !a.listed || a.step.spec.LongRunning || a.cpuLimit == 0 {
		return false
	}
	return now.Sub(a.progressAt) > max(stallTimeout, a.step.spec.Estimate)
}
