package ledger

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Start is an action: the message that starts a recorded attempt.
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
	// Share is the share of processor time that SignalThrottle limits the attempt to.
	Share float64
}

// Transfer is an action: the offer of a job to another partition, repeated until that partition
// accepts it.
type Transfer struct {
	To        model.Partition `cbor:"1,keyasint"`
	Spec      model.JobSpec   `cbor:"2,keyasint"`
	Submitted time.Time       `cbor:"3,keyasint"`
	// Attempt is the last attempt number used.
	Attempt    uint32             `cbor:"4,keyasint,omitempty"`
	Checkpoint model.CheckpointID `cbor:"5,keyasint,omitempty"`
	Progress   float64            `cbor:"6,keyasint,omitempty"`
	// Hop is the number of this transfer of the job, counted from 1. Submitted and Hop together
	// identify the offer.
	Hop uint32 `cbor:"7,keyasint"`
	// At is when the source recorded the transfer.
	At time.Time `cbor:"8,keyasint"`
	// Home is the partition that the job was submitted to.
	Home      model.Partition `cbor:"9,keyasint"`
	Evictions int             `cbor:"10,keyasint,omitempty"`
	Failures  int             `cbor:"11,keyasint,omitempty"`
	// History holds the recorded state changes of the job so far.
	History []HistoryEntry `cbor:"12,keyasint,omitempty"`
}

// normalise rounds the times to milliseconds, see roundToMillisecond. The history is copied first,
// because its entries are shared with the caller that passed the transfer.
func (t *Transfer) normalise() {
	t.Submitted = roundToMillisecond(t.Submitted)
	t.At = roundToMillisecond(t.At)
	history := make([]HistoryEntry, len(t.History))
	for i, s := range t.History {
		s.At = roundToMillisecond(s.At)
		history[i] = s
	}
	t.History = history
}

// Actions are the messages that may be sent once the records queued with them are durable.
type Actions struct {
	Starts    []Start
	Signals   []Signal
	Transfers []Transfer
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
