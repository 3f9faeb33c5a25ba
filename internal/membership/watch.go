package membership

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/pause"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// watchMembers keeps the list of members up to date until ctx ends. A watch delivers changes at
// once. The whole list is also read at each interval, to find changes that the watch missed.
func (m *Membership) watchMembers(ctx context.Context) {
	w := watcher{m: m}
	for ctx.Err() == nil {
		if err := w.listAndWatch(ctx); err != nil && ctx.Err() == nil {
			m.log.Warn().Err(err).Msg("cannot read the list of members")
			pause.For(ctx, retryDelay)
		}
	}
}

// watcher is the state of the goroutine that runs watchMembers.
type watcher struct {
	m *Membership
	// entries holds the members in the store, as of revision.
	entries map[model.InstanceID]Member
	// published holds the members that Members returns.
	published map[model.InstanceID]Member
	// revision is the store revision of entries.
	revision int64
}

// listAndWatch reads the list and receives the events of one watch until the watch ends or a
// later read of the list shows that it missed changes.
func (w *watcher) listAndWatch(ctx context.Context) error {
	if _, err := w.list(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := w.m.store.Watch(ctx, KeyPrefix, w.revision)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(w.m.listInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e, open := <-events:
			if !open {
				return nil
			}
			if e.Err != nil {
				return e.Err
			}
			w.apply(e)
		case <-ticker.C:
			missed, err := w.list(ctx)
			if err != nil || missed {
				return err
			}
		}
	}
}

// list reads the whole list and reports whether it differs from the known entries.
func (w *watcher) list(ctx context.Context) (changed bool, err error) {
	var found []platform.KeyValue
	var revision int64
	err = w.m.callStore(ctx, func(ctx context.Context) (err error) {
		found, revision, err = w.m.store.List(ctx, KeyPrefix)
		return err
	})
	if err != nil {
		return false, err
	}
	entries := make(map[model.InstanceID]Member, len(found))
	for _, kv := range found {
		w.applyEntry(entries, kv)
	}
	w.revision = revision
	changed = !equal(entries, w.entries)
	w.entries = entries
	w.publish()
	return changed, nil
}

// apply applies an event of a watch. An event that a read of the list already included is
// skipped.
func (w *watcher) apply(e platform.WatchEvent) {
	w.m.recordContact()
	if e.Revision <= w.revision {
		return
	}
	w.revision = e.Revision
	for _, kv := range e.Changed {
		w.applyEntry(w.entries, kv)
	}
	w.publish()
}

// applyEntry stores one entry, or removes it if it was deleted or is invalid.
func (w *watcher) applyEntry(entries map[model.InstanceID]Member, kv platform.KeyValue) {
	id := model.InstanceID(strings.TrimPrefix(kv.Key, KeyPrefix))
	if kv.ModRevision == 0 {
		delete(entries, id)
		return
	}
	var member Member
	if err := json.Unmarshal(kv.Value, &member); err != nil || member.ID != id {
		w.m.log.Error().Str("key", kv.Key).Err(err).Msg("invalid membership entry")
		delete(entries, id)
		return
	}
	entries[id] = member
}

// publish makes the entries available to Members and notifies Changed if they differ from the
// published ones. In the grace period after an outage it keeps the published members that have
// not registered again, except those that were draining.
func (w *watcher) publish() {
	visible := maps.Clone(w.entries)
	if w.m.inGracePeriod() {
		for id, member := range w.published {
			if _, found := visible[id]; !found && !member.Draining {
				visible[id] = member
			}
		}
	}
	if equal(visible, w.published) {
		return
	}
	w.published = visible
	byID := func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) }
	members := slices.SortedFunc(maps.Values(visible), byID)
	w.m.mu.Lock()
	w.m.members = members
	w.m.mu.Unlock()
	notify(w.m.changed)
}

// equal reports whether both maps hold the same members.
func equal(a, b map[model.InstanceID]Member) bool {
	if len(a) != len(b) {
		return false
	}
	for id, member := range a {
		other, found := b[id]
		if !found || !sameMember(member, other) {
			return false
		}
	}
	return true
}

// sameMember reports whether two members are equal. Start times are compared as instants,
// regardless of their location.
func sameMember(a, b Member) bool {
	sameTime := a.Started.Equal(b.Started)
	a.Started, b.Started = time.Time{}, time.Time{}
	return sameTime && a == b
}
