package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartedWorker returns the entry of worker a, as addWorker registers it, with a new incarnation.
func restartedWorker(s *State) WorkerInfo {
	return restartedAs(s, "a", s.workers["a"].info.Incarnation+1)
}

// restartedAs returns the entry of a worker with the given incarnation.
func restartedAs(s *State, id WorkerID, incarnation int64) WorkerInfo {
	info := s.workers[id].info
	info.Incarnation = incarnation
	return info
}

// startOne plans until the only task of job j is started on worker a, which has no other tasks, and
// returns the start without an answer.
func startOne(s *State, now time.Time) Action {
	s.Plan(now)
	s.MarkStored(s.TakeDirty(10))
	start := startActions(s.Plan(now))[0]
	s.StartSent(start.Worker, start.Task, start.Run, 1500)
	return start
}

// Guards against a task that runs twice: a worker crashes and restarts, its new incarnation accepts a start, and
// only then the registry shows the restart.
func TestAStartAcceptedByARestartedWorkerIsNotRepeated(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	start := startOne(s, now)
	s.StartAnswered("a", start.Task, start.Run, AnswerOK, now)
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)

	s.UpdateWorker(restartedWorker(s), now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	running := []RunningAttempt{{Task: start.Task, Run: start.Run, Percent: 10}}
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 5, Running: running}, now)
	is.Equal(len(planUntilIdle(s, now)), 0) // neither started again nor stopped

	s.UpdateWorker(restartedWorker(s), now) // the run is lost with the incarnation that listed it
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}

// Guards against a task that runs twice: the report that shows the restart was requested before the new
// incarnation accepted the start, so that the task is missing in it.
func TestAReportOlderThanTheAcceptanceLosesNoStart(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	start := startOne(s, now)
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)

	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 5}, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0) // the call may still reach the worker
	accepted := now.Add(10 * time.Millisecond)
	s.StartAnswered("a", start.Task, start.Run, AnswerOK, accepted)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 15, RequestedAt: now}, accepted)
	is.Equal(len(startActions(planUntilIdle(s, accepted))), 0)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 25}, accepted)
	is.Equal(len(startActions(planUntilIdle(s, accepted))), 1) // the former incarnation had accepted it
}

// Guards against a task that runs twice: a stop that the former incarnation answered does not keep the new one
// from carrying out the start.
func TestAStopAnsweredBeforeARestartProvesNothing(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	start := startOne(s, now)
	s.StartAnswered("a", start.Task, start.Run, AnswerNone, now)
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	s.Plan(now) // sends the stop
	s.UpdateWorker(restartedWorker(s), now)
	s.StopAnswered("a", 1, start.Task, start.Run, AnswerOK, now)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 5}, now)
	again := planUntilIdle(s, now)
	is.Equal(len(startActions(again)), 0)
	is.Equal(again[0].Kind, ActionStop) // sent again at once
	is.Equal(again[0].Incarnation, int64(2))
	s.StopAnswered("a", 2, start.Task, start.Run, AnswerOK, now)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 10}, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}

// Guards against a task that runs twice: a restarted worker that goes out of contact may hold a start for a
// whole lease, although no renewal has reached its new incarnation.
func TestAnUnconfirmedStartOutlastsTheRenewals(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	s.LeaseRenewed("a", now.Add(testLimits.LeaseTTL), true)
	now = now.Add(2 * time.Second)
	start := startOne(s, now)
	s.StartAnswered("a", start.Task, start.Run, AnswerOK, now)
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	s.MarkUnreachable("a")
	is.Equal(len(startActions(planUntilIdle(s, now.Add(testLimits.LeaseTTL-time.Millisecond)))), 0)
	is.Equal(len(startActions(planUntilIdle(s, now.Add(testLimits.LeaseTTL+checkInterval)))), 1)
}

// Guards against a task that runs twice: the former owner did not notice a restart and started a task on the
// new incarnation. That the restart is seen now does not tell the next owner what runs there.
func TestARestartDoesNotResolveAWorkerOfAFormerOwner(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	start := startOne(s, now)
	s.StartAnswered("a", start.Task, start.Run, AnswerOK, now)
	next := takeOver(s, now, "a")
	addWorker(next, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	next.UpdateWorker(restartedWorker(next), now)
	is.Equal(len(startActions(planUntilIdle(next, now))), 0)
	running := []RunningAttempt{{Task: start.Task, Run: start.Run, Percent: 10}}
	reportWithLease(next, "a", Report{Incarnation: 2, Clock: 5, Running: running}, now)
	is.Equal(len(startActions(planUntilIdle(next, now))), 0)
	is.Equal(next.Job("j").attempts, 1)
}

// Guards against a worker over its capacity: it has restarted as another kind, a report shows the restart, and the
// registry still shows the capacity of before.
func TestARestartedWorkerGetsNoStartsBeforeItsCapacityIsKnown(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 5}, now)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 6}, now)
	addJob(s, "j", "q", now, taskStep(1, 3000))
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	info := restartedAs(s, "a", 2)
	info.Capacity = Resources{CPU: 2000, MemoryMB: 4000}
	s.UpdateWorker(info, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	info.Capacity.CPU = 3000
	s.UpdateWorker(info, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}
