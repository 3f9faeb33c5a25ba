package route

import "sync"

const (
	// budgetShare is the number of retries that each request adds to the budget.
	budgetShare = 0.1
	// budgetMax bounds the retries that a quiet time saves up.
	budgetMax = 10.0
)

// budget is a token bucket that limits retries to a share of the requests, so that a
// failing service does not receive a multiple of its load.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

// newBudget returns a full budget.
func newBudget() *budget { return &budget{tokens: budgetMax} }

// deposit adds the share of one request.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetShare, budgetMax)
}

// withdraw takes one retry if the budget holds one.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
