package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that run again after they were done: a worker lists a limited number of ends at a time,
// and the end of a task is among those that it holds back.
func TestATaskWhoseEndIsHeldBackIsNotRepeated(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, taskStep(2, 3000)) // one on each worker
	starts := planUntilIdle(s, now)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 50, Running: runningOn(starts, "a")}, now)
	for _, id := range []WorkerID{"a", "b"} { // b has not listed its task before
		reportWithLease(s, id, Report{Incarnation: 1, Clock: 1 << 40, Incomplete: true}, now)
	}
	is.Equal(len(planUntilIdle(s, now.Add(stallTimeout))), 0) // neither repeated nor stopped
	for _, a := range startActions(starts) {
		ended := []EndedAttempt{{Seq: 501, Task: a.Task, Run: a.Run, Reason: EndDone}}
		reportWithLease(s, a.Worker, Report{Incarnation: 1, Clock: 1 << 41, Ended: ended}, now)
	}
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	is.Equal(s.Job("j").Status(), Completed)
}

// Guards against the same around a take-over: the new owner knows what a worker of the former one has run only
// after a complete report, also when that takes longer than the leases of the former owner last.
func TestAnIncompleteReportDoesNotResolveAWorkerOfAFormerOwner(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	start := startActions(planUntilIdle(s, now))[0]
	next := takeOver(s, now, "a")
	addWorker(next, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	for range 20 {
		reportWithLease(next, "a", Report{Incarnation: 1, Clock: 1 << 40, Incomplete: true}, now)
		next.LeaseRenewed("a", now.Add(testLimits.LeaseTTL), true)
		is.Equal(len(startActions(planUntilIdle(next, now))), 0)
		now = now.Add(time.Second)
	}
	ended := []EndedAttempt{{Seq: 501, Task: start.Task, Run: start.Run, Reason: EndDone}}
	reportWithLease(next, "a", Report{Incarnation: 1, Clock: 1 << 41, Ended: ended}, now)
	is.Equal(len(startActions(planUntilIdle(next, now))), 0)
	is.Equal(next.Job("j").Status(), Completed)
}

// A worker goes out of contact before its first complete report. Its tasks restart when its lease has ended.
func TestAnIncompleteReportDoesNotBlockTasksForEver(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	planUntilIdle(s, now)
	next := takeOver(s, now, "a")
	addWorker(next, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	now = now.Add(8 * time.Second)
	reportWithLease(next, "a", Report{Incarnation: 1, Clock: 1 << 40, Incomplete: true}, now)
	next.LeaseRenewed("a", now.Add(testLimits.LeaseTTL), true)
	next.MarkUnreachable("a")
	is.Equal(len(startActions(planUntilIdle(next, now.Add(testLimits.LeaseTTL-time.Millisecond)))), 0)
	is.Equal(len(startActions(planUntilIdle(next, now.Add(testLimits.LeaseTTL+checkInterval)))), 1)
}
