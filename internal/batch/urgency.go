package batch

import (
	"cmp"
	"slices"
	"time"
)

// urgency is how an open step stands against the objective of its job.
type urgency struct {
	// latest is when its tasks must start for the job to meet its objective.
	latest time.Time
	// missed says that the objective cannot be met any more.
	missed bool
}

// urgency reckons with the estimates: a job's objective is a multiple of its longest chain.
func (s *State) urgency(st *step, now time.Time) urgency {
	q := s.queueOf(st.job)
	from := st.job.Accepted
	if !st.occ.due.IsZero() {
		from = st.occ.due
	}
	objective := from.Add(time.Duration(q.Stretch*float64(st.job.whole)) + q.Slack)
	latest := objective.Add(-st.rest)
	return urgency{latest: latest, missed: now.After(latest) && !st.spec.LongRunning}
}

// chain returns the longest sum of estimates along the steps.
func (s *Spec) chain() time.Duration {
	var longest time.Duration
	for i := range s.Steps {
		if len(s.Steps[i].After) == 0 {
			longest = max(longest, s.chainFrom(i))
		}
	}
	return longest
}

// chainFrom returns the longest sum of estimates from a step to the end.
func (s *Spec) chainFrom(step int) time.Duration {
	rest := make([]time.Duration, len(s.Steps))
	for i := len(s.Steps) - 1; i >= step; i-- {
		rest[i] += s.Steps[i].Estimate
		for _, before := range s.Steps[i].After {
			rest[before] = max(rest[before], rest[i])
		}
	}
	return rest[step]
}

// candidate is an open step with its place in the order.
type candidate struct {
	step     *step
	priority int
	urgency
}

// queue returns the open steps, most urgent first. A job that will miss its objective comes
// after those of its priority that can still meet theirs.
func (s *State) queue(now time.Time) []candidate {
	out := make([]candidate, 0, len(s.open))
	for st := range s.open {
		out = append(out, candidate{step: st, priority: s.queueOf(st.job).Priority, urgency: s.urgency(st, now)})
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.priority, b.priority),
			compareBool(a.missed, b.missed),
			a.latest.Compare(b.latest),
			cmp.Compare(a.step.job.ID, b.step.job.ID),
			cmp.Compare(a.step.occ.number, b.step.occ.number),
			cmp.Compare(a.step.number, b.step.number),
		)
	})
	return out
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
