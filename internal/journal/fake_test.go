package journal_test

import (
	"context"
	"errors"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// fault selects how one call of the fake store fails.
type fault int

const (
	noFault              fault = iota
	notSent                    // the call fails before it is sent
	lostBefore                 // the call has no effect; its outcome is unknown to the caller
	lostAfter                  // the call takes effect; its answer is lost
	delayedByOneCall           // the outcome is unknown to the caller; the call takes effect after the next one
	delayedUntilReleased       // the outcome is unknown to the caller; the call takes effect in applyHeld
	staleRead                  // a read returns the values from before the last write
	allFaults
	// The following cancel the context of the caller or pause the caller. Only random histories
	// use them.
	cancelBefore  // the context is cancelled; the call has no effect
	cancelAfter   // the context is cancelled after the call took effect
	cancelDelayed // the context is cancelled; the call takes effect in applyHeld
	frozenBefore  // the caller is paused before the call takes effect
	frozenAfter   // the caller is paused after the call took effect
)

var faultNames = [...]string{"none", "not sent", "lost before effect", "lost after effect", "delayed past the next call", "delayed until released", "stale read"}

func (f fault) String() string { return faultNames[f] }

var errFake = errors.New("injected")

// fakeStore is an in-memory compare-and-swap store that can inject a fault into each call.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	values   map[string]platform.KeyValue
	// valueBeforeWrite holds the previous value of each key; valuesBeforeWrite holds all values
	// from before the last write.
	valueBeforeWrite  map[string]platform.KeyValue
	valuesBeforeWrite map[string]platform.KeyValue
	// oneCallLate holds the writes that take effect at the end of the next call, heldWrites those
	// that take effect in applyHeld.
	oneCallLate []func()
	heldWrites  []func()
	calls       int
	writes      int
	bytes       int
	// fault returns the fault of the call with the given number; the first call is number 1.
	fault func(call int) fault
	// ignoreExpected makes CompareAndSwap ignore the expected revision.
	ignoreExpected bool
	// cancel cancels the context of the current call.
	cancel func()
	// whileFrozen runs the actions of other processes while the caller is paused.
	whileFrozen func()
	// onWrite is called for every write that takes effect, in order.
	onWrite func(key string, value []byte)
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: map[string]platform.KeyValue{}, valueBeforeWrite: map[string]platform.KeyValue{}}
}

// nextFault counts a call and returns its fault.
func (s *fakeStore) nextFault() fault {
	s.calls++
	if s.fault == nil {
		return noFault
	}
	return s.fault(s.calls)
}

// applyWrites applies writes that were delayed by one call or held.
func (s *fakeStore) applyWrites(delayed []func()) {
	for _, write := range delayed {
		write()
	}
}

// applyHeld applies every write that was delayed until release.
func (s *fakeStore) applyHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	heldWrites := s.heldWrites
	s.heldWrites = nil
	s.applyWrites(heldWrites)
}

func storeError(op string, unknown bool) error {
	return &platform.StoreError{Op: op, Unknown: unknown, Cause: errFake}
}

func (s *fakeStore) Get(ctx context.Context, key string) (platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oneCallLate := s.oneCallLate
	s.oneCallLate = nil
	defer s.applyWrites(oneCallLate)
	if err := ctx.Err(); err != nil {
		return platform.KeyValue{}, 0, &platform.StoreError{Op: "get", Cause: err}
	}
	f := s.nextFault()
	if f >= cancelBefore && f <= cancelDelayed {
		s.cancel()
		f = notSent
	}
	switch f {
	case notSent, lostBefore, lostAfter:
		return platform.KeyValue{}, 0, storeError("get", false)
	case frozenBefore, frozenAfter:
		s.freeze()
	case staleRead:
		old := s.valueBeforeWrite[key]
		old.Key = key
		return old, s.revision, nil
	}
	value := s.values[key]
	value.Key = key
	return value, s.revision, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oneCallLate := s.oneCallLate
	s.oneCallLate = nil
	defer s.applyWrites(oneCallLate)
	if err := ctx.Err(); err != nil {
		return nil, 0, &platform.StoreError{Op: "list", Cause: err}
	}
	f := s.nextFault()
	if f == frozenBefore {
		s.freeze()
	}
	if f == frozenAfter {
		defer s.freeze()
	}
	switch f {
	case notSent, lostBefore, lostAfter, cancelBefore, cancelAfter, cancelDelayed:
		return nil, 0, storeError("list", false)
	}
	values := s.values
	if f == staleRead {
		values = s.valuesBeforeWrite
	}
	var found []platform.KeyValue
	for key, value := range values {
		if strings.HasPrefix(key, prefix) {
			found = append(found, value)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	return found, s.revision, nil
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, _ platform.LeaseID) (platform.CompareAndSwapResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oneCallLate := s.oneCallLate
	s.oneCallLate = nil
	defer s.applyWrites(oneCallLate)
	if err := ctx.Err(); err != nil {
		return platform.CompareAndSwapResult{}, &platform.StoreError{Op: "swap", Cause: err}
	}
	value = append([]byte(nil), value...)
	write := func() platform.CompareAndSwapResult { return s.swap(key, expected, value) }
	f := s.nextFault()
	if f == cancelBefore || f == cancelAfter || f == cancelDelayed {
		s.cancel()
		f = map[fault]fault{cancelBefore: lostBefore, cancelAfter: lostAfter, cancelDelayed: delayedUntilReleased}[f]
	}
	switch f {
	case frozenBefore:
		s.freeze()
		return write(), nil
	case frozenAfter:
		result := write()
		s.freeze()
		return result, nil
	case notSent:
		return platform.CompareAndSwapResult{}, storeError("swap", false)
	case lostBefore:
		return platform.CompareAndSwapResult{}, storeError("swap", true)
	case lostAfter:
		write()
		return platform.CompareAndSwapResult{}, storeError("swap", true)
	case delayedByOneCall:
		s.oneCallLate = append(s.oneCallLate, func() { write() })
		return platform.CompareAndSwapResult{}, storeError("swap", true)
	case delayedUntilReleased:
		s.heldWrites = append(s.heldWrites, func() { write() })
		return platform.CompareAndSwapResult{}, storeError("swap", true)
	}
	return write(), nil
}

// freeze pauses the caller within a call and runs the actions of other processes meanwhile.
func (s *fakeStore) freeze() {
	s.mu.Unlock()
	defer s.mu.Lock()
	s.whileFrozen()
}

// swap applies a write that reached the store.
func (s *fakeStore) swap(key string, expected int64, value []byte) platform.CompareAndSwapResult {
	current := s.values[key]
	if current.ModRevision != expected && !s.ignoreExpected {
		current.Key = key
		return platform.CompareAndSwapResult{Revision: s.revision, Current: current}
	}
	s.revision++
	s.writes++
	s.bytes += len(value)
	s.valueBeforeWrite[key] = current
	s.valuesBeforeWrite = maps.Clone(s.values)
	s.values[key] = platform.KeyValue{Key: key, Value: value, ModRevision: s.revision}
	if s.onWrite != nil {
		s.onWrite(key, value)
	}
	return platform.CompareAndSwapResult{Applied: true, Revision: s.revision}
}

func (s *fakeStore) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	return 0, errFake
}
func (s *fakeStore) Renew(context.Context, platform.LeaseID) error  { return errFake }
func (s *fakeStore) Revoke(context.Context, platform.LeaseID) error { return errFake }
func (s *fakeStore) Watch(context.Context, string, int64) (<-chan platform.WatchEvent, error) {
	return nil, errFake
}
