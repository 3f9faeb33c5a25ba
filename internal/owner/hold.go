package owner

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	// idleWait is how long an idle worker may wait for an end before it answers, busyWait the
	// same for one with tasks that end by themselves, and watchedWait where fillers share a
	// worker with tasks that have a latency target.
	idleWait    = 2 * time.Second
	busyWait    = time.Second
	watchedWait = 300 * time.Millisecond
	// holdTimeout bounds an answer beyond that.
	holdTimeout = 500 * time.Millisecond
	// holdRetry is the pause after a failed hold.
	holdRetry = 250 * time.Millisecond
	// ackWait is how long a holder waits for its ends to become durable before it renews
	// the lease without acknowledging them.
	ackWait = 400 * time.Millisecond
)

// instruction is what the loop tells a holder for its next call.
type instruction struct {
	ack  int64 // number up to which ends are acknowledged
	wait time.Duration
	// renew allows to renew the lease: the store does not say that it has ended.
	renew bool
	// contact is the contact of the holder that the instruction belongs to.
	contact int
}

// holder renews the lease of one worker and brings its lists.
type holder struct {
	leader *leader
	info   batch.WorkerInfo
	cancel context.CancelFunc
	next   instruction
	// inbox holds the newest instruction that the holder has not taken yet.
	inbox chan instruction
	// contact counts the times that contact was lost. An instruction from before does not
	// hold any more.
	contact int
	born    int64
	clock   workerClock
	lease   time.Time // when the lease has surely ended
	// renewed says that the last call renewed the lease.
	renewed bool
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
	h := &holder{leader: l, info: info, cancel: cancel, inbox: make(chan instruction, 1)}
	l.holders[info.ID] = h
	go h.run(ctx)
}

// firstContacts bounds the first calls to workers that are under way at once. After a take-over
// of thousands, all at once would keep the processor from everything else for seconds.
const firstContacts = 64

func (h *holder) run(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		report, answer := h.callInTurn(ctx, first)
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

// callInTurn makes a call; the first one waits for its turn.
func (h *holder) callInTurn(ctx context.Context, first bool) (batch.Report, batch.Answer) {
	if first {
		select {
		case h.leader.contacts <- struct{}{}:
			defer func() { <-h.leader.contacts }()
		case <-ctx.Done():
			return batch.Report{}, batch.AnswerNone
		}
	}
	return h.call(ctx)
}

// call renews the lease once. After a failure, and in the first call, nothing is
// acknowledged: the worker may have another life.
func (h *holder) call(ctx context.Context) (batch.Report, batch.Answer) {
	select {
	case i := <-h.inbox:
		h.take(i)
	default:
	}
	order := RenewRequest{Worker: h.info.ID, Address: h.info.Address, Epoch: h.leader.epoch, AckSeq: h.next.ack}
	now := time.Now()
	// A renewal whose answer is lost may still arrive, so a worker out of contact gets none.
	if h.next.renew {
		order.LeaseEnd = h.clock.now(now) + h.leader.owner.opts.MaxWorkerLease.Milliseconds()
		order.MaxWait = h.next.wait
	}
	ctx, cancel := context.WithTimeout(ctx, order.MaxWait+holdTimeout)
	defer cancel()
	report, answer := h.leader.owner.workers.RenewLease(ctx, order)
	h.renewed = order.LeaseEnd != 0
	if h.renewed {
		h.lease = now.Add(h.leader.leaseSpan())
	}
	return report, answer
}

func (h *holder) succeeded(ctx context.Context, r batch.Report) {
	now := time.Now()
	if r.Incarnation != h.born {
		h.next = instruction{}
		h.contact++
	}
	h.born = r.Incarnation
	h.clock = workerClock{clock: r.Clock, at: now}
	lease, renewed, clock, contact := h.lease, h.renewed, h.clock, h.contact
	h.leader.post(func(l *leader, now time.Time) {
		if l.holders[h.info.ID] == h {
			l.clocks[h.info.ID] = clock
			l.state.LeaseRenewed(h.info.ID, lease, renewed)
			l.reported(h, r, contact, now)
		}
	})
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	select {
	case i := <-h.inbox:
		h.take(i)
	case <-timer.C:
	case <-ctx.Done():
	}
}

// take follows an instruction, unless contact was lost since.
func (h *holder) take(i instruction) {
	if i.contact == h.contact {
		h.next = i
	}
}

// instruct replaces the instruction that the holder has not taken yet.
func (h *holder) instruct(i instruction) {
	select {
	case <-h.inbox:
	default:
	}
	h.inbox <- i
}

func (h *holder) failed(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	h.next = instruction{}
	h.contact++
	lease := h.lease
	h.leader.post(func(l *leader, _ time.Time) {
		if l.holders[h.info.ID] == h {
			l.state.LeaseRenewed(h.info.ID, lease, false)
			l.state.MarkUnreachable(h.info.ID)
			l.lost(h.info.ID, lease)
		}
	})
	pause.For(ctx, holdRetry)
}

// reported takes in a list; the ends are acknowledged once what follows from them is durable.
func (l *leader) reported(h *holder, r batch.Report, contact int, now time.Time) {
	id := h.info.ID
	l.known.set(id, 0)
	i := instruction{ack: l.state.ApplyReport(id, r, now), wait: l.waitFor(id), renew: true, contact: contact}
	l.whenDurable(i, h)
}

// waitFor returns how long a worker may wait for an end.
func (l *leader) waitFor(id batch.WorkerID) time.Duration {
	switch {
	case !l.state.HasLease(id):
		return 0 // tasks start there only when it has confirmed its lease
	case l.state.HasColocatedTasks(id):
		return watchedWait
	case l.state.HasFiniteTasks(id):
		return busyWait
	default:
		return idleWait
	}
}

// lost records when the lease of a worker out of contact has ended.
func (l *leader) lost(id batch.WorkerID, lease time.Time) {
	if l.known.has(id) && !lease.IsZero() {
		l.known.set(id, lease.UnixMilli())
	}
}
