package store

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// startStore starts a store with two listeners and returns a client of each.
func startStore(t *testing.T) (*Server, [2]*platform.EtcdStore) {
	t.Helper()
	is := is.New(t)
	server := NewServer()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go server.Run(ctx)
	var clients [2]*platform.EtcdStore
	for i := range clients {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { l.Close() })
		go func() { _ = server.Serve(l, i) }()
		options := platform.StoreOptions{CallTimeout: 2 * time.Second, WatchIdleTimeout: 2 * time.Second}
		clients[i], err = platform.NewStore([]string{"http://" + l.Addr().String()}, options)
		is.NoErr(err)
	}
	return server, clients
}

func TestSwapWritesOnlyFromTheExpectedRevision(t *testing.T) {
	is := is.New(t)
	_, clients := startStore(t)
	c := clients[0]
	ctx := t.Context()

	created, err := c.CompareAndSwap(ctx, "a/1", 0, []byte("one"), 0)
	is.NoErr(err)
	is.True(created.Applied)
	again, err := c.CompareAndSwap(ctx, "a/1", 0, []byte("two"), 0)
	is.NoErr(err)
	is.True(!again.Applied)                      // the key exists
	is.Equal(string(again.Current.Value), "one") // the refused write returns the current value
	is.Equal(again.Current.ModRevision, created.Revision)
	second, err := c.CompareAndSwap(ctx, "a/1", created.Revision, []byte("two"), 0)
	is.NoErr(err)
	is.True(second.Applied)
	absent, err := c.CompareAndSwap(ctx, "a/2", 77, []byte("x"), 0)
	is.NoErr(err)
	is.True(!absent.Applied)
	is.Equal(absent.Current.ModRevision, int64(0))

	kv, head, err := c.Get(ctx, "a/1")
	is.NoErr(err)
	is.Equal(string(kv.Value), "two")
	is.Equal(head, second.Revision)
	list, _, err := c.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(list), 1)
}

func TestLeaseDeletesItsKeysWhenItExpires(t *testing.T) {
	is := is.New(t)
	server, clients := startStore(t)
	c := clients[0]
	ctx := t.Context()

	id, err := c.Grant(ctx, 60*time.Second)
	is.NoErr(err)
	is.NoErr(c.Renew(ctx, id))
	put, err := c.CompareAndSwap(ctx, "members/a", 0, []byte("x"), id)
	is.NoErr(err)
	events, err := c.Watch(ctx, "members/", put.Revision)
	is.NoErr(err)
	server.state.expirePrefix("members/")

	event := nextChange(t, events)
	is.Equal(event.Changed[0].Key, "members/a")
	is.Equal(event.Changed[0].ModRevision, int64(0)) // deleted
	var storeErr *platform.StoreError
	is.True(errors.As(c.Renew(ctx, id), &storeErr))
	is.True(storeErr.Lapsed)
	_, err = c.CompareAndSwap(ctx, "members/a", 0, []byte("x"), id)
	is.True(errors.As(err, &storeErr))
	is.True(storeErr.Lapsed)
	is.True(!storeErr.Unknown) // a write under an expired lease is refused
}

func TestWatchDeliversEveryChangeAfterTheRevision(t *testing.T) {
	is := is.New(t)
	_, clients := startStore(t)
	c := clients[0]
	ctx := t.Context()

	first, err := c.CompareAndSwap(ctx, "w/1", 0, []byte("1"), 0)
	is.NoErr(err)
	second, err := c.CompareAndSwap(ctx, "w/1", first.Revision, []byte("2"), 0)
	is.NoErr(err)
	_, err = c.CompareAndSwap(ctx, "other", 0, []byte("x"), 0)
	is.NoErr(err)
	events, err := c.Watch(ctx, "w/", first.Revision)
	is.NoErr(err)
	event := nextChange(t, events)
	is.Equal(len(event.Changed), 1) // neither the change before the revision nor the other key
	is.Equal(string(event.Changed[0].Value), "2")
	is.Equal(event.Changed[0].ModRevision, second.Revision)
}

func TestSilentWatchEndsWithAnError(t *testing.T) {
	is := is.New(t)
	server, clients := startStore(t)
	events, err := clients[0].Watch(t.Context(), "w/", 0)
	is.NoErr(err)
	server.SetFault(0, Fault{SilentWatches: true})
	var last platform.WatchEvent
	for e := range events {
		last = e
	}
	is.True(last.Err != nil)
}

func TestStoreErrorsSayWhetherAWriteMayHaveHappened(t *testing.T) {
	tests := []struct {
		sentence string
		fault    Fault
		unknown  bool
		value    string
	}{
		{"A lost answer leaves the outcome unknown, and the write is there.", Fault{LostAnswers: 1}, true, "x"},
		{"A delayed write leaves the outcome unknown, and is not there yet.", Fault{DelayedWrites: 1, DelayedBy: time.Hour}, true, ""},
		{"A store that closes the connection leaves the outcome unknown.", Fault{Down: true}, true, ""},
		{"A prefix that does not match injects no fault.", Fault{LostAnswers: 1, Prefix: "b/"}, false, "x"},
	}
	for _, tt := range tests {
		t.Run(tt.sentence, func(t *testing.T) {
			is := is.New(t)
			server, clients := startStore(t)
			server.SetFault(0, tt.fault)
			_, err := clients[0].CompareAndSwap(t.Context(), "a/1", 0, []byte("x"), 0)
			var storeErr *platform.StoreError
			is.Equal(errors.As(err, &storeErr) && storeErr.Unknown, tt.unknown)
			kv, _, err := clients[1].Get(t.Context(), "a/1") // the other listener has no fault
			is.NoErr(err)
			is.Equal(string(kv.Value), tt.value)
		})
	}
}

func TestRefusedConnectionProvesThatNothingWasWritten(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	c, err := platform.NewStore([]string{"http://" + addr}, platform.StoreOptions{})
	is.NoErr(err)
	_, err = c.CompareAndSwap(t.Context(), "a", 0, nil, 0)
	var storeErr *platform.StoreError
	is.True(errors.As(err, &storeErr))
	is.True(!storeErr.Unknown)
}

func TestStaleReadShowsTheVersionBeforeOnce(t *testing.T) {
	is := is.New(t)
	server, clients := startStore(t)
	c := clients[0]
	first, err := c.CompareAndSwap(t.Context(), "config/a", 0, []byte("old"), 0)
	is.NoErr(err)
	second, err := c.CompareAndSwap(t.Context(), "config/a", first.Revision, []byte("new"), 0)
	is.NoErr(err)
	server.SetFault(allListeners, Fault{StaleReads: 1, Prefix: "config/"})
	kv, head, err := c.Get(t.Context(), "config/a")
	is.NoErr(err)
	is.Equal(string(kv.Value), "old")
	is.True(head < second.Revision)
	kv, _, err = c.Get(t.Context(), "config/a")
	is.NoErr(err)
	is.Equal(string(kv.Value), "new")
}

// nextChange returns the next event that carries changes.
func nextChange(t *testing.T, events <-chan platform.WatchEvent) platform.WatchEvent {
	t.Helper()
	for e := range events {
		if e.Err != nil {
			t.Fatal(e.Err)
		}
		if len(e.Changed) > 0 {
			return e
		}
	}
	t.Fatal("the watch ended without a change")
	return platform.WatchEvent{}
}
