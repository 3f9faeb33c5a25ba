package owner

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// A start that got no answer may be carried out late by the next incarnation of its worker. The workers record says until when what
// it starts so may run, so that the next owner waits for that only where it may happen.

const (
	// maxLateness is the longest time after which a worker may still carry out a request that got no answer.
	maxLateness = 12 * time.Second
	// lateRunsSlack is by how much the record is ahead of what is known, so that it is not written for each of many starts. It covers
	// the copies of one start.
	lateRunsSlack = 2 * time.Second
	// lateRunsRefreshInterval is the longest time after which a record that names such a worker is written again. The next owner counts the
	// time from its take-over, so it waits at most this much too long.
	lateRunsRefreshInterval = 2 * time.Second
	// noLateRuns stands in a stored record for a worker that carries nothing out late; 0 would say that the record does not tell.
	noLateRuns time.Duration = 1
)

// noteLateStart notes that a copy of a start got no answer.
func (l *leader) noteLateStart(id batch.WorkerID, now time.Time) {
	l.workersRecord.noteLateRuns(id, now.Add(maxLateness+maxLeaseDuration(l.owner.opts.LongestWorkerLease)))
}

// noteLateRuns updates until when a worker's next incarnation may run what it carries out late.
func (r *workersRecord) noteLateRuns(id batch.WorkerID, until time.Time) {
	if r.contains(id) && r.lateRuns[id].Before(until) {
		r.lateRuns[id], r.dirty = until.Add(lateRunsSlack), true
	}
}

// restoreLateRuns restores what a stored record says of a worker. unknown is the time that counts if it does not tell.
func (r *workersRecord) restoreLateRuns(id batch.WorkerID, remaining time.Duration, now, unknown time.Time) {
	switch remaining {
	case 0:
		r.lateRuns[id] = unknown
	case noLateRuns:
	default:
		r.lateRuns[id] = earliest(now.Add(remaining), unknown)
	}
}

// remainingLateRuns returns what a stored record says of a worker.
func (r *workersRecord) remainingLateRuns(id batch.WorkerID, now time.Time) time.Duration {
	return max(noLateRuns, r.lateRuns[id].Sub(now))
}

// latestLateRun returns the time by which everything has ended that the next incarnation of a worker may have started for former
// owners, if this owner does not reach it. One that was answered, or was carried out before they had ended, has the longest lease
// from then at most.
func (l *leader) latestLateRun(id batch.WorkerID) time.Time {
	last, unreached := l.workersRecord.lastRenewers[id]
	if !unreached {
		last = l.epoch - 1
	}
	end := l.latestLeaseUpTo(last).Add(l.workersRecord.unsettledExtra)
	return batch.LaterOf(end, l.workersRecord.lateRuns[id])
}

// extendDoubt prolongs the wait for a worker that was restarted and has not been reached since.
func (l *leader) extendDoubt(id batch.WorkerID, now time.Time) {
	if !l.state.IsRestartedInDoubt(id) {
		return
	}
	end := l.latestLateRun(id)
	if !l.state.ProlongDoubt(id, end) {
		return
	}
	l.workersRecord.setLeaseEnd(id, end, l.workersRecord.lateRuns[id].After(now))
	l.log.Info().Str("event", "takeover.in-doubt").Str("worker", string(id)).Int64("wait-ms", end.Sub(now).Milliseconds()).
		Str("why", "it was restarted, and may carry out late what a former owner has sent").Send()
}
