// Package audit records configuration changes and decisions on requests and jobs.
package audit

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Entry is one event in the history of a request, a job or the configuration.
type Entry struct {
	At       time.Time        `cbor:"1,keyasint" json:"at"`
	Instance model.InstanceID `cbor:"2,keyasint" json:"instance"`
	// Subject is the request key, the job id or the section that the event is about.
	Subject string `cbor:"3,keyasint" json:"subject"`
	// Event is the stable name of the event, such as "job.started".
	Event  string `cbor:"4,keyasint" json:"event"`
	Actor  string `cbor:"5,keyasint,omitempty" json:"actor,omitempty"`
	Reason string `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
	// Verdict is the wire form of a verdict, if the event has one.
	Verdict  string         `cbor:"7,keyasint,omitempty" json:"verdict,omitempty"`
	Worker   model.WorkerID `cbor:"8,keyasint,omitempty" json:"worker,omitempty"`
	Attempt  uint32         `cbor:"9,keyasint,omitempty" json:"attempt,omitempty"`
	Revision model.Revision `cbor:"10,keyasint,omitempty" json:"revision,omitempty"`
	// Before and After are the changed lines of an edit. For an event of a job, After is the state
	// of the attempt as its worker reported it, or the signal that was sent to the attempt.
	Before string `cbor:"11,keyasint,omitempty" json:"before,omitempty"`
	After  string `cbor:"12,keyasint,omitempty" json:"after,omitempty"`
	// Durable says that the event is also recorded in the platform's store, where it outlives the
	// instance.
	Durable bool `cbor:"13,keyasint,omitempty" json:"durable,omitempty"`
}

// Recorder records entries. Record must not block the caller.
type Recorder interface {
	Record(e Entry)
}
