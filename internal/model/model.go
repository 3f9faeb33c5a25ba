// Package model holds the types that all other packages share. Their only behaviour is arithmetic
// on resources and the text forms of states.
package model

import (
	"time"
)

// Identifiers are distinct types, so that the compiler rejects one in place of another.
type (
	// InstanceID identifies one process lifetime of an entry instance.
	InstanceID string
	// WorkerID identifies a machine that runs tasks.
	WorkerID string
	// DataCentre names a failure domain that an operator can take out of service.
	DataCentre string
	// Rack names a group of workers that share power and a switch.
	Rack string
	// Team names the owner of a section of the configuration.
	Team string
	// Customer names the party on whose behalf a request or job is executed.
	Customer string
	// Service names a latency-critical service behind targets.
	Service string
	// TargetID identifies one runner process that answers requests of a service.
	TargetID string
	// JobID identifies a job. It has the form team/name; the submitter chooses the name.
	JobID string
	// JobClass groups jobs that are expected to behave alike. Size estimates and interference are
	// learned per class.
	JobClass string
	// RequestKey identifies a request. Claims and the explain call look requests up by it.
	RequestKey string
	// CheckpointID names the saved state of an attempt.
	CheckpointID string
)

// Partition is the number of a partition, from 0. Each partition is owned as a unit by one
// instance at a time.
type Partition int

// Epoch numbers successive ownerships of a partition. A higher epoch fences off the owners with
// lower ones.
type Epoch uint64

// Revision is a store revision of the configuration.
type Revision int64

// Resources is an amount of CPU, in thousandths of a core, of memory, in megabytes, and of
// accelerators.
type Resources struct {
	MilliCPU     int64 `cbor:"1,keyasint,omitempty" json:"milliCPU" yaml:"milliCPU"`
	MemoryMB     int64 `cbor:"2,keyasint,omitempty" json:"memoryMB" yaml:"memoryMB"`
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators" yaml:"accelerators"`
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU &&
		r.MemoryMB <= capacity.MemoryMB &&
		r.Accelerators <= capacity.Accelerators
}

// Worker is a machine of the platform.
type Worker struct {
	ID         WorkerID   `cbor:"1,keyasint" json:"id"`
	Addr       string     `cbor:"2,keyasint" json:"addr"`
	DataCentre DataCentre `cbor:"3,keyasint" json:"dataCentre"`
	Rack       Rack       `cbor:"4,keyasint" json:"rack"`
	// Capacity is what the scheduler may reserve for attempts: the resources of the machine minus
	// those that the platform reserves.
	Capacity Resources `cbor:"5,keyasint" json:"capacity"`
	// Leaving says that the platform is withdrawing the machine.
	Leaving bool `cbor:"6,keyasint,omitempty" json:"leaving,omitempty"`
}

// Target is a runner process that answers requests of one service.
type Target struct {
	ID         TargetID   `json:"id"`
	Service    Service    `json:"service"`
	Addr       string     `json:"addr"`
	DataCentre DataCentre `json:"dataCentre"`
	Worker     WorkerID   `json:"worker"`
	// Slots is the number of requests that the runner executes at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the runner accepts.
	Connections int  `json:"connections"`
	Leaving     bool `json:"leaving,omitempty"`
}

// Priority orders jobs; jobs of a higher priority are placed first.
type Priority uint8

const (
	// PriorityBatch is ordinary batch work.
	PriorityBatch Priority = iota
	// PriorityUrgent is batch work that is placed before ordinary batch work.
	PriorityUrgent
	// PriorityService is a latency-critical task. It is placed first and never evicted for batch
	// work.
	PriorityService
)

// JobSpec is what a team submits.
type JobSpec struct {
	ID       JobID    `cbor:"1,keyasint" json:"id"`
	Team     Team     `cbor:"2,keyasint" json:"team"`
	Customer Customer `cbor:"3,keyasint,omitempty" json:"customer,omitempty"`
	Class    JobClass `cbor:"4,keyasint" json:"class"`
	Priority Priority `cbor:"5,keyasint,omitempty" json:"priority,omitempty"`
	// Declared is the size that the team states. Actual use often differs from it by a large
	// factor.
	Declared Resources `cbor:"6,keyasint" json:"declared"`
	// DeclaredRun is the run time that the team states. Actual run times often differ from it by a
	// large factor.
	DeclaredRun time.Duration `cbor:"7,keyasint,omitempty" json:"declaredRun,omitempty"`
	// DataCentres lists where the job may run; empty means anywhere.
	DataCentres []DataCentre `cbor:"8,keyasint,omitempty" json:"dataCentres,omitempty"`
	// Payload is passed to the worker without being interpreted. It has at most MaxPayload bytes.
	Payload []byte `cbor:"9,keyasint,omitempty" json:"payload,omitempty"`
}

// MaxPayload bounds the payload of a job, in bytes.
const MaxPayload = 16 << 10

// JobState is the state of a job in its ledger.
type JobState uint8

const (
	// JobQueued waits for placement.
	JobQueued JobState = iota
	// JobRunning has an attempt that may be executing.
	JobRunning
	// JobEvicting has an attempt that is being checkpointed or stopped, to be resumed.
	JobEvicting
	// JobFinished completed; its outcome is known.
	JobFinished
	// JobCancelled was withdrawn and no attempt executes.
	JobCancelled
	// JobParked failed on several healthy workers and waits for an operator.
	JobParked
	// JobTransferred was moved to another partition.
	JobTransferred
)

// String returns the state's name.
func (s JobState) String() string {
	names := [...]string{"queued", "running", "evicting", "finished", "cancelled", "parked", "transferred"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (s JobState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// AttemptID identifies one execution of a job. Numbers start at 1, or above all numbers used by an
// earlier job with the same id that was removed from the ledger. Each attempt is created by
// exactly one journal record.
type AttemptID struct {
	Job    JobID  `cbor:"1,keyasint" json:"job"`
	Number uint32 `cbor:"2,keyasint" json:"number"`
}

// AttemptState is the state of an attempt as its worker reports it.
type AttemptState uint8

const (
	// AttemptRunning is executing.
	AttemptRunning AttemptState = iota
	// AttemptSucceeded ended and delivered its complete result.
	AttemptSucceeded
	// AttemptFailed ended with an error of its own.
	AttemptFailed
	// AttemptCheckpointed saved its state and ended.
	AttemptCheckpointed
	// AttemptStopped was stopped on request and saved no checkpoint.
	AttemptStopped
	// AttemptLost ended because the worker's lease lapsed or the worker restarted.
	AttemptLost
	// AttemptRefused never started: the worker proved that it did not and will not run it.
	AttemptRefused
)

// String returns the state's name.
func (s AttemptState) String() string {
	names := [...]string{"running", "succeeded", "failed", "checkpointed", "stopped", "lost", "refused"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (s AttemptState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Ended reports whether the attempt no longer executes.
func (s AttemptState) Ended() bool { return s != AttemptRunning }

// RequestClass says how often a request may be executed.
type RequestClass string

const (
	// Idempotent requests may be executed again.
	Idempotent RequestClass = "idempotent"
	// Exclusive requests never execute in two places at once.
	Exclusive RequestClass = "exclusive"
	// AtMostOnce requests are not idempotent and execute at most once.
	AtMostOnce RequestClass = "once"
)
