// Package store is a stand-in for the platform's key-value store: the subset of the etcd v3
// JSON API that single-key compare-and-swap, leases and watches need, in memory, with
// fault injection and counters of calls.
package store

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform/etcdwire"
)

// maxHistory is the number of past changes that are kept for watches; older ones are compacted.
const maxHistory = 50_000

// change is one write or deletion.
type change struct {
	revision int64
	event    etcdwire.Event
}

// lease is a lease that expires unless it is renewed in time.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// state is the content of the store. Its methods are safe for concurrent use.
type state struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision int64
	entries  map[string]etcdwire.KeyValue
	// previous holds the version of each key before its last write or deletion.
	previous  map[string]etcdwire.KeyValue
	leases    map[int64]lease
	lastLease int64
	history   []change
	// compacted is the revision up to which changes have been dropped from history.
	compacted int64
}

// newState returns an empty store at revision 1.
func newState() *state {
	s := &state{
		revision: 1,
		entries:  map[string]etcdwire.KeyValue{},
		previous: map[string]etcdwire.KeyValue{},
		leases:   map[int64]lease{},
	}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// get returns the entries of a range and the current revision.
func (s *state) get(r etcdwire.RangeRequest) etcdwire.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rangeLocked(r, s.entries, s.revision)
}

// getPrevious returns the entries of a range as they were before the last write of each,
// with the revision before the last write of any of them.
func (s *state) getPrevious(r etcdwire.RangeRequest) etcdwire.RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.rangeLocked(r, s.entries, s.revision)
	var last int64
	for _, kv := range current.KVs {
		last = max(last, kv.ModRevision)
	}
	return s.rangeLocked(r, s.previous, max(last-1, 1))
}

// rangeLocked selects the entries of a range.
func (s *state) rangeLocked(r etcdwire.RangeRequest, from map[string]etcdwire.KeyValue, revision int64) etcdwire.RangeResponse {
	out := etcdwire.RangeResponse{Header: etcdwire.Header{Revision: revision}}
	if len(r.RangeEnd) == 0 {
		if kv, ok := from[string(r.Key)]; ok {
			out.KVs = append(out.KVs, kv)
		}
	} else {
		for key, kv := range from {
			if inRange(key, r.Key, r.RangeEnd) {
				out.KVs = append(out.KVs, kv)
			}
		}
		sort.Slice(out.KVs, func(i, j int) bool { return string(out.KVs[i].Key) < string(out.KVs[j].Key) })
	}
	out.Count = int64(len(out.KVs))
	return out
}

// inRange reports whether start <= key < end; an end of one zero byte has no upper bound.
func inRange(key string, start, end []byte) bool {
	if len(end) == 0 {
		return key == string(start)
	}
	return key >= string(start) && (string(end) == "\x00" || key < string(end))
}

// errLeaseNotFound is the store's answer to a write or revocation under a lease that has expired.
var errLeaseNotFound = etcdwire.Status{Code: etcdwire.CodeNotFound, Message: "etcdserver: requested lease not found"}

// compareAndSwap writes the value if the key's revision equals expected. Otherwise it returns the
// current entry.
func (s *state) compareAndSwap(expected int64, put etcdwire.PutRequest) (etcdwire.TxnResponse, *etcdwire.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := string(put.Key)
	old, exists := s.entries[key]
	if old.ModRevision != expected {
		current := s.rangeLocked(etcdwire.RangeRequest{Key: put.Key}, s.entries, s.revision)
		return etcdwire.TxnResponse{
			Header:    current.Header,
			Responses: []etcdwire.ResponseOp{{Range: &current}},
		}, nil
	}
	if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
		return etcdwire.TxnResponse{}, &errLeaseNotFound
	}
	s.revision++
	kv := etcdwire.KeyValue{
		Key: put.Key, Value: put.Value, Lease: put.Lease,
		CreateRevision: s.revision, ModRevision: s.revision, Version: 1,
	}
	if exists {
		kv.CreateRevision = old.CreateRevision
		kv.Version = old.Version + 1
		s.previous[key] = old
	}
	s.entries[key] = kv
	s.appendHistoryLocked(etcdwire.Event{KV: kv})
	header := etcdwire.Header{Revision: s.revision}
	return etcdwire.TxnResponse{
		Header:    header,
		Succeeded: true,
		Responses: []etcdwire.ResponseOp{{Put: &etcdwire.PutResponse{Header: header}}},
	}, nil
}

// appendHistoryLocked appends a change at the current revision and notifies the watches.
func (s *state) appendHistoryLocked(e etcdwire.Event) {
	s.history = append(s.history, change{revision: s.revision, event: e})
	if drop := len(s.history) - maxHistory; drop > 0 {
		s.compacted = s.history[drop-1].revision
		s.history = append([]change(nil), s.history[drop:]...)
	}
	s.changed.Broadcast()
}

// grant creates a lease.
func (s *state) grant(now time.Time, ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expires: now.Add(ttl)}
	return s.lastLease
}

// renew extends a lease and returns its duration, or zero if it does not exist.
func (s *state) renew(now time.Time, id int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return 0
	}
	l.expires = now.Add(l.ttl)
	s.leases[id] = l
	return l.ttl
}

// revoke ends a lease and reports whether it existed.
func (s *state) revoke(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return false
	}
	s.deleteLeaseLocked(id)
	return true
}

// expire ends the leases whose deadline has passed.
func (s *state) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.deleteLeaseLocked(id)
		}
	}
}

// expirePrefix ends the leases of all keys with the prefix.
func (s *state) expirePrefix(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := map[int64]bool{}
	for key, kv := range s.entries {
		if kv.Lease != 0 && strings.HasPrefix(key, prefix) {
			ids[kv.Lease] = true
		}
	}
	for id := range ids {
		s.deleteLeaseLocked(id)
	}
}

// extendAll gives every lease its full duration again, as a store does after an outage.
func (s *state) extendAll(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		l.expires = now.Add(l.ttl)
		s.leases[id] = l
	}
}

// deleteLeaseLocked deletes a lease and its keys, in one revision.
func (s *state) deleteLeaseLocked(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, kv := range s.entries {
		if kv.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.revision++
	for _, key := range keys {
		s.previous[key] = s.entries[key]
		delete(s.entries, key)
		s.appendHistoryLocked(etcdwire.Event{
			Type: etcdwire.EventDelete,
			KV:   etcdwire.KeyValue{Key: []byte(key), ModRevision: s.revision},
		})
	}
}

// changesAfter returns the changes of a range after the revision, and the revision up to
// which they are complete. It waits until there is one or stop returns true. If changes after the
// revision have been compacted, it returns the revision of the compaction instead.
func (s *state) changesAfter(r etcdwire.RangeRequest, after int64, stop func() bool) (events []etcdwire.Event, revision, compacted int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if after < s.compacted {
			return nil, s.revision, s.compacted
		}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision > after })
		for _, c := range s.history[first:] {
			if inRange(string(c.event.KV.Key), r.Key, r.RangeEnd) {
				events = append(events, c.event)
			}
		}
		if len(events) > 0 || stop() {
			return events, s.revision, 0
		}
		after = s.revision
		s.changed.Wait()
	}
}

// wakeWatches makes waiting watches check their stop condition.
func (s *state) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// backup is a copy of the entries.
type backup struct {
	revision int64
	entries  map[string]etcdwire.KeyValue
}

// save returns a backup of the entries.
func (s *state) save() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{revision: s.revision, entries: maps.Clone(s.entries)}
}

// restore replaces the entries whose keys have the prefix by those of the backup. With an empty
// prefix the whole store is restored, so its revision goes back too and the history is dropped.
func (s *state) restore(b backup, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			delete(s.entries, key)
		}
	}
	for key, kv := range b.entries {
		if strings.HasPrefix(key, prefix) {
			s.entries[key] = kv
		}
	}
	if prefix == "" {
		s.revision = b.revision
		s.history = nil
		s.compacted = 0
	}
}
