package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pressed returns a state in which each of the workers runs a latency-sensitive task with half of its CPU in use, and
// the model takes best-effort tasks of the image "fill" for ones that press hard on it.
func pressed(t *testing.T, workers ...WorkerID) (*State, time.Time) {
	s, now := newTestState(workers...)
	web := latencySensitiveStep("web", len(workers))
	web.LatencyTarget, web.MaxPerWorker, web.LongRunning = 100*time.Millisecond, 1, true
	addJob(s, "web", "q", now, web)
	starts := planUntilIdle(s, now)
	if len(startActions(starts)) != len(workers) {
		t.Fatalf("%d latency-sensitive tasks were started on %d workers", len(startActions(starts)), len(workers))
	}
	s.interferenceModel.weights[ImagePair{"fill", "web"}] = weightEstimate{mean: maxWeight, variance: minVariance}
	for range 10 {
		now = now.Add(300 * time.Millisecond)
		for _, id := range workers {
			list := runningOn(starts, id)
			list[0].Percent, list[0].Measurement = fullPercent, 40 // a utilisation of 0.5
			reportWithLease(s, id, Report{Incarnation: 1, Clock: 5000, Running: list}, now)
		}
	}
	return s, now
}

// Guards against a best-effort task that is never started, since a weight keeps it from all workers that nothing can
// correct while no task of its image runs; and against two of them that are started on one worker regardless of it.
func TestABestEffortTaskDoesNotWaitForAWeightThatNothingCorrects(t *testing.T) {
	is := is.New(t)
	s, now := pressed(t, "a", "b")
	addJob(s, "fill", "q", now, bestEffortStep("fill", 3))
	is.Equal(len(startActions(planUntilIdle(s, now.Add(bestEffortPatience-time.Millisecond)))), 0)
	starts := startActions(planUntilIdle(s, now.Add(bestEffortPatience)))
	is.Equal(len(starts), 2)
	is.True(starts[0].Worker != starts[1].Worker)
}

// Guards against a step that has waited long and is passed over, since a newer one of its image found no worker.
func TestANewBestEffortStepDoesNotHoldUpOneThatHasWaited(t *testing.T) {
	is := is.New(t)
	s, now := pressed(t, "a")
	addJob(s, "old", "q", now, bestEffortStep("fill", 1))
	planUntilIdle(s, now)
	now = now.Add(bestEffortPatience)
	urgent := bestEffortStep("fill", 1)
	urgent.Estimate = time.Millisecond
	addJob(s, "new", "q", now, urgent)
	starts := startActions(planUntilIdle(s, now))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "old")
}

// Guards against a throttled task that is moved to a worker where it is predicted to disturb as much, since other tasks
// of its step have waited long.
func TestAThrottledTaskOfAStepThatHasWaitedStays(t *testing.T) {
	is := is.New(t)
	s, now := pressed(t, "a", "b")
	s.workers["b"].quarantine(now, bestEffortPatience+time.Second, bestEffortPatience+time.Second)
	addJob(s, "fill", "q", now, bestEffortStep("fill", 2))
	planUntilIdle(s, now)
	now = now.Add(bestEffortPatience)
	starts := startActions(planUntilIdle(s, now))
	is.Equal(len(starts), 1)
	for range 20 {
		now = now.Add(checkInterval)
		list := runningOn(starts, "a")
		reportWithLease(s, "a", Report{Incarnation: 1, Clock: 5000, Running: list}, now)
		for _, a := range s.Plan(now) {
			is.True(a.Kind != ActionStop)
		}
	}
}
