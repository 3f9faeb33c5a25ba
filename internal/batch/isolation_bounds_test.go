package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// startsAfter plans a time after now, with a report of the only worker first, and returns the number of starts.
func (c *crashCluster) startsAfter(pause time.Duration) int {
	c.now = c.now.Add(pause)
	c.report("w01")
	starts := startActions(planUntilIdle(c.s, c.now))
	for _, a := range starts {
		c.running[a.Worker] = append(c.running[a.Worker], RunningAttempt{Task: a.Task, Run: a.Run, Percent: 50})
	}
	return len(starts)
}

// addSuspect adds a job of one task and as many suspicions of it as there are runtimes.
func (c *crashCluster) addSuspect(job string, st Step, runtimes ...time.Duration) {
	addJob(c.s, job, "q", c.now, st)
	c.suspectTask(job, runtimes...)
}

// Guards against a short task that joins a suspect before this has run for 0.5 s, and against one that waits for
// longer: a report that lists the suspect is not enough.
func TestAShortTaskJoinsASuspectThatHasRunForHalfASecond(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	c.addSuspect("suspect", taskStep(1, 500), 4*time.Second, 4*time.Second)
	is.Equal(c.startsAfter(0), 1)
	addJob(c.s, "other", "q", c.now, taskStep(1, 500))
	is.Equal(c.startsAfter(450*time.Millisecond), 0)
	is.Equal(c.startsAfter(50*time.Millisecond), 1)
}

// Guards against room that stands empty for longer than 0.5 s while a long-running task is down, and against one that
// joins a suspect sooner.
func TestALongRunningTaskWaitsHalfASecondForASuspect(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	c.addSuspect("suspect", longRunningStep(1, 500, 0), 0, 0)
	is.Equal(c.startsAfter(0), 1)
	addJob(c.s, "other", "q", c.now, longRunningStep(1, 500, 0))
	start := c.now
	is.Equal(len(startActions(planUntilIdle(c.s, start.Add(450*time.Millisecond)))), 0)
	is.Equal(len(startActions(planUntilIdle(c.s, start.Add(500*time.Millisecond)))), 1) // no report has listed the suspect yet
}

// Guards against a long-running task that joins a new suspect at once, since a former one has run on the worker.
func TestALongRunningTaskWaitsForEachSuspectAfterAPause(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	c.addSuspect("first", taskStep(1, 500), 0, 0)
	is.Equal(c.startsAfter(0), 1)
	c.startsAfter(time.Second) // clears it
	is.Equal(c.s.workers["w01"].suspected, 0)
	c.addSuspect("second", longRunningStep(1, 500, 0), 0, 0)
	is.Equal(c.startsAfter(0), 1)
	addJob(c.s, "other", "q", c.now, longRunningStep(1, 500, 0))
	is.Equal(c.startsAfter(0), 0)
}

// Guards against a gang that waits for a suspected task: its tasks start at the same time, so they cannot be kept apart.
func TestAGangDoesNotWaitForASuspect(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	c.addSuspect("suspect", taskStep(1, 500), 0, 0)
	is.Equal(c.startsAfter(0), 1)
	gang := taskStep(2, 500)
	gang.Gang = true
	addJob(c.s, "gang", "q", c.now, gang)
	is.Equal(c.startsAfter(0), 2)
}

// Guards against a task that waits for a new one that is not suspected, since another one on the worker is.
func TestARepeatedlySuspectedTaskWaitsForNoUnsuspectedOne(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	c.addSuspect("once", taskStep(1, 500), 4*time.Second)
	is.Equal(c.startsAfter(0), 1)
	c.startsAfter(time.Second)
	addJob(c.s, "new", "q", c.now, taskStep(1, 500))
	is.Equal(c.startsAfter(0), 1)
	c.addSuspect("twice", taskStep(1, 500), 0, 0)
	is.Equal(c.startsAfter(0), 1)
}
