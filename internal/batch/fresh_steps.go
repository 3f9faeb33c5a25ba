package batch

import (
	"slices"
	"time"
)

// freshSteps are the steps that have become startable since the last Plan: they were opened, or the record that tasks of theirs
// may have been started has become durable.
type freshSteps map[*step]bool

// markFresh notes that a step has become startable, if it has waiting tasks. A step with tasks that may have run before is left to
// Plan, which decides first which of them are given up.
func (s *State) markFresh(st *step) {
	if st.isOpen && !st.mayHaveRun() {
		s.fresh[st] = true
	}
}

// mayHaveRun reports whether a task of the step may have been started before, by any owner.
func (st *step) mayHaveRun() bool {
	return st.startedByFormerOwner || slices.ContainsFunc(st.tasks, func(t task) bool { return t.lastRun > 0 || len(t.failed) > 0 || t.suspected() })
}

// PlanFreshSteps decides on the steps that have become startable since the last Plan, and returns the actions to carry out now. It
// costs less than a Plan, so that a step need not wait until the next one, twice: for its record and for its start. Steps
// that others without room go before are left to Plan. The slice is valid until the next decision.
func (s *State) PlanFreshSteps(now time.Time) []Action {
	if len(s.fresh) == 0 {
		return nil
	}
	s.startsLeft = s.maxStarts
	s.noteDoubtfulCapacity()
	s.rateJobs()
	steps := s.freshInOrder(now)
	clear(s.fresh)
	steps = slices.DeleteFunc(steps, func(e openStepEntry) bool { return !e.step.isOpen || s.leftOut.goesBefore(e) })
	if len(steps) > 0 {
		s.placeSteps(steps, now)
	}
	return s.takeActions()
}

// freshInOrder returns the fresh steps in the order of decisions.
func (s *State) freshInOrder(now time.Time) []openStepEntry {
	out := make([]openStepEntry, 0, len(s.fresh))
	for st := range s.fresh {
		out = append(out, s.openStepEntry(st, now))
	}
	slices.SortFunc(out, openStepEntry.compare)
	return out
}

// leftOutSteps are the steps that the last Plan could not start in full for want of room or of starts.
type leftOutSteps []openStepEntry

// goesBefore reports whether one of the steps is ahead of another one in the order of decisions, and may take its room. Tasks that
// use spare CPU take none from those that reserve it.
func (l leftOutSteps) goesBefore(e openStepEntry) bool {
	return slices.ContainsFunc(l, func(o openStepEntry) bool {
		return o.step.spec.BestEffort == e.step.spec.BestEffort && o.compare(e) < 0
	})
}
