package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// A start that got no answer may be carried out late by the next incarnation of its worker. The workers record says until when what
// it starts so may run, and of which jobs, so that the next owner waits for that only where it may happen.

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

// maxLateJobBytes bounds the ids of the jobs that the record names for a worker, so that the record stays small enough for the store.
const maxLateJobBytes = 160

// lateRuns are the tasks that the next incarnation of a worker may start late.
type lateRuns struct {
	// until is when the last of them has ended.
	until time.Time
	// jobs are the jobs that they belong to; nil if they are too many to name.
	jobs map[string]bool
	// assumed is set if nothing is known of them: a record of an earlier version does not tell.
	assumed bool
}

// noteLateStart notes that a copy of a start got no answer.
func (l *leader) noteLateStart(a batch.Action, now time.Time) {
	l.workersRecord.noteLateRun(a.Worker, a.Task.Job, now, now.Add(maxLateness+maxLeaseDuration(l.owner.opts.LongestWorkerLease)))
}

// noteLateRun notes a job of which a worker's next incarnation may run a task late, until a time.
func (r *workersRecord) noteLateRun(id batch.WorkerID, job string, now, until time.Time) {
	if !r.contains(id) {
		return
	}
	late := r.lateRuns[id]
	if late == nil || late.until.Before(now) {
		late = &lateRuns{jobs: map[string]bool{}}
		r.lateRuns[id] = late
	}
	if late.until.Before(until) {
		late.until, r.dirty = until.Add(lateRunsSlack), true
	}
	if late.jobs == nil || late.jobs[job] {
		return
	}
	late.jobs[job], r.dirty = true, true
	bytes := 0
	for name := range late.jobs {
		bytes += len(name)
	}
	if bytes > maxLateJobBytes {
		late.jobs = nil
	}
}

// restoreLateRuns restores what a stored record says of a worker. unknown is the time that counts if it does not tell.
func (r *workersRecord) restoreLateRuns(id batch.WorkerID, lease recordedLease, now, unknown time.Time) {
	if lease.LateRuns == noLateRuns {
		return
	}
	late := &lateRuns{until: unknown, assumed: lease.LateRuns == 0}
	if lease.LateRuns != 0 {
		late.until = earliest(now.Add(lease.LateRuns), unknown)
	}
	for _, job := range lease.LateJobs {
		if late.jobs == nil {
			late.jobs = map[string]bool{}
		}
		late.jobs[job] = true
	}
	r.lateRuns[id] = late
}

// formerLateStarts returns which jobs' starts workers may carry out late, and until when, as far as the record of the former owner tells.
// longestLease is how long what they start so may run.
func (r *workersRecord) formerLateStarts(longestLease time.Duration) map[batch.WorkerID]batch.LateRuns {
	starts := map[batch.WorkerID]batch.LateRuns{}
	for id, late := range r.lateRuns {
		if !late.assumed {
			starts[id] = batch.LateRuns{Until: late.until.Add(-longestLease), Jobs: maps.Clone(late.jobs)}
		}
	}
	return starts
}

// addLateRuns adds to what a transaction says of a worker.
func (r *workersRecord) addLateRuns(lease *recordedLease, id batch.WorkerID, now time.Time) {
	lease.LateRuns = noLateRuns
	if late := r.lateRuns[id]; late != nil && late.until.Sub(now) > noLateRuns {
		lease.LateRuns, lease.LateJobs = late.until.Sub(now), slices.Sorted(maps.Keys(late.jobs))
		r.tellsLateRuns = true
	}
}

// addUnused adds the workers that are no longer in use, of which the next incarnation may still carry out a start late, to a transaction.
// They run nothing, so that their leases count as ended. It forgets the others.
func (r *workersRecord) addUnused(leases map[batch.WorkerID]recordedLease, now time.Time) {
	for id, late := range r.lateRuns {
		if r.contains(id) {
			continue
		}
		if !late.until.After(now) {
			delete(r.lateRuns, id)
			continue
		}
		leases[id] = r.lease(id, now, now)
	}
	maps.DeleteFunc(r.fenced, func(id batch.WorkerID, _ batch.FencedIncarnation) bool {
		return !r.contains(id) && r.lateRuns[id] == nil
	})
}

// extendDoubt prolongs the wait for a worker that was restarted and has not been reached since. What it had answered, or carried out
// before the former owners had ended, has the longest lease from then at most; what it may carry out later has its own wait.
func (l *leader) extendDoubt(id batch.WorkerID, now time.Time) {
	if !l.state.IsRestartedInDoubt(id) {
		return
	}
	last, unreached := l.workersRecord.lastRenewers[id]
	if !unreached {
		last = l.epoch - 1
	}
	end := l.latestLeaseUpTo(last).Add(l.workersRecord.unsettledExtra)
	prolonged := l.state.ProlongDoubt(id, end)
	if prolonged {
		l.workersRecord.setLeaseEnd(id, end, false)
	}
	late := l.workersRecord.lateRuns[id]
	if late != nil && late.until.After(end) {
		prolonged = l.state.DoubtLateRuns(id, batch.LateRuns{Until: late.until, Jobs: maps.Clone(late.jobs)}) || prolonged
		end = late.until
	}
	if prolonged {
		l.log.Info().Str("event", "takeover.in-doubt").Str("worker", string(id)).Int64("wait-ms", end.Sub(now).Milliseconds()).
			Str("why", "it was restarted, and may carry out late what a former owner has sent").Send()
	}
}
