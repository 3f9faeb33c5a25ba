// Package schedule decides where tasks run, which tasks are throttled or evicted, and
// which workers and jobs are at fault. It is pure: no I/O, no clock, no goroutine.
package schedule

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Snapshot is the state of one partition that a decision is based on. A policy must not
// modify it.
type Snapshot struct {
	Now      time.Time
	Document *config.Document
	Workers  []WorkerView
	// Queue holds the jobs that wait for placement, in order of submission.
	Queue []QueuedJob
	// TeamUse is what running attempts of each team hold in this partition.
	TeamUse map[model.Team]model.Resources
}

// WorkerView is one worker with its commitments.
type WorkerView struct {
	Worker model.Worker
	// Committed is the sum of the reservations of all attempts that may be executing.
	Committed model.Resources
	Attempts  []AttemptView
	// Services lists the services that have a target on the worker.
	Services []model.Service
	// Reachable says that the owner holds the worker's lease.
	Reachable bool
}

// AttemptView is an attempt that may be executing.
type AttemptView struct {
	ID          model.AttemptID
	Spec        model.JobSpec
	Reservation model.Resources
	Started     time.Time
	Progress    float64
	Evicting    bool
	// Throttle is the share of processor time in force, 1 if not throttled.
	Throttle float64
}

// QueuedJob is a job that waits for placement.
type QueuedJob struct {
	Spec      model.JobSpec
	Submitted time.Time
	// Attempt is the number that the next attempt will have.
	Attempt uint32
	// Progress is the share of the work that a checkpoint has saved.
	Progress float64
}

// Plan is what the policy wants done, in order of importance.
type Plan struct {
	Placements []Placement
	Signals    []Signal
	// Parked lists jobs to be parked, with the reason.
	Parked []ParkedJob
}

// Placement starts the next attempt of a queued job on a worker.
type Placement struct {
	Job         model.JobID
	Worker      model.WorkerID
	Reservation model.Resources
	// Reason is one line for the audit trail.
	Reason string
}

// Signal acts on an executing attempt to help its neighbours or its data centre.
type Signal struct {
	Attempt model.AttemptID
	Worker  model.WorkerID
	Kind    platform.SignalKind
	// Share is the throttle's share, from 0 to 1.
	Share  float64
	Reason string
}

// ParkedJob is a job that is not retried until an operator looks at it.
type ParkedJob struct {
	Job    model.JobID
	Reason string
}

// AttemptEnd tells the policy how an attempt ended.
type AttemptEnd struct {
	ID     model.AttemptID
	Spec   model.JobSpec
	Worker model.WorkerID
	State  model.AttemptState
	At     time.Time
	// RunTime is how long the attempt executed.
	RunTime time.Duration
	Error   string
}

// WorkerSamples are the lagging measurements of one worker.
type WorkerSamples struct {
	Worker   model.WorkerID
	Usage    []platform.UsageSample
	Services []platform.ServiceSample
}

// Policy decides on snapshots of one partition and learns from what is reported. It is
// used by one goroutine and is deterministic for a given seed and sequence of calls.
type Policy interface {
	// Plan decides. It takes at most one millisecond for 1,200 workers and one queued job.
	Plan(s *Snapshot) Plan
	// Observe learns from lagging measurements.
	Observe(s WorkerSamples)
	// Ended learns from the end of an attempt.
	Ended(e AttemptEnd)
	// Unfeasible returns the binding constraint in words if the job can never run on the
	// workers, and "" if it can.
	Unfeasible(spec model.JobSpec, doc *config.Document, workers []model.Worker) string
}
