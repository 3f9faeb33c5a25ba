package owner

import (
	"sync"
	"time"
)

const (
	// retriesPerAnswer is how many retries each answer of a worker allows: with half of all requests unanswered, each
	// answer costs one, and while workers are out of contact more.
	retriesPerAnswer = 1.5
	// maxRetries is the largest number of retries that are saved up, and renewalRetries how many of them are kept for
	// renewals.
	maxRetries     = 250
	renewalRetries = 50
	// maxWorkerRetries is the largest number that is saved up for one worker, and workerRetryInterval how often it gets one
	// without an answer, so that workers out of contact leave the retries to others.
	maxWorkerRetries    = 30
	workerRetryInterval = time.Second
)

// retryBudget bounds retries by the answers that come. It keeps an owner that is short of processor time, or cut off from
// many workers, from sending ever more requests since answers are late.
type retryBudget struct {
	mu    sync.Mutex
	spent float64
}

// earn notes an answer.
func (b *retryBudget) earn() { b.giveBack(retriesPerAnswer) }

// giveBack adds retries.
func (b *retryBudget) giveBack(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-n)
}

// take takes a retry, and reports whether less than limit were spent.
func (b *retryBudget) take(limit float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > limit {
		return false
	}
	b.spent++
	return true
}

// workerRetries are the retries of one worker.
type workerRetries struct {
	budget retryBudget
	mu     sync.Mutex
	filled time.Time // when it last got a retry without an answer
}

// take takes a retry.
func (w *workerRetries) take(now time.Time) bool {
	w.mu.Lock()
	if w.filled.IsZero() {
		w.filled = now
	}
	if due := now.Sub(w.filled) / workerRetryInterval; due > 0 {
		w.filled = w.filled.Add(due * workerRetryInterval)
		w.budget.giveBack(float64(due))
	}
	w.mu.Unlock()
	return w.budget.take(maxWorkerRetries)
}

// takeRetry takes a retry of a request to a worker, and reports whether there was one.
func (l *leader) takeRetry(kind callKind, worker *workerRequests) bool {
	limit := float64(maxRetries)
	if kind != callRenewal {
		limit -= renewalRetries
	}
	if !l.retries.take(limit) {
		return false
	}
	if !worker.retries.take(time.Now()) {
		l.retries.giveBack(1)
		return false
	}
	return true
}
