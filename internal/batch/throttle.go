package batch

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// stabilisationTime is how long after a change on a worker the measured latencies are still
	// affected by the state before it.
	stabilisationTime = 500 * time.Millisecond
	// targetUtilisation is the utilisation at which a latency equals its target.
	targetUtilisation = 1 - idleLatencyShare
	// throttleUtilisation is the predicted utilisation above which the CPU limits of best-effort
	// tasks are lowered, and raiseUtilisation the one up to which they are raised.
	throttleUtilisation = 0.80
	raiseUtilisation    = 0.78
	// admitUtilisation is the predicted utilisation up to which a worker admits best-effort tasks.
	admitUtilisation = 0.78
	// cpuLimitStep is the granularity of CPU limits, and minCPULimit the lowest limit above 0, both
	// in percent.
	cpuLimitStep = 20
	minCPULimit  = 20
	// pessimisticAfter is how long a latency target may be missed before best-effort tasks are
	// throttled by pessimistic weights: the estimated weights may be too low to explain the miss.
	pessimisticAfter = 1500 * time.Millisecond
	// moveDelay is how long a best-effort task must have had a CPU limit of at most moveCPULimit
	// percent before it is stopped so that it can start on another worker.
	moveDelay    = 450 * time.Millisecond
	moveCPULimit = 40
	// keepPercentCheckpoints is the progress in percent from which a throttled task with checkpoints
	// is not stopped for a move any more, and keepPercentRestarts that for a task which would restart
	// from 0.
	keepPercentCheckpoints = 85
	keepPercentRestarts    = 30
	// fullPercent is the CPU limit of a task that is not throttled, and the progress of a complete
	// task.
	fullPercent = 100
)

// enforceLatencyTargets keeps the tail latencies on a worker below their targets by limiting the
// CPU of the best-effort tasks there. It is called after each report of the worker.
func (s *State) enforceLatencyTargets(w *worker, now time.Time) {
	s.interferenceModel.learn(w, now)
	if w.bestEffort == 0 {
		return
	}
	groups := s.interferenceModel.latencyGroups(w, now)
	if !slices.ContainsFunc(groups, func(g latencyGroup) bool { return g.utilisation > targetUtilisation }) {
		w.targetMissedSince = time.Time{}
	} else if w.targetMissedSince.IsZero() {
		w.targetMissedSince = now
	}
	s.setCPULimits(w, groups, now)
}

// setCPULimits sets the CPU limit of each best-effort task on a worker. Tasks closest to completion
// come first; each gets the highest limit that the latency targets allow after those before it.
func (s *State) setCPULimits(w *worker, groups []latencyGroup, now time.Time) {
	pessimistic := !w.targetMissedSince.IsZero() && now.Sub(w.targetMissedSince) > pessimisticAfter
	throttleBudgets, raiseBudgets := newFactorBudgets(groups, throttleUtilisation), newFactorBudgets(groups, raiseUtilisation)
	for _, a := range w.bestEffortWhere(func(*attempt) bool { return true }) {
		a.forgetLateThrottles(now)
		added := make([]float64, len(groups))
		for i, g := range groups {
			added[i] = s.interferenceModel.addedFactorWith(w, a.step, g.image, pessimistic)
		}
		limit := a.cpuLimit
		if len(w.deferred) > 0 {
			limit = 0 // it shows soon whether the latencies are due to the best-effort tasks
		} else if lowered := throttleBudgets.maxCPULimit(added); lowered < limit {
			limit = lowered
		} else if raised := raiseBudgets.maxCPULimit(added); raised >= limit+cpuLimitStep && now.Sub(a.cpuLimitAt) >= stabilisationTime {
			limit = raised
		}
		throttleBudgets.spend(added, limit)
		raiseBudgets.spend(added, limit)
		if limit != a.cpuLimit || a.throttleUnconfirmed || a.mayBeUndone(now) {
			s.throttle(a, limit, now)
		}
	}
}

// factorBudgets holds, for each latency group of a worker, by how much best-effort tasks may still
// raise its interference factor.
type factorBudgets []float64

// newFactorBudgets returns the budgets that keep each group at the given utilisation at most.
func newFactorBudgets(groups []latencyGroup, utilisation float64) factorBudgets {
	out := make(factorBudgets, len(groups))
	for i, g := range groups {
		out[i] = utilisation/max(g.predictedBaseLoad, minBaseLoad) - 1
	}
	return out
}

// maxCPULimit returns the highest CPU limit, in percent and a multiple of cpuLimitStep, at which a
// task stays within the budgets. added is by how much the task raises the factor of each group
// without a limit.
func (b factorBudgets) maxCPULimit(added []float64) int {
	limit := fullPercent
	for i, x := range added {
		if x > 0 {
			limit = min(limit, int(fullPercent*max(0, b[i])/x))
		}
	}
	if limit < minCPULimit {
		return 0
	}
	return limit / cpuLimitStep * cpuLimitStep
}

// spend subtracts what a task uses of the budgets at a CPU limit.
func (b factorBudgets) spend(added []float64, limit int) {
	for i, x := range added {
		b[i] -= x * float64(limit) / fullPercent
	}
}

// stopThrottled stops best-effort tasks that have been throttled for moveDelay if another worker
// would be chosen for them now. Their next start is placed like that of any waiting task.
func (s *State) stopThrottled(now time.Time) {
	workers := s.usable(now)
	var unplaced unplacedSteps
	for _, w := range workers {
		for _, a := range w.bestEffortWhere(func(a *attempt) bool { return a.cpuLimit <= moveCPULimit && now.Sub(a.cpuLimitAt) > moveDelay }) {
			if a.percent >= a.minPercentToKeep() || unplaced.covers(a.step) {
				continue
			}
			to := s.choose(a.step, a.task(), workers, now)
			if to == nil {
				unplaced.add(a.step)
				continue
			}
			if to != w {
				s.stop(a, "can work elsewhere")
				// The task's memory counts as used on the new worker until this search ends, so
				// that the search does not move more tasks there than fit.
				to.used.MemoryMB += a.reserved.MemoryMB
				defer func() { to.used.MemoryMB -= a.reserved.MemoryMB }()
			}
		}
	}
}

// minPercentToKeep returns the progress in percent from which a throttled task is not
// stopped for a move.
func (a *attempt) minPercentToKeep() int {
	if a.step.spec.Checkpoints {
		return keepPercentCheckpoints
	}
	return keepPercentRestarts
}

// bestEffortWhere returns the best-effort attempts on a worker for which ok returns true, except
// those being stopped. The ones closest to completion come first; the other terms only make the order
// reproducible.
func (w *worker) bestEffortWhere(ok func(*attempt) bool) []*attempt {
	var out []*attempt
	for _, a := range w.attempts {
		if a.step.spec.BestEffort && !a.stopping && ok(a) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(b.percent, a.percent), a.compare(b))
	})
	return out
}

// throttle sets the CPU limit of a best-effort task and requests its worker to apply it.
func (s *State) throttle(a *attempt, percent int, now time.Time) {
	w := a.worker
	w.bestEffortCPU -= a.limitedCPU()
	if percent != a.cpuLimit {
		if a.throttlePending {
			a.noteLateThrottle() // its outcome is not reported any more
		}
		a.previousCPULimit, a.cpuLimit, a.cpuLimitAt = a.cpuLimit, percent, now
	}
	a.progressAt, a.throttleUnconfirmed, a.throttleSent, a.throttlePending = now, false, now, true
	w.bestEffortCPU += a.limitedCPU()
	w.latencyGroupsAt = time.Time{}
	// The log calls the setting of a CPU limit task.pace.
	s.event(Event{Name: "task.pace", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: w.info.ID, Detail: fmt.Sprintf("CPU limited to %d %% by latency targets", percent)})
	s.actions = append(s.actions, Action{
		Kind: ActionThrottle, Worker: w.info.ID, Address: w.info.Address, Incarnation: w.info.Incarnation,
		Task: a.id(), Run: a.run, Percent: percent,
	})
}

// ThrottleAnswered processes the answer to a throttle request. A request that got no answer, was refused, was
// for a former incarnation or was not sent is sent again after the worker's next report.
func (s *State) ThrottleAnswered(id WorkerID, task TaskID, run int64, answer Answer) {
	w := s.workers[id]
	if w == nil {
		return
	}
	a := w.attempts[attemptKey{task, run}]
	if a == nil {
		return
	}
	a.throttlePending = false
	if answer == AnswerNone || answer == AnswerOKRepeated {
		a.noteLateThrottle()
	}
	if answer == AnswerNone || answer == AnswerRefused || answer == AnswerUnsent || answer == AnswerInvalid {
		a.throttleUnconfirmed = true
	}
}

// recentCPULimit returns the mean CPU limit of a best-effort task during stabilisationTime before now.
// It counts as 0 before the start of the task.
func (a *attempt) recentCPULimit(now time.Time) float64 {
	if sinceStart := now.Sub(a.requestedAt); sinceStart < stabilisationTime {
		return float64(a.cpuLimit) * max(0, sinceStart.Seconds()) / stabilisationTime.Seconds()
	}
	if sinceLimit := now.Sub(a.cpuLimitAt); sinceLimit < stabilisationTime {
		part := max(0, sinceLimit.Seconds()) / stabilisationTime.Seconds()
		return part*float64(a.cpuLimit) + (1-part)*float64(a.previousCPULimit)
	}
	return float64(a.cpuLimit)
}
