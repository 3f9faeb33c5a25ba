package ledger

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Limits of the durable histories of jobs. A history that is too long keeps its first entry and
// its latest ones.
const (
	// MaxJobHistoryEntries is the number of history entries that a job keeps.
	MaxJobHistoryEntries = 24
	// MaxTotalHistoryEntries is the number of history entries of all jobs from which on a job
	// keeps at most minJobHistoryEntries when an entry is added to it.
	MaxTotalHistoryEntries = 10000
	minJobHistoryEntries   = 3
	// maxHistoryReasonBytes bounds the reason of a history entry, in bytes.
	maxHistoryReasonBytes = 96
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

// appendHistory adds an entry to the history of the job and deletes older ones beyond the limit.
func (l *Ledger) appendHistory(j *job, r *Record, state string) {
	entry := HistoryEntry{At: r.At, Kind: r.Kind, Instance: l.owner, Attempt: r.Attempt, State: state, Reason: truncate(r.Reason, maxHistoryReasonBytes)}
	if r.Attempt != 0 {
		entry.Worker = r.Worker
	}
	for len(j.history) >= l.historyLimit() {
		j.history = slices.Delete(j.history, 1, 2)
		l.historyEntries--
	}
	j.history = append(j.history, entry)
	l.historyEntries++
}

// historyLimit returns the number of history entries that a job may have at present.
func (l *Ledger) historyLimit() int {
	if l.historyEntries >= MaxTotalHistoryEntries {
		return minJobHistoryEntries
	}
	return MaxJobHistoryEntries
}

// History returns the history of the job, the oldest entry first.
func (l *Ledger) History(id model.JobID) []HistoryEntry {
	j, found := l.jobs[id]
	if !found {
		return nil
	}
	return slices.Clone(j.history)
}
