package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against two runs of a task (issue 42, TWICE): a copy of a start without an answer reaches the next life of its
// worker late. That refuses it, since the run was stopped there, but takes the end of the lease from it, which is on the
// former clock, so all that runs there may last for a whole lease from then on.
func TestALateCopyMayExtendTheLeaseOfARestartedWorker(t *testing.T) {
	is := is.New(t)
	s, now, start := newSentStart(longRunningStep(1, 1000, 0), "a")
	s.StartAnswered("a", start.Task, start.Run, AnswerOKRepeated, now)
	latestCopy := now.Add(maxCallDelay)
	now = now.Add(time.Second)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: formerClock, Running: runningOn([]Action{start}, "a")}, now)

	now = now.Add(time.Second)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 5}, now)
	s.UpdateWorker(restartedAs(s, "a", 2), now)
	planUntilIdle(s, now)
	s.StopAnswered("a", 2, start.Task, start.Run, AnswerOK, now)
	now = now.Add(time.Second)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 1005}, now)
	again := startActions(planUntilIdle(s, now))
	is.Equal(len(again), 1)
	now = now.Add(time.Second)
	s.LeaseRenewed("a", now.Add(testLimits.LeaseTTL), true)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 2005, Running: runningOn(again, "a")}, now)

	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	s.MarkUnreachable("a")
	is.Equal(len(startActions(planUntilIdle(s, latestCopy.Add(testLimits.LeaseTTL-time.Millisecond)))), 0)
	is.Equal(len(startActions(planUntilIdle(s, latestCopy.Add(testLimits.LeaseTTL+checkInterval)))), 1)
}
