package config

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

var errConnectionRefused = errors.New("connection refused")

// fakeStore is a linearizable in-memory store with faults that the tests set.
type fakeStore struct {
	platform.Store

	mu       sync.Mutex
	revision int64
	entries  map[string]platform.KeyValue
	watchers []*fakeWatch
	calls    map[string]int

	// unavailable makes every call fail without any effect.
	unavailable bool
	// responsesToLose is the number of swaps that take effect but return an unknown outcome.
	responsesToLose int
	// writesToDelay is the number of swaps that return an unknown outcome at once and take
	// effect only when applyDelayedSwaps is called.
	writesToDelay int
	delayedSwaps  []func()
	// dropEvents stops the delivery of watch events without an error.
	dropEvents bool
	// gate, if set, delays every get until it is closed.
	gate chan struct{}
	// beforeSwap is called once, before the next swap of a section.
	beforeSwap func()
}

type fakeWatch struct {
	prefix string
	events chan platform.WatchEvent
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]platform.KeyValue{}, calls: map[string]int{}, revision: 10}
}

func (s *fakeStore) failure(op string, unknown bool) error {
	return &platform.StoreError{Op: op, Unknown: unknown, Cause: errConnectionRefused}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["get"]++
	if gate := s.gate; gate != nil {
		s.mu.Unlock()
		<-gate
		s.mu.Lock()
	}
	if s.unavailable {
		return platform.KeyValue{}, 0, s.failure("get", false)
	}
	kv := s.entries[key]
	kv.Key = key
	return kv, s.revision, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["list"]++
	if s.unavailable {
		return nil, 0, s.failure("list", false)
	}
	var list []platform.KeyValue
	for key, kv := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	return list, s.revision, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, _ platform.LeaseID) (platform.CompareAndSwapResult, error) {
	if hook := s.takeSwapHook(key); hook != nil {
		hook()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["swap"]++
	if s.unavailable {
		return platform.CompareAndSwapResult{}, s.failure("swap", false)
	}
	if s.writesToDelay > 0 {
		s.writesToDelay--
		s.delayedSwaps = append(s.delayedSwaps, func() { s.swap(key, expected, value) })
		return platform.CompareAndSwapResult{}, s.failure("swap", true)
	}
	result := s.swap(key, expected, value)
	if s.responsesToLose > 0 {
		s.responsesToLose--
		return platform.CompareAndSwapResult{}, s.failure("swap", true)
	}
	return result, nil
}

func (s *fakeStore) takeSwapHook(key string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.HasPrefix(key, SectionPrefix) {
		return nil
	}
	hook := s.beforeSwap
	s.beforeSwap = nil
	return hook
}

func (s *fakeStore) swap(key string, expected int64, value []byte) platform.CompareAndSwapResult {
	current := s.entries[key]
	if current.ModRevision != expected {
		return platform.CompareAndSwapResult{Revision: s.revision, Current: current}
	}
	s.write(key, value)
	return platform.CompareAndSwapResult{Applied: true, Revision: s.revision}
}

func (s *fakeStore) write(key string, value []byte) {
	s.revision++
	kv := platform.KeyValue{Key: key, Value: value, ModRevision: s.revision}
	s.entries[key] = kv
	for _, w := range s.watchers {
		if strings.HasPrefix(key, w.prefix) && !s.dropEvents {
			w.events <- platform.WatchEvent{Revision: s.revision, Changed: []platform.KeyValue{kv}}
		}
	}
}

// applyDelayedSwaps makes the delayed swaps take effect.
func (s *fakeStore) applyDelayedSwaps() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.delayedSwaps {
		apply()
	}
	s.delayedSwaps = nil
}

// withLock runs f with the store's lock held.
func (s *fakeStore) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) Watch(_ context.Context, prefix string, after int64) (<-chan platform.WatchEvent, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["watch"]++
	if s.unavailable {
		return nil, s.failure("watch", false)
	}
	w := &fakeWatch{prefix: prefix, events: make(chan platform.WatchEvent, 1000)}
	s.watchers = append(s.watchers, w)
	return w.events, nil
}

// fakeRecorder collects the audit entries.
type fakeRecorder struct {
	mu      sync.Mutex
	entries []audit.Entry
}

func (r *fakeRecorder) Record(e audit.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
}

func (r *fakeRecorder) count(event string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.entries {
		if e.Event == event {
			n++
		}
	}
	return n
}

// newTestEditor returns an editor whose edit ids are the name and a number that counts from 1.
func newTestEditor(store platform.Store, name string) *Editor {
	e := NewEditor(store, platform.SystemClock{}, "i-1", nil)
	n := 0
	e.newID = func() string {
		n++
		return fmt.Sprintf("%s-%d", name, n)
	}
	return e
}

// example returns the text of a section in the directory of example documents.
func example(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../examples/" + name + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// accept replaces a section, based on its current revision, and fails the test if the edit is not
// accepted.
func accept(t testing.TB, store platform.Store, name string, text []byte) EditResult {
	t.Helper()
	kv, _, err := store.Get(t.Context(), SectionPrefix+name)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	result, err := NewEditor(store, platform.SystemClock{}, "i-0", nil).Put(ctx, name, text, modRevision(kv), "test")
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func modRevision(kv platform.KeyValue) model.Revision { return model.Revision(kv.ModRevision) }
