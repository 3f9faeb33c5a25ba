package partition

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
)

const (
	// offerConcurrency bounds the transfers that one owner offers at once.
	offerConcurrency = 32
	// transfersPerPlan bounds the number of jobs that one plan transfers to other partitions.
	transfersPerPlan = 64
	// offerTimeout is the time-out of one offer.
	offerTimeout = 5 * time.Second
)

// offerResult is the outcome of one offered transfer.
type offerResult struct {
	job model.JobID
	hop uint32
	err error
}

// transfers holds the durable transfers that are not confirmed yet, and which of them are being
// offered.
type transfers struct {
	unconfirmed map[model.JobID]ledger.Transfer
	offering    map[model.JobID]bool
}

// newTransfers returns an empty set.
func newTransfers() transfers {
	return transfers{
		unconfirmed: map[model.JobID]ledger.Transfer{},
		offering:    map[model.JobID]bool{},
	}
}

// offerTransfers adds durable transfers and offers as many as offerConcurrency allows.
func (p *loop) offerTransfers(ctx context.Context, added []ledger.Transfer) {
	for _, t := range added {
		p.transfers.unconfirmed[t.Spec.ID] = t
	}
	for id, t := range p.transfers.unconfirmed {
		if len(p.transfers.offering) >= offerConcurrency {
			return
		}
		if p.transfers.offering[id] {
			continue
		}
		p.transfers.offering[id] = true
		p.sessions.wg.Go(func() { p.o.offer(ctx, t) })
	}
}

// offer delivers one transfer and reports the outcome to the loop.
func (o *Owner) offer(ctx context.Context, t ledger.Transfer) {
	callCtx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	err := o.cfg.OfferTransfer(callCtx, o.cfg.Partition, t)
	select {
	case o.offers <- offerResult{job: t.Spec.ID, hop: t.Hop, err: err}:
	case <-ctx.Done():
	}
}

// handleOfferResult records a confirmed transfer. A failed offer is repeated with a later tick.
func (p *loop) handleOfferResult(r offerResult) {
	delete(p.transfers.offering, r.job)
	if r.err != nil {
		return
	}
	if p.transfers.unconfirmed[r.job].Hop == r.hop {
		delete(p.transfers.unconfirmed, r.job)
	}
	p.logError("transfer", p.ledger.TransferConfirmed(p.cfg.Clock.Now(), r.job, r.hop))
}

// transferUnplaced transfers queued jobs that this partition cannot run: at once if none of its
// workers could ever run them, otherwise after they have waited for room.
func (p *loop) transferUnplaced(now time.Time, s *schedule.Snapshot) {
	if p.cfg.Destination == nil || !p.workersKnown {
		return
	}
	workers := usableWorkers(s)
	if len(workers) > 0 && now.Before(p.nextTransferScan) {
		return
	}
	p.nextTransferScan = now.Add(transferScanPeriod)
	transferred := 0
	waiting := map[model.JobID]time.Time{}
	for _, job := range p.ledger.Queue() {
		if transferred == transfersPerPlan {
			return
		}
		since, seen := p.unplacedSince[job.Spec.ID]
		if !seen {
			since = now
		}
		waiting[job.Spec.ID] = since
		reason := p.transferReason(job.Spec, s, workers, now.Sub(since))
		if reason == "" {
			continue
		}
		to, ok := p.cfg.Destination(job.Spec, p.cfg.Partition)
		if !ok {
			continue
		}
		delete(waiting, job.Spec.ID)
		p.logError("transfer", p.ledger.TransferOut(now, job.Spec.ID, to, reason))
		p.appendUrgent = true
		transferred++
	}
	p.unplacedSince = waiting
}

// transferReason returns why a job should be transferred, or "" if it should wait here.
func (p *loop) transferReason(spec model.JobSpec, s *schedule.Snapshot, workers []model.Worker, waited time.Duration) string {
	if len(workers) == 0 {
		return "this partition has no usable worker"
	}
	if reason := p.cfg.Policy.Unfeasible(spec, s.Document, workers); reason != "" {
		return reason
	}
	maxWait := p.cfg.Timing.TransferAfter
	if spec.Priority >= model.PriorityUrgent {
		maxWait = p.cfg.Timing.UrgentTransferAfter
	}
	if waited < maxWait {
		return ""
	}
	return "no room in this partition"
}

// usableWorkers returns the workers that may receive starts, including those that cannot be
// reached at present.
func usableWorkers(s *schedule.Snapshot) []model.Worker {
	var usable []model.Worker
	for _, w := range s.Workers {
		if !w.Worker.Leaving && !s.Document.DataCentreOut(w.Worker.DataCentre) {
			usable = append(usable, w.Worker)
		}
	}
	return usable
}
