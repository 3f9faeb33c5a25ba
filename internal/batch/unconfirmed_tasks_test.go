package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks of which the log and the metrics say nothing, as they have an attempt all the while that nobody
// knows to run (issue 42): each phase of such an attempt has a name in both.
func TestEachUnconfirmedStartHasItsPhaseInTheLogAndTheMetric(t *testing.T) {
	const worker = "a"
	reached := map[unconfirmedPhase]func(s *State, start Action, now time.Time){
		startOnItsWay:    func(*State, Action, time.Time) {},
		startAccepted:    func(s *State, a Action, now time.Time) { s.StartAnswered(worker, a.Task, a.Run, AnswerOK, now) },
		startNotAnswered: func(s *State, a Action, now time.Time) { s.StartAnswered(worker, a.Task, a.Run, AnswerNone, now) },
		startStopped: func(s *State, a Action, now time.Time) {
			s.StartAnswered(worker, a.Task, a.Run, AnswerNone, now)
			s.StopAnswered(worker, 1, a.Task, a.Run, AnswerOK, now)
		},
		workerOutOfContact: func(s *State, a Action, now time.Time) {
			s.StartAnswered(worker, a.Task, a.Run, AnswerNone, now)
			s.MarkUnreachable(worker)
		},
	}
	for phase := range unconfirmedPhases {
		t.Run(unconfirmedPhaseNames[phase], func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState(worker)
			addJob(s, "j", "q", now, taskStep(1, 1000))
			start := startOf(s, now)
			s.StartSent(start.Worker, start.Task, start.Run, 1500)
			reached[phase](s, start, now)
			now = now.Add(waitReportInterval)
			for p, u := range s.UnconfirmedTasks(now) {
				want := UnconfirmedTasks{Phase: unconfirmedPhaseNames[p]}
				if p == int(phase) {
					want.Count, want.Oldest = 1, waitReportInterval
				}
				is.Equal(u, want)
			}
			s.reportUnconfirmedTasks(now)
			last := s.events[len(s.events)-1]
			is.Equal(last.Name, "tasks.unconfirmed")
			is.True(strings.Contains(last.Detail, fmt.Sprintf("1 %s (first for %s)", unconfirmedPhaseNames[phase], waitReportInterval)))
			s.ApplyReport(worker, Report{Incarnation: 1, Clock: 1, Running: []RunningAttempt{{Task: start.Task, Run: start.Run}}}, now)
			is.Equal(s.UnconfirmedTasks(now)[phase].Count, 0) // the report says that it runs
		})
	}
}

// startOf plans until the first start is decided, and returns it.
func startOf(s *State, now time.Time) Action {
	for {
		for _, a := range s.Plan(now) {
			if a.Kind == ActionStart {
				return a
			}
		}
		s.MarkStored(s.TakeDirty(1 << 20))
	}
}
