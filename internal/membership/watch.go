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

// follow keeps the list of members until ctx ends. A watch delivers changes at once; the
// list that is read at every interval repairs what a watch lost.
func (m *Membership) follow(ctx context.Context) {
	f := follower{m: m}
	for ctx.Err() == nil {
		if err := f.round(ctx); err != nil && ctx.Err() == nil {
			m.log.Warn().Err(err).Msg("list of members not read")
			pause.For(ctx, retryDelay)
		}
	}
}

// follower is the state of the goroutine that follows the list.
type follower struct {
	m *Membership
	// entries is what the store holds.
	entries map[model.InstanceID]Member
	// published is what Members returns.
	published map[model.InstanceID]Member
	// revision is the store's revision that entries shows.
	revision int64
}

// round reads the list and follows one watch until it ends or is found to be incomplete.
func (f *follower) round(ctx context.Context) error {
	if _, err := f.list(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := f.m.store.Watch(ctx, KeyPrefix, f.revision)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(f.m.listInterval)
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
			f.apply(e)
		case <-ticker.C:
			missed, err := f.list(ctx)
			if err != nil || missed {
				return err
			}
		}
	}
}

// list reads the whole list and reports whether it held changes that were not known.
func (f *follower) list(ctx context.Context) (changed bool, err error) {
	var found []platform.KeyValue
	var revision int64
	err = f.m.call(ctx, func(ctx context.Context) (err error) {
		found, revision, err = f.m.store.List(ctx, KeyPrefix)
		return err
	})
	if err != nil {
		return false, err
	}
	entries := make(map[model.InstanceID]Member, len(found))
	for _, kv := range found {
		f.put(entries, kv)
	}
	f.revision = revision
	changed = !equal(entries, f.entries)
	f.entries = entries
	f.publish()
	return changed, nil
}

// apply takes the changes of a watch. Changes that a list has already shown are skipped.
func (f *follower) apply(e platform.WatchEvent) {
	f.m.contacted()
	if e.Revision <= f.revision {
		return
	}
	f.revision = e.Revision
	for _, kv := range e.Changed {
		f.put(f.entries, kv)
	}
	f.publish()
}

// put stores or removes one entry.
func (f *follower) put(entries map[model.InstanceID]Member, kv platform.KeyValue) {
	id := model.InstanceID(strings.TrimPrefix(kv.Key, KeyPrefix))
	if kv.ModRevision == 0 {
		delete(entries, id)
		return
	}
	var member Member
	if err := json.Unmarshal(kv.Value, &member); err != nil || member.ID != id {
		f.m.log.Error().Str("key", kv.Key).Err(err).Msg("unreadable membership entry")
		delete(entries, id)
		return
	}
	entries[id] = member
}

// publish makes the entries visible and gives a hint if they changed. After an outage it
// keeps the members that have not come back yet.
func (f *follower) publish() {
	visible := maps.Clone(f.entries)
	if f.m.isSettling() {
		for id, member := range f.published {
			if _, found := visible[id]; !found && !member.Draining {
				visible[id] = member
			}
		}
	}
	if equal(visible, f.published) {
		return
	}
	f.published = visible
	byID := func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) }
	members := slices.SortedFunc(maps.Values(visible), byID)
	f.m.mu.Lock()
	f.m.members = members
	f.m.mu.Unlock()
	notify(f.m.changed)
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

// sameMember compares times by the moment and not by their representation.
func sameMember(a, b Member) bool {
	sameTime := a.Started.Equal(b.Started)
	a.Started, b.Started = time.Time{}, time.Time{}
	return sameTime && a == b
}
