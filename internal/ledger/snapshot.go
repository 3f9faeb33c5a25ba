package ledger

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// encoding is the CBOR encoding of records and snapshots.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	options := cbor.EncOptions{Time: cbor.TimeUnixMicro, ShortestFloat: cbor.ShortestFloat16}
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// snapshot is the encoded form of a ledger.
type snapshot struct {
	Owner                 model.InstanceID           `cbor:"1,keyasint,omitempty"`
	Epoch                 model.Epoch                `cbor:"2,keyasint,omitempty"`
	Jobs                  []jobSnapshot              `cbor:"3,keyasint,omitempty"`
	Claims                []Claim                    `cbor:"4,keyasint,omitempty"`
	AcceptedTransfers     []acceptedTransferSnapshot `cbor:"5,keyasint,omitempty"`
	OwnedSince            time.Time                  `cbor:"6,keyasint,omitzero"`
	HighestExpiredAttempt uint32                     `cbor:"7,keyasint,omitempty"`
	LatestExpiredTransfer time.Time                  `cbor:"8,keyasint,omitzero"`
}

// jobSnapshot is the encoded form of a job.
type jobSnapshot struct {
	Spec                model.JobSpec      `cbor:"1,keyasint"`
	Digest              []byte             `cbor:"2,keyasint"`
	State               model.JobState     `cbor:"3,keyasint,omitempty"`
	Submitted           time.Time          `cbor:"4,keyasint"`
	Ended               time.Time          `cbor:"5,keyasint,omitzero"`
	Attempt             uint32             `cbor:"6,keyasint,omitempty"`
	Current             *attemptSnapshot   `cbor:"7,keyasint,omitempty"`
	Checkpoint          model.CheckpointID `cbor:"8,keyasint,omitempty"`
	Progress            float64            `cbor:"9,keyasint,omitempty"`
	Evictions           int                `cbor:"10,keyasint,omitempty"`
	Failures            int                `cbor:"11,keyasint,omitempty"`
	Reason              string             `cbor:"12,keyasint,omitempty"`
	Cancelling          bool               `cbor:"13,keyasint,omitempty"`
	Home                model.Partition    `cbor:"14,keyasint,omitempty"`
	MovedTo             model.Partition    `cbor:"15,keyasint,omitempty"`
	Hop                 uint32             `cbor:"16,keyasint,omitempty"`
	TransferUnconfirmed bool               `cbor:"17,keyasint,omitempty"`
	History             []HistoryEntry     `cbor:"18,keyasint,omitempty"`
	IncomingTransferAt  time.Time          `cbor:"19,keyasint,omitzero"`
}

// attemptSnapshot is the encoded form of an attempt that may be executing.
type attemptSnapshot struct {
	Worker      model.WorkerID      `cbor:"1,keyasint"`
	DataCentre  model.DataCentre    `cbor:"2,keyasint,omitempty"`
	Reservation model.Resources     `cbor:"3,keyasint"`
	Started     time.Time           `cbor:"4,keyasint"`
	NotAfter    time.Time           `cbor:"5,keyasint"`
	Epoch       model.Epoch         `cbor:"6,keyasint"`
	Evicting    platform.SignalKind `cbor:"7,keyasint,omitempty"`
}

// acceptedTransferSnapshot is the encoded form of an acceptedTransfer.
type acceptedTransferSnapshot struct {
	Job           model.JobID `cbor:"1,keyasint"`
	Submitted     time.Time   `cbor:"2,keyasint"`
	Hop           uint32      `cbor:"3,keyasint"`
	ExpiredAt     time.Time   `cbor:"4,keyasint"`
	TransferredAt time.Time   `cbor:"5,keyasint,omitzero"`
}

// errRecordsQueued is returned by Marshal while records wait for Take.
var errRecordsQueued = errors.New("ledger has queued records: call Marshal right after Take")

// Marshal returns the state as CBOR; equal states yield equal bytes. It fails while records are
// queued: the state contains them already, and a replay would apply them to the snapshot once
// more. The caller calls it right after Take and writes the snapshot once the taken records are
// durable.
func (l *Ledger) Marshal() ([]byte, error) {
	if len(l.records) > 0 {
		return nil, errRecordsQueued
	}
	s := snapshot{Owner: l.owner, Epoch: l.epoch, OwnedSince: l.ownedSince, HighestExpiredAttempt: l.highestExpiredAttempt, LatestExpiredTransfer: l.latestExpiredTransfer, Claims: l.Claims()}
	for _, j := range l.sortedJobs() {
		s.Jobs = append(s.Jobs, j.snapshot())
	}
	for _, id := range slices.Sorted(maps.Keys(l.acceptedTransfers)) {
		a := l.acceptedTransfers[id]
		s.AcceptedTransfers = append(s.AcceptedTransfers, acceptedTransferSnapshot{Job: id, Submitted: a.submitted, Hop: a.hop, TransferredAt: a.transferredAt, ExpiredAt: a.expiredAt})
	}
	return encoding.Marshal(s)
}

// snapshot returns the encoded form of the job.
func (j *job) snapshot() jobSnapshot {
	s := jobSnapshot{
		Spec:                j.spec,
		Digest:              j.digest[:],
		State:               j.state,
		Submitted:           j.submitted,
		Ended:               j.ended,
		Attempt:             j.attempt,
		Checkpoint:          j.checkpoint,
		Progress:            j.progress,
		Evictions:           j.evictions,
		Failures:            j.failures,
		Reason:              j.reason,
		Cancelling:          j.cancelling,
		Home:                j.home,
		MovedTo:             j.movedTo,
		Hop:                 j.hop,
		TransferUnconfirmed: j.transferUnconfirmed,
		History:             j.history,
		IncomingTransferAt:  j.incomingTransferAt,
	}
	if a := j.current; a != nil {
		s.Current = &attemptSnapshot{Worker: a.worker, DataCentre: a.dataCentre, Reservation: a.reservation,
			Started: a.started, NotAfter: a.notAfter, Epoch: a.epoch, Evicting: a.evictionSignal}
	}
	return s
}

// Load returns the ledger that Marshal encoded. Empty data yields an empty ledger.
func Load(p model.Partition, data []byte) (*Ledger, error) {
	l := New(p)
	if len(data) == 0 {
		return l, nil
	}
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	l.owner = s.Owner
	l.epoch = s.Epoch
	l.highestExpiredAttempt = s.HighestExpiredAttempt
	l.latestExpiredTransfer = roundToMillisecond(s.LatestExpiredTransfer)
	l.ownedSince = roundToMillisecond(s.OwnedSince)
	for _, j := range s.Jobs {
		l.restore(j)
	}
	for _, c := range s.Claims {
		c.ClaimedAt = roundToMillisecond(c.ClaimedAt)
		c.Deadline = roundToMillisecond(c.Deadline)
		l.addClaim(&c)
	}
	for _, a := range s.AcceptedTransfers {
		l.acceptedTransfers[a.Job] = acceptedTransfer{submitted: roundToMillisecond(a.Submitted), hop: a.Hop,
			transferredAt: roundToMillisecond(a.TransferredAt), expiredAt: roundToMillisecond(a.ExpiredAt)}
	}
	return l, nil
}

// restore adds a job of a snapshot.
func (l *Ledger) restore(s jobSnapshot) {
	j := &job{
		spec:                s.Spec,
		state:               s.State,
		submitted:           roundToMillisecond(s.Submitted),
		ended:               roundToMillisecond(s.Ended),
		attempt:             s.Attempt,
		checkpoint:          s.Checkpoint,
		progress:            s.Progress,
		evictions:           s.Evictions,
		failures:            s.Failures,
		reason:              s.Reason,
		cancelling:          s.Cancelling,
		home:                s.Home,
		movedTo:             s.MovedTo,
		hop:                 s.Hop,
		transferUnconfirmed: s.TransferUnconfirmed,
		history:             s.History,
		incomingTransferAt:  roundToMillisecond(s.IncomingTransferAt),
	}
	copy(j.digest[:], s.Digest)
	for i := range j.history {
		j.history[i].At = roundToMillisecond(j.history[i].At)
	}
	l.add(j)
	if s.Current != nil {
		j.current = s.Current.attempt(j)
		l.reserve(j.current)
	}
	if j.state == model.JobQueued {
		l.queue.add(j)
	}
}

// attempt returns the attempt of the snapshot.
func (s *attemptSnapshot) attempt(j *job) *attempt {
	return &attempt{
		id:               model.AttemptID{Job: j.spec.ID, Number: j.attempt},
		worker:           s.Worker,
		dataCentre:       s.DataCentre,
		reservation:      s.Reservation,
		started:          roundToMillisecond(s.Started),
		notAfter:         roundToMillisecond(s.NotAfter),
		epoch:            s.Epoch,
		evictionSignal:   s.Evicting,
		reportedProgress: j.progress,
	}
}
