package kv

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

// scriptedStore answers Watch calls with the given results in order, and then blocks. Each List
// returns one item at revision 10 times the number of List calls so far.
type scriptedStore struct {
	Store
	lists   int
	watches []watchResult
	after   []int64
}

type watchResult struct {
	events []Event
	rev    int64
	err    error
}

func (s *scriptedStore) List(context.Context, string) ([]Item, int64, error) {
	s.lists++
	return []Item{{Key: "p/a", Rev: 3}}, int64(10 * s.lists), nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]Event, int64, error) {
	s.after = append(s.after, after)
	if len(s.watches) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	w := s.watches[0]
	s.watches = s.watches[1:]
	return w.events, w.rev, w.err
}

// Guards against a change that is told only by a later watch, although the store answers reads: after a watch without
// a usable answer, whatever the reason, the keys are listed. Only a call that failed quickly is followed by a pause.
func TestWatcherListsAgainAfterEachFailedWatch(t *testing.T) {
	const retryDelay = 100 * time.Millisecond
	for name, c := range map[string]struct {
		err   error
		pause time.Duration
	}{
		"cut":       {errors.New("cut"), retryDelay},
		"refused":   {ErrUnavailable, retryDelay},
		"silent":    {fmt.Errorf("watch: %w", ErrSilent), 0},
		"compacted": {ErrCompacted, 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				store := &scriptedStore{watches: []watchResult{
					{events: []Event{{Item: Item{Key: "p/b", Rev: 12}}}, rev: 12},
					{rev: 15},
					{err: c.err},
					{rev: 25},
				}}
				changes, startTime := 0, time.Now()
				var resets []time.Duration
				w := &Watcher{
					Store: store, Prefix: "p/", RetryDelay: retryDelay,
					OnReset:  func([]Item, int64) { resets = append(resets, time.Since(startTime)) },
					OnChange: func(e []Event, _ int64) { changes += len(e) },
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				w.Run(ctx, 0)
				is.Equal(resets, []time.Duration{0, c.pause})
				is.Equal(changes, 1)
				is.Equal(store.after, []int64{10, 12, 15, 20, 25})
			})
		})
	}
}

// Guards against a copy that falls further and further behind: of many changes a response brings only some, and the next
// was not asked for before a pause.
func TestWatcherDoesNotPauseWhileManyChangesWait(t *testing.T) {
	const interval = 350 * time.Millisecond
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := &scriptedStore{}
		for n, size := range []int{1, 500, 500, 140, 1} {
			store.watches = append(store.watches, watchResult{events: make([]Event, size), rev: int64(20 + n)})
		}
		startTime := time.Now()
		var changes []time.Duration
		w := &Watcher{
			Store: store, Prefix: "p/", WatchInterval: interval, OnReset: func([]Item, int64) {},
			OnChange: func([]Event, int64) { changes = append(changes, time.Since(startTime)) },
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		w.Run(ctx, 0)
		is.Equal(changes, []time.Duration{0, interval, interval, interval, 2 * interval})
	})
}

// slowStore answers each call of a scriptedStore after a time.
type slowStore struct {
	*scriptedStore
	latency time.Duration
}

func (s slowStore) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	defer time.Sleep(s.latency)
	return s.scriptedStore.List(ctx, prefix)
}

func (s slowStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error) {
	defer time.Sleep(s.latency)
	return s.scriptedStore.Watch(ctx, prefix, after, wait)
}

// Guards against content that is taken as newer than it is: a call proves what the store held after it was sent, not when it is
// answered. Changes prove nothing, as more of them may wait, nor does an answer of an earlier revision.
func TestWhatConfirmsTheContent(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		const latency = 3 * time.Second
		store := &scriptedStore{watches: []watchResult{
			{rev: 10}, // sent after 3 s
			{events: []Event{{Item: Item{Key: "p/b", Rev: 12}}}, rev: 12},
			{rev: 11},
			{rev: 15}, // sent after 12 s
			{err: ErrUnavailable},
		}}
		var got []Confirmation
		startTime := time.Now()
		w := &Watcher{
			Store: slowStore{store, latency}, Prefix: "p/", OnReset: func([]Item, int64) {}, OnChange: func([]Event, int64) {},
			OnConfirm: func(c Confirmation) { got = append(got, c) },
			Clock:     func() time.Duration { return time.Since(startTime) },
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		w.Run(ctx, 0)
		is.Equal(got, []Confirmation{{0, 10}, {latency, 10}, {4 * latency, 15}, {6 * latency, 20}})
	})
}

func TestMeteredCountsByResult(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	s := WithMetrics(&scriptedStore{watches: []watchResult{{err: ErrCompacted}}}, scope)
	_, _, err := s.Watch(context.Background(), "p/", 1, 0)
	is.True(errors.Is(err, ErrCompacted))
	_, _, err = s.List(context.Background(), "p/")
	is.NoErr(err)
	counters := scope.Snapshot().Counters()
	is.Equal(counters["store_calls+op=watch,result=compacted"].Value(), int64(1))
	is.Equal(counters["store_calls+op=list,result=ok"].Value(), int64(1))
}
