package journal_test

import (
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// contact is what an owner knows of a worker.
type contact struct {
	fenced bool
	// expires is when the last renewal can no longer be accepted.
	expires   time.Time
	processed uint64
	durable   uint64
}

// visit renews the lease of a worker and asks for its complete list. Both the request and
// the answer may be lost or slow.
func (o *owner) visit(w *fakeWorker) {
	c := o.contacts[w.worker.ID]
	if o.dead || !o.mayRenew() || o.world.lost("lease request") {
		return
	}
	asked := o.world.now
	request := platform.LeaseRequest{Partition: o.part.number, Owner: o.id, Epoch: o.journal.Epoch(), TTL: leaseTTL,
		NotAfter: asked.Add(leaseWindow), Acknowledged: c.durable, All: true}
	if o.world.broken.listUnfenced {
		request.Epoch = w.epoch
	}
	if o.world.broken.ackEarly {
		request.Acknowledged = c.processed
	}
	if !o.world.broken.lateExpiry {
		c.expires = request.NotAfter
	}
	o.world.pass("lease request", func() {
		reply, err := w.lease(o.world.now, request)
		if o.world.lost("lease answer") {
			return
		}
		o.world.pass("lease answer", func() { o.answered(w, asked, reply, err) })
	})
}

// answered takes the answer to a lease request.
func (o *owner) answered(w *fakeWorker, asked time.Time, reply platform.LeaseReply, err error) {
	if o.dead || errors.Is(err, errRefused) {
		return
	}
	if err != nil {
		o.die("stale epoch")
		return
	}
	c := o.contacts[w.worker.ID]
	c.expires = laterOf(c.expires, asked.Add(leaseWindow))
	o.listed(w, c, asked, reply.Reports)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayRenew reports whether the owner may renew leases; it confirms its ownership if needed.
func (o *owner) mayRenew() bool {
	if o.world.broken.endlessRenewal || o.world.now.Sub(o.confirmed) < ledger.MaxUnconfirmedOwnership {
		return true
	}
	o.busy = true
	defer func() { o.busy = false }()
	ctx, cancel := o.world.context()
	defer cancel()
	asked := o.world.now
	err := o.journal.Confirm(ctx)
	if isDeposed(err) {
		o.die("deposed")
	}
	if err != nil {
		return false
	}
	o.confirmed = asked
	return o.world.now.Sub(asked) < ledger.MaxUnconfirmedOwnership
}

// listed takes the complete list of a worker.
func (o *owner) listed(w *fakeWorker, c *contact, asked time.Time, reports []platform.AttemptReport) {
	if !c.fenced {
		o.must(o.ledger.ReconcileFormerAttempts(o.world.now, w.worker.ID, reports))
		c.fenced = true
	}
	o.must(o.ledger.ReconcileOwnAttempts(o.world.now, asked, w.worker.ID, reports))
	for _, r := range reports {
		c.processed = max(c.processed, r.Sequence)
	}
	processed := c.processed
	o.queued = append(o.queued, func() { c.durable = max(c.durable, processed) })
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
	o.busy = true
	defer func() { o.busy = false }()
	ctx, cancel := o.world.context()
	defer cancel()
	if o.journal.Release(ctx, state) == nil {
		o.die("released")
	}
}

// giveUp takes a worker for gone once its lease has surely lapsed.
func (o *owner) giveUp(w *fakeWorker) {
	c := o.contacts[w.worker.ID]
	lapsed := o.world.now.After(c.expires.Add(leaseTTL + ledger.MaxClockSkew))
	if o.dead || !lapsed && !o.world.broken.goneEarly {
		return
	}
	if err := o.ledger.WorkerLeaseExpired(o.world.now, w.worker.ID); c.fenced {
		o.must(err)
	}
}
