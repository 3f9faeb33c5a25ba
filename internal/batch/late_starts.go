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

// lateStartKey names the worker and the task of a late start.
type lateStartKey struct {
	worker WorkerID
	task   TaskID
}

// lateStarts are the late starts of all workers.
type lateStarts struct {
	byTask map[lateStartKey][]lateStart
	// former are those that former owners have sent, by worker.
	former map[WorkerID]LateRuns
	// prunedAt is when those that are over were last dropped.
	prunedAt time.Time
}

// note adds a late start, or replaces what is known of it.
func (l *lateStarts) note(id lateStartKey, start lateStart, now time.Time) {
	l.prune(now)
	l.drop(id, start.run)
	l.byTask[id] = append(l.byTask[id], start)
}

// drop removes the late start of a run.
func (l *lateStarts) drop(id lateStartKey, run int64) {
	l.remove(id, func(s lateStart) bool { return s.run == run })
}

// noteListed notes that a worker has listed a run, as running or as ended.
func (l *lateStarts) noteListed(id lateStartKey, run int64) {
	l.remove(id, func(s lateStart) bool { return s.run == run && s.single })
}

// remove removes those of a task's late starts that match.
func (l *lateStarts) remove(id lateStartKey, matches func(lateStart) bool) {
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
func (l *lateStarts) hasEnded(id lateStartKey, run int64) bool {
	return slices.ContainsFunc(l.byTask[id], func(s lateStart) bool { return s.run == run && s.pending })
}

// has reports whether the worker may still carry out a copy of a start of the task.
func (l *lateStarts) has(id lateStartKey, now time.Time) bool {
	if former, ok := l.former[id.worker]; ok && former.contains(id.task.Job) && !now.After(former.Until) {
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

// MayRepeatStart reports whether the next incarnation of a worker may carry out a copy of a start, by the outcome of the call that has
// requested it.
func (s *State) MayRepeatStart(id WorkerID, task TaskID, run int64) bool {
	return slices.ContainsFunc(s.lateStarts.byTask[lateStartKey{id, task}], func(start lateStart) bool { return start.run == run })
}

// SetFormerLateStarts sets which jobs' starts workers may carry out late that former owners have sent, and until when.
func (s *State) SetFormerLateStarts(starts map[WorkerID]LateRuns) { s.lateStarts.former = starts }

// noteStartOutcome notes whether a worker may still carry out a copy of a start, given the outcome of the call that has requested it.
func (s *State) noteStartOutcome(a *attempt, id lateStartKey, run int64, answer Answer, now time.Time) {
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
const maxHeldEnds = 400

// ackSeq returns the sequence number up to which the ends of a report may be acknowledged, once their changes are stored; 0 if none
// may be. An end that settles its task is kept while the next incarnation of the worker may start the task again: it knows nothing of
// the end, which counts only if it was acknowledged.
func (s *State) ackSeq(w *worker, r Report, now time.Time) int64 {
	var last int64
	for i, e := range r.Ended {
		if !r.Incomplete && len(r.Ended)-i <= maxHeldEnds && s.mustKeepEnd(w, e, now) {
			break
		}
		last = max(last, e.Seq)
	}
	return last
}

// mustKeepEnd reports whether an end must not be acknowledged yet.
func (s *State) mustKeepEnd(w *worker, e EndedAttempt, now time.Time) bool {
	if e.Reason != EndDone && e.Reason != EndFailed {
		return false
	}
	st := s.stepOf(e.Task)
	if st != nil && (st.spec.LongRunning || st.spec.Speculative) {
		return false
	}
	return s.lateStarts.has(lateStartKey{w.info.ID, e.Task}, now) || st != nil && st.tasks[e.Task.Index].isBeingStartedOn(w)
}

// isBeingStartedOn reports whether the outcome of the start of an attempt on a worker is not known yet.
func (t *task) isBeingStartedOn(w *worker) bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.worker == w && a.startPending && !a.unsent })
}
