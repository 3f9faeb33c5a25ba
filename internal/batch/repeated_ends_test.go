package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Regression: two runs of a long-running task fail while no end can be acknowledged. Each report repeated both
// ends, each repetition counted as a new failure, and both workers stayed shunned with room on them.
func TestRepeatedEndsOfALongRunningTaskCountOnce(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
	ends := map[WorkerID][]EndedAttempt{}
	running := map[WorkerID][]RunningAttempt{}
	for range 2 {
		run := startActions(planUntilIdle(s, now))[0]
		seq := int64(len(ends[run.Worker]) + 1)
		ends[run.Worker] = append(ends[run.Worker], EndedAttempt{Seq: seq, Task: run.Task, Run: run.Run, Reason: EndFailed})
		reportWithLease(s, run.Worker, Report{Incarnation: 1, Clock: 50, Ended: ends[run.Worker]}, now)
	}
	is.Equal(len(ends), 2) // one failure on each worker
	third := planUntilIdle(s, now)
	on := startActions(third)[0].Worker
	running[on] = withPercent(runningOn(third, on), fullPercent)
	for range 10 {
		now = now.Add(time.Second)
		for _, id := range []WorkerID{"a", "b"} {
			reportWithLease(s, id, Report{Incarnation: 1, Clock: 5000, Running: running[id], Ended: ends[id]}, now)
			is.True(s.workers[id].usable(s, now))
		}
		s.MarkStored(s.TakeDirty(1))
	}
	is.Equal(s.DirtyJobs(), 0)
}

// Regression: a task was done on a worker, which then fails all others. While no end can be acknowledged, each
// report repeated the end of the first and so cleared the failures since.
func TestRepeatedDoneDoesNotClearLaterFailures(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(3, 1000))
	var ends []EndedAttempt
	for i, a := range startActions(planUntilIdle(s, now)) {
		reason := EndFailed
		if i == 0 {
			reason = EndDone
		}
		ends = append(ends, EndedAttempt{Seq: int64(i + 1), Task: a.Task, Run: a.Run, Reason: reason})
		reportWithLease(s, "a", Report{Incarnation: 1, Clock: 50, Ended: ends}, now)
	}
	is.True(!s.workers["a"].usable(s, now)) // two failures in a row
}

// Regression: the end of a task's first run is repeated while a later run saves checkpoints. The repeated end
// brought back the old checkpoint, from which the task then resumed.
func TestRepeatedEndDoesNotBringBackAnOldCheckpoint(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	step := taskStep(1, 1000)
	step.Checkpoints = true
	addJob(s, "j", "q", now, step)
	first := startActions(planUntilIdle(s, now))[0]
	end := EndedAttempt{Seq: 1, Task: first.Task, Run: first.Run, Reason: EndFailed, Checkpoint: "early"}
	reportWithLease(s, first.Worker, Report{Incarnation: 1, Clock: 50, Ended: []EndedAttempt{end}}, now)
	second := startActions(planUntilIdle(s, now))[0]
	is.Equal(second.Checkpoint, "early")
	is.True(second.Worker != first.Worker)
	reportWithLease(s, second.Worker, Report{Incarnation: 1, Clock: 50, Running: []RunningAttempt{{Task: second.Task, Run: second.Run, Checkpoint: "late", Percent: 90}}}, now)
	reportWithLease(s, first.Worker, Report{Incarnation: 1, Clock: 60, Ended: []EndedAttempt{end}}, now)
	reportWithLease(s, second.Worker, Report{Incarnation: 2, Clock: 5}, now) // it has crashed
	third := startActions(planUntilIdle(s, now))
	is.Equal(len(third), 1)
	is.Equal(third[0].Checkpoint, "late")
}

// A worker that was restarted counts its ends from 1 again. They count as new.
func TestEndsOfARestartedWorkerCount(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(3, 1000))
	runs := startActions(planUntilIdle(s, now))
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 50, Running: []RunningAttempt{}, Ended: []EndedAttempt{{Seq: 7, Task: runs[0].Task, Run: runs[0].Run, Reason: EndDone}}}, now)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 5}, now)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 6}, now)
	for i, a := range startActions(planUntilIdle(s, now)) {
		reportWithLease(s, "a", Report{Incarnation: 2, Clock: 50, Ended: []EndedAttempt{{Seq: int64(i + 1), Task: a.Task, Run: a.Run, Reason: EndFailed}}}, now)
	}
	is.True(!s.workers["a"].usable(s, now))
}
