package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
)

// JobStatus is the state of a job.
type JobStatus struct {
	Spec      model.JobSpec  `json:"spec"`
	State     model.JobState `json:"state"`
	Submitted time.Time      `json:"submitted"`
	Attempt   uint32         `json:"attempt"`
	// Worker is where the current attempt may be executing.
	Worker     model.WorkerID     `json:"worker,omitempty"`
	Checkpoint model.CheckpointID `json:"checkpoint,omitempty"`
	// Progress is the share of the work that the last checkpoint covers, from 0 to 1.
	Progress  float64 `json:"progress"`
	Evictions int     `json:"evictions"`
	Failures  int     `json:"failures"`
	Reason    string  `json:"reason,omitempty"`
	// Cancelling says that the job ends as cancelled once its attempt has ended.
	Cancelling bool `json:"cancelling,omitempty"`
	// MovedTo is the partition that the job was transferred to, if its state is JobTransferred.
	MovedTo model.Partition `json:"movedTo,omitempty"`
	// Home is the partition that the job was submitted to.
	Home model.Partition `json:"home"`
}

// status returns the status of the job.
func (j *job) status() JobStatus {
	s := JobStatus{
		Spec:       j.spec,
		State:      j.state,
		Submitted:  j.submitted,
		Attempt:    j.attempt,
		Checkpoint: j.checkpoint,
		Progress:   j.progress,
		Evictions:  j.evictions,
		Failures:   j.failures,
		Reason:     j.reason,
		Cancelling: j.cancelling,
		Home:       j.home,
	}
	if j.current != nil {
		s.Worker = j.current.worker
	}
	if j.state == model.JobTransferred {
		s.MovedTo = j.movedTo
	}
	return s
}

// Job returns the status of one job.
func (l *Ledger) Job(id model.JobID) (JobStatus, bool) {
	j, found := l.jobs[id]
	if !found {
		return JobStatus{}, false
	}
	return j.status(), true
}

// Jobs returns the status of every job, ordered by submission.
func (l *Ledger) Jobs() []JobStatus {
	statuses := make([]JobStatus, 0, len(l.jobs))
	for _, j := range l.sortedJobs() {
		statuses = append(statuses, j.status())
	}
	return statuses
}

// sortedJobs returns the jobs ordered by submission.
func (l *Ledger) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(l.jobs), compareSubmission)
}

// Reserved returns the sum of the reservations of all attempts that may be executing on
// the worker.
func (l *Ledger) Reserved(w model.WorkerID) model.Resources {
	c, found := l.workers[w]
	if !found {
		return model.Resources{}
	}
	return c.total
}

// Queue returns the jobs that wait for placement, in order of submission.
func (l *Ledger) Queue() []schedule.QueuedJob {
	waiting := l.queue.compact()
	queue := make([]schedule.QueuedJob, len(waiting))
	for i, j := range waiting {
		queue[i] = schedule.QueuedJob{Spec: j.spec, Submitted: j.submitted, Attempt: j.attempt + 1, Progress: j.progress}
	}
	return queue
}

// Attempts returns the attempts that may be executing on the worker.
func (l *Ledger) Attempts(w model.WorkerID) []schedule.AttemptView {
	attempts := l.attemptsOf(w)
	views := make([]schedule.AttemptView, len(attempts))
	for i, a := range attempts {
		views[i] = schedule.AttemptView{
			ID:          a.id,
			Spec:        l.jobs[a.id.Job].spec,
			Reservation: a.reservation,
			Started:     a.started,
			Progress:    a.reportedProgress,
			Evicting:    a.evictionSignal != "" || l.jobs[a.id.Job].cancelling,
			Throttle:    1,
		}
	}
	return views
}

// TeamUse returns for each team the sum of the reservations of its attempts that may be executing.
func (l *Ledger) TeamUse() map[model.Team]model.Resources {
	use := map[model.Team]model.Resources{}
	for _, c := range l.workers {
		for _, a := range c.attempts {
			team := l.jobs[a.id.Job].spec.Team
			use[team] = use[team].Add(a.reservation)
		}
	}
	return use
}

// WorkersWithAttempts returns the ids of the workers with attempts that may be executing, in order.
func (l *Ledger) WorkersWithAttempts() []model.WorkerID {
	return slices.Sorted(maps.Keys(l.workers))
}

// PendingSignals returns the signals of all attempts that were asked to end and may still be
// executing. A new owner sends them again, because the former owner may not have sent them.
func (l *Ledger) PendingSignals() []Signal {
	var signals []Signal
	for _, w := range l.WorkersWithAttempts() {
		for _, a := range l.attemptsOf(w) {
			if kind := l.requiredSignal(a); kind != "" {
				signals = append(signals, Signal{Worker: w, Attempt: a.id, Kind: kind})
			}
		}
	}
	return signals
}

// requiredSignal returns the signal that the attempt must receive, or "" if there is none or the
// record that asks for it is not known to be durable.
func (l *Ledger) requiredSignal(a *attempt) platform.SignalKind {
	j := l.jobs[a.id.Job]
	if !l.durable(j) {
		return ""
	}
	if j.cancelling {
		return platform.SignalStop
	}
	return a.evictionSignal
}

// PendingStart returns the start message of an attempt that may be executing. It can be sent
// again after a lost answer, because a worker executes an attempt id at most once.
func (l *Ledger) PendingStart(a model.AttemptID) (Start, bool) {
	j := l.executing(a)
	if j == nil || !l.durable(j) {
		return Start{}, false
	}
	return j.start(), true
}

// Claims returns every claim, ordered by key.
func (l *Ledger) Claims() []Claim {
	claims := make([]Claim, 0, len(l.claims))
	for _, c := range l.claims {
		claims = append(claims, *c)
	}
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Key, b.Key) })
	return claims
}

// Epoch returns the epoch of the last recorded owner.
func (l *Ledger) Epoch() model.Epoch { return l.epoch }
