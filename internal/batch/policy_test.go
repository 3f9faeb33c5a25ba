package batch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/placement"
)

// latencySensitiveStep returns a long-running step with a latency target of 50 ms.
func latencySensitiveStep(image string, count int) Step {
	return Step{Count: count, Resources: Resources{CPU: 1000, MemoryMB: 100}, LongRunning: true, Image: image, LatencyTarget: 50 * time.Millisecond}
}

func bestEffortStep(image string, count int) Step {
	return Step{Count: count, Resources: Resources{CPU: 1000, MemoryMB: 100}, Estimate: 2 * time.Second, BestEffort: true, Checkpoints: true, Image: image}
}

// A best-effort task starts beside a latency-sensitive task only if their images do not interfere.
func TestFillersThatPressAreKeptApart(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	s.interferenceModel.weights[ImagePair{"heavy", "web"}] = weightEstimate{mean: 5, variance: 0.1}
	s.interferenceModel.weights[ImagePair{"light", "web"}] = weightEstimate{mean: 0, variance: 0.1}
	addJob(s, "web", "q", now, latencySensitiveStep("web", 1))
	planUntilIdle(s, now)
	addJob(s, "heavy", "late", now, bestEffortStep("heavy", 1))
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	addJob(s, "light", "late", now, bestEffortStep("light", 1))
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}

// The weight of a pair of images rises if the best-effort task raises the measured latency, and falls
// if it has no effect.
func TestWeightsFollowMeasurements(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		weight float64
		rises  bool
	}{{weight: 4, rises: true}, {weight: 0, rises: false}} {
		p := newInterferenceModel()
		now := time.Unix(1_000_000, 0)
		job := &Job{ID: "web"}
		for i := range 40 {
			x := 0.1 * float64(i%2)
			u := 0.4 * (1 + c.weight*x)
			p.applyMeasurement(measurement{job: job, image: "web", utilisation: u}, map[string]float64{"fill": x}, now)
			now = now.Add(500 * time.Millisecond)
		}
		got := p.weight(ImagePair{"fill", "web"}).mean
		is.True((got > 2) == c.rises) // on the right side of the prior weight, which is 2
	}
}

// The load filter follows an oscillating base load and predicts it predictionHorizon ahead.
func TestLoadsArePredicted(t *testing.T) {
	is := is.New(t)
	p := newInterferenceModel()
	job := &Job{ID: "web"}
	now := time.Unix(1_000_000, 0)
	load := func(at time.Time) float64 {
		const period = 20.0
		return 0.45 + 0.2*math.Sin(2*math.Pi*at.Sub(time.Unix(1_000_000, 0)).Seconds()/period)
	}
	for range 200 {
		p.applyMeasurement(measurement{job: job, image: "web", utilisation: load(now)}, nil, now)
		l := p.loads[job]
		if now.After(time.Unix(1_000_005, 0)) {
			is.True(math.Abs(l.level-load(now)) < 0.02)
			later := now.Add(predictionHorizon)
			is.True(l.maxUntil(later) > load(later)-0.04) // a rising load is predicted
			is.True(l.maxUntil(later) < max(load(now), load(later))+0.06)
		}
		now = now.Add(150 * time.Millisecond)
	}
}

// A job with an oscillating load has tasks on two workers: one beside an image that interferes, one
// beside an image that does not. The estimated weights tell the two images apart.
func TestWeightsAreToldFromTheLoad(t *testing.T) {
	is := is.New(t)
	p := newInterferenceModel()
	job := &Job{ID: "web"}
	now := time.Unix(1_000_000, 0)
	for i := range 60 {
		load := 0.4 + 0.15*math.Sin(float64(i)/12)
		p.applyMeasurement(measurement{job: job, image: "web", utilisation: load}, map[string]float64{"light": 0.2}, now)
		p.applyMeasurement(measurement{job: job, image: "web", utilisation: load * (1 + 4*0.1)}, map[string]float64{"heavy": 0.1}, now.Add(30*time.Millisecond))
		now = now.Add(300 * time.Millisecond)
	}
	heavy, light := p.weight(ImagePair{"heavy", "web"}).mean, p.weight(ImagePair{"light", "web"}).mean
	is.True(heavy > 2)
	is.True(light < 1)
}

// A latency target is missed beside a best-effort task. The task is throttled, and moves as soon as
// another worker can run it.
func TestFillerIsPacedThenMoved(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	s.interferenceModel.weights[ImagePair{"fill", "web"}] = weightEstimate{mean: 0.5, variance: 0.1}
	addJob(s, "web", "q", now, latencySensitiveStep("web", 1))
	addJob(s, "fill", "late", now, bestEffortStep("fill", 1))
	all := planUntilIdle(s, now)
	is.Equal(len(startActions(all)), 2)
	now = now.Add(time.Second)
	s.interferenceModel.weights[ImagePair{"fill", "web"}] = weightEstimate{mean: 4, variance: 0.1}
	list := runningOn(all, "a")
	for i := range list {
		if list[i].Task.Job == "web" {
			list[i].Percent, list[i].Measurement = 100, 90
		}
	}
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 2000, Running: list}, now)
	actions := s.Plan(now)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, ActionThrottle)
	is.Equal(actions[0].Percent, 40) // the highest limit at which the prediction keeps the target
	w := s.workers["a"]
	s.updateLatencyGroups(w, now)
	group := w.latencyGroups[0]
	is.True(group.predict(0) <= throttleUtilisation)
	more := group.predict(cpuLimitStep * s.interferenceModel.addedFactor(w, s.jobs["fill"].occs[0].steps[0], "web") / fullPercent)
	is.True(more > throttleUtilisation) // the next higher limit would miss the target
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	now = now.Add(moveDelay + time.Second)
	actions = s.Plan(now)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, ActionStop)
}

// Several best-effort tasks with negligible weights together keep a latency above its target. They
// are throttled after pessimisticAfter, although by the estimates none of them is the cause.
func TestNegligibleInterferenceIsThrottledWhenATargetStaysMissed(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	faint := weightEstimate{mean: 0.3, variance: minVariance}
	s.interferenceModel.weights[ImagePair{"faint", "web"}] = faint
	addJob(s, "web", "q", now, latencySensitiveStep("web", 1))
	addJob(s, "faint", "late", now, bestEffortStep("faint", 2))
	list := runningOn(planUntilIdle(s, now), "a")
	is.Equal(len(list), 3)
	for i := range list {
		if list[i].Task.Job == "web" {
			list[i].Percent, list[i].Measurement = 100, 60 // the target is 50 ms
		}
	}
	throttled := 0
	for range 6 {
		now = now.Add(500 * time.Millisecond)
		s.interferenceModel.weights[ImagePair{"faint", "web"}] = faint // the estimate stays as it is
		reportWithLease(s, "a", Report{Incarnation: 1, Clock: now.UnixMilli(), Running: list}, now)
		for _, a := range s.Plan(now) {
			if a.Kind == ActionThrottle && a.Percent < fullPercent {
				throttled++
			}
		}
	}
	is.True(throttled >= 2)
	for _, a := range s.workers["a"].bestEffortWhere(func(*attempt) bool { return true }) {
		is.True(a.cpuLimit < fullPercent)
	}
}

// A best-effort task makes no progress because it is throttled to 0. It does not count as stalled and
// its worker is not quarantined, also after a new owner has taken over.
func TestPacedFillerIsNotStuck(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "web", "q", now, latencySensitiveStep("web", 1))
	addJob(s, "fill", "late", now, bestEffortStep("fill", 1))
	all := planUntilIdle(s, now)
	next := takeOver(s, now, "a")
	for range 12 {
		reportWithLease(next, "a", Report{Incarnation: 1, Clock: 5000, Running: runningOn(all, "a")}, now)
		next.Plan(now)
		now = now.Add(500 * time.Millisecond)
		w := next.workers["a"]
		is.True(!now.Before(w.quarantinedUntil)) // not quarantined
		for _, a := range w.attempts {
			if a.step.spec.BestEffort && a.cpuLimit == fullPercent {
				next.throttle(a, 0, now)
			}
		}
	}
}

// New long-running tasks leave a reserve of CPU to short tasks, and start after HeadroomPatience at the
// latest.
func TestNewLongRunningTasksLeaveRoomToShortOnes(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	s.shortDemandOf("svc").cpu.Observe(2000)
	addJob(s, "lasts", "q", now, latencySensitiveStep("web", 8))
	is.Equal(len(startActions(planUntilIdle(s, now))), 6) // a quarter of 8 cores stays free
	reasons := 0
	for _, e := range s.Events() {
		if e.Name == "step.waits" {
			is.Equal(e.Detail, waitsForReserve) // the log tells why the other tasks wait
			reasons++
		}
	}
	is.Equal(reasons, 1) // one event, however many times Plan runs
	addJob(s, "short", "q", now, taskStep(2, 1000))
	is.Equal(len(startActions(planUntilIdle(s, now))), 2)
	s.Cancel("short", now)
	for _, id := range []WorkerID{"a", "b"} {
		w := s.workers[id]
		for _, a := range w.attempts {
			if a.step.job.ID == "short" {
				s.remove(a, now)
			}
		}
	}
	is.Equal(len(startActions(planUntilIdle(s, now.Add(placement.HeadroomPatience)))), 2)
}

// An owner is lost together with the workers that run its long-running tasks. The next owner restarts
// these tasks at once, without regard to the reserve for short tasks, since they are not new.
func TestTasksThatLastedUnderAFormerOwnerDoNotWaitForTheReserve(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "lasts", "q", now, latencySensitiveStep("web", 8))
	is.Equal(len(startActions(planUntilIdle(s, now))), 8)
	next := takeOver(s, now)
	next.shortDemandOf("svc").cpu.Observe(2000)
	for _, id := range []WorkerID{"a", "b"} {
		reportWithLease(next, id, Report{Incarnation: 2, Clock: 5}, now)
		next.UpdateWorker(restartedAs(next, id, 2), now)
		reportWithLease(next, id, Report{Incarnation: 2, Clock: 6}, now)
	}
	is.Equal(len(startActions(planUntilIdle(next, now))), 8)
}

// Guards against a long-running job that never starts although a worker has room for it: another worker's capacity
// has shrunk below what runs there.
func TestAShrunkWorkerTakesNoRoomFromOthers(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "old", "q", now, lasting(4000))
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
	info := s.workers["a"].info
	info.Capacity = Resources{}
	s.UpdateWorker(info, now)
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	addJob(s, "new", "q", now, lasting(1000))
	starts := startActions(planUntilIdle(s, now))
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Worker, WorkerID("b"))
}

// Jobs that can still meet their objectives start before those that cannot.
func TestJobsThatMissTheirObjectiveComeLast(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "old", "q", now.Add(-10*time.Second), taskStep(1, 4000))
	addJob(s, "new", "q", now, taskStep(1, 4000))
	got := startActions(planUntilIdle(s, now))
	is.Equal(len(got), 1)
	is.Equal(got[0].Task.Job, "new")
}

// A worker drains at short notice. Tasks that would not be done before it leaves move at once; the
// others stay.
func TestWorkersThatLeaveSoonFinishOnlyWhatTheyCan(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, Step{Count: 2, Resources: Resources{CPU: 1000, MemoryMB: 100}, Estimate: 2 * time.Second, Checkpoints: true})
	all := planUntilIdle(s, now)
	list := runningOn(all, "a")
	list[0].Percent, list[1].Percent = 80, 20
	now = now.Add(time.Second)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 1000, Running: list}, now)
	info := s.workers["a"].info
	info.Draining, info.MinRemaining = true, 1500*time.Millisecond
	s.UpdateWorker(info, now)
	actions := s.Plan(now)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, ActionStop)
	is.Equal(actions[0].Task, list[1].Task)
}

// A worker crashes while a task with checkpoints runs there. The task resumes from the last checkpoint
// that the worker reported.
func TestLostTasksResumeFromTheListedCheckpoint(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, Step{Count: 1, Resources: Resources{CPU: 1000, MemoryMB: 100}, Estimate: 2 * time.Second, Checkpoints: true})
	first := startActions(planUntilIdle(s, now))[0]
	reportWithLease(s, first.Worker, Report{Incarnation: 1, Clock: 1000, Running: []RunningAttempt{{Task: first.Task, Run: first.Run, Checkpoint: "c7", Percent: 60}}}, now)
	reportWithLease(s, first.Worker, Report{Incarnation: 2, Clock: 5}, now.Add(time.Second))
	again := startActions(planUntilIdle(s, now.Add(time.Second)))
	is.Equal(len(again), 1)
	is.Equal(again[0].Checkpoint, "c7")
}

// A worker fails all tasks. It gets no more tasks after two failures until its quarantine ends.
func TestWorkerThatFailsTasksIsShunned(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	for i := range 2 {
		addJob(s, fmt.Sprintf("j%d", i), "q", now, taskStep(1, 1000))
	}
	for n, a := range startActions(planUntilIdle(s, now)) {
		reportWithLease(s, "a", Report{Incarnation: 1, Clock: int64(100 + n), Ended: []EndedAttempt{{Seq: int64(n + 1), Task: a.Task, Run: a.Run, Reason: EndFailed}}}, now)
	}
	is.Equal(len(startActions(planUntilIdle(s, now.Add(time.Second)))), 0)
	is.True(len(startActions(planUntilIdle(s, now.Add(quarantineTime+time.Second)))) > 0)
}

// A task makes no progress on a worker that hangs. It is stopped, so that it can run elsewhere.
func TestStuckTaskMoves(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	all := planUntilIdle(s, now)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 100, Running: runningOn(all, "a")}, now)
	actions := planEvery(s, now, stallTimeout+time.Second)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, ActionStop)
}

// planEvery calls Plan each checkInterval for a while, as an owner does that is not paused, and returns all
// actions.
func planEvery(s *State, now time.Time, during time.Duration) []Action {
	var all []Action
	for passed := checkInterval; passed <= during; passed += checkInterval {
		all = append(all, s.Plan(now.Add(passed))...)
	}
	return all
}

// The owner's process is paused for longer than stallTimeout. What it knows of the tasks is as old as the
// pause, so it stops none, and no worker is shunned; a task that still stands still is found later.
func TestPausedOwnerStopsNothing(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	all := planUntilIdle(s, now)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 100, Running: runningOn(all, "a")}, now)
	now = now.Add(10 * time.Second)
	is.Equal(len(s.Plan(now)), 0)
	is.True(s.workers["a"].usable(s, now))
	is.Equal(len(planEvery(s, now, stallTimeout-checkInterval)), 0)
	is.Equal(len(planEvery(s, now.Add(stallTimeout-checkInterval), time.Second)), 1)
}

// A worker is silent for longer than stallTimeout, within its lease. Its first report shows the progress of
// before the silence; its tasks go on and it is not shunned.
func TestSilentWorkerKeepsItsTasks(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	list := runningOn(planUntilIdle(s, now), "a")
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 100, Running: list}, now)
	s.MarkUnreachable("a")
	is.Equal(len(planEvery(s, now, stallTimeout+time.Second)), 0)
	now = now.Add(stallTimeout + time.Second)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 4600, Running: list}, now)
	is.Equal(len(planEvery(s, now, time.Second)), 0)
	is.True(s.workers["a"].usable(s, now.Add(time.Second)))
}
