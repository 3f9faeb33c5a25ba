// Package journal keeps the records of one partition in the platform's store. It is a ring
// of keys, the slots, plus one snapshot key. Every write is a compare-and-swap of a single key: it
// succeeds only if the revision of the key, which the store changes with each write, is the one
// that the owner knows.
//
// A new owner appends an ownership entry to the slot after the head. The next append of
// the former owner expects the old revision of that same slot and therefore fails, regardless
// of its clock and of how late it arrives.
//
// A write whose outcome is unknown is resolved by reading the slot again. While the slot is
// unchanged, the write is repeated with identical bytes, because the first one may still arrive.
//
// An owner can go on appending without a new snapshot: when the ring is full, its entries are
// moved unchanged into the tail of the stored snapshot.
//
// The snapshot key needs no ownership entry. A snapshot replaces only the revision that its
// writer read, and a writer that finds a snapshot with a higher epoch or sequence is deposed.
// The sequence of the stored snapshot therefore never decreases. A late snapshot of a former
// owner is a prefix of the history, and the ring holds the entries after it.
package journal

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Limits of a journal.
const (
	// DefaultSlots is the number of keys of the ring.
	DefaultSlots = 64
	// MinSlots is the smallest ring that leaves room for appends between snapshots.
	MinSlots = 8
	// MaxValueBytes is the largest value of the store, in bytes.
	MaxValueBytes = 1 << 20
	// DefaultRetryDelay is the pause before a failed store call is repeated for the first time.
	DefaultRetryDelay = 50 * time.Millisecond
	// maxBackoff is the longest pause between retries, as a multiple of the first one.
	maxBackoff = 32
	// maxConflicts bounds how often Open reads the ring again because it changed.
	maxConflicts = 16
)

// Config names the partition and its new owner.
type Config struct {
	Partition model.Partition
	// Owner identifies the instance; it is unique for each process start.
	Owner model.InstanceID
	// Slots is the number of keys of the ring, at least MinSlots. It must not change while
	// the partition exists. Zero means DefaultSlots.
	Slots int
	// RetryDelay is the pause before a failed store call is repeated; it doubles with each
	// failure up to a limit. Zero means DefaultRetryDelay.
	RetryDelay time.Duration
}

// withDefaults fills in the fields that are not set.
func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = DefaultRetryDelay
	}
	return c
}

// Journal is the journal of a partition as used by one owner. Its methods can be called
// concurrently; those that access the store run one at a time.
type Journal struct {
	store  platform.Store
	config Config

	mu sync.Mutex
	// epoch is the epoch of this ownership.
	epoch model.Epoch
	// head is the sequence of the last durable entry.
	head uint64
	// revisions holds the revision of each slot's key, zero if the key is absent.
	revisions []int64
	// pending is the write whose outcome is unknown, or nil.
	pending *write
	// snapshot describes the snapshot in the store, as this owner last knew it.
	snapshot knownSnapshot
	// terminalErr is the error of every call after the ownership has ended, or nil. The ownership
	// ends by a release, by the deposition of the owner or because the journal is corrupt.
	terminalErr error
	// sinceSnapshot is the number of entries after the snapshot, readable without the mutex.
	sinceSnapshot atomic.Uint64
}

// knownSnapshot is the last known revision of the snapshot key and the last sequence it covers.
type knownSnapshot struct {
	revision int64
	sequence uint64
}

// write is a compare-and-swap that can be repeated unchanged.
type write struct {
	key      string
	expected int64
	value    []byte
	// payload is the entry that the caller passed; it identifies a retry of the same Append.
	payload []byte
	// mayTakeEffect says that the outcome of a call of the store was unknown, so that the write may
	// have taken effect or may still do so.
	mayTakeEffect bool
}

// Epoch returns the epoch of this ownership.
func (j *Journal) Epoch() model.Epoch { return j.epoch }

// Append makes one entry durable. Errors:
//
//   - *DeposedError: another owner took the partition. NotWritten says whether the entry
//     is known not to be in the journal. Every further call fails.
//   - *PendingError: ctx ended while the outcome was unknown. The entry may be durable, or
//     may become so later. The caller calls Append again with the same entry, which resolves
//     the first write without appending the entry twice. An Append of another entry resolves
//     the pending one first, and succeeds only if both are durable.
//   - *TooLargeError or another error: the entry is not written and never will be.
func (j *Journal) Append(ctx context.Context, entry []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.terminalErr != nil {
		return j.terminalErr
	}
	if j.pending != nil {
		retried := bytes.Equal(j.pending.payload, entry)
		if err := j.resolvePending(ctx); err != nil || retried {
			return err
		}
	}
	return j.append(ctx, entry)
}

// append writes an entry into the slot after the head.
func (j *Journal) append(ctx context.Context, payload []byte) error {
	if err := j.ensureFreeSlot(ctx); err != nil {
		return errors.Annotatef(err, "partition %d: no slot for entry %d", j.config.Partition, j.head+1)
	}
	sequence := j.head + 1
	value, err := encode(entry{Sequence: sequence, Epoch: j.epoch, Owner: j.config.Owner, Payload: payload})
	if err != nil {
		return err
	}
	j.pending = &write{key: j.slotKey(sequence), expected: j.revisions[j.slot(sequence)], value: value, payload: bytes.Clone(payload)}
	return j.resolvePending(ctx)
}

// resolvePending repeats the pending write until its outcome is known or ctx ends.
func (j *Journal) resolvePending(ctx context.Context) error {
	sequence := j.head + 1
	result, err := j.writeUntilKnown(ctx, j.pending)
	if err != nil {
		if j.pending.mayTakeEffect {
			return &PendingError{Partition: j.config.Partition, Sequence: sequence, Cause: err}
		}
		j.pending = nil
		return errors.Annotatef(err, "partition %d: entry %d not written", j.config.Partition, sequence)
	}
	j.pending = nil
	if !result.applied {
		return j.depose(sequence, result.current)
	}
	j.advance(sequence, result.revision)
	return nil
}

// depose ends the ownership because the slot of the sequence has a revision that this owner did not
// write. current is the value found there, an entry of a newer owner. An entry older than the
// sequence means that the store lost writes.
func (j *Journal) depose(sequence uint64, current platform.KeyValue) error {
	existing, err := decodeEntry(current.Value)
	if err != nil || existing.Sequence < sequence {
		j.terminalErr = j.newCorruptError("slot of entry %d holds the older entry %d", sequence, existing.Sequence)
		return j.terminalErr
	}
	j.terminalErr = &DeposedError{
		Partition:  j.config.Partition,
		NewOwner:   existing.Owner,
		Epoch:      existing.Epoch,
		NotWritten: existing.Sequence == sequence,
	}
	return j.terminalErr
}

// NeedsSnapshot reports whether at least half of the ring holds entries after the snapshot, so
// that the owner should write a new one. It never blocks on another call.
func (j *Journal) NeedsSnapshot() bool {
	return j.sinceSnapshot.Load() >= uint64(j.config.Slots/2)
}

// Confirm reads the slot after the head. No error means that this owner still held the
// partition when Confirm was called. *DeposedError ends the ownership. A pending write stays
// pending: only its retry resolves it.
func (j *Journal) Confirm(ctx context.Context) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.terminalErr != nil {
		return j.terminalErr
	}
	sequence := j.head + 1
	current, _, err := j.store.Get(ctx, j.slotKey(sequence))
	if err != nil {
		return errors.Trace(err)
	}
	if current.ModRevision <= j.revisions[j.slot(sequence)] {
		return nil
	}
	if j.pending != nil && bytes.Equal(current.Value, j.pending.value) {
		return nil
	}
	return j.depose(sequence, current)
}

// advance records a new head and the revision of its slot.
func (j *Journal) advance(sequence uint64, revision int64) {
	j.head = sequence
	j.revisions[j.slot(sequence)] = revision
	j.sinceSnapshot.Store(j.head - j.snapshot.sequence)
}

// full reports whether the slot after the head holds an entry that is not in the snapshot.
func (j *Journal) full() bool {
	return j.head+1 > j.snapshot.sequence+uint64(j.config.Slots)
}

// slot returns the index of the sequence in the ring.
func (j *Journal) slot(sequence uint64) int { return int(sequence % uint64(j.config.Slots)) }

// slotKey returns the store key of the sequence.
func (j *Journal) slotKey(sequence uint64) string {
	return fmt.Sprintf("%s%d", prefix(j.config.Partition), j.slot(sequence))
}

// prefix returns the common prefix of the partition's keys.
func prefix(p model.Partition) string { return fmt.Sprintf("journal/%d/", p) }

// snapshotKey returns the key of the partition's snapshot.
func snapshotKey(p model.Partition) string { return prefix(p) + "snapshot" }

// EncodeRecords returns the entry that holds a batch of ledger records.
func EncodeRecords(records []ledger.Record) ([]byte, error) { return ledger.EncodeRecords(records) }

// DecodeRecords returns the ledger records of an entry.
func DecodeRecords(data []byte) ([]ledger.Record, error) { return ledger.DecodeRecords(data) }
