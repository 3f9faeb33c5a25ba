package admission

import (
	"cmp"
	"container/heap"
	"time"
)

// waiter is a request that waits.
type waiter struct {
	request Request
	since   time.Time
	number  int           // in the order in which the requests came
	index   int           // in its list; -1 once it is removed
	granted chan struct{} // closed when the request is granted
}

// due returns by when the request should be sent.
func (w *waiter) due() time.Time {
	if w.request.Due.IsZero() {
		return w.since
	}
	return w.request.Due
}

// queue holds the requests of a class that wait: first ones, and repetitions, those that are granted first ahead.
type queue struct {
	first, repeated waiters
	// served is the number of requests that were granted after a wait, divided by the weight of the class.
	served float64
}

// of returns the list that a request belongs to.
func (q *queue) of(r Request) *waiters {
	if r.Repeated {
		return &q.repeated
	}
	return &q.first
}

func (q *queue) add(w *waiter) { heap.Push(q.of(w.request), w) }

// remove takes a request that does not wait any more out of the queue.
func (q *queue) remove(w *waiter) { heap.Remove(q.of(w.request), w.index) }

func (q *queue) len() int { return len(q.first) + len(q.repeated) }

// has reports whether there is a request, a repetition only if these count.
func (q *queue) has(repetitions bool) bool {
	return len(q.first) > 0 || repetitions && len(q.repeated) > 0
}

// take removes and returns the request that goes first, a repetition only if these count and no other waits; nil if there
// is none.
func (q *queue) take(repetitions bool) *waiter {
	list := &q.first
	if len(q.first) == 0 && repetitions {
		list = &q.repeated
	}
	if len(*list) == 0 {
		return nil
	}
	return heap.Pop(list).(*waiter)
}

// waiters is a heap of requests with the one that is granted first ahead.
type waiters []*waiter

func (h waiters) Len() int { return len(h) }

func (h waiters) Less(i, j int) bool {
	return cmp.Or(
		cmp.Compare(h[i].request.Priority, h[j].request.Priority),
		h[i].due().Compare(h[j].due()),
		cmp.Compare(h[i].number, h[j].number),
	) < 0
}

func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiters) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}
