package batch

import (
	"container/heap"
	"time"
)

// ranking is the order of the workers for the tasks of one step within a plan. It is built
// once, and each choice rates only the worker that was chosen again, so that a wide step
// does not cost a look at every worker for each of its tasks.
type ranking struct {
	state   *State
	step    *step
	workers []*worker
	now     time.Time

	rated ratedWorkers
	built bool
	// rack is the step's rack for which the workers were rated.
	rack string
}

func (s *State) newRanking(st *step, workers []*worker, now time.Time) *ranking {
	return &ranking{state: s, step: st, workers: workers, now: now}
}

// best returns the best worker for a task, or nil. The last choice must have been reserved,
// or taken back together with the ranking.
func (r *ranking) best(t *task) *worker {
	if len(t.failed) > 0 {
		// Its last worker counts for less, so the common order does not hold.
		r.built = false
		return r.state.choose(r.step, t, r.workers, r.now)
	}
	if !r.built || r.rack != r.step.rack {
		r.build(t)
	} else if len(r.rated) > 0 {
		r.rateFirst(t)
	}
	if len(r.rated) == 0 {
		return nil
	}
	w := r.rated[0].worker
	r.state.joinRack(r.step, w)
	return w
}

func (r *ranking) build(t *task) {
	r.built, r.rack = true, r.step.rack
	r.rated = r.rated[:0]
	for i, w := range r.workers {
		if score, ok := r.state.rate(r.step, t, w, r.now); ok {
			r.rated = append(r.rated, ratedWorker{worker: w, score: score, order: i})
		}
	}
	heap.Init(&r.rated)
}

// rateFirst rates the first worker again, which the last choice has changed.
func (r *ranking) rateFirst(t *task) {
	score, ok := r.state.rate(r.step, t, r.rated[0].worker, r.now)
	if !ok {
		heap.Pop(&r.rated)
		return
	}
	r.rated[0].score = score
	heap.Fix(&r.rated, 0)
}

// ratedWorker is a worker that may get a task of the step.
type ratedWorker struct {
	worker *worker
	score  float64
	order  int // place among all workers, which decides between equal scores
}

// ratedWorkers is a heap with the best worker first.
type ratedWorkers []ratedWorker

func (h ratedWorkers) Len() int { return len(h) }

func (h ratedWorkers) Less(i, j int) bool {
	if h[i].score != h[j].score {
		return h[i].score > h[j].score
	}
	return h[i].order < h[j].order
}

func (h ratedWorkers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *ratedWorkers) Push(x any) { *h = append(*h, x.(ratedWorker)) }

// Pop implements heap.Interface.
func (h *ratedWorkers) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
