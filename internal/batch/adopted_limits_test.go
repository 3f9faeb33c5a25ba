package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against latency targets that are missed after a take-over (HARM): the CPU limits of best-effort tasks that a former owner has started
// are not known, the lowest was assumed, and as long as that was right nobody sent it.
func TestTheLimitsOfAdoptedTasksAreSent(t *testing.T) {
	for _, c := range []struct {
		name        string
		measurement int64 // of the task with a target of 100 ms
		want        int   // the last limit that is sent
	}{{"the target is missed", 180, 0}, {"the target is met with much to spare", 21, 100}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			s.interferenceModel.weights[ImagePair{"fill", "web"}] = weightEstimate{mean: 4, variance: minVariance}
			web := addJob(s, "web", "q", now, latencySensitiveStep("web", 1))
			fill := addJob(s, "fill", "late", now, bestEffortStep("fill", 1))
			list := []RunningAttempt{
				{Task: TaskID{Job: web.ID}, Run: 1, Percent: 100, Measurement: c.measurement},
				{Task: TaskID{Job: fill.ID}, Run: 1, Percent: 10},
			}
			var sent []int
			for range 4 {
				now = now.Add(time.Second)
				reportWithLease(s, "a", Report{Incarnation: 1, Clock: now.UnixMilli(), Running: list}, now)
				for _, a := range s.Plan(now) {
					if a.Kind == ActionThrottle && a.Task.Job == fill.ID {
						sent = append(sent, a.Percent)
						s.ThrottleAnswered(a.Worker, a.Task, a.Run, AnswerOK)
					}
				}
			}
			is.True(len(sent) > 0)
			is.Equal(sent[len(sent)-1], c.want)
		})
	}
}
