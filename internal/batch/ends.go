package batch

import (
	"slices"
	"time"
)

// attemptEnded processes a reported end. The same end is reported again until it is acknowledged.
func (s *State) attemptEnded(w *worker, e EndedAttempt, now time.Time) {
	key := attemptKey{e.Task, e.Run}
	a := w.attempts[key]
	st := s.stepOf(e.Task)
	if st == nil {
		return
	}
	t := &st.tasks[e.Task.Index]
	t.lastRun = max(t.lastRun, e.Run)
	s.markStarted(st.job)
	if e.Checkpoint != "" && !t.done && t.noteCheckpoint(e.Checkpoint, e.Run) {
		s.dirty.add(st.job)
	}
	s.lateStarts.noteListed(lateStartKey{w.info.ID, e.Task}, e.Run)
	if a != nil {
		a.ended = true
		if a.startPending && !a.unsent {
			s.lateStarts.note(lateStartKey{w.info.ID, e.Task}, lateStart{run: e.Run, until: now.Add(maxCallDelay), pending: true}, now)
		}
	}
	switch e.Reason {
	case EndDone:
		s.learnDuration(st, a, now)
		s.countDone(w, st, e.Seq, now)
		a.noteFinish(now)
		s.attemptDone(st, e.Task.Index, now)
	case EndFailed:
		s.attemptFailed(w, st, t, e, now)
	}
	if a != nil {
		if e.Reason != EndDone {
			s.event(Event{Name: "task.ended", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.info.ID, Detail: endReasonNames[e.Reason], Inputs: w.describeLease(e.Reason, now)})
		}
		s.remove(a, now)
	}
}

// endReasonNames are the names of the end reasons in the log: lapsed stands for EndLeaseExpired, broken
// for EndGangBroken and alone for EndGangIncomplete.
var endReasonNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone", "unknown"}

// attemptDone marks a task as done; in a gang, all its tasks. Long-running tasks are never done.
func (s *State) attemptDone(st *step, index int, now time.Time) {
	if st.spec.LongRunning {
		s.clearTask(taskRef{st, index})
		return
	}
	if st.spec.Gang {
		for i := range st.tasks {
			s.completeTask(taskRef{st, i}, now)
		}
		return
	}
	s.completeTask(taskRef{st, index}, now)
}

// completeTask marks a task as done, stops its other attempts unless it belongs to a gang, and opens
// the dependent steps if it was the last task of its step.
func (s *State) completeTask(r taskRef, now time.Time) {
	st, t := r.step, r.task()
	if t.done {
		return
	}
	if len(t.attempts) == 0 {
		st.waiting--
	}
	t.done = true
	st.settleTask(t)
	s.clearTask(r)
	st.remainingTasks--
	s.dirty.add(st.job)
	if !st.spec.Gang {
		for _, a := range t.attempts {
			s.stop(a, "task done")
		}
	}
	if st.remainingTasks > 0 {
		return
	}
	s.open.remove(st)
	st.unblockDependents()
	for _, later := range st.occ.steps {
		s.openStep(later, now)
	}
	s.completeIfDone(st.job, now)
}

// attemptFailed counts a failed run once, and fails the job when the task or gang has used up its
// attempts. Failures of long-running tasks count against the worker only.
func (s *State) attemptFailed(w *worker, st *step, t *task, e EndedAttempt, now time.Time) {
	if t.done || slices.Contains(t.failed, e.Run) {
		return
	}
	if e.Run == t.lastRun {
		s.clearTask(taskRef{st, e.Task.Index}) // it has ended without a crash of its worker
	}
	t.failed = append(t.failed, e.Run)
	isListedAgain := st.spec.LongRunning && e.Seq <= w.countedSeq // failed does not tell, see below
	if w.attempts[attemptKey{e.Task, e.Run}] == nil && !isListedAgain {
		s.event(Event{Name: "task.ended", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.info.ID, Detail: endReasonNames[EndFailed], Inputs: "this owner has not seen the run"})
	}
	s.countFailure(w, st, t, e.Seq, now)
	if st.spec.LongRunning {
		t.failed = nil
		return
	}
	s.dirty.add(st.job)
	if st.knownFailures(t) >= s.maxAttempts(st.job) && !st.job.outcome.Terminal() {
		s.event(Event{Name: "job.failed", Job: st.job.ID, Task: e.Task, Run: e.Run, Worker: w.info.ID, Detail: "no attempts left"})
		s.end(st.job, Failed, now)
	}
}

// remove deletes an attempt that certainly does not run any more. Its task waits again unless it is
// done or has another attempt.
func (s *State) remove(a *attempt, now time.Time) {
	t := a.task()
	a.worker.detach(a)
	a.removeUse()
	if a.step.spec.BestEffort && a.cpuLimit > 0 {
		a.worker.bestEffortEndedAt = now
	}
	if a.step.job.attempts--; a.step.job.attempts == 0 {
		a.step.job.idleSince = now
	}
	t.attempts = slices.DeleteFunc(t.attempts, func(b *attempt) bool { return b == a })
	delete(s.stops, a)
	if t.done || len(t.attempts) > 0 {
		return
	}
	if !a.unsent {
		t.downSince = a.lastSeen(now)
	}
	a.step.waiting++
	s.openStep(a.step, now)
	if a.step.isOpen {
		t.markStartable(s.clock(now))
	}
	if a.step.spec.Gang && !a.step.job.outcome.Terminal() {
		s.breakGang(a.step)
	}
}

// lastSeen returns when an attempt that has ended was last known to run.
func (a *attempt) lastSeen(now time.Time) time.Time {
	if a.worker.unreachable {
		return a.worker.lastContact
	}
	return now
}

// breakGang stops the remaining attempts of a gang, so that all its tasks restart together.
func (s *State) breakGang(st *step) {
	for i := range st.tasks {
		for _, a := range st.tasks[i].attempts {
			s.stop(a, "member of the gang ended")
		}
	}
}
