package batch

import (
	"maps"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/workerspeed"
)

// maxMovesFromSlow bounds the searches for another worker in one check, since each looks at all workers.
const maxMovesFromSlow = 64

const (
	// lateMoveFactor is the multiple of its target that the latency of a task on a slow worker must exceed for a move: it is out of
	// service anyway, so that a restart costs little.
	lateMoveFactor = 2
	// lateConfirmation is how long the worker must have been slow before such a move.
	lateConfirmation = 500 * time.Millisecond
)

// moveFromSlow stops the tasks on a slow worker that are served better elsewhere, as long as another worker has room. moves is how many
// more searches for one are allowed.
func (s *State) moveFromSlow(w *worker, moves *int, now time.Time) {
	workers := s.usable(now)
	for _, a := range sortedAttempts(maps.Values(w.attempts)) {
		if *moves == 0 {
			return
		}
		if !a.isServedBetterElsewhere(now) {
			continue
		}
		*moves--
		to := s.chooseForMove(a, workers, now)
		if to == nil {
			continue
		}
		s.stop(a, "slow worker")
		// The room counts as used until the search ends, so that no more tasks are moved there than fit.
		to.used = to.used.Plus(a.reserved)
		defer func() { to.used = to.used.Minus(a.reserved) }()
	}
}

// chooseForMove returns the best worker for the task of an attempt that is to be stopped, without the room that would be reserved from
// the task then; nil if there is none.
func (s *State) chooseForMove(a *attempt, workers []*worker, now time.Time) *worker {
	entry := s.openStepEntry(a.step, now)
	entry.restart = a.step.spec.LongRunning
	s.beginPlacing(entry, now)
	defer s.endPlacing()
	return s.choose(a.step, a.task(), workers, now)
}

// isServedBetterElsewhere reports whether a move of the attempt pays.
func (a *attempt) isServedBetterElsewhere(now time.Time) bool {
	if a.step.spec.LatencyTarget > 0 {
		return a.isLate() && a.mayBeDisrupted() && now.Sub(a.worker.slowSince) >= lateConfirmation
	}
	return a.isDoneSoonerElsewhere(now)
}

// isLate reports whether the latency of an attempt is far above its target.
func (a *attempt) isLate() bool {
	latency, ok := a.latency()
	return ok && latency > lateMoveFactor*a.step.spec.LatencyTarget
}

// isDoneSoonerElsewhere reports whether an attempt that ends by itself is. Members of a gang and tasks whose step bounds disruptions
// stay.
func (a *attempt) isDoneSoonerElsewhere(now time.Time) bool {
	rate, ok := a.rate(now)
	typical, known := a.step.peers.Typical()
	if !ok || !known || a.step.spec.Gang || a.step.spec.MaxDisrupted > 0 {
		return false
	}
	return workerspeed.Move(workerspeed.Run{Percent: a.percent, Rate: rate, Typical: typical, SavedAtStop: a.step.spec.Checkpoints})
}
