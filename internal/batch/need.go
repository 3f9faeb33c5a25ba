package batch

import (
	"cmp"
	"time"
)

// Need says how soon a request must be sent: by a time, and before all that queues of lower priority need.
type Need struct {
	// Priority is that of the queue; lower numbers go first.
	Priority int
	// By is the time. It is zero if nobody needs the request.
	By time.Time
}

// Before reports whether n goes before o. What nobody needs goes last.
func (n Need) Before(o Need) bool {
	if n.By.IsZero() || o.By.IsZero() {
		return !n.By.IsZero() && o.By.IsZero()
	}
	return cmp.Or(cmp.Compare(n.Priority, o.Priority), n.By.Compare(o.By)) < 0
}

// FirstNeed returns the one of two needs that goes first.
func FirstNeed(a, b Need) Need {
	if b.Before(a) {
		return b
	}
	return a
}

// startNeed returns how soon a start of a step must be sent: at once if a long-running task is down, and after all others of its
// priority if the objective is missed already.
func (s *State) startNeed(st *step, now time.Time) Need {
	n := Need{Priority: s.queueOf(st.job).Priority}
	switch u := s.urgency(st, now); {
	case u.restart:
		n.By = now
	case u.missed:
		n.By = now.Add(s.timing.StartLeaseTTL)
	default:
		n.By = u.latestStart
	}
	return n
}

// EndNeed returns how soon the next end on a worker must be known, so that what follows from it can still start in time for the
// objective of its job. Ends that come too late for that are needed after all others of their priority. It is zero if no task
// there ends by itself.
func (s *State) EndNeed(id WorkerID, now time.Time) Need {
	w := s.workers[id]
	if w == nil {
		return Need{}
	}
	var first Need
	for _, a := range w.attempts {
		if !a.step.spec.LongRunning {
			first = FirstNeed(first, s.endNeed(a, now))
		}
	}
	return first
}

// endNeed returns how soon the end of an attempt must be known.
func (s *State) endNeed(a *attempt, now time.Time) Need {
	n := Need{Priority: s.queueOf(a.step.job).Priority, By: s.urgency(a.step, now).latestStart.Add(a.step.spec.Estimate)}
	if !n.By.After(now) {
		n.By = now.Add(s.timing.StartLeaseTTL)
	}
	return n
}

// LeastPriority returns the priority of the queues that go last.
func (s *State) LeastPriority() int { return s.leastPriority }

// leastPriority returns the priority of the queues that go last.
func (c *Config) leastPriority() int {
	least := 0
	for _, q := range c.Queues {
		least = max(least, q.Priority)
	}
	return least
}
