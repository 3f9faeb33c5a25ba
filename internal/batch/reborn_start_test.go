package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// formerClock is the time on the clock of a worker's former incarnation until which it accepts a start, in milliseconds.
const formerClock = 500_000

// newSentStart returns a state in which the start of the only task of a step was sent to one of the workers.
func newSentStart(step Step, workers ...WorkerID) (*State, time.Time, Action) {
	s, now := newTestState(workers...)
	addJob(s, "j", "q", now, step)
	s.Plan(now)
	s.MarkStored(s.TakeDirty(1 << 20))
	start := startActions(s.Plan(now))[0]
	s.StartSent(start.Worker, start.Task, start.Run, formerClock)
	return s, now, start
}

// Guards against a task that waits for minutes for a start which was sent to a worker as it was restarted: its last
// valid time is one on the clock of the former incarnation, and the answers to all stops are lost.
func TestAnUnansweredStartToARestartedWorkerIsGivenUp(t *testing.T) {
	is := is.New(t)
	s, now, start := newSentStart(taskStep(1, 1000), "a")
	const uptime = 2000 // of the new incarnation, in milliseconds
	sentAt := now
	now = now.Add(700 * time.Millisecond)
	s.StartAnswered("a", start.Task, start.Run, AnswerNone, now)
	info := s.workers["a"].info
	info.Incarnation = 2
	s.UpdateWorker(info, now)
	for {
		now = now.Add(250 * time.Millisecond)
		waited := now.Sub(sentAt)
		reportWithLease(s, "a", Report{Incarnation: 2, Clock: uptime + waited.Milliseconds()}, now)
		again := startActions(s.Plan(now))
		s.MarkStored(s.TakeDirty(1 << 20)) // the second start is recorded before it is sent
		if len(again) > 0 {
			is.True(waited > maxCallDelay) // until then the worker may carry out the first start
			return
		}
		if waited > 14*time.Second {
			t.Fatalf("not started again after %s", waited)
		}
	}
}

// Guards against a task that runs twice: its worker restarts, and the new incarnation carries out a copy of the start
// that got no answer, after another one that was answered.
func TestACopyOfAStartMayReachARestartedWorker(t *testing.T) {
	is := is.New(t)
	s, now, start := newSentStart(longRunningStep(1, 1000, 0), "a", "b")
	id := start.Worker
	s.StartAnswered(id, start.Task, start.Run, AnswerOKRepeated, now)
	now = now.Add(time.Second)
	reportWithLease(s, id, Report{Incarnation: 1, Clock: 5, Running: runningOn([]Action{start}, id), RequestedAt: now}, now)
	now = now.Add(time.Second)
	reportWithLease(s, id, Report{Incarnation: 2, Clock: 5, RequestedAt: now}, now)
	stops := planUntilIdle(s, now)
	is.Equal(len(startActions(stops)), 0) // the copy may run any moment
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Kind, ActionStop)
	s.StopAnswered(id, 2, start.Task, start.Run, AnswerOK, now)
	now = now.Add(time.Second)
	reportWithLease(s, id, Report{Incarnation: 2, Clock: 1005, RequestedAt: now}, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 1) // the stop bars it
}

// Guards against two runs of a task: a start that was sent to a worker as it was restarted may be carried out by the new
// incarnation for as long as a call may be late, and then has a whole lease. It also guards against a longer wait.
func TestAStartToARestartedWorkerOutOfContactIsWaitedFor(t *testing.T) {
	is := is.New(t)
	s, now, start := newSentStart(taskStep(1, 1000), "a", "b")
	const answerWait = 700 * time.Millisecond // copies of the start are sent until then
	s.StartAnswered(start.Worker, start.Task, start.Run, AnswerNone, now.Add(answerWait))
	info := s.workers[start.Worker].info
	info.Incarnation = 2
	s.UpdateWorker(info, now.Add(time.Second))
	s.MarkUnreachable(start.Worker)
	bound := answerWait + maxCallDelay + testLimits.LeaseTTL
	is.Equal(len(startActions(planUntilIdle(s, now.Add(bound-time.Millisecond)))), 0)
	is.Equal(len(startActions(planUntilIdle(s, now.Add(bound+checkInterval)))), 1)
}

// Guards against the same while copies of the start are still being sent.
func TestARestartWhileAStartIsSentDoesNotStartItsTaskElsewhere(t *testing.T) {
	is := is.New(t)
	s, now, start := newSentStart(longRunningStep(1, 1000, 0), "a", "b")
	id := start.Worker
	now = now.Add(200 * time.Millisecond)
	reportWithLease(s, id, Report{Incarnation: 1, Clock: 5, Running: runningOn([]Action{start}, id), RequestedAt: now}, now)
	now = now.Add(100 * time.Millisecond)
	reportWithLease(s, id, Report{Incarnation: 2, Clock: 5, RequestedAt: now}, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
}

// Guards against the same after the run has ended: the next run may be anywhere, or the task done.
func TestARunThatHasEndedIsBarredFromARestartedWorker(t *testing.T) {
	is := is.New(t)
	s, now, start := newSentStart(taskStep(1, 1000), "a", "b")
	id := start.Worker
	s.StartAnswered(id, start.Task, start.Run, AnswerOKRepeated, now)
	now = now.Add(time.Second)
	reportWithLease(s, id, Report{Incarnation: 1, Clock: 5, Ended: []EndedAttempt{{Seq: 1, Task: start.Task, Run: start.Run, Reason: EndDone}}, RequestedAt: now}, now)
	now = now.Add(time.Second)
	reportWithLease(s, id, Report{Incarnation: 2, Clock: 5, RequestedAt: now}, now)
	stops := func() int { return len(s.Plan(now)) }
	is.Equal(stops(), 1)
	is.Equal(stops(), 0)
	now = now.Add(s.timing.StopRetryDelay)
	is.Equal(stops(), 1) // the first one got no answer
	s.StopAnswered(id, 2, start.Task, start.Run, AnswerOK, now)
	now = now.Add(s.timing.StopRetryDelay)
	is.Equal(stops(), 0)
}
