// Package audit is the trail of changes and of decisions on requests and jobs.
package audit

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Entry is one step in the life of a request, a job or the configuration.
type Entry struct {
	At       time.Time        `cbor:"1,keyasint" json:"at"`
	Instance model.InstanceID `cbor:"2,keyasint" json:"instance"`
	// Subject is the request key, the job id or the section that the step is about.
	Subject string `cbor:"3,keyasint" json:"subject"`
	// Event is a stable name, such as "job.started".
	Event  string `cbor:"4,keyasint" json:"event"`
	Actor  string `cbor:"5,keyasint,omitempty" json:"actor,omitempty"`
	Reason string `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
	// Verdict is the wire form of a verdict, if the step has one.
	Verdict  string         `cbor:"7,keyasint,omitempty" json:"verdict,omitempty"`
	Worker   model.WorkerID `cbor:"8,keyasint,omitempty" json:"worker,omitempty"`
	Attempt  uint32         `cbor:"9,keyasint,omitempty" json:"attempt,omitempty"`
	Revision model.Revision `cbor:"10,keyasint,omitempty" json:"revision,omitempty"`
	Before   string         `cbor:"11,keyasint,omitempty" json:"before,omitempty"`
	After    string         `cbor:"12,keyasint,omitempty" json:"after,omitempty"`
	// Durable says that the step is in the platform's store and outlives the instance.
	Durable bool `cbor:"13,keyasint,omitempty" json:"durable,omitempty"`
}

// Recorder takes entries; it never blocks the caller.
type Recorder interface {
	Record(e Entry)
}
