package owner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

var errLost = errors.New("answer lost")

// memoryStore is a kv.Store in memory, with faults.
type memoryStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]kv.Item
	history []kv.Event
	leases  map[int64]time.Time
	ttl     map[int64]time.Duration
	down    bool
	// lose is the number of transactions whose answers will be lost after they are done.
	lose    int
	changed chan struct{}
	commits int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		rev: 1, items: map[string]kv.Item{}, leases: map[int64]time.Time{}, ttl: map[int64]time.Duration{},
		changed: make(chan struct{}),
	}
}

const storeDelay = 4 * time.Millisecond

// enter waits as long as a call takes and locks the store.
func (s *memoryStore) enter(ctx context.Context) error {
	pause.For(ctx, storeDelay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	s.lapse()
	if s.down {
		s.mu.Unlock()
		return kv.ErrUnavailable
	}
	return nil
}

// lapse removes the keys of leases that have ended.
func (s *memoryStore) lapse() {
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
	s.note(kv.Event{Item: kv.Item{Key: key, Rev: s.rev}, Deleted: true})
}

func (s *memoryStore) put(key string, value []byte, lease int64) {
	s.rev++
	i := kv.Item{Key: key, Value: value, Rev: s.rev, Lease: lease}
	s.items[key] = i
	s.note(kv.Event{Item: i})
}

func (s *memoryStore) note(e kv.Event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store refuse all calls, or serve them again.
func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// set writes a key as another program would.
func (s *memoryStore) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *memoryStore) Get(ctx context.Context, key string) (kv.Item, error) {
	if err := s.enter(ctx); err != nil {
		return kv.Item{}, err
	}
	defer s.mu.Unlock()
	if i, ok := s.items[key]; ok {
		return i, nil
	}
	return kv.Item{}, kv.ErrNotFound
}

func (s *memoryStore) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	if err := s.enter(ctx); err != nil {
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
	for {
		s.mu.Lock()
		s.lapse()
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
		timer := time.NewTimer(100 * time.Millisecond) // leases may end meanwhile
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
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if n := len(t.If) + len(t.Set) + len(t.Remove); n > kv.MaxTxnEntries {
		return 0, fmt.Errorf("%d entries", n)
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
	if s.lose > 0 {
		s.lose--
		return 0, errLost
	}
	return rev, nil
}

func (s *memoryStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.rev++
	s.leases[s.rev], s.ttl[s.rev] = time.Now().Add(ttl), ttl
	return s.rev, nil
}

func (s *memoryStore) Renew(ctx context.Context, lease int64) error {
	if err := s.enter(ctx); err != nil {
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
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	s.dropLease(lease)
	return nil
}

// fakeWorkers are workers in memory whose tasks end after a second.
type fakeWorkers struct {
	mu    sync.Mutex
	nodes map[batch.WorkerID]*fakeNode
	// began counts the starts of each task, over all workers.
	began map[batch.TaskID]int
	dark  map[batch.WorkerID]bool
}

type fakeNode struct {
	born    int64
	fence   int64
	lease   time.Time
	running map[runKey]time.Time // until when it works
	ended   []batch.EndedAttempt
	next    int64
	changed chan struct{}
}

type runKey struct {
	task batch.TaskID
	run  int64
}

func newFakeWorkers(ids ...batch.WorkerID) *fakeWorkers {
	w := &fakeWorkers{nodes: map[batch.WorkerID]*fakeNode{}, began: map[batch.TaskID]int{}, dark: map[batch.WorkerID]bool{}}
	for _, id := range ids {
		w.nodes[id] = &fakeNode{born: 1, running: map[runKey]time.Time{}, next: 1, changed: make(chan struct{})}
	}
	return w
}

// starts returns how many times a task was started.
func (w *fakeWorkers) starts(id batch.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.began[id]
}

const (
	orderDelay = time.Millisecond
	taskTime   = time.Second
)

// reach returns the worker with its state brought up to date, or nil without an answer. The
// caller unlocks.
func (w *fakeWorkers) reach(ctx context.Context, id batch.WorkerID, epoch int64) (*fakeNode, batch.Answer) {
	pause.For(ctx, orderDelay)
	w.mu.Lock()
	n := w.nodes[id]
	if n == nil || w.dark[id] {
		w.mu.Unlock()
		pause.For(ctx, time.Hour)
		w.mu.Lock()
		return nil, batch.AnswerNone
	}
	n.advance()
	if epoch < n.fence {
		return nil, batch.AnswerFenced
	}
	n.fence = epoch
	return n, batch.AnswerOK
}

// advance ends what has worked long enough or lost its lease.
func (n *fakeNode) advance() {
	now := time.Now()
	for key, until := range n.running {
		switch {
		case !now.Before(until):
			n.end(key, batch.EndDone)
		case now.After(n.lease):
			n.end(key, batch.EndLeaseExpired)
		}
	}
}

func (n *fakeNode) end(key runKey, how batch.EndReason) {
	delete(n.running, key)
	n.ended = append(n.ended, batch.EndedAttempt{Seq: n.next, Task: key.task, Run: key.run, Reason: how})
	n.next++
}

func (w *fakeWorkers) Start(ctx context.Context, o StartRequest) Reply {
	n, answer := w.reach(ctx, o.Worker, o.Epoch)
	defer w.mu.Unlock()
	if n == nil {
		return Reply{Answer: answer}
	}
	if time.Now().UnixMilli() > o.NotAfter {
		return Reply{Answer: batch.AnswerExpired, Clock: time.Now().UnixMilli()}
	}
	w.began[o.Task]++
	n.running[runKey{o.Task, o.Run}] = time.Now().Add(taskTime)
	close(n.changed)
	n.changed = make(chan struct{})
	return Reply{Answer: batch.AnswerOK, Clock: time.Now().UnixMilli()}
}

func (w *fakeWorkers) Stop(ctx context.Context, o TaskRequest) Reply {
	n, answer := w.reach(ctx, o.Worker, o.Epoch)
	defer w.mu.Unlock()
	if n == nil {
		return Reply{Answer: answer}
	}
	if _, ok := n.running[runKey{o.Task, o.Run}]; ok {
		n.end(runKey{o.Task, o.Run}, batch.EndStopped)
	}
	return Reply{Answer: batch.AnswerOK, Clock: time.Now().UnixMilli()}
}

func (w *fakeWorkers) Throttle(ctx context.Context, o TaskRequest) Reply {
	_, answer := w.reach(ctx, o.Worker, o.Epoch)
	defer w.mu.Unlock()
	return Reply{Answer: answer}
}

func (w *fakeWorkers) RenewLease(ctx context.Context, o RenewRequest) (batch.Report, batch.Answer) {
	n, answer := w.reach(ctx, o.Worker, o.Epoch)
	if n == nil {
		w.mu.Unlock()
		return batch.Report{}, answer
	}
	n.ended = slices.DeleteFunc(n.ended, func(e batch.EndedAttempt) bool { return e.Seq <= o.AckSeq })
	if o.LeaseEnd > 0 {
		n.lease = time.UnixMilli(o.LeaseEnd)
	}
	deadline := time.Now().Add(o.MaxWait)
	for len(n.ended) == 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		next := deadline
		for _, until := range n.running {
			if until.Before(next) {
				next = until
			}
		}
		changed := n.changed
		w.mu.Unlock()
		timer := time.NewTimer(max(time.Until(next), time.Millisecond))
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
		w.mu.Lock()
		n.advance()
	}
	if w.dark[o.Worker] {
		w.mu.Unlock()
		pause.For(ctx, time.Hour)
		return batch.Report{}, batch.AnswerNone
	}
	defer w.mu.Unlock()
	return n.list(), batch.AnswerOK
}

func (n *fakeNode) list() batch.Report {
	r := batch.Report{Incarnation: n.born, Clock: time.Now().UnixMilli(), Ended: slices.Clone(n.ended)}
	for key := range n.running {
		r.Running = append(r.Running, batch.RunningAttempt{Task: key.task, Run: key.run, Percent: 50})
	}
	slices.SortFunc(r.Running, func(a, b batch.RunningAttempt) int { return cmp.Compare(a.Task.Index, b.Task.Index) })
	return r
}

// fakeRegistry names workers under w/.
type fakeRegistry struct{}

func (fakeRegistry) Prefix() string { return "w/" }
func (fakeRegistry) ID(key string) batch.WorkerID {
	return batch.WorkerID(strings.TrimPrefix(key, "w/"))
}
func (r fakeRegistry) Decode(key string, value []byte) (batch.WorkerInfo, error) {
	if string(value) != "ok" {
		return batch.WorkerInfo{}, errors.New("unreadable")
	}
	return batch.WorkerInfo{
		ID: r.ID(key), Incarnation: 1, Service: "svc", Address: key, DataCentre: "a",
		Capacity: batch.Resources{CPU: 8000, MemoryMB: 8000},
	}, nil
}
