package batch

import (
	"time"
)

// StartAnswered processes the answer to a start.
func (s *State) StartAnswered(id WorkerID, task TaskID, run int64, answer Answer, now time.Time) {
	a := s.attemptOn(id, attemptKey{task, run})
	s.noteStartOutcome(a, lateStartKey{id, task}, run, answer, now)
	if a == nil {
		return
	}
	w := a.worker
	a.startPending = false
	switch answer {
	case AnswerOK, AnswerOKRepeated:
		if answer == AnswerOKRepeated {
			a.unansweredAt = now
			w.noteLateCopy(a, now)
		}
		a.acceptedAt, w.lastContact = now, now
		a.noteStart(now)
		w.noteRoom(a.reserved)
		s.markStarted(a.step.job)
	case AnswerNone, AnswerNoneToOne:
		// It may run. It is stopped if a report shows that it does not run yet.
		a.unansweredAt = now
		w.noteLateCopy(a, now)
	case AnswerRefused:
		w.quarantine(now, refusalQuarantineTime, refusalQuarantineTime)
		s.startRefused(a, "refused by the worker", now)
	case AnswerNoTicket:
		a.step.advice.withdraw(id)
		s.startRefused(a, answerNames[answer], now)
	case AnswerNoCapacity:
		if !a.listed {
			w.noteRoomRefusal(a.reserved, now)
		}
		s.startRefused(a, answerNames[answer], now)
	case AnswerStale, AnswerExpired, AnswerFenced, AnswerInvalid, AnswerUnsent:
		s.startRefused(a, answerNames[answer], now)
	}
}

// attemptOn returns an attempt on a worker; nil if there is none.
func (s *State) attemptOn(id WorkerID, key attemptKey) *attempt {
	if w := s.workers[id]; w != nil {
		return w.attempts[key]
	}
	return nil
}

// answerNames are the names of the answers in the log: unwell stands for AnswerRefused, late for
// AnswerExpired, old for AnswerStale and no room for AnswerNoCapacity.
var answerNames = [...]string{"no answer", "ok", "unwell", "late", "old", "no room", "fenced", "invalid", "no ticket", "ok after a repetition", "not sent", "no answer to the only copy"}

// startRefused removes an attempt whose start was certainly not executed. A listed attempt stays,
// since the worker has reported that it runs.
func (s *State) startRefused(a *attempt, reason string, now time.Time) {
	if a.listed {
		return
	}
	s.withdrawSuspicions(a.ref(), ofRun(a.run))
	s.event(Event{Name: "task.refused", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: a.worker.info.ID, Detail: reason})
	s.remove(a, now)
}

// StopAnswered processes the answer to a stop that was sent while the worker had the given incarnation. An
// earlier incarnation does not bind the present one.
func (s *State) StopAnswered(id WorkerID, incarnation int64, task TaskID, run int64, answer Answer, now time.Time) {
	w := s.workers[id]
	if w == nil || incarnation != w.info.Incarnation {
		return
	}
	if answer == AnswerOK || answer == AnswerOKRepeated {
		w.barred(attemptKey{task, run})
	}
	if a := w.attempts[attemptKey{task, run}]; a != nil && (answer == AnswerOK || answer == AnswerOKRepeated) {
		a.stopAnsweredAt = now
	}
}

// LaterOf returns the later one of two times.
func LaterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
