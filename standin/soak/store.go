// Package soak runs real instances of geraniumwickd as processes on the loopback interface,
// before a stand-in of the users' platform, and injects faults from outside: into the store,
// the workers, the connections and the processes. It checks what callers, workers and the
// store see against the promises of docs/PROMISES.md.
package soak

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store on the wire; its value is base64 text.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// lease ends at a time unless it is renewed.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// Store is a stand-in of the platform's store in memory, with faults.
type Store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	dropped int64 // changes up to this revision are no longer available
	leases  map[int64]*lease
	changed chan struct{}
	rng     *rand.Rand

	// down refuses all calls, and lose is the share of transactions that are executed
	// without an answer.
	down bool
	lose float64
}

// NewStore returns an empty store whose losses follow the seed.
func NewStore(seed uint64) *Store {
	return &Store{
		rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetDown makes the store refuse all calls, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLostAnswerShare sets the share of transactions whose answers are lost.
func (s *Store) SetLostAnswerShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = share
}

// Compact makes all changes so far unavailable to watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.rev
	s.wake()
}

// Put writes a key as the operator or a worker does.
func (s *Store) Put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // only the package's own types are written
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, b, 0)
	s.wake()
}

// Delete removes a key as the operator or a worker does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.wake()
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

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lapse removes the keys of leases that have ended.
func (s *Store) lapse(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.end(id)
		}
	}
}

func (s *Store) end(id int64) {
	delete(s.leases, id)
	s.rev++
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.lapse(time.Now())
	if s.down {
		s.mu.Unlock()
		answer(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	if r.URL.Path == "/api/kv-watch" {
		s.mu.Unlock()
		s.watch(w, r)
		return
	}
	status, body, lost := s.call(r)
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	answer(w, status, body)
}

// call executes a call; lost says that its answer is to be lost.
func (s *Store) call(r *http.Request) (status int, body any, lost bool) {
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
		status, body = s.commit(r)
		return status, body, s.rng.Float64() < s.lose
	case path == "/api/kv-lease":
		return s.grant(r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		l := s.leases[number(id)]
		if l == nil {
			return http.StatusNotFound, struct{}{}, false
		}
		l.ends = time.Now().Add(l.ttl)
		return http.StatusOK, ttlBody{TTL: l.ttl.Milliseconds()}, false
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.end(number(id))
		return http.StatusOK, struct{}{}, false
	default:
		return http.StatusNotFound, struct{}{}, false
	}
}

func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// page is a part of the keys with a prefix.
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
	Set []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"set-keys"`
	Remove []string `json:"remove"`
}

type revBody struct {
	Rev int64 `json:"rev"`
}

type conflictBody struct {
	Items []item `json:"items"`
}

// maxEntries bounds a transaction.
const maxEntries = 32

func (s *Store) commit(r *http.Request) (int, any) {
	var t txnBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Set)+len(t.Remove) > maxEntries {
		return http.StatusBadRequest, struct{}{}
	}
	holds := true
	found := conflictBody{Items: []item{}}
	for _, e := range t.Expected {
		holds = holds && s.items[e.Key].Rev == e.Rev
		found.Items = append(found.Items, s.items[e.Key])
	}
	if !holds {
		return http.StatusPreconditionFailed, found
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
	s.wake()
	return http.StatusOK, revBody{s.rev}
}

type ttlBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTL   int64 `json:"ttl-ms"`
}

func (s *Store) grant(r *http.Request) (int, any, bool) {
	var b ttlBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		return http.StatusBadRequest, struct{}{}, false
	}
	s.rev++
	ttl := time.Duration(b.TTL) * time.Millisecond
	s.leases[s.rev] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return http.StatusOK, ttlBody{Lease: s.rev, TTL: b.TTL}, false
}

type eventsBody struct {
	Events []item `json:"events"`
	Rev    int64  `json:"store-revision"`
}

// lapseCheck is how often a waiting watch looks for leases that have ended.
const lapseCheck = 50 * time.Millisecond

// watch answers as soon as there is an event, or after its wait.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), number(r.URL.Query().Get("after"))
	deadline := time.Now().Add(time.Duration(number(r.URL.Query().Get("wait-ms"))) * time.Millisecond)
	for {
		s.mu.Lock()
		s.lapse(time.Now())
		if after < s.dropped || s.down {
			status := http.StatusGone
			if s.down {
				status = http.StatusServiceUnavailable
			}
			s.mu.Unlock()
			answer(w, status, struct{}{})
			return
		}
		events := eventsBody{Events: []item{}, Rev: s.rev}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events.Events = append(events.Events, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(events.Events) > 0 || !time.Now().Before(deadline) {
			answer(w, http.StatusOK, events)
			return
		}
		timer := time.NewTimer(min(lapseCheck, time.Until(deadline)))
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

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller is gone if this fails
}
