package partition

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// tickPeriod is how often the loop plans when nothing else wakes it.
	tickPeriod = 100 * time.Millisecond
	// planPeriod is how often the policy looks at a partition in which nothing happens.
	planPeriod = 500 * time.Millisecond
	// planSpacing is the least time between two decisions of the policy.
	planSpacing = 25 * time.Millisecond
	// summaryPeriod is how often the summary of the partition is made.
	summaryPeriod = 500 * time.Millisecond
	// strandedPeriod is how often the jobs without room are looked at.
	strandedPeriod = 500 * time.Millisecond
	// forgetPeriod is how often ended jobs and old claims leave the ledger.
	forgetPeriod = 10 * time.Second
	// drainBound is how many waiting events the loop takes before it commits.
	drainBound = 256
	// deferDelay is how long records that nobody waits for are deferred, so that one
	// append carries more of them.
	deferDelay = time.Second
	// resendAfter is how long an attempt may stay in eviction before its signal is sent again.
	resendAfter = 2 * time.Second
)

// loop is the state of the goroutine that owns the ledger and the policy.
type loop struct {
	o      *Owner
	cfg    *Config
	ledger *ledger.Ledger
	links  *links

	// waiting holds the commands executed since the last batch.
	waiting []*command
	// acknowledge holds the report sequences processed since the last batch.
	acknowledge []workerSequence
	// inFlight is the batch that the journal is writing, nil if none.
	inFlight   *batch
	lastAppend time.Time
	lastPlan   time.Time
	// planWanted says that something has happened that the policy should act on at once.
	planWanted bool
	// nextSummary is when the summary for the other instances is due.
	nextSummary time.Time
	// nextStranded is when the jobs without room are looked at again.
	nextStranded time.Time
	// due wakes the loop when the next append is allowed.
	due *time.Timer
	// reserved is when the loop may spend the write that it holds, zero if it holds none.
	reserved time.Time
	// urgent says that somebody waits for the records decided since the last batch.
	urgent bool
	// deferredSince is since when only records wait that can be deferred.
	deferredSince time.Time
	nextForget    time.Time
	// workersKnown says that the inventory has been read, so that an absent worker is gone.
	workersKnown bool
	// signals holds when the signal of an attempt was last sent.
	signals map[model.AttemptID]time.Time
	// stranded holds since when a queued job has found no room.
	stranded  map[model.JobID]time.Time
	transfers transfers
	stopping  bool
}

// newLoop returns the loop of an owner that has just taken over.
func newLoop(o *Owner, l *ledger.Ledger) *loop {
	return &loop{
		o:         o,
		cfg:       &o.cfg,
		ledger:    l,
		links:     newLinks(o),
		signals:   map[model.AttemptID]time.Time{},
		stranded:  map[model.JobID]time.Time{},
		transfers: newTransfers(),
	}
}

// run executes events until the ownership ends. It returns nil after a release.
func (p *loop) run(ctx context.Context) error {
	now := p.cfg.Clock.Now()
	p.nextForget = now.Add(forgetPeriod)
	p.ledger.TakeOwnership(now, p.cfg.Self, p.o.epoch)
	p.offerTransfers(ctx, p.ledger.PendingTransfers())
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	p.due = time.NewTimer(0)
	defer p.due.Stop()
	for {
		if err := p.wait(ctx, ticker.C); err != nil {
			return err
		}
		if err := p.drain(ctx); err != nil {
			return err
		}
		if p.stopping && p.settled() {
			return nil
		}
		if err := p.commit(ctx); err != nil {
			return err
		}
	}
}

// settled reports whether every decision is durable.
func (p *loop) settled() bool {
	return p.inFlight == nil && len(p.waiting) == 0 && !p.ledger.HasPending()
}

// wait blocks until one event has been handled.
func (p *loop) wait(ctx context.Context, tick <-chan time.Time) error {
	release := p.o.release
	if p.stopping {
		release = nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-release:
		p.stopping = true
	case <-tick:
		p.tick(ctx)
	case <-p.due.C:
	case c := <-p.o.commands:
		p.command(c)
	case r := <-p.o.replies:
		return p.leaseReply(r)
	case r := <-p.o.results:
		p.startResults(r)
	case w := <-p.o.workers:
		p.setWorkers(ctx, w)
	case r := <-p.o.offers:
		p.offered(r)
	case a := <-p.o.acks:
		return p.acked(ctx, a)
	}
	return nil
}

// drain handles the events that already wait, so that one append carries them all.
func (p *loop) drain(ctx context.Context) error {
	for range drainBound {
		select {
		case c := <-p.o.commands:
			p.command(c)
		case r := <-p.o.replies:
			if err := p.leaseReply(r); err != nil {
				return err
			}
		case r := <-p.o.results:
			p.startResults(r)
		case a := <-p.o.acks:
			if err := p.acked(ctx, a); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// command executes a command and keeps it until its reply may go out.
func (p *loop) command(c *command) {
	if p.stopping {
		if c.phase.CompareAndSwap(phasePending, phaseAbandoned) {
			c.done <- errNotOwner(p.cfg.Partition)
		}
		return
	}
	if c.execute(p.ledger, p.cfg.Clock.Now()) {
		p.waiting = append(p.waiting, c)
		p.urgent = p.urgent || !c.deferrable
		if !c.read && !c.deferrable {
			p.planSoon()
		}
	}
}

// tick does the periodic work.
func (p *loop) tick(ctx context.Context) {
	now := p.cfg.Clock.Now()
	if now.After(p.nextForget) {
		p.ledger.Expire(now)
		p.nextForget = now.Add(forgetPeriod)
	}
	p.loseUnreachable(now)
	p.resendSignals(now)
	p.answerReads(now)
	p.offerTransfers(ctx, nil)
	if now.After(p.nextSummary) {
		p.nextSummary = now.Add(summaryPeriod)
		p.o.summary.store(p.summarize(now))
	}
}

// fail answers every command that will not become durable.
func (p *loop) fail(err error) {
	if p.inFlight != nil {
		for _, c := range p.inFlight.commands {
			c.reply(p.o.refusal(err))
		}
	}
	for _, c := range p.waiting {
		// The records of these commands were never sent to the store.
		c.reply(errNotOwner(p.cfg.Partition))
	}
}

// startResults records the starts that the worker or the configuration refused.
func (p *loop) startResults(r startResults) {
	now := p.cfg.Clock.Now()
	for _, refused := range r.refused {
		p.logError("refused", p.ledger.StartRefused(now, refused.attempt, refused.reason))
		p.planSoon()
	}
	for _, attempt := range r.accepted {
		running := platform.AttemptReport{Attempt: attempt, State: model.AttemptRunning}
		p.logError("report", p.ledger.HandleReport(now, r.worker, running))
	}
	for _, attempt := range r.unknown {
		p.links.expect(r.worker, attempt)
	}
}

// logError logs a decision that the ledger refused.
func (p *loop) logError(what string, err error) {
	if err == nil {
		return
	}
	p.cfg.Log.Warn().Str("event", "ledger.refused").Str("decision", what).
		Int("partition", int(p.cfg.Partition)).Str("verdict", verdict.Of(err).String()).Err(err).Send()
}
