package batch

import (
	"maps"
	"slices"
	"time"
)

// noteRemaining updates the time until which a draining worker certainly stays. Its entry may repeat the
// time that was left at the notice, so a later entry never extends it.
func (w *worker) noteRemaining(now time.Time) {
	if !w.info.Draining {
		w.leavesAfter = time.Time{}
		return
	}
	if w.info.MinRemaining == 0 {
		return
	}
	after := now.Add(w.info.MinRemaining)
	if w.leavesAfter.IsZero() || after.Before(w.leavesAfter) {
		w.leavesAfter = after
	}
}

// moveTime is how long before a draining worker leaves its long-running tasks are stopped there in any case, so that
// their ends are known: a stop may have to be repeated, and the entry that tells the time may be old when it is read.
const moveTime = 2 * time.Second

// stopOnDrainingWorkers looks at all draining workers again: since their notices, this owner may have
// adopted tasks there, other tasks may have become available, and tasks may be slower than expected.
func (s *State) stopOnDrainingWorkers(now time.Time) {
	room := s.newVacancies(now)
	for _, w := range s.sortedWorkers() {
		if w.info.Draining && !w.unreachable {
			s.stopForDrain(w, room, now)
		}
	}
}

// stopForDrain stops the tasks on a draining worker that should restart elsewhere at once: long-running
// tasks that find room there or whose worker leaves soon, as far as MaxDisrupted allows, and tasks that would not be
// done before the worker leaves.
func (s *State) stopForDrain(w *worker, room *vacancies, now time.Time) {
	for _, a := range sortedAttempts(maps.Values(w.attempts)) {
		switch {
		case a.stopping:
		case a.step.spec.LongRunning && a.mayBeDisrupted():
			if w.leavesWithin(moveTime, now) || room.take(a.step) {
				s.stop(a, "worker drains")
			}
		case !a.step.spec.LongRunning && !a.step.spec.Gang && a.outlastsWorker(now):
			s.stop(a, "worker leaves before the task would be done")
		}
	}
}

// leavesWithin reports whether a draining worker may have left after a time, as far as is known.
func (w *worker) leavesWithin(d time.Duration, now time.Time) bool {
	return w.leavesAfter.Sub(now) <= d
}

// outlastsWorker reports whether an attempt on a draining worker would not be done before the worker may
// leave. A worker may stay longer than it must: from then on, a task is stopped only if a stop saves its
// progress.
func (a *attempt) outlastsWorker(now time.Time) bool {
	if a.worker.leavesAfter.IsZero() {
		return false
	}
	left := a.worker.leavesAfter.Sub(now)
	if left <= 0 && !a.step.spec.Checkpoints {
		return false
	}
	return a.remainingTime(now) > left
}

// minPercentForPrediction is the progress in percent from which the remaining time is extrapolated
// from the progress instead of being taken from the estimate.
const minPercentForPrediction = 10

// remainingTime estimates the time until an attempt is done.
func (a *attempt) remainingTime(now time.Time) time.Duration {
	left := time.Duration(fullPercent - a.percent)
	if a.percent >= minPercentForPrediction {
		return now.Sub(a.requestedAt) * left / time.Duration(a.percent)
	}
	return a.step.spec.Estimate * left / fullPercent
}

// mayBeDisrupted reports whether MaxDisrupted of the step allows that the attempt is stopped. A task that is
// not available is not disrupted by that.
func (a *attempt) mayBeDisrupted() bool {
	bound := a.step.spec.MaxDisrupted
	return bound == 0 || !a.task().available() || !a.step.lacksTasks(bound)
}

// lacksTasks reports whether at least n tasks of a long-running step are not available.
func (st *step) lacksTasks(n int) bool {
	for i := range st.tasks {
		if !st.tasks[i].available() {
			n--
		}
		if n == 0 {
			return true
		}
	}
	return false
}

// available reports whether a long-running task has an attempt that is ready, which the worker lists
// with 100 percent, and is not being stopped.
func (t *task) available() bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool {
		return a.listed && !a.stopping && a.percent >= fullPercent
	})
}
