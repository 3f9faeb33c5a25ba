package route

import "sync"

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.1
	// maxSavedRetries is the capacity of the budget, in retries.
	maxSavedRetries = 10.0
)

// retryBudget is a token bucket that limits retries to a fraction of the requests, so that retries
// do not multiply the load of a failing service.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// newRetryBudget returns a full budget.
func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxSavedRetries} }

// deposit adds retriesPerRequest for one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerRequest, maxSavedRetries)
}

// tryWithdraw takes one retry from the budget and reports whether there was one.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
