package batch

import (
	"slices"
	"time"
)

// recordedStart holds the attempts, one or those of a gang, whose starts are sent together once the job's
// record names their workers.
type recordedStart []*attempt

// needsRecordedStart reports whether the next start of a task must be in the record: an owner that takes over
// after the start would not know of it otherwise, so that a task that crashes its worker might be started
// without end. This holds for suspected tasks, and for those of which a former owner may have made a start that
// no record names.
func (t *task) needsRecordedStart() bool { return t.suspected() || t.unresolved }

// startAll sends the starts of reserved attempts. If one of them has to be recorded, all wait for the record.
func (s *State) startAll(attempts []*attempt, now time.Time) {
	s.startsLeft--
	if !slices.ContainsFunc(attempts, func(a *attempt) bool { return a.task().needsRecordedStart() }) {
		for _, a := range attempts {
			s.sendStart(a)
		}
		return
	}
	for _, a := range attempts {
		e := newSuspicion(a)
		e.Isolated = a.isIsolated()
		a.unsent, a.recorded = true, e
		s.addSuspicion(a.ref(), e)
		s.hold(a.ref(), heldByOwnRecord, now)
	}
	job := attempts[0].step.job
	s.dirty.add(job)
	s.urgentJobs[job] = true
	s.recordedStarts = append(s.recordedStarts, attempts)
}

// markStartsRecorded notes that the store holds these suspicions of a task.
func (t *task) markStartsRecorded(stored []Suspicion) {
	for _, a := range t.attempts {
		if a.unsent && slices.Contains(stored, a.recorded) {
			a.startRecorded = true
		}
	}
}

// sendRecordedStarts sends the starts that have become durable. It gives up those that must not be sent any
// more, so that their tasks wait for another worker.
func (s *State) sendRecordedStarts(now time.Time) {
	s.recordedStarts = slices.DeleteFunc(s.recordedStarts, func(r recordedStart) bool {
		if slices.ContainsFunc(r, func(a *attempt) bool { return !s.maySend(a, now) }) {
			s.giveUpRecordedStart(r, now)
			return true
		}
		if slices.ContainsFunc(r, func(a *attempt) bool { return !a.startRecorded }) {
			for _, a := range r {
				s.hold(a.ref(), heldByOwnRecord, now)
			}
			return false
		}
		for _, a := range r {
			a.unsent, a.requestedAt, a.progressAt = false, now, now
			a.task().unresolved = false
			s.sendStart(a)
		}
		return true
	})
}

// maySend reports whether a reserved attempt may still be started on its worker.
func (s *State) maySend(a *attempt, now time.Time) bool {
	w := a.worker
	if w.attempts[attemptKey{a.id(), a.run}] != a || a.stopping || a.step.job.outcome.Terminal() {
		return false
	}
	if s.queueOf(a.step.job).RequiresTicket && !a.step.advice.hasTicket(w, now) {
		return false
	}
	if !s.keepsQuota(a.step) {
		return false // the cap has been lowered meanwhile
	}
	if !slices.Contains(a.task().suspicions, a.recorded) {
		return false // the task has proven itself meanwhile
	}
	isUsable := w.usable(s, now) || w.isLastResort(s, now)
	return a.restartedAt.IsZero() && isUsable && w.used.Fits(w.info.Capacity)
}

// giveUpRecordedStart undoes the reservations of a start that has not been sent.
func (s *State) giveUpRecordedStart(r recordedStart, now time.Time) {
	for _, a := range r {
		s.withdrawSuspicions(a.ref(), ofRun(a.run))
		if a.worker.attempts[attemptKey{a.id(), a.run}] == a {
			s.remove(a, now)
			s.hold(a.ref(), heldByNewPlan, now)
		}
	}
}
