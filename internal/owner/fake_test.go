package owner

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

var errAnswerLost = errors.New("answer lost")

// memoryStore is a kv.Store in memory that can be made to fail.
type memoryStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]kv.Item
	history []kv.Event
	leases  map[int64]time.Time
	ttl     map[int64]time.Duration
	down    bool
	// lostAnswers is the number of coming transactions that are executed but return an error.
	lostAnswers int
	// silent makes watches answer nothing and keep waiting; they return what they missed when they end.
	silent  bool
	changed chan struct{}
	commits int
	// drops is how often the history was dropped, which ends the watches that wait, and compacted the revision up to which
	// changes are no longer available.
	drops     int
	compacted int64
	// maxValueBytes is the largest value that the store takes; 0 for any.
	maxValueBytes int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		rev: 1, items: map[string]kv.Item{}, leases: map[int64]time.Time{}, ttl: map[int64]time.Duration{},
		changed: make(chan struct{}),
	}
}

const storeLatency = 4 * time.Millisecond

// beginCall simulates the latency of a call and locks the store. It fails if the store is down.
func (s *memoryStore) beginCall(ctx context.Context) error {
	pause.For(ctx, storeLatency)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	s.expireLeases()
	if s.down {
		s.mu.Unlock()
		return kv.ErrUnavailable
	}
	return nil
}

// expireLeases removes the keys of leases that have ended.
func (s *memoryStore) expireLeases() {
	for id, end := range s.leases {
		if time.Now().After(end) {
			s.dropLease(id)
		}
	}
}

func (s *memoryStore) dropLease(id int64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
}

func (s *memoryStore) remove(key string) {
	s.rev++
	delete(s.items, key)
	s.appendEvent(kv.Event{Item: kv.Item{Key: key, Rev: s.rev}, Deleted: true})
}

func (s *memoryStore) put(key string, value []byte, lease int64) {
	s.rev++
	i := kv.Item{Key: key, Value: value, Rev: s.rev, Lease: lease}
	s.items[key] = i
	s.appendEvent(kv.Event{Item: i})
}

func (s *memoryStore) appendEvent(e kv.Event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store refuse all calls, or accept them again.
func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// setSilent makes the store answer no call and keep watches waiting, or serve again. Watches that wait go on
// to do so until their time is over.
func (s *memoryStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent = silent, silent
}

// dropHistory makes all changes so far unavailable to watches, and ends those that wait.
func (s *memoryStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drops++
	s.history, s.compacted = nil, s.rev
	close(s.changed)
	s.changed = make(chan struct{})
}

// revision returns the revision of the last change.
func (s *memoryStore) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// item returns a key, without latency or faults.
func (s *memoryStore) item(key string) kv.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key]
}

// count returns the number of keys with a prefix.
func (s *memoryStore) count(prefix string) int {
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

// set writes a key on behalf of another program, without latency or faults.
func (s *memoryStore) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *memoryStore) Get(ctx context.Context, key string) (kv.Item, error) {
	if err := s.beginCall(ctx); err != nil {
		return kv.Item{}, err
	}
	defer s.mu.Unlock()
	if i, ok := s.items[key]; ok {
		return i, nil
	}
	return kv.Item{}, kv.ErrNotFound
}

func (s *memoryStore) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var out []kv.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, s.items[key])
		}
	}
	return out, s.rev, nil
}

func (s *memoryStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.mu.Lock()
	drops := s.drops
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expireLeases()
		if s.drops > drops || after < s.compacted {
			s.mu.Unlock()
			return nil, 0, kv.ErrCompacted
		}
		if s.silent && ctx.Err() == nil {
			s.mu.Unlock()
			pause.For(ctx, wait)
			continue
		}
		if s.down {
			s.mu.Unlock()
			return nil, 0, kv.ErrUnavailable
		}
		var out []kv.Event
		for _, e := range s.history {
			if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return out, rev, nil
		}
		timer := time.NewTimer(100 * time.Millisecond) // so that leases which end meanwhile are noticed
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, rev, nil
		}
		timer.Stop()
	}
}

func (s *memoryStore) Commit(ctx context.Context, t kv.Txn) (int64, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if n := len(t.If) + len(t.Set) + len(t.Remove); n > kv.MaxTxnEntries {
		return 0, fmt.Errorf("%d entries", n)
	}
	for _, w := range t.Set {
		if s.maxValueBytes > 0 && len(w.Value) > s.maxValueBytes {
			return 0, kv.ErrInvalid
		}
	}
	for _, c := range t.If {
		if s.items[c.Key].Rev != c.Rev {
			return 0, kv.ErrConflict
		}
	}
	s.commits++
	for _, w := range t.Set {
		s.put(w.Key, w.Value, w.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	rev := s.rev
	for i := range t.Set { // all writes of a transaction have its revision
		item := s.items[t.Set[i].Key]
		item.Rev = rev
		s.items[t.Set[i].Key] = item
	}
	if s.lostAnswers > 0 {
		s.lostAnswers--
		return 0, errAnswerLost
	}
	return rev, nil
}

func (s *memoryStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.rev++
	s.leases[s.rev], s.ttl[s.rev] = time.Now().Add(ttl), ttl
	return s.rev, nil
}

func (s *memoryStore) Renew(ctx context.Context, lease int64) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if _, ok := s.leases[lease]; !ok {
		return kv.ErrNotFound
	}
	s.leases[lease] = time.Now().Add(s.ttl[lease])
	return nil
}

func (s *memoryStore) Revoke(ctx context.Context, lease int64) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.dropLease(lease)
	return nil
}
