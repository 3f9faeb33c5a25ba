package owner

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// slowlyListedStore returns each listing a time after it was read.
type slowlyListedStore struct {
	*memoryStore
	delay time.Duration
}

func (s slowlyListedStore) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	items, rev, err := s.memoryStore.List(ctx, prefix)
	pause.For(ctx, s.delay)
	return items, rev, err
}

// retention is JobRetention of the instances that the harness starts.
const retention = 20 * time.Second

// startShortJobs submits jobs of one task that takes 10 ms, and returns their ids once all have ended.
func (h *harness) startShortJobs(jobs int) []string {
	h.workers.taskDuration = 10 * time.Millisecond
	var ids []string
	for i := range jobs {
		ids = append(ids, fmt.Sprintf("j%d", i))
		h.submit(ids[i], tasks(1))
	}
	for h.store.count(recordPrefix) < jobs {
		h.sleep(100 * time.Millisecond)
	}
	h.sleep(time.Second)
	for _, id := range ids {
		h.is.Equal(h.storedStatus(id), batch.Completed)
	}
	return ids
}

// Guards against a job that is run again after its retention (review case 6, TWICE): the store forgets its history while the keys of
// ended jobs are removed, and the listing that follows shows jobs that the owner does not know any more.
func TestAListingDoesNotBringBackForgottenJobs(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
	}{
		{"listed before the removal", 0},
		{"listed before the removal and told after it", 600 * time.Millisecond},
		{"told long after the removal", 7 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				o := New(Options{Instance: "a", BootClock: h.bootClock, Address: "a", LeaseTTL: testLeaseTTL, MaxWorkerLease: 6 * time.Second, JobRetention: retention},
					slowlyListedStore{h.store, c.delay}, h.workers, fakeRegistry{}, testConfig, zerolog.New(&h.log))
				go o.Run(h.ctx)
				h.sleep(3*c.delay + time.Second)
				ids := h.startShortJobs(100)
				for h.store.count(jobPrefix) > 0 {
					h.store.dropHistory()
					h.sleep(20 * time.Millisecond)
				}
				h.sleep(3*c.delay + 2*time.Second)
				for _, id := range ids {
					h.requireStartedOnce(id, 1, 1)
				}
				h.is.Equal(h.store.count(acceptedPrefix)+h.store.count(recordPrefix), 0)
			}, "w1", "w2", "w3")
		})
	}
}

// forgetJobs waits until the keys of all jobs have been removed.
func (h *harness) forgetJobs() {
	for h.store.count(jobPrefix) > 0 {
		h.sleep(100 * time.Millisecond)
	}
	h.sleep(2 * time.Second)
}

// submission returns what submit stores for a job of one task.
func submission() Submission {
	return Submission{Queue: "q", QueueConfig: batch.Queue{Service: "svc", MaxAttempts: 3}, Accepted: time.Now(), Spec: batch.Spec{Payload: "p", Steps: []batch.Step{tasks(1)}}}
}

// Guards against a job that is run again since an instance that stood still for longer than the retention tells the owner of it.
func TestALateNotificationDoesNotBringBackAForgottenJob(t *testing.T) {
	withHarness(t, func(h *harness) {
		o := h.startInstance("a")
		h.sleep(time.Second)
		h.startShortJobs(1)
		accepted := h.store.item(JobKey("j0")).Rev
		h.forgetJobs()
		h.is.True(o.NotifySubmitted("j0", accepted, submission()))
		h.sleep(3 * time.Second)
		h.requireStartedOnce("j0", 1, 1)
	}, "w1")
}

// Guards against a job that is never run, as its id was that of a forgotten one: callers may use an id again once it is gone, also
// while the owner does not know yet that its keys are.
func TestAnIDIsUsedAgainOnceItsJobIsGone(t *testing.T) {
	for _, c := range []struct {
		name  string
		share float64 // of the transactions whose answers are lost
	}{{"the removal is answered", 0}, {"the removal is not answered", 1}} {
		t.Run(c.name, func(t *testing.T) {
			withLossyStore(t, 1, func(h *harness, s *lossyStore, o *Owner) {
				h.startShortJobs(1)
				h.sleep(retention - 2*time.Second)
				s.setShare(c.share)
				for h.store.count(jobPrefix) > 0 {
					h.sleep(10 * time.Millisecond)
				}
				h.submit("j0", tasks(1))
				h.is.True(o.NotifySubmitted("j0", h.store.item(JobKey("j0")).Rev, submission()))
				h.sleep(time.Second)
				s.setShare(0)
				h.sleep(5 * time.Second)
				h.is.Equal(h.workers.starts(batch.TaskID{Job: "j0"}), 2)
				h.is.Equal(h.storedStatus("j0"), batch.Completed)
				h.forgetJobs()
				h.is.Equal(h.workers.starts(batch.TaskID{Job: "j0"}), 2)
				h.is.Equal(h.store.count(acceptedPrefix)+h.store.count(recordPrefix), 0)
			})
		})
	}
}

// Guards against a forgotten job that the next owner runs again: the former one is gone while the outcome of the removal is open.
func TestATakeOverDoesNotBringBackForgottenJobs(t *testing.T) {
	for _, after := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.startInstance("a")
				h.sleep(time.Second)
				ids := h.startShortJobs(100)
				h.startInstance("b")
				for h.store.count(jobPrefix) == len(ids) {
					h.sleep(5 * time.Millisecond)
				}
				h.sleep(after)
				h.store.dropHistory()
				h.kill("a")
				h.sleep(8 * time.Second)
				h.is.Equal(h.leader(), "b")
				h.forgetJobs()
				for _, id := range ids {
					h.requireStartedOnce(id, 1, 1)
				}
				h.is.Equal(h.store.count(acceptedPrefix)+h.store.count(recordPrefix), 0)
			}, "w1", "w2", "w3")
		})
	}
}

// Guards against a change that the watch tells of only after the retention: the owner was told of the job by the instance that
// accepted it, and has forgotten it by then.
func TestALateChangeDoesNotBringBackAForgottenJob(t *testing.T) {
	is := is.New(t)
	l, now := newTestLeader(), time.Now()
	item := kv.Item{Key: JobKey("j"), Value: EncodeSubmission(submission()), Rev: 5}
	l.addNotified("j", item.Rev, submission(), now)
	l.state.Cancel("j", now)
	l.committed(l.nextTxn(now), 6)
	now = now.Add(retention + time.Second)
	l.runMaintenance(now)
	is.Equal(l.state.Job("j"), nil)
	l.committed(l.nextTxn(now), 7)
	l.changeSubmissions([]kv.Item{item}, item.Rev, now)
	is.Equal(l.state.Job("j"), nil)
	l.changeSubmissions(nil, 7, now) // the removal
	is.Equal(len(l.forgotten.byID), 0)
}

// Guards against a job that is run again where ended jobs need not be known for long: a write of its submission that the store carries
// out late, or that an instance repeats, comes after its keys were removed.
func TestAShortRetentionOutlastsLateSubmissions(t *testing.T) {
	withHarness(t, func(h *harness) {
		o := New(Options{Instance: "a", BootClock: h.bootClock, Address: "a", LeaseTTL: testLeaseTTL, MaxWorkerLease: 6 * time.Second, JobRetention: time.Second},
			h.store, h.workers, fakeRegistry{}, testConfig, zerolog.New(&h.log))
		go o.Run(h.ctx)
		h.sleep(time.Second)
		h.startShortJobs(1)
		submitted := time.Now()
		const (
			sentLast  = 10 * time.Second // the last try of a submission
			lateWrite = 6 * time.Second  // a write without an answer is carried out
		)
		for time.Since(submitted) < sentLast+lateWrite {
			h.sleep(500 * time.Millisecond)
			_, err := h.store.Commit(h.ctx, kv.Txn{If: []kv.Condition{{Key: JobKey("j0")}}, Set: []kv.Write{{Key: JobKey("j0"), Value: EncodeSubmission(submission())}}})
			h.is.True(errors.Is(err, kv.ErrConflict))
		}
		h.requireStartedOnce("j0", 1, 1)
		h.forgetJobs()
	}, "w1", "w2")
}

// Guards against jobs that are remembered for ever after they were forgotten.
func TestForgottenJobsAreDroppedOnceNothingCanShowThem(t *testing.T) {
	withHarness(t, func(h *harness) {
		o := h.startInstance("a")
		h.sleep(time.Second)
		h.startShortJobs(30)
		h.forgetJobs()
		remembered, ok := query(o, time.Second, func(l *leader, _ time.Time) int { return len(l.forgotten.byID) })
		h.is.True(ok)
		h.is.Equal(remembered, 0)
	}, "w1")
}
