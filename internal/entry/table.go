// Package entry is an instance between callers and the owner: it accepts jobs into the
// store, answers what is known of them, and follows the operators' configuration.
package entry

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// Route leads calls with a host and a path prefix to a queue.
type Route struct {
	Queue  string
	Host   string
	Prefix string
}

// Config is a configuration in force.
type Config struct {
	Batch  batch.Config
	Routes []Route
	// MaxBody bounds the body of a call, in bytes.
	MaxBody int64
}

// Match returns the queue of the route with the longest prefix, and what follows it.
func (t *Config) Match(host, path string) (queue, rest string, ok bool) {
	best := -1
	for i, r := range t.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best < 0 || len(r.Prefix) > len(t.Routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return "", "", false
	}
	return t.Routes[best].Queue, path[len(t.Routes[best].Prefix):], true
}

// ConfigDecoder decodes what the operators write into the store.
type ConfigDecoder interface {
	// Prefix is the prefix of all their keys.
	Prefix() string
	// Decode returns the configuration, or nil if there is none yet.
	Decode(items []kv.Item) (*Config, error)
}

// configFollower keeps the configuration in force.
type configFollower struct {
	operator ConfigDecoder
	log      zerolog.Logger

	mu      sync.Mutex
	items   map[string]kv.Item
	table   atomic.Pointer[Config]
	contact atomic.Int64 // Unix nanoseconds of the last answer of the store
}

const (
	// configWait bounds a watch of the configuration.
	configWait = 1500 * time.Millisecond
	// configRetry is the pause after a failed call.
	configRetry = 250 * time.Millisecond
)

func (f *configFollower) follower(store kv.Store) *kv.Watcher {
	return &kv.Watcher{
		Store: store, Prefix: f.operator.Prefix(), WatchTimeout: configWait, RetryDelay: configRetry,
		OnReset: func(items []kv.Item, _ int64) { f.reset(items) },
		OnChange: func(events []kv.Event, _ int64) {
			f.change(events)
		},
		OnResult: func(err error) {
			if err == nil {
				f.contact.Store(time.Now().UnixNano())
			}
		},
	}
}

func (f *configFollower) reset(items []kv.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.items = map[string]kv.Item{}
	for _, i := range items {
		f.items[i.Key] = i
	}
	f.apply()
}

func (f *configFollower) change(events []kv.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.items == nil {
		f.items = map[string]kv.Item{}
	}
	for _, e := range events {
		if e.Deleted {
			delete(f.items, e.Key)
		} else {
			f.items[e.Key] = e.Item
		}
	}
	f.apply()
}

// apply puts the configuration in force. An older version never replaces a newer one.
func (f *configFollower) apply() {
	t, err := f.operator.Decode(slices.Collect(maps.Values(f.items)))
	if err != nil {
		f.log.Error().Str("event", "config.unreadable").Err(err).Send()
		return
	}
	old := f.table.Load()
	if t == nil || old != nil && t.Batch.Version < old.Batch.Version {
		return
	}
	f.table.Store(t)
	f.log.Info().Str("event", "config.in-force").Int64("version", t.Batch.Version).
		Int("routes", len(t.Routes)).Int("evacuated", len(t.Batch.Evacuated)).Send()
}

// current returns the batch part of the configuration in force.
func (f *configFollower) current() batch.Config {
	if t := f.table.Load(); t != nil {
		return t.Batch
	}
	return batch.Config{}
}
