// Package entry implements an instance, which serves callers: it writes their jobs to the store,
// notifies the owner (the instance that schedules all jobs), answers queries about jobs, and watches
// the operators' configuration.
package entry

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/logging"
)

// Route assigns requests with a host and a path prefix to a queue.
type Route struct {
	Queue  string
	Host   string
	Prefix string
}

// Config is one version of the operators' configuration.
type Config struct {
	Batch  batch.Config
	Routes []Route
	// MaxBody bounds the body of a request, in bytes; 0 or less stands for the default.
	MaxBody int64
}

// Match returns the queue of the route with the longest matching prefix, and the rest of the path.
func (c *Config) Match(host, path string) (queue, rest string, ok bool) {
	best := -1
	for i, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return "", "", false
	}
	return c.Routes[best].Queue, path[len(c.Routes[best].Prefix):], true
}

// ConfigDecoder decodes the configuration that the operators write to the store.
type ConfigDecoder interface {
	// Prefix returns the prefix of all keys of the configuration.
	Prefix() string
	// Decode returns the configuration, or nil if there is none yet. The error is an UnreadableKeyError if
	// the value of one key cannot be read.
	Decode(items []kv.Item) (*Config, error)
}

// UnreadableKeyError says that the value of a key of the configuration cannot be read.
type UnreadableKeyError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *UnreadableKeyError) Error() string { return e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableKeyError) Unwrap() error { return e.Cause }

// configWatcher watches the configuration in the store and keeps the newest version.
type configWatcher struct {
	decoder ConfigDecoder
	log     zerolog.Logger

	mu    sync.Mutex // guards items, readable and updates of inForce
	items map[string]kv.Item
	// readable holds the items that the last configuration was decoded from.
	readable   map[string]kv.Item
	unreadable logging.Repeats
	inForce    atomic.Pointer[Config]
	// lastContact is when the last successful call to the store ended; nil if there was none.
	lastContact atomic.Pointer[time.Time]
	// disconnected is set while the store does not answer the watch.
	disconnected atomic.Bool
}

const (
	// configWatchTimeout bounds one watch call.
	configWatchTimeout = 1500 * time.Millisecond
	// configRetryDelay is the pause after a failed call.
	configRetryDelay = 250 * time.Millisecond
)

// storeWatcher returns a watcher of the store that feeds w.
func (w *configWatcher) storeWatcher(store kv.Store) *kv.Watcher {
	return &kv.Watcher{
		Store: store, Prefix: w.decoder.Prefix(), WatchTimeout: configWatchTimeout, RetryDelay: configRetryDelay,
		OnReset: func(items []kv.Item, _ int64) { w.reset(items) },
		OnChange: func(events []kv.Event, _ int64) {
			w.change(events)
		},
		OnResult: func(err error) {
			w.setDisconnected(!answered(err), err)
			if err == nil {
				w.noteContact()
			}
		},
	}
}

// noteContact notes that the store has just answered.
func (w *configWatcher) noteContact() {
	now := time.Now()
	w.lastContact.Store(&now)
}

// neverInContact stands for the time since the last contact if there was none.
const neverInContact = time.Hour

// sinceContact returns how long ago the store last answered. It does not depend on the time of day.
func (w *configWatcher) sinceContact() time.Duration {
	last := w.lastContact.Load()
	if last == nil {
		return neverInContact
	}
	return time.Since(*last)
}

// setDisconnected notes whether the store answers, and logs each change with its cause.
func (w *configWatcher) setDisconnected(disconnected bool, cause error) {
	if w.disconnected.Swap(disconnected) != disconnected {
		w.log.Info().Str("event", "store.contact").Bool("lost", disconnected).AnErr("cause", cause).Send()
	}
}

// answered reports whether the store has answered a call that returned err, if only to refuse it.
func answered(err error) bool {
	return err == nil || errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrCompacted)
}

// reset replaces all keys by those of a listing.
func (w *configWatcher) reset(items []kv.Item) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.items = map[string]kv.Item{}
	for _, i := range items {
		w.items[i.Key] = i
	}
	w.apply()
}

// change applies changes of single keys.
func (w *configWatcher) change(events []kv.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.items == nil {
		w.items = map[string]kv.Item{}
	}
	for _, e := range events {
		if e.Deleted {
			delete(w.items, e.Key)
		} else {
			w.items[e.Key] = e.Item
		}
	}
	w.apply()
}

// decode decodes the keys. A value that cannot be read costs only itself: the last readable value of its key
// stays in its place.
func (w *configWatcher) decode() (*Config, error) {
	items := maps.Clone(w.items)
	for {
		config, err := w.decoder.Decode(slices.Collect(maps.Values(items)))
		var unreadable *UnreadableKeyError
		if !errors.As(err, &unreadable) {
			if err == nil {
				w.readable = items
			}
			return config, err
		}
		w.logUnreadable(unreadable)
		former, ok := w.readable[unreadable.Key]
		if ok && !bytes.Equal(former.Value, items[unreadable.Key].Value) {
			items[unreadable.Key] = former
		} else {
			delete(items, unreadable.Key)
		}
	}
}

// logUnreadable logs a value that cannot be read, once for each value.
func (w *configWatcher) logUnreadable(err *UnreadableKeyError) {
	if w.unreadable.New(err.Key, string(w.items[err.Key].Value)) {
		w.log.Error().Str("event", "config.unreadable").Str("key", err.Key).Err(err.Cause).Send()
	}
}

// apply decodes the keys and puts the configuration in force. An older version, which a stale listing
// may hold, never replaces a newer one.
func (w *configWatcher) apply() {
	config, err := w.decode()
	if err != nil {
		w.log.Error().Str("event", "config.unreadable").Err(err).Send()
		return
	}
	old := w.inForce.Load()
	if config == nil || old != nil && config.Batch.Version < old.Batch.Version {
		return
	}
	w.inForce.Store(config)
	w.log.Info().Str("event", "config.in-force").Int64("version", config.Batch.Version).
		Int("routes", len(config.Routes)).Int("evacuated", len(config.Batch.Evacuated)).Send()
}

// batchConfig returns the batch part of the configuration in force, or its zero value if none is known
// yet.
func (w *configWatcher) batchConfig() batch.Config {
	if config := w.inForce.Load(); config != nil {
		return config.Batch
	}
	return batch.Config{}
}
