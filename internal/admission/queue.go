package admission

import (
	"slices"
	"time"
)

// waiter is a request that waits.
type waiter struct {
	request Request
	since   time.Time
	granted chan struct{} // closed when the request is granted
	gone    bool          // its context has ended
}

// queue holds the requests of a class that wait: first ones, and repetitions, each in the order in which they came.
type queue struct {
	first, repeated fifo
	// served is the number of requests that were granted after a wait, divided by the weight of the class.
	served float64
}

// of returns the list that a request belongs to.
func (q *queue) of(r Request) *fifo {
	if r.Repeated {
		return &q.repeated
	}
	return &q.first
}

func (q *queue) add(w *waiter) { q.of(w.request).add(w) }

// remove notes that a request of the queue does not wait any more.
func (q *queue) remove(w *waiter) { q.of(w.request).remove(w) }

func (q *queue) len() int { return q.first.waiting + q.repeated.waiting }

// has reports whether there is a request, a repetition only if these count.
func (q *queue) has(repetitions bool) bool {
	return q.first.waiting > 0 || repetitions && q.repeated.waiting > 0
}

// take removes and returns the oldest request, a repetition only if these count and no other waits; nil if there is none.
func (q *queue) take(repetitions bool) *waiter {
	if w := q.first.take(); w != nil || !repetitions {
		return w
	}
	return q.repeated.take()
}

// fifo is a list of requests. It may hold some that are gone.
type fifo struct {
	waiters []*waiter
	waiting int // without those that are gone
}

func (f *fifo) add(w *waiter) {
	f.waiters = append(f.waiters, w)
	f.waiting++
}

// maxGone is the number of requests that are gone beyond which the list is cleared of them, if they are the larger part.
const maxGone = 64

// remove notes that a request is gone.
func (f *fifo) remove(w *waiter) {
	w.gone = true
	f.waiting--
	if gone := len(f.waiters) - f.waiting; gone > max(maxGone, f.waiting) {
		f.waiters = slices.DeleteFunc(f.waiters, func(w *waiter) bool { return w.gone })
	}
}

// take removes and returns the oldest request that is not gone, or nil.
func (f *fifo) take() *waiter {
	for len(f.waiters) > 0 {
		w := f.waiters[0]
		f.waiters[0] = nil
		f.waiters = f.waiters[1:]
		if !w.gone {
			f.waiting--
			return w
		}
	}
	f.waiters = nil
	return nil
}
