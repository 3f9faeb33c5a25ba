package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newAdvisedState returns a state whose queue asks an adviser, with the workers.
func newAdvisedState(ids ...WorkerID) (*State, time.Time) {
	s, now := newTestState(ids...)
	c := s.config
	c.Version++
	c.Queues = map[string]Queue{"q": {Service: "svc", MaxAttempts: 3, Stretch: 2, RequiresTicket: true}}
	s.SetConfig(c)
	return s, now
}

// questions returns the questions to the adviser among the orders.
func questions(actions []Action) []Action {
	var out []Action
	for _, a := range actions {
		if a.Kind == ActionAdvise {
			out = append(out, a)
		}
	}
	return out
}

// Pattern: a queue whose policy allows only some workers. Tasks start with a ticket, on those
// workers only, and what was refused is not asked again.
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

// Pattern: tickets run out while tasks wait. A new question is only about those that were allowed.
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
	s.StartAnswered("b", got[0].Task, got[0].Run, AnswerNoTicket, 10, now) // the worker knows better
	is.Equal(len(questions(planUntilIdle(s, now))), 1)
}

// Pattern: the adviser is away or overloaded. It is asked again after a pause.
func TestAdviserWithoutAnAnswerIsAskedLater(t *testing.T) {
	is := is.New(t)
	s, now := newAdvisedState("a")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	asked := questions(planUntilIdle(s, now))[0]
	s.AdviceAnswered(asked, nil, 0, false, now, now)
	is.Equal(len(questions(planUntilIdle(s, now))), 0)
	is.Equal(len(questions(planUntilIdle(s, now.Add(askRetryDelay)))), 1)
}

// Pattern: many wide steps at once. The adviser gets few questions, each of a bounded size.
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
