package owner

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// A new owner waits for tasks on workers that it cannot reach until the leases of the former owner have ended. It
// does not know when that one has sent the last, and allows for all that the former claim permits. The instance of
// the former owner knows: it tells the new owner since when its leadership, or its process, has ended.

// LeadershipEnd says that the owner with an epoch sends nothing any more.
type LeadershipEnd struct {
	Epoch int64 `cbor:"1,keyasint"`
	// Since is how long ago its leadership ended at the latest.
	Since time.Duration `cbor:"2,keyasint"`
}

const (
	// reportEndTimeout bounds one call that tells an owner of the end of the former one.
	reportEndTimeout = 500 * time.Millisecond
	// reportEndRetryDelay is the pause before such a call is repeated. It is not repeated for longer than
	// reportEndPeriod, after which no lease of the former owner can last.
	reportEndRetryDelay = 200 * time.Millisecond
	reportEndPeriod     = 12 * time.Second
)

// reportEnd tells the owner of a claim since when the former owner has ended, if that was this instance. It
// returns when the owner has been told or the claim has changed.
func (o *Owner) reportEnd(c Claim) {
	former := c.Former
	if former == nil || former.Instance != o.opts.Instance || former.Address != o.opts.Address {
		return
	}
	for begun := time.Now(); time.Since(begun) < reportEndPeriod; pause.For(context.Background(), reportEndRetryDelay) {
		if current := o.claim.Load(); current == nil || current.Epoch != c.Epoch {
			return
		}
		end, ended := o.endOf(c.Epoch-1, *former)
		if !ended {
			continue
		}
		if err := o.tellEnd(c, end); err == nil {
			o.log.Info().Str("event", "owner.end-reported").Str("owner", c.Instance).Int64("former-epoch", end.Epoch).Int64("since-ms", end.Since.Milliseconds()).Send()
			return
		}
	}
}

// endOf returns since when the leadership of an epoch, by a process of this instance, has ended, and whether it has. An earlier process
// of this instance had ended when this one was started.
func (o *Owner) endOf(epoch int64, former Process) (LeadershipEnd, bool) {
	if former.Incarnation != o.incarnation {
		return LeadershipEnd{Epoch: epoch, Since: time.Since(o.started)}, true
	}
	at, ended := o.ended.Load(epoch)
	if !ended {
		return LeadershipEnd{}, false
	}
	return LeadershipEnd{Epoch: epoch, Since: time.Since(at.(time.Time))}, true
}

// tellEnd passes the end of a leadership to the owner of a claim, which may be this instance itself.
func (o *Owner) tellEnd(c Claim, end LeadershipEnd) error {
	if c.Instance == o.opts.Instance && c.Incarnation == o.incarnation {
		if !o.FormerOwnerEnded(c.Epoch, end) {
			return errClaimChanged
		}
		return nil
	}
	if o.opts.ReportEnd == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportEndTimeout)
	defer cancel()
	return o.opts.ReportEnd(ctx, c, end)
}

// FormerOwnerEnded tells the leader with an epoch that the leadership before it has ended. It returns false if this
// instance does not lead with that epoch.
func (o *Owner) FormerOwnerEnded(epoch int64, end LeadershipEnd) bool {
	l := o.leading.Load()
	if l == nil || l.epoch != epoch || end.Epoch != epoch-1 || end.Since < 0 {
		return false
	}
	ended := time.Now().Add(-end.Since)
	return l.post(func(l *leader, now time.Time) { l.formerOwnerEnded(end.Epoch, ended, now) })
}

// formerOwnerEnded shortens the waits for workers of which only the former owner may have renewed the leases, as far as
// the one before it cannot have gone on for longer.
func (l *leader) formerOwnerEnded(epoch int64, ended, now time.Time) {
	end := latest(ended.Add(l.workerLeaseExpiry()), l.othersLeaseEnd())
	l.earlierLeasesEnd = earliest(l.earlierLeasesEnd, end)
	shortened := 0
	for _, id := range l.workersRecord.unreached(epoch) {
		if l.state.ShortenDoubt(id, end) {
			l.workersRecord.shorten(id, end)
			shortened++
		}
	}
	l.log.Info().Str("event", "takeover.former-ended").Int64("former-epoch", epoch).Int64("since-ms", now.Sub(ended).Milliseconds()).
		Int("workers", shortened).Int64("wait-ms", max(0, end.Sub(now)).Milliseconds()).Send()
}

// unreached returns the workers that this owner has not reached, and of which the owner with an epoch was the last
// that may have renewed the lease.
func (r *workersRecord) unreached(epoch int64) []batch.WorkerID {
	var ids []batch.WorkerID
	for id, last := range r.lastRenewers {
		if last == epoch && !r.lateStarts[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// shorten updates the end of a lease that is not renewed and is known to end earlier.
func (r *workersRecord) shorten(id batch.WorkerID, end time.Time) {
	if r.leaseEnds[id].After(end) {
		r.set(id, end)
	}
}
