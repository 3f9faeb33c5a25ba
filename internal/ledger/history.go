package ledger

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// MaxSteps bounds the durable life of a job: the first step and the latest others are kept.
const MaxSteps = 24

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

// note adds a step to the life of the job.
func (l *Ledger) note(j *job, r *Record, state string) {
	step := Step{At: r.At, Kind: r.Kind, Instance: l.owner, Attempt: r.Attempt, State: state, Reason: r.Reason}
	if r.Attempt != 0 {
		step.Worker = r.Worker
	}
	if len(j.steps) >= MaxSteps {
		j.steps = slices.Delete(j.steps, 1, 2)
	}
	j.steps = append(j.steps, step)
}

// History returns the durable life of the job, in order.
func (l *Ledger) History(id model.JobID) []Step {
	j, found := l.jobs[id]
	if !found {
		return nil
	}
	return slices.Clone(j.steps)
}
