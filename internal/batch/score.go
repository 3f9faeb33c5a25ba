package batch

import (
	"slices"
	"time"
)

// choose returns the best worker for a task, or nil.
func (s *State) choose(st *step, t *task, workers []*worker, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range workers {
		if score, ok := s.rate(st, t, w, now); ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	if best != nil {
		s.joinRack(st, best)
	}
	return best
}

// rate rates a worker for a task; higher is better. It reports whether the worker may get
// the task at all.
func (s *State) rate(st *step, t *task, w *worker, now time.Time) (float64, bool) {
	q := s.queueOf(st.job)
	if !st.suits(w, q) || q.RequiresTicket && !st.advice.admits(w, now) {
		return 0, false
	}
	if st.spec.BestEffort || st.spec.LatencyTarget > 0 {
		s.feel(w, now)
	}
	if st.spec.BestEffort && !s.admits(st, w) {
		return 0, false
	}
	return s.score(st, t, w), true
}

// feltAge is how long what is felt on a worker holds while nothing changes there.
const feltAge = 50 * time.Millisecond

// feel brings what is felt on a worker up to date.
func (s *State) feel(w *worker, now time.Time) {
	if now.Sub(w.feltAt) > feltAge {
		w.feltAt, w.felts = now, s.press.feel(w, now)
		w.idle = s.press.idle(w.felts, now)
	}
}

// joinRack makes the rack of the first worker that of a step whose tasks should share one.
func (s *State) joinRack(st *step, w *worker) {
	if st.spec.RackLocal && st.rack == "" {
		st.rack = w.rack
	}
}

// suits reports whether a worker of the queue's service has room and what the step asks for.
func (st *step) suits(w *worker, q Queue) bool {
	return w.info.Service == q.Service && st.reserved.Fits(w.free()) && st.allows(w)
}

// allows checks what the step asks of a worker beside room.
func (st *step) allows(w *worker) bool {
	if st.spec.Label != "" && !slices.Contains(w.info.Labels, st.spec.Label) {
		return false
	}
	if st.spec.MaxPerWorker == 0 {
		return true
	}
	n := 0
	for key := range w.attempts {
		if key.task.Job == st.job.ID && key.task.Step == st.number && key.task.Occurrence == st.occ.number {
			n++
		}
	}
	return n < st.spec.MaxPerWorker
}

// The weights of a choice, in units of a worker's whole processors.
const (
	weightRack     = 8.0
	weightFailures = 4.0
	weightCold     = 2.0
	weightServing  = 6.0
	weightFillers  = 1.0
	weightImage    = 3.0
	weightPress    = 1.0
	// servingUse is the part of their reserved processors that tasks with a latency target are
	// taken to use while their load is not known.
	servingUse = 0.45
	// fillerOvercommit is the part of a worker's processors by which fillers may ask for more
	// than others leave.
	fillerOvercommit = 0.1
)

// score rates a worker for a task; higher is better.
func (s *State) score(st *step, t *task, w *worker) float64 {
	score := 0.0
	if st.spec.DataRack != "" && w.rack == st.spec.DataRack || st.rack != "" && w.rack == st.rack {
		score += weightRack
	}
	if len(t.failed) > 0 && t.lastWorker == w.info.ID {
		score -= weightFailures
	}
	score -= weightFailures * float64(w.failures)
	if w.info.WarmUp > 0 {
		score -= weightCold
	}
	cpu := float64(max(1, w.info.Capacity.CPU))
	if st.spec.LatencyTarget > 0 {
		// Tasks with a latency target share few workers, so that the others are free of them.
		if w.serving > 0 {
			score += weightServing
		}
		if slices.ContainsFunc(w.felts, func(f felt) bool { return f.image == st.spec.Image }) {
			score += weightImage
		}
		score -= weightFillers * float64(w.fillCPU) / cpu
		return score - float64(w.free().CPU)/cpu
	}
	if st.spec.BestEffort {
		// Where tasks have latency targets, fillers come only if others are full, the lightest first.
		if w.serving > 0 {
			score -= weightPress * s.press.worst(w, st, w.felts)
		}
	}
	return score + float64(w.left())/cpu
}

// left returns the processors that the tasks on a worker leave unused, in thousandths.
func (w *worker) left() int64 {
	return w.info.Capacity.CPU - w.used.CPU + w.idle - w.fillCPU
}

// admits reports whether a filler may work on a worker: others leave enough, and no latency
// there is predicted to come near its target.
func (s *State) admits(st *step, w *worker) bool {
	if float64(w.left()-st.spec.Resources.CPU) < -fillerOvercommit*float64(w.info.Capacity.CPU) {
		return false
	}
	if w.serving == 0 {
		return true
	}
	return s.press.worst(w, st, w.felts) <= admitUtilisation
}
