package ledger

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Retention of jobs. A submission is idempotent by its id for as long as the job is kept. A job,
// claim or entry of an accepted transfer that is past its retention is expired. Expire removes it
// by a record of the kind RecordForgotten.
const (
	// JobRetention is how long a finished or cancelled job is kept.
	JobRetention = 24 * time.Hour
	// TransferredJobRetention is how long a job is kept after its transfer to another partition, so
	// that callers can be directed to that partition.
	TransferredJobRetention = 30 * 24 * time.Hour
	// maxExpiredPerRecord bounds the ids of jobs, and the keys of claims, in one record of the kind
	// RecordForgotten, and the claims that one call of Expire settles. The next call takes the rest.
	maxExpiredPerRecord = 500
)

// Expire removes what is past its retention and settles abandoned claims as MayHaveRun. The caller
// calls it periodically.
//
// The error of commit is ignored: applying a RecordForgotten cannot fail, and what was not removed
// is found again by the next call.
func (l *Ledger) Expire(now time.Time) {
	l.settleAbandoned(now)
	jobs := append(l.expiredJobs(now), l.expiredAcceptedTransfers(now)...)
	keys := l.expiredClaims(now)
	if len(jobs) == 0 && len(keys) == 0 {
		return
	}
	_ = l.commit(Record{Kind: RecordForgotten, At: now, Jobs: capForRecord(jobs), Keys: capForRecord(keys)})
}

// settleAbandoned settles the abandoned claims as MayHaveRun. Settle cannot fail here, because the
// claim exists and its own holder is passed.
func (l *Ledger) settleAbandoned(now time.Time) {
	var abandoned []model.RequestKey
	for key, c := range l.claims {
		if c.abandoned(now) {
			abandoned = append(abandoned, key)
		}
	}
	slices.Sort(abandoned)
	for _, key := range capForRecord(abandoned) {
		_ = l.Settle(now, key, l.claims[key].Holder, verdict.MayHaveRun)
	}
}

// expiredJobs returns the ids of the expired jobs, in order.
func (l *Ledger) expiredJobs(now time.Time) []model.JobID {
	var ids []model.JobID
	for id, j := range l.jobs {
		if j.expired(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// expired reports whether the job is past its retention. A job whose transfer is not confirmed is
// kept, because its offer is repeated until then.
func (j *job) expired(now time.Time) bool {
	if j.hasEnded() {
		return now.Sub(j.ended) > JobRetention
	}
	return j.state == model.JobTransferred && !j.transferUnconfirmed && now.Sub(j.ended) > TransferredJobRetention
}

// expiredAcceptedTransfers returns the ids of the removed jobs whose entry in acceptedTransfers is
// past TransferRetention, in order.
func (l *Ledger) expiredAcceptedTransfers(now time.Time) []model.JobID {
	var ids []model.JobID
	for id, a := range l.acceptedTransfers {
		if _, present := l.jobs[id]; !present && now.Sub(a.expiredAt) > TransferRetention {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// expiredClaims returns the keys of the expired claims, in order.
func (l *Ledger) expiredClaims(now time.Time) []model.RequestKey {
	var keys []model.RequestKey
	for key, c := range l.claims {
		if c.expired(now) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// capForRecord truncates a list to maxExpiredPerRecord items.
func capForRecord[T any](list []T) []T {
	return list[:min(len(list), maxExpiredPerRecord)]
}

// applyForgotten removes what has expired. The Jobs of the record holds the ids of expired jobs and
// those of jobs that were removed earlier and whose accepted transfer has expired.
func (l *Ledger) applyForgotten(r *Record) error {
	for _, id := range r.Jobs {
		l.expireJob(id, r.At)
	}
	for _, key := range r.Keys {
		l.removeClaim(key)
	}
	return nil
}

// expireJob removes the job with the id, and keeps its last transfer in acceptedTransfers if it had
// one. If there is no such job, it removes the entry of the id in acceptedTransfers instead.
func (l *Ledger) expireJob(id model.JobID, at time.Time) {
	j, found := l.jobs[id]
	if !found {
		l.expireAcceptedTransfer(id)
		return
	}
	l.removeJob(j)
	l.highestExpiredAttempt = max(l.highestExpiredAttempt, j.attempt)
	if j.hop > 0 {
		l.acceptedTransfers[id] = acceptedTransfer{submitted: j.submitted, hop: j.hop, transferredAt: j.incomingTransferAt, expiredAt: at}
	}
}

// expireAcceptedTransfer removes the entry of an accepted transfer. From then on AcceptTransfer
// refuses an offer of any job whose transfer is not later than the removed one, unless an entry
// shows that it was accepted: it may be a repeated offer whose entry was removed.
func (l *Ledger) expireAcceptedTransfer(id model.JobID) {
	if a := l.acceptedTransfers[id]; a.transferredAt.After(l.latestExpiredTransfer) {
		l.latestExpiredTransfer = a.transferredAt
	}
	delete(l.acceptedTransfers, id)
}

// removeJob removes a job that holds no attempt.
func (l *Ledger) removeJob(j *job) {
	l.specBytes -= specSize(j.spec)
	l.historyEntries -= len(j.history)
	delete(l.jobs, j.spec.ID)
}
