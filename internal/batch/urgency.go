package batch

import (
	"cmp"
	"time"
)

// urgency relates an open step to the objective of its job, which is the time by which the job or
// the occurrence should complete.
type urgency struct {
	// latestStart is the latest time at which its tasks can start for the job to meet the objective.
	latestStart time.Time
	// missed says that the objective cannot be met any more.
	missed bool
	// restart is set for a long-running step with tasks that have run before. The first of them is down since
	// downSince.
	restart   bool
	downSince time.Time
}

// urgency returns the urgency of a step by the estimates of the job's steps. The objective is Stretch
// times the critical path plus Slack after the job was accepted or the occurrence became due.
func (s *State) urgency(st *step, now time.Time) urgency {
	q := s.queueOf(st.job)
	from := st.job.Accepted
	if !st.occ.due.IsZero() {
		from = st.occ.due
	}
	objective := from.Add(time.Duration(q.Stretch*float64(st.job.criticalPath)) + q.Slack)
	latestStart := objective.Add(-st.remainingPath)
	u := urgency{latestStart: latestStart, missed: now.After(latestStart) && !st.spec.LongRunning}
	if st.spec.LongRunning {
		u.downSince, u.restart = st.downSince()
	}
	return u
}

// downSince returns since when the first of the waiting tasks that have run before is down, and whether there is
// one. What ran under a former owner counts as down since the job was accepted.
func (st *step) downSince() (first time.Time, ok bool) {
	for i := range st.tasks {
		if !(taskRef{st, i}).isDown() {
			continue
		}
		since := st.tasks[i].downSince
		if since.IsZero() {
			since = st.job.Accepted
		}
		if !ok || since.Before(first) {
			first, ok = since, true
		}
	}
	return first, ok
}

// compare orders the more urgent one first. Objectives that can be met come before those that cannot, and restarts
// before all others: of them, the task that is down for longest.
func (u urgency) compare(other urgency) int {
	if c := cmp.Or(compareBool(u.missed, other.missed), compareBool(!u.restart, !other.restart)); c != 0 {
		return c
	}
	if u.restart {
		return u.downSince.Compare(other.downSince)
	}
	return u.latestStart.Compare(other.latestStart)
}

// criticalPath returns the longest sum of estimates along a path of dependent steps.
func (s *Spec) criticalPath() time.Duration {
	var longest time.Duration
	for i := range s.Steps {
		if len(s.Steps[i].After) == 0 {
			longest = max(longest, s.criticalPathFrom(i))
		}
	}
	return longest
}

// criticalPathFrom returns the longest sum of estimates along a path that begins with a step.
func (s *Spec) criticalPathFrom(step int) time.Duration {
	longest := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= step; i-- {
		longest[i] += s.Steps[i].Estimate
		for _, before := range s.Steps[i].After {
			longest[before] = max(longest[before], longest[i])
		}
	}
	return longest[step]
}

// openStepEntry is an open step with the values that order it.
type openStepEntry struct {
	step     *step
	priority int
	level    int // of its tenant's share, see State.shareLevel
	urgency
}

// compare orders steps by priority. Within a priority come restarts, which restore what has run, then jobs within the rates of
// their tenants, then tenants with lower shares, and within a level of these the most urgent step.
func (e openStepEntry) compare(o openStepEntry) int {
	return cmp.Or(
		cmp.Compare(e.priority, o.priority),
		compareBool(!e.restart, !o.restart),
		cmp.Compare(e.level, o.level),
		e.urgency.compare(o.urgency),
		cmp.Compare(e.step.job.ID, o.step.job.ID),
		cmp.Compare(e.step.occ.number, o.step.occ.number),
		cmp.Compare(e.step.number, o.step.number),
	)
}

// openStepEntry returns the entry of a step.
func (s *State) openStepEntry(st *step, now time.Time) openStepEntry {
	return openStepEntry{step: st, priority: s.queueOf(st.job).Priority, level: s.shareLevel(st), urgency: s.urgency(st, now)}
}

// openStepsInOrder returns the open steps in the order of decisions. The slice is valid until the next call.
func (s *State) openStepsInOrder(now time.Time) []openStepEntry {
	return s.open.inOrder(func(st *step) openStepEntry { return s.openStepEntry(st, now) })
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
