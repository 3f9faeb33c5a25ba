package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// unevenWorld has workers with two tasks each of one step, whose progress a test sets.
type unevenWorld struct {
	s      *State
	now    time.Time
	starts []Action
	stops  map[TaskID]WorkerID
	// rate returns the progress of a task in percent a second.
	rate func(a Action) float64
}

func newUnevenWorld(t *testing.T, step Step, rate func(a Action) float64) *unevenWorld {
	t.Helper()
	s, now := newTestState("a", "b", "c", "d", "e", "f")
	for id := range s.workers {
		info := s.workers[id].info
		info.Capacity.CPU = 8000
		s.UpdateWorker(info, now)
	}
	w := &unevenWorld{s: s, now: now, rate: rate, stops: map[TaskID]WorkerID{}}
	step.MaxPerWorker = 2
	addJob(s, "j", "q", now, step)
	w.starts = startActions(planUntilIdle(s, now))
	return w
}

// run reports the progress of the tasks for a while, and notes the stops.
func (w *unevenWorld) run(d time.Duration) {
	begun := w.now
	w.report(d, func(a Action) RunningAttempt {
		return RunningAttempt{Percent: min(99, int(w.rate(a)*w.now.Sub(begun).Seconds()))}
	})
}

// measure reports latencies of long-running tasks that are ready for a while, in milliseconds, and notes the stops.
func (w *unevenWorld) measure(d time.Duration, latency func(Action) int64) {
	w.report(d, func(a Action) RunningAttempt { return RunningAttempt{Percent: fullPercent, Measurement: latency(a)} })
}

// report reports what entry says of each task for a while, and notes the stops.
func (w *unevenWorld) report(d time.Duration, entry func(Action) RunningAttempt) {
	begun := w.now
	for w.now.Sub(begun) < d {
		w.now = w.now.Add(checkInterval)
		reports := map[WorkerID]*Report{}
		for _, a := range w.starts {
			r := reports[a.Worker]
			if r == nil {
				r = &Report{Incarnation: 1, Clock: 50}
				reports[a.Worker] = r
			}
			e := entry(a)
			e.Task, e.Run = a.Task, a.Run
			r.Running = append(r.Running, e)
		}
		for id, r := range reports {
			reportWithLease(w.s, id, *r, w.now)
		}
		for _, a := range w.s.Plan(w.now) {
			if a.Kind == ActionStop {
				w.stops[a.Task] = a.Worker
			}
		}
	}
}

func (w *unevenWorld) stoppedOn(id WorkerID) int {
	n := 0
	for _, worker := range w.stops {
		if worker == id {
			n++
		}
	}
	return n
}

// The load: one of several workers is slow, or lets its tasks stand still, and a step waits for the tasks there. Guards against tasks
// that stay on it for the 3.5 s after which a task without progress counts as stalled, and against new ones that are started there.
func TestTasksLeaveAWorkerThatIsSlowerThanItsPeers(t *testing.T) {
	gang, bounded, checkpoints := taskStep(10, 1000), taskStep(10, 1000), taskStep(10, 1000)
	gang.Gang, bounded.MaxDisrupted, checkpoints.Checkpoints = true, 1, true
	slowOn := func(id WorkerID, rate float64) func(Action) float64 {
		return func(a Action) float64 {
			if a.Worker == id {
				return rate
			}
			return 40
		}
	}
	long := map[WorkerID]int{}
	longTasks := func(a Action) float64 {
		if a.Worker > "b" {
			return 40
		}
		if _, known := long[a.Worker]; !known {
			long[a.Worker] = a.Task.Index
		}
		if long[a.Worker] == a.Task.Index {
			return 6
		}
		return 40
	}
	for _, c := range []struct {
		name    string
		step    Step
		rate    func(Action) float64
		avoided bool
		stops   int
	}{
		{"all are equal", taskStep(10, 1000), slowOn("a", 40), false, 0},
		{"its tasks stand still", taskStep(10, 1000), slowOn("a", 0), true, 2},
		{"its tasks are eight times slower", taskStep(10, 1000), slowOn("a", 5), true, 2},
		{"the same with checkpoints", checkpoints, slowOn("a", 5), true, 2},
		{"its tasks take twice as long", taskStep(10, 1000), slowOn("a", 20), false, 0},
		{"members of a gang stay", gang, slowOn("a", 5), true, 0},
		{"the step bounds disruptions", bounded, slowOn("a", 5), true, 0},
		{"one long task on each of two workers", taskStep(10, 1000), longTasks, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newUnevenWorld(t, c.step, c.rate)
			is.Equal(len(w.starts), 10)
			w.run(2 * time.Second)
			is.Equal(len(eventsNamed(w.s, "worker.slow")) > 0, c.avoided)
			is.Equal(w.stoppedOn("a"), c.stops)
			is.Equal(len(w.stops), c.stops)
			is.Equal(!w.s.workers["a"].usable(w.s, w.now), c.avoided)
		})
	}
}

// Guards against verdicts on tasks that the owner itself has slowed down.
func TestTasksWithACPULimitTellNothingOfTheirWorker(t *testing.T) {
	is := is.New(t)
	w := newUnevenWorld(t, taskStep(10, 1000), func(a Action) float64 {
		if a.Worker == "a" {
			return 5
		}
		return 40
	})
	for _, a := range w.s.workers["a"].attempts {
		a.cpuLimit = 20
	}
	w.run(2 * time.Second)
	is.Equal(len(eventsNamed(w.s, "worker.slow")), 0)
}

// Guards against slow workers that are preferred as they are empty, once they may get tasks again.
func TestAWorkerThatWasSlowLatelyComesLast(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	s.workers["a"].avoidance.Begin(0.1, now.Add(-4*time.Second))
	addJob(s, "busy", "q", now, taskStep(1, 1000))
	starts := startActions(planUntilIdle(s, now))
	is.Equal(starts[0].Worker, WorkerID("b"))
	addJob(s, "next", "q", now, taskStep(1, 1000))
	is.Equal(startActions(planUntilIdle(s, now))[0].Worker, WorkerID("b"))
	later := now.Add(time.Minute)
	for _, id := range []WorkerID{"a", "b"} {
		reportWithLease(s, id, Report{Incarnation: 1, Clock: 60}, later)
	}
	addJob(s, "later", "q", later, taskStep(1, 1000))
	is.Equal(startActions(planUntilIdle(s, later))[0].Worker, WorkerID("a"))
}

// The load: long-running services on a worker that has turned slow miss their targets many times over. Guards against services
// that stay there, against more moves at a time than their step allows, and against blaming a worker for its best-effort tasks.
func TestServicesLeaveASlowWorkerWithinTheBoundOnDisruptions(t *testing.T) {
	for _, c := range []struct {
		name         string
		maxDisrupted int
		bestEffort   bool
		stops        int
	}{
		{"no bound", 0, false, 2},
		{"one at a time", 1, false, 1},
		{"a best-effort task disturbs them", 0, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			step := longRunningStep(10, 1000, c.maxDisrupted)
			step.LatencyTarget = 50 * time.Millisecond
			w := newUnevenWorld(t, step, func(Action) float64 { return 0 })
			is.Equal(len(w.starts), 10)
			slow := w.starts[0].Worker
			if c.bestEffort {
				w.s.workers[slow].bestEffortEndedAt = w.now.Add(time.Hour)
			}
			w.measure(2*time.Second, func(a Action) int64 {
				if a.Worker == slow {
					return 2500
				}
				return 30
			})
			is.Equal(w.stoppedOn(slow), c.stops)
			is.Equal(len(w.stops), c.stops)
		})
	}
}
