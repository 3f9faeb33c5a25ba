package batch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a log that fills up: the end of a long-running task stands behind one that is kept, so that each report shows it again.
func TestAFailureOfALongRunningTaskThatIsListedAgainIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	addJob(s, "service", "q", now, lasting(1000))
	starts := map[string]Action{}
	for _, a := range startActions(planUntilIdle(s, now)) {
		starts[a.Task.Job] = a
	}
	task, service := starts["j"], starts["service"]
	s.StartAnswered("a", task.Task, task.Run, AnswerNone, now)
	s.StartAnswered("a", service.Task, service.Run, AnswerOK, now)
	s.Events()
	r := Report{Incarnation: 1, Clock: 60, RequestedAt: now, Ended: []EndedAttempt{
		{Seq: 1, Task: task.Task, Run: task.Run, Reason: EndDone},
		{Seq: 2, Task: service.Task, Run: service.Run, Reason: EndFailed},
	}}
	logged := 0
	for range 3 {
		is.Equal(s.ApplyReport("a", r, now), int64(0))
		for _, e := range s.Events() {
			if e.Name == "task.ended" && e.Task == service.Task {
				logged++
			}
		}
	}
	is.Equal(logged, 1)
}
