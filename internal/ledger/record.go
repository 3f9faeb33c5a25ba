package ledger

import (
	"fmt"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// RecordKind is the kind of change that a journal record makes.
type RecordKind uint8

// The kinds of record.
const (
	RecordOwner       RecordKind = iota + 1 // a new owner took the partition
	RecordSubmitted                         // a job was accepted
	RecordStarted                           // an attempt may execute from now on
	RecordRefused                           // the attempt never executes; the job is queued again
	RecordEvicting                          // the attempt was asked to checkpoint or stop
	RecordEnded                             // the attempt ended
	RecordCancelled                         // a cancellation was requested
	RecordParked                            // the job is not placed until an operator resumes it
	RecordTransferred                       // the job is offered to another partition
	RecordAccepted                          // a transfer from another partition was accepted
	RecordClaimed                           // a request key was claimed
	RecordSettled                           // the outcome of a claimed request was recorded
	RecordForgotten                         // expired jobs, accepted transfers and claims were removed
	RecordTransferEnd                       // the other partition confirmed the transfer
	RecordResumed                           // an operator queued a parked job again
)

// String returns the kind's name.
func (k RecordKind) String() string {
	names := [...]string{"", "owner", "submitted", "started", "refused", "evicting", "ended", "cancelled",
		"parked", "transferred", "accepted", "claimed", "settled", "forgotten", "transfer-end", "resumed"}
	if k > 0 && int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (k RecordKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *RecordKind) UnmarshalText(text []byte) error {
	for candidate := RecordOwner; candidate <= RecordResumed; candidate++ {
		if candidate.String() == string(text) {
			*k = candidate
			return nil
		}
	}
	return fmt.Errorf("unknown record kind %q", text)
}

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
	Deadline    time.Time          `cbor:"17,keyasint,omitzero"`
	NotAfter    time.Time          `cbor:"18,keyasint,omitzero"`
	// Jobs and Keys are what a RecordForgotten removes, see applyForgotten.
	Jobs       []model.JobID      `cbor:"19,keyasint,omitempty"`
	Keys       []model.RequestKey `cbor:"20,keyasint,omitempty"`
	Exclusive  bool               `cbor:"21,keyasint,omitempty"`
	DataCentre model.DataCentre   `cbor:"22,keyasint,omitempty"`
	Submitted  time.Time          `cbor:"23,keyasint,omitzero"`
	// Signal is what an evicted attempt was asked to do.
	Signal platform.SignalKind `cbor:"24,keyasint,omitempty"`
	// Transfer is the accepted transfer, with the state of the job at its source.
	Transfer *Transfer `cbor:"25,keyasint,omitempty"`
	// Hop is the number of the transfer of the job that the record is about.
	Hop uint32 `cbor:"26,keyasint,omitempty"`
}

// RecordError reports that a record cannot be applied to the present state. A replay must stop
// at it, because either the journal or the program is faulty.
type RecordError struct {
	Kind    RecordKind
	Subject string
	Problem string
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record %s of %q: %s", e.Kind, e.Subject, e.Problem)
}

// applyError returns the error of a record that cannot be applied to the present state.
func (r *Record) applyError(format string, args ...any) error {
	subject := string(r.Job)
	if subject == "" {
		subject = string(r.Key)
	}
	return &RecordError{Kind: r.Kind, Subject: subject, Problem: fmt.Sprintf(format, args...)}
}

// normalise rounds the times and truncates the reason, so that the record equals the one that is
// decoded from the journal.
func (r *Record) normalise() {
	r.At = roundToMillisecond(r.At)
	r.Deadline = roundToMillisecond(r.Deadline)
	r.NotAfter = roundToMillisecond(r.NotAfter)
	r.Submitted = roundToMillisecond(r.Submitted)
	r.Reason = truncate(r.Reason, maxReasonBytes)
	if r.Transfer != nil {
		r.Transfer.normalise()
	}
}

// payloadSize returns the estimated size, in bytes, of the record's contents of variable length.
func (r *Record) payloadSize() int {
	size := len(r.Reason)
	if r.Spec != nil {
		size += len(r.Spec.Payload)
	}
	if r.Transfer != nil {
		size += len(r.Transfer.Spec.Payload) + len(r.Transfer.History)*recordBaseBytes
	}
	return size
}

// Apply replays one durable record. It queues neither records nor actions.
func (l *Ledger) Apply(r Record) error {
	r.normalise()
	return l.apply(&r)
}

// apply applies one record to the state.
func (l *Ledger) apply(r *Record) error {
	switch r.Kind {
	case RecordOwner:
		return l.applyOwner(r)
	case RecordSubmitted:
		return l.applySubmitted(r)
	case RecordAccepted:
		return l.applyAccepted(r)
	case RecordClaimed:
		return l.applyClaimed(r)
	case RecordSettled:
		return l.applySettled(r)
	case RecordForgotten:
		return l.applyForgotten(r)
	}
	j, found := l.jobs[r.Job]
	if !found {
		return r.applyError("no such job")
	}
	return l.applyToJob(j, r)
}

// applyToJob applies one record to a known job.
func (l *Ledger) applyToJob(j *job, r *Record) error {
	switch r.Kind {
	case RecordStarted:
		return l.applyStarted(j, r)
	case RecordRefused:
		return l.applyRefused(j, r)
	case RecordEvicting:
		return l.applyEvicting(j, r)
	case RecordEnded:
		return l.applyEnded(j, r)
	case RecordCancelled:
		return l.applyCancelled(j, r)
	case RecordParked:
		return l.applyParked(j, r)
	case RecordResumed:
		return l.applyResumed(j, r)
	case RecordTransferred:
		return l.applyTransferred(j, r)
	case RecordTransferEnd:
		return l.applyTransferEnd(j, r)
	}
	return r.applyError("unknown kind")
}

func (l *Ledger) applyOwner(r *Record) error {
	if r.Epoch <= l.epoch {
		return r.applyError("epoch %d is not above epoch %d", r.Epoch, l.epoch)
	}
	l.owner = r.Owner
	l.epoch = r.Epoch
	l.ownedSince = r.At
	clear(l.fenced)
	return nil
}
