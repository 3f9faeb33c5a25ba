package owner

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/admission"
	"github.com/geraniumwick/geraniumwick/internal/batch"
)

const (
	// firstTryTimeout is how long a worker may take to answer a start, stop or throttle before the identical request is
	// sent again, and callRepeatInterval the time between two of these copies.
	firstTryTimeout    = 150 * time.Millisecond
	callRepeatInterval = 100 * time.Millisecond
	// copyTimeout is how long the first copies keep their connections, and lateCopyTimeout the others: the answers may be slow
	// instead of lost.
	copyTimeout     = 300 * time.Millisecond
	lateCopyTimeout = 600 * time.Millisecond
	// firstCopies is the number of copies that end after copyTimeout.
	firstCopies = 2
)

const (
	// maxOpenOrders is the largest number of starts, stops and throttles to a worker that are open at a time. Others wait
	// for one of them to end.
	maxOpenOrders = 6
	// maxOpenReports is the largest number of renewals to a worker that are open at a time: repetitions, and the next
	// renewal and its first repetition.
	maxOpenReports = 2 + int(repeatedRenewalTimeout/renewRepeatInterval)
	// MaxOpenRequests is the largest number of requests to a worker that are open at a time. With as many connections,
	// renewals never wait for orders.
	MaxOpenRequests = maxOpenOrders + maxOpenReports
)

// orderClasses are the classes of the orders.
var orderClasses = map[callKind]admission.Class{callStart: admission.Start, callStop: admission.Stop, callThrottle: admission.Stop}

// workerRequests bounds the requests to one worker.
type workerRequests struct {
	orders  chan struct{} // semaphore of the open orders
	retries retryBudget
}

// requestBounds are the bounds of the requests to each worker.
type requestBounds struct {
	mu       sync.Mutex
	byWorker map[batch.WorkerID]*workerRequests
}

// of returns the bounds of a worker.
func (r *requestBounds) of(id batch.WorkerID) *workerRequests {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byWorker == nil {
		r.byWorker = map[batch.WorkerID]*workerRequests{}
	}
	requests := r.byWorker[id]
	if requests == nil {
		requests = &workerRequests{orders: make(chan struct{}, maxOpenOrders)}
		r.byWorker[id] = requests
	}
	return requests
}

// forget drops the bounds of a worker that is gone.
func (r *requestBounds) forget(id batch.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byWorker, id)
}

// repeatCall makes a call that has the same effect however often it is made, and makes it again and again
// until one takes effect or ctx ends. A refusal of one copy says nothing about the others: the outcome is a refusal only
// if all are refused or were not sent.
func (l *leader) repeatCall(ctx context.Context, kind callKind, a batch.Action, call func(context.Context) batch.Answer) batch.Answer {
	outcome := batch.AnswerNone
	refused, unsent, refusedForGood := 0, 0, false
	requests := l.requests.of(a.Worker)
	calls := repetition[batch.Answer]{
		try:       func(ctx context.Context, n int) batch.Answer { return l.tryCall(ctx, n, kind, a, requests, call) },
		interval:  callRepeatInterval,
		mayRepeat: func() bool { return !refusedForGood && requests.retries.take(time.Now()) },
		slots:     requests.orders,
		admit: func(ctx context.Context, n int) bool {
			return l.limiter.Acquire(ctx, admission.Request{Class: orderClasses[kind], Repeated: n > 1, Priority: a.Need.Priority, Due: a.Need.By})
		},
		unsent: batch.AnswerUnsent,
	}
	sent, decided := calls.run(ctx, func(answer batch.Answer, sent int) bool {
		switch answer {
		case batch.AnswerNone:
			return false
		case batch.AnswerUnsent:
			unsent++
			return false
		case batch.AnswerOK:
			outcome = answer
			if sent > unsent+1 {
				outcome = batch.AnswerOKRepeated
			}
			return true
		case batch.AnswerFenced:
			outcome = answer
			return true
		}
		outcome = answer
		refused++
		refusedForGood = refusedForGood || answer != batch.AnswerRefused // another copy would be refused, too
		return refused+unsent == sent
	})
	switch {
	case unsent == sent:
		return batch.AnswerUnsent
	case !decided:
		return batch.AnswerNone
	default:
		return outcome
	}
}

// tryCall makes the n-th try of an action's call, unless the owner may not act any more.
func (l *leader) tryCall(ctx context.Context, n int, kind callKind, a batch.Action, requests *workerRequests, call func(context.Context) batch.Answer) batch.Answer {
	if !l.mayAct() {
		return batch.AnswerUnsent
	}
	ctx, cancel := withTimeout(ctx, tryTimeout(n))
	defer cancel()
	l.beginCall()
	answer := call(ctx)
	l.endCall(kind, requests, answer)
	if newest, _ := l.incarnations.newest(a.Worker); answer == batch.AnswerFenced && a.Incarnation < newest {
		return batch.AnswerInvalid // the worker has seen this owner's token for its newer incarnation
	}
	return answer
}

// tryTimeout returns how long the n-th try of a call may take.
func tryTimeout(n int) time.Duration {
	switch {
	case n == 1:
		return firstTryTimeout
	case n <= 1+firstCopies:
		return copyTimeout
	default:
		return lateCopyTimeout
	}
}
