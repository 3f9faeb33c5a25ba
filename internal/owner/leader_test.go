package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

// countingWorkers counts the concurrent first renewals.
type countingWorkers struct {
	*fakeWorkers
	mu                    sync.Mutex
	inFlight, maxInFlight int // first renewals: current number and highest number so far
	contacted             map[batch.WorkerID]bool
}

func (c *countingWorkers) RenewLease(ctx context.Context, req RenewRequest) (batch.Report, batch.Answer) {
	c.mu.Lock()
	first := !c.contacted[req.Worker]
	c.contacted[req.Worker] = true
	if first {
		c.inFlight++
		c.maxInFlight = max(c.maxInFlight, c.inFlight)
	}
	c.mu.Unlock()
	r, a := c.fakeWorkers.RenewLease(ctx, req)
	if first {
		c.mu.Lock()
		c.inFlight--
		c.mu.Unlock()
	}
	return r, a
}

// After a take-over of many workers, all of them must be contacted, but only a limited number at
// the same time.
func TestConcurrentFirstRenewalsAreLimited(t *testing.T) {
	var ids []batch.WorkerID
	for i := range 500 {
		ids = append(ids, batch.WorkerID(fmt.Sprintf("w%03d", i)))
	}
	withHarness(t, func(h *harness) {
		c := &countingWorkers{fakeWorkers: h.workers, contacted: map[batch.WorkerID]bool{}}
		o := New(Options{Instance: "a", BootClock: h.bootClock, Address: "a", LeaseTTL: 1200 * time.Millisecond, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second},
			h.store, c, fakeRegistry{}, testConfig, zerolog.Nop())
		go o.Run(h.ctx)
		h.sleep(time.Second)
		h.is.Equal(len(c.contacted), len(ids))
		h.is.True(c.maxInFlight <= maxFirstRenewals)
	}, ids...)
}

// Guards against leases that lapse on workers in reach, since their first renewals wait behind calls to many workers that
// were lost together with the former owner.
func TestLostWorkersDoNotDelayTheFirstRenewalsOfOthers(t *testing.T) {
	const inReach, lost = 100, 800
	var ids []batch.WorkerID
	for i := range inReach + lost {
		ids = append(ids, batch.WorkerID(fmt.Sprintf("w%03d", i)))
	}
	withHarness(t, func(h *harness) {
		h.workers.taskDuration = time.Hour
		h.startInstance("a")
		h.sleep(3 * time.Second)
		step := tasks(2 * inReach)
		step.LongRunning = true
		h.submit("j", step)
		h.sleep(3 * time.Second)
		h.startInstance("b")
		h.sleep(time.Second)
		kept := h.runningOn(ids[:inReach])
		h.is.True(len(kept) > 0)
		h.loseWorkers(ids[inReach:])
		h.kill("a")
		h.sleep(20 * time.Second)
		for _, id := range kept {
			h.is.Equal(h.workers.starts(id), 1)
		}
	}, ids...)
}

// runningOn returns the tasks that run on some of the workers.
func (h *harness) runningOn(ids []batch.WorkerID) []batch.TaskID {
	h.workers.mu.Lock()
	defer h.workers.mu.Unlock()
	var tasks []batch.TaskID
	for _, id := range ids {
		for key := range h.workers.workers[id].running {
			tasks = append(tasks, key.task)
		}
	}
	return tasks
}

// loseWorkers lets workers answer no calls any more.
func (h *harness) loseWorkers(ids []batch.WorkerID) {
	h.workers.mu.Lock()
	defer h.workers.mu.Unlock()
	for _, id := range ids {
		h.workers.unreachable[id] = true
	}
}

// findWorkers undoes loseWorkers.
func (h *harness) findWorkers(ids []batch.WorkerID) {
	h.workers.mu.Lock()
	defer h.workers.mu.Unlock()
	for _, id := range ids {
		delete(h.workers.unreachable, id)
	}
}

// After a take-over of thousands of workers, their reports fill the event queue. A change of a
// worker in the store must be applied before the queued reports and before the next decision.
func TestStoreEventsPrecedeOtherEvents(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		o := New(Options{Instance: "a"}, newMemoryStore(), nil, fakeRegistry{}, testConfig, zerolog.Nop())
		ctx, cancel := context.WithCancelCause(t.Context())
		l := newLeader(o, heldClaim{claim: Claim{Epoch: 1}, commitRev: 1}, cancel)
		var order []string
		l.post(func(l *leader, _ time.Time) {
			order = append(order, "list")
			l.postStoreEvent(func(*leader, time.Time) { order = append(order, "news") })
		})
		for range 100 {
			l.post(func(*leader, time.Time) { order = append(order, "list") })
		}
		l.drainEvents()
		is.Equal(len(order), 102)
		is.Equal(order[:3], []string{"list", "news", "list"}) // the store event was posted while reports were queued
		cancel(nil)
		<-ctx.Done()
	})
}

// Guards against ends that are acknowledged late, and reports that are asked for late, since records wait for the next
// decision: where a decision takes long, the pause after it is long, too.
func TestRecordsAreWrittenBetweenDecisions(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		o := New(Options{Instance: "a"}, newMemoryStore(), nil, fakeRegistry{}, testConfig, zerolog.Nop())
		l := newLeader(o, heldClaim{claim: Claim{Epoch: 1}, commitRev: 1}, func(error) {})
		l.ctx = t.Context()
		change := func(id string) {
			l.state.AddJob(&batch.Job{ID: id, Queue: "q", QueueConfig: batch.Queue{Service: "svc"}, Spec: batch.Spec{Steps: []batch.Step{tasks(1)}}}, nil, false, time.Now())
			l.state.Cancel(id, time.Now())
		}
		change("a")
		l.react(time.Now())
		is.Equal(l.commits.number, int64(1))
		l.committed(l.commits.inFlight, 2)
		l.cooldown.start(time.Now().Add(-time.Second), time.Now().Add(commitInterval), false) // the decision took a second
		change("b")
		l.react(time.Now())
		is.Equal(l.commits.number, int64(1))
		is.True(l.commits.due() != nil) // a transaction is due as soon as the interval allows one
		<-l.commits.due()
		l.react(time.Now())
		is.True(!l.cooldown.elapsed(time.Now()))
		is.Equal(l.commits.number, int64(2))
	})
}
