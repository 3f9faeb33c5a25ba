package batch

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// settleTime is how long after a change on a worker a measured latency still mixes what
	// was before it.
	settleTime = 500 * time.Millisecond
	// targetUtilisation is the utilisation at which a latency is at its target.
	targetUtilisation = 1 - idleShare
	// reliefUtilisation is the prediction above which fillers are paced down to it, and
	// easedUtilisation the one up to which they get more.
	reliefUtilisation = 0.80
	easedUtilisation  = 0.78
	// admitUtilisation is the predicted utilisation up to which fillers are admitted.
	admitUtilisation = 0.78
	// paceStep is the percent by which paces differ at least, and leastPace the least pace above 0.
	paceStep  = 20
	leastPace = 20
	// patience is how long a missed target is borne for which no filler seems the cause.
	patience = 1500 * time.Millisecond
	// moveAfter is how long a filler stays paced before it moves, and slowPace the pace up to
	// which it does.
	moveAfter = 450 * time.Millisecond
	slowPace  = 40
	// nearlyDone is the percent from which a filler with checkpoints is not moved any more,
	// and hardlyBegun that for one that begins anew.
	nearlyDone  = 85
	hardlyBegun = 30
	paceFull    = 100
)

// relieve keeps the tail latencies on a worker below their targets: fillers that press get
// the pace that the prediction allows.
func (s *State) relieve(w *worker, now time.Time) {
	s.press.learn(w, now)
	if w.fillers == 0 {
		return
	}
	felts := s.press.feel(w, now)
	if !slices.ContainsFunc(felts, func(f felt) bool { return f.utilisation > targetUtilisation }) {
		w.harmedFrom = time.Time{}
	} else if w.harmedFrom.IsZero() {
		w.harmedFrom = now
	}
	s.allot(w, felts, now)
}

// allot gives each filler on a worker its pace: those closest to their end first, each as
// much as the latency targets beside it allow.
func (s *State) allot(w *worker, felts []felt, now time.Time) {
	doubts := !w.harmedFrom.IsZero() && now.Sub(w.harmedFrom) > patience
	relief, eased := budgetsOf(felts, reliefUtilisation), budgetsOf(felts, easedUtilisation)
	for _, a := range w.fillersWhere(func(*attempt) bool { return true }) {
		adds := make([]float64, len(felts))
		for i, f := range felts {
			adds[i] = s.press.presses(w, a.step, f.image, doubts)
		}
		pace := a.paced
		if most := relief.pace(adds); most < pace {
			pace = most
		} else if more := eased.pace(adds); more >= pace+paceStep && now.Sub(a.pacedAt) >= settleTime {
			pace = more
		}
		relief.spend(adds, pace)
		eased.spend(adds, pace)
		if pace != a.paced || a.paceLost {
			s.pace(a, pace, now)
		}
	}
}

// budgets are what fillers may add to the factor on the load of each job on a worker.
type budgets []float64

func budgetsOf(felts []felt, utilisation float64) budgets {
	out := make(budgets, len(felts))
	for i, f := range felts {
		out[i] = utilisation/max(f.own, minLoad) - 1
	}
	return out
}

// pace returns the percent at which a filler stays within the budgets, in whole steps.
func (b budgets) pace(adds []float64) int {
	pace := paceFull
	for i, x := range adds {
		if x > 0 {
			pace = min(pace, int(paceFull*max(0, b[i])/x))
		}
	}
	if pace < leastPace {
		return 0
	}
	return pace / paceStep * paceStep
}

func (b budgets) spend(adds []float64, pace int) {
	for i, x := range adds {
		b[i] -= x * float64(pace) / paceFull
	}
}

// movePaced stops fillers that stay paced where they are and can work elsewhere now.
func (s *State) movePaced(now time.Time) {
	workers := s.usable(now)
	var refused refusals
	for _, w := range workers {
		for _, a := range w.fillersWhere(func(a *attempt) bool { return a.paced <= slowPace && now.Sub(a.pacedAt) > moveAfter }) {
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

func (w *worker) fillersWhere(ok func(*attempt) bool) []*attempt {
	var out []*attempt
	for _, a := range w.attempts {
		if a.step.spec.BestEffort && !a.stopping && ok(a) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(b.percent, a.percent), cmp.Compare(a.step.job.ID, b.step.job.ID),
			cmp.Compare(a.step.number, b.step.number), cmp.Compare(a.index, b.index))
	})
	return out
}

// pace orders that a filler works at a percent of its processors.
func (s *State) pace(a *attempt, percent int, now time.Time) {
	w := a.worker
	w.fillCPU -= a.workCPU()
	if percent != a.paced {
		a.pacedBefore, a.paced, a.pacedAt = a.paced, percent, now
	}
	a.progress, a.paceLost = now, false
	w.fillCPU += a.workCPU()
	w.feltAt = time.Time{}
	s.event(Event{Name: "task.pace", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: w.info.ID, Detail: fmt.Sprintf("%d %% fit the latency targets", percent)})
	s.actions = append(s.actions, Action{
		Kind: ActionThrottle, Worker: w.info.ID, Address: w.info.Address, Incarnation: w.info.Incarnation,
		Task: a.id(), Run: a.run, Percent: percent,
	})
}

// ThrottleAnswered takes in the answer to a throttle; one that may not have arrived is sent again.
func (s *State) ThrottleAnswered(id WorkerID, task TaskID, run int64, answer Answer) {
	w := s.workers[id]
	if w == nil || answer != AnswerNone && answer != AnswerRefused {
		return
	}
	if a := w.attempts[attemptKey{task, run}]; a != nil {
		a.paceLost = true
	}
}

// recentPace returns the mean percent at which a filler worked while the listed latencies were measured.
func (a *attempt) recentPace(now time.Time) float64 {
	if started := now.Sub(a.ordered); started < settleTime {
		return float64(a.paced) * max(0, started.Seconds()) / settleTime.Seconds()
	}
	if paced := now.Sub(a.pacedAt); paced < settleTime {
		part := max(0, paced.Seconds()) / settleTime.Seconds()
		return part*float64(a.paced) + (1-part)*float64(a.pacedBefore)
	}
	return float64(a.paced)
}
