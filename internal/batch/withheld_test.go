package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a gang that is passed over since a smaller task of its queue found no worker: only that task has to
// wait for a suspected one there.
func TestATaskThatWaitsForASuspectHoldsUpNoGang(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	addJob(c.s, "a", "q", c.now, taskStep(1, 500))
	c.suspectTask("a", 0, 0)
	is.Equal(len(startActions(planUntilIdle(c.s, c.now))), 1)
	addJob(c.s, "b", "q", c.now, taskStep(1, 400))
	gang := taskStep(2, 500)
	gang.Gang = true
	addJob(c.s, "c", "q", c.now, gang)
	starts := startActions(planUntilIdle(c.s, c.now))
	is.Equal(len(starts), 2)
	is.Equal(starts[0].Task.Job, "c")
}

// Guards against a long-running task that stays down for 8 s after each task that hangs on the only worker with room,
// although other tasks make progress there.
func TestAHangingTaskKeepsNoLongRunningOneFromAWorkerThatWorks(t *testing.T) {
	for _, c := range []struct {
		name  string
		works bool // a task beside the one that hangs makes progress
		wait  time.Duration
	}{{"works", true, lastResortDelay}, {"stands still", false, quarantineTime}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			addJob(s, "short", "q", now, taskStep(2, 1000))
			starts := startActions(planUntilIdle(s, now))
			is.Equal(len(starts), 2)
			percent := 1
			report := func() {
				now = now.Add(checkInterval)
				if c.works {
					percent++
				}
				running := runningOn(starts, "a")
				running[0].Percent, running[1].Percent = 1, percent
				reportWithLease(s, "a", Report{Incarnation: 1, Clock: 5, Running: running}, now)
			}
			for s.workers["a"].usable(s, now) {
				report()
				s.Plan(now)
			}
			stalled := now
			addJob(s, "lasts", "q", now, longRunningStep(1, 1000, 0))
			for len(startActions(planUntilIdle(s, now))) == 0 {
				report()
			}
			is.True(now.Sub(stalled) >= c.wait)
			is.True(now.Sub(stalled) <= c.wait+2*checkInterval)
		})
	}
}
