package batch

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// advice holds the adviser's answers for one step. Whether a worker may run the step does not change.
// A ticket is valid for a limited time and for one incarnation of the worker.
type advice struct {
	permits      map[WorkerID]permit
	questionOpen bool
	// notBefore is the earliest time of the next question after one without an answer.
	notBefore time.Time
	// wait is why the step had no ticket when askAdviser was last called; notHeld if it lacked room.
	wait waitReason
}

// permit is the answer for one worker.
type permit struct {
	ticket      string // empty if the worker may not run the step
	incarnation int64
	until       time.Time
}

const (
	// maxWorkersAsked bounds the workers in one question, since the adviser's time for an answer
	// grows with their number.
	maxWorkersAsked = 30
	// workersAskedPerTask is the number of workers in a question for each waiting task, and
	// extraWorkersAsked the number added to that, since the adviser refuses some workers.
	workersAskedPerTask = 2
	extraWorkersAsked   = 4
	// maxQuestions bounds the questions without an answer, since the adviser processes one at a time.
	maxQuestions = 4
	// ticketMargin is the remaining validity below which a ticket is not used for a start.
	ticketMargin = 400 * time.Millisecond
	// askRetryDelay is the delay before the next question of a step after one without an answer.
	askRetryDelay = 300 * time.Millisecond
)

// hasTicket reports whether the step has a ticket for the worker that is valid for a start.
func (a *advice) hasTicket(w *worker, now time.Time) bool {
	p, ok := a.permits[w.info.ID]
	return ok && p.ticket != "" && p.incarnation == w.info.Incarnation && now.Add(ticketMargin).Before(p.until)
}

// ticket returns the ticket for a start on the worker; empty if the queue requires none.
func (a *advice) ticket(w *worker) string { return a.permits[w.info.ID].ticket }

// mayGetTicket reports whether it makes sense to ask the adviser about the worker: the adviser has not
// been asked yet, or it has allowed the worker and the ticket is not valid any more.
func (a *advice) mayGetTicket(w *worker, now time.Time) bool {
	p, ok := a.permits[w.info.ID]
	return !ok || p.ticket != "" && !a.hasTicket(w, now)
}

// noteUnaskable notes that a worker has room about which the adviser is not asked: it was refused, or its ticket is
// valid and something else keeps the step from it.
func (a *advice) noteUnaskable(w *worker) {
	if a.permits[w.info.ID].ticket == "" {
		a.wait = heldByRefusedTickets
	}
}

// withdraw deletes the answer for a worker that did not accept its ticket.
func (a *advice) withdraw(id WorkerID) { delete(a.permits, id) }

// askAdviser asks the adviser about the best workers for a step for which no worker was found. It
// returns true if the step's queue requires tickets, so that the step may find a worker later although
// no resources are freed. It notes in the step's advice what the step waits for.
func (s *State) askAdviser(st *step, workers []*worker, now time.Time) bool {
	q := s.queueOf(st.job)
	st.advice.wait = notHeld
	if !q.RequiresTicket {
		return false
	}
	if st.advice.questionOpen {
		st.advice.wait = heldByAdviser
		return true
	}
	if s.openQuestions >= maxQuestions || now.Before(st.advice.notBefore) {
		st.advice.wait = heldByQuestions
		return true
	}
	var rated scoredWorkers
	for i, w := range workers {
		if !st.suits(w, &q, now) {
			continue
		}
		if !st.advice.mayGetTicket(w, now) {
			st.advice.noteUnaskable(w)
			continue
		}
		s.updateLatencyGroups(w, now)
		rated = append(rated, scoredWorker{worker: w, score: s.score(st, &st.tasks[0], w), order: i})
	}
	if len(rated) == 0 {
		return true
	}
	st.advice.wait = heldByAdviser
	sort.Sort(&rated)
	n := min(len(rated), maxWorkersAsked, workersAskedPerTask*st.waiting+extraWorkersAsked)
	question := Action{Kind: ActionAdvise, Task: TaskID{Job: st.job.ID, Occurrence: st.occ.number, Step: st.number}}
	for _, r := range rated[:n] {
		question.Workers = append(question.Workers, r.worker.info.ID)
	}
	if !st.startRecordRequested {
		s.requestStartRecord(st) // the record is written while the adviser answers
	}
	st.advice.questionOpen = true
	s.openQuestions++
	s.actions = append(s.actions, question)
	return true
}

// WorkerTicket is a ticket that the adviser has granted for a worker.
type WorkerTicket struct {
	Worker WorkerID
	Ticket string
}

// AdviceAnswered processes the adviser's answer to a question that was sent at the time asked. grants
// holds the allowed workers, whose tickets are valid for the given time from then. If answered is
// false, the question is asked again after askRetryDelay.
func (s *State) AdviceAnswered(question Action, grants []WorkerTicket, valid time.Duration, answered bool, asked, now time.Time) {
	s.openQuestions--
	st := s.stepOf(question.Task)
	if st == nil {
		return
	}
	st.advice.questionOpen, st.advice.wait = false, notHeld
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
