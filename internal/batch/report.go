package batch

import (
	"slices"
	"time"
)

// ApplyReport processes the report of a worker. It returns the highest Seq among the reported ends.
// The ends up to it may be acknowledged to the worker once the records that are dirty now are durable.
func (s *State) ApplyReport(id WorkerID, r Report, now time.Time) int64 {
	w := s.workers[id]
	if w == nil || r.Incarnation < w.info.Incarnation {
		return 0
	}
	if r.Incarnation > w.info.Incarnation {
		s.handleRestart(w, r.Incarnation, now)
	}
	if !w.reported {
		w.leaseEnd = laterOf(w.leaseEnd, now.Add(s.timing.LeaseTTL))
	}
	if w.unreachable {
		w.excuseSilence(now)
	}
	w.reported, w.unreachable = true, false
	w.latencyGroupsAt = time.Time{}
	delete(s.unresolvedWorkers, id)
	var last int64
	for _, e := range r.Ended {
		s.attemptEnded(w, e, now)
		last = max(last, e.Seq)
	}
	s.reconcile(w, r, now)
	s.enforceLatencyTargets(w, now)
	return last
}

// reconcile updates the attempts on the worker by the running attempts of its report: it adopts
// unknown ones and removes those that are gone.
func (s *State) reconcile(w *worker, r Report, now time.Time) {
	listed := make(map[attemptKey]bool, len(r.Running))
	w.runsUnknownTasks = false
	for _, e := range r.Running {
		key := attemptKey{e.Task, e.Run}
		listed[key] = true
		if a := w.attempts[key]; a != nil {
			a.observe(e, now)
		} else {
			s.adopt(w, e, now)
		}
	}
	for key, a := range w.attempts {
		if !listed[key] && a.isGone(r.Clock) {
			s.event(Event{Name: "task.absent", Job: a.step.job.ID, Task: key.task, Run: key.run, Worker: w.info.ID, Detail: "not in the worker's report"})
			s.remove(a, now)
		}
	}
}

// observe updates an attempt by its entry in a report.
func (a *attempt) observe(e RunningAttempt, now time.Time) {
	if !a.listed || e.Percent > a.percent {
		a.progressAt = now
	}
	a.listed = true
	if t := a.task(); e.Checkpoint != "" && a.run == t.lastRun {
		// If the worker is lost, the task resumes from this checkpoint.
		t.checkpoint = e.Checkpoint
	}
	a.percent = e.Percent
	a.lastMeasurement = e.Measurement
}

// isGone reports whether an attempt that is missing in a report made at clock, on the worker's clock,
// neither runs nor can start there any more.
func (a *attempt) isGone(clock int64) bool {
	switch {
	case a.listed:
		return true
	case a.startAnsweredAt > 0:
		return clock > a.startAnsweredAt
	case a.stopAnsweredAt > 0 && clock > a.stopAnsweredAt:
		return true
	default:
		return clock > a.notAfter
	}
}

// adopt registers an attempt that a worker runs but this owner does not track: a former owner started
// it, or its start was executed after this owner had given it up. The attempt is stopped if its task
// does not need it.
func (s *State) adopt(w *worker, e RunningAttempt, now time.Time) {
	st := s.stepOf(e.Task)
	if st == nil {
		w.runsUnknownTasks = true
		s.stopUnknown(w, e.Task, e.Run, "unknown job")
		return
	}
	t := &st.tasks[e.Task.Index]
	t.lastRun = max(t.lastRun, e.Run)
	t.unresolved = false
	needed := len(t.attempts) == 0 && !t.done
	a := &attempt{step: st, index: e.Task.Index, run: e.Run, worker: w, reserved: st.reserved, requestedAt: now, cpuLimit: fullPercent}
	if st.spec.BestEffort {
		// The limit that the former owner set is not known. The lowest is assumed, and it is raised
		// as far as the latency targets allow.
		a.cpuLimit = 0
	}
	s.register(a)
	s.noteRun(a)
	a.observe(e, now)
	if st.spec.Gang {
		st.gangRun = max(st.gangRun, e.Run)
	}
	if !needed && !(st.spec.Speculative && !t.done) || st.job.outcome.Terminal() {
		s.stop(a, "superseded")
	}
}

// stopUnknown requests the stop of a run for which no attempt is tracked.
func (s *State) stopUnknown(w *worker, id TaskID, run int64, reason string) {
	s.event(Event{Name: "task.stop", Job: id.Job, Task: id, Run: run, Worker: w.info.ID, Detail: reason})
	s.actions = append(s.actions, Action{Kind: ActionStop, Worker: w.info.ID, Address: w.info.Address, Incarnation: w.info.Incarnation, Task: id, Run: run, Reason: reason})
}

// stepOf returns the step of a task, or nil if there is no such task.
func (s *State) stepOf(id TaskID) *step {
	j := s.jobs[id.Job]
	if j == nil {
		return nil
	}
	if len(j.occs) == 0 {
		// A job that had ended when it was loaded has no steps yet, but a worker still reports its
		// tasks.
		j.expand()
	}
	if id.Occurrence < 0 || id.Occurrence >= len(j.occs) {
		return nil
	}
	o := j.occs[id.Occurrence]
	if id.Step < 0 || id.Step >= len(o.steps) || id.Index < 0 || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step]
}

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
	if e.Checkpoint != "" && !t.done {
		t.checkpoint = e.Checkpoint
		s.dirty.add(st.job)
	}
	if a != nil {
		a.ended = true
	}
	switch e.Reason {
	case EndDone:
		w.consecutiveFailures = 0
		s.attemptDone(st, t, now)
	case EndFailed:
		s.attemptFailed(w, st, t, e, now)
	}
	if a != nil {
		if e.Reason != EndDone {
			s.event(Event{Name: "task.ended", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.info.ID, Detail: endReasonNames[e.Reason]})
		}
		s.remove(a, now)
	}
}

// endReasonNames are the names of the end reasons in the log: lapsed stands for EndLeaseExpired, broken
// for EndGangBroken and alone for EndGangIncomplete.
var endReasonNames = [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// attemptDone marks a task as done; in a gang, all its tasks. Long-running tasks are never done.
func (s *State) attemptDone(st *step, t *task, now time.Time) {
	if st.spec.LongRunning {
		return
	}
	if st.spec.Gang {
		for i := range st.tasks {
			s.completeTask(st, &st.tasks[i], now)
		}
		return
	}
	s.completeTask(st, t, now)
}

// completeTask marks a task as done, stops its other attempts unless it belongs to a gang, and opens
// the dependent steps if it was the last task of its step.
func (s *State) completeTask(st *step, t *task, now time.Time) {
	if t.done {
		return
	}
	if len(t.attempts) == 0 {
		st.waiting--
	}
	t.done = true
	st.remainingTasks--
	s.markStarted(st.job)
	s.dirty.add(st.job)
	if !st.spec.Gang {
		for _, a := range t.attempts {
			s.stop(a, "task done")
		}
	}
	if st.remainingTasks > 0 {
		return
	}
	delete(s.open, st)
	st.unblockDependents()
	for _, later := range st.occ.steps {
		s.openStep(later, now)
	}
	s.completeIfDone(st.job, now)
}

// attemptFailed counts a failed run once, and fails the job when the task or gang has used up its
// attempts. Failures of long-running tasks count against the worker only.
func (s *State) attemptFailed(w *worker, st *step, t *task, e EndedAttempt, now time.Time) {
	if t.done || e.Run == t.lastFailed || slices.Contains(t.failed, e.Run) {
		return
	}
	t.lastFailed = e.Run
	t.failed = append(t.failed, e.Run)
	w.countFailure(t, now)
	s.dirty.add(st.job)
	if st.spec.LongRunning {
		t.failed = nil
		return
	}
	failures := len(t.failed)
	if st.spec.Gang {
		failures = st.failedGangRuns()
	}
	if failures >= max(1, s.queueOf(st.job).MaxAttempts) && !st.job.outcome.Terminal() {
		s.event(Event{Name: "job.failed", Job: st.job.ID, Task: e.Task, Run: e.Run, Worker: w.info.ID, Detail: "no attempts left"})
		s.end(st.job, Failed, now)
	}
}

// failedGangRuns counts the runs of a gang in which at least one task failed.
func (st *step) failedGangRuns() int {
	runs := map[int64]bool{}
	for i := range st.tasks {
		for _, r := range st.tasks[i].failed {
			runs[r] = true
		}
	}
	return len(runs)
}

// register adds an attempt to its task and its worker.
func (s *State) register(a *attempt) {
	t := a.task()
	if len(t.attempts) == 0 && !t.done {
		a.step.waiting--
	}
	t.attempts = append(t.attempts, a)
	a.worker.attach(a)
	s.accountShortCPU(a, 1)
	a.step.job.attempts++
}

// noteRun notes an attempt in its task once it may run.
func (s *State) noteRun(a *attempt) {
	t := a.task()
	t.lastRun = max(t.lastRun, a.run)
	t.lastWorker = a.worker.info.ID
	s.markStarted(a.step.job)
}

// markStarted notes that a task of the job has been started.
func (s *State) markStarted(j *Job) {
	if !j.started {
		j.started = true
		s.unstartedJobs[j.Queue]--
		s.dirty.add(j)
	}
}

// remove deletes an attempt that certainly does not run any more. Its task waits again unless it is
// done or has another attempt.
func (s *State) remove(a *attempt, now time.Time) {
	t := a.task()
	a.worker.detach(a)
	if a.step.spec.BestEffort && a.cpuLimit > 0 {
		a.worker.bestEffortEndedAt = now
	}
	s.accountShortCPU(a, -1)
	a.step.job.attempts--
	t.attempts = slices.DeleteFunc(t.attempts, func(b *attempt) bool { return b == a })
	delete(s.stops, a)
	if t.done || len(t.attempts) > 0 {
		return
	}
	a.step.waiting++
	s.openStep(a.step, now)
	if a.step.spec.Gang && !a.step.job.outcome.Terminal() {
		s.breakGang(a.step)
	}
}

// breakGang stops the remaining attempts of a gang, so that all its tasks restart together.
func (s *State) breakGang(st *step) {
	for i := range st.tasks {
		for _, a := range st.tasks[i].attempts {
			s.stop(a, "member of the gang ended")
		}
	}
}

// StartAnswered processes the answer to a start. clock is the time on the worker's clock in the
// answer.
func (s *State) StartAnswered(id WorkerID, task TaskID, run int64, answer Answer, clock int64, now time.Time) {
	w := s.workers[id]
	if w == nil {
		return
	}
	a := w.attempts[attemptKey{task, run}]
	if a == nil {
		return
	}
	switch answer {
	case AnswerOK:
		a.startAnsweredAt = max(clock, 1)
	case AnswerNone:
		if !a.listed {
			s.stop(a, "start not answered")
		}
	case AnswerRefused:
		w.quarantinedUntil = laterOf(w.quarantinedUntil, now.Add(refusalQuarantineTime))
		s.startRefused(a, "refused by the worker", now)
	case AnswerNoTicket:
		a.step.advice.withdraw(id)
		s.startRefused(a, answerNames[answer], now)
	case AnswerStale, AnswerExpired, AnswerNoCapacity, AnswerFenced, AnswerInvalid:
		s.startRefused(a, answerNames[answer], now)
	}
}

// answerNames are the names of the answers in the log: unwell stands for AnswerRefused, late for
// AnswerExpired, old for AnswerStale and no room for AnswerNoCapacity.
var answerNames = [...]string{"no answer", "ok", "unwell", "late", "old", "no room", "fenced", "invalid", "no ticket"}

// startRefused removes an attempt whose start was certainly not executed. A listed attempt stays,
// since the worker has reported that it runs.
func (s *State) startRefused(a *attempt, reason string, now time.Time) {
	if a.listed {
		return
	}
	s.event(Event{Name: "task.refused", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: a.worker.info.ID, Detail: reason})
	s.remove(a, now)
}

// StopAnswered processes the answer to a stop. clock is the time on the worker's clock in the answer.
func (s *State) StopAnswered(id WorkerID, task TaskID, run int64, answer Answer, clock int64) {
	w := s.workers[id]
	if w == nil {
		return
	}
	if a := w.attempts[attemptKey{task, run}]; a != nil && answer == AnswerOK {
		a.stopAnsweredAt = max(clock, 1)
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
