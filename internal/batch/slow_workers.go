package batch

import (
	"fmt"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/workerspeed"
)

// judgeWorkerSpeeds compares the progress of tasks with that of their peers, avoids the workers that are slow, and moves tasks
// from there that are done sooner elsewhere.
func (s *State) judgeWorkerSpeeds(now time.Time) {
	s.comparePeers(now)
	moves := maxMovesFromSlow
	for _, w := range s.sortedWorkers() {
		e := w.speedEvidence(now)
		isSlow := e.Probability() >= workerspeed.ConfirmedSlow
		s.settleDeferred(w, isSlow, now)
		if isSlow {
			s.avoidSlow(w, e, now)
			s.moveFromSlow(w, &moves, now)
		}
		w.slowness = 1 - w.avoidance.Speed(now)
	}
}

// comparePeers collects for each step how fast its attempts make progress.
func (s *State) comparePeers(now time.Time) {
	for _, w := range s.workers {
		for _, a := range w.attempts {
			a.step.peers.Begin()
		}
	}
	for _, w := range s.workers {
		for _, a := range w.attempts {
			if rate, ok := a.rate(now); ok {
				a.step.peers.Add(rate.PercentPerSecond)
			} else if latency, ok := a.latency(); ok {
				a.step.peers.Add(1 / latency.Seconds())
			}
		}
	}
}

// meetsTarget reports whether the median latency of the step's tasks is known and meets their target.
func (st *step) meetsTarget() bool {
	typical, ok := st.peers.Typical()
	return ok && typical*st.spec.LatencyTarget.Seconds() >= 1
}

// speedEvidence returns what the progress and the latencies of the attempts on a worker say of its speed.
func (w *worker) speedEvidence(now time.Time) workerspeed.Evidence {
	var e workerspeed.Evidence
	if w.unreachable || w.info.WarmUp > 0 {
		return e
	}
	undisturbed := w.isUndisturbed(now)
	for _, a := range w.attempts {
		typical, ok := a.step.peers.Typical()
		if !ok {
			continue
		}
		if rate, ok := a.rate(now); ok {
			e.Add(rate, typical)
		} else if latency, ok := a.latency(); ok && undisturbed {
			e.AddLatency(latency, time.Duration(float64(time.Second)/typical), a.step.spec.LatencyTarget)
		}
	}
	return e
}

// isUndisturbed reports whether no best-effort task has had CPU on the worker for so long that the measured latencies tell nothing of
// such tasks.
func (w *worker) isUndisturbed(now time.Time) bool {
	const settled = stabilisationTime + measurementLag
	if now.Sub(w.bestEffortEndedAt) < settled {
		return false
	}
	for _, a := range w.attempts {
		if a.step.spec.BestEffort && (a.cpuLimit > 0 || now.Sub(a.cpuLimitAt) < settled) {
			return false
		}
	}
	return true
}

// avoidSlow keeps new tasks away from a slow worker for a while.
func (s *State) avoidSlow(w *worker, e workerspeed.Evidence, now time.Time) {
	if w.avoidance.Active(now) {
		return
	}
	w.slowSince = now
	until := w.avoidance.Begin(e.Speed(), now)
	w.quarantine(now, until.Sub(now), lastResortDelay)
	s.event(Event{Name: "worker.slow", Worker: w.info.ID,
		Detail: fmt.Sprintf("its tasks run at %.3f of the speed of their peers; avoided for %s", e.Speed(), until.Sub(now)),
		Inputs: fmt.Sprintf("%d tasks stand still, %d are slow, %d late and %d normal; probability %.3f", e.Still, e.Slow, e.Late, e.Normal, e.Probability())})
}

// SlowWorkers returns the number of workers that are avoided since they are slow.
func (s *State) SlowWorkers(now time.Time) int {
	n := 0
	for _, w := range s.workers {
		if w.avoidance.Active(now) {
			n++
		}
	}
	return n
}
