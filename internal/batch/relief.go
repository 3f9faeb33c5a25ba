package batch

import "time"

const (
	// paceBackAfter is how long a latency must stay below its target before fillers get
	// their share back.
	paceBackAfter = 1500 * time.Millisecond
	// paceStopped is the share at which a filler no longer disturbs.
	paceStopped = 0
	paceFull    = 100
)

// relieve paces the fillers of a worker on which a task misses its latency target, and
// gives back their share when it is met again.
func (s *State) relieve(w *worker, now time.Time) {
	if w.fillers == 0 || w.serving == 0 {
		s.release(w, now)
		return
	}
	harmed, close := false, false
	for _, a := range w.attempts {
		target := a.step.spec.LatencyTarget
		if target == 0 || !a.listed {
			continue
		}
		tail := time.Duration(a.gauge) * time.Millisecond
		harmed = harmed || tail > target
		close = close || 10*tail > 8*target
	}
	switch {
	case harmed:
		s.paceFillers(w, paceStopped, now)
	case !close:
		s.release(w, now)
	}
}

// release gives the fillers of a worker their share back.
func (s *State) release(w *worker, now time.Time) {
	for _, a := range w.attempts {
		if a.step.spec.Filler && a.paced < paceFull && now.Sub(a.pacedAt) >= paceBackAfter {
			s.pace(a, paceFull, now)
		}
	}
}

func (s *State) paceFillers(w *worker, percent int, now time.Time) {
	for _, a := range w.attempts {
		if a.step.spec.Filler && a.paced != percent {
			s.pace(a, percent, now)
		}
	}
}

func (s *State) pace(a *attempt, percent int, now time.Time) {
	a.paced, a.pacedAt = percent, now
	w := a.worker
	s.actions = append(s.actions, Action{
		Kind: ActionPace, Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born,
		Task: a.id(), Run: a.run, Percent: percent,
	})
}

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
	if a.stopping || !a.listed || a.step.spec.LongRunning || a.step.spec.Filler {
		return false
	}
	return now.Sub(a.progress) > max(stuckTime, 2*a.step.spec.Estimate)
}
