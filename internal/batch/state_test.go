package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestState returns a state with the given workers, each with 4 cores, and the queues "q" and
// "late", of which "q" is more urgent.
func newTestState(workers ...WorkerID) (*State, time.Time) {
	now := time.Unix(1_000_000, 0)
	s := keepOwnership(New(1, testLimits))
	s.SetConfig(Config{Version: 1, Queues: map[string]Queue{
		"q":    {Service: "svc", MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		"late": {Service: "svc", MaxAttempts: 3, Stretch: 2, Slack: time.Second, Priority: 2},
	}})
	for _, id := range workers {
		addWorker(s, id, Resources{CPU: 4000, MemoryMB: 4000}, now)
	}
	return s, now
}

// taskStep returns a step of short tasks with an estimate of 1 s.
func taskStep(count int, cpu int64) Step {
	return Step{Count: count, Resources: Resources{CPU: cpu, MemoryMB: 100}, Estimate: time.Second}
}

// startActions returns the starts among the actions.
func startActions(actions []Action) []Action {
	return slices.DeleteFunc(slices.Clone(actions), func(a Action) bool { return a.Kind != ActionStart })
}

// runningOn returns the entries of a report by a worker that runs all tasks whose starts are among the
// actions.
func runningOn(actions []Action, id WorkerID) []RunningAttempt {
	var out []RunningAttempt
	for _, a := range startActions(actions) {
		if a.Worker == id {
			out = append(out, RunningAttempt{Task: a.Task, Run: a.Run, Percent: 10})
		}
	}
	return out
}

// takeOver returns the state of a new owner with the same jobs, records and workers. known are the
// workers on which the former owner may have started tasks.
func takeOver(s *State, now time.Time, known ...WorkerID) *State {
	records := map[string]Record{}
	for id, j := range s.jobs {
		records[id] = j.record()
	}
	return takeOverFrom(s, records, now, known...)
}

// takeOverFrom is takeOver with the given records instead of those that the former owner would write now.
func takeOverFrom(s *State, records map[string]Record, now time.Time, known ...WorkerID) *State {
	next := keepOwnership(New(s.epoch+1, testLimits))
	next.SetConfig(s.config)
	until := map[WorkerID]time.Time{}
	for _, id := range known {
		until[id] = now.Add(9 * time.Second)
	}
	next.SetUnresolvedWorkers(until)
	for id, j := range s.jobs {
		r := records[id]
		next.AddJob(&Job{ID: id, Queue: j.Queue, Tenant: j.Tenant, QueueConfig: j.QueueConfig, Accepted: j.Accepted, Spec: j.Spec}, &r, true, now)
	}
	for _, w := range s.workers {
		next.NoteFormerWorker(w.info.ID)
		next.UpdateWorker(w.info, now)
		next.MarkRecorded(w.info.ID)
	}
	return next
}

func TestNoTaskStartsBeforeItsStepIsRecorded(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(2, 1000))
	is.Equal(len(startActions(s.Plan(now))), 0) // the record of the step is not durable yet
	is.True(s.HasUrgentRecords())
	s.MarkStored(s.TakeDirty(10))
	is.Equal(len(startActions(s.Plan(now))), 2)
}

func TestStepsThatWereNotRecordedAreNotInDoubt(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	next := takeOver(s, now, "a", "b")
	reportWithLease(next, "a", Report{Incarnation: 1, Clock: 50}, now)
	is.Equal(len(startActions(planUntilIdle(next, now))), 1) // although b has not answered
}

func TestStartedStepWaitsForASilentWorkerAfterATakeOver(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
	next := takeOver(s, now, "a", "b")
	on := s.jobs["j"].occs[0].steps[0].tasks[0].attempts[0].worker.info.ID
	other := WorkerID("a")
	if on == "a" {
		other = "b"
	}
	reportWithLease(next, other, Report{Incarnation: 1, Clock: 50}, now)
	is.Equal(len(startActions(planUntilIdle(next, now.Add(8*time.Second)))), 0)
	is.Equal(len(startActions(planUntilIdle(next, now.Add(10*time.Second)))), 1) // its lease has ended
}

func TestAnOldEndDoesNotResolveALaterRun(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	first := startActions(planUntilIdle(s, now))[0]
	next := takeOver(s, now, "a", "b")
	reportWithLease(next, first.Worker, Report{Incarnation: 1, Clock: 50, Ended: []EndedAttempt{{Seq: 1, Task: first.Task, Run: first.Run, Reason: EndStopped}}}, now)
	is.Equal(len(startActions(planUntilIdle(next, now))), 0) // the other worker may run a later one
}

func TestLostAttemptsRestartOnlyWhenTheLeaseHasEnded(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	first := startActions(planUntilIdle(s, now))[0]
	s.LeaseRenewed(first.Worker, now.Add(6*time.Second), true)
	s.MarkUnreachable(first.Worker)
	is.Equal(len(startActions(planUntilIdle(s, now.Add(5*time.Second)))), 0)
	again := startActions(planUntilIdle(s, now.Add(7*time.Second)))
	is.Equal(len(again), 1)
	is.True(again[0].Worker != first.Worker)
	is.True(again[0].Run > first.Run)
}

// An owner is cut off from some workers while a successor may already renew their leases. The owner
// must not treat the leases as ended once its own claim may have been taken over.
func TestLeasesOfSilentWorkersCountOnlyWhileTheClaimHolds(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	s.ownedUntil = now.Add(time.Second) // the last successful renewal of the ownership
	addJob(s, "j", "q", now, taskStep(1, 1000))
	first := startActions(planUntilIdle(s, now))[0]
	s.LeaseRenewed(first.Worker, now.Add(6*time.Second), true)
	s.MarkUnreachable(first.Worker)
	is.Equal(len(startActions(planUntilIdle(s, now.Add(7*time.Second)))), 0)
	s.ExtendOwnership(now.Add(8 * time.Second)) // the store answers again, and the ownership was kept all the time
	is.Equal(len(startActions(planUntilIdle(s, now.Add(8*time.Second)))), 1)
}

// A worker becomes unreachable after its first report to a new owner, before that owner has renewed its
// lease. The lease that the former owner granted still holds.
func TestSilenceBeforeTheFirstRenewal(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	all := planUntilIdle(s, now)
	on := startActions(all)[0].Worker
	next := takeOver(s, now, "a", "b")
	for _, id := range []WorkerID{"a", "b"} {
		next.ApplyReport(id, Report{Incarnation: 1, Clock: 50, Running: runningOn(all, id)}, now)
		if id != on {
			next.LeaseRenewed(id, now, true) // the other one is renewed, and may get the task
		}
	}
	next.MarkUnreachable(on)
	is.Equal(len(startActions(planUntilIdle(next, now.Add(5*time.Second)))), 0)
	is.Equal(len(startActions(planUntilIdle(next, now.Add(7*time.Second)))), 1)
}

// The renewals of an overloaded owner come late. A reachable worker gets no tasks until it has confirmed
// a lease, since it would stop them when its lease ends.
func TestNothingStartsWithoutAConfirmedLease(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	s.MarkUnreachable("a")
	s.ApplyReport("a", Report{Incarnation: 1, Clock: 50}, now)
	addJob(s, "j", "q", now, taskStep(1, 1000))
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 60}, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}

// Jobs change faster than records can be written. Records are written in the order of the changes, so
// that later changes do not delay a caller that waits for an earlier one.
func TestChangesAreTakenInTheirOrder(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	for i := range 20 {
		addJob(s, fmt.Sprintf("j%02d", i), "q", now, taskStep(1, 1))
	}
	s.Plan(now) // requests the records of all steps
	s.MarkStored(s.TakeDirty(100))
	for i := range 10 {
		s.Cancel(fmt.Sprintf("j%02d", i), now)
	}
	newest := s.dirty.lastSeq
	for i := 10; s.dirty.oldestSeq() <= newest; i++ {
		is.True(i < 16) // five calls of TakeDirty with two records each are enough
		s.TakeDirty(2)
		s.Cancel(fmt.Sprintf("j%02d", i), now)
	}
	is.True(s.DirtyJobs() > 0)
}

// The configuration removes the queue of accepted jobs. The jobs keep the queue's settings from the time
// when they were accepted, also under a new owner.
func TestJobsOfARemovedQueueKeepTheirTerms(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	first := startActions(planUntilIdle(s, now))[0]
	s.SetConfig(Config{Version: s.config.Version + 1})
	next := takeOver(s, now, "a")
	reportWithLease(next, "a", Report{Incarnation: 1, Clock: 100, Ended: []EndedAttempt{{Seq: 1, Task: first.Task, Run: first.Run, Reason: EndFailed}}}, now)
	is.Equal(next.Job("j").Status(), Active) // two attempts are left
	is.Equal(len(startActions(planUntilIdle(next, now))), 1)
}

func TestRestartedWorkerRunsNothing(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	planUntilIdle(s, now)
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 5}, now)
	s.UpdateWorker(restartedAs(s, "a", 2), now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0) // its new incarnation has not confirmed a lease yet
	reportWithLease(s, "a", Report{Incarnation: 2, Clock: 6}, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}

func TestUnansweredStartIsStoppedBeforeItRestarts(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	s.Plan(now)
	s.MarkStored(s.TakeDirty(10))
	a := startActions(s.Plan(now))[0]
	s.StartSent(a.Worker, a.Task, a.Run, 1500)
	s.StartAnswered(a.Worker, a.Task, a.Run, AnswerNone, now)
	is.Equal(len(s.Plan(now)), 0) // it may run
	reportWithLease(s, a.Worker, Report{Incarnation: 1, Clock: 890, RequestedAt: now.Add(-time.Millisecond)}, now)
	is.Equal(len(s.Plan(now)), 0) // the report may have been made before it
	reportWithLease(s, a.Worker, Report{Incarnation: 1, Clock: 900}, now)
	actions := s.Plan(now) // it does not run yet, but may still be executed
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, ActionStop)
	s.StopAnswered(a.Worker, a.Incarnation, a.Task, a.Run, AnswerOK, now)
	reportWithLease(s, a.Worker, Report{Incarnation: 1, Clock: 960, RequestedAt: now.Add(-time.Millisecond)}, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0) // the report may have been made before the stop
	reportWithLease(s, a.Worker, Report{Incarnation: 1, Clock: 970}, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}

// Guards against running tasks that are stopped since the answers to their starts were lost, and started again, which costs
// an owner that is short of processor time more requests than it can send (issue 45).
func TestAnUnansweredStartThatRunsIsNotStopped(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	s.Plan(now)
	s.MarkStored(s.TakeDirty(10))
	a := startActions(s.Plan(now))[0]
	s.StartSent(a.Worker, a.Task, a.Run, 1500)
	s.StartAnswered(a.Worker, a.Task, a.Run, AnswerNone, now)
	is.True(s.HasUnansweredStart(a.Worker, now.Add(2*slowAnswer))) // so a report comes soon
	for i := range 20 {
		now = now.Add(time.Second)
		reportWithLease(s, a.Worker, Report{Incarnation: 1, Clock: 900 + int64(i)*1000, Running: []RunningAttempt{{Task: a.Task, Run: a.Run, Percent: i}}}, now)
		is.Equal(len(planUntilIdle(s, now)), 0)
	}
	is.True(!s.HasUnansweredStart(a.Worker, now))
}

// Guards against more starts than can be sent while they are valid, as after a take-over (issue 45): the most urgent tasks
// are started, and the others wait for the next decision.
func TestThePlanKeepsToTheLimitOfStarts(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, taskStep(4, 500))
	addJob(s, "k", "q", now, taskStep(4, 500))
	s.Plan(now)
	s.MarkStored(s.TakeDirty(10))
	s.LimitStarts(3)
	var started []int
	for range 3 {
		started = append(started, len(startActions(s.Plan(now))))
	}
	is.Equal(started, []int{3, 3, 2})
}

func TestStepsFollowTheirOrder(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	second := taskStep(1, 1000)
	second.After = []int{0}
	addJob(s, "j", "q", now, taskStep(2, 1000), second)
	first := planUntilIdle(s, now)
	is.Equal(len(startActions(first)), 2)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 100, Running: runningOn(first, "a")[1:], Ended: []EndedAttempt{{Seq: 1, Task: first[0].Task, Run: 1, Reason: EndDone}}}, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 200, Ended: []EndedAttempt{{Seq: 2, Task: first[1].Task, Run: 1, Reason: EndDone}}}, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}

func TestCompletedIsShownOnlyWhenItIsStored(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	j := addJob(s, "j", "q", now, taskStep(1, 1000))
	a := startActions(planUntilIdle(s, now))[0]
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 100, Ended: []EndedAttempt{{Seq: 1, Task: a.Task, Run: 1, Reason: EndDone}}}, now)
	is.Equal(j.Status(), Active)
	s.MarkStored(s.TakeDirty(10))
	is.Equal(j.Status(), Completed)
}

func TestFailedRunsCountOnceAcrossOwners(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	var ends []EndedAttempt
	for n := range 2 {
		a := startActions(planUntilIdle(s, now))[0]
		ends = append(ends, EndedAttempt{Seq: int64(n + 1), Task: a.Task, Run: a.Run, Reason: EndFailed})
		reportWithLease(s, "a", Report{Incarnation: 1, Clock: int64(100 + n), Ended: ends}, now)
		now = now.Add(quarantineTime + time.Second)
	}
	next := takeOver(s, now, "a")
	reportWithLease(next, "a", Report{Incarnation: 1, Clock: 200, Ended: ends}, now) // the ends are reported again
	is.Equal(next.jobs["j"].outcome, Queued)
	a := startActions(planUntilIdle(next, now))[0]
	reportWithLease(next, "a", Report{Incarnation: 1, Clock: 300, Ended: append(ends, EndedAttempt{Seq: 3, Task: a.Task, Run: a.Run, Reason: EndFailed})}, now)
	is.Equal(next.jobs["j"].outcome, Failed)
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	gang := taskStep(4, 3000)
	gang.Gang = true
	addJob(s, "wide", "q", now, gang)
	is.Equal(len(planUntilIdle(s, now)), 0) // only two of the four tasks fit
	gang.Count = 2
	addJob(s, "fits", "q", now, gang)
	members := startActions(planUntilIdle(s, now))
	is.Equal(len(members), 2)
	is.Equal(members[0].Run, members[1].Run)
}

func TestMembersOfABrokenGangBeginAnewTogether(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	gang := taskStep(2, 3000)
	gang.Gang = true
	addJob(s, "j", "q", now, gang)
	m := startActions(planUntilIdle(s, now))
	reportWithLease(s, m[0].Worker, Report{Incarnation: 1, Clock: 100, Ended: []EndedAttempt{{Seq: 1, Task: m[0].Task, Run: m[0].Run, Reason: EndFailed}}}, now)
	actions := s.Plan(now)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, ActionStop)
	reportWithLease(s, m[1].Worker, Report{Incarnation: 1, Clock: 100, Ended: []EndedAttempt{{Seq: 1, Task: m[1].Task, Run: m[1].Run, Reason: EndGangBroken}}}, now)
	again := startActions(planUntilIdle(s, now))
	is.Equal(len(again), 2)
	is.Equal(again[0].Run, again[1].Run)
	is.True(again[0].Run > m[0].Run)
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	spec := Spec{Steps: []Step{taskStep(1, 1000)}, Repeats: 2, FirstStart: now.Add(time.Second), Interval: time.Second}
	s.AddJob(&Job{ID: "j", Queue: "q", QueueConfig: Queue{Service: "svc", MaxAttempts: 3}, Accepted: now, Spec: spec}, nil, false, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	is.Equal(len(startActions(planUntilIdle(s, now.Add(1100*time.Millisecond)))), 1)
	is.Equal(len(startActions(planUntilIdle(s, now.Add(2100*time.Millisecond)))), 1)
}

func TestWorkersThatGetNothing(t *testing.T) {
	for name, change := range map[string]func(s *State, info WorkerInfo, now time.Time){
		"drains": func(s *State, info WorkerInfo, now time.Time) {
			info.Draining = true
			s.UpdateWorker(info, now)
		},
		"is in an evacuated data centre": func(s *State, _ WorkerInfo, _ time.Time) {
			c := s.config
			c.Evacuated = map[string]bool{"a": true}
			s.SetConfig(c)
		},
		"is unlisted":       func(s *State, info WorkerInfo, _ time.Time) { s.RemoveWorker(info.ID) },
		"is out of contact": func(s *State, info WorkerInfo, _ time.Time) { s.MarkUnreachable(info.ID) },
		"runs unknown tasks": func(s *State, info WorkerInfo, now time.Time) {
			reportWithLease(s, info.ID, Report{Incarnation: 1, Clock: 50, Running: []RunningAttempt{{Task: TaskID{Job: "gone"}, Run: 1}}}, now)
		},
		"serves another service": func(s *State, info WorkerInfo, now time.Time) {
			info.Service = "other"
			s.UpdateWorker(info, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("w")
			change(s, s.workers["w"].info, now)
			addJob(s, "j", "q", now, taskStep(1, 1000))
			is.Equal(len(startActions(planUntilIdle(s, now))), 0)
		})
	}
}

func TestRequirementsOfAStep(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	labelled := taskStep(1, 1000)
	labelled.Label = "gpu"
	addJob(s, "label", "q", now, labelled)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	spread := taskStep(3, 1000)
	spread.MaxPerWorker = 1
	addJob(s, "apart", "q", now, spread)
	is.Equal(len(startActions(planUntilIdle(s, now))), 2) // one on each worker
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	s, _ := newTestState()
	s.SetConfig(Config{Version: 0})
	is.Equal(s.config.Version, int64(1))
}

func TestCancelStopsWhatRuns(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	j := addJob(s, "j", "q", now, taskStep(2, 1000))
	planUntilIdle(s, now)
	s.Cancel("j", now)
	is.Equal(j.Status(), Cancelled)
	actions := s.Plan(now)
	is.Equal(len(actions), 2)
	is.Equal(actions[0].Kind, ActionStop)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
}

func TestEndedTasksOfAJobThatWasOverTakeRoom(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "old", "q", now, taskStep(1, 3000))
	first := planUntilIdle(s, now)
	s.Cancel("old", now)
	s.MarkStored(s.TakeDirty(10))
	next := takeOver(s, now, "a")
	reportWithLease(next, "a", Report{Incarnation: 1, Clock: 50, Running: runningOn(first, "a")}, now)
	addJob(next, "new", "q", now, taskStep(1, 3000))
	is.Equal(len(startActions(planUntilIdle(next, now))), 0)
}
