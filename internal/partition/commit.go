package partition

import (
	"context"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
)

// commit makes a plan if one is due and hands the queued records to the journal, if no append is
// in flight and the commit interval and the write limiter allow one.
func (p *loop) commit(ctx context.Context) error {
	now := p.cfg.Clock.Now()
	if p.inFlight != nil {
		return nil
	}
	if wait := p.cfg.CommitInterval - now.Sub(p.lastAppend); wait > 0 {
		p.commitTimer.Reset(wait)
		return nil
	}
	p.planIfDue(now)
	if !p.ledger.HasPending() {
		p.replyAll()
		return nil
	}
	if wait := p.appendDelay(now); wait > 0 {
		p.commitTimer.Reset(wait)
		return nil
	}
	return p.startAppend(ctx, now)
}

// appendDelay returns how long the next append has to wait: for more records if all of them are
// deferrable, then for the write limiter.
func (p *loop) appendDelay(now time.Time) time.Duration {
	if !p.appendUrgent && !p.stopping {
		if p.deferredSince.IsZero() {
			p.deferredSince = now
		}
		if wait := maxAppendDeferral - now.Sub(p.deferredSince); wait > 0 {
			return wait
		}
	}
	if p.reservedWriteAt.IsZero() {
		p.reservedWriteAt = p.cfg.WriteLimiter.Reserve()
	}
	return p.reservedWriteAt.Sub(now)
}

// startAppend hands a batch of the records and actions since the last batch to the journal.
func (p *loop) startAppend(ctx context.Context, now time.Time) error {
	b, err := p.takeBatch()
	if err != nil {
		return err
	}
	if len(b.records) == 0 {
		// Repeated signals need no append: the records that they follow from are durable.
		return p.handleBatchAck(ctx, batchAck{batch: b, durable: true})
	}
	p.inFlight = b
	p.lastAppend = now
	p.reservedWriteAt = time.Time{}
	p.deferredSince = time.Time{}
	p.appendUrgent = false
	p.o.batches <- b
	return nil
}

// answerReads replies to the reads that have waited for readDurabilityTimeout.
func (p *loop) answerReads(now time.Time) {
	waiting := p.waiting
	if p.inFlight != nil {
		waiting = slices.Concat(p.inFlight.commands, waiting)
	}
	for _, c := range waiting {
		if c.readOnly && !c.replied && now.Sub(c.executedAt) >= readDurabilityTimeout {
			c.repliedEarly = true
			c.reply(c.err)
		}
	}
}

// replyAll replies to the executed commands when everything in the ledger is durable.
func (p *loop) replyAll() {
	for _, c := range p.waiting {
		c.reply(c.err)
	}
	p.waiting = nil
	p.sessions.acknowledge(p.acknowledge)
	p.acknowledge = nil
}

// takeBatch returns a batch of the records, actions and commands since the last batch.
func (p *loop) takeBatch() (*batch, error) {
	records, actions := p.ledger.Take()
	entry, err := journal.EncodeRecords(records)
	if err != nil {
		return nil, err
	}
	b := &batch{
		records:     records,
		entry:       entry,
		actions:     actions,
		commands:    p.waiting,
		acknowledge: p.acknowledge,
	}
	p.waiting = nil
	p.acknowledge = nil
	if p.o.journal.NeedsSnapshot() {
		// The state includes this batch, so the snapshot is written after the append.
		if b.snapshot, err = p.ledger.Marshal(); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// handleBatchAck sends the replies and actions of a durable batch. It returns an error if the
// batch is not durable or the ownership has ended.
func (p *loop) handleBatchAck(ctx context.Context, a batchAck) error {
	if !a.durable || a.batch == nil {
		return a.err
	}
	b := a.batch
	p.inFlight = nil
	p.ledger.MarkDurable()
	for _, c := range b.commands {
		c.reply(c.err)
	}
	p.sessions.acknowledge(b.acknowledge)
	if p.cfg.OnDurable != nil && len(b.records) > 0 {
		p.cfg.OnDurable(p.cfg.Partition, b.records)
	}
	if a.err != nil && isDeposed(a.err) {
		return a.err
	}
	if a.err != nil {
		// The journal entries since the last snapshot are kept; a later batch writes the snapshot.
		p.cfg.Log.Warn().Str("event", "snapshot.failed").Int("partition", int(p.cfg.Partition)).Err(a.err).Send()
	}
	p.offerTransfers(ctx, b.actions.Transfers)
	if len(b.actions.Starts) == 0 && len(b.actions.Signals) == 0 {
		return nil
	}
	return p.dispatch(ctx, b.actions)
}

// dispatch hands the actions to the sender. It waits while the sender's queue is full, because the
// message of a recorded action must be sent, and meanwhile takes results, so that the sender is
// not blocked.
func (p *loop) dispatch(ctx context.Context, actions ledger.Actions) error {
	for _, s := range actions.Signals {
		p.signalSentAt[s.Attempt] = p.cfg.Clock.Now()
	}
	for {
		select {
		case p.o.actions <- actions:
			return nil
		case r := <-p.o.results:
			p.handleStartResults(r)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
