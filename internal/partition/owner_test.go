package partition_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// fixture holds one partition, its workers and fakes of the other systems that its owner uses.
type fixture struct {
	t         *testing.T
	store     *fakeStore
	workers   fakeWorkers
	config    *fakeConfigSource
	inventory []model.Worker
	// transfers says that another partition has room; offers receives the jobs transferred to it.
	transfers bool
	offers    chan ledger.Transfer
}

// document returns a configuration with one data centre, in or out of service.
func document(out bool) *config.Document {
	return &config.Document{
		Operators: config.Operators{
			DataCentres: []config.DataCentre{{Name: "kochi", Out: out}},
			Racks:       []config.RackBinding{{Name: "r1", DataCentre: "kochi"}},
			Partitions:  1,
			Weights:     config.Weights{TailLatency: 1, Throughput: 1, Evictions: 1},
		},
		Teams: map[model.Team]config.TeamSection{
			"reports": {Team: "reports", Quota: config.Quota{Resources: model.Resources{MilliCPU: 100_000, MemoryMB: 100_000}}},
		},
	}
}

// newFixture returns a fixture with one worker for each address.
func newFixture(t *testing.T, addrs ...string) *fixture {
	s := &fixture{
		t:       t,
		store:   newFakeStore(),
		workers: fakeWorkers{},
		config:  &fakeConfigSource{doc: document(false)},
		offers:  make(chan ledger.Transfer, 10),
	}
	for _, addr := range addrs {
		s.workers[addr] = newFakeWorker()
		s.inventory = append(s.inventory, model.Worker{
			ID:         model.WorkerID(addr),
			Addr:       addr,
			DataCentre: "kochi",
			Rack:       "r1",
			Capacity:   model.Resources{MilliCPU: 4000, MemoryMB: 4000},
		})
	}
	return s
}

// runningOwner is an owner that runs until stop is called.
type runningOwner struct {
	*partition.Owner
	t    *testing.T
	stop func()
	done chan error
}

// startOwner takes the partition over as instance id and starts to run its owner.
func (s *fixture) startOwner(id model.InstanceID) *runningOwner {
	s.t.Helper()
	owner, l, err := partition.Open(s.t.Context(), partition.Config{
		Self:         id,
		Workers:      s.workers,
		ConfigSource: s.config,
		Clock:        platform.SystemClock{},
		Log:          zerolog.Nop(),
		Policy:       schedule.New(1, s.config.doc.Operators.Weights),
		Timing:       partition.DefaultTiming(),
		WriteLimiter: partition.NewWriteLimiter(platform.SystemClock{}, 100),
		Destination: func(model.JobSpec, model.Partition) (model.Partition, bool) {
			return 1, s.transfers
		},
		OfferTransfer: func(_ context.Context, _ model.Partition, t ledger.Transfer) error {
			s.offers <- t
			return nil
		},
	}, s.store, journal.Config{Owner: id})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(s.t.Context())
	r := &runningOwner{Owner: owner, t: s.t, stop: stop, done: make(chan error, 1)}
	go func() { r.done <- owner.Run(ctx, l) }()
	owner.SetWorkers(s.inventory)
	return r
}

// runWithOwner runs test in synthetic time with an owner of a partition that has one worker for
// each address.
func runWithOwner(t *testing.T, test func(is *is.I, s *fixture, o *runningOwner), addrs ...string) {
	t.Helper()
	bubbletest.Run(t, func(t *testing.T) {
		s := newFixture(t, addrs...)
		o := s.startOwner("i1")
		defer o.stop()
		test(is.New(t), s, o)
	})
}

// job returns a job that needs half of a worker's processor time.
func job(id model.JobID) model.JobSpec {
	return model.JobSpec{ID: id, Team: "reports", Class: "report", Declared: model.Resources{MilliCPU: 2000, MemoryMB: 1000}}
}

// firstAttempt returns the id of the first attempt of a job.
func firstAttempt(id model.JobID) model.AttemptID { return model.AttemptID{Job: id, Number: 1} }

// submit submits a job and waits up to one minute for the reply.
func (r *runningOwner) submit(id model.JobID) error {
	ctx, cancel := context.WithTimeout(r.t.Context(), time.Minute)
	defer cancel()
	_, err := r.Submit(ctx, job(id))
	return err
}

// state returns the status of a job.
func (r *runningOwner) state(id model.JobID) ledger.JobStatus {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), time.Minute)
	defer cancel()
	view, err := r.Job(ctx, id)
	if err != nil {
		r.t.Fatal(err)
	}
	return view.Status
}

func TestJobIsStartedAndFinishes(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
		is.NoErr(o.submit("reports/a"))
		time.Sleep(5 * time.Second)
		is.Equal(s.workers["w1"].startCount(firstAttempt("reports/a")), 1)
		s.workers["w1"].end(firstAttempt("reports/a"), model.AttemptSucceeded)
		time.Sleep(5 * time.Second)
		is.Equal(o.state("reports/a").State, model.JobFinished)
	}, "w1")
}

func TestNothingStartsBeforeItsRecordIsDurable(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
		time.Sleep(2 * time.Second)
		s.store.setDown(true)
		ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
		defer cancel()
		_, err := o.Submit(ctx, job("reports/a"))
		is.Equal(verdict.Of(err), verdict.MayHaveRun) // the write may have been applied
		is.Equal(s.workers["w1"].executing(), 0)
		s.store.setDown(false)
		time.Sleep(5 * time.Second)
		is.Equal(s.workers["w1"].executing(), 1) // the job was accepted although its caller gave up
	}, "w1")
}

// A caller may give up while the loop executes its command. The race detector reports it if the
// loop writes the returned value while the caller reads it.
func TestCallersMayCancelWhileTheLoopExecutes(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
		for i := range 300 {
			ctx, cancel := context.WithCancel(s.t.Context())
			go cancel()
			id := model.JobID(fmt.Sprintf("reports/%d", i))
			status, err := o.Submit(ctx, job(id))
			if err == nil {
				is.Equal(status.Spec.ID, id) // a reply without an error is complete
			} else {
				is.True(verdict.Of(err) == verdict.NotRun || verdict.Of(err) == verdict.MayHaveRun)
			}
			_, found, err := o.LookupClaim(ctx, "key")
			is.True(err != nil || !found)
		}
	}, "w1")
}

func TestAttemptsContinueDuringAStoreOutage(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
		is.NoErr(o.submit("reports/a"))
		time.Sleep(5 * time.Second)
		s.store.setDown(true)
		time.Sleep(5 * time.Minute)
		is.Equal(s.workers["w1"].executing(), 1) // its lease is renewed without the store
		view, err := o.Job(s.t.Context(), "reports/a")
		is.NoErr(err)
		is.True(view.Durable) // nothing has changed since the last append
		s.workers["w1"].end(firstAttempt("reports/a"), model.AttemptSucceeded)
		time.Sleep(5 * time.Second)
		view, err = o.Job(s.t.Context(), "reports/a")
		is.NoErr(err)
		is.Equal(view.Status.State, model.JobFinished)
		is.True(!view.Durable) // the end could not be written
		s.store.setDown(false)
	}, "w1")
}

func TestNothingStartsInADataCentreTakenOut(t *testing.T) {
	cases := []struct {
		name   string
		change func(d *fakeConfigSource)
	}{
		{"the newest document takes it out", func(d *fakeConfigSource) { d.next = document(true) }},
		{"the configuration cannot be confirmed", func(d *fakeConfigSource) { d.err = errors.New("store is down") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
				time.Sleep(2 * time.Second)
				// The owner still plans with the old document. Only the read before the start finds
				// the change.
				c.change(s.config)
				is.NoErr(o.submit("reports/a"))
				time.Sleep(10 * time.Second)
				is.Equal(s.workers["w1"].startCount(firstAttempt("reports/a")), 0)
				is.Equal(s.workers["w1"].executing(), 0)
			}, "w1")
		})
	}
}

func TestLostStartAnswer(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(w *fakeWorker)
		repair  func(w *fakeWorker)
		attempt uint32
	}{
		{
			"a start that was accepted is found in the worker's list",
			func(w *fakeWorker) { w.loseStartAnswer = true },
			func(w *fakeWorker) { w.loseStartAnswer = false },
			1,
		},
		{
			"a start that never arrived is missing from the worker's list and the job is started again",
			func(w *fakeWorker) { w.dropStart = true },
			func(w *fakeWorker) { w.dropStart = false },
			2,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
				time.Sleep(2 * time.Second)
				w := s.workers["w1"]
				w.setFaults(c.fault)
				is.NoErr(o.submit("reports/a"))
				time.Sleep(time.Second)
				w.setFaults(c.repair)
				time.Sleep(20 * time.Second)
				is.Equal(w.executing(), 1)
				is.Equal(o.state("reports/a").Attempt, c.attempt)
				is.Equal(w.startCount(model.AttemptID{Job: "reports/a", Number: c.attempt}), 1)
			}, "w1")
		})
	}
}

func TestSilentWorkerKeepsItsAttemptsUntilTheLeaseHasLapsed(t *testing.T) {
	cases := []struct {
		name  string
		fault func(w *fakeWorker)
	}{
		{"renewals do not arrive", func(w *fakeWorker) { w.unreachable = true }},
		{"renewals arrive and their answers are lost", func(w *fakeWorker) { w.loseLeaseAnswer = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
				is.NoErr(o.submit("reports/a"))
				time.Sleep(5 * time.Second)
				silent, other := s.workers["w1"], s.workers["w2"]
				if silent.executing() == 0 {
					silent, other = other, silent
				}
				is.Equal(silent.executing(), 1)
				silent.setFaults(c.fault)
				for range 120 {
					time.Sleep(500 * time.Millisecond)
					is.True(silent.executing()+other.executing() <= 1) // never on both workers
				}
				is.Equal(other.executing(), 1) // resumed elsewhere
				is.Equal(o.state("reports/a").Attempt, uint32(2))
			}, "w1", "w2")
		})
	}
}

func TestRestartedWorkerLosesItsAttempts(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
		is.NoErr(o.submit("reports/a"))
		time.Sleep(5 * time.Second)
		s.workers["w1"].restart()
		time.Sleep(20 * time.Second)
		is.Equal(s.workers["w1"].executing(), 1)
		is.Equal(o.state("reports/a").Attempt, uint32(2))
	}, "w1")
}

func TestAttemptsOfARemovedWorkerAreQueuedAgain(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
		is.NoErr(o.submit("reports/a"))
		time.Sleep(5 * time.Second)
		o.SetWorkers([]model.Worker{})
		time.Sleep(time.Minute)
		is.Equal(s.workers["w1"].executing(), 0) // its lease was not renewed
		is.Equal(o.state("reports/a").State, model.JobQueued)
	}, "w1")
}

func TestDeposedOwnerStartsNothing(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, former *runningOwner) {
		is.NoErr(former.submit("reports/a"))
		time.Sleep(5 * time.Second)
		next := s.startOwner("i2")
		defer next.stop()
		err := former.submit("reports/b")
		is.Equal(verdict.Of(err), verdict.NotRun)
		var deposed *journal.DeposedError
		is.True(errors.As(<-former.done, &deposed))
		time.Sleep(20 * time.Second)
		is.Equal(next.state("reports/a").Attempt, uint32(1)) // the task went on under the new owner
		is.Equal(s.workers["w1"].executing(), 1)
		_, err = next.Job(s.t.Context(), "reports/b")
		is.True(err != nil) // what was said not to have run did not run
	}, "w1")
}

func TestIdleOwnerNoticesThatItWasDeposed(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, former *runningOwner) {
		time.Sleep(time.Second)
		next := s.startOwner("i2")
		defer next.stop()
		time.Sleep(10 * time.Second)
		select {
		case err := <-former.done:
			var deposed *journal.DeposedError
			is.True(errors.As(err, &deposed))
		default:
			s.t.Fatal("the former owner still runs")
		}
	})
}

func TestReleaseHandsEverythingOver(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, former *runningOwner) {
		is.NoErr(former.submit("reports/a"))
		time.Sleep(5 * time.Second)
		former.Release()
		is.NoErr(<-former.done)
		is.Equal(verdict.Of(former.submit("reports/b")), verdict.NotRun)
		next := s.startOwner("i2")
		defer next.stop()
		time.Sleep(5 * time.Second)
		is.Equal(next.state("reports/a").Attempt, uint32(1))
		is.Equal(s.workers["w1"].executing(), 1)
	}, "w1")
}

func TestSignalIsSentAgain(t *testing.T) {
	cases := []struct {
		name string
		// newOwner says that another owner takes over before a signal arrives.
		newOwner bool
	}{
		{"by the owner that recorded the cancellation", false},
		{"by the next owner", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
				is.NoErr(o.submit("reports/a"))
				time.Sleep(5 * time.Second)
				w := s.workers["w1"]
				w.setFaults(func(w *fakeWorker) { w.dropSignal = true })
				_, err := o.Cancel(s.t.Context(), "reports/a", "no longer wanted")
				is.NoErr(err)
				time.Sleep(time.Second)
				is.Equal(w.executing(), 1)
				if c.newOwner {
					o.stop()
					<-o.done
					o = s.startOwner("i2")
				}
				defer func() { o.stop() }()
				w.setFaults(func(w *fakeWorker) { w.dropSignal = false })
				time.Sleep(10 * time.Second)
				is.Equal(o.state("reports/a").State, model.JobCancelled)
				is.Equal(w.executing(), 0)
			}, "w1")
		})
	}
}

func TestSilentWorkerIsNotSignalledAgain(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
		is.NoErr(o.submit("reports/a"))
		time.Sleep(5 * time.Second)
		w := s.workers["w1"]
		w.setFaults(func(w *fakeWorker) { w.unreachable = true })
		time.Sleep(8 * time.Second)
		_, err := o.Cancel(s.t.Context(), "reports/a", "no longer wanted")
		is.NoErr(err)
		time.Sleep(8 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		is.Equal(w.signalCalls, 1) // only the first signal was sent
	}, "w1")
}

func TestJobWithoutRoomIsTransferred(t *testing.T) {
	cases := []struct {
		name     string
		addrs    []string
		priority model.Priority
		// after and within are the least and the longest time from the submission to the offer.
		after, within time.Duration
	}{
		{"at once if the partition has no worker", nil, model.PriorityBatch, 0, 700 * time.Millisecond},
		{"soon if the workers are full and the job is urgent", []string{"w1"}, model.PriorityUrgent, 0, 1400 * time.Millisecond},
		{"after a wait if the workers are full", []string{"w1"}, model.PriorityBatch, 2 * time.Second, 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithOwner(t, func(is *is.I, s *fixture, o *runningOwner) {
				s.transfers = true
				if len(s.inventory) > 0 {
					service := job("reports/a")
					service.Priority = model.PriorityService // it is not evicted for batch work
					_, err := o.Submit(s.t.Context(), service)
					is.NoErr(err)
					time.Sleep(5 * time.Second)
					is.Equal(s.workers["w1"].executing(), 1)
				}
				spec := job("reports/c")
				spec.Priority = c.priority
				spec.Declared.MilliCPU = 4000 // a whole worker, of which half is taken
				submitted := time.Now()
				_, err := o.Submit(s.t.Context(), spec)
				is.NoErr(err)
				select {
				case offer := <-s.offers:
					is.Equal(offer.Spec.ID, model.JobID("reports/c"))
				case <-time.After(time.Minute):
					s.t.Fatal("the job was not offered")
				}
				is.True(time.Since(submitted) >= c.after)
				is.True(time.Since(submitted) <= c.within)
			}, c.addrs...)
		})
	}
}

func TestWriteLimiterServesInOrder(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		b := partition.NewWriteLimiter(platform.SystemClock{}, 10)
		start := time.Now()
		var last time.Time
		for range 20 {
			at := b.Reserve()
			is.True(at.After(last)) // each token is spent after the one before it
			last = at
		}
		is.Equal(last.Sub(start), 19*100*time.Millisecond-500*time.Millisecond)
	})
}
