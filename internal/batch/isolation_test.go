package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lose ends a worker that never comes back, and lets its lease end.
func (c *crashCluster) lose(id WorkerID) {
	delete(c.running, id)
	c.s.MarkUnreachable(id)
	c.s.RemoveWorker(id)
	for range 8 {
		c.step()
	}
}

// loseTwice starts a job and has its tasks lose two workers in succession, the first after they ran for three seconds,
// the second after one. No worker is left.
func (c *crashCluster) loseTwice(job string, st Step) {
	addJob(c.s, job, "q", c.now, st)
	for i, steps := range []int{3, 1} {
		if i > 0 {
			c.addWorker(fmt.Sprintf("next%d", i))
		}
		for range steps {
			c.step()
		}
		c.lose(WorkerID(fmt.Sprintf("w%02d", c.workers)))
	}
}

// Guards against room that stands empty while long-running tasks are down: after two losses that they did not cause, the
// first task that was restarted closed its worker to all others, and was followed there by one task at a time.
func TestRoomBesideSuspectedTasksIsNotWithheldFromLongRunningTasks(t *testing.T) {
	for _, c := range []struct {
		name                string
		suspected, innocent int
	}{{"other tasks", 1, 7}, {"suspected tasks", 8, 0}, {"both", 4, 4}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCrashCluster(t, 1)
			cluster.loseTwice("suspected", longRunningStep(c.suspected, 500, 0))
			if c.innocent > 0 {
				addJob(cluster.s, "innocent", "q", cluster.now, longRunningStep(c.innocent, 500, 0))
			}
			cluster.addWorker("new")
			new := WorkerID(fmt.Sprintf("w%02d", cluster.workers))
			for range 3 {
				cluster.step()
			}
			is.Equal(len(cluster.running[new]), c.suspected+c.innocent)
		})
	}
}

// suspectTask notes suspicions of the only task of a job, each with the time for which it had run.
func (c *crashCluster) suspectTask(job string, runtimes ...time.Duration) {
	for i, r := range runtimes {
		c.s.addSuspicion(taskRef{c.s.Job(job).occs[0].steps[0], 0}, Suspicion{Run: int64(-i), Worker: "lost", Address: "lost", Incarnation: 1, Runtime: r})
	}
}

// Guards against a task that waits for seconds with room for it: another one stays suspected for twice the time after
// which it lost its worker, and no task that is suspected repeatedly could join it meanwhile.
func TestARepeatedlySuspectedTaskWaitsOnlyForNewSuspects(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	addJob(c.s, "once", "q", c.now, longRunningStep(1, 500, 0))
	c.suspectTask("once", 4*time.Second)
	c.step()
	is.Equal(len(c.running["w01"]), 1)
	addJob(c.s, "twice", "q", c.now, taskStep(1, 500))
	c.suspectTask("twice", 0, 0)
	c.step()
	is.Equal(len(c.running["w01"]), 2)
}

// Guards against a crash that hits tasks which have joined a suspect in its first moments.
func TestLongRunningTasksWaitForANewSuspect(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	addJob(c.s, "suspect", "q", c.now, longRunningStep(1, 500, 0))
	c.suspectTask("suspect", 0, 0)
	is.Equal(len(startActions(planUntilIdle(c.s, c.now))), 1)
	addJob(c.s, "other", "q", c.now, longRunningStep(1, 500, 0))
	is.Equal(len(startActions(planUntilIdle(c.s, c.now.Add(isolationPatience-time.Millisecond)))), 0)
	is.Equal(len(startActions(planUntilIdle(c.s, c.now.Add(isolationPatience)))), 1)
}

// Guards against a task that waits with another one of its step, which is suspected more often and must not share the
// worker.
func TestASuspectedTaskDoesNotWaitForOneThatIsSuspectedMoreOften(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	addJob(c.s, "a", "q", c.now, taskStep(1, 500))
	c.suspectTask("a", 0)
	is.Equal(len(startActions(planUntilIdle(c.s, c.now))), 1)
	addJob(c.s, "b", "q", c.now, taskStep(2, 500))
	c.suspectTask("b", 0, 0)
	c.s.addSuspicion(taskRef{c.s.Job("b").occs[0].steps[0], 1}, Suspicion{Worker: "lost", Address: "lost", Incarnation: 1})
	starts := startActions(planUntilIdle(c.s, c.now))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Index, 1)
}

// Guards against a long-running task that is passed over since a smaller short task of its queue found no worker: only
// the short one has to wait for a suspected task there.
func TestAShortTaskThatWaitsForASuspectHoldsUpNoLongRunningOne(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	addJob(c.s, "a", "q", c.now, longRunningStep(1, 500, 0))
	c.suspectTask("a", 0, 0)
	is.Equal(len(startActions(planUntilIdle(c.s, c.now))), 1)
	addJob(c.s, "b", "q", c.now, taskStep(1, 400))
	addJob(c.s, "c", "q", c.now.Add(2*time.Second), longRunningStep(1, 500, 0)) // less urgent
	starts := startActions(planUntilIdle(c.s, c.now.Add(isolationPatience)))
	is.True(len(starts) > 0)
	is.Equal(starts[0].Task.Job, "c")
}
