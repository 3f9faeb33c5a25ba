package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against long-running tasks that stay down while tasks that have gone down later are restarted first, since
// their job is older.
func TestTheTaskThatIsDownForLongestIsRestartedFirst(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	full := s.workers["a"].info.Capacity.CPU
	addJob(s, "older", "q", now, longRunningStep(1, full, 0))
	first := startActions(planUntilIdle(s, now))
	addJob(s, "younger", "q", now.Add(time.Second), longRunningStep(1, full, 0))
	second := startActions(planUntilIdle(s, now.Add(time.Second)))
	is.Equal(len(first)+len(second), 2)
	leave := func(a Action, at time.Time) {
		info := s.workers[a.Worker].info
		info.Draining = true
		s.UpdateWorker(info, at)
		reportWithLease(s, a.Worker, Report{Incarnation: 1, Clock: 50, Ended: []EndedAttempt{{Seq: 1, Task: a.Task, Run: a.Run, Reason: EndStopped}}}, at)
	}
	leave(second[0], now.Add(2*time.Second))
	is.Equal(len(startActions(planUntilIdle(s, now.Add(2*time.Second)))), 0) // no worker has room
	leave(first[0], now.Add(5*time.Second))
	now = now.Add(6 * time.Second)
	addWorker(s, "c", s.workers["a"].info.Capacity, now)
	started := startActions(planUntilIdle(s, now))
	is.Equal(len(started), 1)
	is.Equal(started[0].Task.Job, "younger")
}

// Guards against the time of a restart that counts from the end of a lease: the task on a worker that fell silent has been
// down since then.
func TestATaskOnASilentWorkerIsDownSinceItsLastContact(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
	planUntilIdle(s, now)
	s.LeaseRenewed("a", now.Add(6*time.Second), true)
	s.MarkUnreachable("a")
	end := now.Add(20 * time.Second)
	s.Plan(end)
	is.True(s.Job("j").occs[0].steps[0].tasks[0].downSince.Equal(now))
}
