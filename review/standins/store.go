package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type leaseState struct {
	ttl  time.Duration
	ends time.Time
}

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*leaseState
	changed chan struct{}
	// Intercept, if set, may take over a call before it is executed. It returns true if it did.
	Intercept func(w http.ResponseWriter, r *http.Request) bool
}

func newStore() *Store {
	return &Store{rev: 1, items: map[string]item{}, leases: map[int64]*leaseState{}, changed: make(chan struct{})}
}

// Put writes a key as the operator or a runner does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, data, 0)
	s.wake()
}

// Delete removes a key as the operator or a runner does.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.wake()
}

// Value returns the value of a key, nil if there is none.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *Store) put(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Intercept != nil && s.Intercept(w, r) {
		return
	}
	s.Execute(w, r)
}

// Execute executes a call.
func (s *Store) Execute(w http.ResponseWriter, r *http.Request) {
	q, id := r.URL.Query(), parseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
	if r.URL.Path == "/api/kv-watch" {
		s.watch(w, r, q.Get("prefix"), parseInt(q.Get("after")), time.Duration(parseInt(q.Get("wait-ms")))*time.Millisecond)
		return
	}
	s.mu.Lock()
	s.expire()
	status, body := http.StatusNotFound, any(struct{}{})
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		if i, ok := s.items[q.Get("key")]; ok {
			status, body = http.StatusOK, i
		}
	case path == "/api/kv-range":
		status, body = http.StatusOK, s.list(q.Get("prefix"), q.Get("after"))
	case path == "/api/kv-txn":
		status, body = s.commit(r)
	case path == "/api/kv-lease":
		var b struct {
			TTL int64 `json:"ttl-ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		s.rev++
		ttl := time.Duration(b.TTL) * time.Millisecond
		s.leases[s.rev] = &leaseState{ttl: ttl, ends: time.Now().Add(ttl)}
		status, body = http.StatusOK, map[string]int64{"lease": s.rev, "ttl-ms": b.TTL}
	case strings.HasPrefix(path, "/api/kv-keep/"):
		if l := s.leases[id]; l != nil {
			l.ends = time.Now().Add(l.ttl)
			status, body = http.StatusOK, map[string]int64{"ttl-ms": l.ttl.Milliseconds()}
		}
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.endLease(id)
		status = http.StatusOK
	}
	s.mu.Unlock()
	writeJSON(w, status, body)
}

// pageItems is the largest number of items in a page.
const pageItems = 500

func (s *Store) list(prefix, after string) any {
	items, more := []item{}, false
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		if more = len(items) == pageItems; more {
			break
		}
		items = append(items, s.items[key])
	}
	return map[string]any{"items": items, "has-more": more, "store-revision": s.rev}
}

type txn struct {
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

func (s *Store) commit(r *http.Request) (int, any) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Set)+len(t.Remove) > 32 {
		return http.StatusBadRequest, struct{}{}
	}
	current, holds := []item{}, true
	for _, e := range t.Expected {
		holds = holds && s.items[e.Key].Rev == e.Rev
		if i, ok := s.items[e.Key]; ok {
			current = append(current, i)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
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
	return http.StatusOK, map[string]int64{"rev": s.rev}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Rev > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": rev})
			return
		}
		timer := time.NewTimer(min(50*time.Millisecond, time.Until(deadline)))
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

func parseInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
