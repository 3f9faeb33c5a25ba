package batch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawAnyStep draws a step of any kind that the constraints of workers matter to.
func drawAnyStep(t *rapid.T) Step {
	st := Step{
		Count:        rapid.IntRange(1, 3).Draw(t, "count"),
		Resources:    Resources{CPU: int64(rapid.IntRange(1, 8).Draw(t, "half cores")) * 500, MemoryMB: int64(rapid.IntRange(1, 4).Draw(t, "GB")) * 1000, GPU: int64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "GPU"))},
		Estimate:     time.Second,
		MaxPerWorker: rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "on a worker"),
		Label:        rapid.SampledFrom([]string{"", "", "x", "y"}).Draw(t, "label"),
		Image:        rapid.SampledFrom([]string{"i", "k"}).Draw(t, "image"),
		RackLocal:    rapid.Bool().Draw(t, "rack-local"),
	}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		st.BestEffort = true
	case 1:
		st.LongRunning = true
	case 2:
		st.LongRunning, st.LatencyTarget = true, 50*time.Millisecond
	case 3:
		st.Gang = true
	}
	return st
}

// drawCrowdedState draws workers, some of which refuse, run suspected tasks or serve, and jobs that wait for them.
func drawCrowdedState(t *rapid.T) (*State, time.Time) {
	s, now := newTestState()
	config := s.config
	config.Version++
	config.Queues["tickets"] = Queue{Service: "svc", MaxAttempts: 3, RequiresTicket: true}
	config.Queues["other"] = Queue{Service: "other", MaxAttempts: 3}
	s.SetConfig(config)
	s.RestoreInterference([]InterferenceWeight{{Pair: ImagePair{"k", "i"}, Mean: 8}, {Pair: ImagePair{"k", "k"}, Mean: 8}})
	for i := range rapid.IntRange(1, 4).Draw(t, "workers") {
		id := WorkerID(fmt.Sprint("w", i))
		addWorker(s, id, Resources{CPU: int64(rapid.IntRange(1, 4).Draw(t, "cores")) * 1000, MemoryMB: 4000, GPU: int64(rapid.IntRange(0, 1).Draw(t, "GPUs"))}, now)
		s.workers[id].info.Service = rapid.SampledFrom([]string{"svc", "svc", "other"}).Draw(t, "service")
		if rapid.IntRange(0, 3).Draw(t, "refuses") == 0 {
			s.workers[id].noteRoomRefusal(Resources{CPU: int64(rapid.IntRange(1, 8).Draw(t, "refused")) * 500, MemoryMB: 1000}, now)
		}
		if rapid.IntRange(0, 5).Draw(t, "last resort") == 0 {
			s.workers[id].quarantine(now.Add(-3*time.Second), quarantineTime, lastResortDelay)
		}
	}
	for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
		drawWaitingJob(t, s, fmt.Sprint("j", i), now)
	}
	passed := rapid.SampledFrom([]time.Duration{0, isolationPatience, separationPatience}).Draw(t, "time since the starts")
	s.noteSuspects(now)
	now = now.Add(passed)
	for _, w := range s.sortedWorkers() {
		w.suspectsSeen = now
		for _, a := range w.attempts {
			a.lastMeasurement = int64(rapid.IntRange(0, 100).Draw(t, "latency"))
		}
		w.latencyGroupsAt = time.Time{}
	}
	return s, now
}

// drawWaitingJob adds a job whose steps may be started. Some of its tasks have failed or are suspected.
func drawWaitingJob(t *rapid.T, s *State, id string, now time.Time) {
	queue := rapid.SampledFrom([]string{"q", "q", "q", "late", "tickets", "other"}).Draw(t, "queue")
	j := addJob(s, id, queue, now.Add(time.Duration(rapid.IntRange(-12, 0).Draw(t, "age"))*time.Second), drawAnyStep(t))
	st := j.occs[0].steps[0]
	st.startRecordRequested, st.startRecordDurable = true, true
	for i := range st.tasks {
		for run := range rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "suspicions") {
			s.addSuspicion(taskRef{st, i}, Suspicion{Run: int64(-run), Worker: "lost", Address: "lost", Incarnation: 1})
		}
	}
	if rapid.Bool().Draw(t, "starts before") {
		planUntilIdle(s, now)
	}
}

// Guards against a step that is passed over, although a worker may run it, since another one found none.
func TestAStepThatIsPassedOverFindsNoWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := drawCrowdedState(t)
		s.noteSuspects(now)
		workers, lastResorts := append([]*worker{}, s.usable(now)...), s.lastResorts(now)
		littleUsed := s.littleUsedServices(workers, lastResorts)
		var unplaced unplacedSteps
		for _, entry := range s.openStepsInOrder(now) {
			st := entry.step
			resorts := s.resortsFor(st, lastResorts, littleUsed)
			exempt := len(resorts) > 0 || st.spec.Gang && runSuspects(workers)
			if !exempt && unplaced.covers(st) {
				checkNoWorkerFor(t, s, st, workers, now)
				continue
			}
			if st.spec.Gang {
				s.placeGang(st, workers, resorts, now)
			} else if !s.placeTasks(st, len(st.tasks), workers, resorts, now) {
				unplaced.add(st)
			}
		}
	})
}

func checkNoWorkerFor(t *rapid.T, s *State, st *step, workers []*worker, now time.Time) {
	q := s.queueOf(st.job)
	for i := range st.tasks {
		if task := &st.tasks[i]; task.done || len(task.attempts) > 0 {
			continue
		}
		for _, w := range workers {
			if s.rejects(st, &q, &st.tasks[i], w, now) == notRejected {
				t.Fatalf("%s waits although %s may run task %d; %+v", st.job.ID, w.info.ID, i, *st.spec)
			}
		}
	}
}
