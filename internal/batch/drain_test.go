package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// longRunningStep returns a long-running step of which MaxDisrupted tasks may be unavailable at once.
func longRunningStep(count int, cpu int64, maxDisrupted int) Step {
	return Step{Count: count, Resources: Resources{CPU: cpu, MemoryMB: 100}, LongRunning: true, MaxDisrupted: maxDisrupted}
}

// drain announces that a worker drains, with the time that is left.
func drain(s *State, id WorkerID, left time.Duration, now time.Time) {
	info := s.workers[id].info
	info.Draining, info.MinRemaining = true, left
	s.UpdateWorker(info, now)
}

// withPercent returns the entries of a report with the given progress.
func withPercent(list []RunningAttempt, percent int) []RunningAttempt {
	for i := range list {
		list[i].Percent = percent
	}
	return list
}

// stopActions returns the stops among the actions.
func stopActions(actions []Action) (out []Action) {
	for _, a := range actions {
		if a.Kind == ActionStop {
			out = append(out, a)
		}
	}
	return out
}

// Regression: an owner is replaced while a worker drains. The new owner sees the drain before it adopts the
// long-running task there, which stayed until the worker left and then waited for the worker's lease.
func TestLongRunningTaskLeavesADrainingWorkerAfterATakeOver(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
	all := planUntilIdle(s, now)
	on := startActions(all)[0].Worker
	s.workers[on].info.Draining = true
	next := takeOver(s, now, "a", "b")
	for _, id := range []WorkerID{"a", "b"} {
		reportWithLease(next, id, Report{Incarnation: 1, Clock: 50, Running: withPercent(runningOn(all, id), fullPercent)}, now)
	}
	stops := stopActions(planEvery(next, now, testLimits.StopRetryDelay))
	is.Equal(len(stops), 1) // one stop, however often the worker is looked at
	is.Equal(stops[0].Worker, on)
}

// Regression: the other task of a step was not available when a worker announced that it drains. The task on
// that worker was never moved, though MaxDisrupted allowed it soon after the notice.
func TestTaskHeldBackAtTheNoticeOfADrainMovesLater(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b", "c")
	addJob(s, "j", "q", now, longRunningStep(2, 3000, 1))
	all := planUntilIdle(s, now)
	first, second := startActions(all)[0].Worker, startActions(all)[1].Worker
	reportWithLease(s, first, Report{Incarnation: 1, Clock: 50, Running: withPercent(runningOn(all, first), fullPercent)}, now)
	reportWithLease(s, second, Report{Incarnation: 1, Clock: 50, Running: withPercent(runningOn(all, second), 50)}, now)
	drain(s, first, 0, now)
	is.Equal(len(planEvery(s, now, time.Second)), 0) // the other task is away
	now = now.Add(time.Second)
	reportWithLease(s, second, Report{Incarnation: 1, Clock: 1050, Running: withPercent(runningOn(all, second), fullPercent)}, now)
	stops := stopActions(planEvery(s, now, testLimits.StopRetryDelay))
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Worker, first)
}

// Regression: several workers with tasks of one step drain. All tasks beyond MaxDisrupted stayed until their
// workers left; they follow one after the other, and no stop goes beyond the bound.
func TestTasksLeaveDrainingWorkersOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b", "c", "d", "e", "f")
	addJob(s, "j", "q", now, longRunningStep(3, 3000, 1))
	all := planUntilIdle(s, now)
	running := map[WorkerID][]RunningAttempt{}
	for _, a := range startActions(all) {
		running[a.Worker] = withPercent(runningOn(all, a.Worker), fullPercent)
	}
	report := func(id WorkerID, ends ...EndedAttempt) {
		reportWithLease(s, id, Report{Incarnation: 1, Clock: 50, Running: running[id], Ended: ends}, now)
	}
	for id := range running {
		report(id)
	}
	for _, a := range startActions(all) {
		drain(s, a.Worker, 0, now)
	}
	moved := 0
	for range 20 {
		now = now.Add(checkInterval)
		actions := planUntilIdle(s, now)
		stops := stopActions(actions)
		is.True(len(stops) <= 1) // one task is away at most
		for _, a := range stops {
			moved++
			running[a.Worker] = nil
			report(a.Worker, EndedAttempt{Seq: 1, Task: a.Task, Run: a.Run, Reason: EndStopped})
		}
		for _, a := range startActions(actions) {
			running[a.Worker] = withPercent(runningOn(actions, a.Worker), fullPercent)
			report(a.Worker)
		}
	}
	is.Equal(moved, 3)
}

// Regression: a task that is still starting counted against MaxDisrupted of its own move, so that it stayed on
// a draining worker although a stop disturbs nobody.
func TestTaskThatIsStillStartingLeavesADrainingWorkerAtOnce(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 1))
	all := planUntilIdle(s, now)
	on := startActions(all)[0].Worker
	reportWithLease(s, on, Report{Incarnation: 1, Clock: 50, Running: withPercent(runningOn(all, on), 50)}, now)
	drain(s, on, 0, now)
	is.Equal(len(stopActions(s.Plan(now))), 1)
}

// Regression: a task on a draining worker is slower than estimated. It was judged at the notice only, against
// the whole time that was left then, and ended with the worker.
func TestSlowTaskIsStoppedBeforeADrainingWorkerLeaves(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	step := taskStep(1, 1000)
	step.Checkpoints = true
	addJob(s, "j", "q", now, step)
	all := planUntilIdle(s, now)
	on := startActions(all)[0].Worker
	const left = 3 * time.Second
	drain(s, on, left, now)
	is.Equal(len(s.Plan(now)), 0) // by its estimate of 1 s it will be done
	now = now.Add(time.Second)
	drain(s, on, left, now) // the entry repeats the time that was left at the notice
	reportWithLease(s, on, Report{Incarnation: 1, Clock: 1050, Running: withPercent(runningOn(all, on), 20)}, now)
	is.Equal(len(stopActions(s.Plan(now))), 1) // it needs 4 s more, and 2 s are left
}

// A draining worker stays longer than it announced. A task whose progress a stop would lose goes on.
func TestTaskWithoutCheckpointsStaysOnAWorkerThatMayLeaveAnyMoment(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	all := planUntilIdle(s, now)
	on := startActions(all)[0].Worker
	const left = 1500 * time.Millisecond
	drain(s, on, left, now)
	for at := time.Duration(0); at < left; at += checkInterval {
		percent := int(fullPercent * at / (left - checkInterval))
		reportWithLease(s, on, Report{Incarnation: 1, Clock: 50, Running: withPercent(runningOn(all, on), min(percent, 95))}, now.Add(at))
		is.Equal(len(stopActions(s.Plan(now.Add(at)))), 0)
	}
	is.Equal(len(stopActions(planEvery(s, now.Add(left), time.Second))), 0)
}

// Guards against lasting tasks that are stopped as soon as their worker drains, though no other has room for them: they were
// down for many seconds while the worker would have served them on.
func TestLongRunningTasksLeaveADrainingWorkerWhenAnotherHasRoom(t *testing.T) {
	const left = 6 * time.Second
	for name, c := range map[string]struct {
		roomAfter time.Duration // when another worker comes
		left      time.Duration // at the notice; 0 if it is not known
		stopAfter time.Duration
	}{
		"room at once":          {0, left, 0},
		"room soon":             {2 * time.Second, left, 2 * time.Second},
		"no room in time":       {left, left, left - moveTime},
		"it leaves soon":        {left, moveTime, 0},
		"not known how long":    {left, 0, 0},
		"room at the last time": {left - moveTime, left, left - moveTime},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			full := s.workers["a"].info.Capacity
			addJob(s, "j", "q", now, longRunningStep(1, full.CPU, 0))
			all := planUntilIdle(s, now)
			reportWithLease(s, "a", Report{Incarnation: 1, Clock: 50, Running: withPercent(runningOn(all, "a"), fullPercent)}, now)
			if c.roomAfter == 0 {
				addWorker(s, "b", full, now)
			}
			drain(s, "a", c.left, now)
			stopped := time.Duration(-1)
			for at := time.Duration(0); at < left && stopped < 0; at += checkInterval {
				if at == c.roomAfter && at > 0 {
					addWorker(s, "b", full, now.Add(at))
				}
				if len(stopActions(s.Plan(now.Add(at)))) > 0 {
					stopped = at
				}
			}
			is.Equal(stopped, c.stopAfter)
		})
	}
}

// Guards against more tasks that leave a draining worker at once than find room, and against tasks that leave while others
// already wait for the room.
func TestOnlyAsManyTasksLeaveADrainingWorkerAsFindRoom(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	half := s.workers["a"].info.Capacity.CPU / 2
	addJob(s, "j", "q", now, longRunningStep(2, half, 0))
	all := planUntilIdle(s, now)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 50, Running: withPercent(runningOn(all, "a"), fullPercent)}, now)
	addWorker(s, "b", Resources{CPU: half, MemoryMB: 4000}, now)
	drain(s, "a", 6*time.Second, now)
	stops := stopActions(s.Plan(now))
	is.Equal(len(stops), 1)
	is.Equal(len(stopActions(s.Plan(now.Add(checkInterval)))), 0) // the room is meant for the first one
	now = now.Add(time.Second)
	running := withPercent(runningOn(all, "a"), fullPercent)
	for i := range running {
		if running[i].Task == stops[0].Task {
			running = append(running[:i], running[i+1:]...)
			break
		}
	}
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 1050, Running: running, Ended: []EndedAttempt{{Seq: 1, Task: stops[0].Task, Run: stops[0].Run, Reason: EndStopped}}}, now)
	actions := planUntilIdle(s, now)
	is.Equal(len(startActions(actions)), 1)
	is.Equal(len(stopActions(actions)), 0) // the room is taken
}
