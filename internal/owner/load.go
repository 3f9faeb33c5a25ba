package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// load reads what former owners and other instances have stored, and retries until it succeeds. The
// claim is renewed meanwhile.
func (l *leader) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := l.tryLoad(ctx)
		if err == nil {
			return true
		}
		l.log.Warn().Str("event", "load.failed").Err(err).Send()
		pause.For(ctx, storeRetryDelay)
	}
	return false
}

// tryLoad reads the store once and starts the watches from the revisions that it read.
func (l *leader) tryLoad(ctx context.Context) error {
	owned, _, err := l.owner.store.List(ctx, ownerPrefix)
	if err != nil {
		return err
	}
	accepted, acceptedRev, err := l.owner.store.List(ctx, acceptedPrefix)
	if err != nil {
		return err
	}
	workers, workersRev, err := l.owner.store.List(ctx, l.owner.registry.Prefix())
	if err != nil {
		return err
	}
	now := time.Now()
	l.state.SetConfig(l.owner.config())
	l.noteServices(now)
	inDoubt := l.restore(owned, accepted, now)
	l.noteSubmissionsApplied(acceptedRev)
	l.noteFormerWorkers(workers, inDoubt)
	l.resetWorkers(workers)
	l.recordInDoubt(inDoubt, now)
	go l.watchJobs(ctx, acceptedRev)
	go l.watchWorkers(ctx, workersRev)
	live, total := l.state.Counts()
	l.log.Info().Str("event", "leader.loaded").Int("live", live).Int("jobs", total).Int("workers", len(workers)).Send()
	return nil
}

// firstEpoch is the epoch of the first owner.
const firstEpoch = 1

// noteFormerWorkers notes the workers that former owners may have known: those that the registry lists and those that the workers
// record holds.
func (l *leader) noteFormerWorkers(listed []kv.Item, recorded map[batch.WorkerID]time.Time) {
	if l.epoch == firstEpoch {
		return
	}
	l.state.SetFormerOwnersEnd(l.held.acquired.Add(l.owner.opts.LeaseTTL + claimGrace))
	for _, item := range listed {
		l.state.NoteFormerWorker(l.owner.registry.ID(item.Key))
	}
	for id := range recorded {
		l.state.NoteFormerWorker(id)
	}
}

// restore rebuilds the state from the content of the store. It returns the workers that may run tasks of
// former owners, and until when they may if this owner does not reach them.
func (l *leader) restore(owned, accepted []kv.Item, now time.Time) (inDoubt map[batch.WorkerID]time.Time) {
	records := map[string]*batch.Record{}
	// The record was written before this owner had the claim.
	acquired := l.held.acquired
	l.noteEndedClaim(owned)
	latest := l.latestLeaseUpTo(l.epoch - 1)
	l.earlierLeasesEnd = latest
	for _, item := range owned {
		if item.Key == workersKey {
			until, err := l.workersRecord.restore(item.Value, acquired, latest, l.latestLeaseUpTo)
			l.checkReadable(item.Key, err)
			l.state.SetUnresolvedWorkers(until)
			l.state.SetFormerIncarnations(l.workersRecord.fenced)
			l.state.SetFormerLateStarts(l.workersRecord.formerLateStarts(maxLeaseDuration(l.owner.opts.LongestWorkerLease)))
			inDoubt = until
			continue
		}
		if item.Key == interferenceKey {
			var weights []batch.InterferenceWeight
			l.checkReadable(item.Key, cbor.Unmarshal(item.Value, &weights))
			l.state.RestoreInterference(weights)
			continue
		}
		if _, id := parseKey(item.Key); id != "" {
			if r, err := DecodeRecord(item.Value); l.checkReadable(item.Key, err) {
				records[id] = &r
			}
		}
	}
	l.applySubmissions(accepted, records, true, now)
	return inDoubt
}

// recordInDoubt logs the workers that the registry no longer has although they may run tasks of former owners,
// and records the ends of their leases for the next owner. Nobody can ask them, so tasks that no worker lists
// wait for the last of these ends.
func (l *leader) recordInDoubt(until map[batch.WorkerID]time.Time, now time.Time) {
	listed := map[batch.WorkerID]bool{}
	for w := range l.state.Workers() {
		listed[w.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(until)) {
		if !listed[id] {
			l.recordLeaseEnd(id)
			l.log.Info().Str("event", "takeover.in-doubt").Str("worker", string(id)).Int64("wait-ms", until[id].Sub(now).Milliseconds()).
				Str("why", "it may run tasks of a former owner, and the registry does not have it").Send()
		}
	}
}

// latestLeaseUpTo returns the time by which any lease has ended that the former owners up to the one with an epoch have
// sent to a settled worker, see workersRecord. An owner that has certainly ended sent none afterwards; an earlier one may have gone on for longer.
func (l *leader) latestLeaseUpTo(epoch int64) time.Time {
	var end time.Time
	for e := min(epoch, l.epoch-1); e > 0; e-- {
		ended, known := l.formerEnds[e]
		if !known {
			return batch.LaterOf(end, l.permittedLeaseUpTo(e))
		}
		end = batch.LaterOf(end, earliest(ended.Add(l.workerLeaseExpiry()), l.permittedLeaseUpTo(e)))
	}
	if end.IsZero() {
		return l.longestFormerLease()
	}
	return end
}

// permittedLeaseUpTo returns the same time by what the owners were permitted. They may have gone on for claimGrace after
// the end of their claim, and a claim that was removed may have been confirmed until then. This instance may have
// seen when the last of them was replaced, and the former owner has recorded how long the leases of those before it may
// last.
func (l *leader) permittedLeaseUpTo(epoch int64) time.Time {
	end := l.longestFormerLease()
	if replaced := l.owner.replacedAt(epoch); !replaced.IsZero() {
		end = earliest(end, replaced.Add(l.owner.opts.LeaseTTL+claimGrace+l.workerLeaseExpiry()))
	}
	switch {
	case epoch >= l.epoch-1:
		return end
	case l.held.formerSettled:
		return earliest(end, l.held.acquired)
	case l.held.formerEarlierLeases > 0:
		return earliest(end, l.held.acquired.Add(l.held.formerEarlierLeases))
	}
	return end
}

// longestFormerLease returns the time by which any lease of a former owner for a settled worker has ended if nothing is known of it but
// that it had been replaced when this owner acquired the claim.
func (l *leader) longestFormerLease() time.Time {
	return l.held.acquired.Add(l.owner.opts.LeaseTTL + claimGrace + l.workerLeaseExpiry())
}

// earlierLeases returns how long leases of earlier owners may last, also those that were sent by an owner before the
// former one. It is not above 0 once they have ended.
func (l *leader) earlierLeases(now time.Time) time.Duration {
	return earliest(l.earlierLeasesEnd, l.longestFormerLease()).Add(l.workersRecord.unsettledExtra).Sub(now)
}

// isSettled reports whether the leases of all earlier owners have ended.
func (l *leader) isSettled(now time.Time) bool { return l.earlierLeases(now) < 0 }

// noteEndedClaim notes the former owner whose claim was removed because its process had certainly ended.
func (l *leader) noteEndedClaim(owned []kv.Item) {
	for _, item := range owned {
		if item.Key != endedClaimKey {
			continue
		}
		var epoch int64
		if l.checkReadable(item.Key, cbor.Unmarshal(item.Value, &epoch)) {
			l.noteFormerEnd(epoch, l.held.acquired)
		}
	}
}

// checkReadable logs an entry of the store that cannot be decoded, and reports whether there was no
// error.
func (l *leader) checkReadable(key string, err error) bool {
	if err != nil {
		l.log.Error().Str("event", "store.unreadable").Str("key", key).Err(err).Send()
	}
	return err == nil
}

// applySubmissions adds the submitted jobs, and then applies the cancellations. loaded is set for
// entries that were accepted under a former owner. It returns how many jobs were added, and how many were not since they are forgotten.
func (l *leader) applySubmissions(items []kv.Item, records map[string]*batch.Record, loaded bool, now time.Time) (added, forgotten int) {
	for _, item := range items {
		prefix, id := parseKey(item.Key)
		if prefix != jobPrefix || l.state.Job(id) != nil {
			continue
		}
		if l.forgotten.has(id, item.Rev) {
			forgotten++
			continue
		}
		if j, err := decodeJob(id, item); l.checkReadable(item.Key, err) {
			l.addJob(j, records[id], loaded, now)
			added++
		}
	}
	for _, item := range items {
		if prefix, id := parseKey(item.Key); prefix == cancelPrefix {
			l.state.Cancel(id, now)
		}
	}
	return added, forgotten
}
