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

// fault is what happens to one call of the fake store.
type fault int

const (
	noFault              fault = iota
	notSent                    // the call fails before it leaves
	lostBefore                 // the call is lost on its way; its outcome is unknown to the caller
	lostAfter                  // the call takes effect and its answer is lost
	delayedByOneCall           // the call is reported lost and takes effect after the next call
	delayedUntilReleased       // the call is reported lost and takes effect when released
	staleRead                  // a read returns what the store held before the last write
	allFaults
	// The following end or interrupt the caller and are used by histories only.
	cancelBefore  // the caller gives up; the call has no effect
	cancelAfter   // the caller gives up after the call took effect
	cancelDelayed // the caller gives up and the call takes effect when released
	frozenBefore  // the caller is frozen before the call takes effect
	frozenAfter   // the caller is frozen after the call took effect
)

var faultNames = [...]string{"none", "not sent", "lost before effect", "lost after effect", "delayed past the next call", "delayed until released", "stale read"}

func (f fault) String() string { return faultNames[f] }

var errFake = errors.New("injected")

// fakeStore is a compare-and-swap store in memory that injects a fault into each call.
type fakeStore struct {
	mu               sync.Mutex
	revision         int64
	values           map[string]platform.KeyValue
	valueBeforeWrite map[string]platform.KeyValue
	// former holds all entries as they were before the last write.
	valuesBeforeWrite map[string]platform.KeyValue
	oneCallLate       []func()
	heldWrites        []func()
	calls             int
	writes            int
	bytes             int
	// fault chooses the fault of the call with the given number, from 1.
	fault func(call int) fault
	// blind makes the store ignore the expected version.
	ignoreExpected bool
	// cancel ends the context of the present call.
	cancel func()
	// during is what others do while the caller is frozen.
	whileFrozen func()
	// applied sees every write that takes effect, in order.
	onWrite func(key string, value []byte)
}

func newFakeStore() *fakeStore {
	return &fakeStore{values: map[string]platform.KeyValue{}, valueBeforeWrite: map[string]platform.KeyValue{}}
}

// next counts a call, lets late writes of former calls take effect and picks the fault.
func (s *fakeStore) nextFault() fault {
	s.calls++
	if s.fault == nil {
		return noFault
	}
	return s.fault(s.calls)
}

// flush lets the writes delayed past one call take effect.
func (s *fakeStore) applyWrites(oneCallLate []func()) {
	for _, write := range oneCallLate {
		write()
	}
}

// releaseHeld lets every write that was delayed beyond its retries take effect.
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
	image := s.values
	if f == staleRead {
		image = s.valuesBeforeWrite
	}
	var found []platform.KeyValue
	for key, value := range image {
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

// freeze lets others act while the caller is frozen within a call.
func (s *fakeStore) freeze() {
	s.mu.Unlock()
	defer s.mu.Lock()
	s.whileFrozen()
}

// swap is the effect of a write that reached the store.
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
