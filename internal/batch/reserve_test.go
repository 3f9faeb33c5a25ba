package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Regression: the reserve for short tasks was counted over the workers of all services. A full service kept a new
// long-running job from an empty one, for 13 s in this case.
func TestAFullServiceKeepsNoLongRunningTaskFromAnother(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b", "c", "d", "e", "f", "g", "h", "i")
	c := s.config
	c.Queues["other"] = Queue{Service: "other", MaxAttempts: 3}
	addWorker(s, "z", Resources{CPU: 4000, MemoryMB: 4000}, now)
	info := s.workers["z"].info
	info.Service = "other"
	s.UpdateWorker(info, now)
	addJob(s, "lasts", "q", now, longRunningStep(32, 1000, 0))
	addJob(s, "short", "q", now, taskStep(4, 1000))
	is.Equal(len(startActions(planUntilIdle(s, now))), 36) // all of the nine workers
	planEvery(s, now, 100*time.Second)                     // the average follows
	now = now.Add(100 * time.Second)
	addJob(s, "new", "other", now, longRunningStep(1, 100, 0))
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}

// Regression: a worker whose capacity shrank below what it runs counted as negative room. New long-running tasks
// then waited for the reserve with room for them and for the reserve elsewhere.
func TestAShrunkenWorkerTakesNothingFromTheRoomOfOthers(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "old", "q", now, longRunningStep(4, 1000, 0))
	is.Equal(len(startActions(planUntilIdle(s, now))), 4)
	info := s.workers["a"].info
	info.Capacity = Resources{}
	s.UpdateWorker(info, now)
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	s.shortDemandOf("svc").cpu.Observe(2000)
	addJob(s, "new", "q", now, longRunningStep(4, 1000, 0))
	is.Equal(len(startActions(planUntilIdle(s, now))), 3) // a quarter of what is left stays free
}

// Short tasks run on a worker whose capacity shrinks. What they use and the worker has counts as available to them.
func TestShortTasksOnAShrunkenWorkerCountUpToItsCapacity(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "short", "q", now, taskStep(4, 1000))
	is.Equal(len(startActions(planUntilIdle(s, now))), 4)
	info := s.workers["a"].info
	info.Capacity.CPU = 1000
	s.UpdateWorker(info, now)
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	s.shortDemandOf("svc").cpu.Observe(4000)
	addJob(s, "new", "q", now, longRunningStep(5, 1000, 0))
	is.Equal(len(startActions(planUntilIdle(s, now))), 3) // 5,000 in all, of which a quarter stays available
}
