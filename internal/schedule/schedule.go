// Package schedule decides where tasks run, which tasks are throttled or evicted, which workers
// are quarantined and which jobs are parked. It performs no I/O, reads no clock and starts no
// goroutine.
package schedule

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Snapshot is the state of one partition on which a decision is based. A policy must not modify
// it.
type Snapshot struct {
	Now      time.Time
	Document *config.Document
	Workers  []WorkerView
	// Queue holds the jobs that wait for placement, in order of submission.
	Queue []QueuedJob
	// TeamUse is the sum of the reservations of each team's running attempts in this partition.
	TeamUse map[model.Team]model.Resources
}

// WorkerView is one worker with the attempts and reservations on it.
type WorkerView struct {
	Worker model.Worker
	// Reserved is the sum of the reservations of all attempts that may be executing.
	Reserved model.Resources
	Attempts []AttemptView
	// Services lists the services that have a target on the worker.
	Services []model.Service
	// Reachable says that the worker has listed its attempts to the owner of the partition and has
	// answered a recent renewal of its lease.
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
	// Throttle is the share of processor time that the attempt is limited to, 1 if it is not
	// throttled.
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

// Plan lists the actions that a policy decided on, in order of importance.
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
	// Reason explains the decision in one line for the audit trail.
	Reason string
}

// Signal throttles, checkpoints or stops an executing attempt, to protect other work on its
// worker, to make room or to evacuate its data centre.
type Signal struct {
	Attempt model.AttemptID
	Worker  model.WorkerID
	Kind    platform.SignalKind
	// Share is the share of processor time for a throttle, from 0 to 1.
	Share  float64
	Reason string
}

// ParkedJob is a job that is not retried until an operator resumes it.
type ParkedJob struct {
	Job    model.JobID
	Reason string
}

// AttemptEnd describes how an attempt ended.
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

// WorkerSamples are measurements of one worker. They arrive some time after the windows that they
// describe.
type WorkerSamples struct {
	Worker   model.WorkerID
	Usage    []platform.UsageSample
	Services []platform.ServiceSample
}

// Policy decides on snapshots of one partition and learns from reported measurements and ended
// attempts. It is used by one goroutine and is deterministic for a given seed and sequence of
// calls.
type Policy interface {
	// Plan decides what to do. It takes at most one millisecond for 1,200 workers and one queued
	// job.
	Plan(s *Snapshot) Plan
	// Observe learns from measurements of one worker.
	Observe(s WorkerSamples)
	// Ended learns from the end of an attempt.
	Ended(e AttemptEnd)
	// Unfeasible returns a description of the constraint that rules the job out if it can never
	// run on the workers, and "" if it can run.
	Unfeasible(spec model.JobSpec, doc *config.Document, workers []model.Worker) string
}
