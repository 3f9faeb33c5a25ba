package owner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// harness holds a store, workers and instances that run under synthetic time.
type harness struct {
	t       *testing.T
	is      *is.I
	ctx     context.Context
	store   *memoryStore
	workers *fakeWorkers
	stops   map[string]context.CancelFunc
	// owners are written by the test only, with ownersMu held, and read by calls between instances.
	owners   map[string]*Owner
	ownersMu sync.Mutex
	// bootClockAhead is how far the boot clock of all instances is ahead of synthetic time, in nanoseconds.
	bootClockAhead atomic.Int64
	log            logBuffer // of all instances
}

// bootClock is Options.BootClock of all instances. It is ahead of synthetic time after a suspension of the
// machine, and ahead of the time of day after that was set back.
func (h *harness) bootClock() time.Duration {
	return time.Since(time.Unix(0, 0)) + time.Duration(h.bootClockAhead.Load())
}

// withHarness runs a test with the named workers under synthetic time.
func withHarness(t *testing.T, test func(h *harness), workers ...batch.WorkerID) {
	bubbletest.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := &harness{
			t: t, is: is.New(t), ctx: ctx, store: newMemoryStore(), workers: newFakeWorkers(workers...),
			stops: map[string]context.CancelFunc{}, owners: map[string]*Owner{},
		}
		for _, id := range workers {
			h.store.set("w/"+string(id), []byte("ok"))
		}
		defer func() {
			cancel()
			pause.For(context.Background(), 10*time.Second) // let pending calls end
		}()
		test(h)
	})
}

func testConfig() batch.Config {
	return batch.Config{Version: 1, Queues: map[string]batch.Queue{
		"q":      {Service: "svc", MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		"urgent": {Service: "svc", MaxAttempts: 3, Stretch: 1.5, Slack: 250 * time.Millisecond},
		"later":  {Service: "svc", MaxAttempts: 3, Stretch: 1.5, Slack: time.Second, Priority: 2},
	}}
}

// startInstance starts an instance that takes part in campaigns.
func (h *harness) startInstance(name string) *Owner {
	ctx, cancel := context.WithCancel(h.ctx)
	o := New(Options{Instance: name, BootClock: h.bootClock, Address: name, LeaseTTL: 1200 * time.Millisecond, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second, ReportEnd: h.reportEnd},
		h.store, h.workers, fakeRegistry{}, testConfig, zerolog.New(&h.log))
	h.stops[name] = cancel
	h.setOwner(name, o)
	go o.Run(ctx)
	return o
}

// setOwner sets the present process of an instance.
func (h *harness) setOwner(name string, o *Owner) {
	h.ownersMu.Lock()
	defer h.ownersMu.Unlock()
	h.owners[name] = o
}

// owner returns the present process of an instance.
func (h *harness) owner(name string) *Owner {
	h.ownersMu.Lock()
	defer h.ownersMu.Unlock()
	return h.owners[name]
}

// reportEnd passes the end of a leadership to the present process of an instance.
func (h *harness) reportEnd(_ context.Context, c Claim, end LeadershipEnd) error {
	if !h.owner(c.Instance).FormerOwnerEnded(c.Epoch, end) {
		return errAnswerLost
	}
	return nil
}

// submit writes a job to the store as an instance that accepts it does.
func (h *harness) submit(id string, steps ...batch.Step) { h.submitTo("q", id, steps...) }

// submitTo is submit for a queue.
func (h *harness) submitTo(queue, id string, steps ...batch.Step) {
	v := Submission{Queue: queue, QueueConfig: batch.Queue{Service: "svc", MaxAttempts: 3}, Accepted: time.Now(), Spec: batch.Spec{Payload: "p", Steps: steps}}
	h.store.set(JobKey(id), EncodeSubmission(v))
}

func tasks(count int) batch.Step {
	return batch.Step{Count: count, Resources: batch.Resources{CPU: 1000, MemoryMB: 100}, Estimate: time.Second}
}

// sleep advances the synthetic time and waits until all goroutines are blocked.
func (h *harness) sleep(d time.Duration) {
	pause.For(h.ctx, d)
	synctest.Wait()
}

// storedStatus returns the status of a job according to its record in the store.
func (h *harness) storedStatus(id string) batch.JobStatus {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	r, err := DecodeRecord(h.store.items[RecordKey(id)].Value)
	h.is.NoErr(err)
	return r.Status
}

// requireStartedOnce checks that each task of a job was started exactly once.
func (h *harness) requireStartedOnce(id string, steps, count int) {
	h.t.Helper()
	for step := range steps {
		for i := range count {
			key := batch.TaskID{Job: id, Step: step, Index: i}
			if n := h.workers.starts(key); n != 1 {
				h.t.Errorf("task %d of step %d was started %d times", i, step, n)
			}
		}
	}
}

func TestJobIsExecutedOnce(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstance("a")
		h.startInstance("b")
		second := tasks(3)
		second.After = []int{0}
		h.submit("j", tasks(3), second)
		h.sleep(5 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Completed)
		h.requireStartedOnce("j", 2, 3)
	}, "w1", "w2")
}

// startInstanceWithSpeed starts an instance on a machine of the given speed.
func (h *harness) startInstanceWithSpeed(name string, speed float64) *Owner {
	ctx, cancel := context.WithCancel(h.ctx)
	o := New(Options{
		Instance: name, BootClock: h.bootClock, Address: name, LeaseTTL: 1200 * time.Millisecond, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second, Speed: speed,
		AskToYield: func(ctx context.Context, c Claim) error {
			if !h.owner(c.Address).Yield(ctx, c.Epoch, speed) {
				return errAnswerLost
			}
			return nil
		},
	}, h.store, h.workers, fakeRegistry{}, testConfig, zerolog.Nop())
	h.stops[name] = cancel
	h.setOwner(name, o)
	go o.Run(ctx)
	return o
}

// leader returns the name of the instance that leads; empty if none does.
func (h *harness) leader() string {
	for name, o := range h.owners {
		if o.leading.Load() != nil {
			return name
		}
	}
	return ""
}

// With machines of different speeds, the ownership must move to a fast one, also after a kill, and
// running tasks must not be disturbed.
func TestAFastMachineLeads(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstanceWithSpeed("slow1", 0.2)
		h.sleep(500 * time.Millisecond)
		h.is.Equal(h.leader(), "slow1")
		h.submit("j", tasks(4))
		h.sleep(200 * time.Millisecond)
		h.startInstanceWithSpeed("fast1", 0.8)
		h.startInstanceWithSpeed("slow2", 0.2)
		h.sleep(2 * time.Second)
		h.is.Equal(h.leader(), "fast1")
		h.requireStartedOnce("j", 1, 4)
		h.startInstanceWithSpeed("fast2", 0.8)
		h.sleep(time.Second)
		h.stops["fast1"]()
		h.owners["fast1"].Resign()
		h.sleep(time.Second)
		h.is.Equal(h.leader(), "fast2")
		h.is.Equal(h.owners["fast2"].Claim().Epoch, int64(3)) // no slow machine led in between
		h.sleep(2 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Completed)
		h.requireStartedOnce("j", 1, 4)
	}, "w1", "w2")
}

// kill ends an instance like SIGKILL: it cannot give up its claim, because its last calls find the
// store down.
func (h *harness) kill(name string) {
	h.store.setDown(true)
	h.stops[name]()
	h.sleep(killDuration)
	h.store.setDown(false)
}

// killDuration is how long the store stays down while an instance is killed.
const killDuration = 100 * time.Millisecond

// The owner's process is killed. An instance that knows this removes the claim, and the next owner
// must lead long before the claim would have expired.
func TestAClaimOfADeadProcessIsRemoved(t *testing.T) {
	withHarness(t, func(h *harness) {
		a := h.startInstance("a")
		h.sleep(500 * time.Millisecond)
		h.is.Equal(h.leader(), "a")
		b := h.startInstance("b")
		h.sleep(500 * time.Millisecond)
		h.kill("a")
		claim := *b.Claim()
		begun := time.Now()
		b.RevokeClaim(claim, "test")
		h.sleep(300 * time.Millisecond)
		h.is.True(b.leading.Load() != nil)
		h.is.Equal(b.Claim().Epoch, claim.Epoch+1)
		h.is.True(time.Since(begun) < a.opts.LeaseTTL/2)
		b.RevokeClaim(claim, "too late") // the claim has a new owner by now
		h.sleep(300 * time.Millisecond)
		h.is.Equal(b.Claim().Epoch, claim.Epoch+1)
	}, "w1")
}

// The owner's process is killed and restarted at once. The new process must remove the claim of the
// former one.
func TestANewProcessRemovesTheClaimOfItsFormerOne(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstance("a")
		h.sleep(500 * time.Millisecond)
		h.kill("a")
		again := h.startInstance("a")
		h.sleep(300 * time.Millisecond)
		h.is.True(again.leading.Load() != nil)
		h.is.Equal(again.Claim().Epoch, int64(2))
	}, "w1")
}

// All instances are restarted and nobody holds the claim before an instance has the configuration.
// Nobody may lead until then, since jobs cannot be validated or placed without it.
func TestNobodyLeadsWithoutAConfiguration(t *testing.T) {
	withHarness(t, func(h *harness) {
		var configured atomic.Bool
		o := New(Options{Instance: "a", BootClock: h.bootClock, Address: "a", LeaseTTL: 1200 * time.Millisecond, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second},
			h.store, h.workers, fakeRegistry{}, func() batch.Config {
				if configured.Load() {
					return testConfig()
				}
				return batch.Config{}
			}, zerolog.Nop())
		go o.Run(h.ctx)
		h.sleep(2 * time.Second)
		h.is.True(o.leading.Load() == nil)
		configured.Store(true)
		h.sleep(200 * time.Millisecond)
		h.is.True(o.leading.Load() != nil)
	}, "w1")
}

// Between machines of equal speed, the ownership must not move.
func TestEqualMachinesDoNotAskForTheClaim(t *testing.T) {
	withHarness(t, func(h *harness) {
		for i := range 4 {
			h.startInstanceWithSpeed(fmt.Sprintf("i%d", i), 0.4)
		}
		h.sleep(5 * time.Second)
		h.is.Equal(h.owners["i0"].Claim().Epoch, int64(1))
	}, "w1")
}

func TestOnlyOneInstanceLeads(t *testing.T) {
	withHarness(t, func(h *harness) {
		for i := range 5 {
			h.startInstance(fmt.Sprintf("i%d", i))
		}
		h.sleep(time.Second)
		leaders := 0
		for _, o := range h.owners {
			if o.leading.Load() != nil {
				leaders++
			}
			h.is.Equal(o.Claim().Epoch, int64(1))
		}
		h.is.Equal(leaders, 1)
	}, "w1")
}

// The owner is killed while tasks run. Its successor must neither lose nor repeat a task.
func TestTakeOverAfterAKill(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstance("a")
		h.sleep(time.Second)
		h.submit("j", tasks(4))
		h.sleep(500 * time.Millisecond)
		h.startInstance("b")
		h.kill("a")
		h.sleep(4 * time.Second)
		h.is.Equal(h.owners["b"].Claim().Epoch, int64(2))
		h.is.Equal(h.storedStatus("j"), batch.Completed)
		h.requireStartedOnce("j", 1, 4)
	}, "w1", "w2")
}

// After a planned stop, another instance must take over at once.
func TestResignHandsOver(t *testing.T) {
	withHarness(t, func(h *harness) {
		a := h.startInstance("a")
		h.sleep(time.Second)
		b := h.startInstance("b")
		h.sleep(time.Second)
		a.Resign()
		h.sleep(300 * time.Millisecond)
		h.is.True(b.leading.Load() != nil)
		h.is.True(a.leading.Load() == nil)
		h.submit("j", tasks(2))
		h.sleep(3 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Completed)
	}, "w1")
}

// Transactions are executed but their answers are lost. The retries must be recognised as already
// executed.
func TestLostAnswersOfTheStore(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstance("a")
		h.sleep(time.Second)
		h.store.mu.Lock()
		h.store.lostAnswers = 5
		h.store.mu.Unlock()
		h.submit("j", tasks(3))
		h.sleep(5 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Completed)
		h.requireStartedOnce("j", 1, 3)
		h.is.Equal(h.owners["a"].Claim().Epoch, int64(1)) // it has led without interruption
	}, "w1")
}

// While the store is down, leases must still be renewed, and no ended attempt may be acknowledged
// before its record is durable.
func TestStoreOutage(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstance("a")
		h.sleep(time.Second)
		h.submit("j", tasks(3))
		h.sleep(300 * time.Millisecond)
		h.store.setDown(true)
		h.sleep(8 * time.Second)
		h.workers.mu.Lock()
		listed := len(h.workers.workers["w1"].ended)
		h.workers.mu.Unlock()
		h.is.Equal(listed, 3) // all done, none ended by its lease, and still reported
		h.store.setDown(false)
		h.sleep(3 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Completed)
		h.requireStartedOnce("j", 1, 3)
	}, "w1")
}

// A worker with a running task becomes unreachable. The task may be started elsewhere only after
// the worker's lease has ended.
func TestDarkWorker(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstance("a")
		h.sleep(time.Second)
		h.submit("j", tasks(1))
		h.sleep(400 * time.Millisecond)
		var unreachable batch.WorkerID
		h.workers.mu.Lock()
		for id, n := range h.workers.workers {
			if len(n.running) > 0 {
				unreachable = id
			}
		}
		h.workers.unreachable[unreachable] = true
		h.workers.mu.Unlock()
		key := batch.TaskID{Job: "j"}
		h.sleep(5 * time.Second)
		h.is.Equal(h.workers.starts(key), 1)
		h.sleep(6 * time.Second)
		h.is.Equal(h.workers.starts(key), 2)
		h.is.Equal(h.storedStatus("j"), batch.Completed)
	}, "w1", "w2")
}

// A worker entry that cannot be decoded must be ignored and must not disturb other workers.
func TestUnreadableWorker(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.store.set("w/bad", []byte("{"))
		h.startInstance("a")
		h.submit("j", tasks(1))
		h.sleep(3 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Completed)
	}, "w1")
}

// A job that ended longer ago than the retention time must be dropped, and its keys must be removed
// from the store.
func TestOldJobsAreRemoved(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstance("a")
		h.submit("j", tasks(1))
		h.sleep(10 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Completed)
		h.sleep(30 * time.Second)
		h.store.mu.Lock()
		defer h.store.mu.Unlock()
		for _, key := range []string{JobKey("j"), RecordKey("j")} {
			_, ok := h.store.items[key]
			h.is.True(!ok) // removed
		}
	}, "w1")
}

func TestCancellationInTheStoreStopsTheJob(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.startInstance("a")
		h.sleep(time.Second)
		h.submit("j", tasks(2))
		h.sleep(300 * time.Millisecond)
		h.store.set(CancelKey("j"), nil)
		h.sleep(2 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Cancelled)
		h.workers.mu.Lock()
		defer h.workers.mu.Unlock()
		h.is.Equal(len(h.workers.workers["w1"].running), 0)
	}, "w1")
}
