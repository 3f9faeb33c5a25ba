package batch

import (
	"fmt"
	"time"
)

// SetUnresolvedWorkers sets the workers on which a former owner may have started tasks, and for each
// the time until which these may run if the worker stays unreachable.
func (s *State) SetUnresolvedWorkers(until map[WorkerID]time.Time) {
	for id, t := range until {
		s.unresolvedWorkers[id] = t
	}
}

// ShortenDoubt notes that what former owners started on a worker has ended by a time if the worker stays
// unreachable. It reports whether that is earlier than was known.
func (s *State) ShortenDoubt(id WorkerID, until time.Time) bool {
	if known, ok := s.unresolvedWorkers[id]; !ok || !until.Before(known) {
		return false
	}
	s.unresolvedWorkers[id] = until
	return true
}

// LeaseRenewed notes that a lease was sent to the worker, which has certainly ended at leaseEnd.
// confirmed says that the worker has responded to the renewal; it may get tasks from then on.
func (s *State) LeaseRenewed(id WorkerID, leaseEnd time.Time, confirmed bool) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.extendLease(leaseEnd, "a renewal by this owner")
	w.leaseConfirmed = w.leaseConfirmed || confirmed
	w.renewalsEnded = !confirmed
}

// extendLease notes that a lease of the worker may last until a time. basis says for the log what that rests on.
func (w *worker) extendLease(end time.Time, basis string) {
	if end.After(w.leaseEnd) {
		w.leaseEnd, w.leaseBasis = end, basis
	}
}

// describeLeaseEnd says for the log why the lease of a worker counts as ended, and for which incarnation.
func (w *worker) describeLeaseEnd(now time.Time) string {
	return fmt.Sprintf("incarnation %d; the latest lease ended %s ago by %s", w.info.Incarnation, now.Sub(w.leaseEnd).Round(time.Millisecond), w.leaseBasis)
}

// describeFormerLease says for the log why what former owners have started on a worker counts as ended.
func (s *State) describeFormerLease(id WorkerID, until, now time.Time) string {
	if w := s.workers[id]; w != nil && w.reported {
		return w.describeLeaseEnd(now)
	}
	return fmt.Sprintf("this owner has not heard of it; the former owners' leases ended %s ago by their permissions and records", now.Sub(until).Round(time.Millisecond))
}

// LeaseEnd returns the time by which everything on a worker has ended if it stays out of contact, also what a
// former owner may have started there. It is zero if the worker has no lease.
func (s *State) LeaseEnd(id WorkerID) time.Time {
	end := s.unresolvedWorkers[id]
	w := s.workers[id]
	if w == nil {
		return end
	}
	end = LaterOf(end, w.leaseEnd)
	for _, a := range w.attempts {
		end = LaterOf(end, s.leaseEnd(a))
	}
	return end
}

// MayStartLate reports whether a worker may have carried out a start that was sent to its former incarnation, or still may, so
// that LeaseEnd lies beyond all leases that were sent to it.
func (s *State) MayStartLate(id WorkerID) bool {
	w := s.workers[id]
	if w == nil {
		return false
	}
	for _, a := range w.attempts {
		if !a.listed && !a.restartedAt.IsZero() {
			return true
		}
	}
	return false
}

// HasLease reports whether the worker has confirmed a renewal since it was last unreachable.
func (s *State) HasLease(id WorkerID) bool {
	w := s.workers[id]
	return w != nil && w.leaseConfirmed
}

// describeLease says for the log, of an attempt that has ended with its lease, until when the lease has certainly ended by
// the renewals that were sent: a time ahead means that the newest of them has not arrived.
func (w *worker) describeLease(reason EndReason, now time.Time) string {
	if reason != EndLeaseExpired {
		return ""
	}
	return fmt.Sprintf("the newest lease sent ends in %s at the latest", w.leaseEnd.Sub(now).Round(time.Millisecond))
}

// maxCallDelay is the longest time after which a worker may still carry out a request that got no answer.
const maxCallDelay = 12 * time.Second

// leaseEnd returns the time by which an attempt has certainly ended if its worker stays out of contact. An
// attempt that no report has listed may run in an incarnation that has seen no renewal, only the start: there
// the start grants up to the longest lease, and the time until which the start is valid means nothing, since it is
// on the clock of the former incarnation.
func (s *State) leaseEnd(a *attempt) time.Time {
	switch {
	case a.listed:
		return a.worker.leaseEnd
	case !a.restartedAt.IsZero():
		lastRequest := LaterOf(a.requestedAt, LaterOf(a.unansweredAt, a.acceptedAt)).Add(maxCallDelay)
		if s.formerWorkers[a.worker.info.ID] {
			lastRequest = LaterOf(lastRequest, s.formerRequestsEnd)
		}
		return LaterOf(a.worker.leaseEnd, lastRequest.Add(s.longestLeaseTTL()))
	case !a.acceptedAt.IsZero():
		return LaterOf(a.worker.leaseEnd, a.acceptedAt.Add(s.timing.LeaseTTL))
	default:
		return LaterOf(a.worker.leaseEnd, a.requestedAt.Add(s.timing.StartLeaseTTL+s.timing.LeaseTTL))
	}
}

// ExtendOwnership sets the time until which no other owner can have taken over. After it, a successor
// may renew the leases of workers that this owner cannot reach, so this owner must not treat them
// as ended.
func (s *State) ExtendOwnership(until time.Time) { s.ownedUntil = LaterOf(s.ownedUntil, until) }

// expireLeases removes the attempts on unreachable workers whose leases have ended, if no other owner
// can have renewed the leases. It also deletes idle workers that the registry no longer has, and
// deletes the unresolved workers whose leases from the former owner have ended.
func (s *State) expireLeases(now time.Time) {
	for id, w := range s.workers {
		if s.isForgettable(w) && !now.Before(w.quarantinedUntil) {
			s.forget(id)
			continue
		}
		if !w.isLapsing() || !s.leaseHasEnded(w.leaseEnd, now) {
			continue
		}
		for _, a := range w.attempts {
			if s.leaseHasEnded(s.leaseEnd(a), now) {
				s.lose(a, "lease ended out of contact", w.describeLeaseEnd(now), now)
			}
		}
		if s.isForgettable(w) {
			s.forget(id)
		}
	}
	s.resolveLateRuns(now)
	for id, until := range s.unresolvedWorkers {
		if w := s.workers[id]; w != nil && w.reported {
			// Its reports so far were incomplete, and its lease has been renewed.
			if !w.isLapsing() {
				continue
			}
			until = LaterOf(until, w.leaseEnd)
		}
		if now.After(until) && s.ownedUntil.After(until) {
			s.event(Event{Name: "takeover.resolved", Worker: id, Detail: "its lease has ended out of contact", Inputs: s.describeFormerLease(id, until, now)})
			delete(s.unresolvedWorkers, id)
		}
	}
}

// forget drops a worker. If the registry lists it again, it may have been restarted meanwhile.
func (s *State) forget(id WorkerID) {
	delete(s.workers, id)
	s.formerWorkers[id] = true
	s.sorted = nil
}

// leaseHasEnded reports whether a lease with the given end has ended, without another owner that can have
// renewed it.
func (s *State) leaseHasEnded(end, now time.Time) bool {
	return !now.Before(end) && !s.ownedUntil.Before(end)
}

// slowAnswer is how long a worker may take to answer a start until the answer may be lost.
const slowAnswer = 100 * time.Millisecond

// HasUnansweredStart reports whether the worker was sent a start of which it is not known whether it was carried out, and
// which it has not answered for slowAnswer.
func (s *State) HasUnansweredStart(id WorkerID, now time.Time) bool {
	w := s.workers[id]
	if w == nil {
		return false
	}
	for _, a := range w.attempts {
		if !a.listed && a.acceptedAt.IsZero() && now.Sub(a.requestedAt) > slowAnswer {
			return true
		}
	}
	return false
}
