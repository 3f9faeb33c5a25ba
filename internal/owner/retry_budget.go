package owner

import (
	"sync"
	"time"
)

const (
	// retriesPerAnswer is how many retries each answer of a worker allows: with half of all requests unanswered, each
	// answer costs one.
	retriesPerAnswer = 1.5
	// maxWorkerRetries is the largest number that is saved up for one worker, and workerRetryInterval how often it gets one
	// without an answer, so that a worker out of contact costs little.
	maxWorkerRetries    = 30
	workerRetryInterval = time.Second
)

// retryBudget bounds the retries of requests to one worker by its answers, so that a worker out of contact is not sent ever
// more requests. How many are sent to all workers together is bounded by package admission.
type retryBudget struct {
	mu     sync.Mutex
	spent  float64
	filled time.Time // when it last got a retry without an answer
}

// earn notes an answer.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retriesPerAnswer)
}

// take takes a retry, and reports whether there was one.
func (b *retryBudget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.filled.IsZero() {
		b.filled = now
	}
	if due := now.Sub(b.filled) / workerRetryInterval; due > 0 {
		b.filled = b.filled.Add(due * workerRetryInterval)
		b.spent = max(0, b.spent-float64(due))
	}
	if b.spent+1 > maxWorkerRetries {
		return false
	}
	b.spent++
	return true
}
