package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// bootTime is a boot clock under synthetic time, which a test can let go on as in a suspension.
type bootTime struct {
	start     time.Time
	suspended atomic.Int64 // nanoseconds
}

func (b *bootTime) now() time.Duration {
	return time.Since(b.start) + time.Duration(b.suspended.Load()) + time.Minute
}

// watchedStore answers listings and watches after a time. Its answers are those of the moment at which a call begins.
type watchedStore struct {
	kv.Store
	items   []kv.Item
	rev     int64
	latency time.Duration
	// interval is the time between two changes of another key; 0 for none.
	interval time.Duration
	down     atomic.Bool
	lists    atomic.Int32
}

func (s *watchedStore) List(ctx context.Context, _ string) ([]kv.Item, int64, error) {
	s.lists.Add(1)
	if s.down.Load() {
		return nil, 0, kv.ErrUnavailable
	}
	items, rev := s.items, s.rev
	time.Sleep(s.latency)
	return items, rev, ctx.Err()
}

func (s *watchedStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	if s.down.Load() {
		return nil, 0, errors.New("cut")
	}
	if s.interval > 0 {
		time.Sleep(s.interval)
		s.rev++
		return []kv.Event{{Item: put("op/evacuate/a", byte(s.rev), s.rev)}}, s.rev, ctx.Err()
	}
	time.Sleep(wait + s.latency)
	return nil, s.rev, ctx.Err()
}

// keyedDecoder decodes a configuration with API keys.
type keyedDecoder struct{ fakeDecoder }

func (d keyedDecoder) Decode(items []kv.Item) (*Config, map[string]bool, error) {
	config, evacuated, err := d.fakeDecoder.Decode(items)
	if config != nil {
		config.Keys = keysOf("acme", "valid")
	}
	return config, evacuated, err
}

// watching runs a watcher with API keys and a bound on revocation beside a test.
func watching(t *testing.T, s *watchedStore, test func(is *is.I, w *configWatcher, clock *bootTime)) {
	watchingWith(t, s, keyedDecoder{}, test)
}

// watchingWith is watching with a decoder.
func watchingWith(t *testing.T, s *watchedStore, decoder ConfigDecoder, test func(is *is.I, w *configWatcher, clock *bootTime)) {
	bubbletest.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		clock := &bootTime{start: time.Now()}
		w := newConfigWatcher(decoder, nil, zerolog.Nop())
		w.clock = clock.now
		w.setRevocationBound(5 * time.Second)
		defer time.Sleep(time.Minute) // let the watch end
		defer cancel()
		go w.storeWatcher(s).Run(ctx, 0)
		time.Sleep(10 * time.Second)
		test(is.New(t), w, clock)
	})
}

func someConfig() []kv.Item { return []kv.Item{put("op/config", 5, 10)} }

// Guards against keys that are refused while nothing is wrong, or with a store that is slow.
func TestAWatchedConfigurationStaysFresh(t *testing.T) {
	for _, latency := range []time.Duration{0, 600 * time.Millisecond} {
		watching(t, &watchedStore{items: someConfig(), rev: 10, latency: latency}, func(is *is.I, w *configWatcher, _ *bootTime) {
			for range 1000 {
				is.True(w.age() <= 2*(kv.WatchTimeout+latency))
				time.Sleep(7 * time.Millisecond)
			}
		})
	}
}

// Guards against keys that are refused in a storm of changes: no answer shows that it holds all changes, so listings must. A
// deployment without keys needs none.
func TestAStormOfChangesDoesNotLeaveKeysUnconfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		decoder  ConfigDecoder
		min, max int32 // listings among 340 calls
	}{
		"with keys":    {keyedDecoder{}, 5, 15},
		"without keys": {fakeDecoder{}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := &watchedStore{items: someConfig(), rev: 10, interval: 50 * time.Millisecond}
			watchingWith(t, s, c.decoder, func(is *is.I, w *configWatcher, _ *bootTime) {
				for range 1000 {
					is.True(w.inForce.Load().Keys == nil || w.age() <= maxDenialAge+s.interval)
					time.Sleep(7 * time.Millisecond)
				}
				is.True(c.min <= s.lists.Load() && s.lists.Load() <= c.max)
			})
		})
	}
}

// Guards against an instance that accepts keys while the store cannot be reached, and against one that does not accept them at once
// when it can be again.
func TestKeysAreAcceptedExactlyWhileTheConfigurationIsFresh(t *testing.T) {
	s := &watchedStore{items: someConfig(), rev: 10}
	watching(t, s, func(is *is.I, w *configWatcher, _ *bootTime) {
		s.down.Store(true)
		time.Sleep(kv.WatchTimeout) // the watch in flight is still answered
		time.Sleep(3 * time.Second)
		is.True(w.acceptsKeys())
		time.Sleep(1200 * time.Millisecond)
		is.True(!w.acceptsKeys())
		time.Sleep(time.Minute)
		is.True(!w.acceptsKeys())
		s.down.Store(false)
		time.Sleep(configRetryDelay)
		is.True(w.acceptsKeys())
	})
}

// Guards against a process that wakes after a suspension and accepts a key by what it knew before: the answer of a watch that
// was sent before the suspension proves nothing of the time after it.
func TestASuspensionCountsAsAge(t *testing.T) {
	const latency = 200 * time.Millisecond // so watches end 0.2 s after each full second
	s := &watchedStore{items: someConfig(), rev: 10, latency: latency}
	watching(t, s, func(is *is.I, w *configWatcher, clock *bootTime) {
		time.Sleep(100 * time.Millisecond)
		clock.suspended.Store(int64(6 * time.Second))
		is.True(!w.acceptsKeys())
		time.Sleep(latency) // the answer of the watch has come
		is.True(!w.acceptsKeys())
		time.Sleep(latency) // that of a listing, too
		is.True(w.acceptsKeys())
	})
}

// Guards against a slow read beside the watch that makes the configuration look newer than when it was sent.
func TestARefreshConfirmsAsOfItsSending(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		clock := &bootTime{start: time.Now()}
		w := newConfigWatcher(fakeDecoder{}, nil, zerolog.Nop())
		w.clock = clock.now
		const latency = 3 * time.Second
		is.NoErr(w.refresh(t.Context(), &watchedStore{items: someConfig(), rev: 10, latency: latency}))
		is.Equal(w.age(), latency)
	})
}

// Guards against a read that confirms a configuration that it does not show to be the newest.
func TestWhatConfirmsAConfiguration(t *testing.T) {
	listing := func(w *configWatcher, rev int64, items ...kv.Item) {
		w.reset(items, rev)
		w.confirm(kv.Confirmation{Sent: 9 * time.Second, Rev: rev})
	}
	for name, c := range map[string]struct {
		read func(w *configWatcher)
		want bool
	}{
		"the same":                        {func(w *configWatcher) { listing(w, 20, put("op/config", 5, 10)) }, true},
		"the same, at a later revision":   {func(w *configWatcher) { listing(w, 30, put("op/config", 5, 10)) }, true},
		"a newer one":                     {func(w *configWatcher) { listing(w, 21, put("op/config", 6, 21)) }, true},
		"nothing new":                     {func(w *configWatcher) { w.confirm(kv.Confirmation{Sent: 9 * time.Second, Rev: 20}) }, true},
		"a stale read of the same":        {func(w *configWatcher) { listing(w, 19, put("op/config", 5, 10)) }, false},
		"a stale read of an older one":    {func(w *configWatcher) { listing(w, 8, put("op/config", 4, 8)) }, false},
		"an older version, written later": {func(w *configWatcher) { listing(w, 21, put("op/config", 4, 21)) }, false},
		"a removed one":                   {func(w *configWatcher) { listing(w, 21) }, false},
		"an unreadable one":               {func(w *configWatcher) { listing(w, 21, kv.Item{Key: "op/config", Value: []byte("xx"), Rev: 21}) }, false},
		"an unreadable one, seen again": {func(w *configWatcher) {
			for rev := range int64(3) {
				listing(w, 21+rev, kv.Item{Key: "op/config", Value: []byte("xx"), Rev: 21})
			}
		}, false},
		"a readable one after an unreadable one": {func(w *configWatcher) {
			listing(w, 21, kv.Item{Key: "op/config", Value: []byte("xx"), Rev: 21})
			listing(w, 22, put("op/config", 6, 22))
		}, true},
		"a newer one, with revisions counted anew": {func(w *configWatcher) { listing(w, 3, put("op/config", 6, 3)) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newConfigWatcher(fakeDecoder{}, nil, zerolog.Nop())
			w.reset(someConfig(), 20)
			w.confirm(kv.Confirmation{Sent: time.Second, Rev: 20})
			c.read(w)
			is.Equal(w.freshness.age(10*time.Second) == time.Second, c.want)
		})
	}
}
