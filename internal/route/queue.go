package route

import (
	"container/heap"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// waiter is a request that waits for a slot.
type waiter struct {
	deadline time.Time
	// sequence orders requests with the same deadline by arrival.
	sequence uint64
	// tried lists the targets of earlier attempts, which are avoided.
	tried []model.TargetID
	// granted receives the target whose slot was granted. It has capacity 1, so the sender does
	// not block.
	granted chan *target
	// index is the position in the heap, or -1 if the waiter is not queued.
	index int
}

// before reports whether w is served before o.
func (w *waiter) before(o *waiter) bool {
	if !w.deadline.Equal(o.deadline) {
		return w.deadline.Before(o.deadline)
	}
	return w.sequence < o.sequence
}

// queue is a priority queue of waiters, the earliest deadline first.
type queue struct{ heap waiterHeap }

// push adds a waiter.
func (q *queue) push(w *waiter) { heap.Push(&q.heap, w) }

// pop removes and returns the waiter with the earliest deadline, or nil.
func (q *queue) pop() *waiter {
	if len(q.heap) == 0 {
		return nil
	}
	return heap.Pop(&q.heap).(*waiter)
}

// remove takes a waiter out and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.heap, w.index)
	return true
}

// len returns the number of waiters.
func (q *queue) len() int { return len(q.heap) }

// countAhead returns the number of waiters that are served before a new one with this deadline.
func (q *queue) countAhead(deadline time.Time) int {
	n := 0
	for _, w := range q.heap {
		if !w.deadline.After(deadline) {
			n++
		}
	}
	return n
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int           { return len(h) }
func (h waiterHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}
