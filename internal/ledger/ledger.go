// Package ledger is the state machine of one partition: jobs, attempts, commitments of
// workers and claims of request keys. It is pure: it has no I/O, no clock and no goroutine.
//
// A command decides, applies its records to the state at once and queues them with their
// actions. The caller makes the records durable before it sends the actions. Apply replays
// the same records, so a replay yields the same state.
package ledger

import (
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Limits of one ledger. They keep a snapshot below the largest value of the store.
const (
	// MaxJobs is the number of jobs that a ledger holds, ended ones included.
	MaxJobs = 2500
	// MaxSpecBytes bounds the texts of all jobs and the payloads of those that have not ended.
	MaxSpecBytes = 320 << 10
	// MaxClaims is the number of claims that a ledger holds.
	MaxClaims = 4096
	// MaxClaimBytes bounds the keys and holders of all claims.
	MaxClaimBytes = 192 << 10
	// MaxQueuedBytes bounds the estimated size of the records that wait for Take. New work
	// is refused above it, so that one batch fits into one journal entry.
	MaxQueuedBytes = 384 << 10
	// maxText bounds a reason, in bytes.
	maxText = 256
	// recordBytes is the estimated size of a record without its payload, in bytes.
	recordBytes = 128
)

// MaxClockSkew bounds the difference between the clocks of a worker and an owner.
const MaxClockSkew = 2 * time.Second

// Bounds on the lease renewals of a deposed owner that does not know it yet.
const (
	// MaxUnconfirmedOwnership is how long an owner goes on renewing the leases of its workers after
	// it last confirmed its ownership, by an append or by journal.Confirm.
	MaxUnconfirmedOwnership = 10 * time.Minute
	// unfencedWait is how long a new owner waits before it takes a worker for gone that it
	// never reached: MaxUnconfirmedOwnership and ample time for the last lease to lapse.
	unfencedWait = MaxUnconfirmedOwnership + 5*time.Minute
)

// Ledger is the state of one partition. It is used by one goroutine.
type Ledger struct {
	partition model.Partition
	owner     model.InstanceID
	epoch     model.Epoch

	jobs       map[model.JobID]*job
	queue      jobQueue
	workers    map[model.WorkerID]*commitments
	claims     map[model.RequestKey]*Claim
	arrivals   map[model.JobID]arrival
	specBytes  int
	claimBytes int
	stepCount  int
	// floor is the highest attempt number of any job that the ledger has forgotten. A new job
	// counts from there, since its id may be that of a forgotten job whose attempts a worker
	// still knows.
	floor uint32
	// horizon is the time of the latest transfer whose acceptance was forgotten.
	horizon time.Time
	// owned is when the present owner took the partition.
	owned time.Time
	// fenced holds the workers that have seen the present epoch; it is not durable.
	fenced map[model.WorkerID]bool

	records     []Record
	actions     Actions
	queuedBytes int
	// committed, taken and written count the records of this process: queued ever, returned
	// by Take, and known to be durable.
	committed, taken, written uint64
}

// New returns the empty ledger of a partition.
func New(p model.Partition) *Ledger {
	return &Ledger{
		partition: p,
		jobs:      map[model.JobID]*job{},
		workers:   map[model.WorkerID]*commitments{},
		claims:    map[model.RequestKey]*Claim{},
		arrivals:  map[model.JobID]arrival{},
		fenced:    map[model.WorkerID]bool{},
	}
}

// TakeOwnership records that owner holds the partition from now on with epoch e.
func (l *Ledger) TakeOwnership(now time.Time, owner model.InstanceID, e model.Epoch) {
	if e <= l.epoch {
		return
	}
	_ = l.commit(Record{Kind: RecordOwner, At: now, Owner: owner, Epoch: e})
}

// Take returns the queued records and their actions and clears the queue. The actions may
// be sent once the records are durable. The caller takes again only after the records that
// it took before are durable.
func (l *Ledger) Take() ([]Record, Actions) {
	l.written, l.taken = l.taken, l.committed
	records, actions := l.records, l.actions
	l.records, l.actions, l.queuedBytes = nil, Actions{}, 0
	return records, actions
}

// MarkDurable vouches that all taken records are durable, so that the Pending views show what
// follows from them. The next Take implies it.
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
		j.changed = l.committed
	}
	l.queuedBytes += recordBytes + r.payloadSize()
	return nil
}

// admit refuses new work while the queue of records is full.
func (l *Ledger) admit() error {
	if l.queuedBytes < MaxQueuedBytes {
		return nil
	}
	return refuse(verdict.ReasonOverload, "partition %d has %d bytes of records to write", l.partition, l.queuedBytes)
}

// durable reports whether every record of the job is known to be durable.
func (l *Ledger) durable(j *job) bool { return j.changed <= l.written }

// refuse returns the error of a command that changed nothing.
func refuse(reason verdict.Reason, format string, args ...any) error {
	return verdict.New(verdict.NotRun, reason, format, args...)
}

// milliseconds rounds t to the precision of the records, so that a replay from the
// journal yields equal times.
func milliseconds(t time.Time) time.Time {
	if t.IsZero() {
		return time.Time{}
	}
	return t.Round(time.Millisecond).UTC()
}

// shorten cuts a text to a number of bytes, without cutting a character.
func shorten(s string, limit int) string {
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "")
}
