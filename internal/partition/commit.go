package partition

import (
	"context"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
)

// commit plans and hands the decisions to the journal, if no append is in flight and the
// write budget allows one.
func (p *loop) commit(ctx context.Context) error {
	now := p.cfg.Clock.Now()
	if p.inFlight != nil {
		return nil
	}
	if wait := p.cfg.CommitInterval - now.Sub(p.lastAppend); wait > 0 {
		p.due.Reset(wait)
		return nil
	}
	p.planIfDue(now)
	if !p.ledger.HasPending() {
		p.replyAll()
		return nil
	}
	if wait := p.appendDelay(now); wait > 0 {
		p.due.Reset(wait)
		return nil
	}
	return p.startAppend(ctx, now)
}

// appendDelay returns how long the next append has to wait: for other records if it can be
// deferred, then for the write budget.
func (p *loop) appendDelay(now time.Time) time.Duration {
	if !p.urgent && !p.stopping {
		if p.deferredSince.IsZero() {
			p.deferredSince = now
		}
		if wait := deferDelay - now.Sub(p.deferredSince); wait > 0 {
			return wait
		}
	}
	if p.reserved.IsZero() {
		p.reserved = p.cfg.WriteLimiter.Reserve()
	}
	return p.reserved.Sub(now)
}

// startAppend hands the decisions since the last batch to the journal.
func (p *loop) startAppend(ctx context.Context, now time.Time) error {
	b, err := p.takeBatch()
	if err != nil {
		return err
	}
	if len(b.records) == 0 {
		// Repeated signals need no record: what they follow from is durable.
		return p.acked(ctx, batchAck{batch: b, durable: true})
	}
	p.inFlight = b
	p.lastAppend = now
	p.reserved = time.Time{}
	p.deferredSince = time.Time{}
	p.urgent = false
	p.o.batches <- b
	return nil
}

// answerReads answers the reads that have waited long enough for durability.
func (p *loop) answerReads(now time.Time) {
	waiting := p.waiting
	if p.inFlight != nil {
		waiting = slices.Concat(p.inFlight.commands, waiting)
	}
	for _, c := range waiting {
		if c.read && !c.replied && now.Sub(c.at) >= readPatience {
			c.unsettled = true
			c.reply(c.err)
		}
	}
}

// replyAll answers commands that changed nothing, once all that they saw is durable.
func (p *loop) replyAll() {
	for _, c := range p.waiting {
		c.reply(c.err)
	}
	p.waiting = nil
	p.links.acknowledge(p.acknowledge)
	p.acknowledge = nil
}

// takeBatch collects the decisions since the last batch.
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
		// The state includes this batch, and the snapshot is written after its append.
		if b.snapshot, err = p.ledger.Marshal(); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// acked releases the replies and actions of a durable batch.
func (p *loop) acked(ctx context.Context, a batchAck) error {
	if !a.durable || a.batch == nil {
		return a.err
	}
	b := a.batch
	p.inFlight = nil
	p.ledger.MarkDurable()
	for _, c := range b.commands {
		c.reply(c.err)
	}
	p.links.acknowledge(b.acknowledge)
	if p.cfg.OnDurable != nil && len(b.records) > 0 {
		p.cfg.OnDurable(p.cfg.Partition, b.records)
	}
	if a.err != nil && isDeposed(a.err) {
		return a.err
	}
	if a.err != nil {
		// The ring still covers what the snapshot lacks; the next batch tries again.
		p.cfg.Log.Warn().Str("event", "snapshot.failed").Int("partition", int(p.cfg.Partition)).Err(a.err).Send()
	}
	p.offerTransfers(ctx, b.actions.Transfers)
	if len(b.actions.Starts) == 0 && len(b.actions.Signals) == 0 {
		return nil
	}
	return p.dispatch(ctx, b.actions)
}

// dispatch hands the actions to the sender. It waits while the sender is busy, because a
// recorded action must go out.
func (p *loop) dispatch(ctx context.Context, actions ledger.Actions) error {
	for _, s := range actions.Signals {
		p.signals[s.Attempt] = p.cfg.Clock.Now()
	}
	for {
		select {
		case p.o.actions <- actions:
			return nil
		case r := <-p.o.results:
			p.startResults(r)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
