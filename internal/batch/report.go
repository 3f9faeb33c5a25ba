package batch

import (
	"time"
)

// ApplyReport processes the report of a worker. It returns the highest Seq among the reported ends that need not be kept, see ackSeq.
// The ends up to it may be acknowledged to the worker once the changes that follow from them, see ChangesBy, are stored.
func (s *State) ApplyReport(id WorkerID, r Report, now time.Time) int64 {
	w := s.workers[id]
	if w == nil || r.Incarnation < w.info.Incarnation {
		return 0
	}
	if r.Incarnation > w.info.Incarnation {
		s.handleRestart(w, r.Incarnation, "a report", now)
	}
	if !w.fenced {
		s.noteEarlierLeases(w, r, now)
	}
	if w.unreachable {
		w.excuseSilence(now)
	}
	w.reported, w.unreachable, w.lastContact = true, false, now
	w.latencyGroupsAt = time.Time{}
	if !r.Incomplete {
		delete(s.unresolvedWorkers, id)
		if w.fenced {
			delete(s.lateRuns, id)
		}
	}
	for _, e := range r.Ended {
		s.attemptEnded(w, e, now)
	}
	if len(r.Ended) > 0 {
		w.endsChanges = s.ChangesBy(r.Ended)
	}
	s.reconcile(w, r, now)
	s.endUnreadable(w, r, now)
	s.reviewSuspicions(w, r)
	s.enforceLatencyTargets(w, now)
	return s.ackSeq(w, r, now)
}

// IsListed reports whether the worker's present incarnation has listed an attempt as running.
func (s *State) IsListed(id WorkerID, task TaskID, run int64) bool {
	w := s.workers[id]
	if w == nil {
		return false
	}
	a := w.attempts[attemptKey{task, run}]
	return a != nil && a.listed
}

// reconcile updates the attempts on the worker by the running attempts of its report: it adopts
// unknown ones and removes those that are gone. An incomplete report may hold back the end of an attempt
// that is missing in it.
func (s *State) reconcile(w *worker, r Report, now time.Time) {
	listed := make(map[attemptKey]bool, len(r.Running))
	w.runsUnknownTasks = false
	for _, e := range r.Running {
		key := attemptKey{e.Task, e.Run}
		listed[key] = true
		s.lateStarts.noteListed(lateStartKey{w.info.ID, e.Task}, e.Run)
		if a := w.attempts[key]; a != nil {
			if !a.listed && !a.restartedAt.IsZero() {
				s.followAttempt(a)
			}
			a.observe(e, r.Clock, now)
			s.markStarted(a.step.job)
		} else {
			s.adopt(w, e, r.Clock, now)
		}
	}
	for key, a := range w.attempts {
		if listed[key] {
			continue
		}
		if r.Incomplete {
			a.progressAt = now
			a.noteMissing(now)
			continue
		}
		if a.isUnanswered() && r.RequestedAt.After(a.unansweredAt) {
			a.absentIn = r.Incarnation
			s.stop(a, "start not answered")
		}
		if a.isGone(r) {
			s.event(Event{Name: "task.absent", Job: a.step.job.ID, Task: key.task, Run: key.run, Worker: w.info.ID, Detail: "not in the worker's report"})
			s.remove(a, now)
		}
	}
}

// observe updates an attempt by its entry in a report that was made at clock, on the worker's clock.
func (a *attempt) observe(e RunningAttempt, clock int64, now time.Time) {
	a.missingSince = time.Time{}
	if !a.listed || e.Percent > a.percent {
		a.progressAt = now
	}
	if a.listed && e.Percent > a.percent && a.worker.worksSince.IsZero() {
		a.worker.worksSince = now
	}
	if !a.listed {
		a.listed, a.listedSince, a.listedClock, a.firstPercent = true, now, clock, e.Percent
	}
	if t := a.task(); e.Checkpoint != "" && a.run == t.lastRun {
		// If the worker is lost, the task resumes from this checkpoint.
		t.noteCheckpoint(e.Checkpoint, a.run)
	}
	a.noteProgress(e.Percent, now)
	a.percent = e.Percent
	a.lastMeasurement = e.Measurement
}

// noteMissing notes that a report that may lack attempts does not list the attempt.
func (a *attempt) noteMissing(now time.Time) {
	if a.missingSince.IsZero() {
		a.missingSince = now
	}
}

// isUnanswered reports whether the start has got no answer, and no report has listed it since.
func (a *attempt) isUnanswered() bool {
	return !a.listed && !a.startPending && a.acceptedAt.IsZero() && !a.unansweredAt.IsZero()
}

// isGone reports whether an attempt that is missing in a report neither runs nor can start there any more.
// An answer does not tell which incarnation of the worker gave it, so it proves something only about the
// reports that were requested after it.
func (a *attempt) isGone(r Report) bool {
	switch {
	case a.listed:
		return true
	case a.startPending:
		return false
	case !a.acceptedAt.IsZero():
		return r.RequestedAt.After(a.acceptedAt)
	case !a.stopAnsweredAt.IsZero() && r.RequestedAt.After(a.stopAnsweredAt):
		return true
	case a.isTooLate(r.RequestedAt):
		return true
	default:
		return r.Clock > a.notAfter
	}
}

// isTooLate reports whether a worker that was restarted does not carry out an unanswered start any more at a time. Its
// clock does not tell, since it began anew.
func (a *attempt) isTooLate(at time.Time) bool {
	return !a.restartedAt.IsZero() && !a.unansweredAt.IsZero() && !a.mayRepeatStart(at)
}

// mayRepeatStart reports whether a copy of the start that got no answer may still be carried out. That means nothing
// to the incarnation that runs the attempt, but starts it anew in a later one.
func (a *attempt) mayRepeatStart(now time.Time) bool {
	return a.startPending && !a.unsent || !a.unansweredAt.IsZero() && !now.After(a.unansweredAt.Add(maxCallDelay))
}

// adopt registers an attempt that a worker runs but this owner does not track: a former owner started
// it, or its start was executed after this owner had given it up. The attempt is stopped if its task
// does not need it.
func (s *State) adopt(w *worker, e RunningAttempt, clock int64, now time.Time) {
	st := s.stepOf(e.Task)
	if st == nil {
		w.runsUnknownTasks = true
		s.stopUnknown(w, e.Task, e.Run, "unknown job")
		return
	}
	t := &st.tasks[e.Task.Index]
	t.lastRun = max(t.lastRun, e.Run)
	t.unresolved = false
	st.settleTask(t)
	needed := len(t.attempts) == 0 && !t.done
	a := &attempt{step: st, index: e.Task.Index, run: e.Run, worker: w, reserved: st.reserved, requestedAt: now, cpuLimit: fullPercent}
	if st.spec.BestEffort {
		// The limit that the former owner set is not known. The lowest one is sent, unless the latency targets allow a higher one at
		// once.
		a.cpuLimit, a.throttleUnconfirmed = 0, true
	}
	s.register(a)
	s.noteRun(a)
	s.markStarted(st.job)
	a.observe(e, clock, now)
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

// register adds an attempt to its task and its worker.
func (s *State) register(a *attempt) {
	t := a.task()
	if len(t.attempts) == 0 && !t.done {
		a.step.waiting--
	}
	t.attempts = append(t.attempts, a)
	a.worker.attach(a)
	a.addUse()
	a.step.job.attempts++
}

// noteRun notes an attempt in its task once its start may be executed.
func (s *State) noteRun(a *attempt) {
	t := a.task()
	t.lastRun = max(t.lastRun, a.run)
	t.lastWorker = a.worker.info.ID
	t.heldBy, t.startableSince = notHeld, 0
}

// markStarted notes that a task of the job has been started by a worker. A start that was only sent does not
// count, as the worker may refuse it.
func (s *State) markStarted(j *Job) {
	if !j.started {
		j.started = true
		s.unstartedJobs[j.Queue]--
		s.dirty.add(j)
	}
}
