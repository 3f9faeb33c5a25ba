package config

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Run keeps the document up to date until ctx ends, and returns the error of ctx.
func (w *Watcher) Run(ctx context.Context) error {
	var duties sync.WaitGroup
	duties.Go(func() { w.watch(ctx) })
	duties.Go(func() { w.poll(ctx) })
	duties.Wait()
	return ctx.Err()
}

// watch reads all sections and follows their changes, again and again.
func (w *Watcher) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.relistWithin(ctx); err == nil {
			w.follow(ctx)
		}
		if pause(ctx, defaultRetryPause) != nil {
			return
		}
	}
}

// relistWithin is relist with the timeout of one call.
func (w *Watcher) relistWithin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.relist(ctx)
}

// follow takes watch events until the watch ends or all sections are due to be read again.
func (w *Watcher) follow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, relistInterval)
	defer cancel()
	w.mu.Lock()
	after := w.synced
	w.mu.Unlock()
	events, err := w.store.Watch(ctx, SectionPrefix, after)
	if err != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case e, open := <-events:
			if !open || e.Err != nil {
				return
			}
			w.observe(e)
		}
	}
}

// poll confirms the document at each interval, and raises the head over a section whose
// editor ended between its two writes.
func (w *Watcher) poll(ctx context.Context) {
	ticker := time.NewTicker(w.opts.PollInterval)
	defer ticker.Stop()
	var unaccepted model.Revision
	for {
		if _, err := w.Confirm(ctx); err == nil {
			unaccepted = w.repair(ctx, unaccepted)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// repair raises the head to the document's revision if that was above the head at the last
// poll too, and returns the revision that is above it now.
func (w *Watcher) repair(ctx context.Context, last model.Revision) model.Revision {
	w.mu.Lock()
	revision, accepted := w.doc.Revision, w.accepted
	w.mu.Unlock()
	if revision <= accepted {
		return 0
	}
	if revision != last {
		return revision
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A failed try is repeated after the next poll.
	_ = raiseHead(ctx, w.store, revision, defaultRetryPause)
	return revision
}

// coalescer lets concurrent callers share one confirmation that begins after their call.
type coalescer struct {
	run func() (*Document, error)

	mu      sync.Mutex
	running bool
	next    *confirmation
}

// confirmation is one shared call and its result.
type confirmation struct {
	done chan struct{}
	doc  *Document
	err  error
}

// do waits for a call that begins from now on.
func (c *coalescer) do(ctx context.Context) (*Document, error) {
	call := c.join()
	select {
	case <-ctx.Done():
		return nil, &UnconfirmedError{Cause: context.Cause(ctx)}
	case <-call.done:
		return call.doc, call.err
	}
}

// join returns the next call and starts the goroutine that makes it if none runs.
func (c *coalescer) join() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	if !c.running {
		c.running = true
		go c.work()
	}
	return c.next
}

// work makes calls until no caller waits.
func (c *coalescer) work() {
	for {
		call := c.take()
		if call == nil {
			return
		}
		call.doc, call.err = c.run()
		close(call.done)
	}
}

// take returns the call that callers wait for, or notes that none do.
func (c *coalescer) take() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.next
	c.next = nil
	c.running = call != nil
	return call
}

// isUnknown reports whether a store error leaves open whether the write took effect.
func isUnknown(err error) bool {
	var e *platform.StoreError
	return !errors.As(err, &e) || e.Unknown
}
