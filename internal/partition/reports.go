package partition

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
)

// setWorkers follows the inventory: it opens links to new workers and marks those that
// the platform no longer lists.
func (p *loop) setWorkers(ctx context.Context, workers []model.Worker) {
	now := p.cfg.Clock.Now()
	listed := map[model.WorkerID]bool{}
	for _, w := range workers {
		listed[w.ID] = true
		p.updateWorker(ctx, w, now)
	}
	p.workersKnown = true
	for _, k := range p.links.ordered() {
		if listed[k.worker.ID] || k.gone {
			continue
		}
		k.gone = true
	}
	p.adoptOrphans(ctx, now)
}

// updateWorker opens the link of a new worker or refreshes what is known of it.
func (p *loop) updateWorker(ctx context.Context, w model.Worker, now time.Time) {
	k, ok := p.links.get(w.ID)
	if ok && k.worker.Addr == w.Addr {
		k.worker = w
		k.gone = false
		return
	}
	if ok {
		p.links.close(w.ID)
	}
	p.links.open(ctx, w, now)
}

// adoptOrphans gives a link to workers that the inventory does not list although they may
// still execute attempts, so that their lease can be waited out.
func (p *loop) adoptOrphans(ctx context.Context, now time.Time) {
	for _, id := range p.ledger.WorkersWithAttempts() {
		if _, ok := p.links.get(id); ok {
			continue
		}
		p.links.open(ctx, model.Worker{ID: id}, now)
		k, _ := p.links.get(id)
		k.gone = true
		k.paused.Store(true)
	}
}

// loseUnreachable ends the attempts of workers whose lease has surely lapsed. Renewals to
// a silent worker are paused first, because each one sent could still extend its lease.
func (p *loop) loseUnreachable(now time.Time) {
	if !p.workersKnown {
		return
	}
	for _, k := range p.links.ordered() {
		if !k.silent(now, p.cfg.Timing) {
			continue
		}
		k.paused.Store(k.gone || len(p.ledger.Attempts(k.worker.ID)) > 0)
		if k.lapsed(now, p.cfg.Timing) && now.After(k.nextLoss) {
			p.lose(now, k)
		}
	}
}

// lose ends the attempts of one silent worker and probes it again, or drops its link if the
// platform has withdrawn it.
func (p *loop) lose(now time.Time, k *link) {
	k.nextLoss = now.Add(relistPeriod)
	if k.gone {
		p.endAll(now, k, p.ledger.WorkerRemoved)
		p.links.close(k.worker.ID)
		return
	}
	// The ledger refuses while a former owner may still renew the worker's lease.
	p.endAll(now, k, p.ledger.WorkerLeaseExpired)
	k.paused.Store(false)
	k.relist.Store(true)
}

// endAll ends the attempts of the worker and tells the policy of those that ended.
func (p *loop) endAll(now time.Time, k *link, end func(time.Time, model.WorkerID) error) {
	before := p.ledger.Attempts(k.worker.ID)
	if len(before) == 0 {
		return
	}
	p.logError("worker lost", end(now, k.worker.ID))
	p.cleanUp(now, k, before, nil)
}

// cleanUp follows up on the attempts that the ledger has just ended. Those without a report
// of their own count as lost.
func (p *loop) cleanUp(now time.Time, k *link, before []schedule.AttemptView, reports map[model.AttemptID]platform.AttemptReport) {
	for _, a := range before {
		if _, still := p.attempt(k.worker.ID, a.ID); still {
			continue
		}
		r := reports[a.ID]
		if !r.State.Ended() {
			r.State = model.AttemptLost
		}
		p.forgetAttempt(k, a.ID)
		p.learnEnd(now, k.worker.ID, a, r.State, r.Error)
	}
}

// leaseReply processes what a worker reported. It returns an error if the worker knows a
// newer owner.
func (p *loop) leaseReply(r leaseReply) error {
	k := r.link
	if r.err != nil {
		if isStale(r.err) {
			return &journal.DeposedError{Partition: p.cfg.Partition}
		}
		// The request may have carried the wish for a complete list, so ask again.
		k.relist.Store(true)
		return nil
	}
	now := p.cfg.Clock.Now()
	k.renewed = r.sent
	k.paused.Store(false)
	p.followIncarnation(now, k, r.reply.Incarnation)
	if r.reply.Complete {
		p.completeList(now, k, r.reply)
	}
	// An acknowledgement covers all lower sequences, so the order must not rest on the worker.
	slices.SortFunc(r.reply.Reports, func(a, b platform.AttemptReport) int {
		return cmp.Compare(a.Sequence, b.Sequence)
	})
	for _, report := range r.reply.Reports {
		p.report(now, k, report)
	}
	p.cfg.Policy.Observe(schedule.WorkerSamples{
		Worker:   k.worker.ID,
		Usage:    r.reply.Usage,
		Services: r.reply.Services,
	})
	if now.After(k.nextList) || len(k.unknown) > 0 {
		k.nextList = now.Add(relistPeriod)
		k.relist.Store(true)
	}
	return nil
}

// followIncarnation notices a restart of the worker, after which report sequences start
// again and a complete list is needed to find the attempts that were lost.
func (p *loop) followIncarnation(now time.Time, k *link, incarnation string) {
	if k.incarnation == incarnation {
		return
	}
	restarted := k.incarnation != ""
	k.incarnation = incarnation
	if !restarted {
		return
	}
	k.applied = 0
	k.acknowledged.Store(0)
	k.relist.Store(true)
	p.cfg.Log.Warn().Str("event", "worker.restarted").Str("worker", string(k.worker.ID)).Send()
}

// completeList resolves the attempts that the worker does not know.
func (p *loop) completeList(now time.Time, k *link, reply platform.LeaseReply) {
	before := p.ledger.Attempts(k.worker.ID)
	if !k.fenced {
		// Starts of former owners carry a lower epoch, which the worker refuses from now on.
		p.logError("list", p.ledger.ReconcileFormerAttempts(now, k.worker.ID, reply.Reports))
		k.fenced = true
	}
	// The worker refuses expired starts by its own clock, so its clock says what is proved.
	p.logError("list", p.ledger.ReconcileOwnAttempts(now, reply.Now, k.worker.ID, reply.Reports))
	listed := map[model.AttemptID]platform.AttemptReport{}
	for _, r := range reply.Reports {
		listed[r.Attempt] = r
	}
	p.cleanUp(now, k, before, listed)
}

// forgetAttempt drops what the loop keeps about an attempt that has ended.
func (p *loop) forgetAttempt(k *link, a model.AttemptID) {
	delete(k.unknown, a)
	delete(k.throttles, a)
	delete(p.signals, a)
}

// report records one report, unless it was processed before.
func (p *loop) report(now time.Time, k *link, r platform.AttemptReport) {
	delete(k.unknown, r.Attempt)
	if r.State.Ended() {
		p.ended(now, k, r)
	} else {
		p.logError("report", p.ledger.HandleReport(now, k.worker.ID, r))
	}
	p.acknowledge = append(p.acknowledge, workerSequence{k.worker.ID, r.Sequence})
}

// ended records the end of an attempt. The worker repeats the report until it is
// acknowledged, which it is once the record is durable.
func (p *loop) ended(now time.Time, k *link, r platform.AttemptReport) {
	if r.Sequence <= k.applied {
		return
	}
	k.applied = r.Sequence
	view, running := p.attempt(k.worker.ID, r.Attempt)
	p.logError("report", p.ledger.HandleReport(now, k.worker.ID, r))
	p.forgetAttempt(k, r.Attempt)
	if running {
		p.learnEnd(now, k.worker.ID, view, r.State, r.Error)
	}
	p.planSoon()
}

// attempt returns an attempt that may be executing on the worker.
func (p *loop) attempt(w model.WorkerID, id model.AttemptID) (schedule.AttemptView, bool) {
	for _, a := range p.ledger.Attempts(w) {
		if a.ID == id {
			return a, true
		}
	}
	return schedule.AttemptView{}, false
}

// learnEnd tells the policy how an attempt ended.
func (p *loop) learnEnd(now time.Time, w model.WorkerID, a schedule.AttemptView, state model.AttemptState, reason string) {
	p.cfg.Policy.Ended(schedule.AttemptEnd{
		ID:      a.ID,
		Spec:    a.Spec,
		Worker:  w,
		State:   state,
		At:      now,
		RunTime: now.Sub(a.Started),
		Error:   reason,
	})
}

// canReach reports whether a call of the worker is likely to be answered. Calls of silent
// workers would hold the sender's slots until they time out.
func (p *loop) canReach(w model.WorkerID, now time.Time) bool {
	k, ok := p.links.get(w)
	return ok && k.reachable(now, p.cfg.Timing)
}

// resendSignals sends the signal of an eviction or cancellation again while the attempt
// has not ended, because a signal can be lost.
func (p *loop) resendSignals(now time.Time) {
	for _, s := range p.ledger.PendingSignals() {
		if now.Sub(p.signals[s.Attempt]) < resendAfter || !p.canReach(s.Worker, now) {
			continue
		}
		select {
		case p.o.actions <- signalOnly(s):
			p.signals[s.Attempt] = now
		default:
			return
		}
	}
}
