package batch

import (
	"fmt"
	"maps"
	"time"
)

// A worker that is restarted under its id has a new clock, which begins anew, and carries out what was meant for its former
// incarnation: a request that got no answer may be carried out up to maxCallDelay after it was sent. An end of a lease on the former
// clock lies far ahead on the new one, so that the worker grants its longest lease. Each owner fences an incarnation by requests with
// a higher token than those for former ones.

// FencedIncarnation is the last incarnation of a worker that an owner has fenced, so that it refuses all requests for former ones and
// of former owners; 0 if there is none.
type FencedIncarnation struct {
	Number int64
	// Settled is set if its leases last no longer than owners ask for. One that was fenced lately may have granted a longer one
	// to a request for a former incarnation before, and so may a newer one.
	Settled bool
}

// SetFormerIncarnations sets what the former owner knew of the incarnations of workers.
func (s *State) SetFormerIncarnations(incarnations map[WorkerID]FencedIncarnation) {
	maps.Copy(s.formerIncarnations, incarnations)
}

// SetFormerOwnersEnd sets the time by which all former owners have certainly ended. Workers may carry out what these sent for
// maxCallDelay longer.
func (s *State) SetFormerOwnersEnd(end time.Time) { s.formerRequestsEnd = end.Add(maxCallDelay) }

// IsRestartedInDoubt reports whether former owners may have started tasks on a worker of which the registry shows another incarnation
// than they had fenced, and which this owner has not reached: it may carry out their requests late.
func (s *State) IsRestartedInDoubt(id WorkerID) bool {
	_, inDoubt := s.unresolvedWorkers[id]
	w, known := s.workers[id], s.formerIncarnations[id].Number
	return inDoubt && w != nil && !w.fenced && known != 0 && w.info.Incarnation != known
}

// ProlongDoubt prolongs the wait for a worker on which former owners may have started tasks. It reports whether its new end is later
// than was known.
func (s *State) ProlongDoubt(id WorkerID, end time.Time) bool {
	if !end.After(s.unresolvedWorkers[id]) {
		return false
	}
	s.unresolvedWorkers[id] = end
	return true
}

// LateRuns are tasks of former owners that a restarted worker may still start.
type LateRuns struct {
	// Until is when the last of them has ended if this owner does not reach the worker.
	Until time.Time
	// Jobs are the jobs that they belong to; nil for any.
	Jobs map[string]bool
}

// contains reports whether tasks of a job may be among them.
func (l LateRuns) contains(job string) bool { return l.Jobs == nil || l.Jobs[job] }

// DoubtLateRuns lets the tasks wait that a restarted worker may still start for former owners, until this owner reaches it. It reports
// whether that is news.
func (s *State) DoubtLateRuns(id WorkerID, late LateRuns) bool {
	if _, known := s.lateRuns[id]; known {
		return false
	}
	s.lateRuns[id] = late
	return true
}

// isInDoubt reports whether a task may run on a worker that a former owner has started it on, and that this one has not reached.
func (s *State) isInDoubt(st *step, t *task) bool {
	if !t.unresolved {
		return false
	}
	if len(s.unresolvedWorkers) > 0 {
		return true
	}
	for _, late := range s.lateRuns {
		if late.contains(st.job.ID) {
			return true
		}
	}
	return false
}

// resolveLateRuns drops the late runs that have ended.
func (s *State) resolveLateRuns(now time.Time) {
	for id, late := range s.lateRuns {
		if now.After(late.Until) && s.ownedUntil.After(late.Until) {
			s.event(Event{Name: "takeover.resolved", Worker: id, Detail: "what it may have carried out late has ended", Inputs: fmt.Sprintf("jobs: %d (0: any)", len(late.Jobs))})
			delete(s.lateRuns, id)
		}
	}
}

// mayCarryOutFormerRequests reports whether a worker that was restarted may still carry out a request of a former owner.
func (s *State) mayCarryOutFormerRequests(id WorkerID, now time.Time) bool {
	return s.formerWorkers[id] && now.Before(s.formerRequestsEnd)
}

// NoteFormerWorker notes a worker that a former owner may have known, in this or in a former incarnation.
func (s *State) NoteFormerWorker(id WorkerID) { s.formerWorkers[id] = true }

// FencedIncarnation returns the last incarnation of a worker that this or a former owner has fenced. It is settled only while it is
// the newest.
func (s *State) FencedIncarnation(id WorkerID, now time.Time) FencedIncarnation {
	known := s.formerIncarnations[id]
	w := s.workers[id]
	switch {
	case w == nil || w.info.Incarnation == known.Number && (known.Settled || !w.fenced):
		return known
	case w.fenced:
		return FencedIncarnation{Number: w.info.Incarnation, Settled: !now.Before(w.earlierLeasesEnd)}
	case w.lastFenced != 0:
		return FencedIncarnation{Number: w.lastFenced}
	default:
		return FencedIncarnation{Number: known.Number}
	}
}

// noteEarlierLeases notes until when leases may last that the worker has granted to requests for former incarnations of it, or of
// former owners. Once it has seen a token that fences them off it grants no more; until then some may be carried out late.
func (s *State) noteEarlierLeases(w *worker, r Report, now time.Time) {
	if r.Unfenced {
		w.extendLease(now.Add(maxCallDelay+s.longestLeaseTTL()), "a late request for a former incarnation")
		return
	}
	ttl, basis := s.longestLeaseTTL(), "the longest lease that may have been granted before it was fenced"
	if s.isSettled(w) {
		s.formerIncarnations[w.info.ID] = FencedIncarnation{Number: w.info.Incarnation, Settled: true}
		ttl, basis = s.timing.LeaseTTL, "a lease that may have been granted before its first report"
	}
	w.fenced, w.lastFenced = true, w.info.Incarnation
	w.earlierLeasesEnd = now.Add(ttl)
	w.leaseEnd, w.leaseBasis = w.earlierLeasesEnd, basis
}

// isSettled reports whether a worker that reports for the first time has granted no longer lease than owners ask for: a former owner
// knew that, or no owner knew another incarnation.
func (s *State) isSettled(w *worker) bool {
	return !w.restarted || s.formerIncarnations[w.info.ID] == FencedIncarnation{Number: w.info.Incarnation, Settled: true}
}

// longestLeaseTTL returns how long a lease may last that a worker has granted to a request for a former incarnation of it.
func (s *State) longestLeaseTTL() time.Duration {
	return max(s.timing.LongestLeaseTTL, s.timing.LeaseTTL)
}
