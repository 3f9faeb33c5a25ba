// Package soak runs real instances of geraniumwickd as processes on the loopback interface, in the
// mode for the users' platform, whose store and workers have protocols of their own. It provides
// stand-ins for both and injects faults from outside: into the store, the workers, the connections
// and the processes. It checks what callers and workers see against the guarantees of
// docs/PROMISES.md.
package soak

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key with its value as on the wire, where the value is base64 text.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// lease is a lease of the store. Its keys are removed at endsAt unless it is renewed before.
type lease struct {
	ttl    time.Duration
	endsAt time.Time
}

// Store is an in-memory stand-in for the platform's store, in which faults can be injected.
type Store struct {
	mu        sync.Mutex // held by the callers of all unexported methods but watch
	rev       int64
	items     map[string]item
	history   []item
	compacted int64 // changes up to this revision are no longer available
	leases    map[int64]*lease
	changed   chan struct{}
	rng       *rand.Rand

	// down makes the store refuse all calls, silent makes it answer none, and muted makes it answer no
	// watch. lostAnswerShare is the share of transactions that are executed without an answer.
	down, silent, muted bool
	lostAnswerShare     float64
	// lateWriteShare is the share of transactions that get no answer and are executed late, which lateRNG decides.
	lateWriteShare float64
	lateRNG        *rand.Rand
	// maxValueBytes is the largest value that the store takes.
	maxValueBytes int
}

// defaultValueBytes is maxValueBytes of a new store.
const defaultValueBytes = 1 << 20

// NewStore returns an empty store. The seed decides which answers are lost.
func NewStore(seed uint64) *Store {
	return &Store{
		rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(seed, 1)), lateRNG: rand.New(rand.NewPCG(seed, 3)), maxValueBytes: defaultValueBytes,
	}
}

// SetDown makes the store refuse all calls, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetSilent makes the store accept calls without any answer, or serve again. Calls that came while it was
// silent are never answered.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.notifyWatches()
}

// SetMuted makes the store answer no watch while it serves all other calls, or answer watches again. A watch
// whose waiting time ended while the store was muted is never answered.
func (s *Store) SetMuted(muted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = muted
}

// SetLostAnswerShare sets the share of transactions whose answers are lost.
func (s *Store) SetLostAnswerShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAnswerShare = share
}

// SetLateWriteShare sets the share of transactions that get no answer and are executed late.
func (s *Store) SetLateWriteShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateWriteShare = share
}

// SetMaxValueBytes sets the largest value that the store takes.
func (s *Store) SetMaxValueBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValueBytes = n
}

// Count returns the number of keys with a prefix.
func (s *Store) Count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// Compact makes all changes so far unavailable to watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.rev
	s.notifyWatches()
}

// Put writes a key as the operator or a worker does.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types that the package writes can always be encoded
	}
	s.PutText(key, b)
}

// PutText writes a key with any text as its value, as another program may do.
func (s *Store) PutText(key string, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, text, 0)
	s.notifyWatches()
}

// Value returns the value of a key, or nil if there is no such key.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	return s.items[key].Value
}

// Delete removes a key as the operator or a worker does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notifyWatches()
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
}

// notifyWatches wakes all waiting watches.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that were not renewed in time and removes their keys.
func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.endsAt) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expireLeases(time.Now())
	if s.silent {
		s.mu.Unlock()
		neverAnswer(r)
	}
	if s.down {
		s.mu.Unlock()
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	if r.URL.Path == "/api/kv-watch" {
		s.mu.Unlock()
		s.watch(w, r)
		return
	}
	status, body, lost := s.execute(r)
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	writeJSON(w, status, body)
}

// neverAnswer waits until the caller gives up, and ends the connection.
func neverAnswer(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // so that the end of the connection is noticed
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// execute executes a call other than a watch. If lost is true, the caller must get no answer.
func (s *Store) execute(r *http.Request) (status int, body any, lost bool) {
	path, id := r.URL.Path, r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	switch {
	case path == "/api/kv-key":
		if i, ok := s.items[r.URL.Query().Get("key")]; ok {
			return http.StatusOK, i, false
		}
		return http.StatusNotFound, struct{}{}, false
	case path == "/api/kv-range":
		return http.StatusOK, s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after")), false
	case path == "/api/kv-txn":
		return s.transact(r)
	case path == "/api/kv-lease":
		return s.grantLease(r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		l := s.leases[parseInt(id)]
		if l == nil {
			return http.StatusNotFound, struct{}{}, false
		}
		l.endsAt = time.Now().Add(l.ttl)
		return http.StatusOK, ttlBody{TTL: l.ttl.Milliseconds()}, false
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.endLease(parseInt(id))
		return http.StatusOK, struct{}{}, false
	default:
		return http.StatusNotFound, struct{}{}, false
	}
}

// parseInt parses a decimal number; malformed text gives 0.
func parseInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// page is one page of the keys with a prefix, in the order of the keys.
type page struct {
	Items []item `json:"items"`
	More  bool   `json:"has-more"`
	Rev   int64  `json:"store-revision"`
}

// pageSize is the number of keys in a page.
const pageSize = 100

func (s *Store) list(prefix, after string) page {
	p := page{Items: []item{}, Rev: s.rev}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(p.Items) == pageSize {
			p.More = true
			break
		}
		p.Items = append(p.Items, s.items[key])
	}
	return p
}

type txnBody struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected"`
	Set    []writeBody `json:"set-keys"`
	Remove []string    `json:"remove"`
}

type writeBody struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease"`
}

type revBody struct {
	Rev int64 `json:"rev"`
}

type conflictBody struct {
	Items []item `json:"items"`
}

// maxEntries bounds the conditions, writes and removals of a transaction together.
const maxEntries = 32

// minLateness and maxLateness bound by how much a transaction is executed late.
const minLateness, maxLateness = time.Second, 6 * time.Second

// transact executes a transaction, now or late.
func (s *Store) transact(r *http.Request) (status int, body any, lost bool) {
	var t txnBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Set)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest, struct{}{}, false
	}
	if slices.ContainsFunc(t.Set, func(w writeBody) bool { return len(w.Value) > s.maxValueBytes }) {
		return http.StatusBadRequest, struct{}{}, false
	}
	if s.lateWriteShare > 0 && s.lateRNG.Float64() < s.lateWriteShare {
		time.AfterFunc(minLateness+time.Duration(s.lateRNG.Int64N(int64(maxLateness-minLateness))), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.expireLeases(time.Now())
			s.commit(t)
		})
		return 0, nil, true
	}
	status, body = s.commit(t)
	return status, body, s.rng.Float64() < s.lostAnswerShare
}

func (s *Store) commit(t txnBody) (int, any) {
	matches := true
	current := conflictBody{Items: []item{}}
	for _, e := range t.Expected {
		matches = matches && s.items[e.Key].Rev == e.Rev
		current.Items = append(current.Items, s.items[e.Key])
	}
	if !matches {
		return http.StatusPreconditionFailed, current
	}
	for _, w := range t.Set {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.rev++
	for _, w := range t.Set {
		s.put(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notifyWatches()
	return http.StatusOK, revBody{s.rev}
}

type ttlBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttl-ms"`
}

func (s *Store) grantLease(r *http.Request) (int, any, bool) {
	var b ttlBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		return http.StatusBadRequest, struct{}{}, false
	}
	s.rev++
	ttl := time.Duration(b.TTL) * time.Millisecond
	s.leases[s.rev] = &lease{ttl: ttl, endsAt: time.Now().Add(ttl)}
	return http.StatusOK, ttlBody{Lease: s.rev, TTL: b.TTL}, false
}

type eventsBody struct {
	Events []item `json:"events"`
	Rev    int64  `json:"store-revision"`
}

// leaseCheckInterval is how often a waiting watch expires leases.
const leaseCheckInterval = 50 * time.Millisecond

// watch answers as soon as there is an event after the given revision, or without events when its
// wait time is over. If the history after the revision was compacted, it answers with 410 instead, which is no
// sooner than that.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), parseInt(r.URL.Query().Get("after"))
	deadline := time.Now().Add(time.Duration(parseInt(r.URL.Query().Get("wait-ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expireLeases(time.Now())
		if s.silent {
			s.mu.Unlock()
			neverAnswer(r)
		}
		if s.down {
			s.mu.Unlock()
			writeJSON(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		events := s.eventsAfter(after, prefix)
		changed, compacted, muted := s.changed, after < s.compacted, s.muted
		s.mu.Unlock()
		ended := !time.Now().Before(deadline)
		switch {
		case muted && ended:
			neverAnswer(r)
		case muted || !ended && len(events.Events) == 0:
		case compacted:
			writeJSON(w, http.StatusGone, struct{}{})
			return
		default:
			writeJSON(w, http.StatusOK, events)
			return
		}
		timer := time.NewTimer(min(leaseCheckInterval, time.Until(deadline)))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// eventsAfter returns the changes of keys with a prefix after a revision.
func (s *Store) eventsAfter(rev int64, prefix string) eventsBody {
	events := eventsBody{Events: []item{}, Rev: s.rev}
	for _, i := range s.history {
		if i.Rev > rev && strings.HasPrefix(i.Key, prefix) {
			events.Events = append(events.Events, i)
		}
	}
	return events
}

// writeJSON writes an answer with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has closed the connection
}
