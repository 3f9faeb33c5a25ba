package membership

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// fakeStore is an in-memory store into which the tests inject faults.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]platform.KeyValue
	leases   map[platform.LeaseID]*fakeLease
	watches  map[chan platform.WatchEvent]string
	// history holds every change, so that a watch can start after an earlier revision.
	history []platform.WatchEvent
	calls   map[string]int

	// down makes every call fail without effect.
	down bool
	// lostResponses is the number of swaps that take effect and whose response is lost.
	lostResponses int
	// dropEvents stops the delivery of watch events without ending the watches.
	dropEvents bool
}

type fakeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: map[string]platform.KeyValue{},
		leases:  map[platform.LeaseID]*fakeLease{},
		watches: map[chan platform.WatchEvent]string{},
		calls:   map[string]int{},
	}
}

// begin counts a call and returns an error while the store is down.
func (s *fakeStore) begin(op string) error {
	s.calls[op]++
	if s.down {
		return &platform.StoreError{Op: op, Cause: errors.New("down")}
	}
	return nil
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], s.revision, s.begin("get")
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("list"); err != nil {
		return nil, 0, err
	}
	var found []platform.KeyValue
	for key, kv := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, kv)
		}
	}
	slices.SortFunc(found, func(a, b platform.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return found, s.revision, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, lease platform.LeaseID) (platform.CompareAndSwapResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("swap"); err != nil {
		return platform.CompareAndSwapResult{}, err
	}
	if lease != 0 && s.leases[lease] == nil {
		return platform.CompareAndSwapResult{}, &platform.StoreError{Op: "swap", Lapsed: true, Cause: errors.New("no lease")}
	}
	if current := s.entries[key]; current.ModRevision != expected {
		return platform.CompareAndSwapResult{Revision: s.revision, Current: current}, nil
	}
	s.revision++
	kv := platform.KeyValue{Key: key, Value: value, ModRevision: s.revision, Lease: lease}
	s.entries[key] = kv
	s.deliver(kv)
	if s.lostResponses > 0 {
		s.lostResponses--
		return platform.CompareAndSwapResult{}, &platform.StoreError{Op: "swap", Unknown: true, Cause: errors.New("response lost")}
	}
	return platform.CompareAndSwapResult{Applied: true, Revision: s.revision}, nil
}

func (s *fakeStore) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("grant"); err != nil {
		return 0, err
	}
	id := platform.LeaseID(s.calls["grant"])
	s.leases[id] = &fakeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lapse(id)
	})}
	return id, nil
}

func (s *fakeStore) Renew(_ context.Context, lease platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("renew"); err != nil {
		return err
	}
	l := s.leases[lease]
	if l == nil {
		return &platform.StoreError{Op: "renew", Lapsed: true, Cause: errors.New("no lease")}
	}
	l.timer.Reset(l.ttl)
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, lease platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("revoke"); err != nil {
		return err
	}
	s.lapse(lease)
	return nil
}

// lapse ends a lease and deletes its keys.
func (s *fakeStore) lapse(lease platform.LeaseID) {
	l := s.leases[lease]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, lease)
	for key, kv := range s.entries {
		if kv.Lease == lease {
			s.revision++
			delete(s.entries, key)
			s.deliver(platform.KeyValue{Key: key})
		}
	}
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after int64) (<-chan platform.WatchEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("watch"); err != nil {
		return nil, err
	}
	events := make(chan platform.WatchEvent, 100)
	s.watches[events] = prefix
	for _, e := range s.history {
		if e.Revision > after && !s.dropEvents {
			events <- e
		}
	}
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watches, events)
	})
	return events, nil
}

// deliver sends one change to the watches, unless dropEvents is set.
func (s *fakeStore) deliver(kv platform.KeyValue) {
	event := platform.WatchEvent{Revision: s.revision, Changed: []platform.KeyValue{kv}}
	s.history = append(s.history, event)
	if s.dropEvents {
		return
	}
	for events, prefix := range s.watches {
		if strings.HasPrefix(kv.Key, prefix) {
			events <- event
		}
	}
}

// withLock runs f with the store's lock held.
func (s *fakeStore) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// count returns the number of calls of one operation.
func (s *fakeStore) count(op string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}
