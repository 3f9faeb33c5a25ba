package partition_test

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

var errDown = errors.New("connection refused")

// fakeStore is an in-memory store that can be made unavailable.
type fakeStore struct {
	platform.Store // nil; it provides the methods that owners do not call

	mu       sync.Mutex
	revision int64
	entries  map[string]platform.KeyValue
	down     bool
	writes   int
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]platform.KeyValue{}}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.KeyValue{}, 0, &platform.StoreError{Op: "get", Cause: errDown}
	}
	kv := s.entries[key]
	kv.Key = key
	return kv, s.revision, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, &platform.StoreError{Op: "list", Cause: errDown}
	}
	var found []platform.KeyValue
	for key, kv := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, kv)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, s.revision, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, _ platform.LeaseID) (platform.CompareAndSwapResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.CompareAndSwapResult{}, &platform.StoreError{Op: "swap", Unknown: true, Cause: errDown}
	}
	current := s.entries[key]
	if current.ModRevision != expected {
		return platform.CompareAndSwapResult{Revision: s.revision, Current: current}, nil
	}
	s.revision++
	s.writes++
	s.entries[key] = platform.KeyValue{Key: key, Value: value, ModRevision: s.revision}
	return platform.CompareAndSwapResult{Applied: true, Revision: s.revision}, nil
}

// fakeWorker is a worker that follows the rules of platform.WorkerClient. It counts the starts of
// each attempt.
type fakeWorker struct {
	mu          sync.Mutex
	incarnation string
	epoch       model.Epoch
	leaseEnds   time.Time
	sequence    uint64
	attempts    map[model.AttemptID]*platform.AttemptReport
	starts      map[model.AttemptID]int

	signalCalls int

	// unreachable drops every call before the worker sees it. The caller gets the same error as for
	// a lost answer.
	unreachable bool
	// loseStartAnswer accepts starts and drops the answers.
	loseStartAnswer bool
	// loseLeaseAnswer renews the lease and drops the answer.
	loseLeaseAnswer bool
	// dropSignal drops signals before the worker sees them.
	dropSignal bool
	// dropStart drops starts before the worker sees them. The caller gets the same error as for a
	// lost answer.
	dropStart bool
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{
		incarnation: "first",
		attempts:    map[model.AttemptID]*platform.AttemptReport{},
		starts:      map[model.AttemptID]int{},
	}
}

var errTimeout = verdict.New(verdict.MayHaveRun, verdict.ReasonWorkerFailed, "no answer")

// expire ends the attempts if the lease has lapsed. The lock must be held.
func (w *fakeWorker) expire() {
	if time.Now().Before(w.leaseEnds) {
		return
	}
	for _, a := range w.attempts {
		if !a.State.Ended() {
			w.finish(a, model.AttemptLost)
		}
	}
}

// finish ends an attempt. The lock must be held.
func (w *fakeWorker) finish(a *platform.AttemptReport, s model.AttemptState) {
	w.sequence++
	a.State = s
	a.Sequence = w.sequence
}

// end makes an executing attempt end.
func (w *fakeWorker) end(id model.AttemptID, s model.AttemptState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(w.attempts[id], s)
}

// restart gives the worker a new incarnation without any of its former state.
func (w *fakeWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation += "+"
	w.epoch, w.leaseEnds, w.sequence = 0, time.Time{}, 0
	w.attempts = map[model.AttemptID]*platform.AttemptReport{}
}

// executing returns the number of attempts that execute now.
func (w *fakeWorker) executing() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	n := 0
	for _, a := range w.attempts {
		if !a.State.Ended() {
			n++
		}
	}
	return n
}

// startCount returns how often the attempt was started.
func (w *fakeWorker) startCount(id model.AttemptID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// setFaults changes the faults of the worker.
func (w *fakeWorker) setFaults(change func(*fakeWorker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w)
}

// fakeWorkers is a platform.WorkerClient of fake workers by address.
type fakeWorkers map[string]*fakeWorker

func (f fakeWorkers) Lease(ctx context.Context, addr string, r platform.LeaseRequest) (platform.LeaseReply, error) {
	w := f[addr]
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return platform.LeaseReply{}, errTimeout
	}
	if r.Epoch < w.epoch {
		return platform.LeaseReply{}, &platform.StaleEpochError{Seen: w.epoch}
	}
	w.expire()
	w.epoch = r.Epoch
	w.leaseEnds = time.Now().Add(r.TTL)
	if w.loseLeaseAnswer {
		return platform.LeaseReply{}, errTimeout
	}
	reply := platform.LeaseReply{Epoch: w.epoch, Incarnation: w.incarnation, Now: time.Now(), Complete: r.All}
	for id, a := range w.attempts {
		if a.State.Ended() && a.Sequence <= r.Acknowledged {
			delete(w.attempts, id)
			continue
		}
		if a.State.Ended() || r.All {
			reply.Reports = append(reply.Reports, *a)
		}
	}
	return reply, nil
}

func (f fakeWorkers) Start(_ context.Context, addr string, r platform.StartRequest) (platform.StartReply, error) {
	w := f[addr]
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable || w.dropStart {
		return platform.StartReply{}, errTimeout
	}
	if r.Epoch < w.epoch {
		return platform.StartReply{}, &platform.StaleEpochError{Seen: w.epoch}
	}
	var reply platform.StartReply
	for _, a := range r.Attempts {
		reply.Results = append(reply.Results, platform.StartResult{Attempt: a.Attempt, Accepted: w.accept(a)})
	}
	if w.loseStartAnswer {
		return platform.StartReply{}, errTimeout
	}
	return reply, nil
}

// accept starts an attempt if it has not expired, the lease is valid and the attempt is not known
// yet. The lock must be held.
func (w *fakeWorker) accept(a platform.StartAttempt) bool {
	now := time.Now()
	if now.After(a.NotAfter) || now.After(w.leaseEnds) || w.attempts[a.Attempt] != nil {
		return false
	}
	w.starts[a.Attempt]++
	w.attempts[a.Attempt] = &platform.AttemptReport{Attempt: a.Attempt}
	return true
}

func (f fakeWorkers) Signal(_ context.Context, addr string, r platform.SignalRequest) error {
	w := f[addr]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.signalCalls++
	if w.dropSignal || w.unreachable {
		return errTimeout
	}
	a := w.attempts[r.Attempt]
	if a == nil || a.State.Ended() {
		return nil
	}
	switch r.Kind {
	case platform.SignalStop:
		w.finish(a, model.AttemptStopped)
	case platform.SignalCheckpoint:
		a.Checkpoint, a.Progress = "saved", 0.5
		w.finish(a, model.AttemptCheckpointed)
	}
	return nil
}

// fakeConfigSource provides a configuration that a test can change.
type fakeConfigSource struct {
	mu  sync.Mutex
	doc *config.Document
	// next is the newer document that Confirm reads from the store, nil if doc is the newest.
	next *config.Document
	err  error
}

func (d *fakeConfigSource) Current() (*config.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.doc, true
}

func (d *fakeConfigSource) Confirm(context.Context) (*config.Document, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.err != nil {
		return nil, d.err
	}
	if d.next != nil {
		d.doc = d.next
	}
	return d.doc, nil
}
