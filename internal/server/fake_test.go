package server

import (
	"bytes"
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// fakeStore is an in-memory store. A test can block the compare-and-swaps of a prefix and make the
// store unavailable.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]platform.KeyValue
	leases   map[platform.LeaseID]bool
	watches  map[chan platform.WatchEvent]string
	writes   int
	// blocked, if not nil, blocks the compare-and-swaps of keys with blockedPrefix until it is closed.
	blocked       chan struct{}
	blockedPrefix string
	blockedCount  int
	// unavailable makes reads, compare-and-swaps and renewals fail without effect.
	unavailable bool
}

// errUnavailable is the error of calls to a store that is unavailable.
var errUnavailable = &platform.StoreError{Op: "call", Cause: errors.New("no answer")}

// setUnavailable makes the store unavailable or available again.
func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries: map[string]platform.KeyValue{},
		leases:  map[platform.LeaseID]bool{},
		watches: map[chan platform.WatchEvent]string{},
	}
}

// blockSwaps blocks compare-and-swaps of keys with the prefix until release is called.
func (s *fakeStore) blockSwaps(prefix string) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	blocked := make(chan struct{})
	s.blocked, s.blockedPrefix = blocked, prefix
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.blocked = nil
		close(blocked)
	}
}

// keys returns the keys with the prefix.
func (s *fakeStore) keys(prefix string) []string {
	list, _, _ := s.List(context.Background(), prefix)
	var keys []string
	for _, kv := range list {
		keys = append(keys, kv.Key)
	}
	return keys
}

// countBlocked returns the number of compare-and-swaps that have been blocked.
func (s *fakeStore) countBlocked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blockedCount
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return platform.KeyValue{}, 0, errUnavailable
	}
	kv := s.entries[key]
	kv.Key = key
	return kv, s.revision, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, 0, errUnavailable
	}
	var list []platform.KeyValue
	for key, kv := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	slices.SortFunc(list, func(a, b platform.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return list, s.revision, nil
}

// waitIfBlocked waits while compare-and-swaps of the key are blocked.
func (s *fakeStore) waitIfBlocked(ctx context.Context, key string) error {
	s.mu.Lock()
	blocked := s.blocked
	if blocked == nil || !strings.HasPrefix(key, s.blockedPrefix) {
		s.mu.Unlock()
		return nil
	}
	s.blockedCount++
	s.mu.Unlock()
	select {
	case <-blocked:
		return nil
	case <-ctx.Done():
		return &platform.StoreError{Op: "swap", Unknown: true, Cause: ctx.Err()}
	}
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease platform.LeaseID) (platform.CompareAndSwapResult, error) {
	if err := s.waitIfBlocked(ctx, key); err != nil {
		return platform.CompareAndSwapResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return platform.CompareAndSwapResult{}, errUnavailable
	}
	if lease != 0 && !s.leases[lease] {
		return platform.CompareAndSwapResult{}, &platform.StoreError{Op: "swap", Lapsed: true, Cause: errors.New("no lease")}
	}
	if current := s.entries[key]; current.ModRevision != expected {
		return platform.CompareAndSwapResult{Revision: s.revision, Current: current}, nil
	}
	s.revision++
	s.writes++
	kv := platform.KeyValue{Key: key, Value: bytes.Clone(value), ModRevision: s.revision, Lease: lease}
	s.entries[key] = kv
	s.notifyWatches(kv)
	return platform.CompareAndSwapResult{Applied: true, Revision: s.revision}, nil
}

// notifyWatches sends a change to the watches. The caller holds the lock.
func (s *fakeStore) notifyWatches(kv platform.KeyValue) {
	event := platform.WatchEvent{Revision: s.revision, Changed: []platform.KeyValue{kv}}
	for events, prefix := range s.watches {
		if strings.HasPrefix(kv.Key, prefix) {
			events <- event
		}
	}
}

func (s *fakeStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	id := platform.LeaseID(s.writes)
	s.leases[id] = true
	return id, nil
}

func (s *fakeStore) Renew(context.Context, platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return errUnavailable
	}
	return nil
}

func (s *fakeStore) Revoke(_ context.Context, lease platform.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, lease)
	for key, kv := range s.entries {
		if kv.Lease == lease {
			delete(s.entries, key)
			s.revision++
			s.notifyWatches(platform.KeyValue{Key: key})
		}
	}
	return nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, _ int64) (<-chan platform.WatchEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := make(chan platform.WatchEvent, 1000)
	s.watches[events] = prefix
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watches, events)
	})
	return events, nil
}

// fakeInventory lists one worker that is leaving and one that is not.
type fakeInventory struct{}

func (fakeInventory) Workers(context.Context) ([]model.Worker, error) {
	return []model.Worker{
		{ID: "w1", Rack: "r1", DataCentre: "kochi", Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000}},
		{ID: "w2", Rack: "r9", Leaving: true},
	}, nil
}

func (fakeInventory) Targets(context.Context) ([]model.Target, error) { return nil, nil }

// memoryNetwork connects clients to the listeners of a server in memory, which lets a test use the
// synthetic clock of testing/synctest.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[string]*memoryListener{}}
}

// listen opens a listener at the address, or returns an error if the address is in use.
func (n *memoryNetwork) listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, errors.New("listen tcp " + addr + ": bind: address already in use")
	}
	l := &memoryListener{n: n, addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// dial connects to the listener of the address.
func (n *memoryNetwork) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// countListeners returns the number of open listeners.
func (n *memoryNetwork) countListeners() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.listeners)
}

// memoryListener is a listener of in-memory connections.
type memoryListener struct {
	n      *memoryNetwork
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		delete(l.n.listeners, l.addr)
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }
