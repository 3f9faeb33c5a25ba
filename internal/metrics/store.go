package metrics

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// The values of the tag op, which names the store operation.
const (
	opGet    = "get"
	opList   = "list"
	opSwap   = "swap"
	opGrant  = "grant"
	opRenew  = "renew"
	opRevoke = "revoke"
	opWatch  = "watch"
)

// The values of the tag outcome of a store call.
const (
	outcomeOK = "ok"
	// outcomeConflict is a compare-and-swap that found another revision.
	outcomeConflict = "conflict"
	// outcomeLapsed is a call whose lease has lapsed.
	outcomeLapsed = "lapsed"
	// outcomeUnknown is a write that may have taken effect.
	outcomeUnknown = "unknown"
	outcomeFailed  = "failed"
)

// storeBuckets are the latency buckets, from 0.5 ms to about 16 s.
var storeBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// operationMetrics are the metrics of one operation.
type operationMetrics struct {
	latency  tally.Histogram
	outcomes map[string]tally.Counter
}

// instrumentedStore records the outcome and the latency of the calls of a store.
type instrumentedStore struct {
	store   platform.Store
	clock   platform.Clock
	metrics map[string]operationMetrics
}

// InstrumentStore returns a store that forwards every call and records its outcome and latency.
// Opening a watch counts as a call; the duration of the watch is not measured.
func InstrumentStore(store platform.Store, clock platform.Clock, scope tally.Scope) platform.Store {
	m := &instrumentedStore{store: store, clock: clock, metrics: map[string]operationMetrics{}}
	scope = scope.SubScope("store")
	outcomes := []string{outcomeOK, outcomeConflict, outcomeLapsed, outcomeUnknown, outcomeFailed}
	for _, op := range []string{opGet, opList, opSwap, opGrant, opRenew, opRevoke, opWatch} {
		tagged := scope.Tagged(map[string]string{"op": op})
		metrics := operationMetrics{latency: tagged.Histogram("latency", storeBuckets), outcomes: map[string]tally.Counter{}}
		for _, outcome := range outcomes {
			metrics.outcomes[outcome] = tagged.Tagged(map[string]string{"outcome": outcome}).Counter("calls")
		}
		m.metrics[op] = metrics
	}
	return m
}

// record records the outcome and the latency of a call.
func (m *instrumentedStore) record(op string, start time.Time, outcome string) {
	metrics := m.metrics[op]
	metrics.outcomes[outcome].Inc(1)
	metrics.latency.RecordDuration(m.clock.Now().Sub(start))
}

// outcomeOf returns the outcome of a call that returned the error.
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
func (m *instrumentedStore) Get(ctx context.Context, key string) (platform.KeyValue, int64, error) {
	start := m.clock.Now()
	kv, revision, err := m.store.Get(ctx, key)
	m.record(opGet, start, outcomeOf(err))
	return kv, revision, err
}

// List implements platform.Store.
func (m *instrumentedStore) List(ctx context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	start := m.clock.Now()
	list, revision, err := m.store.List(ctx, prefix)
	m.record(opList, start, outcomeOf(err))
	return list, revision, err
}

// CompareAndSwap implements platform.Store.
func (m *instrumentedStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease platform.LeaseID) (platform.CompareAndSwapResult, error) {
	start := m.clock.Now()
	result, err := m.store.CompareAndSwap(ctx, key, expected, value, lease)
	outcome := outcomeOf(err)
	if err == nil && !result.Applied {
		outcome = outcomeConflict
	}
	m.record(opSwap, start, outcome)
	return result, err
}

// Grant implements platform.Store.
func (m *instrumentedStore) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	start := m.clock.Now()
	lease, err := m.store.Grant(ctx, ttl)
	m.record(opGrant, start, outcomeOf(err))
	return lease, err
}

// Renew implements platform.Store.
func (m *instrumentedStore) Renew(ctx context.Context, lease platform.LeaseID) error {
	start := m.clock.Now()
	err := m.store.Renew(ctx, lease)
	m.record(opRenew, start, outcomeOf(err))
	return err
}

// Revoke implements platform.Store.
func (m *instrumentedStore) Revoke(ctx context.Context, lease platform.LeaseID) error {
	start := m.clock.Now()
	err := m.store.Revoke(ctx, lease)
	m.record(opRevoke, start, outcomeOf(err))
	return err
}

// Watch implements platform.Store.
func (m *instrumentedStore) Watch(ctx context.Context, prefix string, after int64) (<-chan platform.WatchEvent, error) {
	start := m.clock.Now()
	events, err := m.store.Watch(ctx, prefix, after)
	m.record(opWatch, start, outcomeOf(err))
	return events, err
}
