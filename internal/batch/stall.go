package batch

import "time"

// stallTimeout is the time without progress after which a task counts as stalled. A step with a
// longer estimate uses its estimate instead.
const stallTimeout = 3500 * time.Millisecond

// pauseThreshold is the time between two checks from which the owner itself counts as paused.
const pauseThreshold = time.Second

// excusePause restarts the measurement of progress if the owner was paused since the last check: its
// picture of all tasks is as old as the pause.
func (s *State) excusePause(now time.Time) {
	if s.lastCheck.IsZero() || now.Sub(s.lastCheck) < pauseThreshold {
		return
	}
	for _, w := range s.workers {
		w.excuseSilence(now)
	}
}

// excuseSilence restarts the measurement of the progress of all tasks on a worker of which nothing was
// heard for a while.
func (w *worker) excuseSilence(now time.Time) {
	for _, a := range w.attempts {
		a.progressAt = now
		a.progress.Reset()
	}
}

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
			w.quarantine(now, quarantineTime, quarantineTime)
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
