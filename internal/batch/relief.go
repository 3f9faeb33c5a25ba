package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// settleTime is how long after a change on a worker a measured latency still mixes what
	// was before it.
	settleTime = 700 * time.Millisecond
	// harmedShare is the part of its target at which a latency asks for relief.
	harmedShare = 0.92
	// admitShare is the part of its target that a predicted latency may reach.
	admitShare = 0.7
	// nearlyDone is the percent from which a filler is paced rather than moved.
	nearlyDone = 80
	paceFull   = 100
)

// relieve keeps the tail latencies on a worker below their targets: the fillers that press
// most are moved if they resume from a checkpoint, else paced, and get their share back
// when the prediction allows it.
func (s *State) relieve(w *worker, now time.Time) {
	s.press.learn(w, now)
	if w.fillers == 0 {
		return
	}
	if !w.harmed() {
		w.harmedFrom = time.Time{}
		s.giveBack(w, now)
		return
	}
	again := !w.harmedFrom.IsZero() && now.Sub(w.harmedFrom) > settleTime
	if w.harmedFrom.IsZero() {
		w.harmedFrom = now
	}
	s.pressLess(w, again, now)
}

// harmed reports whether a task on the worker is about to miss its latency target.
func (w *worker) harmed() bool {
	for _, a := range w.attempts {
		target := a.step.spec.LatencyTarget
		if target > 0 && a.listed && float64(a.gauge) > harmedShare*float64(target.Milliseconds()) {
			return true
		}
	}
	return false
}

// pressLess takes fillers away until the prediction allows the rest; all of them if a first
// try did not help.
func (s *State) pressLess(w *worker, all bool, now time.Time) {
	fillers := w.activeFillers()
	slices.SortFunc(fillers, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(s.press.of(b), s.press.of(a)), cmp.Compare(a.step.job.ID, b.step.job.ID), cmp.Compare(a.index, b.index))
	})
	base := s.press.tightest(w)
	total := s.press.total(w)
	for i, a := range fillers {
		if i > 0 && !all && base*(1+total) <= admitShare {
			return
		}
		total -= s.press.of(a)
		s.takeAway(a, now)
	}
}

// activeFillers returns the fillers that work.
func (w *worker) activeFillers() []*attempt {
	var out []*attempt
	for _, a := range w.attempts {
		if a.step.spec.Filler && !a.stopping && a.paced > 0 {
			out = append(out, a)
		}
	}
	return out
}

// takeAway moves a filler that resumes elsewhere, and paces any other one to nothing.
func (s *State) takeAway(a *attempt, now time.Time) {
	if a.step.spec.Checkpoints && a.percent < nearlyDone {
		s.stop(a, "presses a latency target")
	}
	s.pace(a, 0, now)
}

// giveBack lets paced fillers work again as far as the prediction allows.
func (s *State) giveBack(w *worker, now time.Time) {
	base := s.press.tightest(w)
	for _, a := range w.attempts {
		if !a.step.spec.Filler || a.paced == paceFull || a.stopping || now.Sub(a.pacedAt) < settleTime {
			continue
		}
		if base*(1+s.press.total(w)+s.press.would(w, a.step)) <= admitShare {
			s.pace(a, paceFull, now)
		}
	}
}

func (s *State) pace(a *attempt, percent int, now time.Time) {
	a.paced, a.pacedAt = percent, now
	w := a.worker
	s.event(Event{Name: "task.pace", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: w.info.ID, Detail: paceNames[percent > 0]})
	s.actions = append(s.actions, Action{
		Kind: ActionPace, Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born,
		Task: a.id(), Run: a.run, Percent: percent,
	})
}

var paceNames = map[bool]string{true: "latency targets are met", false: "presses a latency target"}
