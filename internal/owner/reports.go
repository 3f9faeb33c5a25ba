package owner

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// noteRenewal notes a lease that was sent to a worker, which has certainly ended at leaseEnd. The answer to the renewal, with a
// report, confirms it, unless the incarnation that gave it is not the newest any more.
func (l *leader) noteRenewal(id batch.WorkerID, r batch.Report, leaseEnd time.Time, confirmed bool) {
	former := r.Incarnation > 0 && r.Incarnation < l.state.Incarnation(id)
	l.state.LeaseRenewed(id, leaseEnd, confirmed && !former)
}

// handleReport applies a worker's report. The ended attempts in it are acknowledged once the
// resulting changes are durable.
func (l *leader) handleReport(rn *renewer, r batch.Report, generation int, now time.Time) {
	id := rn.info.ID
	l.handledCounts.add(r)
	ackSeq := l.state.ApplyReport(id, r, now)
	l.workersRecord.noteFenced(id, l.state.FencedIncarnation(id, now))
	for _, e := range r.Running {
		if l.state.IsListed(id, e.Task, e.Run) {
			l.starts.cancel(attemptKey{id, e.Task, e.Run}) // the report answers for the start
		}
	}
	if l.workersRecord.contains(id) || l.state.InUse(id) {
		l.workersRecord.setRenewed(id)
	}
	settled := endsUpTo(r.Ended, ackSeq)
	i := renewalParams{
		ackSeq: ackSeq, keepsEnds: len(settled) < len(r.Ended), maxWait: l.maxReportWait(id, now), renew: !l.state.MustLapse(id),
		runsTasks: l.state.HasAttempts(id), reportedAt: now, need: l.reportNeed(id, now), showsLatency: l.state.HasColocatedTasks(id), generation: generation,
	}
	l.setParamsWhenDurable(i, settled, rn)
}

// endsUpTo returns the ends up to a sequence number.
func endsUpTo(ends []batch.EndedAttempt, seq int64) []batch.EndedAttempt {
	for i, e := range ends {
		if e.Seq > seq {
			return ends[:i]
		}
	}
	return ends
}

// maxReportWait returns how long a worker may wait for an attempt to end before it sends its report.
func (l *leader) maxReportWait(id batch.WorkerID, now time.Time) time.Duration {
	switch {
	case l.state.MustLapse(id), !l.mayAct():
		return busyWait // its lease is not renewed
	case !l.state.HasLease(id):
		return 0 // tasks are started on it only after it has confirmed its lease
	case l.state.HasUnansweredStart(id, now):
		return colocatedWait
	case l.state.HasColocatedTasks(id):
		return l.colocatedReportWait()
	case l.state.HasFiniteTasks(id):
		return busyWait
	case l.state.HasAttempts(id):
		return lastingWait
	default:
		return idleWait
	}
}

// colocatedReportShare is the part of all requests to workers that reports for latency figures may use.
const colocatedReportShare = 0.25

// colocatedReportWait returns how long a worker may wait where best-effort tasks share it with tasks that have a latency target.
// Its report is asked for to see how these do; that must leave time for the reports that tell of ends, and for starts.
func (l *leader) colocatedReportWait() time.Duration {
	reports := l.limiter.Rate() * colocatedReportShare
	wait := time.Duration(float64(len(l.renewers)) / reports * float64(time.Second))
	return min(max(wait, colocatedWait), busyWait)
}

// reportNeed returns how soon the next report of a worker is needed: for the objective of a job that an end there holds up, or, with
// the least priority, to see how tasks with a latency target do beside best-effort ones. It is zero if only the lease needs it.
func (l *leader) reportNeed(id batch.WorkerID, now time.Time) batch.Need {
	need := l.state.EndNeed(id, now)
	if l.state.HasColocatedTasks(id) {
		return batch.FirstNeed(need, batch.Need{Priority: l.state.LeastPriority(), By: now.Add(l.colocatedReportWait())})
	}
	return need
}

// recordLeaseEnd records when the lease of an unreachable worker ends.
func (l *leader) recordLeaseEnd(id batch.WorkerID) {
	if end := l.state.LeaseEnd(id); l.workersRecord.contains(id) && !end.IsZero() {
		l.workersRecord.setLeaseEnd(id, end, l.state.MayStartLate(id))
	}
}
