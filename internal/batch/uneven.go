package batch

import (
	"fmt"
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

// noteStart notes that an attempt has begun from 0. Where one that resumes begins is not known before it is listed.
func (a *attempt) noteStart(now time.Time) {
	if !a.listed && a.task().checkpoint == "" && a.showsSpeed() {
		a.progress.Observe(0, now)
	}
}

// noteProgress notes the progress that a report shows.
func (a *attempt) noteProgress(percent int, now time.Time) {
	if !a.showsSpeed() {
		a.progress.Reset()
		return
	}
	a.progress.Observe(percent, now)
}

// noteFinish adds the rate of an attempt that is done, if it has run from 0 without a CPU limit, to those of its peers. a may be nil.
func (a *attempt) noteFinish(now time.Time) {
	if a == nil || a.acceptedAt.IsZero() || a.task().checkpointRun != 0 && a.task().checkpointRun != a.run || !a.showsSpeed() || !a.cpuLimitAt.IsZero() {
		return
	}
	if took := now.Sub(a.acceptedAt); took > 0 {
		a.step.peers.Finish(fullPercent / took.Seconds())
	}
}

// showsSpeed reports whether the progress of the attempt tells something of the speed of its worker: it ends by itself, and neither a
// CPU limit nor the start of its worker slows it down.
func (a *attempt) showsSpeed() bool {
	return !a.step.spec.LongRunning && a.cpuLimit == fullPercent && a.worker.info.WarmUp == 0
}

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

// rate returns the recent progress of an attempt, if it tells something of its worker.
func (a *attempt) rate(now time.Time) (workerspeed.Rate, bool) {
	if a.stopping || !a.listed || a.worker.unreachable || !a.showsSpeed() {
		return workerspeed.Rate{}, false
	}
	return a.progress.Rate(now)
}

// latency returns the tail latency of an attempt with a latency target that is ready.
func (a *attempt) latency() (time.Duration, bool) {
	if a.stopping || !a.listed || a.worker.unreachable || a.step.spec.LatencyTarget == 0 || a.percent < fullPercent || a.lastMeasurement <= 0 {
		return 0, false
	}
	return time.Duration(a.lastMeasurement) * time.Millisecond, true
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
		to := s.choose(a.step, a.task(), workers, now)
		if to == nil {
			continue
		}
		s.stop(a, "slow worker")
		// The room counts as used until the search ends, so that no more tasks are moved there than fit.
		to.used = to.used.plus(a.reserved)
		defer func() { to.used = to.used.minus(a.reserved) }()
	}
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
