package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that run again after they were done, or after all their attempts have failed: a worker that drains
// or has left the registry reported the ends, and was dropped from the workers record in a transaction that had no room for the records of
// the jobs. The next owner did not wait for its ends.
func TestAWorkerIsInUseUntilItsReportedEndsAreRecorded(t *testing.T) {
	for _, leaves := range []struct {
		name  string
		leave func(s *State, now time.Time)
	}{
		{"drains", func(s *State, now time.Time) {
			info := s.workers["a"].info
			info.Draining = true
			s.UpdateWorker(info, now)
		}},
		{"is not in the registry", func(s *State, _ time.Time) { s.RemoveWorker("a") }},
	} {
		t.Run(leaves.name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			addJob(s, "j", "q", now, taskStep(1, 1000))
			addJob(s, "k", "q", now, taskStep(1, 1000))
			var ends []EndedAttempt
			for i, a := range startActions(planUntilIdle(s, now)) {
				ends = append(ends, EndedAttempt{Seq: int64(i + 1), Task: a.Task, Run: a.Run, Reason: EndDone})
			}
			is.Equal(len(ends), 2)
			leaves.leave(s, now)
			reportWithLease(s, "a", Report{Incarnation: 1, Clock: 50, Ended: ends}, now)

			now = now.Add(checkInterval)
			s.Plan(now)
			is.True(s.InUse("a"))
			s.TakeDirty(1)
			is.True(s.InUse("a"))
			is.True(s.WorkersInUse()["a"])
			s.TakeDirty(1)
			is.True(!s.InUse("a")) // the transaction that drops it contains the ends, too
			is.True(!s.WorkersInUse()["a"])
		})
	}
}

// Guards against ends that are acknowledged late, so that each report lists them again, since the records of other jobs wait
// for the store (issue 45).
func TestAnAcknowledgementWaitsForTheJobsOfItsEndsOnly(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(2, 1000))
	starts := startActions(planUntilIdle(s, now))
	for _, other := range []string{"k", "l", "m"} {
		addJob(s, other, "q", now, taskStep(1, 1000))
		s.Cancel(other, now)
	}
	ended := func(a Action, seq int64) []EndedAttempt {
		return []EndedAttempt{{Seq: seq, Task: a.Task, Run: a.Run, Reason: EndDone}}
	}
	first := ended(starts[0], 1)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 50, Ended: first, Running: []RunningAttempt{{Task: starts[1].Task, Run: starts[1].Run}}}, now)
	changes := s.ChangesBy(first)
	is.True(!changes.AreStored())
	s.MarkStored(s.TakeDirty(2)) // k and l
	is.True(!changes.AreStored())
	records := s.TakeDirty(2) // m and j

	// A change that follows needs another record, but does not put off the acknowledgement of the first end.
	second := append(first, ended(starts[1], 2)...)
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 60, Ended: second}, now)
	later := s.ChangesBy(second)
	s.MarkStored(records)
	is.True(changes.AreStored())
	is.True(!later.AreStored())
	s.MarkStored(s.TakeDirty(1))
	is.True(later.AreStored())
}
