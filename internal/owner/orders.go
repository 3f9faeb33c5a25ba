package owner

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// send carries out an action in the background; its answer becomes an event.
func (l *leader) send(a batch.Action, now time.Time) {
	switch a.Kind {
	case batch.ActionStart:
		l.sendStart(a, now)
	case batch.ActionStop:
		l.call(a, l.owner.workers.Stop)
	case batch.ActionThrottle:
		l.call(a, l.owner.workers.Throttle)
	case batch.ActionAdvise:
		l.advise(a, now)
	}
}

func (l *leader) sendStart(a batch.Action, now time.Time) {
	notAfter := l.clocks[a.Worker].now(now) + startWindow.Milliseconds()
	l.state.StartSent(a.Worker, a.Task, a.Run, notAfter)
	order := StartRequest{
		Worker: a.Worker, Address: a.Address, Epoch: l.epoch, Task: a.Task, Run: a.Run,
		Payload: a.Payload, NotAfter: notAfter, Checkpoint: a.Checkpoint, Ticket: a.Ticket,
	}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		reply := l.owner.workers.Start(ctx, order)
		l.post(func(l *leader, now time.Time) {
			l.answered(a, reply, now)
			l.state.StartAnswered(a.Worker, a.Task, a.Run, reply.Answer, reply.Clock, now)
		})
	}()
}

func (l *leader) call(a batch.Action, do func(context.Context, TaskRequest) Reply) {
	order := TaskRequest{Worker: a.Worker, Address: a.Address, Epoch: l.epoch, Task: a.Task, Run: a.Run, Percent: a.Percent}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		reply := do(ctx, order)
		l.post(func(l *leader, now time.Time) {
			l.answered(a, reply, now)
			switch a.Kind {
			case batch.ActionStop:
				l.state.StopAnswered(a.Worker, a.Task, a.Run, reply.Answer, reply.Clock)
			case batch.ActionThrottle:
				l.state.ThrottleAnswered(a.Worker, a.Task, a.Run, reply.Answer)
			}
		})
	}()
}

// adviceTimeout bounds the wait for the adviser, which takes questions in turn.
const adviceTimeout = 4 * time.Second

// advise asks the adviser about a step.
func (l *leader) advise(a batch.Action, asked time.Time) {
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, adviceTimeout)
		defer cancel()
		var grants []batch.WorkerTicket
		var valid time.Duration
		err := errNoAdviser
		if l.owner.opts.Adviser != nil {
			grants, valid, err = l.owner.opts.Adviser.Advise(ctx, a.Task, a.Workers)
		}
		if err != nil {
			l.log.Warn().Str("event", "advice.failed").Str("job", a.Task.Job).Int("step", a.Task.Step).Err(err).Send()
		}
		l.post(func(l *leader, now time.Time) { l.state.AdviceAnswered(a, grants, valid, err == nil, asked, now) })
	}()
}

var errNoAdviser = errors.New("the settings name no adviser")

// answered notes what every answer tells.
func (l *leader) answered(a batch.Action, r Reply, now time.Time) {
	if r.Answer == batch.AnswerFenced {
		l.log.Warn().Str("event", "leader.fenced").Str("worker", string(a.Worker)).Send()
		l.end("a worker has seen a higher epoch")
	}
}
