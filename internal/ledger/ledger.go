// Package ledger is the state machine of one partition: its jobs, their attempts, the
// reservations on its workers and the claims of request keys. It is deterministic: it does no
// I/O, reads no clock and starts no goroutine.
//
// A command checks a change, applies its records to the state at once and queues them with
// their actions. The caller makes the records durable before it sends the actions. Apply
// replays the same records, so a replay yields the same state.
package ledger

import (
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Limits of one ledger. They keep a snapshot below the size limit of a value in the store.
const (
	// MaxJobs is the number of jobs that a ledger holds, ended ones included.
	MaxJobs = 2500
	// MaxSpecBytes bounds the strings in the specifications of all jobs, and the payloads that are
	// kept, in bytes. The payload is dropped when the job ends or its transfer is confirmed.
	MaxSpecBytes = 320 << 10
	// MaxClaims is the number of claims that a ledger holds.
	MaxClaims = 4096
	// MaxClaimBytes bounds the keys and holders of all claims, in bytes.
	MaxClaimBytes = 192 << 10
	// MaxQueuedBytes bounds the estimated size of the records that wait for Take, in bytes. New
	// work is refused from there on, so that one batch fits into one journal entry.
	MaxQueuedBytes = 384 << 10
	// maxReasonBytes bounds a reason, in bytes.
	maxReasonBytes = 256
	// recordBaseBytes is the estimated size of a record without its payload, in bytes.
	recordBaseBytes = 128
)

// MaxClockSkew bounds the difference between the clocks of a worker and an owner.
const MaxClockSkew = 2 * time.Second

// Bounds on the lease renewals of a former owner that has not noticed yet that it was deposed.
const (
	// MaxUnconfirmedOwnership is how long an owner goes on renewing the leases of its workers after
	// it last confirmed its ownership, by an append or by journal.Confirm.
	MaxUnconfirmedOwnership = 10 * time.Minute
	// unfencedWorkerWait is how long a new owner waits before it ends the attempts of a worker that
	// it never reached. It is MaxUnconfirmedOwnership, during which a former owner may renew the
	// worker's lease, and more than the time in which the last lease lapses.
	unfencedWorkerWait = MaxUnconfirmedOwnership + 5*time.Minute
)

// Ledger is the state of one partition. It is used by one goroutine.
type Ledger struct {
	partition model.Partition
	owner     model.InstanceID
	epoch     model.Epoch

	jobs  map[model.JobID]*job
	queue jobQueue
	// workers holds the workers with attempts that may be executing.
	workers map[model.WorkerID]*workerReservations
	claims  map[model.RequestKey]*Claim
	// acceptedTransfers holds the last transfer of each expired job that was transferred.
	acceptedTransfers map[model.JobID]acceptedTransfer
	// specBytes, claimBytes and historyEntries are the sums that are limited by MaxSpecBytes,
	// MaxClaimBytes and MaxTotalHistoryEntries.
	specBytes      int
	claimBytes     int
	historyEntries int
	// highestExpiredAttempt is the highest attempt number of all expired jobs. The attempts of a
	// new job are numbered from there, because its id may be that of an expired job whose attempts
	// a worker still knows.
	highestExpiredAttempt uint32
	// latestExpiredTransfer is the latest transferredAt of the expired entries of
	// acceptedTransfers. Offers of transfers that are not later are refused.
	latestExpiredTransfer time.Time
	// ownedSince is when the present owner took the partition.
	ownedSince time.Time
	// fenced holds the workers that have seen the present epoch and therefore refuse calls of
	// former owners. It is not durable: a new owner has another epoch, which no worker has seen.
	fenced map[model.WorkerID]bool

	// records and actions are queued until the next Take. queuedBytes is the estimated size of the
	// records.
	records     []Record
	actions     Actions
	queuedBytes int
	// committed, taken and written count the records of the commands since this process loaded the
	// ledger: all of them, those returned by Take, and those known to be durable.
	committed, taken, written uint64
}

// New returns the empty ledger of a partition.
func New(p model.Partition) *Ledger {
	return &Ledger{
		partition:         p,
		jobs:              map[model.JobID]*job{},
		workers:           map[model.WorkerID]*workerReservations{},
		claims:            map[model.RequestKey]*Claim{},
		acceptedTransfers: map[model.JobID]acceptedTransfer{},
		fenced:            map[model.WorkerID]bool{},
	}
}

// TakeOwnership records that owner holds the partition from now on with epoch e.
func (l *Ledger) TakeOwnership(now time.Time, owner model.InstanceID, e model.Epoch) {
	if e <= l.epoch {
		return
	}
	_ = l.commit(Record{Kind: RecordOwner, At: now, Owner: owner, Epoch: e})
}

// Take returns the queued records and their actions, and clears both. The actions may be sent
// once the records are durable. The caller must not call Take again before the records that it
// took last are durable.
func (l *Ledger) Take() ([]Record, Actions) {
	l.written, l.taken = l.taken, l.committed
	records, actions := l.records, l.actions
	l.records, l.actions, l.queuedBytes = nil, Actions{}, 0
	return records, actions
}

// MarkDurable tells the ledger that all taken records are durable, so that PendingSignals,
// PendingStart and PendingTransfers include what follows from them. The next Take implies it.
func (l *Ledger) MarkDurable() { l.written = l.taken }

// commit applies a record of a command and queues it.
func (l *Ledger) commit(r Record) error {
	r.normalise()
	if err := l.apply(&r); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%v", err)
	}
	l.records = append(l.records, r)
	l.committed++
	if j, found := l.jobs[r.Job]; found {
		j.lastRecord = l.committed
	}
	l.queuedBytes += recordBaseBytes + r.payloadSize()
	return nil
}

// admit refuses new work while the queued records have reached MaxQueuedBytes.
func (l *Ledger) admit() error {
	if l.queuedBytes < MaxQueuedBytes {
		return nil
	}
	return refuse(verdict.ReasonOverload, "partition %d has %d bytes of records to write", l.partition, l.queuedBytes)
}

// durable reports whether every record of the job is known to be durable.
func (l *Ledger) durable(j *job) bool { return j.lastRecord <= l.written }

// refuse returns the error of a command that changed nothing.
func refuse(reason verdict.Reason, format string, args ...any) error {
	return verdict.New(verdict.NotRun, reason, format, args...)
}

// roundToMillisecond rounds t to a millisecond, which the encoding of records preserves: it holds
// times as floating-point seconds, which are not exact to the microsecond. A replay from the
// journal thus yields equal times.
func roundToMillisecond(t time.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return t.Round(time.Millisecond).UTC()
}

// truncate cuts s to at most limit bytes and removes a character that is cut in two.
func truncate(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "")
}
