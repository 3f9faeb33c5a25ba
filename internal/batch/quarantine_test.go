package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endTracker reports ends of attempts, with the numbers that a worker gives them.
type endTracker struct {
	s    *State
	seqs map[WorkerID]int64
}

func newEndTracker(s *State) *endTracker { return &endTracker{s: s, seqs: map[WorkerID]int64{}} }

// report lets a worker report the end of the attempt that a start began, and what it runs besides.
func (e *endTracker) report(start Action, reason EndReason, running []RunningAttempt, now time.Time) {
	e.seqs[start.Worker]++
	end := EndedAttempt{Seq: e.seqs[start.Worker], Task: start.Task, Run: start.Run, Reason: reason}
	reportWithLease(e.s, start.Worker, Report{Incarnation: 1, Clock: 5000, Running: running, Ended: []EndedAttempt{end}}, now)
}

// Regression: on a worker with long-running tasks only, nothing is ever done, so failures hours apart counted as
// in a row. From the second on, each failure of any task kept the worker from all tasks for 8 s.
func TestRareFailuresOfLongRunningTasksShunNoWorker(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	ends := newEndTracker(s)
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
	for range 5 {
		starts := startActions(planUntilIdle(s, now))
		is.Equal(len(starts), 1) // it restarts at once
		planEvery(s, now, maxLongRunningFailureAge)
		now = now.Add(maxLongRunningFailureAge)
		ends.report(starts[0], EndFailed, nil, now)
	}
}

// A worker fails the long-running tasks that it gets, one soon after the other. It is shunned as one that fails
// finite tasks, also when it goes on after the quarantine.
func TestWorkerThatFailsLongRunningTasksInARowIsShunned(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	ends := newEndTracker(s)
	addJob(s, "j", "q", now, longRunningStep(2, 1000, 0))
	fail := func(starts []Action) {
		for _, a := range starts {
			ends.report(a, EndFailed, nil, now)
		}
	}
	fail(startActions(planUntilIdle(s, now)))
	is.True(!s.workers["a"].usable(s, now))
	now = now.Add(quarantineTime)
	is.True(s.workers["a"].usable(s, now))
	fail(startActions(planUntilIdle(s, now))[:1])
	is.True(!s.workers["a"].usable(s, now)) // the first failure after the quarantine is enough
}

// One or two workers fail everything that they get, among healthy ones with tasks of the same jobs. Each fails no
// more than it gets at once, and the healthy ones are never shunned.
func TestWorkersThatFailEverythingAreShunnedAmongHealthyOnes(t *testing.T) {
	for _, c := range []struct{ tasks, sick int }{{1, 1}, {3, 1}, {12, 1}, {1, 2}, {4, 2}, {16, 2}} {
		t.Run(fmt.Sprintf("%d tasks a job, %d workers fail", c.tasks, c.sick), func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("h1", "h2")
			for i := range c.sick {
				addWorker(s, WorkerID(fmt.Sprint("fails", i)), Resources{CPU: 4000, MemoryMB: 4000}, now)
			}
			ends := newEndTracker(s)
			failures := map[WorkerID]int{}
			for i := range 40 {
				now = now.Add(100 * time.Millisecond)
				addJob(s, fmt.Sprint("j", i), "q", now, taskStep(c.tasks, 1000))
				for _, a := range startActions(planUntilIdle(s, now)) {
					reason := EndDone
					if a.Worker != "h1" && a.Worker != "h2" {
						reason = EndFailed
						failures[a.Worker]++
					}
					ends.report(a, reason, nil, now)
				}
				is.True(s.workers["h1"].usable(s, now))
				is.True(s.workers["h2"].usable(s, now))
			}
			is.Equal(len(failures), c.sick)
			for id, n := range failures {
				is.True(n <= 4) // the room of a worker
				is.True(n == 1 || !s.workers[id].usable(s, now))
			}
		})
	}
}

// Regression: jobs whose tasks fail everywhere had healthy workers shunned, and a long-running task that failed
// meanwhile waited for 6 s with room.
func TestHopelessJobsDoNotKeepLongRunningTasksDown(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	ends := newEndTracker(s)
	addJob(s, "lasts", "q", now, longRunningStep(1, 1000, 0))
	running := startActions(planUntilIdle(s, now))[0]
	var downSince time.Time
	var longest time.Duration
	for i := range 120 {
		now = now.Add(checkInterval)
		if i%4 == 0 {
			addJob(s, fmt.Sprint("hopeless", i), "q", now, taskStep(2, 500))
		}
		if i%40 == 30 && downSince.IsZero() {
			ends.report(running, EndFailed, nil, now)
			downSince = now
		}
		for _, a := range startActions(planUntilIdle(s, now)) {
			if a.Task.Job == "lasts" {
				running, downSince = a, time.Time{}
				continue
			}
			var still []RunningAttempt
			if downSince.IsZero() && running.Worker == a.Worker {
				still = []RunningAttempt{{Task: running.Task, Run: running.Run, Percent: fullPercent}}
			}
			ends.report(a, EndFailed, still, now)
		}
		if !downSince.IsZero() {
			longest = max(longest, now.Sub(downSince))
		}
	}
	is.True(downSince.IsZero())
	is.True(longest <= lastResortDelay+checkInterval) // LOST is after 9 s
	t.Log("longest time down:", longest)
}

// Regression: a worker is shunned for the failures of a job, which then fails on another one too. The quarantine
// went on though the failures point to the job.
func TestFailuresElsewhereExonerateAWorker(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	ends := newEndTracker(s)
	addJob(s, "hopeless", "q", now, taskStep(2, 1000))
	for _, a := range startActions(planUntilIdle(s, now)) {
		ends.report(a, EndFailed, nil, now)
	}
	is.True(!s.workers["a"].usable(s, now))
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	now = now.Add(lastResortDelay)
	ends.report(startActions(planUntilIdle(s, now))[0], EndFailed, nil, now)
	is.True(s.workers["a"].usable(s, now))
	is.True(s.workers["b"].usable(s, now))
}

// Guards against jobs that stand still though the only workers that may run them are empty: these were shunned for
// the failures of a step, and only long-running tasks had a last resort. Finite ones waited for 8 s (LOST is after 3 s).
func TestFiniteTasksUseShunnedWorkersWhenThereIsNoOther(t *testing.T) {
	gang := taskStep(2, 1000)
	gang.Gang = true
	for name, step := range map[string]Step{"a step of its own": taskStep(1, 1000), "a gang": gang} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			ends := newEndTracker(s)
			addJob(s, "fails", "q", now, taskStep(2, 500))
			for _, start := range startActions(planUntilIdle(s, now)) {
				ends.report(start, EndFailed, nil, now)
			}
			is.True(!s.workers["a"].usable(s, now))
			addJob(s, "waits", "q", now, step)
			is.Equal(len(startActions(planUntilIdle(s, now))), 0) // the worker rests first
			now = now.Add(lastResortDelay)
			starts := startActions(planUntilIdle(s, now))
			is.True(slices.ContainsFunc(starts, func(a Action) bool { return a.Task.Job == "waits" }))
		})
	}
}

// Guards against finite tasks that use up their attempts on a worker that fails everything while the others are busy.
func TestFiniteTasksWaitForBusyWorkersRatherThanUseAShunnedOne(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b", "c")
	ends := newEndTracker(s)
	addJob(s, "works", "q", now, taskStep(6, 2000)) // two on each worker
	for _, start := range startActions(planUntilIdle(s, now)) {
		if start.Worker == "c" {
			ends.report(start, EndFailed, nil, now)
		}
	}
	is.True(!s.workers["c"].usable(s, now))
	now = now.Add(lastResortDelay)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
}

// Regression: the only worker with room for a long-running task is shunned for failures. The task waited for the
// end of the quarantine, and started anew with each failure there; now it starts after a short pause.
func TestLongRunningTaskUsesAShunnedWorkerWhenThereIsNoOther(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "full")
	ends := newEndTracker(s)
	s.workers["full"].used = s.workers["full"].info.Capacity
	addJob(s, "fails", "q", now, taskStep(2, 1000))
	for _, a := range startActions(planUntilIdle(s, now)) {
		ends.report(a, EndFailed, nil, now)
	}
	addJob(s, "lasts", "q", now, longRunningStep(1, 1000, 0))
	is.Equal(len(startActions(planUntilIdle(s, now.Add(lastResortDelay-checkInterval)))), 0)
	starts := startActions(planUntilIdle(s, now.Add(lastResortDelay)))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Job, "lasts") // the finite tasks wait for the end of the quarantine
	is.Equal(starts[0].Worker, WorkerID("a"))
}

// A worker refuses starts as unhealthy, or stalls all that it runs. It gets no long-running task either until its
// quarantine ends.
func TestWorkerThatRefusesOrStallsIsNoLastResort(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("refuses", "stalls")
	s.workers["refuses"].quarantine(now, refusalQuarantineTime, refusalQuarantineTime)
	s.workers["stalls"].quarantine(now, quarantineTime, quarantineTime)
	addJob(s, "lasts", "q", now, longRunningStep(1, 1000, 0))
	is.Equal(len(startActions(planUntilIdle(s, now.Add(refusalQuarantineTime-time.Millisecond)))), 0)
	starts := startActions(planUntilIdle(s, now.Add(refusalQuarantineTime)))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, WorkerID("refuses"))
}

// A worker is shunned for two failures while a task goes on there, which is then done. One failure more neither
// ends the quarantine nor begins a new one.
func TestOneFailureAfterATaskWasDoneLeavesTheQuarantineAsItIs(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	ends := newEndTracker(s)
	addJob(s, "j", "q", now, taskStep(4, 1000))
	starts := startActions(planUntilIdle(s, now))
	for i, reason := range []EndReason{EndFailed, EndFailed, EndDone, EndFailed} {
		ends.report(starts[i], reason, runningOn(starts[i+1:], "a"), now)
		now = now.Add(time.Second)
	}
	is.Equal(s.workers["a"].quarantinedUntil, now.Add(quarantineTime-3*time.Second))
}
