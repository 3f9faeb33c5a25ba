package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// HandleReport applies a worker's report of one attempt. A report of an unknown or former
// attempt, or from another worker than the recorded one, changes nothing.
func (l *Ledger) HandleReport(now time.Time, w model.WorkerID, r platform.AttemptReport) error {
	j := l.executing(r.Attempt)
	if j == nil || j.current.worker != w {
		return nil
	}
	switch r.State {
	case model.AttemptRunning:
		j.current.reportedProgress = clampProgress(r.Progress)
		return nil
	case model.AttemptRefused:
		return l.StartRefused(now, r.Attempt, r.Error)
	}
	return l.end(now, j, r)
}

// end records the end of the current attempt of the job.
func (l *Ledger) end(now time.Time, j *job, r platform.AttemptReport) error {
	return l.commit(Record{
		Kind:       RecordEnded,
		At:         now,
		Job:        j.spec.ID,
		Attempt:    j.current.id.Number,
		Worker:     j.current.worker,
		State:      r.State,
		Checkpoint: r.Checkpoint,
		Progress:   clampProgress(r.Progress),
		Reason:     r.Error,
	})
}

func (l *Ledger) applyEnded(j *job, r *Record) error {
	if j.current == nil || j.current.id.Number != r.Attempt {
		return r.applyError("attempt %d is not executing", r.Attempt)
	}
	l.release(j)
	j.reason = r.Reason
	l.appendHistory(j, r, r.State.String())
	switch r.State {
	case model.AttemptSucceeded:
		j.progress = 1
		l.finish(j, model.JobFinished, r.At)
		return nil
	case model.AttemptFailed:
		j.failures++
	case model.AttemptCheckpointed:
		j.saveCheckpoint(r.Checkpoint, r.Progress)
	}
	l.requeue(j, r.At)
	return nil
}

// saveCheckpoint stores the checkpoint that the next attempt resumes from.
func (j *job) saveCheckpoint(c model.CheckpointID, progress float64) {
	if c == "" {
		return
	}
	j.checkpoint = c
	j.progress = progress
}

// ReconcileFormerAttempts ends the attempts of former owners on a worker that the worker does
// not know. The reports must be the worker's complete list, taken after the worker saw the epoch
// of this owner: from then on the worker refuses starts of lower epochs, so an attempt that a
// former owner recorded and that is not in the list never executes. Attempts of this owner
// remain, because their start messages may still arrive; see ReconcileOwnAttempts. The worker
// counts as fenced from then on.
func (l *Ledger) ReconcileFormerAttempts(now time.Time, w model.WorkerID, reports []platform.AttemptReport) error {
	l.fenced[w] = true
	return l.reconcile(now, w, reports, func(a *attempt) bool { return a.epoch < l.epoch })
}

// ReconcileOwnAttempts ends attempts on a worker, of this owner too, that the worker does not
// know, as after a start whose answer was lost. The reports must be the worker's complete list, and
// listedAt must not be later than the time at which the list was made. An attempt whose start the
// worker no longer accepts at that time and that is not in the list never executes.
func (l *Ledger) ReconcileOwnAttempts(now, listedAt time.Time, w model.WorkerID, reports []platform.AttemptReport) error {
	return l.reconcile(now, w, reports, func(a *attempt) bool { return a.startExpired(listedAt) })
}

// reconcile applies the reports and ends the attempts that are not in the list and for which
// neverStarts returns true.
func (l *Ledger) reconcile(now time.Time, w model.WorkerID, reports []platform.AttemptReport, neverStarts func(*attempt) bool) error {
	present := make(map[model.AttemptID]bool, len(reports))
	for _, r := range reports {
		present[r.Attempt] = true
		if err := l.HandleReport(now, w, r); err != nil {
			return err
		}
	}
	hasEnded := func(a *attempt) bool { return !present[a.id] && neverStarts(a) }
	return l.recordLostAttempts(now, w, "not in the complete list of the worker", hasEnded)
}

// WorkerLeaseExpired ends the attempts of a worker whose lease has certainly lapsed. An attempt
// whose start the worker could still accept under a later lease remains; the caller repeats the
// call while Attempts is not empty.
//
// After ReconcileFormerAttempts only the present owner can renew the worker's lease. Before that,
// a former owner that has not noticed yet that it was deposed may renew it, so the call is
// refused until such an owner must have stopped.
func (l *Ledger) WorkerLeaseExpired(now time.Time, w model.WorkerID) error {
	if !l.fenced[w] && now.Sub(l.ownedSince) < unfencedWorkerWait {
		return refuse(verdict.ReasonWorkerFailed, "worker %q has not seen epoch %d; a former owner may still renew its lease", w, l.epoch)
	}
	return l.recordLostAttempts(now, w, "lease of the worker lapsed", func(a *attempt) bool { return a.startExpired(now) })
}

// WorkerRemoved ends all attempts of a worker that the platform has withdrawn permanently:
// nothing executes on it any more, and its id is not used again.
func (l *Ledger) WorkerRemoved(now time.Time, w model.WorkerID) error {
	return l.recordLostAttempts(now, w, "the platform withdrew the worker", func(*attempt) bool { return true })
}

// recordLostAttempts records as lost the attempts of a worker for which hasEnded returns true.
func (l *Ledger) recordLostAttempts(now time.Time, w model.WorkerID, reason string, hasEnded func(*attempt) bool) error {
	for _, a := range l.attemptsOf(w) {
		if !hasEnded(a) {
			continue
		}
		if err := l.recordLost(now, a, reason); err != nil {
			return err
		}
	}
	return nil
}

// recordLost records that an attempt ended without a report from its worker.
func (l *Ledger) recordLost(now time.Time, a *attempt, reason string) error {
	j := l.executing(a.id)
	return l.end(now, j, platform.AttemptReport{Attempt: a.id, State: model.AttemptLost, Error: reason})
}

// startExpired reports whether the worker refuses the start message at time t, whatever the
// difference between the clocks within MaxClockSkew.
func (a *attempt) startExpired(t time.Time) bool {
	return t.After(a.notAfter.Add(MaxClockSkew))
}

// attemptsOf returns the attempts that may be executing on a worker, in order of their ids.
func (l *Ledger) attemptsOf(w model.WorkerID) []*attempt {
	c, found := l.workers[w]
	if !found {
		return nil
	}
	attempts := make([]*attempt, 0, len(c.attempts))
	for _, a := range c.attempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *attempt) int { return cmp.Compare(a.id.Job, b.id.Job) })
	return attempts
}

// clampProgress limits a progress to the range from 0 to 1; NaN becomes 0.
func clampProgress(p float64) float64 {
	if !(p > 0) {
		return 0
	}
	return min(p, 1)
}
