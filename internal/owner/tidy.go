package owner

import "time"

const (
	// tidyInterval is the pause between two searches for jobs that need not be known any more.
	tidyInterval = 5 * time.Second
	// keysPerJob is the number of keys that a job may have in the store.
	keysPerJob = 3
)

// tidy forgets jobs that have been over for long, and counts what there is.
func (l *leader) tidy(now time.Time) {
	if now.Sub(l.tidied) < tidyInterval {
		return
	}
	l.tidied = now
	l.erased = append(l.erased, l.state.PruneJobs(now, l.owner.opts.JobRetention)...)
	live, known := l.state.Counts()
	scope := l.owner.opts.Scope
	scope.Gauge("jobs_live").Update(float64(live))
	scope.Gauge("jobs_known").Update(float64(known))
	scope.Gauge("workers").Update(float64(len(l.holders)))
	scope.Gauge("epoch").Update(float64(l.epoch))
}

// erase adds the removal of forgotten jobs to a transaction with the given room.
func (l *leader) erase(t *batchTxn, room int) {
	n := min(len(l.erased), room/keysPerJob)
	for _, id := range l.erased[:n] {
		t.txn.Remove = append(t.txn.Remove, JobKey(id), CancelKey(id), RecordKey(id))
	}
	l.erased = l.erased[n:]
}

// logEvents writes a line for each decision, and counts it.
func (l *leader) logEvents() {
	for _, e := range l.state.Events() {
		l.owner.opts.Scope.Tagged(map[string]string{"event": e.Name}).Counter("decisions").Inc(1)
		line := l.log.Info().Str("event", e.Name)
		if e.Job != "" {
			line = line.Str("job", e.Job)
		}
		if e.Task.Job != "" {
			line = line.Int("step", e.Task.Step)
		}
		if e.Run > 0 {
			line = line.Int("index", e.Task.Index).Int64("run", e.Run)
		}
		if e.Task.Occurrence > 0 {
			line = line.Int("occurrence", e.Task.Occurrence)
		}
		if e.Worker != "" {
			line = line.Str("worker", string(e.Worker))
		}
		if e.Detail != "" {
			line = line.Str("why", e.Detail)
		}
		line.Int64("config", l.state.ConfigVersion()).Send()
	}
}
