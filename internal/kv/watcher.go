package kv

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// WatchTimeout is how long one watch of a Watcher may wait for a change. A watch that gets no answer is noticed only
// after that time, so it bounds how old the knowledge of a key can become unnoticed.
const WatchTimeout = 800 * time.Millisecond

// largeBatch is the number of changes in a response from which on more of them are expected to wait.
const largeBatch = 250

// Watcher calls back with the content of all keys with a prefix, and with each later change.
type Watcher struct {
	Store  Store
	Prefix string
	// WatchInterval is the pause after a watch that returned changes, so that several changes
	// are delivered in one batch. There is none after a large batch: a store returns some hundred changes at
	// once, and of more than that the next ones already wait.
	WatchInterval time.Duration
	// RetryDelay is the pause after a call that the store refused or that broke off.
	RetryDelay time.Duration
	// OnReset receives the whole content after each listing, OnChange the changes since then.
	OnReset  func(items []Item, rev int64)
	OnChange func(events []Event, rev int64)
	// OnResult, if set, receives the outcome of each call, before OnReset or OnChange receives its content.
	OnResult func(WatcherResult)
	// OnConfirm, if set, is called after each call that shows that all changes have been delivered.
	OnConfirm func(Confirmation)
	// MaxUnconfirmed, if set, returns the time without a Confirmation after which the keys are listed in place of the next watch;
	// 0 for no limit.
	MaxUnconfirmed func() time.Duration
	// Clock returns the time at which calls are sent. It must be set with OnConfirm and is not read without it.
	Clock func() time.Duration

	confirmedAt time.Duration
}

// Confirmation says that OnReset and OnChange have received all changes that the store had executed at some time after Sent.
type Confirmation struct {
	// Sent is when the call that shows it was sent. When the store executed the call is not known.
	Sent time.Duration
	// Rev is the store's revision then.
	Rev int64
}

// WatcherResult is the outcome of a call of a Watcher.
type WatcherResult struct {
	// Listing is set for a listing, otherwise it is a watch for changes after a revision.
	Listing bool
	After   int64
	Err     error // nil is success
}

// Run watches until ctx ends. It starts after the revision of a listing that the caller already
// has; if after is 0, it lists the keys itself first.
func (w *Watcher) Run(ctx context.Context, after int64) {
	for ctx.Err() == nil {
		if after == 0 || w.unconfirmedTooLong() {
			after = w.list(ctx)
			continue
		}
		after = w.watch(ctx, after)
	}
}

func (w *Watcher) list(ctx context.Context) int64 {
	sent := w.now()
	items, rev, err := w.Store.List(ctx, w.Prefix)
	w.reportResult(ctx, WatcherResult{Listing: true, Err: err})
	if err != nil {
		w.pauseAfter(ctx, err)
		return 0
	}
	w.OnReset(items, rev)
	w.confirm(Confirmation{Sent: sent, Rev: rev})
	return rev
}

// watch returns the revision to continue from; 0 requires a new listing. A failed watch is not repeated: a store that
// answers reads may leave watches without an answer, or refuse the revision only when the next one ends.
func (w *Watcher) watch(ctx context.Context, after int64) int64 {
	sent := w.now()
	events, rev, err := w.Store.Watch(ctx, w.Prefix, after, WatchTimeout)
	w.reportResult(ctx, WatcherResult{After: after, Err: err})
	if err != nil {
		w.pauseAfter(ctx, err)
		return 0
	}
	if len(events) == 0 {
		if rev >= after {
			w.confirm(Confirmation{Sent: sent, Rev: rev})
		}
		return max(after, rev)
	}
	// Changes don't confirm: the response may hold only the first of many.
	w.OnChange(events, rev)
	if len(events) < largeBatch {
		pause.For(ctx, w.WatchInterval)
	}
	return max(after, rev)
}

// pauseAfter pauses after a failed call, unless its answer allows the next one at once, or it has waited for long.
func (w *Watcher) pauseAfter(ctx context.Context, err error) {
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrSilent) {
		return
	}
	pause.For(ctx, w.RetryDelay)
}

func (w *Watcher) reportResult(ctx context.Context, r WatcherResult) {
	if w.OnResult != nil && ctx.Err() == nil {
		w.OnResult(r)
	}
}

// now returns the time; 0 if nobody needs it.
func (w *Watcher) now() time.Duration {
	if w.OnConfirm == nil {
		return 0
	}
	return w.Clock()
}

func (w *Watcher) confirm(c Confirmation) {
	if w.OnConfirm == nil {
		return
	}
	w.confirmedAt = c.Sent
	w.OnConfirm(c)
}

// unconfirmedTooLong reports whether the last Confirmation is older than MaxUnconfirmed.
func (w *Watcher) unconfirmedTooLong() bool {
	if w.MaxUnconfirmed == nil {
		return false
	}
	limit := w.MaxUnconfirmed()
	return limit > 0 && w.now()-w.confirmedAt > limit
}
