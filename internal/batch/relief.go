package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// settleTime is how long after a change on a worker a measured latency still mixes what
	// was before it.
	settleTime = 600 * time.Millisecond
	// reliefUtilisation is the utilisation from which fillers are paced; a latency is at its
	// target at 1 - idleShare.
	reliefUtilisation = 0.8
	// admitUtilisation is the predicted utilisation up to which fillers are admitted.
	admitUtilisation = 0.78
	// patience is how long a missed target is borne if relief would cost too much.
	patience = 1200 * time.Millisecond
	// fillersPerTarget is the number of fillers that a missed target is worth.
	fillersPerTarget = 2
	// moveAfter is how long a filler stays paced before it is moved.
	moveAfter = 2500 * time.Millisecond
	// nearlyDone is the percent from which a filler is not moved any more.
	nearlyDone = 80
	paceFull   = 100
)

// relieve keeps the tail latencies on a worker below their targets: the fillers that press
// most are paced, and get their share back when the prediction allows it. Those that stay
// paced move if they resume from a checkpoint.
func (s *State) relieve(w *worker, now time.Time) {
	s.press.learn(w, now)
	if w.fillers == 0 {
		return
	}
	w.tightest = w.tightestNow()
	if w.tightest <= reliefUtilisation {
		w.harmedFrom = time.Time{}
		s.giveBack(w, now)
		return
	}
	if w.harmedFrom.IsZero() {
		w.harmedFrom = now
	}
	s.pressLess(w, now)
	s.movePaced(w, now)
}

// pressLess paces the fillers that press most until the prediction allows the rest. If that
// would cost more work than the targets are worth, it waits for the latency to fall by
// itself, for a time.
func (s *State) pressLess(w *worker, now time.Time) {
	lasted := now.Sub(w.harmedFrom)
	fillers := w.activeFillers()
	slices.SortFunc(fillers, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(s.press.of(b), s.press.of(a)), cmp.Compare(a.step.job.ID, b.step.job.ID), cmp.Compare(a.index, b.index))
	})
	predicted := w.tightest
	n := 0
	for n < len(fillers) && predicted > admitUtilisation {
		predicted -= s.press.of(fillers[n])
		n++
	}
	if lasted < patience && n > fillersPerTarget*w.missed() {
		return
	}
	if lasted > 2*patience {
		n = len(fillers)
	}
	for _, a := range fillers[:n] {
		s.pace(a, 0, now)
	}
}

// missed counts the tasks on the worker that feel more than the relief utilisation.
func (w *worker) missed() int {
	n := 0
	for _, a := range w.attempts {
		if a.step.spec.LatencyTarget > 0 && a.listed && a.utilisation() > reliefUtilisation {
			n++
		}
	}
	return n
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

// movePaced stops fillers that have been paced for long and resume elsewhere.
func (s *State) movePaced(w *worker, now time.Time) {
	for _, a := range w.attempts {
		if a.step.spec.Filler && a.step.spec.Checkpoints && a.paced == 0 && a.percent < nearlyDone && now.Sub(a.pacedAt) > moveAfter {
			s.stop(a, "presses a latency target")
		}
	}
}

// giveBack lets paced fillers work again as far as the prediction allows, those closest to
// their end first.
func (s *State) giveBack(w *worker, now time.Time) {
	var paced []*attempt
	for _, a := range w.attempts {
		if a.step.spec.Filler && a.paced < paceFull && !a.stopping && now.Sub(a.pacedAt) >= settleTime {
			paced = append(paced, a)
		}
	}
	slices.SortFunc(paced, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(b.percent, a.percent), cmp.Compare(a.step.job.ID, b.step.job.ID), cmp.Compare(a.index, b.index))
	})
	predicted := w.tightest
	for _, a := range paced {
		predicted += s.press.would(w, a.step)
		if w.serving > 0 && predicted > admitUtilisation {
			return
		}
		s.pace(a, paceFull, now)
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
