package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// settleTime is how long after a change on a worker a measured latency still mixes what
	// was before it.
	settleTime = 500 * time.Millisecond
	// reliefUtilisation is the utilisation from which fillers are paced; a latency is at its
	// target at 1 - idleShare.
	reliefUtilisation = 0.80
	// easedUtilisation is the prediction at which pacing ends, and work is given back.
	easedUtilisation = 0.78
	// admitUtilisation is the predicted utilisation up to which fillers are admitted.
	admitUtilisation = 0.75
	// culprit is what a filler must add to the factor on the loads to be paced at first.
	culprit = 0.03
	// patience is how long a missed target is borne for which no filler seems the cause.
	patience = 1500 * time.Millisecond
	// moveAfter is how long a filler stays paced before it moves.
	moveAfter = 450 * time.Millisecond
	// nearlyDone is the percent from which a filler with checkpoints is not moved any more,
	// and hardlyBegun that for one that begins anew.
	nearlyDone  = 85
	hardlyBegun = 30
	paceFull    = 100
)

// relieve keeps the tail latencies on a worker below their targets: fillers that press are
// paced, and moved if they resume from a checkpoint and could not work there soon.
func (s *State) relieve(w *worker, now time.Time) {
	s.press.learn(w, now)
	if w.fillers == 0 {
		return
	}
	missed := slices.DeleteFunc(s.press.feel(w, now), func(f felt) bool { return f.utilisation <= reliefUtilisation })
	if len(missed) == 0 {
		w.harmedFrom = time.Time{}
		s.giveBack(w, now)
		return
	}
	if w.harmedFrom.IsZero() {
		w.harmedFrom = now
	}
	s.pressLess(w, missed, now)
}

// pressLess takes away the fillers that press most on missed targets until the prediction
// allows the rest; after a time, all fillers.
func (s *State) pressLess(w *worker, missed []felt, now time.Time) {
	lasted := now.Sub(w.harmedFrom)
	fillers := w.activeFillers()
	slices.SortStableFunc(fillers, func(a, b *attempt) int {
		return cmp.Compare(s.press.most(w, b.step, missed), s.press.most(w, a.step, missed))
	})
	for _, a := range fillers {
		adds := s.press.most(w, a.step, missed)
		if s.press.eased(missed) || adds < culprit && (lasted < patience || s.press.harmless(w, a.step, missed)) {
			return
		}
		for i := range missed {
			missed[i].now -= s.press.adds(w, a.step, missed[i].image)
		}
		s.pace(a, 0, now)
	}
}

// harmless reports whether a filler is known to add next to nothing to any of the loads.
func (p *pressure) harmless(w *worker, st *step, felts []felt) bool {
	return !slices.ContainsFunc(felts, func(f felt) bool {
		e := p.estimate(ImagePair{st.spec.Image, f.image})
		return (e.mean+math.Sqrt(e.variance))*share(w, st) > culprit
	})
}

// eased reports whether the prediction for all missed targets is good without what was
// taken away.
func (p *pressure) eased(missed []felt) bool {
	return !slices.ContainsFunc(missed, func(f felt) bool {
		return f.utilisation/f.seen*f.now > easedUtilisation
	})
}

// movePaced stops fillers that stay paced where they are and can work elsewhere now.
func (s *State) movePaced(now time.Time) {
	workers := s.usable(now)
	var refused refusals
	for _, w := range workers {
		for _, a := range w.fillersWhere(func(a *attempt) bool { return a.paced == 0 && now.Sub(a.pacedAt) > moveAfter }) {
			if a.percent >= a.keepFrom() || refused.cover(a.step) {
				continue
			}
			to := s.choose(a.step, a.task(), workers, now)
			if to == nil {
				refused.add(a.step)
				continue
			}
			if to != w {
				s.stop(a, "can work elsewhere")
				// The room that it will take is counted until the next search.
				to.used.MemoryMB += a.reserved.MemoryMB
				defer func() { to.used.MemoryMB -= a.reserved.MemoryMB }()
			}
		}
	}
}

// keepFrom returns the percent from which a paced filler is better kept than moved.
func (a *attempt) keepFrom() int {
	if a.step.spec.Checkpoints {
		return nearlyDone
	}
	return hardlyBegun
}

// activeFillers returns the fillers that work, in a fixed order.
func (w *worker) activeFillers() []*attempt {
	return w.fillersWhere(func(a *attempt) bool { return a.paced > 0 })
}

func (w *worker) fillersWhere(ok func(*attempt) bool) []*attempt {
	var out []*attempt
	for _, a := range w.attempts {
		if a.step.spec.Filler && !a.stopping && ok(a) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(b.percent, a.percent), cmp.Compare(a.step.job.ID, b.step.job.ID),
			cmp.Compare(a.step.number, b.step.number), cmp.Compare(a.index, b.index))
	})
	return out
}

// giveBack lets paced fillers work again as far as the prediction allows, those closest to
// their end first. A paced filler that presses too much for a usual load moves.
func (s *State) giveBack(w *worker, now time.Time) {
	paced := w.fillersWhere(func(a *attempt) bool { return a.paced < paceFull && now.Sub(a.pacedAt) >= settleTime })
	for _, a := range paced {
		if s.press.worst(w, a.step, s.press.feel(w, now)) <= easedUtilisation {
			s.pace(a, paceFull, now)
		}
	}
}

func (s *State) pace(a *attempt, percent int, now time.Time) {
	w := a.worker
	w.fillCPU -= a.workCPU()
	a.paced, a.pacedAt, a.progress = percent, now, now
	w.fillCPU += a.workCPU()
	w.feltAt = time.Time{}
	s.event(Event{Name: "task.pace", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: w.info.ID, Detail: paceNames[percent > 0]})
	s.actions = append(s.actions, Action{
		Kind: ActionPace, Worker: w.info.ID, Address: w.info.Address, Born: w.info.Born,
		Task: a.id(), Run: a.run, Percent: percent,
	})
}

var paceNames = map[bool]string{true: "latency targets are met", false: "presses a latency target"}
