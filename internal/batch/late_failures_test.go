package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// failingTask is a job of one task that fails on every worker, and the ends that the workers hold: none is ever
// acknowledged.
type failingTask struct {
	is   *is.I
	now  time.Time
	ends map[WorkerID][]EndedAttempt
	// starts are all starts, by any owner.
	starts []Action
	// stored is the job's record as the store holds it.
	stored map[string]Record
}

// newFailingTask returns the task and its first owner, which has not planned yet.
func newFailingTask(t *testing.T, workers ...WorkerID) (*failingTask, *State) {
	s, now := newTestState(workers...)
	addJob(s, "j", "q", now, taskStep(1, 1000))
	return &failingTask{is: is.New(t), now: now, ends: map[WorkerID][]EndedAttempt{}}, s
}

// store makes the records of an owner durable.
func (f *failingTask) store(s *State) {
	records := s.TakeDirty(10)
	if len(records) > 0 {
		f.stored = records
	}
	s.MarkStored(records)
}

// plan plans once and returns the starts, which the workers accept.
func (f *failingTask) plan(s *State) []Action {
	starts := startActions(s.Plan(f.now))
	for _, a := range starts {
		s.StartSent(a.Worker, a.Task, a.Run, 1000)
		s.StartAnswered(a.Worker, a.Task, a.Run, AnswerOK, f.now)
	}
	f.starts = append(f.starts, starts...)
	return starts
}

// planAndStore plans and stores until nothing more follows, and returns the starts.
func (f *failingTask) planAndStore(s *State) []Action {
	var starts []Action
	for range 4 {
		starts = append(starts, f.plan(s)...)
		f.store(s)
	}
	return starts
}

// fail lets the worker end the run as failed, without a report.
func (f *failingTask) fail(a Action) {
	seq := int64(len(f.ends[a.Worker]) + 1)
	f.ends[a.Worker] = append(f.ends[a.Worker], EndedAttempt{Seq: seq, Task: a.Task, Run: a.Run, Reason: EndFailed})
}

// report passes a complete report of a worker, which lists all its ends.
func (f *failingTask) report(s *State, id WorkerID, running ...RunningAttempt) {
	reportWithLease(s, id, Report{Incarnation: 1, Clock: 50, Running: running, Ended: f.ends[id]}, f.now)
}

// takeOver returns the next owner, which has loaded the stored record.
func (f *failingTask) takeOver(s *State, known ...WorkerID) *State {
	return takeOverFrom(s, f.stored, f.now, known...)
}

// asRunning is the entry of a start in a report.
func asRunning(a Action) RunningAttempt {
	return RunningAttempt{Task: a.Task, Run: a.Run, Percent: 10}
}

// failTwiceAndTakeOver lets the first run fail, of which no record tells, and the second one run as the next owner
// takes over. The worker of the second run has reported to it; the worker of the first has not.
func failTwiceAndTakeOver(t *testing.T) (f *failingTask, next *State, first, second Action) {
	f, s := newFailingTask(t, "a", "b", "c", "d")
	first = f.planAndStore(s)[0]
	f.fail(first)
	f.report(s, first.Worker)
	second = f.plan(s)[0]
	next = f.takeOver(s, "a", "b", "c", "d")
	for _, id := range []WorkerID{"a", "b", "c", "d"} {
		switch id {
		case first.Worker:
		case second.Worker:
			f.report(next, id, asRunning(second))
		default:
			f.report(next, id)
		}
	}
	f.is.Equal(len(f.planAndStore(next)), 0) // the second run goes on
	return f, next, first, second
}

// Regression: a task failed on several workers, and no end was recorded or acknowledged. The next owner found its last run on
// one worker and counted the failures from there. It started the task beyond its maximum while other workers still
// held the ends of the earlier runs.
func TestEndsThatOtherWorkersReportLateCountAgainstTheMaximum(t *testing.T) {
	f, next, first, second := failTwiceAndTakeOver(t)
	f.fail(second)
	f.report(next, second.Worker)
	third := f.planAndStore(next)
	f.is.Equal(len(third), 1) // two runs have failed at the most

	f.fail(third[0])
	f.report(next, third[0].Worker)
	f.is.Equal(len(f.planAndStore(next)), 0) // three may have
	f.report(next, first.Worker)
	f.is.Equal(len(f.planAndStore(next)), 0)
	f.is.Equal(next.Job("j").Status(), Failed)
}

// The same if the former owner has started the task for the last time that its queue allows.
func TestNoRunAfterTheMaximumOfWhichTheFormerOwnerKnewAlone(t *testing.T) {
	f, s := newFailingTask(t, "a", "b", "c", "d")
	f.planAndStore(s)
	for len(f.starts) < 3 {
		last := f.starts[len(f.starts)-1]
		f.fail(last)
		f.report(s, last.Worker)
		if len(f.plan(s)) == 0 {
			f.store(s) // the failures so far
			f.is.Equal(len(f.plan(s)), 1)
		}
	}
	third := f.starts[2]
	next := f.takeOver(s, "a", "b", "c", "d")
	f.report(next, third.Worker, asRunning(third))
	f.is.Equal(len(f.planAndStore(next)), 0)
	f.fail(third)
	f.report(next, third.Worker)
	for _, id := range []WorkerID{"a", "b", "c", "d"} {
		f.is.Equal(len(f.planAndStore(next)), 0)
		f.report(next, id)
	}
	f.is.Equal(len(f.planAndStore(next)), 0)
	f.is.Equal(next.Job("j").Status(), Failed)
}

// The same over two take-overs: neither the first nor the second owner has recorded the failure that it knew alone.
func TestLateEndsCountAgainstTheMaximumAfterASecondTakeOver(t *testing.T) {
	f, next, first, second := failTwiceAndTakeOver(t)
	f.fail(second)
	f.report(next, second.Worker)
	f.is.Equal(len(f.plan(next)), 0) // the record would lack two failures
	f.store(next)
	third := f.plan(next)
	f.is.Equal(len(third), 1)

	last := f.takeOver(next, "a", "b", "c", "d")
	f.report(last, third[0].Worker, asRunning(third[0]))
	f.is.Equal(len(f.planAndStore(last)), 0)
	f.fail(third[0])
	f.report(last, third[0].Worker)
	f.is.Equal(len(f.planAndStore(last)), 0) // three runs may have failed
	f.report(last, first.Worker)
	f.is.Equal(len(f.planAndStore(last)), 0)
	f.is.Equal(last.Job("j").Status(), Failed)
}

// The same for a gang, whose failed runs count together.
func TestLateEndsOfAGangCountAgainstTheMaximum(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b", "c", "d")
	step := taskStep(2, 3000)
	step.Gang = true
	addJob(s, "j", "q", now, step)
	ends := map[WorkerID][]EndedAttempt{}
	// endRun lets the member on the first worker fail, so that the other one is broken.
	endRun := func(starts []Action) {
		for i, a := range starts {
			reason := EndFailed
			if i > 0 {
				reason = EndGangBroken
			}
			ends[a.Worker] = append(ends[a.Worker], EndedAttempt{Seq: int64(len(ends[a.Worker]) + 1), Task: a.Task, Run: a.Run, Reason: reason})
		}
	}
	report := func(s *State, id WorkerID, running ...RunningAttempt) {
		reportWithLease(s, id, Report{Incarnation: 1, Clock: 50, Running: running, Ended: ends[id]}, now)
	}
	s.Plan(now)
	stored := s.TakeDirty(10)
	s.MarkStored(stored)
	run := startActions(s.Plan(now))
	silent := run[0].Worker // holds the failure of the first run
	endRun(run)
	for _, a := range run {
		s.StartAnswered(a.Worker, a.Task, a.Run, AnswerOK, now)
		report(s, a.Worker)
	}
	run = startActions(s.Plan(now))
	is.Equal(len(run), 2)
	next := takeOverFrom(s, stored, now, "a", "b", "c", "d")
	failures := 1
	for len(run) > 0 {
		if run[0].Worker == silent {
			run[0], run[1] = run[1], run[0] // the silent worker must not have to report this failure
		}
		for _, a := range run {
			report(next, a.Worker, asRunning(a))
		}
		endRun(run)
		failures++
		for _, id := range []WorkerID{"a", "b", "c", "d"} {
			if id != silent {
				report(next, id)
			}
		}
		if failures > 3 {
			t.Fatal("a fourth run was started")
		}
		run = startActions(planUntilIdle(next, now))
	}
	report(next, silent)
	is.Equal(len(startActions(planUntilIdle(next, now))), 0)
	is.Equal(next.Job("j").Status(), Failed)
}

// The wait ends when the worker that may hold another failure answers that it has none.
func TestATaskIsStartedAgainOnceNoFailureCanBeUnknown(t *testing.T) {
	f, next, first, second := failTwiceAndTakeOver(t)
	f.ends[first.Worker] = nil // it has been restarted, as an example
	f.fail(second)
	f.report(next, second.Worker)
	third := f.planAndStore(next)
	f.fail(third[0])
	f.report(next, third[0].Worker)
	f.is.Equal(len(f.planAndStore(next)), 0)
	f.report(next, first.Worker)
	f.is.Equal(len(f.planAndStore(next)), 1)
}

// The wait ends too when the lease of that worker has ended, after which its ends are not acknowledged any more.
func TestATaskDoesNotWaitForFailuresOnAWorkerThatIsGone(t *testing.T) {
	f, next, first, second := failTwiceAndTakeOver(t)
	next.MarkUnreachable(first.Worker)
	f.fail(second)
	f.report(next, second.Worker)
	third := f.planAndStore(next)
	f.fail(third[0])
	f.report(next, third[0].Worker)
	f.now = f.now.Add(8900 * time.Millisecond)
	f.is.Equal(len(f.planAndStore(next)), 0)
	f.now = f.now.Add(100*time.Millisecond + checkInterval)
	f.is.Equal(len(f.planAndStore(next)), 1)
}

// A task that lasts has no maximum and never waits for the ends of its earlier runs.
func TestALongRunningTaskDoesNotWaitForItsFailures(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b", "c")
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
	start := startActions(planUntilIdle(s, now))[0]
	next := takeOver(s, now, "a", "b", "c")
	for _, id := range []WorkerID{"a", "b", "c"} {
		if id == start.Worker {
			reportWithLease(next, id, Report{Incarnation: 1, Clock: 50, Running: []RunningAttempt{asRunning(start)}}, now)
		}
	}
	for n := range 3 {
		ends := []EndedAttempt{{Seq: int64(n + 1), Task: start.Task, Run: start.Run, Reason: EndFailed}}
		reportWithLease(next, start.Worker, Report{Incarnation: 1, Clock: 50, Ended: ends}, now)
		now = now.Add(lastResortDelay)
		again := startActions(planUntilIdle(next, now))
		is.Equal(len(again), 1)
		start = again[0]
	}
}

// A retry waits for the record only if two failures are missing in it, so that an outage of the store does not delay
// the first retry.
func TestTheFirstRetryDoesNotWaitForTheRecord(t *testing.T) {
	f, s := newFailingTask(t, "a", "b", "c")
	f.planAndStore(s)
	f.fail(f.starts[0])
	f.report(s, f.starts[0].Worker)
	f.is.Equal(len(f.plan(s)), 1)
	f.fail(f.starts[1])
	f.report(s, f.starts[1].Worker)
	f.is.Equal(len(f.plan(s)), 0)
	f.is.True(s.HasUrgentRecords())
	f.store(s)
	f.is.Equal(len(f.plan(s)), 1)
}
