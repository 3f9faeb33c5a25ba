package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newAdvisedState returns a state with the given workers and a queue that requires tickets.
func newAdvisedState(ids ...WorkerID) (*State, time.Time) {
	s, now := newTestState(ids...)
	c := s.config
	c.Version++
	c.Queues = map[string]Queue{"q": {Service: "svc", MaxAttempts: 3, Stretch: 2, RequiresTicket: true}}
	s.SetConfig(c)
	return s, now
}

// questions returns the questions to the adviser among the actions.
func questions(actions []Action) []Action {
	var out []Action
	for _, a := range actions {
		if a.Kind == ActionAdvise {
			out = append(out, a)
		}
	}
	return out
}

// Tasks of a queue that requires tickets start only on workers that the adviser allows, with their
// ticket. The adviser is not asked again about workers that it refused.
func TestTasksStartWithATicketOnly(t *testing.T) {
	is := is.New(t)
	s, now := newAdvisedState("a", "b", "c")
	addJob(s, "j", "q", now, taskStep(2, 1000))
	first := planUntilIdle(s, now)
	is.Equal(len(startActions(first)), 0)
	asked := questions(first)
	is.Equal(len(asked), 1)
	is.Equal(len(asked[0].Workers), 3)
	is.Equal(len(questions(planUntilIdle(s, now))), 0) // one question at a time
	s.AdviceAnswered(asked[0], []WorkerTicket{{Worker: "b", Ticket: "t1"}}, 3*time.Second, true, now, now)
	got := startActions(planUntilIdle(s, now))
	is.Equal(len(got), 2)
	for _, a := range got {
		is.Equal(a.Worker, WorkerID("b"))
		is.Equal(a.Ticket, "t1")
	}
	is.Equal(len(questions(planUntilIdle(s, now.Add(time.Second)))), 0)
}

// Tickets expire while tasks wait. The next question names only the workers that were allowed.
func TestTicketsAreRenewed(t *testing.T) {
	is := is.New(t)
	s, now := newAdvisedState("a", "b")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	asked := questions(planUntilIdle(s, now))[0]
	s.AdviceAnswered(asked, []WorkerTicket{{Worker: "b", Ticket: "t1"}}, 3*time.Second, true, now.Add(-3*time.Second), now)
	again := questions(planUntilIdle(s, now))
	is.Equal(len(again), 1)
	is.Equal(again[0].Workers, []WorkerID{"b"})
	s.AdviceAnswered(again[0], []WorkerTicket{{Worker: "b", Ticket: "t2"}}, 3*time.Second, true, now, now)
	got := s.Plan(now)
	is.Equal(got[0].Ticket, "t2")
	s.StartSent("b", got[0].Task, got[0].Run, 1000)
	s.StartAnswered("b", got[0].Task, got[0].Run, AnswerNoTicket, now) // although it seems valid
	is.Equal(len(questions(planUntilIdle(s, now))), 1)
}

// The adviser does not answer. It is asked again after askRetryDelay.
func TestAdviserWithoutAnAnswerIsAskedLater(t *testing.T) {
	is := is.New(t)
	s, now := newAdvisedState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	asked := questions(planUntilIdle(s, now))[0]
	s.AdviceAnswered(asked, nil, 0, false, now, now)
	is.Equal(len(questions(planUntilIdle(s, now))), 0)
	is.Equal(len(questions(planUntilIdle(s, now.Add(askRetryDelay)))), 1)
}

// Many steps with many tasks wait at once. The number of questions to the adviser and the size of
// each are bounded.
func TestQuestionsAreBounded(t *testing.T) {
	is := is.New(t)
	var ids []WorkerID
	for i := range 60 {
		ids = append(ids, WorkerID(rune('A'+i)))
	}
	s, now := newAdvisedState(ids...)
	for i := range 10 {
		addJob(s, string(rune('a'+i)), "q", now, taskStep(40, 10))
	}
	asked := questions(planUntilIdle(s, now))
	is.Equal(len(asked), maxQuestions)
	for _, q := range asked {
		is.Equal(len(q.Workers), maxWorkersAsked)
	}
}
