package ledger

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Retention of jobs. A submission is idempotent by its id for as long as the job is kept.
const (
	// JobRetention is how long a finished or cancelled job is kept.
	JobRetention = 24 * time.Hour
	// MovedJobRetention is how long a job that moved to another partition is kept here, so that
	// callers can be directed to that partition.
	MovedJobRetention = 30 * 24 * time.Hour
	// maxExpiredPerRecord bounds the number of jobs, and that of claims, that one call of Expire
	// removes.
	maxExpiredPerRecord = 500
)

// Expire removes ended jobs and claims that are past their retention, and settles abandoned
// claims as MayHaveRun. The caller calls it periodically.
func (l *Ledger) Expire(now time.Time) {
	l.settleAbandoned(now)
	jobs := append(l.expiredJobs(now), l.expiredAcceptedTransfers(now)...)
	keys := l.expiredClaims(now)
	if len(jobs) == 0 && len(keys) == 0 {
		return
	}
	_ = l.commit(Record{Kind: RecordForgotten, At: now, Jobs: capForRecord(jobs), Keys: capForRecord(keys)})
}

// settleAbandoned settles the abandoned claims as MayHaveRun.
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

// expiredJobs returns the ids of the jobs that are past their retention, in order.
func (l *Ledger) expiredJobs(now time.Time) []model.JobID {
	var ids []model.JobID
	for id, j := range l.jobs {
		if j.pastRetention(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// pastRetention reports whether the job is past its retention.
func (j *job) pastRetention(now time.Time) bool {
	if j.hasEnded() {
		return now.Sub(j.ended) > JobRetention
	}
	return j.state == model.JobTransferred && !j.transferUnconfirmed && now.Sub(j.ended) > MovedJobRetention
}

// expiredAcceptedTransfers returns the ids of the jobs whose accepted transfer is past
// TransferRetention, in order.
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

// expiredClaims returns the keys of the claims that are past their retention, in order.
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

func (l *Ledger) applyForgotten(r *Record) error {
	for _, id := range r.Jobs {
		l.expireJob(id, r.At)
	}
	for _, key := range r.Keys {
		l.removeClaim(key)
	}
	return nil
}

// expireJob removes a job. If the job was removed before, it removes the entry of its accepted
// transfer.
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

// expireAcceptedTransfer removes the entry of an accepted transfer. Only offers recorded after
// that transfer are accepted from then on, see AcceptTransfer.
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
