package owner

import (
	"context"
	"sync"
	"time"
)

// lazyDeadline is a context with a deadline that sets no timer before somebody asks for its Done channel. Most requests to workers
// end without, and the owner sends thousands a second.
type lazyDeadline struct {
	parent   context.Context
	deadline time.Time

	mu        sync.Mutex
	cancelled bool
	// timed is the context with a timer, and cancelTimed ends it; nil until Done is called.
	timed       context.Context
	cancelTimed context.CancelFunc
}

// withTimeout does what context.WithTimeout does.
func withTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return withDeadline(parent, time.Now().Add(timeout))
}

// withDeadline does what context.WithDeadline does.
func withDeadline(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if sooner, ok := parent.Deadline(); ok && sooner.Before(deadline) {
		deadline = sooner
	}
	c := &lazyDeadline{parent: parent, deadline: deadline}
	return c, c.cancel
}

func (c *lazyDeadline) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.timed != nil {
		c.cancelTimed()
	}
}

// Deadline implements context.Context.
func (c *lazyDeadline) Deadline() (time.Time, bool) { return c.deadline, true }

// Done implements context.Context.
func (c *lazyDeadline) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timed == nil {
		c.timed, c.cancelTimed = context.WithDeadline(c.parent, c.deadline)
		if c.cancelled {
			c.cancelTimed()
		}
	}
	return c.timed.Done()
}

// Err implements context.Context.
func (c *lazyDeadline) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.timed != nil:
		return c.timed.Err()
	case c.cancelled:
		return context.Canceled
	case c.parent.Err() != nil:
		return c.parent.Err()
	case !time.Now().Before(c.deadline):
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// Value implements context.Context. Once there is a context with a timer, package context finds it by this, so that the contexts
// derived from c need no goroutine each.
func (c *lazyDeadline) Value(key any) any {
	c.mu.Lock()
	from := c.parent
	if c.timed != nil {
		from = c.timed
	}
	c.mu.Unlock()
	return from.Value(key)
}
