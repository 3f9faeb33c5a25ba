package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// A new owner waits for tasks on workers that it cannot reach until the leases of the former owners have ended. It
// does not know when these have sent the last, and allows for all that their claims permit. The instance of a former
// owner knows: it tells each owner whose claim names it since when that leadership, or the process, has ended. An
// instance that was told so while it led tells later owners, too, so that what it was told does not end with its own
// leadership.

// LeadershipEnd says that the owner with an epoch sends nothing any more.
type LeadershipEnd struct {
	Epoch int64 `cbor:"1,keyasint"`
	// Since is how long ago its leadership ended at the latest.
	Since time.Duration `cbor:"2,keyasint"`
	// Owner is the process that led. It is nil in messages of earlier versions, which tell of the former owner only.
	Owner *Process `cbor:"3,keyasint,omitempty"`
}

const (
	// reportEndTimeout bounds one call that tells an owner of the end of a former one.
	reportEndTimeout = 500 * time.Millisecond
	// reportEndRetryDelay is the pause before such a call is repeated. It is not repeated for longer than
	// reportEndPeriod, after which no lease of a former owner can last.
	reportEndRetryDelay = 200 * time.Millisecond
	reportEndPeriod     = 12 * time.Second
)

// maxToldEnds is the number of ends of other owners that an instance remembers.
const maxToldEnds = 64

// toldEnds remembers by when other owners have ended, on the instance's own steady clock.
type toldEnds struct {
	mu   sync.Mutex
	ends []toldEnd
}

type toldEnd struct {
	owner FormerOwner
	at    time.Time
}

// add notes that an owner had ended by a time.
func (t *toldEnds) add(owner FormerOwner, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.ends {
		if t.ends[i].owner == owner {
			t.ends[i].at = earliest(t.ends[i].at, at)
			return
		}
	}
	t.ends = append(t.ends, toldEnd{owner: owner, at: at})
	if len(t.ends) > maxToldEnds {
		t.ends = t.ends[1:]
	}
}

// get returns by when an owner had ended, and whether that is known.
func (t *toldEnds) get(owner FormerOwner) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.ends {
		if e.owner == owner {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// reportEnds tells the owner of a claim which of the former owners that the claim names have ended, as far as this
// instance knows or will know. It returns when the owner has been told or the claim has changed.
func (o *Owner) reportEnds(c Claim) {
	unreported := slices.DeleteFunc(c.formerOwners(), func(f FormerOwner) bool {
		_, told := o.toldEnds.get(f)
		return !told && !o.isOfThisInstance(f.Process)
	})
	for begun := time.Now(); len(unreported) > 0 && time.Since(begun) < reportEndPeriod; pause.For(context.Background(), reportEndRetryDelay) {
		if current := o.claim.Load(); current == nil || current.Epoch != c.Epoch {
			return
		}
		unreported = slices.DeleteFunc(unreported, func(f FormerOwner) bool { return o.reportEnd(c, f) })
	}
}

// reportEnd tells the owner of a claim that a former one has ended. It returns false if that is not known yet or the
// owner could not be told.
func (o *Owner) reportEnd(c Claim, former FormerOwner) bool {
	at, ended := o.endOf(former)
	if !ended {
		return false
	}
	end := LeadershipEnd{Epoch: former.Epoch, Since: time.Since(at), Owner: &former.Process}
	if err := o.tellEnd(c, end); err != nil {
		return false
	}
	o.log.Info().Str("event", "owner.end-reported").Str("owner", c.Instance).Int64("former-epoch", end.Epoch).Int64("since-ms", end.Since.Milliseconds()).Send()
	return true
}

// isOfThisInstance reports whether a process is this one or an earlier one of this instance.
func (o *Owner) isOfThisInstance(p Process) bool {
	return p.Instance == o.opts.Instance && p.Address == o.opts.Address
}

// endOf returns by when a former owner has ended, and whether it is known to have. An earlier process of this instance
// had ended when this one was started.
func (o *Owner) endOf(former FormerOwner) (time.Time, bool) {
	if !o.isOfThisInstance(former.Process) {
		return o.toldEnds.get(former)
	}
	if former.Process.Incarnation != o.incarnation {
		return o.started, true
	}
	at, ended := o.ended.Load(former.Epoch)
	if !ended {
		return time.Time{}, false
	}
	return at.(time.Time), true
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

// FormerOwnerEnded tells the leader with an epoch that the leadership of a former owner has ended. It returns false if
// this instance does not lead with that epoch, or if its claim does not name that owner.
func (o *Owner) FormerOwnerEnded(epoch int64, end LeadershipEnd) bool {
	l := o.leading.Load()
	if l == nil || l.epoch != epoch || end.Since < 0 || !l.held.claim.isAfter(end) {
		return false
	}
	ended := time.Now().Add(-end.Since)
	if end.Owner != nil {
		o.toldEnds.add(FormerOwner{Epoch: end.Epoch, Process: *end.Owner}, ended)
	}
	return l.post(func(l *leader, now time.Time) { l.formerOwnerEnded(end.Epoch, ended, now) })
}

// isAfter reports whether the claim names the owner whose end is told as a former one. Two processes may have tried to
// lead with the same epoch, so the epoch alone says which owner it is only in messages of earlier versions.
func (c Claim) isAfter(end LeadershipEnd) bool {
	if end.Owner == nil {
		return end.Epoch == c.Epoch-1
	}
	return slices.Contains(c.formerOwners(), FormerOwner{Epoch: end.Epoch, Process: *end.Owner})
}

// noteFormerEnd notes that a former owner had ended by a time.
func (l *leader) noteFormerEnd(epoch int64, ended time.Time) {
	if epoch > 0 && epoch < l.epoch {
		l.formerEnds[epoch] = earliest(l.formerEnds[epoch], ended)
	}
}

// formerOwnerEnded shortens the waits for workers of which only former owners may have renewed the leases, as far as
// those that are not known to have ended cannot have gone on for longer. An end that is known already changes nothing: several
// instances may tell it.
func (l *leader) formerOwnerEnded(epoch int64, ended, now time.Time) {
	if known, ok := l.formerEnds[epoch]; ok && !ended.Before(known) {
		return
	}
	l.noteFormerEnd(epoch, ended)
	l.earlierLeasesEnd = earliest(l.earlierLeasesEnd, l.latestLeaseUpTo(l.epoch-1))
	shortened := 0
	for id, last := range l.workersRecord.unreached() {
		end := l.workersRecord.latestLease(id, l.latestLeaseUpTo(last))
		if l.state.ShortenDoubt(id, end) {
			l.workersRecord.shorten(id, end)
			shortened++
		}
	}
	l.log.Info().Str("event", "takeover.former-ended").Int64("former-epoch", epoch).Int64("since-ms", now.Sub(ended).Milliseconds()).
		Int("workers", shortened).Int64("wait-ms", max(0, l.earlierLeases(now)).Milliseconds()).Send()
}

// unreached returns the workers that this owner has not reached, each with the epoch of the last owner that may have
// renewed the lease.
func (r *workersRecord) unreached() map[batch.WorkerID]int64 {
	workers := map[batch.WorkerID]int64{}
	for id, last := range r.lastRenewers {
		if !r.lateStarts[id] {
			workers[id] = last
		}
	}
	return workers
}

// shorten updates the end of a lease that is not renewed and is known to end earlier.
func (r *workersRecord) shorten(id batch.WorkerID, end time.Time) {
	if r.leaseEnds[id].After(end) {
		r.set(id, end)
	}
}
