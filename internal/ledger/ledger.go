// Package ledger is the state machine of one partition: jobs, attempts, commitments of
// workers and claims of request keys. It is pure: Step decides and Apply replays.
package ledger

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// RecordKind names what a journal record changes.
type RecordKind uint8

// The kinds of record.
const (
	RecordOwner       RecordKind = iota + 1 // a new owner took the partition
	RecordSubmitted                         // a job was accepted
	RecordStarted                           // an attempt may execute from now on
	RecordRefused                           // the attempt never executes; the job is queued again
	RecordEvicting                          // the attempt was asked to checkpoint or stop
	RecordEnded                             // the attempt ended
	RecordCancelled                         // a cancellation was asked for
	RecordParked                            // the job waits for an operator
	RecordTransferred                       // the job left for another partition
	RecordAccepted                          // the job arrived from another partition
	RecordClaimed                           // a request key was claimed
	RecordSettled                           // a claimed request ended with a verdict
	RecordForgotten                         // ended jobs and old claims left the ledger
	RecordTransferEnd                       // the other partition confirmed the transfer
)

// Record is one change of the ledger. Only the fields of its kind are set.
type Record struct {
	Kind        RecordKind         `cbor:"1,keyasint"`
	At          time.Time          `cbor:"2,keyasint"`
	Job         model.JobID        `cbor:"3,keyasint,omitempty"`
	Attempt     uint32             `cbor:"4,keyasint,omitempty"`
	Worker      model.WorkerID     `cbor:"5,keyasint,omitempty"`
	Reservation *model.Resources   `cbor:"6,keyasint,omitempty"`
	Spec        *model.JobSpec     `cbor:"7,keyasint,omitempty"`
	State       model.AttemptState `cbor:"8,keyasint,omitempty"`
	Checkpoint  model.CheckpointID `cbor:"9,keyasint,omitempty"`
	Progress    float64            `cbor:"10,keyasint,omitempty"`
	Partition   model.Partition    `cbor:"11,keyasint,omitempty"`
	Key         model.RequestKey   `cbor:"12,keyasint,omitempty"`
	Verdict     verdict.Verdict    `cbor:"13,keyasint,omitempty"`
	Reason      string             `cbor:"14,keyasint,omitempty"`
	Owner       model.InstanceID   `cbor:"15,keyasint,omitempty"`
	Epoch       model.Epoch        `cbor:"16,keyasint,omitempty"`
	Deadline    time.Time          `cbor:"17,keyasint,omitempty"`
	NotAfter    time.Time          `cbor:"18,keyasint,omitempty"`
	Jobs        []model.JobID      `cbor:"19,keyasint,omitempty"`
	Keys        []model.RequestKey `cbor:"20,keyasint,omitempty"`
	Exclusive   bool               `cbor:"21,keyasint,omitempty"`
	DataCentre  model.DataCentre   `cbor:"22,keyasint,omitempty"`
	Submitted   time.Time          `cbor:"23,keyasint,omitempty"`
}

// Start is an action: the start message of a recorded attempt.
type Start struct {
	Worker model.WorkerID
	// DataCentre is checked against the configuration just before the message goes out.
	DataCentre model.DataCentre
	Attempt    platform.StartAttempt
}

// Signal is an action: a message about an executing attempt.
type Signal struct {
	Worker  model.WorkerID
	Attempt model.AttemptID
	Kind    platform.SignalKind
	Share   float64
}

// Transfer is an action: a job to be offered to another partition until it accepts.
type Transfer struct {
	To        model.Partition
	Spec      model.JobSpec
	Submitted time.Time
	// Attempt is the last attempt number used.
	Attempt    uint32
	Checkpoint model.CheckpointID
	Progress   float64
}

// Actions are the messages that may go out once the records before them are durable.
type Actions struct {
	Starts    []Start
	Signals   []Signal
	Transfers []Transfer
}

// ClaimState says what is known of a claimed request key.
type ClaimState uint8

const (
	// ClaimOpen is held by a request that may be executing.
	ClaimOpen ClaimState = iota + 1
	// ClaimSettled ended with a verdict.
	ClaimSettled
)

// Claim is the entry of a request key.
type Claim struct {
	Key       model.RequestKey
	State     ClaimState
	Holder    model.InstanceID
	Exclusive bool
	Verdict   verdict.Verdict
	Taken     time.Time
	Deadline  time.Time
}

// JobStatus is what the ledger knows of a job.
type JobStatus struct {
	Spec       model.JobSpec      `json:"spec"`
	State      model.JobState     `json:"state"`
	Submitted  time.Time          `json:"submitted"`
	Attempt    uint32             `json:"attempt"`
	Worker     model.WorkerID     `json:"worker,omitempty"`
	Checkpoint model.CheckpointID `json:"checkpoint,omitempty"`
	Progress   float64            `json:"progress"`
	Evictions  int                `json:"evictions"`
	Failures   int                `json:"failures"`
	Reason     string             `json:"reason,omitempty"`
	MovedTo    model.Partition    `json:"movedTo,omitempty"`
	Home       model.Partition    `json:"home"`
}

// Placement starts the next attempt of a queued job.
type Placement struct {
	Job         model.JobID
	Worker      model.Worker
	Reservation model.Resources
	// NotAfter is the time after which the worker refuses the start.
	NotAfter time.Time
	Reason   string
}

// ClaimRequest asks for a request key.
type ClaimRequest struct {
	Key       model.RequestKey `cbor:"1,keyasint"`
	Holder    model.InstanceID `cbor:"2,keyasint"`
	Exclusive bool             `cbor:"3,keyasint,omitempty"`
	Deadline  time.Time        `cbor:"4,keyasint"`
}

// Step is one entry of the durable life of a job.
type Step struct {
	At       time.Time        `cbor:"1,keyasint" json:"at"`
	Kind     RecordKind       `cbor:"2,keyasint" json:"kind"`
	Instance model.InstanceID `cbor:"3,keyasint,omitempty" json:"instance,omitempty"`
	Attempt  uint32           `cbor:"4,keyasint,omitempty" json:"attempt,omitempty"`
	Worker   model.WorkerID   `cbor:"5,keyasint,omitempty" json:"worker,omitempty"`
	State    string           `cbor:"6,keyasint,omitempty" json:"state,omitempty"`
	Reason   string           `cbor:"7,keyasint,omitempty" json:"reason,omitempty"`
}
