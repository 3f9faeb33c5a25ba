package fleet

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// testStart is the arbitrary time 0 of tests without a real clock.
var testStart = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// never is later than all other times.
var never = time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time a number of seconds after testStart.
func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// testWorker returns a worker with two cores, on which epoch 5 holds a lease until 10 s.
func testWorker(t *testing.T) *Worker {
	t.Helper()
	w := newWorker(model.Worker{ID: "w1", Capacity: model.Resources{MilliCPU: 2000, MemoryMB: 1000}}, newExecutionLog())
	_, err := w.Lease(at(0), platform.LeaseRequest{Epoch: 5, TTL: 10 * time.Second, NotAfter: never})
	is.New(t).NoErr(err)
	return w
}

// start returns a request to start one attempt of a job that takes ten seconds of CPU time.
func start(epoch model.Epoch, job string, number uint32, notAfter time.Time) platform.StartRequest {
	return platform.StartRequest{Epoch: epoch, Attempts: []platform.StartAttempt{{
		Attempt:     model.AttemptID{Job: model.JobID(job), Number: number},
		Reservation: model.Resources{MilliCPU: 1000, MemoryMB: 400},
		NotAfter:    notAfter,
		DeclaredRun: 10 * time.Second,
	}}}
}

func TestWorkerDecidesOnStarts(t *testing.T) {
	tests := []struct {
		sentence string
		now      time.Time
		request  platform.StartRequest
		accepted bool
		stale    bool
	}{
		{"A start under the current lease is accepted.", at(1), start(5, "a", 1, at(3)), true, false},
		{"A start of a deposed owner is stale.", at(1), start(4, "a", 1, at(3)), false, true},
		{"A start of an owner without a lease is refused.", at(1), start(6, "a", 1, at(3)), false, false},
		{"A start after its not-after time is refused.", at(3), start(5, "a", 1, at(3)), false, false},
		{"A start without a not-after time is refused.", at(3), start(5, "a", 1, time.Time{}), false, false},
		{"A start after the lease has lapsed is refused.", at(10), start(5, "a", 1, at(12)), false, false},
	}
	for _, tt := range tests {
		t.Run(tt.sentence, func(t *testing.T) {
			is := is.New(t)
			w := testWorker(t)
			reply, err := w.Start(tt.now, tt.request)
			var stale *platform.StaleEpochError
			is.Equal(errors.As(err, &stale), tt.stale)
			if !tt.stale {
				is.Equal(reply.Results[0].Accepted, tt.accepted)
			}
			is.Equal(w.log.Counts().Starts == 1, tt.accepted)
		})
	}
}

func TestWorkerExecutesAnAttemptOnce(t *testing.T) {
	is := is.New(t)
	w := testWorker(t)
	first, err := w.Start(at(1), start(5, "a", 1, at(3)))
	is.NoErr(err)
	second, err := w.Start(at(2), start(5, "a", 1, at(3)))
	is.NoErr(err)
	is.Equal(first, second) // the answer is repeated
	is.Equal(w.log.Counts().Starts, 1)
}

func TestWorkerKeepsRefusingARefusedStart(t *testing.T) {
	is := is.New(t)
	w := testWorker(t)
	_, err := w.Start(at(11), start(5, "a", 1, at(20))) // the lease has lapsed
	is.NoErr(err)
	_, err = w.Lease(at(12), platform.LeaseRequest{Epoch: 5, TTL: 10 * time.Second, NotAfter: never})
	is.NoErr(err)
	reply, err := w.Start(at(13), start(5, "a", 1, at(20))) // a delayed copy
	is.NoErr(err)
	is.True(!reply.Results[0].Accepted)
	is.Equal(w.log.Counts().Starts, 0)
}

func TestWorkerLosesAttemptsWhenTheLeaseLapses(t *testing.T) {
	is := is.New(t)
	w := testWorker(t)
	_, err := w.Start(at(1), start(5, "a", 1, at(3)))
	is.NoErr(err)
	w.step(at(10))
	reply, err := w.Lease(at(11), platform.LeaseRequest{Epoch: 6, TTL: 10 * time.Second, NotAfter: never, All: true})
	is.NoErr(err)
	is.Equal(len(reply.Reports), 1)
	is.Equal(reply.Reports[0].State, model.AttemptLost)
	// The report is repeated until its sequence number is acknowledged.
	reply, err = w.Lease(at(12), platform.LeaseRequest{Epoch: 6, TTL: 10 * time.Second, NotAfter: never})
	is.NoErr(err)
	is.Equal(len(reply.Reports), 1)
	reply, err = w.Lease(at(13), platform.LeaseRequest{Epoch: 6, TTL: 10 * time.Second, NotAfter: never, Acknowledged: reply.Reports[0].Sequence})
	is.NoErr(err)
	is.Equal(len(reply.Reports), 0)
}

func TestDelayedLeaseRequestDoesNotExtendTheLease(t *testing.T) {
	is := is.New(t)
	w := testWorker(t)
	_, err := w.Lease(at(5), platform.LeaseRequest{Epoch: 5, TTL: 10 * time.Second, NotAfter: at(5)})
	is.Equal(err, errNotAfterPassed)
	is.True(!w.leaseValidLocked(0, at(10)))
}

func TestRestartedWorkerHasANewIncarnation(t *testing.T) {
	is := is.New(t)
	w := testWorker(t)
	lease := platform.LeaseRequest{Epoch: 5, TTL: 10 * time.Second, NotAfter: never, All: true}
	before, err := w.Lease(at(1), lease)
	is.NoErr(err)
	w.SetMode(at(2), WorkerDead)
	w.SetMode(at(3), WorkerHealthy)
	after, err := w.Lease(at(4), lease)
	is.NoErr(err)
	is.True(before.Incarnation != after.Incarnation)
	is.True(after.Complete)
}

func TestCheckpointCarriesProgressToTheNextAttempt(t *testing.T) {
	is := is.New(t)
	w := testWorker(t)
	_, err := w.Start(at(0), start(5, "a", 1, at(3)))
	is.NoErr(err)
	id := model.AttemptID{Job: "a", Number: 1}
	is.NoErr(w.Signal(at(0), platform.SignalRequest{Epoch: 5, Attempt: id, Kind: platform.SignalThrottle, Share: 0.5}))
	is.NoErr(w.Signal(at(4), platform.SignalRequest{Epoch: 5, Attempt: id, Kind: platform.SignalCheckpoint}))
	reply, err := w.Lease(at(5), platform.LeaseRequest{Epoch: 5, TTL: 10 * time.Second, NotAfter: never})
	is.NoErr(err)
	is.Equal(reply.Reports[0].State, model.AttemptCheckpointed)
	is.Equal(reply.Reports[0].Progress, 0.2) // 4 s of 10 s at half speed
	next := start(5, "a", 2, at(9))
	next.Attempts[0].Checkpoint = reply.Reports[0].Checkpoint
	_, err = w.Start(at(6), next)
	is.NoErr(err)
	reply, err = w.Lease(at(13.9), platform.LeaseRequest{Epoch: 5, TTL: 10 * time.Second, NotAfter: never, All: true})
	is.NoErr(err)
	is.Equal(reply.Reports[1].State, model.AttemptRunning)
	reply, err = w.Lease(at(14), platform.LeaseRequest{Epoch: 5, TTL: 10 * time.Second, NotAfter: never, All: true})
	is.NoErr(err)
	is.Equal(reply.Reports[1].State, model.AttemptSucceeded)
	is.Equal(len(w.log.Violations()), 0)
}

func TestExecutionLogDetectsViolatedGuarantees(t *testing.T) {
	tests := []struct {
		sentence string
		requests []platform.StartRequest
		kind     string
	}{
		{"Three reservations of one core exceed a capacity of two.",
			[]platform.StartRequest{start(5, "a", 1, at(3)), start(5, "b", 1, at(3)), start(5, "c", 1, at(3))}, ViolationCapacity},
		{"Two attempts of a job execute at once.",
			[]platform.StartRequest{start(5, "a", 1, at(3)), start(5, "a", 2, at(3))}, ViolationOverlap},
		{"A resumed attempt names a checkpoint that was never saved.",
			[]platform.StartRequest{{Epoch: 5, Attempts: []platform.StartAttempt{{
				Attempt: model.AttemptID{Job: "a", Number: 2}, Checkpoint: "x", NotAfter: at(3),
			}}}}, ViolationCheckpoint},
	}
	for _, tt := range tests {
		t.Run(tt.sentence, func(t *testing.T) {
			is := is.New(t)
			w := testWorker(t)
			for _, r := range tt.requests {
				_, err := w.Start(at(1), r)
				is.NoErr(err)
			}
			is.Equal(w.log.Counts().Violations, map[string]int{tt.kind: 1})
		})
	}
}

func TestExecutionLogDetectsAttemptOnTwoWorkers(t *testing.T) {
	is := is.New(t)
	log := newExecutionLog()
	for _, id := range []model.WorkerID{"w1", "w2"} {
		w := newWorker(model.Worker{ID: id, Capacity: model.Resources{MilliCPU: 9000, MemoryMB: 9000}}, log)
		_, err := w.Lease(at(0), platform.LeaseRequest{Epoch: 1, TTL: 10 * time.Second, NotAfter: never})
		is.NoErr(err)
		_, err = w.Start(at(1), start(1, "a", 1, at(3)))
		is.NoErr(err)
	}
	is.Equal(log.Counts().Violations, map[string]int{ViolationAttemptTwice: 1, ViolationOverlap: 1})
}

// listenFleet starts a small fleet on the loopback interface.
func listenFleet(t *testing.T) *Fleet {
	t.Helper()
	f := New(Spec{
		Deployment: "nilewave",
		Racks: []Rack{
			{Name: "a-1", DataCentre: "a", Workers: 2, Targets: 1},
			{Name: "b-1", DataCentre: "b", Workers: 2, Targets: 1},
		},
		Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 8000}, Slots: 2, Connections: 8,
	})
	is.New(t).NoErr(f.Listen(t.Context()))
	return f
}

func TestWorkerClientReportsWhetherACallMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := listenFleet(t)
	c := platform.NewWorkerClient(2 * time.Second)
	ctx := t.Context()
	w := f.workers[0]
	addr := w.Model.Addr
	_, err := c.Lease(ctx, addr, platform.LeaseRequest{Epoch: 3, TTL: 10 * time.Second, NotAfter: never})
	is.NoErr(err)
	_, err = c.Lease(ctx, addr, platform.LeaseRequest{Epoch: 2, TTL: 10 * time.Second, NotAfter: never})
	var stale *platform.StaleEpochError
	is.True(errors.As(err, &stale))
	is.Equal(stale.Seen, model.Epoch(3))
	is.Equal(verdict.Of(err), verdict.NotRun)

	soon := time.Now().Add(10 * time.Second)
	reply, err := c.Start(ctx, addr, start(3, "a", 1, soon))
	is.NoErr(err)
	is.True(reply.Results[0].Accepted)
	w.SetMode(time.Now(), WorkerLoseAnswers)
	_, err = c.Start(ctx, addr, start(3, "b", 1, soon))
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(f.log.Counts().Starts, 2) // the attempt started although the answer was lost
	_, err = c.Start(ctx, "127.0.0.1:1", start(3, "b", 1, soon))
	is.Equal(verdict.Of(err), verdict.NotRun) // nothing listens there
}

func TestInventoryListsWorkersAndTargets(t *testing.T) {
	is := is.New(t)
	f := listenFleet(t)
	f.spec.Lag = 2 * time.Second
	f.setTargets(at(0), TargetFault{Target: "a-1-t01", Leaving: true})
	f.setWorkers(at(0), WorkerFault{Worker: "b-1-w01", Mode: WorkerDead})
	is.Equal(len(f.Workers(at(1))), 4)
	is.True(!f.Targets(at(1))[0].Leaving) // the inventory lags by 2 s
	is.Equal(len(f.Workers(at(2))), 3)
	is.True(f.Targets(at(2))[0].Leaving)
}

func TestLeaseReplySurvivesJSON(t *testing.T) {
	is := is.New(t)
	in := platform.LeaseReply{Epoch: 1, Reports: []platform.AttemptReport{{Sequence: 7, State: model.AttemptCheckpointed}}}
	data, err := json.Marshal(in)
	is.NoErr(err)
	var out platform.LeaseReply
	is.NoErr(json.Unmarshal(data, &out))
	is.Equal(out, in)
}
