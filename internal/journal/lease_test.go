package journal_test

import (
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// workerLease is the state that an owner keeps of a worker and its lease.
type workerLease struct {
	// synced says that the worker has listed its attempts under the epoch of this owner, and that
	// the ledger has been reconciled with the list.
	synced bool
	// expires is the time after which the worker no longer accepts the last renewal sent.
	expires time.Time
	// processed is the highest sequence of the reports that were applied to the ledger, durable
	// that of the reports whose records are durable.
	processed uint64
	durable   uint64
}

// renewLease renews the lease of a worker and requests the complete list of its attempts. Both the
// request and the answer may be lost or delayed.
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

// handleLeaseReply processes the answer to a lease request.
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

// mayRenew reports whether the owner may renew leases. It confirms the ownership if the last
// confirmation is too old.
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

// reconcile applies the complete list of a worker to the ledger.
func (o *owner) reconcile(w *fakeWorker, lease *workerLease, sentAt time.Time, reports []platform.AttemptReport) {
	if !lease.synced {
		o.expectNoError(o.ledger.ReconcileFormerAttempts(o.sim.now, w.worker.ID, reports))
		lease.synced = true
	}
	o.expectNoError(o.ledger.ReconcileOwnAttempts(o.sim.now, sentAt, w.worker.ID, reports))
	for _, r := range reports {
		lease.processed = max(lease.processed, r.Sequence)
	}
	processed := lease.processed
	o.nextReplies = append(o.nextReplies, func() { lease.durable = max(lease.durable, processed) })
}

// resend repeats the signals that are still pending.
func (o *owner) resend() {
	for _, s := range o.ledger.PendingSignals() {
		o.signal(s)
	}
}

// release releases the partition, unless a batch is being written.
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

// expireLease declares the attempts of a worker lost once its lease must have lapsed, clock skew
// included.
func (o *owner) expireLease(w *fakeWorker) {
	lease := o.leases[w.worker.ID]
	lapsed := o.sim.now.After(lease.expires.Add(leaseTTL + ledger.MaxClockSkew))
	if o.stopped || !lapsed && !o.sim.mutation.expireLeaseEarly {
		return
	}
	if err := o.ledger.WorkerLeaseExpired(o.sim.now, w.worker.ID); lease.synced {
		o.expectNoError(err)
	}
}
