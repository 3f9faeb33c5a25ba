package schedule

import "time"

const (
	// budgetBurst is the largest number of evictions for latency that may happen at once.
	budgetBurst = 2.0
	// budgetPerWorker is the rate of evictions for latency, per minute and worker.
	budgetPerWorker = 0.01
)

// evictionBudget is a token bucket that limits the evictions that protect the latency of services.
// Evacuations and evictions for lack of memory are not limited, because delaying those costs more
// than the eviction.
type evictionBudget struct {
	tokens  float64
	updated time.Time
	workers int
}

// take takes one token and reports whether there was one.
func (b *evictionBudget) take(now time.Time) bool {
	if b.updated.IsZero() {
		b.tokens = budgetBurst
	} else {
		b.tokens += now.Sub(b.updated).Minutes() * budgetPerWorker * float64(b.workers)
		b.tokens = min(b.tokens, budgetBurst)
	}
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
