package owner

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
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
		l.stopTask(a)
	case batch.ActionThrottle:
		l.throttleTask(a)
	case batch.ActionAdvise:
		l.advise(a, now)
	}
}

func (l *leader) startTask(a batch.Action, now time.Time) {
	notAfter := l.clocks[a.Worker].now(now) + startWindow.Milliseconds()
	l.state.StartSent(a.Worker, a.Task, a.Run, notAfter)
	if rn := l.renewers[a.Worker]; rn != nil {
		rn.startSent(now, l.reportNeed(a.Worker, now))
	}
	request := StartRequest{
		Recipient: l.recipient(a), Task: a.Task, Run: a.Run,
		Payload: a.Payload, NotAfter: notAfter, Checkpoint: a.Checkpoint, Ticket: a.Ticket,
	}
	call := l.starts.begin(l.ctx, a)
	l.unsentStarts.Add(1)
	sent := sync.OnceFunc(func() { l.unsentStarts.Add(-1) })
	go func() {
		ctx, cancel := withTimeout(call.ctx, startCallTimeout)
		defer cancel()
		defer sent()
		var copies atomic.Int32
		answer := l.repeatCall(ctx, callStart, a, func(ctx context.Context) batch.Answer {
			sent()
			if copies.Add(1) == 2 {
				l.post(func(l *leader, now time.Time) { l.noteLateStart(a, now) })
			}
			return l.owner.workers.Start(ctx, request)
		})
		if answer == batch.AnswerNone && copies.Load() == 1 {
			answer = batch.AnswerNoneToOne
		}
		l.post(func(l *leader, now time.Time) {
			l.starts.end(call)
			l.checkFenced(a, answer)
			l.state.StartAnswered(a.Worker, a.Task, a.Run, answer, now)
			if l.state.MayRepeatStart(a.Worker, a.Task, a.Run) {
				l.noteLateStart(a, now)
			}
		})
	}()
}

// stopTask sends a stop. Copies of the start of the attempt, or of the change of its CPU limit, would only follow it.
func (l *leader) stopTask(a batch.Action) {
	l.starts.cancel(keyOf(a))
	l.throttles.cancel(keyOf(a))
	l.callWorker(l.ctx, a, callStop, l.owner.workers.Stop, func(l *leader, answer batch.Answer, now time.Time) {
		l.state.StopAnswered(a.Worker, a.Incarnation, a.Task, a.Run, answer, now)
	})
}

func (l *leader) throttleTask(a batch.Action) {
	call := l.throttles.begin(l.ctx, a)
	l.callWorker(call.ctx, a, callThrottle, l.owner.workers.Throttle, func(l *leader, answer batch.Answer, _ time.Time) {
		if l.throttles.end(call) {
			l.state.ThrottleAnswered(a.Worker, a.Task, a.Run, answer)
		}
	})
}

// callWorker sends a request of an action, with copies, until ctx ends. The outcome becomes an event of the loop.
func (l *leader) callWorker(ctx context.Context, a batch.Action, kind callKind, send func(context.Context, TaskRequest) batch.Answer, answered func(*leader, batch.Answer, time.Time)) {
	request := TaskRequest{Recipient: l.recipient(a), Task: a.Task, Run: a.Run, Percent: a.Percent}
	go func() {
		ctx, cancel := withTimeout(ctx, orderCallTimeout)
		defer cancel()
		answer := l.repeatCall(ctx, kind, a, func(ctx context.Context) batch.Answer { return send(ctx, request) })
		l.post(func(l *leader, now time.Time) {
			l.checkFenced(a, answer)
			answered(l, answer, now)
		})
	}()
}

// recipient returns the recipient of an action's request.
func (l *leader) recipient(a batch.Action) Recipient {
	return Recipient{Worker: a.Worker, Address: a.Address, Incarnation: a.Incarnation, FencingToken: l.incarnations.tokenFor(a.Worker, a.Incarnation)}
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

// checkFenced ends the leadership if a worker rejects its fencing token because it has seen one of a higher epoch.
func (l *leader) checkFenced(a batch.Action, answer batch.Answer) {
	if answer == batch.AnswerFenced {
		l.log.Warn().Str("event", "leader.fenced").Str("worker", string(a.Worker)).Send()
		l.stepDown("a worker has seen a higher epoch")
	}
}
