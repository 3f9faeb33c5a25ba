package kv

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// answers is a store that lists once or more and answers watches as told, one after the other.
type answers struct {
	Store
	lists   int
	watches []watchAnswer
	after   []int64
}

type watchAnswer struct {
	events []Event
	rev    int64
	err    error
}

func (a *answers) List(context.Context, string) ([]Item, int64, error) {
	a.lists++
	return []Item{{Key: "p/a", Rev: 3}}, int64(10 * a.lists), nil
}

func (a *answers) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]Event, int64, error) {
	a.after = append(a.after, after)
	if len(a.watches) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	w := a.watches[0]
	a.watches = a.watches[1:]
	return w.events, w.rev, w.err
}

func TestFollowerListsAgainWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &answers{watches: []watchAnswer{
			{events: []Event{{Item: Item{Key: "p/b", Rev: 12}}}, rev: 12},
			{err: errors.New("cut")},
			{rev: 15},
			{err: ErrCompacted},
		}}
		resets, changes := 0, 0
		f := &Watcher{
			Store: store, Prefix: "p/", WatchTimeout: time.Second, RetryDelay: 100 * time.Millisecond,
			OnReset:  func([]Item, int64) { resets++ },
			OnChange: func(e []Event, _ int64) { changes += len(e) },
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		f.Run(ctx, 0)
		is.Equal(resets, 2)
		is.Equal(changes, 1)
		is.Equal(store.after, []int64{10, 12, 12, 15, 20}) // a failed watch begins where it was
	})
}

func TestMeteredCountsByResult(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	s := WithMetrics(&answers{watches: []watchAnswer{{err: ErrCompacted}}}, scope)
	_, _, err := s.Watch(context.Background(), "p/", 1, 0)
	is.True(errors.Is(err, ErrCompacted))
	_, _, err = s.List(context.Background(), "p/")
	is.NoErr(err)
	counters := scope.Snapshot().Counters()
	is.Equal(counters["store_calls+op=watch,result=compacted"].Value(), int64(1))
	is.Equal(counters["store_calls+op=list,result=ok"].Value(), int64(1))
}
