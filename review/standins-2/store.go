package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the protocol page gives them.
const (
	storeLatency  = 2 * time.Millisecond // each way
	maxPageItems  = 500
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
)

// item is a key of the store, or a change of one.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl    time.Duration
	endsAt time.Time
}

// txn is the body of a transaction.
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

// store is a stand-in for the platform's metadata store.
type store struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]item
	history   []item
	compacted int64
	leases    map[int64]*lease
	changed   chan struct{}
	cut       chan struct{} // closed and replaced when waiting watches are cut
	muted     bool          // watches hear nothing

	// loseWrite, if set, says whether a transaction gets no answer and is carried out late, and by how much.
	loseWrite func(t txn) (time.Duration, bool)
	// onTooLarge, if set, is told of each value that is refused since it is too large.
	onTooLarge func(key string, size int)
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{}), cut: make(chan struct{})}
}

// put writes a key as the operator or a runner does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, text, 0)
	s.wake()
}

func (s *store) set(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setMuted makes watches hear nothing, or hear again.
func (s *store) setMuted(muted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = muted
	s.wake()
}

// dropHistory forgets all changes so far and cuts the watches that wait.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.rev
	close(s.cut)
	s.cut = make(chan struct{})
}

// count returns the number of keys with a prefix.
func (s *store) count(prefix string) int {
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

// valueBytes returns the size of the value of a key.
func (s *store) valueBytes(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}

func (s *store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.endsAt) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
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
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/api/kv-watch" {
		s.watch(w, r)
		return
	}
	if r.URL.Path == "/api/kv-txn" {
		s.serveTxn(w, r, body)
		return
	}
	s.mu.Lock()
	s.expireLeases(time.Now())
	status, answer := s.execute(r, body)
	s.mu.Unlock()
	time.Sleep(storeLatency)
	writeJSON(w, status, answer)
}

func (s *store) execute(r *http.Request, body []byte) (int, any) {
	path := r.URL.Path
	id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
	switch {
	case path == "/api/kv-key":
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			return http.StatusNotFound, struct{}{}
		}
		return http.StatusOK, struct {
			item
			StoreRev int64 `json:"store-revision"`
		}{i, s.rev}
	case path == "/api/kv-range":
		return http.StatusOK, s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case path == "/api/kv-lease":
		var b struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.Unmarshal(body, &b) != nil {
			return http.StatusBadRequest, struct{}{}
		}
		s.rev++
		ttl := time.Duration(max(b.TTL, 1000)) * time.Millisecond
		s.leases[s.rev] = &lease{ttl: ttl, endsAt: time.Now().Add(ttl)}
		return http.StatusOK, map[string]int64{"lease": s.rev, "ttl-ms": ttl.Milliseconds()}
	case strings.HasPrefix(path, "/api/kv-keep/"):
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, struct{}{}
		}
		l.endsAt = time.Now().Add(l.ttl)
		return http.StatusOK, map[string]int64{"ttl-ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		if s.leases[id] == nil {
			return http.StatusNotFound, struct{}{}
		}
		s.endLease(id)
		return http.StatusOK, struct{}{}
	}
	return http.StatusNotFound, struct{}{}
}

func (s *store) list(prefix, after string) any {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"has-more"`
		Rev   int64  `json:"store-revision"`
	}{Items: []item{}, Rev: s.rev}
	bytes := 0
	for _, key := range keys {
		if bytes += len(s.items[key].Value); len(page.Items) == maxPageItems || len(page.Items) > 0 && bytes > maxValueBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	return page
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request, body []byte) {
	var t txn
	if json.Unmarshal(body, &t) != nil || len(t.Expected)+len(t.Set)+len(t.Remove) > maxTxnEntries {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, e := range t.Set {
		if len(e.Value) > maxValueBytes {
			if s.onTooLarge != nil {
				s.onTooLarge(e.Key, len(e.Value))
			}
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": "the value is too large"})
			return
		}
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			writeJSON(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.mu.Lock()
	loseWrite := s.loseWrite
	s.mu.Unlock()
	if loseWrite != nil {
		if delay, lost := loseWrite(t); lost {
			time.AfterFunc(delay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.expireLeases(time.Now())
				s.commit(t)
			})
			<-r.Context().Done() // the connection brings nothing more
			return
		}
	}
	s.mu.Lock()
	s.expireLeases(time.Now())
	status, answer := s.commit(t)
	s.mu.Unlock()
	time.Sleep(storeLatency)
	writeJSON(w, status, answer)
}

func (s *store) commit(t txn) (int, any) {
	matches := true
	current := []item{}
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		matches = matches && i.Rev == e.Rev
		if ok {
			current = append(current, i)
		}
	}
	if !matches {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, e := range t.Set {
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.rev++
	for _, e := range t.Set {
		s.set(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.wake()
	return http.StatusOK, map[string]int64{"rev": s.rev}
}

// leaseCheckInterval is how often a waiting watch looks for leases that have ended.
const leaseCheckInterval = 50 * time.Millisecond

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expireLeases(time.Now())
		events, rev := s.eventsAfter(after, q.Get("prefix"))
		gone, muted, changed := after < s.compacted, s.muted, s.changed
		s.mu.Unlock()
		if !muted {
			switch {
			case gone:
				writeJSON(w, http.StatusGone, struct{}{})
				return
			case len(events) > 0 || !time.Now().Before(deadline):
				time.Sleep(storeLatency)
				writeJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": rev})
				return
			}
		}
		timer := time.NewTimer(leaseCheckInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-cut:
			timer.Stop()
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (s *store) eventsAfter(after int64, prefix string) ([]item, int64) {
	events := []item{}
	first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Rev > after })
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.rev
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has gone
}

// setLoseWrite sets loseWrite.
func (s *store) setLoseWrite(f func(t txn) (time.Duration, bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseWrite = f
}
