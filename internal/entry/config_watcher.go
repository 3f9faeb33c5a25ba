package entry

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/logging"
)

// configWatcher watches the configuration in the store and keeps the newest version.
type configWatcher struct {
	decoder ConfigDecoder
	log     zerolog.Logger
	scope   tally.Scope

	mu    sync.Mutex // guards items, readable, unconfirmed and updates of inForce
	items map[string]kv.Item
	// readable holds the items that the last configuration was decoded from.
	readable   map[string]kv.Item
	unreadable logging.Repeats
	// failures holds the causes of failed calls, so that one that lasts is logged once.
	failures logging.Repeats
	inForce  atomic.Pointer[Config]
	// unconfirmed is the time between the last two successful calls to the store; 0 before there were two.
	unconfirmed time.Duration
	// lastContact is when the last successful call to the store ended; nil if there was none.
	lastContact atomic.Pointer[time.Time]
	// disconnected is set while the store does not answer the watch.
	disconnected atomic.Bool
}

// newConfigWatcher returns a watcher that knows no configuration yet.
func newConfigWatcher(decoder ConfigDecoder, scope tally.Scope, log zerolog.Logger) *configWatcher {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &configWatcher{decoder: decoder, scope: scope, log: log}
}

// configRetryDelay is the pause after a call that the store refused or that broke off.
const configRetryDelay = 250 * time.Millisecond

// configSource is the kind of call that the content of a configuration came from.
type configSource string

const (
	sourceListing configSource = "listing"
	sourceWatch   configSource = "watch"
)

// storeWatcher returns a watcher of the store that feeds w.
func (w *configWatcher) storeWatcher(store kv.Store) *kv.Watcher {
	return &kv.Watcher{
		Store: store, Prefix: w.decoder.Prefix(), RetryDelay: configRetryDelay,
		OnReset: w.reset, OnChange: w.change, OnResult: w.noteResult,
	}
}

// noteResult notes the outcome of a call of the watcher.
func (w *configWatcher) noteResult(r kv.WatcherResult) {
	w.setDisconnected(!answered(r.Err), r.Err)
	if r.Err == nil {
		w.failures.Clear(w.decoder.Prefix())
		w.noteContact()
		return
	}
	if w.failures.New(w.decoder.Prefix(), r.Err.Error()) {
		w.log.Info().Str("event", "config.unconfirmed").Str("source", string(sourceOf(r))).Int64("after", r.After).
			Int64("unconfirmed-ms", w.sinceContact().Milliseconds()).AnErr("cause", r.Err).Send()
	}
}

// sourceOf returns the kind of a call of the watcher.
func sourceOf(r kv.WatcherResult) configSource {
	if r.Listing {
		return sourceListing
	}
	return sourceWatch
}

// confirmationBuckets cover 50 ms to about 25 s.
var confirmationBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Millisecond, 2, 10)

// noteContact notes that the store has just answered.
func (w *configWatcher) noteContact() {
	now := time.Now()
	last := w.lastContact.Swap(&now)
	if last == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unconfirmed = now.Sub(*last)
	w.scope.Histogram("config_confirmation_interval", confirmationBuckets).RecordDuration(w.unconfirmed)
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

// reset replaces all keys by those of a listing at a revision of the store.
func (w *configWatcher) reset(items []kv.Item, rev int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.items = map[string]kv.Item{}
	for _, i := range items {
		w.items[i.Key] = i
	}
	w.apply(sourceListing, rev)
}

// change applies changes of single keys up to a revision of the store.
func (w *configWatcher) change(events []kv.Event, rev int64) {
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
	w.apply(sourceWatch, rev)
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

// apply decodes the keys as of a revision of the store and puts the configuration in force. An older version,
// which a stale listing may hold, never replaces a newer one.
func (w *configWatcher) apply(source configSource, rev int64) {
	config, err := w.decode()
	if err != nil {
		w.log.Error().Str("event", "config.unreadable").Err(err).Send()
		return
	}
	if config == nil {
		return
	}
	if old := w.inForce.Load(); old != nil && config.Batch.Version < old.Batch.Version {
		w.log.Warn().Str("event", "config.older").Int64("version", config.Batch.Version).Int64("in-force", old.Batch.Version).
			Int64("revision", rev).Str("source", string(source)).Send()
		return
	}
	w.inForce.Store(config)
	w.scope.Gauge("config_version").Update(float64(config.Batch.Version))
	w.scope.Gauge("config_revision").Update(float64(rev))
	w.log.Info().Str("event", "config.in-force").Int64("version", config.Batch.Version).
		Int64("revision", rev).Str("source", string(source)).Int64("unconfirmed-ms", w.unconfirmed.Milliseconds()).
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
