package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// heldTask is a task that waits, in the state after a plan.
type heldTask struct {
	s    *State
	now  time.Time
	task taskRef
}

// held returns the task of an index of a job's only step.
func held(s *State, now time.Time, job string, index int) heldTask {
	return heldTask{s, now, taskRef{s.Job(job).occs[0].steps[0], index}}
}

// addSuspicions notes so many losses of a task.
func addSuspicions(s *State, r taskRef, n int64) {
	for run := range n {
		s.addSuspicion(r, Suspicion{Run: -run, Worker: "lost", Address: "lost", Incarnation: 1})
	}
}

// newSuspect returns a state with one worker, where a job of one task is known that has lost workers. Its start is
// decided, but not recorded.
func newSuspect(losses int64) heldTask {
	s, now := newTestState("a")
	addJob(s, "suspect", "q", now, taskStep(1, 1000))
	s.Plan(now)
	s.MarkStored(s.TakeDirty(1))
	h := held(s, now, "suspect", 0)
	addSuspicions(s, h.task, losses)
	s.Plan(now)
	return h
}

// pressed returns a state in which each of the workers runs a latency-sensitive task with half of its CPU in use, and
// the model takes best-effort tasks of the image "fill" for ones that press hard on it.
func pressed(t *testing.T, workers ...WorkerID) (*State, time.Time) {
	s, now := newTestState(workers...)
	web := latencySensitiveStep("web", len(workers))
	web.LatencyTarget, web.MaxPerWorker, web.LongRunning = 100*time.Millisecond, 1, true
	addJob(s, "web", "q", now, web)
	starts := planUntilIdle(s, now)
	if len(startActions(starts)) != len(workers) {
		t.Fatalf("%d latency-sensitive tasks were started on %d workers", len(startActions(starts)), len(workers))
	}
	s.interferenceModel.weights[ImagePair{"fill", "web"}] = weightEstimate{mean: maxWeight, variance: minVariance}
	for range 10 {
		now = now.Add(300 * time.Millisecond)
		for _, id := range workers {
			list := runningOn(starts, id)
			list[0].Percent, list[0].Measurement = fullPercent, 40 // a utilisation of 0.5
			reportWithLease(s, id, Report{Incarnation: 1, Clock: 5000, Running: list}, now)
		}
	}
	return s, now
}

// waitCases hold, for each reason, a task that waits for it.
var waitCases = map[waitReason]func(t *testing.T) heldTask{
	notHeld: func(*testing.T) heldTask {
		s, now := newTestState("a")
		addJob(s, "j", "q", now, taskStep(1, 1000))
		return held(s, now, "j", 0)
	},
	heldByStartRecord: func(*testing.T) heldTask {
		s, now := newTestState("a")
		addJob(s, "j", "q", now, taskStep(1, 1000))
		s.Plan(now)
		return held(s, now, "j", 0)
	},
	heldByPause: func(*testing.T) heldTask {
		s, now := newTestState("a")
		addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
		h := held(s, now, "j", 0)
		addSuspicions(s, h.task, crashesToPause)
		h.task.task().lostAt = now
		s.Plan(now)
		return h
	},
	heldByFormerOwner: func(*testing.T) heldTask {
		s, now := newTestState("a", "b")
		addJob(s, "j", "q", now, taskStep(1, 1000))
		first := startActions(planUntilIdle(s, now))[0]
		next := takeOver(s, now, "a", "b")
		for _, id := range []WorkerID{"a", "b"} {
			if id != first.Worker {
				reportWithLease(next, id, Report{Incarnation: 1, Clock: 50}, now)
			}
		}
		next.Plan(now)
		return held(next, now, "j", 0)
	},
	heldByFailureRecord: func(t *testing.T) heldTask {
		f, s := newFailingTask(t, "a", "b", "c", "d")
		f.planAndStore(s)
		for range maxUnrecordedFailures + 1 {
			last := f.starts[len(f.starts)-1]
			f.fail(last)
			f.report(s, last.Worker)
			f.plan(s)
		}
		return held(s, f.now, "j", 0)
	},
	heldByFormerEnds: func(t *testing.T) heldTask {
		f, next, _, second := failTwiceAndTakeOver(t)
		f.fail(second)
		f.report(next, second.Worker)
		third := f.planAndStore(next)[0]
		f.fail(third)
		f.report(next, third.Worker)
		f.planAndStore(next)
		return held(next, f.now, "j", 0)
	},
	heldByConfig: func(*testing.T) heldTask {
		s, now := newTestState("a")
		addJob(s, "j", "q", now, taskStep(1, 1000)).ConfigVersion = s.ConfigVersion() + 1
		s.Plan(now)
		return held(s, now, "j", 0)
	},
	heldByOwnRecord: func(*testing.T) heldTask { return newSuspect(1) },
	heldByNewPlan: func(*testing.T) heldTask {
		h := newSuspect(1)
		h.s.MarkUnreachable("a")
		h.s.Plan(h.now)
		return h
	},
	heldByWorseSuspect: func(*testing.T) heldTask {
		h := newSuspect(suspicionsToIsolate)
		addJob(h.s, "j", "q", h.now, taskStep(2, 1000))
		for i := range 2 {
			addSuspicions(h.s, held(h.s, h.now, "j", i).task, 1)
		}
		h.s.Plan(h.now)
		return held(h.s, h.now, "j", 1)
	},
	heldByReserve: func(*testing.T) heldTask {
		s, now := newTestState("a", "b")
		s.shortDemandOf("svc").cpu.Observe(2000)
		addJob(s, "j", "q", now, latencySensitiveStep("web", 8))
		planUntilIdle(s, now)
		return held(s, now, "j", 7)
	},
	heldByReservation: func(*testing.T) heldTask {
		s, now := newTestState("a")
		f := newFleet(s, now)
		f.add("small", "q", time.Hour, taskStep(3, 1000))
		f.run(fleetTick, nil)
		f.add("large", "q", time.Hour, taskStep(1, 4000))
		f.run(5*fleetTick, nil)
		f.add("j", "q", time.Hour, longRunningStep(1, 1000, 0))
		f.run(fleetTick, nil)
		return held(s, f.now, "j", 0)
	},
	heldByNoWorker: func(*testing.T) heldTask {
		s, now := newTestState()
		addJob(s, "j", "q", now, taskStep(1, 1000))
		s.Plan(now)
		return held(s, now, "j", 0)
	},
	heldByRoom: func(*testing.T) heldTask {
		s, now := newTestState("a")
		addJob(s, "j", "q", now, taskStep(5, 1000))
		planUntilIdle(s, now)
		return held(s, now, "j", 4)
	},
	heldByShare: func(*testing.T) heldTask {
		s, now := newSharesState(1, 1, "a")
		addJobOf(s, "hot", "j", "q", now, taskStep(5, 1000))
		addJobOf(s, "small", "k", "q", now, taskStep(1, 5000))
		planUntilIdle(s, now)
		return held(s, now, "j", 4)
	},
	heldByLikeStep: func(*testing.T) heldTask {
		s, now := newTestState("a")
		addJob(s, "i", "q", now, taskStep(1, 5000))
		addJob(s, "j", "q", now, taskStep(2, 6000))
		planUntilIdle(s, now)
		return held(s, now, "j", 1)
	},
	heldByWithheldRoom: func(*testing.T) heldTask {
		h := newSuspect(suspicionsToIsolate)
		addJob(h.s, "j", "q", h.now, taskStep(1, 1000))
		h.s.Plan(h.now)
		return held(h.s, h.now, "j", 0)
	},
	heldByIsolation: func(*testing.T) heldTask {
		h := newSuspect(suspicionsToIsolate)
		addJob(h.s, "j", "q", h.now, taskStep(1, 1000))
		addSuspicions(h.s, held(h.s, h.now, "j", 0).task, 1)
		h.s.Plan(h.now)
		return held(h.s, h.now, "j", 0)
	},
	heldByAdviser: func(*testing.T) heldTask {
		s, now := newAdvisedState("a")
		addJob(s, "j", "q", now, taskStep(1, 1000))
		planUntilIdle(s, now)
		return held(s, now, "j", 0)
	},
	heldByInterference: func(t *testing.T) heldTask {
		s, now := pressed(t, "a")
		addJob(s, "j", "q", now, bestEffortStep("fill", 1))
		planUntilIdle(s, now)
		return held(s, now, "j", 0)
	},
	heldByQuestions: func(*testing.T) heldTask {
		s, now := newAdvisedState("a")
		addJob(s, "j", "q", now, taskStep(1, 1000))
		s.AdviceAnswered(questions(planUntilIdle(s, now))[0], nil, 0, false, now, now)
		s.Plan(now)
		return held(s, now, "j", 0)
	},
	heldByRefusedTickets: func(*testing.T) heldTask {
		s, now := newAdvisedState("a")
		addJob(s, "j", "q", now, taskStep(1, 1000))
		s.AdviceAnswered(questions(planUntilIdle(s, now))[0], nil, time.Second, true, now, now)
		s.Plan(now)
		return held(s, now, "j", 0)
	},
	heldBySendRate: func(*testing.T) heldTask {
		s, now := newTestState("a")
		addJob(s, "j", "q", now, taskStep(3, 1000))
		s.LimitStarts(1)
		s.Plan(now)
		s.MarkStored(s.TakeDirty(10))
		s.Plan(now)
		s.LimitStarts(0)
		s.Plan(now)
		return held(s, now, "j", 2)
	},
	heldByCap: func(*testing.T) heldTask {
		s, now := newTenantState(Resources{CPU: 1500}, "a")
		addTenantJob(s, "j", now, taskStep(1, 2000))
		planUntilIdle(s, now)
		return held(s, now, "j", 0)
	},
	heldByQuota: func(*testing.T) heldTask {
		s, now := newTenantState(Resources{CPU: 1500}, "a")
		addTenantJob(s, "j", now, taskStep(2, 1000))
		planUntilIdle(s, now)
		return held(s, now, "j", 1)
	},
	heldByGang: func(*testing.T) heldTask {
		s, now := newTestState("a")
		gang := taskStep(2, 3000)
		gang.Gang = true
		addJob(s, "j", "q", now, gang)
		planUntilIdle(s, now)
		return held(s, now, "j", 0)
	},
}

// Guards against tasks that wait without a word: the decision, the metric and the log give the same reason, one for
// each way in which a task that could run is not started.
func TestEachWaitingTaskHasItsReasonInTheLogAndTheMetric(t *testing.T) {
	for reason := range waitReasons {
		t.Run(waitReasonNames[reason], func(t *testing.T) {
			is := is.New(t)
			h := waitCases[reason](t)
			is.True(h.task.task().isWaiting()) // the decision: nothing was sent
			is.Equal(h.task.heldBy(), reason)
			h.s.began = h.s.began.Add(-time.Minute) // all waits have lasted so much longer
			is.True(h.metric(reason).Count > 0)
			is.True(h.metric(reason).Oldest >= time.Minute)
			h.s.lastWaitReport = time.Time{}
			h.s.reportTasksWaiting(h.now)
			h.checkReport(is, reason)
			if reason != notHeld && reason != heldByNewPlan { // the next plan would change these
				h.s.Plan(h.now)
				is.Equal(h.task.heldBy(), reason)
				is.Equal(h.stepWaits(reason), reason != heldByGang) // the task that holds up the gang is named instead
			}
		})
	}
}

// metric returns what the metrics say of a reason.
func (h heldTask) metric(reason waitReason) WaitingTasks { return h.s.WaitingTasks(h.now)[reason] }

// checkReport checks the last line of the log on tasks that wait.
func (h heldTask) checkReport(is *is.I, reason waitReason) {
	is.Helper()
	last := h.s.events[len(h.s.events)-1]
	is.Equal(last.Name, "tasks.waiting")
	is.True(strings.Contains(last.Detail, fmt.Sprintf("%d %s (first ", h.metric(reason).Count, waitReasonNames[reason])))
	is.True(strings.Contains(last.Inputs, "it needs"))
	first := h.s.stepOf(last.Task)
	is.True(strings.Contains(last.Detail, "s since "+taskRef{first, last.Task.Index}.heldBy().String()))
}

// stepWaits reports whether the log has said that the step waits for the reason.
func (h heldTask) stepWaits(reason waitReason) bool {
	for _, e := range h.s.events {
		if e.Name == "step.waits" && e.Job == h.task.step.job.ID && e.Detail == reason.String() {
			return true
		}
	}
	return false
}

// A step whose tasks wait for several reasons has a line for each, and no more however often Plan runs.
func TestTheLogNamesEachReasonOfAStepOnce(t *testing.T) {
	is := is.New(t)
	h := newSuspect(suspicionsToIsolate)
	addJob(h.s, "j", "q", h.now, taskStep(6, 1000))
	for i := range 2 {
		addSuspicions(h.s, held(h.s, h.now, "j", i).task, 1)
	}
	h.s.Plan(h.now)
	for range 100 {
		h.s.Plan(h.now)
	}
	var whys []string
	for _, e := range eventsNamed(h.s, "step.waits") {
		whys = append(whys, e.Detail)
	}
	is.Equal(whys, []string{heldByIsolation.String(), heldByWorseSuspect.String(), heldByWithheldRoom.String()})
}

// The age of a wait counts from when the task could have been started, whatever the reasons were.
func TestTheAgeOfAWaitOutlastsItsReasons(t *testing.T) {
	is := is.New(t)
	s, now := newTestState()
	addJob(s, "j", "q", now, taskStep(1, 5000))
	s.Plan(now)
	now = now.Add(3 * time.Second)
	addWorker(s, "a", Resources{CPU: 4000, MemoryMB: 4000}, now)
	planUntilIdle(s, now)
	now = now.Add(4 * time.Second)
	h := held(s, now, "j", 0)
	is.Equal(h.metric(heldByRoom).Oldest, 7*time.Second)
	is.Equal(s.clock(now)-h.task.heldSince(), 4*time.Second)
	is.Equal(h.metric(heldByNoWorker).Count, 0)
}

// checkWaitReasons checks after a plan that each task that could be started and was not has a reason, and that the
// reason holds.
func (w *simulation) checkWaitReasons(t *rapid.T) {
	waiting := 0
	for _, j := range w.owner.jobs {
		if j.outcome.Terminal() {
			continue
		}
		for _, st := range j.occs[0].steps {
			for i := range st.tasks {
				r := taskRef{st, i}
				if !isStartable(r) {
					continue
				}
				waiting++
				if why := contradiction(w.owner, r, w.now); why != "" {
					t.Fatalf("task %+v waits since %q, but %s", r.id(), r.heldBy(), why)
				}
			}
		}
	}
	for _, c := range w.owner.WaitingTasks(w.now) {
		waiting -= c.Count
	}
	if waiting != 0 {
		t.Fatalf("%d more tasks wait than the metrics say", waiting)
	}
}

// isStartable reports whether a task of a job that has not ended is not done, has no attempt whose start was sent, and
// belongs to a step that depends on none that is not done.
func isStartable(r taskRef) bool {
	for _, before := range r.step.spec.After {
		for _, t := range r.step.occ.steps[before].tasks {
			if !t.done {
				return false
			}
		}
	}
	for _, a := range r.task().attempts {
		if !a.unsent {
			return false
		}
	}
	return !r.task().done
}

// hasGivenUpStart reports whether the last plan has given up a start of the tenant, which freed a part of its quota after
// that had held up others.
func hasGivenUpStart(s *State, tenant string, now time.Time) bool {
	for _, j := range s.jobs {
		if j.Tenant != tenant || len(j.occs) == 0 {
			continue
		}
		for _, st := range j.occs[0].steps {
			for i := range st.tasks {
				if r := (taskRef{st, i}); r.task().heldBy == heldByNewPlan && r.task().heldSince == s.clock(now) {
					return true
				}
			}
		}
	}
	return false
}

// contradiction returns what shows that the reason of a waiting task does not hold; "" if nothing does.
func contradiction(s *State, r taskRef, now time.Time) string {
	st, t := r.step, r.task()
	reason := r.heldBy()
	switch {
	case reason == notHeld:
		return "a plan has been made"
	case t.startableSince == 0 || r.heldSince() > s.clock(now):
		return "it is not known since when"
	case (reason == heldByOwnRecord) != (len(t.attempts) > 0):
		return fmt.Sprintf("it has %d attempts", len(t.attempts))
	case reason == heldByStartRecord && st.startRecordDurable:
		return "the record is durable"
	case reason == heldByConfig && !s.awaitsConfig(st):
		return "the configuration is in force"
	case reason == heldByPause && !st.isPaused(t, now):
		return "it is not paused"
	case reason == heldByFormerOwner && (!t.unresolved || len(s.unresolvedWorkers) == 0):
		return "it is not in doubt"
	case (reason == heldByFailureRecord || reason == heldByFormerEnds) && s.retryWait(st, t) != reason:
		return "its failed runs do not hold it back"
	case (reason == heldByIsolation || reason == heldByWorseSuspect) && !t.suspected():
		return "it is not suspected"
	case (reason == heldByQuota || reason == heldByCap) && s.quotaWait(st, st.placedTogether()) != reason && !hasGivenUpStart(s, st.job.Tenant, now):
		return "the quota of its tenant does not hold it back"
	case reason == heldByShare && st.job.account == nil:
		return "it has no tenant"
	case reason == heldByReserve && (!st.spec.LongRunning || t.lastRun > 0):
		return "it is not new and long-running"
	default:
		return ""
	}
}
