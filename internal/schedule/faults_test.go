package schedule

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// end reports to the scheduler that an attempt ended after it ran for the given time.
func end(s *Scheduler, job model.JobID, number uint32, w model.WorkerID, state model.AttemptState, at time.Time, ran time.Duration, err string) {
	s.Ended(AttemptEnd{ID: model.AttemptID{Job: job, Number: number}, Worker: w, State: state, At: at, RunTime: ran, Error: err,
		Spec: model.JobSpec{ID: job, Team: "free", Class: "c", Declared: model.Resources{MilliCPU: 1000, MemoryMB: 1000}}})
}

// planFor returns the plan for the waiting jobs and the workers.
func planFor(s *Scheduler, at time.Time, workers []WorkerView, jobs ...QueuedJob) Plan {
	return s.Plan(&Snapshot{Now: at, Document: testDocument(), Workers: workers, Queue: jobs})
}

func TestWorkerThatFailsEverythingIsQuarantinedAndProbed(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	workers := []WorkerView{testWorker("w", "dc-a", "r")}
	end(s, "a", 1, "w", model.AttemptFailed, testStart, time.Second, "exec")
	is.Equal(len(planFor(s, testStart, workers, testJob("x", "free", 1000)).Placements), 1) // one failure does not quarantine the worker
	end(s, "x", 1, "w", model.AttemptFailed, testStart, time.Second, "exec")
	is.Equal(len(planFor(s, testStart, workers, testJob("y", "free", 1000)).Placements), 0)

	later := testStart.Add(minimumQuarantine)
	probe := planFor(s, later, workers, testJob("y", "free", 1000), testJob("z", "free", 1000))
	is.Equal(len(probe.Placements), 1) // one probe at a time
	is.True(strings.Contains(probe.Placements[0].Reason, "probe"))
	end(s, "y", 1, "w", model.AttemptFailed, later, time.Second, "exec")
	is.Equal(len(planFor(s, later.Add(minimumQuarantine), workers, testJob("z", "free", 1000)).Placements), 0) // the second quarantine is twice as long
	later = later.Add(2 * minimumQuarantine)
	is.Equal(len(planFor(s, later, workers, testJob("z", "free", 1000)).Placements), 1)
	end(s, "z", 1, "w", model.AttemptSucceeded, later, time.Minute, "")
	is.Equal(len(planFor(s, later, workers, testJob("u", "free", 1000), testJob("v", "free", 1000)).Placements), 2)
}

func TestUrgentJobIsNotUsedAsProbe(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	for _, job := range []model.JobID{"a", "b"} {
		end(s, job, 1, "w", model.AttemptFailed, testStart, time.Second, "exec")
	}
	urgent := testJob("u", "free", 1000)
	urgent.Spec.Priority = model.PriorityUrgent
	plan := planFor(s, testStart.Add(time.Hour), []WorkerView{testWorker("w", "dc-a", "r")}, urgent)
	is.Equal(len(plan.Placements), 0)
}

func TestJobThatFailsOnHealthyWorkersIsParked(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	at := testStart
	for i, w := range []model.WorkerID{"w1", "w2", "w3"} {
		is.Equal(len(planFor(s, at, nil, testJob("j", "free", 1000)).Parked), 0)
		end(s, "j", uint32(i+1), w, model.AttemptFailed, at, time.Second, "bad input")
	}
	plan := planFor(s, at, nil, testJob("j", "free", 1000))
	is.Equal(len(plan.Parked), 1)
	is.Equal(plan.Parked[0].Reason, "failed on 3 healthy workers, last on w3: bad input")
	for _, w := range []model.WorkerID{"w1", "w2", "w3"} {
		is.True(s.worker(w).health.suspicion < 0.01) // the failures count against the job only
	}
}

func TestFailuresOnAQuarantinedWorkerDoNotCountAgainstJobs(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	end(s, "a", 1, "bad", model.AttemptFailed, testStart, time.Second, "exec")
	end(s, "b", 1, "bad", model.AttemptFailed, testStart, time.Second, "exec")
	is.Equal(len(s.jobs["a"].failedOn), 0)
	is.Equal(len(s.jobs["b"].failedOn), 0)
}

func TestFailedJobAvoidsTheWorker(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	end(s, "j", 1, "w1", model.AttemptFailed, testStart, time.Second, "x")
	later := testStart.Add(firstBackoff)
	workers := []WorkerView{testWorker("w1", "dc-a", "r"), testWorker("w2", "dc-a", "r")}
	workers[0].Reserved = model.Resources{MilliCPU: 5000, MemoryMB: 5000}                   // w1 would have the lower cost
	is.Equal(len(planFor(s, testStart, workers, testJob("j", "free", 1000)).Placements), 0) // within the backoff
	plan := planFor(s, later, workers, testJob("j", "free", 1000))
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Worker, model.WorkerID("w2"))
}

// TestOutOfMemoryGrowsTheReservation: an attempt that ran out of memory increases the memory
// reserved for the next one, and counts neither against the worker nor against the job.
func TestOutOfMemoryGrowsTheReservation(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	view := testWorker("w", "dc-a", "r")
	job := testJob("j", "free", 1000)
	view.Attempts = []AttemptView{{ID: model.AttemptID{Job: "j", Number: 1}, Spec: job.Spec, Reservation: job.Spec.Declared, Started: testStart, Throttle: 1}}
	s.Observe(WorkerSamples{Worker: "w", Usage: []platform.UsageSample{{Attempt: model.AttemptID{Job: "j", Number: 1},
		From: testStart.Add(time.Second), To: testStart.Add(11 * time.Second), Used: model.Resources{MilliCPU: 1000, MemoryMB: 400}}}})
	planFor(s, testStart.Add(20*time.Second), []WorkerView{view})
	end(s, "j", 1, "w", model.AttemptFailed, testStart.Add(30*time.Second), 30*time.Second, "killed: out of memory")
	plan := planFor(s, testStart.Add(time.Minute), []WorkerView{testWorker("w", "dc-a", "r")}, job)
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Reservation.MemoryMB, int64(600)) // memoryRetryFactor times the measured peak
	is.Equal(s.worker("w").health.suspicion, 0.0)
}

func TestJobTooLargeForAnyWorkerIsParked(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	workers := []WorkerView{testWorker("w", "dc-a", "r")}
	at := testStart
	parked := 0
	job := testJob("j", "free", 1000)
	for n := uint32(1); n < 20 && parked == 0; n++ {
		at = at.Add(2 * maximumBackoff)
		job.Attempt = n
		plan := planFor(s, at, workers, job)
		parked = len(plan.Parked)
		if parked == 0 {
			is.Equal(len(plan.Placements), 1)
			end(s, "j", n, "w", model.AttemptFailed, at, time.Second, "out of memory")
		}
	}
	is.Equal(parked, 1)
}

func TestUrgentJobPreemptsBatchWork(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	view := testWorker("w", "dc-a", "r")
	view.Reserved = model.Resources{MilliCPU: 10000, MemoryMB: 6000}
	for i, size := range []int64{4000, 6000} {
		job := testJob(model.JobID(rune('a'+i)), "free", 5000)
		view.Attempts = append(view.Attempts, AttemptView{ID: model.AttemptID{Job: job.Spec.ID, Number: 1}, Spec: job.Spec,
			Reservation: model.Resources{MilliCPU: 5000, MemoryMB: size / 2}, Started: testStart, Throttle: 1})
	}
	urgent := testJob("u", "free", 3000)
	urgent.Spec.Priority = model.PriorityUrgent
	plan := planFor(s, testStart, []WorkerView{view}, urgent)
	is.Equal(len(plan.Placements), 0) // the capacity is not free yet
	is.Equal(len(plan.Signals), 1)
	is.Equal(plan.Signals[0].Kind, platform.SignalCheckpoint)
	is.Equal(len(planFor(s, testStart.Add(time.Second), []WorkerView{view}, urgent).Signals), 0) // no second preemption within preemptionInterval
}

func TestHeadroomIsKeptForUrgentJobs(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	workers := []WorkerView{testWorker("w", "dc-a", "r")}
	urgent := testJob("u", "free", 4000)
	urgent.Spec.Priority = model.PriorityUrgent
	is.Equal(len(planFor(s, testStart, workers, urgent).Placements), 1)
	later := testStart.Add(time.Second)
	is.Equal(len(planFor(s, later, workers, testJob("a", "free", 7000)).Placements), 0) // it would leave 3 of the 4 processors of headroom
	is.Equal(len(planFor(s, later, workers, testJob("b", "free", 5000)).Placements), 1)
}

func TestLargeJobGetsADedicatedWorker(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	view := testWorker("w", "dc-a", "r")
	view.Reserved = model.Resources{MilliCPU: 5000}
	large, small := testJob("large", "free", 8000), testJob("small", "free", 1000)
	small.Submitted = testStart.Add(dedicateAfter)
	is.Equal(len(planFor(s, testStart, []WorkerView{view}, large, small).Placements), 1) // no worker is dedicated before dedicateAfter
	is.Equal(len(planFor(s, testStart.Add(dedicateAfter), []WorkerView{view}, large).Placements), 0)
	is.Equal(len(planFor(s, testStart.Add(dedicateAfter), []WorkerView{view}, large, small).Placements), 0) // the worker is dedicated to the large job
	view.Reserved = model.Resources{MilliCPU: 2000}
	plan := planFor(s, testStart.Add(dedicateAfter), []WorkerView{view}, small, large)
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Job, model.JobID("large"))
}

func TestStaleJobsAndWorkersAreDropped(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	planFor(s, testStart, []WorkerView{testWorker("old", "dc-a", "r")})
	end(s, "j", 1, "old", model.AttemptFailed, testStart, time.Second, "x")
	planFor(s, testStart.Add(2*time.Hour), []WorkerView{testWorker("new", "dc-a", "r")})
	is.Equal(len(s.jobs), 0)
	is.Equal(len(s.workers), 1)
}

// TestLearnedStateRoundTrip: a new owner that loads the state makes the same reservations,
// predictions and quarantines.
func TestLearnedStateRoundTrip(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	for range 20 {
		s.class("c").Memory.add(300, 1000)
		s.effects("desk", 0.5).learn(-1, []classShare{{"c", 0.4}}, testStart)
	}
	end(s, "a", 1, "bad", model.AttemptFailed, testStart, time.Second, "x")
	end(s, "b", 1, "bad", model.AttemptFailed, testStart, time.Second, "x")
	end(s, "j", 1, "w", model.AttemptFailed, testStart, time.Second, "x")
	data, err := s.Marshal()
	is.NoErr(err)
	again := New(2, config.Weights{})
	is.NoErr(again.Load(data, testStart))
	spec := testJob("k", "free", 1000).Spec
	is.Equal(again.reservation(&spec), s.reservation(&spec))
	is.Equal(again.effects("desk", 0.5).effectOf("c"), s.effects("desk", 0.5).effectOf("c"))
	is.True(again.worker("bad").health.blocked(testStart))
	is.True(again.jobs["j"].failedOnWorker("w"))
	second, err := again.Marshal()
	is.NoErr(err)
	is.Equal(string(second), string(data))
	is.True(again.Load([]byte{0xff}, testStart) != nil)
	is.Equal(again.reservation(&spec), s.reservation(&spec)) // unchanged by the failed load
}
