package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// claimGrace is how long an owner that cannot confirm its claim goes on starting tasks and renewing leases
// after the claim may have ended. The next owner allows for it before it restarts tasks on workers that it
// cannot reach.
const claimGrace = 3500 * time.Millisecond

// moment is one moment on the two clocks that the owner uses.
type moment struct {
	// steady is on Go's monotonic clock, on which everything is measured that only this owner relies on.
	steady time.Time
	// boot is on Options.BootClock. The permission to act is measured on it, since others rely on its end.
	boot time.Duration
}

// currentMoment reads both clocks.
func (o *Owner) currentMoment() moment { return moment{steady: time.Now(), boot: o.opts.BootClock()} }

// extendOwnership notes that the claim cannot end before it has lasted for LeaseTTL from a confirmation that
// was requested at a moment.
func (l *leader) extendOwnership(requested moment) {
	ttl := l.owner.opts.LeaseTTL
	l.ownedUntil.Store(max(l.ownedUntil.Load(), int64(requested.boot+ttl)))
	l.state.ExtendOwnership(requested.steady.Add(ttl))
}

// mayAct reports whether the owner may start tasks and renew leases: it leads, and its claim is confirmed or ended
// at most claimGrace ago. A process that was paused asks again after the pause, since a successor may lead.
func (l *leader) mayAct() bool { return l.ctx.Err() == nil && l.unconfirmedFor() < claimGrace }

// unconfirmedFor returns how long ago the claim may have ended; it is negative while the claim is confirmed.
func (l *leader) unconfirmedFor() time.Duration {
	return l.owner.opts.BootClock() - time.Duration(l.ownedUntil.Load())
}

// claimRenewals is how often the lease of the claim is renewed during its time.
const claimRenewals = 4

// renewClaim renews the lease of the claim until ctx ends or the lease has ended. It doesn't wait for answers: a
// lost one would let the lease end before the next renewal is sent.
func (l *leader) renewClaim(ctx context.Context) {
	interval := l.owner.opts.LeaseTTL / claimRenewals
	var disconnected atomic.Bool
	for ctx.Err() == nil {
		pause.For(ctx, interval)
		go l.renewClaimOnce(ctx, &disconnected)
	}
}

// renewClaimOnce renews the lease of the claim once. It notes, and logs, whether the store is out of contact.
func (l *leader) renewClaimOnce(ctx context.Context, disconnected *atomic.Bool) {
	callCtx, cancel := context.WithTimeout(ctx, l.owner.opts.LeaseTTL)
	defer cancel()
	sent := l.owner.currentMoment()
	err := l.owner.store.Renew(callCtx, l.held.lease)
	if err == nil {
		l.post(func(l *leader, _ time.Time) { l.extendOwnership(sent) })
	}
	if errors.Is(err, kv.ErrNotFound) {
		l.stepDown("lease of the claim ended")
		return
	}
	if ctx.Err() == nil && disconnected.Swap(err != nil) != (err != nil) {
		l.log.Info().Str("event", "claim.contact").Bool("lost", err != nil).AnErr("cause", err).Send()
	}
}

// workerLeaseExpiry returns the time after which a worker lease sent now has ended.
func (l *leader) workerLeaseExpiry() time.Duration {
	return maxLeaseDuration(l.owner.opts.MaxWorkerLease)
}

// unsettledLeaseExtra returns by how much longer a lease may last that a worker has granted to a request for a former incarnation
// of it: it takes the end of the lease on its former clock for one far ahead, and grants its longest lease.
func (o *Owner) unsettledLeaseExtra() time.Duration {
	return max(0, maxLeaseDuration(o.opts.LongestWorkerLease)-maxLeaseDuration(o.opts.MaxWorkerLease))
}

// maxLeaseDuration returns the time after which a lease has ended even on a worker whose clock is
// slow.
func maxLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockTolerance) + leaseMargin
}
