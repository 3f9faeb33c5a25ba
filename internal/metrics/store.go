package metrics

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// The operations of the store, as values of a tag.
const (
	opGet    = "get"
	opList   = "list"
	opSwap   = "swap"
	opGrant  = "grant"
	opRenew  = "renew"
	opRevoke = "revoke"
	opWatch  = "watch"
)

// The outcomes of a call of the store, as values of a tag.
const (
	outcomeOK = "ok"
	// outcomeConflict is a compare-and-swap that found another revision.
	outcomeConflict = "conflict"
	outcomeLapsed   = "lapsed"
	// outcomeUnknown is a write that may have taken effect.
	outcomeUnknown = "unknown"
	outcomeFailed  = "failed"
)

// storeBuckets reach from 0.5 ms to about 16 s.
var storeBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// storeMeters are the metrics of one operation.
type storeMeters struct {
	latency  tally.Histogram
	outcomes map[string]tally.Counter
}

// meteredStore counts the calls of a store and their time.
type meteredStore struct {
	store  platform.Store
	clock  platform.Clock
	meters map[string]storeMeters
}

// InstrumentStore returns a store that passes every call on and counts it. Each open of a watch
// counts as a call; the time that a watch lasts is not measured.
func InstrumentStore(store platform.Store, clock platform.Clock, scope tally.Scope) platform.Store {
	m := &meteredStore{store: store, clock: clock, meters: map[string]storeMeters{}}
	scope = scope.SubScope("store")
	outcomes := []string{outcomeOK, outcomeConflict, outcomeLapsed, outcomeUnknown, outcomeFailed}
	for _, op := range []string{opGet, opList, opSwap, opGrant, opRenew, opRevoke, opWatch} {
		tagged := scope.Tagged(map[string]string{"op": op})
		meters := storeMeters{latency: tagged.Histogram("latency", storeBuckets), outcomes: map[string]tally.Counter{}}
		for _, outcome := range outcomes {
			meters.outcomes[outcome] = tagged.Tagged(map[string]string{"outcome": outcome}).Counter("calls")
		}
		m.meters[op] = meters
	}
	return m
}

// count notes the outcome and the time of a call.
func (m *meteredStore) count(op string, began time.Time, outcome string) {
	meters := m.meters[op]
	meters.outcomes[outcome].Inc(1)
	meters.latency.RecordDuration(m.clock.Now().Sub(began))
}

// outcomeOf returns the outcome that the error stands for.
func outcomeOf(err error) string {
	if err == nil {
		return outcomeOK
	}
	var e *platform.StoreError
	switch {
	case !errors.As(err, &e):
		return outcomeFailed
	case e.Lapsed:
		return outcomeLapsed
	case e.Unknown:
		return outcomeUnknown
	default:
		return outcomeFailed
	}
}

// Get implements platform.Store.
func (m *meteredStore) Get(ctx context.Context, key string) (platform.KeyValue, int64, error) {
	began := m.clock.Now()
	kv, revision, err := m.store.Get(ctx, key)
	m.count(opGet, began, outcomeOf(err))
	return kv, revision, err
}

// List implements platform.Store.
func (m *meteredStore) List(ctx context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	began := m.clock.Now()
	list, revision, err := m.store.List(ctx, prefix)
	m.count(opList, began, outcomeOf(err))
	return list, revision, err
}

// CompareAndSwap implements platform.Store.
func (m *meteredStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease platform.LeaseID) (platform.CompareAndSwapResult, error) {
	began := m.clock.Now()
	result, err := m.store.CompareAndSwap(ctx, key, expected, value, lease)
	outcome := outcomeOf(err)
	if err == nil && !result.Applied {
		outcome = outcomeConflict
	}
	m.count(opSwap, began, outcome)
	return result, err
}

// Grant implements platform.Store.
func (m *meteredStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	began := m.clock.Now()
	lease, err := m.store.Grant(ctx, ttl)
	m.count(opGrant, began, outcomeOf(err))
	return lease, err
}

// Renew implements platform.Store.
func (m *meteredStore) Renew(ctx context.Context, lease platform.LeaseID) error {
	began := m.clock.Now()
	err := m.store.Renew(ctx, lease)
	m.count(opRenew, began, outcomeOf(err))
	return err
}

// Revoke implements platform.Store.
func (m *meteredStore) Revoke(ctx context.Context, lease platform.LeaseID) error {
	began := m.clock.Now()
	err := m.store.Revoke(ctx, lease)
	m.count(opRevoke, began, outcomeOf(err))
	return err
}

// Watch implements platform.Store.
func (m *meteredStore) Watch(ctx context.Context, prefix string, after int64) (<-chan platform.WatchEvent, error) {
	began := m.clock.Now()
	events, err := m.store.Watch(ctx, prefix, after)
	m.count(opWatch, began, outcomeOf(err))
	return events, err
}
