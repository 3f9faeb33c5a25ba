// Package bodybudget bounds the memory of requests that are being received. All that one process receives
// at a time, bodies and headers alike, is charged to a Budget as it grows, so that many large or slow
// requests cannot exhaust the memory of the process. Small requests may use a part of the budget that
// large ones cannot take.
package bodybudget

import (
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// SmallBytes is the size up to which a request is small, in bytes.
	SmallBytes = 64 << 10
	// smallShare is the part of the budget that only small requests may use.
	smallShare = 0.25
	// stalledAfter is the time without progress after which a request is ended in favour of others.
	stalledAfter = time.Second
)

// ErrFull says that the budget has no room for a request. Nothing of the request has been carried out.
var ErrFull = errors.New("too much is being received at the moment")

// Budget is a number of bytes that the requests being received share. It is safe for concurrent use.
type Budget struct {
	limit, largeLimit int64
	heldGauge         tally.Gauge

	mu       sync.Mutex
	held     int64 // by all accounts
	large    int64 // by the accounts with more than SmallBytes
	accounts map[*Account]struct{}
}

// New returns a budget of a number of bytes. It reports the bytes that are held to scope.
func New(limit int64, scope tally.Scope) *Budget {
	return &Budget{
		limit:      limit,
		largeLimit: limit - int64(smallShare*float64(limit)),
		heldGauge:  scope.Gauge("receiving_bytes"),
		accounts:   map[*Account]struct{}{},
	}
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Open returns the account of one request, which holds nothing yet. end is called, at most once and
// without a lock of the budget, if the request has stalled while others need its bytes; it must make
// the request end.
func (b *Budget) Open(end func()) *Account {
	return &Account{budget: b, end: end}
}

// Account is what one request holds. Its methods are safe for concurrent use.
type Account struct {
	budget *Budget
	end    func()

	// The budget's lock guards the fields below.
	bytes      int64
	progressAt time.Time
	received   bool // completely, so that it is never ended
	ended      bool // in favour of others
	closed     bool
}

// Set changes what the account holds, in bytes. It returns ErrFull, without a change, if the budget has no room for
// more. To hold less always succeeds.
func (a *Account) Set(bytes int64) error {
	b := a.budget
	b.mu.Lock()
	if a.closed && bytes > 0 {
		b.mu.Unlock()
		return errors.Trace(ErrFull)
	}
	if !b.admits(a, bytes) {
		stalled := b.takeStalled(a)
		b.mu.Unlock()
		if stalled != nil {
			stalled.end()
		}
		return errors.Trace(ErrFull)
	}
	b.set(a, bytes)
	b.mu.Unlock()
	return nil
}

// Grow adds to what the account holds, as Set does.
func (a *Account) Grow(bytes int64) error { return a.Set(a.Bytes() + bytes) }

// Bytes returns what the account holds.
func (a *Account) Bytes() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.bytes
}

// SetReceived says that the request has been received and is being handled, so that it is not ended in favour of others
// any more.
func (a *Account) SetReceived() { a.setReceived(true) }

func (a *Account) setReceived(received bool) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.received = received
}

// Reset releases all that the account holds. The account can be used again, for another request.
func (a *Account) Reset() {
	_ = a.Set(0) // to hold less always succeeds
	a.setReceived(false)
}

// Close releases all that the account holds. It can hold nothing any more.
func (a *Account) Close() {
	a.budget.mu.Lock()
	a.closed = true
	a.budget.mu.Unlock()
	a.Reset()
}

// admits reports whether an account may hold a number of bytes. The only large request may exceed the budget, so that
// one of any legal size is served while no other is there.
func (b *Budget) admits(a *Account, bytes int64) bool {
	otherLarge := b.large - largePart(a.bytes)
	otherSmall := b.held - a.bytes - otherLarge
	switch {
	case bytes <= a.bytes:
		return true
	case bytes <= SmallBytes:
		return otherSmall+bytes <= b.limit-min(otherLarge, b.largeLimit)
	case otherLarge == 0:
		return true
	default:
		return otherLarge+bytes <= b.largeLimit && otherLarge+otherSmall+bytes <= b.limit
	}
}

func (b *Budget) set(a *Account, bytes int64) {
	b.held += bytes - a.bytes
	b.large += largePart(bytes) - largePart(a.bytes)
	a.bytes, a.progressAt = bytes, time.Now()
	if bytes == 0 {
		delete(b.accounts, a)
	} else {
		b.accounts[a] = struct{}{}
	}
	b.heldGauge.Update(float64(b.held))
}

// takeStalled returns the account that has been without progress for longest, if that is long enough to end it, and
// marks it so that it is returned once. It does not return the account that asks.
func (b *Budget) takeStalled(asking *Account) *Account {
	var oldest *Account
	for a := range b.accounts {
		if a == asking || a.received || a.ended || a.end == nil || time.Since(a.progressAt) < stalledAfter {
			continue
		}
		if oldest == nil || a.progressAt.Before(oldest.progressAt) {
			oldest = a
		}
	}
	if oldest != nil {
		oldest.ended = true
	}
	return oldest
}

// largePart returns what a number of bytes of one account adds to the bytes of large requests.
func largePart(bytes int64) int64 {
	if bytes <= SmallBytes {
		return 0
	}
	return bytes
}
