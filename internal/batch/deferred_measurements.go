package batch

import (
	"slices"
	"time"
)

const (
	// deferTime is the longest time for which a measurement is deferred.
	deferTime = 1500 * time.Millisecond
	// deferUtilisation is the utilisation above which a measurement may be that of a slow worker: the latency is four times its
	// target.
	deferUtilisation = 0.95
)

// deferredMeasurement is a measurement that the interference model gets once it is known that the worker is not slow. The weights of
// best-effort images and the loads of jobs hold for all workers, so that a few slow ones would spoil them for all.
type deferredMeasurement struct {
	measurement
	shares map[string]float64
	at     time.Time
}

// mayBeOfSlowWorker reports whether a measurement is far above its target while those of most peers meet theirs.
func (m measurement) mayBeOfSlowWorker() bool {
	return m.utilisation > deferUtilisation && m.peersMeetTarget
}

// defers keeps a measurement back if the worker may be slow, and reports whether it did.
func (w *worker) defers(m measurement, shares map[string]float64, now time.Time) bool {
	if w.avoidance.Active(now) {
		return true
	}
	if !m.mayBeOfSlowWorker() || w.hasDeferredFor(now) >= deferTime {
		return false
	}
	if !slices.ContainsFunc(w.deferred, func(d deferredMeasurement) bool { return d.job == m.job && d.image == m.image }) {
		w.deferred = append(w.deferred, deferredMeasurement{m, shares, now})
	}
	return true
}

// hasDeferredFor returns how long the worker's first deferred measurement has been kept.
func (w *worker) hasDeferredFor(now time.Time) time.Duration {
	if len(w.deferred) == 0 {
		return 0
	}
	return now.Sub(w.deferred[0].at)
}

// settleDeferred drops the deferred measurements of a slow worker. Those of others go to the model once no best-effort task disturbs
// the worker any more and its latencies are as usual, or after deferTime.
func (s *State) settleDeferred(w *worker, isSlow bool, now time.Time) {
	switch {
	case isSlow || w.avoidance.Active(now):
	case w.hasDeferredFor(now) >= deferTime, w.isUndisturbed(now):
		for _, d := range w.deferred {
			s.interferenceModel.applyMeasurement(d.measurement, d.shares, now.Add(-measurementLag))
		}
	default:
		return
	}
	w.deferred = nil
}
