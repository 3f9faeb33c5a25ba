package partition

import (
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// budgetBurst is how long unused writes are saved up for, in time.
const budgetBurst = 500 * time.Millisecond

// WriteLimiter is a token bucket that all owners of an instance share, so that the rate of
// store writes depends on the number of instances, not on that of partitions or tasks.
// Partitions with nothing to write leave their share to the others.
type WriteLimiter struct {
	clock platform.Clock
	// perWrite is the time in which one token is earned.
	perWrite time.Duration

	mu sync.Mutex
	// earned is the time at which the next token counts as earned; the further it lies in
	// the past, the more tokens are saved up.
	earned time.Time
}

// NewWriteLimiter returns a full bucket for a number of writes a second.
func NewWriteLimiter(clock platform.Clock, writesPerSecond float64) *WriteLimiter {
	return &WriteLimiter{
		clock:    clock,
		perWrite: time.Duration(float64(time.Second) / writesPerSecond),
	}
}

// Reserve takes the next token and returns the time from which it may be spent. Tokens are
// given in the order of the calls, so that no owner waits longer than one turn of all.
func (b *WriteLimiter) Reserve() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if oldest := b.clock.Now().Add(-budgetBurst); b.earned.Before(oldest) {
		b.earned = oldest
	}
	at := b.earned
	b.earned = b.earned.Add(b.perWrite)
	return at
}
