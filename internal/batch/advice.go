package batch

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// advice is what the adviser has told of the workers that may run a step. Whether a worker
// may run it does not change; a ticket is valid for a time, in one life of the worker.
type advice struct {
	permits      map[WorkerID]permit
	questionOpen bool
	// notBefore is when the adviser may be asked again after it gave no answer.
	notBefore time.Time
}

// permit is the answer for one worker.
type permit struct {
	ticket      string // empty if the worker may not run the step
	incarnation int64
	until       time.Time
}

const (
	// maxWorkersAsked is the number of workers in a question; each costs the adviser time.
	maxWorkersAsked = 30
	// workersAskedPerTask is how many workers are asked about for each waiting task, and extraWorkersAsked
	// how many in any case, since some are refused.
	workersAskedPerTask = 2
	extraWorkersAsked   = 4
	// maxQuestions bounds the questions without an answer, which the adviser takes in turn.
	maxQuestions = 4
	// ticketMargin is the rest of a ticket's time below which it is not used for a start.
	ticketMargin = 400 * time.Millisecond
	// askRetryDelay is the pause after a question without an answer.
	askRetryDelay = 300 * time.Millisecond
)

// hasTicket reports whether the step has a ticket for the worker.
func (a *advice) hasTicket(w *worker, now time.Time) bool {
	p, ok := a.permits[w.info.ID]
	return ok && p.ticket != "" && p.incarnation == w.info.Incarnation && now.Add(ticketMargin).Before(p.until)
}

// ticket returns the ticket for a start; empty if none is needed.
func (a *advice) ticket(w *worker) string { return a.permits[w.info.ID].ticket }

// mayGetTicket reports whether the adviser may allow the worker if it is asked.
func (a *advice) mayGetTicket(w *worker, now time.Time) bool {
	p, ok := a.permits[w.info.ID]
	return !ok || p.ticket != "" && !a.hasTicket(w, now)
}

// withdraw forgets a ticket that a worker did not accept.
func (a *advice) withdraw(id WorkerID) { delete(a.permits, id) }

// ask asks the adviser about the workers that are best for a step that found none. It
// reports whether the step may find one later without other room.
func (s *State) ask(st *step, workers []*worker, now time.Time) bool {
	q := s.queueOf(st.job)
	if !q.RequiresTicket {
		return false
	}
	if st.advice.questionOpen || s.openQuestions >= maxQuestions || now.Before(st.advice.notBefore) {
		return true
	}
	var rated scoredWorkers
	for i, w := range workers {
		if st.suits(w, q) && st.advice.mayGetTicket(w, now) {
			s.updateLatencyGroups(w, now)
			rated = append(rated, scoredWorker{worker: w, score: s.score(st, &st.tasks[0], w), order: i})
		}
	}
	if len(rated) == 0 {
		return true
	}
	sort.Sort(&rated)
	n := min(len(rated), maxWorkersAsked, workersAskedPerTask*st.waiting+extraWorkersAsked)
	question := Action{Kind: ActionAdvise, Task: TaskID{Job: st.job.ID, Occurrence: st.occ.number, Step: st.number}}
	for _, r := range rated[:n] {
		question.Workers = append(question.Workers, r.worker.info.ID)
	}
	if !st.startAnnounced {
		s.announce(st) // the record and the answer come at the same time
	}
	st.advice.questionOpen = true
	s.openQuestions++
	s.actions = append(s.actions, question)
	return true
}

// WorkerTicket is a ticket for a worker.
type WorkerTicket struct {
	Worker WorkerID
	Ticket string
}

// AdviceAnswered takes in the adviser's answer to a question of the given time. Without an answer
// the question is asked again later.
func (s *State) AdviceAnswered(question Action, grants []WorkerTicket, valid time.Duration, answered bool, asked, now time.Time) {
	s.openQuestions--
	st := s.stepOf(question.Task)
	if st == nil {
		return
	}
	st.advice.questionOpen = false
	if !answered {
		st.advice.notBefore = now.Add(askRetryDelay)
		return
	}
	if st.advice.permits == nil {
		st.advice.permits = map[WorkerID]permit{}
	}
	for _, id := range question.Workers {
		w := s.workers[id]
		if w == nil {
			continue
		}
		p := permit{incarnation: w.info.Incarnation, until: asked.Add(valid)}
		if i := slices.IndexFunc(grants, func(g WorkerTicket) bool { return g.Worker == id }); i >= 0 {
			p.ticket = grants[i].Ticket
		}
		st.advice.permits[id] = p
	}
	s.event(Event{Name: "step.advised", Job: st.job.ID, Task: question.Task, Detail: fmt.Sprintf("%d of %d workers may run it", len(grants), len(question.Workers))})
}
