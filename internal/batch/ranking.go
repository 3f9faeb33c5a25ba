package batch

import (
	"container/heap"
	"time"
)

// ranking orders the workers for the tasks of one step within one Plan. All workers are scored once;
// after that, each choice rescores only the worker that was chosen before, so that the cost of a
// step with many tasks does not grow with the number of tasks times the number of workers.
type ranking struct {
	state   *State
	step    *step
	queue   Queue // that of the step's job
	workers []*worker
	now     time.Time

	scored scoredWorkers
	built  bool
	// rack is the rack of the step when the workers were scored.
	rack string
}

// newRanking returns a ranking. It is valid until the next one is made.
func (s *State) newRanking(st *step, workers []*worker, now time.Time) *ranking {
	return &ranking{state: s, step: st, queue: s.queueOf(st.job), workers: workers, now: now, scored: s.scoredBuffer[:0]}
}

// choose returns the best worker for a task, or any that may get it if no task of the step may be started before a record
// is durable; nil if there is none.
func (r *ranking) choose(t *task) *worker {
	if !r.step.startRecordDurable {
		return r.any(t)
	}
	return r.best(t)
}

// best returns the best worker for a task, or nil. Before the next call, the caller must reserve the
// worker that was returned. It must not use the ranking any more after undoing a reservation.
func (r *ranking) best(t *task) *worker {
	if len(t.failed) > 0 || t.suspected() {
		// The task's last worker, or those with other tasks, have a lower score for it, so the common order
		// does not apply.
		r.built = false
		return r.state.search(r.step, t, r.workers, r.now)
	}
	if !r.built || r.rack != r.step.rack {
		r.build(t)
	} else if len(r.scored) > 0 {
		r.rescoreFirst(t)
	}
	if len(r.scored) == 0 {
		return nil
	}
	w := r.scored[0].worker
	r.state.assignRack(r.step, w)
	return w
}

// build scores all workers.
func (r *ranking) build(t *task) {
	r.built, r.rack = true, r.step.rack
	r.scored = r.scored[:0]
	for i, w := range r.workers {
		if score, ok := r.state.evaluate(r.step, &r.queue, t, w, r.now); ok {
			r.scored = append(r.scored, scoredWorker{worker: w, score: score, order: i})
		}
	}
	heap.Init(&r.scored)
	r.state.scoredBuffer = r.scored
}

// any returns a worker that may get a task, or nil. It costs less than best, which looks at all workers.
func (r *ranking) any(t *task) *worker {
	for _, w := range r.workers {
		if r.state.rejects(r.step, &r.queue, t, w, r.now) == notRejected {
			return w
		}
	}
	return nil
}

// rescoreFirst updates the score of the first worker, whose free resources have changed since it was
// chosen, or removes the worker if it may not get another task.
func (r *ranking) rescoreFirst(t *task) {
	score, ok := r.state.evaluate(r.step, &r.queue, t, r.scored[0].worker, r.now)
	if !ok {
		heap.Pop(&r.scored)
		return
	}
	r.scored[0].score = score
	heap.Fix(&r.scored, 0)
}

// scoredWorker is a worker that may get a task of the step, with its score.
type scoredWorker struct {
	worker *worker
	score  float64
	order  int // position in the list of workers, which breaks ties between equal scores
}

// scoredWorkers is a heap with the best worker first.
type scoredWorkers []scoredWorker

func (h scoredWorkers) Len() int { return len(h) }

func (h scoredWorkers) Less(i, j int) bool {
	if h[i].score != h[j].score {
		return h[i].score > h[j].score
	}
	return h[i].order < h[j].order
}

func (h scoredWorkers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *scoredWorkers) Push(x any) { *h = append(*h, x.(scoredWorker)) }

// Pop implements heap.Interface.
func (h *scoredWorkers) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
