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
	// transfersPerPlan bounds the jobs that leave the partition with one plan.
	transfersPerPlan = 64
	// offerTimeout bounds one offer, in time.
	offerTimeout = 5 * time.Second
)

// offerResult is the outcome of one offered transfer.
type offerResult struct {
	job model.JobID
	hop uint32
	err error
}

// transfers holds the durable transfers that no other partition has confirmed yet.
type transfers struct {
	pending  map[model.JobID]ledger.Transfer
	offering map[model.JobID]bool
}

// newTransfers returns an empty set.
func newTransfers() transfers {
	return transfers{
		pending:  map[model.JobID]ledger.Transfer{},
		offering: map[model.JobID]bool{},
	}
}

// offerTransfers adds durable transfers and offers as many as the bound allows.
func (p *loop) offerTransfers(ctx context.Context, added []ledger.Transfer) {
	for _, t := range added {
		p.transfers.pending[t.Spec.ID] = t
	}
	for id, t := range p.transfers.pending {
		if len(p.transfers.offering) >= offerConcurrency {
			return
		}
		if p.transfers.offering[id] {
			continue
		}
		p.transfers.offering[id] = true
		p.links.wg.Go(func() { p.o.offer(ctx, t) })
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

// offered records a confirmed transfer; a failed offer is made again with a later tick.
func (p *loop) offered(r offerResult) {
	delete(p.transfers.offering, r.job)
	if r.err != nil {
		return
	}
	if p.transfers.pending[r.job].Hop == r.hop {
		delete(p.transfers.pending, r.job)
	}
	p.logError("transfer", p.ledger.TransferConfirmed(p.cfg.Clock.Now(), r.job, r.hop))
}

// transferStranded moves jobs away that this partition can't run: at once if no worker
// here could ever run them, after a wait if they find no room.
func (p *loop) transferStranded(now time.Time, s *schedule.Snapshot) {
	if p.cfg.Destination == nil || !p.workersKnown {
		return
	}
	workers := usableWorkers(s)
	if len(workers) > 0 && now.Before(p.nextStranded) {
		return
	}
	p.nextStranded = now.Add(strandedPeriod)
	moved := 0
	waiting := map[model.JobID]time.Time{}
	for _, job := range p.ledger.Queue() {
		if moved == transfersPerPlan {
			return
		}
		since, seen := p.stranded[job.Spec.ID]
		if !seen {
			since = now
		}
		waiting[job.Spec.ID] = since
		reason := p.strandedReason(job.Spec, s, workers, now.Sub(since))
		if reason == "" {
			continue
		}
		to, ok := p.cfg.Destination(job.Spec, p.cfg.Partition)
		if !ok {
			continue
		}
		delete(waiting, job.Spec.ID)
		p.logError("transfer", p.ledger.TransferOut(now, job.Spec.ID, to, reason))
		p.urgent = true
		moved++
	}
	p.stranded = waiting
}

// strandedReason returns why a job should leave the partition, or "" if it should wait.
func (p *loop) strandedReason(spec model.JobSpec, s *schedule.Snapshot, workers []model.Worker, waited time.Duration) string {
	if len(workers) == 0 {
		return "this partition has no usable worker"
	}
	if reason := p.cfg.Policy.Unfeasible(spec, s.Document, workers); reason != "" {
		return reason
	}
	patience := p.cfg.Timing.TransferAfter
	if spec.Priority >= model.PriorityUrgent {
		patience = p.cfg.Timing.UrgentTransferAfter
	}
	if waited < patience {
		return ""
	}
	return "no room in this partition"
}

// usableWorkers returns the workers that may receive starts, those that can't be reached
// at present included.
func usableWorkers(s *schedule.Snapshot) []model.Worker {
	var usable []model.Worker
	for _, w := range s.Workers {
		if !w.Worker.Leaving && !s.Document.DataCentreOut(w.Worker.DataCentre) {
			usable = append(usable, w.Worker)
		}
	}
	return usable
}
