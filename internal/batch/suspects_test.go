package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a suspected task of a queue with tickets that never starts: its tickets have ended while it waited
// for the lease of its lost worker, and nobody asked for new ones.
func TestASuspectedTaskGetsNewTickets(t *testing.T) {
	is := is.New(t)
	s, now := newAdvisedState("a", "b", "c")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	granted := []WorkerTicket{{"a", "t"}, {"b", "t"}, {"c", "t"}}
	const valid = 3 * time.Second
	question := questions(planUntilIdle(s, now))[0]
	s.AdviceAnswered(question, granted, valid, true, now, now)
	lost := startActions(planUntilIdle(s, now))[0].Worker
	s.MarkUnreachable(lost)
	s.RemoveWorker(lost)
	limit := now.Add(testLimits.StartLeaseTTL + testLimits.LeaseTTL + time.Second)
	for now.Before(limit) {
		now = now.Add(500 * time.Millisecond)
		for id := range s.workers {
			if id != lost {
				reportWithLease(s, id, Report{Incarnation: 1, Clock: now.UnixMilli()}, now)
			}
		}
		actions := planUntilIdle(s, now)
		if len(startActions(actions)) > 0 {
			return
		}
		for _, q := range questions(actions) {
			s.AdviceAnswered(q, granted, valid, true, now, now)
		}
	}
	is.Fail() // not started
}

// Guards against a long-running task in doubt that waits for the end of a quarantine although the worker may be used
// as a last resort: its start was recorded and given up again in each plan.
func TestATaskInDoubtStartsOnTheLastResort(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
	planUntilIdle(s, now)
	s = takeOver(s, now)
	s.ApplyReport("a", Report{Incarnation: 1, Clock: 9000}, now)
	s.LeaseRenewed("a", now.Add(time.Hour), true)
	s.workers["a"].quarantine(now, quarantineTime, lastResortDelay)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	is.Equal(len(startActions(planUntilIdle(s, now.Add(lastResortDelay)))), 1)
}

// Guards against a worker that stays marked as running a suspected task although the suspicion was withdrawn.
func TestAWithdrawnSuspicionIsNotCounted(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
	starts := startActions(planUntilIdle(s, now))
	runs, other := starts[0].Worker, WorkerID("a")
	if runs == "a" {
		other = "b"
	}
	s = takeOver(s, now)
	ref := taskRef{s.Job("j").occs[0].steps[0], 0}
	s.addSuspicion(ref, Suspicion{Worker: other, Address: string(other), Incarnation: 1})
	s.ApplyReport(runs, Report{Incarnation: 1, Clock: 9000, Running: runningOn(starts, runs)}, now)
	is.Equal(s.workers[runs].suspected, 1)
	s.ApplyReport(other, Report{Incarnation: 1, Clock: 9000}, now)
	is.Equal(len(ref.task().suspicions), 0)
	is.Equal(s.workers[runs].suspected, 0)
}

// Guards against an innocent task that is given up for a crash of another one, which was started beside it when it had
// been suspected twice already.
func TestNoTaskJoinsOneThatIsSuspectedTwice(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "suspect", "q", now, taskStep(1, 1000))
	s.MarkStored(s.TakeDirty(1))
	ref := taskRef{s.Job("suspect").occs[0].steps[0], 0}
	for run := range int64(suspicionsToIsolate) {
		s.addSuspicion(ref, Suspicion{Run: -run, Worker: "lost", Address: "lost", Incarnation: 1})
	}
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
	addJob(s, "other", "q", now, taskStep(1, 1000))
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	s.clearTask(ref) // it works
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}
