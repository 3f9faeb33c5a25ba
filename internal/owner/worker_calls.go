package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// execute sends the request of an action in the background; the response becomes an event of
// the loop.
func (l *leader) execute(a batch.Action, now time.Time) {
	switch a.Kind {
	case batch.ActionStart:
		l.startTask(a, now)
	case batch.ActionStop:
		l.callWorker(a, l.stopRepeatedly)
	case batch.ActionThrottle:
		l.callWorker(a, l.owner.workers.Throttle)
	case batch.ActionAdvise:
		l.advise(a, now)
	}
}

func (l *leader) startTask(a batch.Action, now time.Time) {
	notAfter := l.clocks[a.Worker].now(now) + startWindow.Milliseconds()
	l.state.StartSent(a.Worker, a.Task, a.Run, notAfter)
	request := StartRequest{
		Worker: a.Worker, Address: a.Address, Epoch: l.epoch, Task: a.Task, Run: a.Run,
		Payload: a.Payload, NotAfter: notAfter, Checkpoint: a.Checkpoint, Ticket: a.Ticket,
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, workerCallTimeout)
		defer cancel()
		answer := batch.AnswerExpired
		if l.mayAct() {
			answer = l.repeatCall(ctx, request.Worker, func(ctx context.Context) batch.Answer { return l.owner.workers.Start(ctx, request) })
		}
		l.post(func(l *leader, now time.Time) {
			l.checkFenced(a, answer)
			l.state.StartAnswered(a.Worker, a.Task, a.Run, answer, now)
		})
	}()
}

// stopRepeatedly stops a task.
func (l *leader) stopRepeatedly(ctx context.Context, r TaskRequest) batch.Answer {
	return l.repeatCall(ctx, r.Worker, func(ctx context.Context) batch.Answer { return l.owner.workers.Stop(ctx, r) })
}

// callRepeatDelay is how long a worker may take to answer a start or a stop before the identical request is sent
// again: its answer may be lost, or it may be carried out late.
const callRepeatDelay = 100 * time.Millisecond

// maxOpenCalls is the number of starts and stops without an answer from which on a worker gets no more copies: it must
// leave connections to the renewals of its lease.
const maxOpenCalls = 5

// openCalls counts the calls to each worker that have no answer yet.
type openCalls struct {
	mu     sync.Mutex
	counts map[batch.WorkerID]int
}

func (o *openCalls) add(id batch.WorkerID, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = map[batch.WorkerID]int{}
	}
	o.counts[id] += n
	if o.counts[id] == 0 {
		delete(o.counts, id)
	}
}

func (o *openCalls) count(id batch.WorkerID) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts[id]
}

// repeatCall makes a call that has the same effect however often it is made, and makes it again each callRepeatDelay
// until one takes effect or ctx ends. A refusal of one copy says nothing about the others: the outcome is a refusal only
// if all are refused.
func (l *leader) repeatCall(ctx context.Context, worker batch.WorkerID, call func(context.Context) batch.Answer) batch.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan batch.Answer, workerCallTimeout/callRepeatDelay)
	send := func() {
		l.openCalls.add(worker, 1)
		defer l.openCalls.add(worker, -1)
		answers <- call(ctx)
	}
	ticker := time.NewTicker(callRepeatDelay)
	defer ticker.Stop()
	go send()
	maxCopies := cap(answers)
	for sent, refused := 1, 0; ; {
		select {
		case answer := <-answers:
			switch answer {
			case batch.AnswerNone:
				continue
			case batch.AnswerFenced:
				return answer
			case batch.AnswerOK:
				if sent > 1 {
					return batch.AnswerOKRepeated
				}
				return answer
			}
			if refused++; refused == sent {
				return answer
			}
			if answer != batch.AnswerRefused {
				maxCopies = sent // another copy would be refused, too
			}
		case <-ticker.C:
			if sent < maxCopies && l.openCalls.count(worker) < maxOpenCalls && l.mayAct() {
				sent++
				go send()
			}
		case <-ctx.Done():
			return batch.AnswerNone
		}
	}
}

func (l *leader) callWorker(a batch.Action, send func(context.Context, TaskRequest) batch.Answer) {
	request := TaskRequest{Worker: a.Worker, Address: a.Address, Epoch: l.epoch, Task: a.Task, Run: a.Run, Percent: a.Percent}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, workerCallTimeout)
		defer cancel()
		answer := batch.AnswerRefused
		if l.mayAct() {
			answer = send(ctx, request)
		}
		l.post(func(l *leader, now time.Time) {
			l.checkFenced(a, answer)
			switch a.Kind {
			case batch.ActionStop:
				l.state.StopAnswered(a.Worker, a.Incarnation, a.Task, a.Run, answer, now)
			case batch.ActionThrottle:
				l.state.ThrottleAnswered(a.Worker, a.Task, a.Run, answer)
			}
		})
	}()
}

// adviceTimeout bounds the wait for the adviser, which handles one request at a time.
const adviceTimeout = 4 * time.Second

// advise asks the adviser which workers may run a step.
func (l *leader) advise(a batch.Action, sentAt time.Time) {
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, adviceTimeout)
		defer cancel()
		var tickets []batch.WorkerTicket
		var valid time.Duration
		err := errNoAdviser
		if l.owner.opts.Adviser != nil {
			tickets, valid, err = l.owner.opts.Adviser.Advise(ctx, a.Task, a.Workers)
		}
		if err != nil {
			l.log.Warn().Str("event", "advice.failed").Str("job", a.Task.Job).Int("step", a.Task.Step).Err(err).Send()
		}
		l.post(func(l *leader, now time.Time) { l.state.AdviceAnswered(a, tickets, valid, err == nil, sentAt, now) })
	}()
}

var errNoAdviser = errors.New("no adviser is configured")

// checkFenced ends the leadership if a worker rejects its epoch because it has seen a higher one.
func (l *leader) checkFenced(a batch.Action, answer batch.Answer) {
	if answer == batch.AnswerFenced {
		l.log.Warn().Str("event", "leader.fenced").Str("worker", string(a.Worker)).Send()
		l.stepDown("a worker has seen a higher epoch")
	}
}
