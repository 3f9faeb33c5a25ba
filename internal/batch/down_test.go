package batch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// silenceWorker makes a worker unreachable whose lease lasts for leaseLeft.
func silenceWorker(s *State, id WorkerID, leaseLeft time.Duration, now time.Time) {
	s.LeaseRenewed(id, now.Add(leaseLeft), true)
	s.MarkUnreachable(id)
}

// Guards against a log that shows tasks as waiting for a plan which the plan that finds them lost restarts at once (issue 57: 473
// tasks of a silent data centre, "down for 6.6 s").
func TestLostTasksThatAreRestartedAtOnceAreNotLoggedAsDown(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
	planUntilIdle(s, now)
	silenceWorker(s, "a", 6*time.Second, now)
	addWorker(s, "b", s.workers["a"].info.Capacity, now)
	started := startActions(planUntilIdle(s, now.Add(7*time.Second)))
	is.Equal(len(started), 1)
	is.Equal(started[0].Worker, WorkerID("b"))
	is.Equal(len(eventsNamed(s, "tasks.down")), 0)
}

// Guards against a log that counts the end of a lease as a wait for room, and lacks the tasks that still wait for theirs.
func TestTheLogTellsTheEndOfALeaseFromTheWaitForRoom(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	full := s.workers["a"].info.Capacity.CPU
	addJob(s, "j", "q", now, longRunningStep(2, full, 0))
	planUntilIdle(s, now)
	silenceWorker(s, "a", 6*time.Second, now)
	silenceWorker(s, "b", 20*time.Second, now)
	s.Plan(now.Add(7 * time.Second))
	s.Plan(now.Add(9 * time.Second))
	lines := eventsNamed(s, "tasks.down")
	is.True(len(lines) > 0)
	last := lines[len(lines)-1].Detail
	is.True(strings.Contains(last, "1 long-running tasks are down"))
	is.True(strings.Contains(last, "the first for 9s and startable for 2s"))
	is.True(strings.Contains(last, "1 more run on silent workers"))
}
