package entry

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/bootclock"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/logging"
)

// configWatcher watches the configuration in the store and keeps the newest version.
type configWatcher struct {
	decoder ConfigDecoder
	log     zerolog.Logger
	scope   tally.Scope
	// clock returns the time since the machine was booted.
	clock func() time.Duration
	// revocation bounds the age of the keys by which callers are authenticated.
	revocation atomic.Pointer[revocationLimit]
	// freshness tells how old the configuration in force may be.
	freshness freshness

	mu sync.Mutex // guards known, outdated, readable, unconfirmed and updates of inForce and freshness
	// known are all keys as of the newest revision that was read.
	known content
	// outdated is set if known holds another document than the one in force.
	outdated bool
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
	w := &configWatcher{decoder: decoder, scope: scope, log: log, clock: bootclock.Now}
	w.setRevocationBound(0)
	return w
}

// setRevocationBound sets the time after which no call with a revoked API key may be served any more; 0 if there is no such bound.
func (w *configWatcher) setRevocationBound(bound time.Duration) {
	limit := newRevocationLimit(bound)
	w.revocation.Store(&limit)
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
		OnConfirm: w.confirm, MaxUnconfirmed: w.maxUnconfirmed, Clock: w.clock,
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
	listed := map[string]kv.Item{}
	for _, i := range items {
		listed[i.Key] = i
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.apply(content{items: listed, rev: rev, source: sourceListing})
}

// refresh lists the keys at once, beside the watch.
func (w *configWatcher) refresh(ctx context.Context, store kv.Store) error {
	sent := w.clock()
	items, rev, err := store.List(ctx, w.decoder.Prefix())
	if err != nil {
		return err
	}
	w.reset(items, rev)
	w.confirm(kv.Confirmation{Sent: sent, Rev: rev})
	return nil
}

// confirm notes that the configuration in force was the newest at some time after a call was sent, unless its content is older than
// what is known or was not put in force.
func (w *configWatcher) confirm(c kv.Confirmation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Rev >= w.known.rev && !w.outdated {
		w.freshness.confirm(c.Sent)
	}
}

// change applies changes of single keys up to a revision of the store.
func (w *configWatcher) change(events []kv.Event, rev int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	items := maps.Clone(w.known.items)
	if items == nil {
		items = map[string]kv.Item{}
	}
	for _, e := range events {
		if e.Deleted {
			delete(items, e.Key)
		} else {
			items[e.Key] = e.Item
		}
	}
	w.apply(content{items: items, rev: rev, source: sourceWatch})
}

// content is all keys as of a revision of the store.
type content struct {
	items  map[string]kv.Item
	rev    int64
	source configSource
}

// apply decodes the keys and puts the configuration in force. A document of an older version never replaces a newer
// one, but the evacuations beside it count. Keys of an older revision count only if their document is newer, which
// means that the store counts its revisions anew.
func (w *configWatcher) apply(c content) {
	if w.known.items != nil && c.rev >= w.known.rev && sameItems(c.items, w.known.items) {
		w.known.rev = c.rev
		return
	}
	d, err := w.decode(c.items)
	if err != nil {
		w.known, w.outdated = c, true
		w.log.Error().Str("event", "config.unreadable").Err(err).Send()
		return
	}
	inForce, version := w.inForce.Load(), w.batchConfig().Version
	if c.rev < w.known.rev && (d.config == nil || d.config.Batch.Version <= version) {
		w.logOlder(c, d.config)
		return
	}
	w.known, w.readable, w.outdated = c, d.readable, !sameItems(c.items, d.readable)
	if inForce != nil && (d.config == nil || d.config.Batch.Version < version) {
		w.logOlder(c, d.config)
		d.config, w.outdated = inForce, true
	}
	if d.config != nil {
		w.putInForce(c, *d.config, d.evacuated)
	}
}

// sameItems reports whether two sets of keys hold the same changes.
func sameItems(a, b map[string]kv.Item) bool {
	return maps.EqualFunc(a, b, func(a, b kv.Item) bool { return a.Rev == b.Rev && bytes.Equal(a.Value, b.Value) })
}

// putInForce puts a document and the evacuations that were read with it in force.
func (w *configWatcher) putInForce(c content, config Config, evacuated map[string]bool) {
	config.Batch.Evacuated, config.Revision, config.InForceSince = evacuated, c.rev, time.Now()
	if former := w.inForce.Load(); former != nil && config.Keys != nil {
		config.Keys.Replace(former.Keys)
	}
	w.inForce.Store(&config)
	w.scope.Gauge("config_version").Update(float64(config.Batch.Version))
	w.scope.Gauge("config_revision").Update(float64(c.rev))
	w.log.Info().Str("event", "config.in-force").Int64("version", config.Batch.Version).
		Int64("revision", c.rev).Str("source", string(c.source)).Int64("unconfirmed-ms", w.unconfirmed.Milliseconds()).
		Int("routes", len(config.Routes)).Int("evacuated", len(evacuated)).Send()
}

// logOlder logs that content or its document, which is nil if there is none, was set aside, since it is older than
// what is in force.
func (w *configWatcher) logOlder(c content, config *Config) {
	e := w.log.Warn().Str("event", "config.older").Int64("in-force", w.batchConfig().Version).
		Int64("revision", c.rev).Int64("revision-known", w.known.rev).Str("source", string(c.source))
	if config != nil {
		e = e.Int64("version", config.Batch.Version)
	}
	e.Send()
}

// decodedContent is what the keys hold.
type decodedContent struct {
	config    *Config // nil if there is none
	evacuated map[string]bool
	// readable are the keys with the values that were decoded.
	readable map[string]kv.Item
}

// decode decodes the keys. A value that cannot be read costs only itself: the last readable value of its key
// stays in its place.
func (w *configWatcher) decode(all map[string]kv.Item) (decodedContent, error) {
	items := maps.Clone(all)
	for {
		config, evacuated, err := w.decoder.Decode(slices.Collect(maps.Values(items)))
		var unreadable *UnreadableKeyError
		if !errors.As(err, &unreadable) {
			return decodedContent{config: config, evacuated: evacuated, readable: items}, err
		}
		w.logUnreadable(unreadable, all[unreadable.Key])
		former, ok := w.readable[unreadable.Key]
		if ok && !bytes.Equal(former.Value, items[unreadable.Key].Value) {
			items[unreadable.Key] = former
		} else {
			delete(items, unreadable.Key)
		}
	}
}

// logUnreadable logs a value that cannot be read, once for each value.
func (w *configWatcher) logUnreadable(err *UnreadableKeyError, item kv.Item) {
	if w.unreadable.New(err.Key, string(item.Value)) {
		w.log.Error().Str("event", "config.unreadable").Str("key", err.Key).Err(err.Cause).Send()
	}
}

// batchConfig returns the batch part of the configuration in force, or its zero value if none is known
// yet.
func (w *configWatcher) batchConfig() batch.Config {
	if config := w.inForce.Load(); config != nil {
		return config.Batch
	}
	return batch.Config{}
}
