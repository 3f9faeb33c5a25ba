package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// revisionedStore is a store of keys with revisions that answers at once.
type revisionedStore struct {
	kv.Store
	mu    sync.Mutex
	rev   int64
	items map[string]kv.Item
}

func newRevisionedStore() *revisionedStore { return &revisionedStore{items: map[string]kv.Item{}} }

func (s *revisionedStore) Get(ctx context.Context, key string) (kv.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.items[key]; ok {
		return i, ctx.Err()
	}
	return kv.Item{}, kv.ErrNotFound
}

func (s *revisionedStore) Commit(_ context.Context, t kv.Txn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, holds := &kv.ConflictError{}, true
	for _, c := range t.If {
		i, ok := s.items[c.Key]
		holds = holds && i.Rev == c.Rev
		if ok {
			conflict.Items = append(conflict.Items, i)
		}
	}
	if !holds {
		return 0, conflict
	}
	s.rev++
	for _, w := range t.Set {
		s.items[w.Key] = kv.Item{Key: w.Key, Value: w.Value, Rev: s.rev}
	}
	for _, key := range t.Remove {
		delete(s.items, key)
	}
	return s.rev, nil
}

// keys returns the keys that begin with a prefix.
func (s *revisionedStore) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// lateStore is the store as an instance sees it whose first writes go astray.
type lateStore struct {
	*revisionedStore
	mu sync.Mutex
	// unanswered is the number of coming transactions that get no answer and are carried out late, by delay.
	unanswered int
	delay      time.Duration
	// standstill is how long the instance stands still before it sends its next transaction.
	standstill time.Duration
}

func (s *lateStore) Commit(ctx context.Context, t kv.Txn) (int64, error) {
	s.mu.Lock()
	lost, standstill := s.unanswered > 0, s.standstill
	s.unanswered, s.standstill = max(0, s.unanswered-1), 0
	s.mu.Unlock()
	time.Sleep(standstill)
	if !lost {
		return s.revisionedStore.Commit(ctx, t)
	}
	time.AfterFunc(s.delay, func() { _, _ = s.revisionedStore.Commit(context.Background(), t) })
	<-ctx.Done()
	return 0, ctx.Err()
}

// of returns the view of a store, which is the plain store if s is nil.
func (s *lateStore) of(store *revisionedStore) kv.Store {
	if s == nil {
		return store
	}
	s.revisionedStore = store
	return s
}

const cancelledID = "5c0e7a21d94b36f8"

// submitAs submits cancelledID for a caller that leaves after a time.
func submitAs(i *Instance, tenant string, leavesAfter time.Duration) Result {
	ctx, cancel := context.WithTimeout(context.Background(), leavesAfter)
	defer cancel()
	config := &Config{Batch: batch.Config{Queues: map[string]batch.Queue{"q": {Service: "s"}}}}
	return i.Submit(ctx, config, SubmittedJob{ID: cancelledID, Queue: "q", Tenant: tenant})
}

func cancelAs(i *Instance, tenant string) Result {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return i.Cancel(ctx, cancelledID, tenant)
}

// Guards against a job that runs after its cancelling was acknowledged (review case 9, UNASKED): a caller whose submission got no answer
// leaves and cancels the job, there is none, and the submission is stored afterwards.
func TestACancelledSubmissionIsNotStoredLater(t *testing.T) {
	for _, c := range []struct {
		name      string
		submitter *lateStore
		canceller *lateStore
		// owner is set if no store answers the submitter, which asks the owner to store the job.
		owner *lateStore
	}{
		{name: "the store carries it out late", submitter: &lateStore{unanswered: 1, delay: 6 * time.Second}},
		{name: "the instance stands still with it", submitter: &lateStore{standstill: 5 * time.Second}},
		{name: "the cancellation is not answered either", submitter: &lateStore{unanswered: 1, delay: 6 * time.Second}, canceller: &lateStore{unanswered: 1, delay: 5 * time.Second}},
		{name: "another instance stores it late", owner: &lateStore{unanswered: 1, delay: 6 * time.Second}},
		{name: "another instance stands still with it", owner: &lateStore{standstill: 5 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				store := newRevisionedStore()
				submitter, canceller := newInstance(c.submitter.of(store)), newInstance(c.canceller.of(store))
				if c.owner != nil {
					submitter.store = silentToAll{}
					submitter.watcher.disconnected.Store(true)
					submitter.peers = &ownerPeer{instance: newInstance(c.owner.of(store))}
					submitter.claim = func() *owner.Claim { return &owner.Claim{Instance: "owner"} }
				}
				done := make(chan Result, 1)
				go func() { done <- submitAs(submitter, "", 125*time.Millisecond) }()
				time.Sleep(200 * time.Millisecond)
				is.Equal(cancelAs(canceller, ""), NotFound)
				is.True(<-done != Done)
				time.Sleep(20 * time.Second)
				is.Equal(store.keys(owner.JobKey("")), nil)
				synctest.Wait()
			})
		})
	}
}

// silentToAll is a store that answers nothing.
type silentToAll struct{ kv.Store }

func (silentToAll) Get(ctx context.Context, _ string) (kv.Item, error) {
	<-ctx.Done()
	return kv.Item{}, ctx.Err()
}

// Guards against a repeated submission of a job whose cancelling was acknowledged: it is still that job.
func TestARepeatedSubmissionOfACancelledJobIsRefused(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newRevisionedStore()
		i := newInstance(store)
		is.Equal(cancelAs(i, ""), NotFound)
		startTime := time.Now()
		is.Equal(submitAs(i, "", 3*time.Second), Withdrawn)
		is.Equal(time.Since(startTime), time.Duration(0)) // it is not tried again
		_, result := i.JobStatus(context.Background(), cancelledID)
		is.Equal(result, NotFound) // a job that was never stored is not shown
		is.Equal(cancelAs(i, ""), NotFound)
		delete(store.items, owner.TombstoneKey("", cancelledID))
		is.Equal(submitAs(i, "", 3*time.Second), Done)
		is.Equal(cancelAs(i, ""), Done)
	})
}

// Guards against a refusal that is not true: another try of the submission, of which nothing is known, may be carried out once the
// tombstone is gone.
func TestASubmissionThatMayFollowIsNotSaidToNeverRun(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newRevisionedStore()
		is.Equal(cancelAs(newInstance(store), ""), NotFound)
		i := newInstance(&lateStore{revisionedStore: store, unanswered: 1, delay: 6 * time.Second})
		is.Equal(submitAs(i, "", 3*time.Second), Unknown)
	})
}

// Guards against tenants that keep each other's jobs from being stored, or cancel them.
func TestACancellationConcernsTheTenantsOwnSubmissionsOnly(t *testing.T) {
	for _, c := range []struct {
		canceller, submitter string
		want                 Result
	}{{"a", "a", Withdrawn}, {"a", "b", Done}, {"a", "", Done}, {"", "a", Done}, {"", "", Withdrawn}} {
		t.Run(fmt.Sprintf("%q cancels, %q submits", c.canceller, c.submitter), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				store := newRevisionedStore()
				i := newInstance(store)
				is.Equal(cancelAs(i, c.canceller), NotFound)
				is.Equal(submitAs(i, c.submitter, 3*time.Second), c.want)
				is.Equal(store.keys(owner.CancelKey("")), nil)
			})
		})
	}
}

// overtakenStore calls overtake just before the first transaction.
type overtakenStore struct {
	*revisionedStore
	overtake func()
	once     sync.Once
}

func (s *overtakenStore) Commit(ctx context.Context, t kv.Txn) (int64, error) {
	s.once.Do(s.overtake)
	return s.revisionedStore.Commit(ctx, t)
}

// Guards against a job that is not cancelled as it is stored between the look for it and the tombstone.
func TestAJobThatIsStoredMeanwhileIsCancelled(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newRevisionedStore()
		i := newInstance(&overtakenStore{revisionedStore: store, overtake: func() { submitAs(newInstance(store), "", time.Second) }})
		is.Equal(cancelAs(i, ""), Done)
		is.Equal(store.keys(owner.CancelKey("")), []string{owner.CancelKey(cancelledID)})
		is.Equal(store.keys(owner.TombstoneKey("", "")), nil)
	})
}

// Guards against the cancellation of a job that stays in the store for good, and cancels a later job of the same id: the owner removes
// the keys of the job, whose retention is over, between the look for it and the cancellation.
func TestACancellationDoesNotOutliveItsJob(t *testing.T) {
	for _, c := range []struct {
		name     string
		followed bool // by another job of the id
	}{{"the job is gone", false}, {"the id is used again", true}} {
		t.Run(c.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				store := newRevisionedStore()
				is.Equal(submitAs(newInstance(store), "", time.Second), Done)
				i := newInstance(&overtakenStore{revisionedStore: store, overtake: func() {
					_, err := store.Commit(context.Background(), kv.Txn{Remove: []string{owner.JobKey(cancelledID)}})
					is.NoErr(err)
					if c.followed {
						is.Equal(submitAs(newInstance(store), "", time.Second), Done)
					}
				}})
				is.Equal(cancelAs(i, ""), NotFound)
				is.Equal(store.keys(owner.CancelKey("")), nil)
			})
		})
	}
}

// Guards against callers that fill the store by cancelling jobs that do not exist.
func TestTombstonesAreBounded(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newRevisionedStore()
		i := newInstance(store)
		const seconds = 60
		refused := 0
		for n := range 100 * seconds {
			result := i.Cancel(context.Background(), fmt.Sprintf("%016x", n), "")
			if result == NotRun {
				refused++
			} else {
				is.Equal(result, NotFound)
			}
			pause.For(context.Background(), 10*time.Millisecond)
		}
		written := len(store.keys(owner.TombstoneKey("", "")))
		is.Equal(written+refused, 100*seconds)
		is.True(written <= maxTombstonesPerSecond*(seconds+1))
		is.True(written >= maxTombstonesPerSecond*(seconds-1))
	})
}

// Guards against a submission that is sent so late that the tombstone of its job is gone, as its caller waits for long.
func TestASubmissionIsNotTriedForLongerThanATombstoneLives(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		s := &lateStore{revisionedStore: newRevisionedStore(), unanswered: 1 << 30, delay: time.Hour}
		i := newInstance(s)
		begun := time.Now()
		i.watcher.clock = func() time.Duration { return time.Since(begun) }
		is.Equal(submitAs(i, "", 10*time.Minute), Unknown)
		is.True(time.Since(begun) < maxSubmissionTime+2*storeCallTimeout)
	})
}
