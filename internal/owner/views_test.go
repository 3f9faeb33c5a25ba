package owner

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// view is what one process sees of the store and of the workers.
type view struct {
	mu      sync.Mutex
	cut     bool // from the store
	refused int  // number of coming transactions that are refused
	lost    int  // number of transactions after these that are executed but return an error
	dead    bool // the process has ended: it reaches nothing
	hidden  map[batch.WorkerID]bool
}

func (v *view) reachesStore() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.cut && !v.dead
}

func (v *view) reaches(id batch.WorkerID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.hidden[id] && !v.dead
}

func (v *view) isDead() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.dead
}

func (v *view) change(f func(v *view)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v)
}

// takeFaults returns whether the next transaction is refused or loses its answer.
func (v *view) takeFaults() (refused, lost bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.refused > 0:
		v.refused--
		return true, false
	case v.lost > 0:
		v.lost--
		return false, true
	}
	return false, false
}

// viewedStore is the store as one process sees it.
type viewedStore struct {
	*memoryStore
	view *view
}

func (s viewedStore) unavailable(ctx context.Context) bool {
	if s.view.reachesStore() {
		return false
	}
	pause.For(ctx, 50*time.Millisecond)
	return true
}

func (s viewedStore) Get(ctx context.Context, key string) (kv.Item, error) {
	if s.unavailable(ctx) {
		return kv.Item{}, kv.ErrUnavailable
	}
	return s.memoryStore.Get(ctx, key)
}

func (s viewedStore) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	if s.unavailable(ctx) {
		return nil, 0, kv.ErrUnavailable
	}
	return s.memoryStore.List(ctx, prefix)
}

func (s viewedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	events, rev, err := s.memoryStore.Watch(ctx, prefix, after, wait)
	if !s.view.reachesStore() {
		return nil, 0, kv.ErrUnavailable
	}
	return events, rev, err
}

func (s viewedStore) Commit(ctx context.Context, t kv.Txn) (int64, error) {
	if s.unavailable(ctx) {
		return 0, kv.ErrUnavailable
	}
	refused, lost := s.view.takeFaults()
	if refused {
		return 0, kv.ErrUnavailable
	}
	rev, err := s.memoryStore.Commit(ctx, t)
	if lost && err == nil {
		return 0, errAnswerLost
	}
	return rev, err
}

func (s viewedStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if s.unavailable(ctx) {
		return 0, kv.ErrUnavailable
	}
	return s.memoryStore.Grant(ctx, ttl)
}

func (s viewedStore) Renew(ctx context.Context, lease int64) error {
	if s.unavailable(ctx) {
		return kv.ErrUnavailable
	}
	return s.memoryStore.Renew(ctx, lease)
}

func (s viewedStore) Revoke(ctx context.Context, lease int64) error {
	if s.unavailable(ctx) {
		return kv.ErrUnavailable
	}
	return s.memoryStore.Revoke(ctx, lease)
}

// viewedWorkers are the workers as one process sees them.
type viewedWorkers struct {
	workers WorkerClient
	view    *view
}

func (w viewedWorkers) RenewLease(ctx context.Context, r RenewRequest) (batch.Report, batch.Answer) {
	if !w.view.reaches(r.Worker) {
		<-ctx.Done()
		return batch.Report{}, batch.AnswerNone
	}
	return w.workers.RenewLease(ctx, r)
}

func (w viewedWorkers) Start(ctx context.Context, r StartRequest) batch.Answer {
	if !w.view.reaches(r.Worker) {
		<-ctx.Done()
		return batch.AnswerNone
	}
	return w.workers.Start(ctx, r)
}

func (w viewedWorkers) Stop(ctx context.Context, r TaskRequest) batch.Answer {
	if !w.view.reaches(r.Worker) {
		<-ctx.Done()
		return batch.AnswerNone
	}
	return w.workers.Stop(ctx, r)
}

func (w viewedWorkers) Throttle(ctx context.Context, r TaskRequest) batch.Answer {
	if !w.view.reaches(r.Worker) {
		<-ctx.Done()
		return batch.AnswerNone
	}
	return w.workers.Throttle(ctx, r)
}
