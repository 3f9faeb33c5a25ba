package owner

import (
	"maps"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// minJobRetention is how long an ended job is kept at least. A try of its submission that is sent or carried out late must find that the job
// exists: an instance tries for 10 s, and the store carries out a write up to 6 s late.
const minJobRetention = 20 * time.Second

// forgottenJobs are the jobs that the state has dropped since they ended long ago, until no listing can show them any more. Their
// keys are removed later, and a listing that was read before the removal may be told after it.
type forgottenJobs struct {
	byID map[string]forgottenJob
	// unremoved are the jobs whose keys no transaction removes yet, the oldest first.
	unremoved []string
}

// forgottenJob is the submission of a job that the state has dropped.
type forgottenJob struct {
	// revision is that of the submission. The same id with a later one is another job.
	revision int64
	// removed is the revision by which its keys were removed; 0 as long as that is not known.
	removed int64
}

func newForgottenJobs() forgottenJobs { return forgottenJobs{byID: map[string]forgottenJob{}} }

// add adds jobs whose keys are still in the store.
func (f *forgottenJobs) add(jobs []batch.PrunedJob) {
	for _, j := range jobs {
		f.byID[j.ID] = forgottenJob{revision: j.Revision}
		f.unremoved = append(f.unremoved, j.ID)
	}
}

// has reports whether the submission of a job at a revision is one of a forgotten job.
func (f *forgottenJobs) has(id string, revision int64) bool {
	j, ok := f.byID[id]
	return ok && revision <= j.revision
}

// takeUnremoved returns at most n jobs whose keys are to be removed next.
func (f *forgottenJobs) takeUnremoved(n int) []string {
	n = min(n, len(f.unremoved))
	ids := f.unremoved[:n]
	f.unremoved = f.unremoved[n:]
	return ids
}

// noteRemoved notes that the keys of jobs were removed by a revision.
func (f *forgottenJobs) noteRemoved(ids []string, revision int64) {
	for _, id := range ids {
		if j, ok := f.byID[id]; ok && j.revision < revision {
			f.byID[id] = forgottenJob{revision: j.revision, removed: revision}
		}
	}
}

// dropRemoved drops the jobs whose keys were removed up to a revision from which on all changes will be told: what follows does not
// show them.
func (f *forgottenJobs) dropRemoved(revision int64) {
	maps.DeleteFunc(f.byID, func(_ string, j forgottenJob) bool { return j.removed > 0 && j.removed <= revision })
}

// forgetJobs drops the jobs that ended more than JobRetention ago.
func (l *leader) forgetJobs(now time.Time) {
	pruned := l.state.PruneJobs(now, l.owner.limits.Load().JobRetention)
	if len(pruned) == 0 {
		return
	}
	l.forgotten.add(pruned)
	l.log.Info().Str("event", "jobs.forgotten").Int("jobs", len(pruned)).Str("first", pruned[0].ID).
		Int("unremoved", len(l.forgotten.unremoved)).Send()
}

// removeForgotten adds the removal of forgotten jobs' keys to a transaction, at most maxEntries of them.
func (l *leader) removeForgotten(t *recordTxn, maxEntries int) {
	t.forgotten = l.forgotten.takeUnremoved(maxEntries / keysPerJob)
	for _, id := range t.forgotten {
		t.txn.Remove = append(t.txn.Remove, JobKey(id), CancelKey(id), RecordKey(id))
	}
}
