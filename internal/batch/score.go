package batch

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/placement"
)

// choose returns the best worker for a task, or nil.
func (s *State) choose(st *step, t *task, workers []*worker, now time.Time) *worker {
	var best *worker
	var bestScore float64
	q := s.queueOf(st.job)
	for _, w := range workers {
		if score, ok := s.evaluate(st, &q, t, w, now); ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	if best != nil {
		s.assignRack(st, best)
	}
	return best
}

const (
	// maxFullSearches is the number of searches in one Plan that look at all workers for a single task. When many workers
	// are lost together, thousands of their tasks need such a search at once.
	maxFullSearches = 64
	// maxCandidates is the number of workers that may run the task after which a further search ends.
	maxCandidates = 64
)

// search returns a worker for a task that may prefer others than the tasks of its step, or nil if there is none: the best
// one or, after maxFullSearches in the same Plan, the best of maxCandidates. Steps that prefer a rack have the best one
// always.
func (s *State) search(st *step, t *task, workers []*worker, now time.Time) *worker {
	if s.fullSearches < maxFullSearches || st.spec.RackLocal || st.spec.DataRack != "" {
		s.fullSearches++
		return s.choose(st, t, workers, now)
	}
	return s.chooseFromFew(st, t, workers, now)
}

// chooseFromFew returns the best of the next maxCandidates workers that may run a task, or nil if there is none. Each
// search begins where the last one ended.
func (s *State) chooseFromFew(st *step, t *task, workers []*worker, now time.Time) *worker {
	var best *worker
	var bestScore float64
	q := s.queueOf(st.job)
	candidates, first := 0, s.nextCandidate
	for i := range workers {
		s.nextCandidate = (first + i + 1) % len(workers)
		w := workers[(first+i)%len(workers)]
		score, ok := s.evaluate(st, &q, t, w, now)
		if !ok {
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
		if candidates++; candidates == maxCandidates {
			break
		}
	}
	return best
}

// evaluate returns the score of a worker for a task and whether the worker may get the task at all.
// q is the queue of the step's job.
func (s *State) evaluate(st *step, q *Queue, t *task, w *worker, now time.Time) (float64, bool) {
	s.evaluations++
	if s.rejects(st, q, t, w, now) != notRejected {
		return 0, false
	}
	return s.score(st, t, w), true
}

// latencyGroupsMaxAge is how long the latency groups of a worker are reused while no attempt or CPU
// limit changes there.
const latencyGroupsMaxAge = 50 * time.Millisecond

// updateLatencyGroups recomputes the latency groups and the idle CPU of a worker if they are out of
// date.
func (s *State) updateLatencyGroups(w *worker, now time.Time) {
	if w.latencySensitive == 0 {
		w.clearLatencyGroups()
		return
	}
	if now.Sub(w.latencyGroupsAt) > latencyGroupsMaxAge {
		w.latencyGroupsAt, w.latencyGroups = now, s.interferenceModel.latencyGroups(w, now)
		w.idleCPU = s.interferenceModel.idleCPU(w.latencyGroups, now)
	}
}

// clearLatencyGroups removes the latency groups of a worker without latency-sensitive tasks.
func (w *worker) clearLatencyGroups() {
	if len(w.latencyGroups) > 0 {
		w.latencyGroups, w.idleCPU = nil, 0
	}
}

// assignRack sets the rack of a rack-local step to that of the first worker chosen for it.
func (s *State) assignRack(st *step, w *worker) {
	if st.spec.RackLocal && st.rack == "" {
		st.rack = w.rack
	}
}

// The weights of the terms of a score. A score of 1 stands for all of a worker's CPU being free.
const (
	weightRack         = 8.0 // bonus for the rack of the data or of the step's other tasks
	weightFailures     = 4.0 // penalty for each recent failure, and for a retry on the same worker
	weightWarmUp       = 2.0 // penalty while the worker is slow after its start
	weightSlowness     = 2.0 // penalty for a worker where tasks stood still lately
	weightImageMix     = 3.0 // bonus for each level of imageMix
	weightBestEffort   = 1.0 // penalty for the CPU share of best-effort tasks
	weightLargeWait    = 1.0 // penalty for each task of the largest waiting size that would find no room any more
	weightInterference = 5.0 // penalty for the utilisation added to latency-sensitive tasks
	// assumedCPUUse is the part of their reserved CPU that latency-sensitive tasks are expected to
	// use while no reliable estimate of their load exists.
	assumedCPUUse = 0.45
	// bestEffortOvercommit is the part of a worker's CPU by which best-effort tasks may ask for more
	// than the other tasks leave.
	bestEffortOvercommit = 0.1
)

// score returns how well a worker suits a task; higher is better.
func (s *State) score(st *step, t *task, w *worker) float64 {
	score := -t.isolationPenalty(w)
	if st.spec.DataRack != "" && w.rack == st.spec.DataRack || st.rack != "" && w.rack == st.rack {
		score += weightRack
	}
	if len(t.failed) > 0 && t.lastWorker == w.info.ID {
		score -= weightFailures
	}
	score -= weightFailures * float64(len(w.failures))
	if w.info.WarmUp > 0 {
		score -= weightWarmUp
	}
	score -= weightSlowness * w.slowness
	cpu := float64(max(1, w.info.Capacity.CPU))
	if !st.spec.BestEffort {
		score -= weightLargeWait * float64(placement.SlotsLost(w.free(), st.reserved, s.largeWait))
	}
	if st.spec.LatencyTarget > 0 {
		// Among equally mixed workers, latency-sensitive tasks are packed on few, so that the others
		// can run best-effort tasks without limits.
		score += weightImageMix * float64(w.imageMix(st.spec.Image))
		score -= weightBestEffort * float64(w.bestEffortCPU) / cpu
		return score - float64(w.free().CPU)/cpu
	}
	if st.spec.BestEffort {
		score -= weightInterference * s.interferenceModel.addedUtilisation(w, st)
	}
	return score + float64(w.unusedCPU())/cpu
}

// unusedCPU returns the CPU that the tasks on a worker are expected to leave unused, in thousandths
// of a core.
func (w *worker) unusedCPU() int64 {
	return w.info.Capacity.CPU - w.used.CPU + w.idleCPU - w.bestEffortCPU
}

// admitsBestEffort reports whether a best-effort task of the step may run on a worker: the other
// tasks leave enough CPU, and no predicted utilisation there rises above admitUtilisation. See tryStarved for trials.
func (s *State) admitsBestEffort(st *step, w *worker) bool {
	if float64(w.unusedCPU()-st.spec.Resources.CPU) < -bestEffortOvercommit*float64(w.info.Capacity.CPU) {
		return false
	}
	if w.latencySensitive == 0 || s.isTrial && w.admitsTrial() {
		return true
	}
	return s.interferenceModel.worstUtilisation(w, st, w.latencyGroups) <= admitUtilisation
}
