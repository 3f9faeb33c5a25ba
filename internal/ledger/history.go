package ledger

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Limits of the durable lives of jobs: the first step and the latest others are kept.
const (
	// MaxJobHistoryEntries is the number of history entries that a job keeps.
	MaxJobHistoryEntries = 24
	// MaxTotalHistoryEntries is the number of history entries of all jobs above which a job keeps minSteps.
	MaxTotalHistoryEntries = 10000
	minSteps               = 3
	// maxStepText bounds the reason of a step, in bytes.
	maxStepText = 96
)

// HistoryEntry is one entry of the durable history of a job.
type HistoryEntry struct {
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
	step := HistoryEntry{At: r.At, Kind: r.Kind, Instance: l.owner, Attempt: r.Attempt, State: state, Reason: shorten(r.Reason, maxStepText)}
	if r.Attempt != 0 {
		step.Worker = r.Worker
	}
	for len(j.steps) >= l.stepLimit() {
		j.steps = slices.Delete(j.steps, 1, 2)
		l.stepCount--
	}
	j.steps = append(j.steps, step)
	l.stepCount++
}

// stepLimit returns the number of steps that a job may keep at present.
func (l *Ledger) stepLimit() int {
	if l.stepCount >= MaxTotalHistoryEntries {
		return minSteps
	}
	return MaxJobHistoryEntries
}

// History returns the durable life of the job, in order.
func (l *Ledger) History(id model.JobID) []HistoryEntry {
	j, found := l.jobs[id]
	if !found {
		return nil
	}
	return slices.Clone(j.steps)
}
