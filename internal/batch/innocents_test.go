package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// failed returns how many of the jobs have failed.
func (c *crashCluster) failed(prefix string, n int) int {
	failed := 0
	for i := range n {
		if c.outcome(fmt.Sprint(prefix, i)) == Failed {
			failed++
		}
	}
	return failed
}

// Guards against jobs that are given up since their tasks joined, one loss after the other, one that crashes its workers
// later than 0.5 s after its start.
func TestTasksThatJoinADeadlyOneAreNotGivenUpWithIt(t *testing.T) {
	for _, lasts := range []bool{true, false} {
		for _, after := range []int{0, 1, 2, 3} {
			t.Run(fmt.Sprintf("lasts=%t after %d s", lasts, after+1), func(t *testing.T) {
				c := newCrashCluster(t, 1)
				st := taskStep(1, 500)
				st.LongRunning = lasts
				addJob(c.s, "deadly", "q", c.now, st)
				c.crashesAfter[TaskID{Job: "deadly"}] = after
				for i := range 7 {
					innocent := taskStep(1, 500)
					innocent.LongRunning = i%2 == 0
					addJob(c.s, fmt.Sprint("innocent", i), "q", c.now, innocent)
				}
				for range 90 {
					c.step()
				}
				is.New(t).Equal(c.failed("innocent", 7), 0)
			})
		}
	}
}

// Guards against a long-running task that joins a suspect whose start has not even been sent: its record takes long.
func TestALongRunningTaskWaitsForASuspectWhoseStartIsNotRecorded(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	addJob(c.s, "suspect", "q", c.now, longRunningStep(1, 500, 0))
	for run := range int64(suspicionsToIsolate) {
		c.s.addSuspicion(taskRef{c.s.Job("suspect").occs[0].steps[0], 0}, Suspicion{Run: -run, Worker: "lost", Address: "lost", Incarnation: 1})
	}
	addJob(c.s, "z", "q", c.now, longRunningStep(1, 500, 0))
	c.s.Plan(c.now)
	c.s.MarkStored(c.s.TakeDirty(1 << 20)) // the records that starts may follow
	is.Equal(len(startActions(c.s.Plan(c.now))), 0)
	pending := c.s.TakeDirty(1 << 20) // the record of the suspect's start
	is.Equal(len(startActions(c.s.Plan(c.now.Add(2*time.Second)))), 0)
	c.s.MarkStored(pending)
	starts := startActions(c.s.Plan(c.now.Add(2 * time.Second)))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "suspect")
	is.Equal(len(startActions(c.s.Plan(c.now.Add(2400*time.Millisecond)))), 0)
}

// Guards against tasks that are lost together again and again, so that nobody can tell which of them crashes the workers,
// and against long-running ones that stay down for that.
func TestTasksThatHaveLostThreeWorkersRunAlone(t *testing.T) {
	for _, c := range []struct {
		name  string
		step  Step
		apart time.Duration
	}{{"short", taskStep(1, 500), 8 * time.Second}, {"long-running", longRunningStep(1, 500, 0), separationPatience}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newCrashCluster(t, 1)
			cluster.addSuspect("a", longRunningStep(1, 500, 0), 4*time.Second, 0, 0)
			cluster.addSuspect("b", c.step, 0)
			is.Equal(cluster.startsAfter(time.Minute), 1)
			started := cluster.now
			for cluster.now.Sub(started) < c.apart-250*time.Millisecond {
				is.Equal(cluster.startsAfter(250*time.Millisecond), 0)
			}
			addJob(cluster.s, "unsuspected", "q", cluster.now, longRunningStep(1, 500, 0))
			is.Equal(cluster.startsAfter(0), 1) // it cannot be taken for the cause
			is.Equal(cluster.startsAfter(250*time.Millisecond), 1)
		})
	}
}

// Guards against room that stands empty while suspects start there one after the other, each as soon as the former one is
// cleared.
func TestSuspectsThatFollowEachOtherDoNotWithholdRoom(t *testing.T) {
	for losses := suspicionsToIsolate; losses <= suspicionsToSeparate; losses++ {
		t.Run(fmt.Sprint(losses), func(t *testing.T) {
			c := newCrashCluster(t, 1)
			for i := range 8 {
				c.addSuspect(fmt.Sprint("job", i), longRunningStep(1, 500, 0), make([]time.Duration, losses)...)
			}
			c.now = c.now.Add(time.Minute) // no task is paused any more
			for range 10 {
				c.startsAfter(250 * time.Millisecond)
			}
			is.New(t).Equal(len(c.running["w01"]), 8)
		})
	}
}
