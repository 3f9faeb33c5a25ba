package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// HandleReport takes what a worker says of one attempt. Reports of unknown or former attempts,
// and reports of another worker than the recorded one, change nothing.
func (l *Ledger) HandleReport(now time.Time, w model.WorkerID, r platform.AttemptReport) error {
	j := l.executing(r.Attempt)
	if j == nil || j.current.worker != w {
		return nil
	}
	switch r.State {
	case model.AttemptRunning:
		j.current.observed = share(r.Progress)
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
		Progress:   share(r.Progress),
		Reason:     r.Error,
	})
}

func (l *Ledger) applyEnded(j *job, r *Record) error {
	if j.current == nil || j.current.id.Number != r.Attempt {
		return r.misfit("attempt %d is not executing", r.Attempt)
	}
	l.release(j)
	j.reason = r.Reason
	l.note(j, r, r.State.String())
	switch r.State {
	case model.AttemptSucceeded:
		j.progress = 1
		l.finish(j, model.JobFinished, r.At)
		return nil
	case model.AttemptFailed:
		j.failures++
	case model.AttemptCheckpointed:
		j.save(r.Checkpoint, r.Progress)
	}
	l.requeue(j, r.At)
	return nil
}

// save keeps a checkpoint that the next attempt resumes from.
func (j *job) save(c model.CheckpointID, progress float64) {
	if c == "" {
		return
	}
	j.checkpoint = c
	j.progress = progress
}

// ReconcileFormerAttempts resolves the attempts of former owners on a worker. The reports must be the
// worker's complete list, taken after the worker saw the epoch of this owner: from then
// on the worker refuses starts of lower epochs, so an attempt that a former owner recorded
// and that is not in the list never executes. Attempts of this owner are left alone,
// because their start messages may still be on their way; see ReconcileOwnAttempts.
func (l *Ledger) ReconcileFormerAttempts(now time.Time, w model.WorkerID, reports []platform.AttemptReport) error {
	l.fenced[w] = true
	return l.resolve(now, w, reports, func(a *attempt) bool { return a.epoch < l.epoch })
}

// ReconcileOwnAttempts resolves the attempts of this owner on a worker whose start answer was lost. The
// reports must be the worker's complete list and asked the time before the list was asked
// for. An attempt that could not be started any more at that time and is not in the list
// never executes.
func (l *Ledger) ReconcileOwnAttempts(now, asked time.Time, w model.WorkerID, reports []platform.AttemptReport) error {
	return l.resolve(now, w, reports, func(a *attempt) bool { return a.expired(asked) })
}

// resolve takes the reports and ends the attempts that the list proves to be gone.
func (l *Ledger) resolve(now time.Time, w model.WorkerID, reports []platform.AttemptReport, provable func(*attempt) bool) error {
	present := make(map[model.AttemptID]bool, len(reports))
	for _, r := range reports {
		present[r.Attempt] = true
		if err := l.HandleReport(now, w, r); err != nil {
			return err
		}
	}
	over := func(a *attempt) bool { return !present[a.id] && provable(a) }
	return l.loseAll(now, w, "not in the complete list of the worker", over)
}

// WorkerLeaseExpired ends the attempts of a worker whose lease has surely lapsed. An attempt whose
// start the worker could still accept under a later lease stays; the caller calls again
// while Attempts is not empty.
//
// Only after ReconcileFormerAttempts is the present owner alone in renewing the worker's lease. Before it,
// a deposed owner that does not know it yet may be renewing the lease, so the call is
// refused until such an owner must have stopped.
func (l *Ledger) WorkerLeaseExpired(now time.Time, w model.WorkerID) error {
	if !l.fenced[w] && now.Sub(l.owned) < unfencedWait {
		return refuse(verdict.ReasonWorkerFailed, "worker %q has not seen epoch %d; a former owner may still renew its lease", w, l.epoch)
	}
	return l.loseAll(now, w, "lease of the worker lapsed", func(a *attempt) bool { return a.expired(now) })
}

// WorkerRemoved ends the attempts of a worker that the platform has withdrawn for good, so
// that nothing executes there and it never comes back under this id.
func (l *Ledger) WorkerRemoved(now time.Time, w model.WorkerID) error {
	return l.loseAll(now, w, "the platform withdrew the worker", func(*attempt) bool { return true })
}

// loseAll ends the attempts of a worker that are provably over.
func (l *Ledger) loseAll(now time.Time, w model.WorkerID, reason string, over func(*attempt) bool) error {
	for _, a := range l.attemptsOf(w) {
		if !over(a) {
			continue
		}
		if err := l.lose(now, a, reason); err != nil {
			return err
		}
	}
	return nil
}

// lose records that an attempt ended without a report of its own.
func (l *Ledger) lose(now time.Time, a *attempt, reason string) error {
	j := l.executing(a.id)
	return l.end(now, j, platform.AttemptReport{Attempt: a.id, State: model.AttemptLost, Error: reason})
}

// expired reports whether every worker refuses the start message at time t.
func (a *attempt) expired(t time.Time) bool {
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

// share brings a progress into the range from 0 to 1.
func share(p float64) float64 {
	if !(p > 0) {
		return 0
	}
	return min(p, 1)
}
