package schedule

import "time"

const (
	// budgetBurst is the number of evictions for relief that may follow each other at once.
	budgetBurst = 2.0
	// budgetPerWorker is the number of evictions for relief a minute and worker.
	budgetPerWorker = 0.01
)

// evictionBudget bounds the evictions for relief of latency: a token bucket. Evacuations and
// lack of memory are not charged to it, because waiting there costs more than the eviction.
type evictionBudget struct {
	tokens  float64
	updated time.Time
	workers int
}

// take takes one token, and reports false if there is none.
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
