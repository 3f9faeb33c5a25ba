package owner

import (
	"time"
)

// query runs f in the leader's loop and returns its result. It returns false if this instance does
// not lead or the loop does not answer within the given time.
func query[T any](o *Owner, wait time.Duration, f func(l *leader, now time.Time) T) (T, bool) {
	var zero T
	l := o.leading.Load()
	if l == nil {
		return zero, false
	}
	result := make(chan T, 1)
	if !l.post(func(l *leader, now time.Time) { result <- f(l, now) }) {
		return zero, false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case a := <-result:
		return a, true
	case <-timer.C:
		return zero, false
	case <-l.done:
		return zero, false
	}
}

// NotifySubmitted notifies the leader of a job that has been in the store since a revision. It returns false if
// this instance does not lead.
func (o *Owner) NotifySubmitted(id string, revision int64, s Submission) bool {
	l := o.leading.Load()
	if l == nil {
		return false
	}
	return l.post(func(l *leader, now time.Time) { l.addNotified(id, revision, s, now) })
}

// addNotified adds a job of which an instance tells. The instance may have stood still since it stored the job, so that the job is
// forgotten by now: what the watch has told of is known or forgotten. A revision of 0, which earlier versions send, leaves the job to
// the watch.
func (l *leader) addNotified(id string, revision int64, s Submission, now time.Time) {
	if l.state.Job(id) != nil {
		return
	}
	if revision <= l.jobsRevision || l.forgotten.has(id, revision) {
		l.log.Info().Str("event", "job.notified-late").Str("job", id).Int64("revision", revision).Int64("applied", l.jobsRevision).Send()
		return
	}
	l.addJob(s.job(id, revision), nil, false, now)
}

// NotifyCancelled notifies the leader of a cancellation, which is already in the store, of the job that has been there since a
// revision. It returns false if this instance does not lead.
func (o *Owner) NotifyCancelled(id string, revision int64) bool {
	l := o.leading.Load()
	if l == nil {
		return false
	}
	return l.post(func(l *leader, now time.Time) { l.cancelNotified(id, revision, now) })
}

// JobStatus returns the owner's view of a job. It returns false if this instance does not lead or
// does not answer within the given time.
func (o *Owner) JobStatus(id string, wait time.Duration) (JobStatus, bool) {
	return query(o, wait, func(l *leader, _ time.Time) JobStatus {
		j := l.state.Job(id)
		if j == nil {
			return JobStatus{}
		}
		return JobStatus{Known: true, Status: j.Status()}
	})
}

// QueuedJobs returns the number of jobs of a queue of which no task has been started. It returns
// false if this instance does not lead or does not answer within the given time.
func (o *Owner) QueuedJobs(queue string, wait time.Duration) (int, bool) {
	return query(o, wait, func(l *leader, _ time.Time) int { return l.state.QueuedJobs(queue) })
}
