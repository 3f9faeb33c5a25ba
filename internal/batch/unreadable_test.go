package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxDoubt is the longest time for which reports that cannot be read in full may keep a task from starting.
const maxDoubt = 14 * time.Second

// reportUnreadable lets a worker report each 250 ms in a form that cannot be read in full, and renews its lease unless it
// must lapse, until a task is started. It returns when that is, and when the lease has ended.
func reportUnreadable(s *State, id WorkerID, now time.Time) (startedAt, leaseEnd time.Time) {
	for limit := now.Add(time.Minute); now.Before(limit); now = now.Add(250 * time.Millisecond) {
		renewed := !s.MustLapse(id)
		if renewed {
			leaseEnd = now.Add(testLimits.LeaseTTL)
		}
		s.LeaseRenewed(id, leaseEnd, renewed)
		s.ApplyReport(id, Report{Incarnation: 1, Clock: now.UnixMilli(), RequestedAt: now, Incomplete: true, Unreadable: true}, now)
		if len(startActions(planUntilIdle(s, now))) > 0 {
			return now, leaseEnd
		}
	}
	return now, leaseEnd
}

// Guards against a former owner's tasks that wait for as long as the reports of one worker can't be read in full.
func TestUnreadableReportsKeepNoTaskOfAFormerOwnerForLong(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	planUntilIdle(s, now)
	next := takeOver(s, now, "a")
	addWorker(next, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	startedAt, leaseEnd := reportUnreadable(next, "a", now)
	is.True(startedAt.After(leaseEnd)) // it may run on a until then
	is.True(startedAt.Sub(now) < maxDoubt)
}

// Guards against the same for a task that this owner has started.
func TestUnreadableReportsKeepNoAttemptForLong(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	planUntilIdle(s, now)
	addWorker(s, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	startedAt, leaseEnd := reportUnreadable(s, "a", now)
	is.True(startedAt.After(leaseEnd))
	is.True(startedAt.Sub(now) < maxDoubt)
	s.ApplyReport("a", Report{Incarnation: 1, Clock: startedAt.UnixMilli(), Incomplete: true, Unreadable: true}, startedAt)
	is.True(!s.MustLapse("a")) // what is open has ended
}

// Guards against a worker whose lease lapses since one report could not be read, or a start is not listed yet.
func TestAReportThatIsReadInFullEndsTheDoubt(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	starts := planUntilIdle(s, now)
	for i := range 40 {
		now = now.Add(250 * time.Millisecond)
		r := Report{Incarnation: 1, Clock: now.UnixMilli(), Running: runningOn(starts, "a")}
		if i%15 > 0 {
			r.Running, r.Incomplete, r.Unreadable = nil, true, true
		}
		reportWithLease(s, "a", r, now)
		is.True(!s.MustLapse("a"))
	}
}
