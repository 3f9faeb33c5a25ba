package batch

import "time"

// maxUnreadable is how long the reports of a worker may leave open what runs there, since they cannot be read in full,
// until its lease is not renewed any more.
const maxUnreadable = 4 * time.Second

// endUnreadable lets the lease of a worker lapse whose reports cannot be read for long if a task waits to know what runs
// there. Once the lease has ended, nothing of before runs there, and the worker may be used again.
func (s *State) endUnreadable(w *worker, r Report, now time.Time) {
	switch {
	case !r.Unreadable:
		w.unreadableSince, w.lapsing = time.Time{}, false
	case w.unreadableSince.IsZero():
		w.unreadableSince = now
	case !s.leavesDoubt(w, now):
		w.lapsing = false
	case !w.lapsing:
		w.lapsing, w.renewalsEnded, w.leaseConfirmed = true, false, false
		w.quarantine(now, maxUnreadable+s.timing.LeaseTTL, quarantineTime)
		s.event(Event{Name: "worker.lapses", Worker: w.info.ID, Detail: "its reports leave open what runs there"})
	}
}

// leavesDoubt reports whether the reports of a worker have left open for maxUnreadable what a former owner has started
// there, or whether an attempt runs there.
func (s *State) leavesDoubt(w *worker, now time.Time) bool {
	_, unresolved := s.unresolvedWorkers[w.info.ID]
	if unresolved && now.Sub(w.unreadableSince) >= maxUnreadable && s.hasTasksOfFormerOwners() {
		return true
	}
	for _, a := range w.attempts {
		if !a.unsent && !a.startPending && !a.missingSince.IsZero() && now.Sub(a.missingSince) >= maxUnreadable {
			return true
		}
	}
	return false
}

// hasTasksOfFormerOwners reports whether a step has waiting tasks that a former owner may have started.
func (s *State) hasTasksOfFormerOwners() bool {
	for st := range s.open.all() {
		if st.startedByFormerOwner && st.waiting > 0 {
			return true
		}
	}
	return false
}

// MustLapse reports whether the lease of a worker must not be renewed.
func (s *State) MustLapse(id WorkerID) bool {
	w := s.workers[id]
	return w != nil && w.lapsing
}

// isLapsing reports whether the lease of the worker is not renewed, and no renewal is on its way.
func (w *worker) isLapsing() bool { return w.unreachable || w.lapsing && w.renewalsEnded }
