package owner

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

const (
	// holdWait is how long a worker may wait for an end before it answers.
	holdWait = 2 * time.Second
	// holdTimeout bounds an answer beyond that.
	holdTimeout = 800 * time.Millisecond
	// holdRetry is the pause after a failed hold.
	holdRetry = 250 * time.Millisecond
	// ackWait is how long a holder waits for its ends to become durable before it renews
	// the lease without acknowledging them.
	ackWait = 400 * time.Millisecond
)

// holder renews the lease of one worker and brings its lists.
type holder struct {
	leader  *leader
	info    batch.WorkerInfo
	cancel  context.CancelFunc
	ack     int64 // number up to which ends are acknowledged
	born    int64
	clock   workerClock
	lease   time.Time // when the lease has surely ended
	failing bool
}

// observeHolders starts a holder for each worker that must be held, and ends the others.
func (l *leader) observeHolders() {
	wanted := map[batch.WorkerID]bool{}
	for _, info := range l.state.Workers() {
		wanted[info.ID] = true
		h := l.holders[info.ID]
		if h != nil && h.info.Address == info.Address {
			continue
		}
		if info.Address == "" {
			continue
		}
		if h != nil {
			h.cancel()
		}
		l.hold(info)
	}
	for id, h := range l.holders {
		if !wanted[id] {
			h.cancel()
			delete(l.holders, id)
		}
	}
}

func (l *leader) hold(info batch.WorkerInfo) {
	ctx, cancel := context.WithCancel(l.ctx)
	h := &holder{leader: l, info: info, cancel: cancel}
	l.holders[info.ID] = h
	l.calls.Go(func() { h.run(ctx) })
}

func (h *holder) run(ctx context.Context) {
	for ctx.Err() == nil {
		report, answer := h.call(ctx)
		switch answer {
		case batch.AnswerOK:
			h.succeeded(ctx, report)
		case batch.AnswerFenced:
			h.leader.log.Warn().Str("event", "leader.fenced").Str("worker", string(h.info.ID)).Send()
			h.leader.end("a worker has seen a higher epoch")
			return
		default:
			h.failed(ctx)
		}
	}
}

// call renews the lease once. After a failure, and in the first call, nothing is
// acknowledged: the worker may have another life.
func (h *holder) call(ctx context.Context) (batch.Report, batch.Answer) {
	order := HoldOrder{Worker: h.info.ID, Address: h.info.Address, Epoch: h.leader.epoch, LastSeen: h.ack}
	now := time.Now()
	if h.born != 0 {
		order.Until = h.clock.now(now) + h.leader.owner.opts.WorkerLease.Milliseconds()
	}
	if h.born != 0 && !h.failing {
		order.Wait = holdWait
	}
	ctx, cancel := context.WithTimeout(ctx, order.Wait+holdTimeout)
	defer cancel()
	report, answer := h.leader.owner.workers.Hold(ctx, order)
	if order.Until != 0 {
		h.lease = time.Now().Add(h.leader.leaseSpan())
	}
	return report, answer
}

func (h *holder) succeeded(ctx context.Context, r batch.Report) {
	now := time.Now()
	if r.Born != h.born {
		h.ack = 0
	}
	h.failing, h.born = false, r.Born
	h.clock = workerClock{clock: r.Clock, at: now}
	acked := make(chan int64, 1)
	lease, clock := h.lease, h.clock
	h.leader.post(func(l *leader, now time.Time) {
		if l.holders[h.info.ID] == h {
			l.clocks[h.info.ID] = clock
			l.reported(h.info.ID, r, lease, acked, now)
		}
	})
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	select {
	case h.ack = <-acked:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (h *holder) failed(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	h.ack = 0
	h.failing = true
	lease := h.lease
	h.leader.post(func(l *leader, _ time.Time) {
		if l.holders[h.info.ID] == h {
			l.state.Renewed(h.info.ID, lease)
			l.state.Silent(h.info.ID)
		}
	})
	pause(ctx, holdRetry)
}

// reported takes in a list; the ends are acknowledged once what follows from them is durable.
func (l *leader) reported(id batch.WorkerID, r batch.Report, lease time.Time, acked chan<- int64, now time.Time) {
	l.state.Renewed(id, lease)
	last := l.state.Apply(id, r, now)
	l.commits.whenDurable(last, acked, l.state.Dirty() > 0)
}
