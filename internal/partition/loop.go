package partition

import (
	"context"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// tickPeriod is how often the loop plans when nothing else wakes it.
	tickPeriod = 100 * time.Millisecond
	// forgetPeriod is how often ended jobs and old claims leave the ledger.
	forgetPeriod = 10 * time.Second
	// drainBound is how many waiting events the loop takes before it commits.
	drainBound = 256
	// unhurriedDelay is how long records that nobody waits for are kept back, so that one
	// append carries more of them.
	unhurriedDelay = 250 * time.Millisecond
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
	// due wakes the loop when the next append is allowed.
	due *time.Timer
	// reserved is when the loop may spend the write that it holds, zero if it holds none.
	reserved time.Time
	// urgent says that somebody waits for the records decided since the last batch.
	urgent bool
	// unhurried is since when only records wait that nobody is in a hurry for.
	unhurried  time.Time
	nextForget time.Time
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
	p.ledger.Own(now, p.cfg.Self, p.o.epoch)
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
		p.urgent = p.urgent || !c.unhurried
	}
}

// tick does the periodic work.
func (p *loop) tick(ctx context.Context) {
	now := p.cfg.Clock.Now()
	if now.After(p.nextForget) {
		p.ledger.Forget(now)
		p.nextForget = now.Add(forgetPeriod)
	}
	p.loseUnreachable(now)
	p.resendSignals(now)
	p.answerReads(now)
	p.offerTransfers(ctx, nil)
	p.o.summary.store(p.summarize(now))
}

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
	if !p.stopping {
		p.plan(now)
	}
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

// appendDelay returns how long the next append has to wait: for company if nobody is in a
// hurry, then for the write budget.
func (p *loop) appendDelay(now time.Time) time.Duration {
	if !p.urgent && !p.stopping {
		if p.unhurried.IsZero() {
			p.unhurried = now
		}
		if wait := unhurriedDelay - now.Sub(p.unhurried); wait > 0 {
			return wait
		}
	}
	if p.reserved.IsZero() {
		p.reserved = p.cfg.Budget.Reserve()
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
	p.unhurried = time.Time{}
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
	p.ledger.Written()
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
		p.logError("refused", p.ledger.Refused(now, refused.attempt, refused.reason))
	}
	for _, attempt := range r.accepted {
		running := platform.AttemptReport{Attempt: attempt, State: model.AttemptRunning}
		p.logError("report", p.ledger.Report(now, r.worker, running))
	}
	for _, attempt := range r.unknown {
		p.links.expect(r.worker, attempt)
	}
}

// plan asks the policy and turns its plan into ledger commands.
func (p *loop) plan(now time.Time) {
	doc, ok := p.cfg.Documents.Current()
	if !ok {
		return
	}
	snapshot := p.snapshot(now, doc)
	plan := p.cfg.Policy.Plan(snapshot)
	if len(plan.Placements)+len(plan.Reliefs)+len(plan.Parked) > 0 {
		p.urgent = true
	}
	for _, placement := range plan.Placements {
		p.place(now, placement)
	}
	for _, relief := range plan.Reliefs {
		p.relieve(now, relief)
	}
	for _, parking := range plan.Parked {
		p.logError("park", p.ledger.Park(now, parking.Job, parking.Reason))
	}
	p.transferStranded(now, snapshot)
}

// snapshot is the state that the policy decides on.
func (p *loop) snapshot(now time.Time, doc *config.Document) *schedule.Snapshot {
	s := &schedule.Snapshot{
		Now:      now,
		Document: doc,
		Queue:    p.ledger.Queue(),
		TeamUse:  p.teamUse(),
	}
	for _, link := range p.links.ordered() {
		view := schedule.WorkerView{
			Worker:    link.worker,
			Committed: p.ledger.Committed(link.worker.ID),
			Attempts:  p.ledger.Attempts(link.worker.ID),
			Reachable: link.reachable(now, p.cfg.Timing),
		}
		for i := range view.Attempts {
			view.Attempts[i].Throttle = link.throttle(view.Attempts[i].ID)
		}
		if p.cfg.Services != nil {
			view.Services = p.cfg.Services(link.worker.ID)
		}
		s.Workers = append(s.Workers, view)
	}
	return s
}

// teamUse adds what the teams hold in this partition to what they hold in others.
func (p *loop) teamUse() map[model.Team]model.Resources {
	use := p.ledger.TeamUse()
	if p.cfg.RemoteUse == nil {
		return use
	}
	for team, held := range p.cfg.RemoteUse() {
		use[team] = use[team].Add(held)
	}
	return use
}

// place records the start of an attempt.
func (p *loop) place(now time.Time, placement schedule.Placement) {
	link, ok := p.links.get(placement.Worker)
	if !ok {
		return
	}
	err := p.ledger.Place(now, ledger.Placement{
		Job:         placement.Job,
		Worker:      link.worker,
		Reservation: placement.Reservation,
		NotAfter:    now.Add(p.cfg.Timing.StartWindow),
		Reason:      placement.Reason,
	})
	p.logError("place", err)
}

// relieve throttles an attempt or records its eviction.
func (p *loop) relieve(now time.Time, r schedule.Relief) {
	if r.Kind != platform.SignalThrottle {
		p.logError("evict", p.ledger.Evict(now, r.Attempt, r.Kind, r.Reason))
		return
	}
	link, ok := p.links.get(r.Worker)
	if !ok {
		return
	}
	link.setThrottle(r.Attempt, r.Share)
	signal := ledger.Signal{Worker: r.Worker, Attempt: r.Attempt, Kind: r.Kind, Share: r.Share}
	// A lost throttle is harmless, so a full channel drops it.
	select {
	case p.o.actions <- ledger.Actions{Signals: []ledger.Signal{signal}}:
	default:
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
