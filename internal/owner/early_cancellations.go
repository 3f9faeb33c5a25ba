package owner

import (
	"maps"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// earlyCancellations are the cancellations that instances told of before the owner knew the job: the revision of its submission, by
// id. The watch has yet to tell of the job, and drops them.
type earlyCancellations map[string]int64

// cancelNotified cancels a job, which was stored at a revision, of whose cancellation an instance tells. A job that the owner does not
// know yet is cancelled once it does; one of which the watch has told before is forgotten. The revision is 0 if the instance is of an
// earlier version.
func (l *leader) cancelNotified(id string, revision int64, now time.Time) {
	j := l.state.Job(id)
	switch {
	case j != nil && (revision == 0 || revision == j.Revision):
		l.state.Cancel(id, now)
	case j == nil && revision > l.jobsRevision:
		l.earlyCancellations[id] = revision
	}
}

// addJob adds a job with its record, which may be nil, and cancels it if an instance has told of that before.
func (l *leader) addJob(j *batch.Job, r *batch.Record, loaded bool, now time.Time) {
	l.noteService(j.QueueConfig.Service, now)
	l.state.AddJob(j, r, loaded, now)
	if revision, ok := l.earlyCancellations[j.ID]; ok && revision == j.Revision {
		l.state.Cancel(j.ID, now)
	}
}

// dropUpTo drops the cancellations of jobs up to a revision up to which the watch has told of all jobs.
func (e earlyCancellations) dropUpTo(revision int64) {
	maps.DeleteFunc(e, func(_ string, accepted int64) bool { return accepted <= revision })
}
