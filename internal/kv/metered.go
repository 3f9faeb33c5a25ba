package kv

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"
)

// callBuckets cover 1 ms to about 4 s.
var callBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// metered is a Store that counts and times its calls.
type metered struct {
	store Store
	scope tally.Scope
}

// WithMetrics wraps a store so that each call is counted by operation and result. The latency of
// all calls but watches, which wait for changes, goes into a histogram.
func WithMetrics(store Store, scope tally.Scope) Store {
	return &metered{store: store, scope: scope}
}

// result returns the metric label for the outcome of a call.
func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrInvalid):
		return "invalid"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	case errors.Is(err, ErrNotFound):
		return "not-found"
	case errors.Is(err, ErrCompacted):
		return "compacted"
	case errors.Is(err, ErrSilent):
		return "silent"
	default:
		return "unknown"
	}
}

// record updates the metrics with a call that began at the given time.
func (m *metered) record(op string, begun time.Time, err error) {
	m.scope.Tagged(map[string]string{"op": op, "result": result(err)}).Counter("store_calls").Inc(1)
	if op != "watch" {
		m.scope.Tagged(map[string]string{"op": op}).Histogram("store_latency", callBuckets).RecordDuration(time.Since(begun))
	}
}

func (m *metered) Get(ctx context.Context, key string) (Item, error) {
	begun := time.Now()
	i, err := m.store.Get(ctx, key)
	m.record("get", begun, err)
	return i, err
}

func (m *metered) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	begun := time.Now()
	items, rev, err := m.store.List(ctx, prefix)
	m.record("list", begun, err)
	return items, rev, err
}

func (m *metered) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error) {
	begun := time.Now()
	events, rev, err := m.store.Watch(ctx, prefix, after, wait)
	m.record("watch", begun, err)
	return events, rev, err
}

func (m *metered) Commit(ctx context.Context, t Txn) (int64, error) {
	begun := time.Now()
	rev, err := m.store.Commit(ctx, t)
	m.record("commit", begun, err)
	return rev, err
}

func (m *metered) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	begun := time.Now()
	lease, err := m.store.Grant(ctx, ttl)
	m.record("grant", begun, err)
	return lease, err
}

func (m *metered) Renew(ctx context.Context, lease int64) error {
	begun := time.Now()
	err := m.store.Renew(ctx, lease)
	m.record("renew", begun, err)
	return err
}

func (m *metered) Revoke(ctx context.Context, lease int64) error {
	begun := time.Now()
	err := m.store.Revoke(ctx, lease)
	m.record("revoke", begun, err)
	return err
}
