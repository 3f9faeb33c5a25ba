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
	// tickPeriod is how often the loop does its periodic work, see loop.tick.
	tickPeriod = 100 * time.Millisecond
	// planPeriod is how often the policy makes a plan when no event requests one.
	planPeriod = 500 * time.Millisecond
	// minPlanInterval is the least time between two plans.
	minPlanInterval = 25 * time.Millisecond
	// summaryPeriod is how often the summary of the partition is made.
	summaryPeriod = 500 * time.Millisecond
	// transferScanPeriod is how often the queue is searched for jobs to transfer while the
	// partition has usable workers.
	transferScanPeriod = 500 * time.Millisecond
	// expiryPeriod is how often jobs and claims past their retention are removed from the ledger.
	expiryPeriod = 10 * time.Second
	// maxDrainedEvents is how many waiting events the loop handles before it commits.
	maxDrainedEvents = 256
	// maxAppendDeferral is how long an append of deferrable records is delayed, so that it carries
	// more of them.
	maxAppendDeferral = time.Second
	// signalResendDelay is the time after which a signal is sent again if the attempt has not ended.
	signalResendDelay = 2 * time.Second
)

// loop is the state of the goroutine that alone uses the ledger and the policy of one partition.
type loop struct {
	o        *Owner
	cfg      *Config
	ledger   *ledger.Ledger
	sessions *workerSessions

	// waiting holds the commands executed since the last batch, whose replies wait for the next.
	waiting []*command
	// acknowledge holds the report sequences processed since the last batch.
	acknowledge []workerSequence
	// inFlight is the batch that the journal is writing, nil if none.
	inFlight   *batch
	lastAppend time.Time
	lastPlan   time.Time
	// planRequested says that an event calls for a plan before planPeriod has passed.
	planRequested bool
	// nextSummary is when the next summary for the other instances is made.
	nextSummary time.Time
	// nextTransferScan is when the queue is next searched for jobs to transfer.
	nextTransferScan time.Time
	// commitTimer wakes the loop when the next append is allowed.
	commitTimer *time.Timer
	// reservedWriteAt is when the write reserved from the WriteLimiter may be made, zero if none is
	// reserved.
	reservedWriteAt time.Time
	// appendUrgent says that the next append is not deferred, because a caller or a plan waits for
	// its records to become durable.
	appendUrgent bool
	// deferredSince is when the deferral of the next append began, zero if it is not deferred.
	deferredSince time.Time
	// nextExpiry is when jobs and claims past their retention are next removed.
	nextExpiry time.Time
	// workersKnown says that the inventory has been read, so that a worker that is not listed is
	// known to be removed.
	workersKnown bool
	// signalSentAt holds the time at which a signal of an attempt was last sent.
	signalSentAt map[model.AttemptID]time.Time
	// unplacedSince holds the time at which a queued job was first seen by a transfer scan.
	unplacedSince map[model.JobID]time.Time
	transfers     transfers
	stopping      bool
}

// newLoop returns the loop of an owner that has just taken the partition over.
func newLoop(o *Owner, l *ledger.Ledger) *loop {
	return &loop{
		o:             o,
		cfg:           &o.cfg,
		ledger:        l,
		sessions:      newWorkerSessions(o),
		signalSentAt:  map[model.AttemptID]time.Time{},
		unplacedSince: map[model.JobID]time.Time{},
		transfers:     newTransfers(),
	}
}

// run handles events until the ownership ends. It returns nil after a release.
func (p *loop) run(ctx context.Context) error {
	now := p.cfg.Clock.Now()
	p.nextExpiry = now.Add(expiryPeriod)
	p.ledger.TakeOwnership(now, p.cfg.Self, p.o.epoch)
	p.offerTransfers(ctx, p.ledger.PendingTransfers())
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	p.commitTimer = time.NewTimer(0)
	defer p.commitTimer.Stop()
	for {
		if err := p.handleNextEvent(ctx, ticker.C); err != nil {
			return err
		}
		if err := p.drain(ctx); err != nil {
			return err
		}
		if p.stopping && p.allDurable() {
			return nil
		}
		if err := p.commit(ctx); err != nil {
			return err
		}
	}
}

// allDurable reports whether every record is durable and every executed command is replied to.
func (p *loop) allDurable() bool {
	return p.inFlight == nil && len(p.waiting) == 0 && !p.ledger.HasPending()
}

// handleNextEvent waits for one event and handles it.
func (p *loop) handleNextEvent(ctx context.Context, tick <-chan time.Time) error {
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
	case <-p.commitTimer.C:
	case c := <-p.o.commands:
		p.handleCommand(c)
	case r := <-p.o.replies:
		return p.handleLeaseReply(r)
	case r := <-p.o.results:
		p.handleStartResults(r)
	case w := <-p.o.workers:
		p.setWorkers(ctx, w)
	case r := <-p.o.offers:
		p.handleOfferResult(r)
	case a := <-p.o.acks:
		return p.handleBatchAck(ctx, a)
	}
	return nil
}

// drain handles events that already wait, so that one append carries the records of them all.
func (p *loop) drain(ctx context.Context) error {
	for range maxDrainedEvents {
		select {
		case c := <-p.o.commands:
			p.handleCommand(c)
		case r := <-p.o.replies:
			if err := p.handleLeaseReply(r); err != nil {
				return err
			}
		case r := <-p.o.results:
			p.handleStartResults(r)
		case a := <-p.o.acks:
			if err := p.handleBatchAck(ctx, a); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// handleCommand executes a command and keeps it until its reply may be sent. While the owner
// stops, it refuses the command.
func (p *loop) handleCommand(c *command) {
	if p.stopping {
		if c.phase.CompareAndSwap(phasePending, phaseWithdrawn) {
			c.done <- errNotOwner(p.cfg.Partition)
		}
		return
	}
	if c.execute(p.ledger, p.cfg.Clock.Now()) {
		p.waiting = append(p.waiting, c)
		p.appendUrgent = p.appendUrgent || !c.deferrable
		if !c.readOnly && !c.deferrable {
			p.requestPlan()
		}
	}
}

// tick does the periodic work.
func (p *loop) tick(ctx context.Context) {
	now := p.cfg.Clock.Now()
	if now.After(p.nextExpiry) {
		p.ledger.Expire(now)
		p.nextExpiry = now.Add(expiryPeriod)
	}
	p.endLapsedAttempts(now)
	p.resendSignals(now)
	p.answerReads(now)
	p.offerTransfers(ctx, nil)
	if now.After(p.nextSummary) {
		p.nextSummary = now.Add(summaryPeriod)
		p.o.summary.store(p.summarize(now))
	}
}

// settleInFlight waits for the outcome of the batch in flight when the ownership ends, at most one
// worker call's timeout, and replies to its commands. The end may have been learned from a worker before
// the journal; without the outcome, the callers could only be told that their changes may take effect.
func (p *loop) settleInFlight(ctx context.Context) {
	if p.inFlight == nil {
		return
	}
	timer := time.NewTimer(p.cfg.Timing.WorkerCallTimeout)
	defer timer.Stop()
	for {
		select {
		case a := <-p.o.acks:
			if a.batch == nil {
				continue
			}
			p.settle(a)
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// settle replies to the commands of the batch in flight with its outcome.
func (p *loop) settle(a batchAck) {
	for _, c := range a.batch.commands {
		if a.durable {
			c.reply(c.err)
		} else {
			c.reply(p.o.ownershipEndError(a.err))
		}
	}
	p.inFlight = nil
}

// failCommands replies to the commands that wait when the ownership ends with err.
func (p *loop) failCommands(err error) {
	if p.inFlight != nil {
		for _, c := range p.inFlight.commands {
			c.reply(p.o.ownershipEndError(err))
		}
	}
	for _, c := range p.waiting {
		// The records of these commands were never sent to the store.
		c.reply(errNotOwner(p.cfg.Partition))
	}
}

// handleStartResults records the refused starts as not executed and the accepted ones as running,
// and tracks those without an answer.
func (p *loop) handleStartResults(r startResults) {
	now := p.cfg.Clock.Now()
	for _, refused := range r.refused {
		p.logError("refused", p.ledger.StartRefused(now, refused.attempt, refused.reason))
		p.requestPlan()
	}
	for _, attempt := range r.accepted {
		running := platform.AttemptReport{Attempt: attempt, State: model.AttemptRunning}
		p.logError("report", p.ledger.HandleReport(now, r.worker, running))
	}
	for _, attempt := range r.unknown {
		p.sessions.trackUnansweredStart(r.worker, attempt)
	}
}

// logError logs a change that the ledger refused.
func (p *loop) logError(decision string, err error) {
	if err == nil {
		return
	}
	p.cfg.Log.Warn().Str("event", "ledger.refused").Str("decision", decision).
		Int("partition", int(p.cfg.Partition)).Str("verdict", verdict.Of(err).String()).Err(err).Send()
}
