package metrics

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// fakeStore returns the same result for every call, after advancing the clock by a second.
type fakeStore struct {
	clock   *fakeClock
	applied bool
	err     error
}

// fakeClock is a clock that only fakeStore advances.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func (s *fakeStore) result() error {
	s.clock.now = s.clock.now.Add(time.Second)
	return s.err
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.KeyValue, int64, error) {
	return platform.KeyValue{Key: key}, 7, s.result()
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	return []platform.KeyValue{{Key: prefix}}, 7, s.result()
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, lease platform.LeaseID) (platform.CompareAndSwapResult, error) {
	current := platform.KeyValue{Key: key, ModRevision: expected, Value: value, Lease: lease}
	return platform.CompareAndSwapResult{Applied: s.applied, Revision: 7, Current: current}, s.result()
}

func (s *fakeStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	return 5, s.result()
}

func (s *fakeStore) Renew(context.Context, platform.LeaseID) error { return s.result() }

func (s *fakeStore) Revoke(context.Context, platform.LeaseID) error { return s.result() }

func (s *fakeStore) Watch(context.Context, string, int64) (<-chan platform.WatchEvent, error) {
	return nil, s.result()
}

// callEachOperation calls each operation of the store once and returns the errors by operation.
func callEachOperation(store platform.Store) map[string]error {
	ctx := context.Background()
	errs := map[string]error{}
	_, _, errs["get"] = store.Get(ctx, "k")
	_, _, errs["list"] = store.List(ctx, "k")
	_, errs["swap"] = store.CompareAndSwap(ctx, "k", 3, []byte("v"), 4)
	_, errs["grant"] = store.Grant(ctx, time.Second)
	errs["renew"] = store.Renew(ctx, 4)
	errs["revoke"] = store.Revoke(ctx, 4)
	_, errs["watch"] = store.Watch(ctx, "k", 3)
	return errs
}

func TestStoreCountsEachCallByItsOutcome(t *testing.T) {
	down := errors.New("down")
	cases := []struct {
		name    string
		applied bool
		err     error
		swap    string
		other   string
	}{
		{"a call without an error is ok", true, nil, "ok", "ok"},
		{"a swap that finds another revision is a conflict", false, nil, "conflict", "ok"},
		{"a lapsed lease has a separate outcome", true, &platform.StoreError{Lapsed: true, Cause: down}, "lapsed", "lapsed"},
		{"a write without a response is unknown", true, &platform.StoreError{Unknown: true, Cause: down}, "unknown", "unknown"},
		{"a call without effect failed", true, &platform.StoreError{Cause: down}, "failed", "failed"},
		{"a wrapped error keeps its outcome", true, fmt.Errorf("x: %w", &platform.StoreError{Lapsed: true, Cause: down}), "lapsed", "lapsed"},
		{"an error of another kind failed", true, down, "failed", "failed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			scope := tally.NewTestScope("", nil)
			clock := &fakeClock{}
			for op, err := range callEachOperation(InstrumentStore(&fakeStore{clock: clock, applied: c.applied, err: c.err}, clock, scope)) {
				is.Equal(err, c.err) // errors are returned unchanged
				outcome := c.other
				if op == "swap" {
					outcome = c.swap
				}
				counted := map[string]int64{}
				for _, counter := range scope.Snapshot().Counters() {
					if tags := counter.Tags(); tags["op"] == op && counter.Value() > 0 {
						counted[tags["outcome"]] = counter.Value()
					}
				}
				is.Equal(counted, map[string]int64{outcome: 1})
				latency := scope.Snapshot().Histograms()["store.latency+op="+op].Durations()
				within := int64(0)
				for bound, n := range latency {
					if bound >= time.Second && bound < 2*time.Second {
						within += n
					}
				}
				is.Equal(within, int64(1)) // the call took one second
			}
		})
	}
}

func TestStorePassesResultsOn(t *testing.T) {
	is := is.New(t)
	clock := &fakeClock{}
	store := InstrumentStore(&fakeStore{clock: clock, applied: true}, clock, tally.NoopScope)
	ctx := context.Background()
	kv, revision, err := store.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(kv.Key, "k")
	is.Equal(revision, int64(7))
	list, revision, err := store.List(ctx, "p")
	is.NoErr(err)
	is.Equal(list[0].Key, "p")
	is.Equal(revision, int64(7))
	result, err := store.CompareAndSwap(ctx, "k", 3, []byte("v"), 4)
	is.NoErr(err)
	is.Equal(result, platform.CompareAndSwapResult{Applied: true, Revision: 7, Current: platform.KeyValue{Key: "k", ModRevision: 3, Value: []byte("v"), Lease: 4}})
	lease, err := store.Grant(ctx, time.Second)
	is.NoErr(err)
	is.Equal(lease, platform.LeaseID(5))
}
