package batch

import (
	"slices"
	"time"
)

// lateStart is a start of a task of which a worker may still carry out a copy. The incarnation that has run the task ignores
// it, but the next one under the same id does not, until it has seen a request that bars it.
type lateStart struct {
	run int64
	// until is when no copy can be carried out any more.
	until time.Time
	// single is set if only one copy was sent: once the run is listed, none is left.
	single bool
	// pending is set if the run has ended before the outcome of the call that requests its start is known.
	pending bool
}

// lateStarts are the late starts of all tasks.
type lateStarts struct {
	byTask map[TaskID][]lateStart
	// formerByJob is until when starts of former owners may be carried out late, by job, and formerOfAny the same for those of any job.
	formerByJob map[string]time.Time
	formerOfAny time.Time
	// prunedAt is when those that are over were last dropped.
	prunedAt time.Time
}

// note adds a late start, or replaces what is known of it.
func (l *lateStarts) note(id TaskID, start lateStart, now time.Time) {
	l.prune(now)
	l.drop(id, start.run)
	l.byTask[id] = append(l.byTask[id], start)
}

// drop removes the late start of a run.
func (l *lateStarts) drop(id TaskID, run int64) {
	l.remove(id, func(s lateStart) bool { return s.run == run })
}

// noteListed notes that a worker has listed a run, as running or as ended.
func (l *lateStarts) noteListed(id TaskID, run int64) {
	l.remove(id, func(s lateStart) bool { return s.run == run && s.single })
}

// remove removes those of a task's late starts that match.
func (l *lateStarts) remove(id TaskID, matches func(lateStart) bool) {
	starts, ok := l.byTask[id]
	if !ok {
		return
	}
	if starts = slices.DeleteFunc(starts, matches); len(starts) == 0 {
		delete(l.byTask, id)
		return
	}
	l.byTask[id] = starts
}

// hasEnded reports whether a run has ended before the outcome of its start is known.
func (l *lateStarts) hasEnded(id TaskID, run int64) bool {
	return slices.ContainsFunc(l.byTask[id], func(s lateStart) bool { return s.run == run && s.pending })
}

// of reports whether a copy of a start of the task may still be carried out.
func (l *lateStarts) of(id TaskID, now time.Time) bool {
	if !now.After(l.formerOfAny) || !now.After(l.formerByJob[id.Job]) {
		return true
	}
	return slices.ContainsFunc(l.byTask[id], func(s lateStart) bool { return !now.After(s.until) })
}

// prune drops the late starts that are over, from time to time.
func (l *lateStarts) prune(now time.Time) {
	if now.Sub(l.prunedAt) < maxCallDelay {
		return
	}
	l.prunedAt = now
	for id := range l.byTask {
		l.remove(id, func(s lateStart) bool { return now.After(s.until) })
	}
}

// SetFormerLateStarts sets until when workers may carry out starts late that former owners have sent, by job, and for any job.
func (s *State) SetFormerLateStarts(byJob map[string]time.Time, ofAny time.Time) {
	s.lateStarts.formerByJob, s.lateStarts.formerOfAny = byJob, ofAny
}

// noteStartOutcome notes whether a copy of a start may still be carried out, given the outcome of the call that has requested it.
func (s *State) noteStartOutcome(a *attempt, id TaskID, run int64, answer Answer, now time.Time) {
	ended := s.lateStarts.hasEnded(id, run)
	switch answer {
	case AnswerNone, AnswerOKRepeated:
		s.lateStarts.note(id, lateStart{run: run, until: now.Add(maxCallDelay)}, now)
	case AnswerNoneToOne:
		if ended || a != nil && a.listed {
			s.lateStarts.drop(id, run)
			return
		}
		s.lateStarts.note(id, lateStart{run: run, until: now.Add(maxCallDelay), single: true}, now)
	default:
		s.lateStarts.drop(id, run)
	}
}

// maxHeldEnds is the largest number of ends that a worker keeps for late starts. It lists 500 at most, and those that follow
// would not be known.
const maxHeldEnds = 250

// ackSeq returns the sequence number up to which the ends of a report may be acknowledged, once their changes are stored; 0 if none
// may be. An end that settles its task is kept while a start of the task may be carried out late: that one would run the task again
// after an end that counts, while an end that its worker has forgotten by then, or still lists, is no settled one.
func (s *State) ackSeq(r Report, now time.Time) int64 {
	var last int64
	for i, e := range r.Ended {
		if !r.Incomplete && len(r.Ended)-i <= maxHeldEnds && s.mustKeepEnd(e, now) {
			break
		}
		last = max(last, e.Seq)
	}
	return last
}

// mustKeepEnd reports whether an end must not be acknowledged yet.
func (s *State) mustKeepEnd(e EndedAttempt, now time.Time) bool {
	if e.Reason != EndDone && e.Reason != EndFailed {
		return false
	}
	st := s.stepOf(e.Task)
	if st != nil && (st.spec.LongRunning || st.spec.Speculative) {
		return false
	}
	return s.lateStarts.of(e.Task, now) || st != nil && st.tasks[e.Task.Index].isBeingStarted()
}

// isBeingStarted reports whether the outcome of the start of an attempt is not known yet.
func (t *task) isBeingStarted() bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.startPending && !a.unsent })
}
