package kv

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// Watcher keeps a callback informed of all keys with a prefix.
type Watcher struct {
	Store  Store
	Prefix string
	// WatchTimeout bounds how long a watch may hear nothing.
	WatchTimeout time.Duration
	// WatchInterval is kept between two watches, so that changes arrive together.
	WatchInterval time.Duration
	// RetryDelay is the pause after a failed call.
	RetryDelay time.Duration
	// OnReset receives the whole content after a (new) start; OnChange what changed since.
	OnReset  func(items []Item, rev int64)
	OnChange func(events []Event, rev int64)
	// OnResult is told the outcome of each call; nil is success.
	OnResult func(err error)
}

// Run follows from the revision of a listing that the caller has, or from a listing of its
// own if after is 0, until ctx ends.
func (f *Watcher) Run(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		if after == 0 {
			after = f.list(ctx)
			continue
		}
		after = f.watch(ctx, after)
	}
}

func (f *Watcher) list(ctx context.Context) int64 {
	items, rev, err := f.Store.List(ctx, f.Prefix)
	f.contact(ctx, err)
	if err != nil {
		pause.For(ctx, f.RetryDelay)
		return 0
	}
	f.OnReset(items, rev)
	return rev
}

// watch returns the revision to go on from; 0 asks for a new listing.
func (f *Watcher) watch(ctx context.Context, after int64) int64 {
	events, rev, err := f.Store.Watch(ctx, f.Prefix, after, f.WatchTimeout)
	f.contact(ctx, err)
	if errors.Is(err, ErrCompacted) {
		return 0
	}
	if err != nil {
		pause.For(ctx, f.RetryDelay)
		return after
	}
	if len(events) > 0 {
		f.OnChange(events, rev)
		pause.For(ctx, f.WatchInterval)
	}
	return max(after, rev)
}

func (f *Watcher) contact(ctx context.Context, err error) {
	if f.OnResult != nil && ctx.Err() == nil {
		f.OnResult(err)
	}
}
