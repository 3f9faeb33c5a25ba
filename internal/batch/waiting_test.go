package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against jobs that are neither counted nor shown as waiting although no worker has taken a start.
func TestAJobWaitsUntilAWorkerHasStartedATask(t *testing.T) {
	for name, c := range map[string]struct {
		confirm func(s *State, start Action, now time.Time)
		waits   bool
	}{
		"sent":        {func(*State, Action, time.Time) {}, true},
		"refused":     {func(s *State, a Action, now time.Time) { s.StartAnswered("a", a.Task, a.Run, AnswerRefused, now) }, true},
		"no capacity": {func(s *State, a Action, now time.Time) { s.StartAnswered("a", a.Task, a.Run, AnswerNoCapacity, now) }, true},
		"no answer":   {func(s *State, a Action, now time.Time) { s.StartAnswered("a", a.Task, a.Run, AnswerNone, now) }, true},
		"accepted":    {func(s *State, a Action, now time.Time) { s.StartAnswered("a", a.Task, a.Run, AnswerOK, now) }, false},
		"listed": {func(s *State, a Action, now time.Time) {
			reportWithLease(s, "a", Report{Incarnation: 1, Clock: 5, Running: []RunningAttempt{{Task: a.Task, Run: a.Run}}}, now)
		}, false},
		"ended": {func(s *State, a Action, now time.Time) {
			reportWithLease(s, "a", Report{Incarnation: 1, Clock: 5, Ended: []EndedAttempt{{Seq: 1, Task: a.Task, Run: a.Run, Reason: EndFailed}}}, now)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			j := addJob(s, "j", "q", now, taskStep(1, 1000))
			c.confirm(s, startOne(s, now), now)
			is.Equal(s.QueuedJobs("q") == 1, c.waits)
			is.Equal(j.Status() == Queued, c.waits)
			next := takeOver(s, now, "a")
			is.Equal(next.QueuedJobs("q") == 1, c.waits) // the record says the same to the next owner
		})
	}
}
