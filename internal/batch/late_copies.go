package batch

import (
	"slices"
	"time"
)

// lateCopy is a start, or a copy of one, that got no answer. Its worker may carry it out up to maxCallDelay late. The
// incarnation that the start was meant for then ignores it, since it runs the attempt, or has ended or stopped it, but a
// later one under the same id knows nothing of that.
type lateCopy struct {
	key   attemptKey
	until time.Time
	// barring is set if the worker has been restarted since: a stop of the run, sent at sentAt, keeps the new incarnation
	// from starting it.
	barring bool
	sentAt  time.Time
}

// noteLateCopy notes that a copy of an attempt's start got no answer.
func (w *worker) noteLateCopy(a *attempt, now time.Time) {
	w.lateCopies = slices.DeleteFunc(w.lateCopies, func(c lateCopy) bool { return now.After(c.until) })
	w.lateCopies = append(w.lateCopies, lateCopy{key: attemptKey{a.id(), a.run}, until: now.Add(maxCallDelay)})
}

// barLateCopies begins to bar the late copies from a new incarnation of the worker.
func (s *State) barLateCopies(w *worker) {
	for i := range w.lateCopies {
		w.lateCopies[i].barring, w.lateCopies[i].sentAt = true, time.Time{}
	}
	if len(w.lateCopies) > 0 {
		s.barring[w] = true
	}
}

// sendBars sends the stops that keep restarted workers from carrying out late copies, and repeats each after
// StopRetryDelay until it is answered.
func (s *State) sendBars(now time.Time) {
	for w := range s.barring {
		w.lateCopies = slices.DeleteFunc(w.lateCopies, func(c lateCopy) bool { return now.After(c.until) })
		left := false
		for i := range w.lateCopies {
			c := &w.lateCopies[i]
			left = left || c.barring
			if a := w.attempts[c.key]; a != nil && a.stopping {
				continue // sendStops repeats the same stop
			}
			if !c.barring || w.unreachable || now.Sub(c.sentAt) < s.timing.StopRetryDelay {
				continue
			}
			c.sentAt = now
			s.stopUnknown(w, c.key.task, c.key.run, "a copy of its start may reach the restarted worker")
		}
		if !left {
			delete(s.barring, w)
		}
	}
}

// barred notes that the present incarnation of a worker will not carry out a late copy any more.
func (w *worker) barred(key attemptKey) {
	w.lateCopies = slices.DeleteFunc(w.lateCopies, func(c lateCopy) bool { return c.barring && c.key == key })
}
