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
	var loops sync.WaitGroup
	loops.Go(func() { w.watch(ctx) })
	loops.Go(func() { w.poll(ctx) })
	loops.Wait()
	return ctx.Err()
}

// watch reads all sections and then follows their changes, repeatedly until ctx ends.
func (w *Watcher) watch(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.relistWithTimeout(ctx); err == nil {
			w.follow(ctx)
		}
		if sleep(ctx, defaultRetryDelay) != nil {
			return
		}
	}
}

// relistWithTimeout calls relist with the timeout of one store call.
func (w *Watcher) relistWithTimeout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.relist(ctx)
}

// follow handles watch events until the watch ends or relistInterval has passed.
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
			w.handleWatchEvent(e)
		}
	}
}

// poll confirms the document at each interval. It also raises the head to the revision of a
// section whose editor stopped after writing the section and before raising the head.
func (w *Watcher) poll(ctx context.Context) {
	ticker := time.NewTicker(w.opts.PollInterval)
	defer ticker.Stop()
	var unaccepted model.Revision
	for {
		if _, err := w.Confirm(ctx); err == nil {
			unaccepted = w.repairHead(ctx, unaccepted)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// repairHead returns the document's revision if it is above the head, otherwise zero. If previous,
// the result of the last poll, is the same revision, the editor had a whole poll interval to raise
// the head. It is assumed to have stopped, and repairHead raises the head instead.
func (w *Watcher) repairHead(ctx context.Context, previous model.Revision) model.Revision {
	w.mu.Lock()
	revision, accepted := w.doc.Revision, w.accepted
	w.mu.Unlock()
	if revision <= accepted {
		return 0
	}
	if revision != previous {
		return revision
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A failed attempt is repeated after the next poll.
	_ = raiseHead(ctx, w.store, revision, defaultRetryDelay)
	return revision
}

// coalescer lets concurrent callers share one confirmation. A caller never gets the result of a
// confirmation that began before its call, because that may have missed a newer edit.
type coalescer struct {
	run func() (*Document, error)

	mu      sync.Mutex
	running bool
	next    *confirmation
}

// confirmation is one shared call of run and its result.
type confirmation struct {
	done chan struct{}
	doc  *Document
	err  error
}

// do waits for a confirmation that begins after do is called.
func (c *coalescer) do(ctx context.Context) (*Document, error) {
	call := c.join()
	select {
	case <-ctx.Done():
		return nil, &UnconfirmedError{Cause: context.Cause(ctx)}
	case <-call.done:
		return call.doc, call.err
	}
}

// join returns the next confirmation, and starts the goroutine that makes confirmations if it is
// not running.
func (c *coalescer) join() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &confirmation{done: make(chan struct{})}
	}
	if !c.running {
		c.running = true
		go c.runPending()
	}
	return c.next
}

// runPending makes confirmations until no caller is waiting.
func (c *coalescer) runPending() {
	for {
		call := c.takeNext()
		if call == nil {
			return
		}
		call.doc, call.err = c.run()
		close(call.done)
	}
}

// takeNext returns the confirmation that callers wait for. If there is none, it returns nil and
// clears running.
func (c *coalescer) takeNext() *confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.next
	c.next = nil
	c.running = call != nil
	return call
}

// isUnknown reports whether a write that returned this error may have taken effect.
func isUnknown(err error) bool {
	var e *platform.StoreError
	return !errors.As(err, &e) || e.Unknown
}
