package kv

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// Follower keeps a callback informed of all keys with a prefix.
type Follower struct {
	Store  Store
	Prefix string
	// Wait bounds how long a watch may hear nothing.
	Wait time.Duration
	// Pause is kept between two watches, so that changes arrive together.
	Pause time.Duration
	// Retry is the pause after a failed call.
	Retry time.Duration
	// Reset receives the whole content after a (new) start; Changed what changed since.
	Reset   func(items []Item, rev int64)
	Changed func(events []Event, rev int64)
	// Contact is told the outcome of each call; nil is success.
	Contact func(err error)
}

// Run follows from the revision of a listing that the caller has, or from a listing of its
// own if after is 0, until ctx ends.
func (f *Follower) Run(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		if after == 0 {
			after = f.list(ctx)
			continue
		}
		after = f.watch(ctx, after)
	}
}

func (f *Follower) list(ctx context.Context) int64 {
	items, rev, err := f.Store.List(ctx, f.Prefix)
	f.contact(ctx, err)
	if err != nil {
		pause.For(ctx, f.Retry)
		return 0
	}
	f.Reset(items, rev)
	return rev
}

// watch returns the revision to go on from; 0 asks for a new listing.
func (f *Follower) watch(ctx context.Context, after int64) int64 {
	events, rev, err := f.Store.Watch(ctx, f.Prefix, after, f.Wait)
	f.contact(ctx, err)
	if errors.Is(err, ErrCompacted) {
		return 0
	}
	if err != nil {
		pause.For(ctx, f.Retry)
		return after
	}
	if len(events) > 0 {
		f.Changed(events, rev)
		pause.For(ctx, f.Pause)
	}
	return max(after, rev)
}

func (f *Follower) contact(ctx context.Context, err error) {
	if f.Contact != nil && ctx.Err() == nil {
		f.Contact(err)
	}
}
