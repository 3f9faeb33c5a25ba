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
	// MovedJobRetention is how long a job that moved to another partition can be found here.
	MovedJobRetention = 30 * 24 * time.Hour
	// maxForget bounds the jobs and the claims that one call of Expire drops.
	maxForget = 500
)

// Expire drops ended jobs and old claims past their retention, and settles claims that
// their holder abandoned as MayHaveRun. The caller calls it about once a minute.
func (l *Ledger) Expire(now time.Time) {
	l.settleAbandoned(now)
	jobs := append(l.oldJobs(now), l.oldArrivals(now)...)
	keys := l.oldClaims(now)
	if len(jobs) == 0 && len(keys) == 0 {
		return
	}
	_ = l.commit(Record{Kind: RecordForgotten, At: now, Jobs: limit(jobs), Keys: limit(keys)})
}

// settleAbandoned settles the claims whose holder did not settle them in time.
func (l *Ledger) settleAbandoned(now time.Time) {
	var abandoned []model.RequestKey
	for key, c := range l.claims {
		if c.abandoned(now) {
			abandoned = append(abandoned, key)
		}
	}
	slices.Sort(abandoned)
	for _, key := range limit(abandoned) {
		_ = l.Settle(now, key, l.claims[key].Holder, verdict.MayHaveRun)
	}
}

// oldJobs returns the jobs past their retention.
func (l *Ledger) oldJobs(now time.Time) []model.JobID {
	var ids []model.JobID
	for id, j := range l.jobs {
		if j.forgettable(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// forgettable reports whether the job is past its retention.
func (j *job) forgettable(now time.Time) bool {
	if j.hasEnded() {
		return now.Sub(j.ended) > JobRetention
	}
	return j.state == model.JobTransferred && !j.offered && now.Sub(j.ended) > MovedJobRetention
}

// oldArrivals returns the accepted jobs whose transfer need not be remembered any longer.
func (l *Ledger) oldArrivals(now time.Time) []model.JobID {
	var ids []model.JobID
	for id, a := range l.arrivals {
		if _, present := l.jobs[id]; !present && now.Sub(a.forgotten) > TransferRetention {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// oldClaims returns the claims past their retention.
func (l *Ledger) oldClaims(now time.Time) []model.RequestKey {
	var keys []model.RequestKey
	for key, c := range l.claims {
		if c.expired(now) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// limit cuts a list to what one record may hold.
func limit[T any](list []T) []T {
	return list[:min(len(list), maxForget)]
}

func (l *Ledger) applyForgotten(r *Record) error {
	for _, id := range r.Jobs {
		l.forgetJob(id, r.At)
	}
	for _, key := range r.Keys {
		l.dropClaim(key)
	}
	return nil
}

// forgetJob drops a job, or the memory of its acceptance if the job was dropped before.
func (l *Ledger) forgetJob(id model.JobID, at time.Time) {
	j, found := l.jobs[id]
	if !found {
		l.forgetArrival(id)
		return
	}
	l.drop(j)
	l.floor = max(l.floor, j.attempt)
	if j.hop > 0 {
		l.arrivals[id] = arrival{submitted: j.submitted, hop: j.hop, offered: j.arrived, forgotten: at}
	}
}

// forgetArrival drops the memory of an accepted job. Later offers must be newer than it.
func (l *Ledger) forgetArrival(id model.JobID) {
	if a := l.arrivals[id]; a.offered.After(l.horizon) {
		l.horizon = a.offered
	}
	delete(l.arrivals, id)
}

// drop removes a job that holds no attempt.
func (l *Ledger) drop(j *job) {
	l.specBytes -= specSize(j.spec)
	l.stepCount -= len(j.steps)
	delete(l.jobs, j.spec.ID)
}
