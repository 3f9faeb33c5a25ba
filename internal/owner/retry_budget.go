package owner

import "sync"

const (
	// retriesPerAnswer is how many retries each answer of a worker allows: with half of all requests unanswered, each
	// answer costs one.
	retriesPerAnswer = 1.2
	// maxRetries is the largest number of retries that are saved up, and renewalRetries how many of them are kept for
	// renewals.
	maxRetries     = 200
	renewalRetries = 50
)

// retryBudget bounds the retries of requests to all workers by the answers that come. It keeps an owner that is short of
// processor time, or cut off from many workers, from sending ever more requests since answers are late.
type retryBudget struct {
	mu    sync.Mutex
	spent float64 // of maxRetries
}

// earn notes an answer.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retriesPerAnswer)
}

// take takes a retry of the kind from the budget, and reports whether there was one.
func (b *retryBudget) take(kind callKind) bool {
	limit := float64(maxRetries)
	if kind != callRenewal {
		limit -= renewalRetries
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > limit {
		return false
	}
	b.spent++
	return true
}
