package owner

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// stage is a store, workers and instances under synthetic time.
type stage struct {
	t       *testing.T
	is      *is.I
	ctx     context.Context
	store   *memoryStore
	workers *fakeWorkers
	stops   map[string]context.CancelFunc
	owners  map[string]*Owner
}

// onStage runs a test with the named workers under synthetic time.
func onStage(t *testing.T, test func(s *stage), workers ...batch.WorkerID) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &stage{
			t: t, is: is.New(t), ctx: ctx, store: newMemoryStore(), workers: newFakeWorkers(workers...),
			stops: map[string]context.CancelFunc{}, owners: map[string]*Owner{},
		}
		for _, id := range workers {
			s.store.set("w/"+string(id), []byte("ok"))
		}
		defer func() {
			cancel()
			pause.For(context.Background(), 10*time.Second) // calls under way end
		}()
		test(s)
	})
}

func testConfig() batch.Config {
	return batch.Config{Version: 1, Queues: map[string]batch.Queue{"q": {Service: "svc", MaxAttempts: 3, Stretch: 2, Slack: time.Second}}}
}

// instance starts an instance that takes part in campaigns.
func (s *stage) instance(name string) *Owner {
	ctx, cancel := context.WithCancel(s.ctx)
	o := New(Options{Instance: name, Address: name, LeaseTTL: 1200 * time.Millisecond, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second},
		s.store, s.workers, fakeRegistry{}, testConfig, zerolog.Nop())
	s.stops[name], s.owners[name] = cancel, o
	go o.Run(ctx)
	return o
}

// submit stores a job as an instance does.
func (s *stage) submit(id string, steps ...batch.Step) {
	v := Submission{Queue: "q", QueueConfig: batch.Queue{Service: "svc", MaxAttempts: 3}, Accepted: time.Now(), Spec: batch.Spec{Payload: "p", Steps: steps}}
	s.store.set(JobKey(id), EncodeSubmission(v))
}

func tasks(count int) batch.Step {
	return batch.Step{Count: count, Resources: batch.Resources{CPU: 1000, MemoryMB: 100}, Estimate: time.Second}
}

// after lets time pass.
func (s *stage) after(d time.Duration) {
	pause.For(s.ctx, d)
	synctest.Wait()
}

// stored returns the outcome that the store has of a job.
func (s *stage) stored(id string) batch.JobStatus {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	r, err := DecodeRecord(s.store.items[RecordKey(id)].Value)
	s.is.NoErr(err)
	return r.Status
}

// startedOnce checks that each task of a job was started once.
func (s *stage) startedOnce(id string, steps, count int) {
	s.t.Helper()
	for step := range steps {
		for i := range count {
			key := batch.TaskID{Job: id, Step: step, Index: i}
			if n := s.workers.starts(key); n != 1 {
				s.t.Errorf("task %d of step %d was started %d times", i, step, n)
			}
		}
	}
}

func TestJobIsExecutedOnce(t *testing.T) {
	onStage(t, func(s *stage) {
		s.instance("a")
		s.instance("b")
		second := tasks(3)
		second.After = []int{0}
		s.submit("j", tasks(3), second)
		s.after(5 * time.Second)
		s.is.Equal(s.stored("j"), batch.Completed)
		s.startedOnce("j", 2, 3)
	}, "w1", "w2")
}

// machine starts an instance on a machine of the given speed.
func (s *stage) machine(name string, speed float64) *Owner {
	ctx, cancel := context.WithCancel(s.ctx)
	o := New(Options{
		Instance: name, Address: name, LeaseTTL: 1200 * time.Millisecond, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second, Speed: speed,
		AskToYield: func(ctx context.Context, c Claim) error {
			if !s.owners[c.Address].Yield(ctx, c.Epoch, speed) {
				return errLost
			}
			return nil
		},
	}, s.store, s.workers, fakeRegistry{}, testConfig, zerolog.Nop())
	s.stops[name], s.owners[name] = cancel, o
	go o.Run(ctx)
	return o
}

// leader returns the name of the instance that leads; empty is none.
func (s *stage) leader() string {
	for name, o := range s.owners {
		if o.leading.Load() != nil {
			return name
		}
	}
	return ""
}

// Pattern: machines of different speeds. The owner ends up on a fast one, also after a kill,
// and running tasks are not disturbed.
func TestAFastMachineLeads(t *testing.T) {
	onStage(t, func(s *stage) {
		s.machine("slow1", 0.2)
		s.after(500 * time.Millisecond)
		s.is.Equal(s.leader(), "slow1")
		s.submit("j", tasks(4))
		s.after(200 * time.Millisecond)
		s.machine("fast1", 0.8)
		s.machine("slow2", 0.2)
		s.after(2 * time.Second)
		s.is.Equal(s.leader(), "fast1")
		s.startedOnce("j", 1, 4)
		s.machine("fast2", 0.8)
		s.after(time.Second)
		s.stops["fast1"]()
		s.owners["fast1"].Resign()
		s.after(time.Second)
		s.is.Equal(s.leader(), "fast2")
		s.is.Equal(s.owners["fast2"].Claim().Epoch, int64(3)) // no slow machine led in between
		s.after(2 * time.Second)
		s.is.Equal(s.stored("j"), batch.Completed)
		s.startedOnce("j", 1, 4)
	}, "w1", "w2")
}

// kill ends an instance as SIGKILL does: it gives nothing back.
func (s *stage) kill(name string) {
	s.store.setDown(true)
	s.stops[name]()
	s.after(killTime)
	s.store.setDown(false)
}

// killTime is how long the calls of a killed instance find no store.
const killTime = 100 * time.Millisecond

// Pattern: the owner's process is killed. An instance that knows it for sure removes the claim,
// and the next owner leads long before the claim would have lapsed.
func TestAClaimOfADeadProcessIsRemoved(t *testing.T) {
	onStage(t, func(s *stage) {
		a := s.instance("a")
		s.after(500 * time.Millisecond)
		s.is.Equal(s.leader(), "a")
		b := s.instance("b")
		s.after(500 * time.Millisecond)
		s.kill("a")
		claim := *b.Claim()
		begun := time.Now()
		b.RevokeClaim(claim, "test")
		s.after(300 * time.Millisecond)
		s.is.True(b.leading.Load() != nil)
		s.is.Equal(b.Claim().Epoch, claim.Epoch+1)
		s.is.True(time.Since(begun) < a.opts.LeaseTTL/2)
		b.RevokeClaim(claim, "too late") // the claim is another one now
		s.after(300 * time.Millisecond)
		s.is.Equal(b.Claim().Epoch, claim.Epoch+1)
	}, "w1")
}

// Pattern: the owner's process is killed and starts again at once. It removes its former claim.
func TestANewProcessRemovesTheClaimOfItsFormerOne(t *testing.T) {
	onStage(t, func(s *stage) {
		s.instance("a")
		s.after(500 * time.Millisecond)
		s.kill("a")
		again := s.instance("a")
		s.after(300 * time.Millisecond)
		s.is.True(again.leading.Load() != nil)
		s.is.Equal(again.Claim().Epoch, int64(2))
	}, "w1")
}

// Pattern: all instances start anew and the claim is free before one knows the configuration.
// Nobody leads until then, since no job may be judged without it.
func TestNobodyLeadsWithoutAConfiguration(t *testing.T) {
	onStage(t, func(s *stage) {
		var known atomic.Bool
		o := New(Options{Instance: "a", Address: "a", LeaseTTL: 1200 * time.Millisecond, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second},
			s.store, s.workers, fakeRegistry{}, func() batch.Config {
				if known.Load() {
					return testConfig()
				}
				return batch.Config{}
			}, zerolog.Nop())
		go o.Run(s.ctx)
		s.after(2 * time.Second)
		s.is.True(o.leading.Load() == nil)
		known.Store(true)
		s.after(200 * time.Millisecond)
		s.is.True(o.leading.Load() != nil)
	}, "w1")
}

// Machines of one speed leave the owner where it is.
func TestEqualMachinesDoNotAskForTheClaim(t *testing.T) {
	onStage(t, func(s *stage) {
		for i := range 4 {
			s.machine(fmt.Sprintf("i%d", i), 0.4)
		}
		s.after(5 * time.Second)
		s.is.Equal(s.owners["i0"].Claim().Epoch, int64(1))
	}, "w1")
}

func TestOnlyOneInstanceLeads(t *testing.T) {
	onStage(t, func(s *stage) {
		for i := range 5 {
			s.instance(fmt.Sprintf("i%d", i))
		}
		s.after(time.Second)
		leaders := 0
		for _, o := range s.owners {
			if o.leading.Load() != nil {
				leaders++
			}
			s.is.Equal(o.Claim().Epoch, int64(1))
		}
		s.is.Equal(leaders, 1)
	}, "w1")
}

// Killed while tasks run: the successor neither loses nor repeats one.
func TestTakeOverAfterAKill(t *testing.T) {
	onStage(t, func(s *stage) {
		s.instance("a")
		s.after(time.Second)
		s.submit("j", tasks(4))
		s.after(500 * time.Millisecond)
		s.instance("b")
		s.kill("a")
		s.after(4 * time.Second)
		s.is.Equal(s.owners["b"].Claim().Epoch, int64(2))
		s.is.Equal(s.stored("j"), batch.Completed)
		s.startedOnce("j", 1, 4)
	}, "w1", "w2")
}

// A planned stop hands over at once.
func TestResignHandsOver(t *testing.T) {
	onStage(t, func(s *stage) {
		a := s.instance("a")
		s.after(time.Second)
		b := s.instance("b")
		s.after(time.Second)
		a.Resign()
		s.after(300 * time.Millisecond)
		s.is.True(b.leading.Load() != nil)
		s.is.True(a.leading.Load() == nil)
		s.submit("j", tasks(2))
		s.after(3 * time.Second)
		s.is.Equal(s.stored("j"), batch.Completed)
	}, "w1")
}

// Answers of transactions are lost: the retry is recognised as done.
func TestLostAnswersOfTheStore(t *testing.T) {
	onStage(t, func(s *stage) {
		s.instance("a")
		s.after(time.Second)
		s.store.mu.Lock()
		s.store.lose = 5
		s.store.mu.Unlock()
		s.submit("j", tasks(3))
		s.after(5 * time.Second)
		s.is.Equal(s.stored("j"), batch.Completed)
		s.startedOnce("j", 1, 3)
		s.is.Equal(s.owners["a"].Claim().Epoch, int64(1)) // it never stopped leading
	}, "w1")
}

// The store is away: leases are still renewed, and no end is acknowledged before it is stored.
func TestStoreOutage(t *testing.T) {
	onStage(t, func(s *stage) {
		s.instance("a")
		s.after(time.Second)
		s.submit("j", tasks(3))
		s.after(300 * time.Millisecond)
		s.store.setDown(true)
		s.after(8 * time.Second)
		s.workers.mu.Lock()
		listed := len(s.workers.nodes["w1"].ended)
		s.workers.mu.Unlock()
		s.is.Equal(listed, 3) // done, not lapsed and not forgotten
		s.store.setDown(false)
		s.after(3 * time.Second)
		s.is.Equal(s.stored("j"), batch.Completed)
		s.startedOnce("j", 1, 3)
	}, "w1")
}

// A worker goes dark with a task: it runs elsewhere only after its lease has ended.
func TestDarkWorker(t *testing.T) {
	onStage(t, func(s *stage) {
		s.instance("a")
		s.after(time.Second)
		s.submit("j", tasks(1))
		s.after(400 * time.Millisecond)
		var dark batch.WorkerID
		s.workers.mu.Lock()
		for id, n := range s.workers.nodes {
			if len(n.running) > 0 {
				dark = id
			}
		}
		s.workers.dark[dark] = true
		s.workers.mu.Unlock()
		key := batch.TaskID{Job: "j"}
		s.after(5 * time.Second)
		s.is.Equal(s.workers.starts(key), 1)
		s.after(6 * time.Second)
		s.is.Equal(s.workers.starts(key), 2)
		s.is.Equal(s.stored("j"), batch.Completed)
	}, "w1", "w2")
}

// An entry that cannot be read names no worker and harms nothing.
func TestUnreadableWorker(t *testing.T) {
	onStage(t, func(s *stage) {
		s.store.set("w/bad", []byte("{"))
		s.instance("a")
		s.submit("j", tasks(1))
		s.after(3 * time.Second)
		s.is.Equal(s.stored("j"), batch.Completed)
	}, "w1")
}

// A job that has been over for long is forgotten, and its keys are removed.
func TestOldJobsAreRemoved(t *testing.T) {
	onStage(t, func(s *stage) {
		s.instance("a")
		s.submit("j", tasks(1))
		s.after(10 * time.Second)
		s.is.Equal(s.stored("j"), batch.Completed)
		s.after(30 * time.Second)
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		for _, key := range []string{JobKey("j"), RecordKey("j")} {
			_, ok := s.store.items[key]
			s.is.True(!ok) // removed
		}
	}, "w1")
}

func TestCancellationInTheStoreStopsTheJob(t *testing.T) {
	onStage(t, func(s *stage) {
		s.instance("a")
		s.after(time.Second)
		s.submit("j", tasks(2))
		s.after(300 * time.Millisecond)
		s.store.set(CancelKey("j"), nil)
		s.after(2 * time.Second)
		s.is.Equal(s.stored("j"), batch.Cancelled)
		s.workers.mu.Lock()
		defer s.workers.mu.Unlock()
		s.is.Equal(len(s.workers.nodes["w1"].running), 0)
	}, "w1")
}
