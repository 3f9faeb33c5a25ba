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

// NotifySubmitted notifies the leader of a job that is already in the store. It returns false if
// this instance does not lead.
func (o *Owner) NotifySubmitted(id string, s Submission) bool {
	l := o.leading.Load()
	if l == nil {
		return false
	}
	return l.post(func(l *leader, now time.Time) { l.state.AddJob(s.job(id), nil, false, now) })
}

// NotifyCancelled notifies the leader of a cancellation that is already in the store. It returns
// false if this instance does not lead.
func (o *Owner) NotifyCancelled(id string) bool {
	l := o.leading.Load()
	if l == nil {
		return false
	}
	return l.post(func(l *leader, now time.Time) { l.state.Cancel(id, now) })
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
