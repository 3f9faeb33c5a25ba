package owner

import (
	"time"
)

// ask lets the loop of the leader compute an answer. It fails if this instance does not lead.
func ask[T any](o *Owner, wait time.Duration, f func(l *leader, now time.Time) T) (T, bool) {
	var zero T
	l := o.leading.Load()
	if l == nil {
		return zero, false
	}
	answer := make(chan T, 1)
	if !l.post(func(l *leader, now time.Time) { answer <- f(l, now) }) {
		return zero, false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case a := <-answer:
		return a, true
	case <-timer.C:
		return zero, false
	case <-l.done:
		return zero, false
	}
}

// NotifySubmitted tells the owner of a job that the store has; it reports whether this instance
// is the owner.
func (o *Owner) NotifySubmitted(id string, s Submission) bool {
	l := o.leading.Load()
	if l == nil {
		return false
	}
	return l.post(func(l *leader, now time.Time) { l.state.AddJob(s.job(id), nil, false, now) })
}

// NotifyCancelled tells the owner of a cancellation that the store has.
func (o *Owner) NotifyCancelled(id string) bool {
	l := o.leading.Load()
	if l == nil {
		return false
	}
	return l.post(func(l *leader, now time.Time) { l.state.Cancel(id, now) })
}

// JobStatus returns what the owner knows of a job; false if this instance is not the owner.
func (o *Owner) JobStatus(id string, wait time.Duration) (JobStatus, bool) {
	return ask(o, wait, func(l *leader, _ time.Time) JobStatus {
		j := l.state.Job(id)
		if j == nil {
			return JobStatus{}
		}
		return JobStatus{Known: true, Status: j.Status()}
	})
}

// QueuedJobs returns the number of jobs of a queue without a start.
func (o *Owner) QueuedJobs(queue string, wait time.Duration) (int, bool) {
	return ask(o, wait, func(l *leader, _ time.Time) int { return l.state.QueuedJobs(queue) })
}
