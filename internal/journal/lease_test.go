package journal_test

import (
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// contact is what an owner knows of a worker.
type workerLease struct {
	fenced bool
	// expires is when the last renewal can no longer be accepted.
	expires   time.Time
	processed uint64
	durable   uint64
}

// visit renews the lease of a worker and asks for its complete list. Both the request and
// the answer may be lost or slow.
func (o *owner) renewLease(w *fakeWorker) {
	lease := o.leases[w.worker.ID]
	if o.stopped || !o.mayRenew() || o.sim.lost("lease request") {
		return
	}
	sentAt := o.sim.now
	request := platform.LeaseRequest{Partition: o.partition.number, Owner: o.id, Epoch: o.journal.Epoch(), TTL: leaseTTL,
		NotAfter: sentAt.Add(leaseWindow), Acknowledged: lease.durable, All: true}
	if o.sim.mutation.listWithoutNewEpoch {
		request.Epoch = w.epoch
	}
	if o.sim.mutation.acknowledgeBeforeDurable {
		request.Acknowledged = lease.processed
	}
	if !o.sim.mutation.countRenewalOnReply {
		lease.expires = request.NotAfter
	}
	o.sim.deliverOrEnqueue("lease request", func() {
		reply, err := w.lease(o.sim.now, request)
		if o.sim.lost("lease answer") {
			return
		}
		o.sim.deliverOrEnqueue("lease answer", func() { o.handleLeaseReply(w, sentAt, reply, err) })
	})
}

// answered takes the answer to a lease request.
func (o *owner) handleLeaseReply(w *fakeWorker, sentAt time.Time, reply platform.LeaseReply, err error) {
	if o.stopped || errors.Is(err, errRefused) {
		return
	}
	if err != nil {
		o.stop("stale epoch")
		return
	}
	lease := o.leases[w.worker.ID]
	lease.expires = laterOf(lease.expires, sentAt.Add(leaseWindow))
	o.reconcile(w, lease, sentAt, reply.Reports)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayRenew reports whether the owner may renew leases; it confirms its ownership if needed.
func (o *owner) mayRenew() bool {
	if o.sim.mutation.renewUnconfirmed || o.sim.now.Sub(o.confirmed) < ledger.MaxUnconfirmedOwnership {
		return true
	}
	o.inCall = true
	defer func() { o.inCall = false }()
	ctx, cancel := o.sim.context()
	defer cancel()
	sentAt := o.sim.now
	err := o.journal.Confirm(ctx)
	if isDeposed(err) {
		o.stop("deposed")
	}
	if err != nil {
		return false
	}
	o.confirmed = sentAt
	return o.sim.now.Sub(sentAt) < ledger.MaxUnconfirmedOwnership
}

// listed takes the complete list of a worker.
func (o *owner) reconcile(w *fakeWorker, lease *workerLease, sentAt time.Time, reports []platform.AttemptReport) {
	if !lease.fenced {
		o.expectNoError(o.ledger.ReconcileFormerAttempts(o.sim.now, w.worker.ID, reports))
		lease.fenced = true
	}
	o.expectNoError(o.ledger.ReconcileOwnAttempts(o.sim.now, sentAt, w.worker.ID, reports))
	for _, r := range reports {
		lease.processed = max(lease.processed, r.Sequence)
	}
	processed := lease.processed
	o.nextReplies = append(o.nextReplies, func() { lease.durable = max(lease.durable, processed) })
}

// resend repeats the signals that are still wanted.
func (o *owner) resend() {
	for _, s := range o.ledger.PendingSignals() {
		o.signal(s)
	}
}

// release hands the partition over, if nothing waits to be written.
func (o *owner) release() {
	state, err := o.ledger.Marshal()
	if o.batch != nil || err != nil {
		return
	}
	o.inCall = true
	defer func() { o.inCall = false }()
	ctx, cancel := o.sim.context()
	defer cancel()
	if o.journal.Release(ctx, state) == nil {
		o.stop("released")
	}
}

// giveUp takes a worker for gone once its lease has surely lapsed.
func (o *owner) expireLease(w *fakeWorker) {
	lease := o.leases[w.worker.ID]
	lapsed := o.sim.now.After(lease.expires.Add(leaseTTL + ledger.MaxClockSkew))
	if o.stopped || !lapsed && !o.sim.mutation.expireLeaseEarly {
		return
	}
	if err := o.ledger.WorkerLeaseExpired(o.sim.now, w.worker.ID); lease.fenced {
		o.expectNoError(err)
	}
}
