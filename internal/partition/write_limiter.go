package partition

import (
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// writeBurst is the time for which unused tokens accumulate; it bounds the size of a burst.
const writeBurst = 500 * time.Millisecond

// WriteLimiter is a token bucket that all owners of an instance share, so that the rate of store
// writes depends on the number of instances and not on the number of partitions or tasks.
// Partitions with nothing to write take no tokens, which leaves more for the others.
type WriteLimiter struct {
	clock platform.Clock
	// tokenInterval is the time between two tokens.
	tokenInterval time.Duration

	mu sync.Mutex
	// nextToken is the time from which the next token is available. The further it lies in the
	// past, the more tokens have accumulated.
	nextToken time.Time
}

// NewWriteLimiter returns a full bucket for a number of writes a second.
func NewWriteLimiter(clock platform.Clock, writesPerSecond float64) *WriteLimiter {
	return &WriteLimiter{
		clock:         clock,
		tokenInterval: time.Duration(float64(time.Second) / writesPerSecond),
	}
}

// Reserve takes the next token and returns the time from which the write may be made. Tokens are
// given in the order of the calls, so an owner waits at most until every other owner has had one
// token.
func (b *WriteLimiter) Reserve() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if oldest := b.clock.Now().Add(-writeBurst); b.nextToken.Before(oldest) {
		b.nextToken = oldest
	}
	at := b.nextToken
	b.nextToken = b.nextToken.Add(b.tokenInterval)
	return at
}
