package journal

import (
	"context"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Replay is what a new owner loads: the snapshot, then the entries in order.
type Replay struct {
	// Snapshot is the state of the last snapshot; empty means that there was none.
	Snapshot []byte
	// Entries are the appended entries after the snapshot.
	Entries [][]byte
	// PreviousOwner is the owner before this one, or empty.
	PreviousOwner model.InstanceID
	// Released says that the previous owner handed the partition over by Release.
	Released bool
	// Epoch is the epoch of this ownership.
	Epoch model.Epoch
}

// storedJournal is the journal as read from the store: by readStored from all keys, or by
// openReleased from the snapshot alone, which holds the rest after a release.
type storedJournal struct {
	snapshot snapshotValue
	// snapshotRevision is the revision of the snapshot key, 0 if the key is absent.
	snapshotRevision int64
	// revisions holds the revision of each slot's key, 0 if the key is absent.
	revisions []int64
	// head is the last entry. Its payload is not used.
	head entry
	// payloads holds the payloads of the entries after the snapshot, in order.
	payloads [][]byte
}

// Open takes the partition over. It reads the snapshot and the ring, and appends an
// ownership entry by compare-and-swap: its success proves that nothing was appended after
// the read. If the present owner appends in between, Open reads again. If another instance
// takes the partition at the same time, Open returns a *DeposedError. After any other
// error the ownership entry may still arrive; it then deposes the present owner, and the
// partition has no owner until Open is called again.
func Open(ctx context.Context, store platform.Store, c Config) (*Journal, Replay, error) {
	c = c.withDefaults()
	if c.Slots < MinSlots {
		return nil, Replay{}, errors.NotValidf("ring of %d slots", c.Slots)
	}
	j := &Journal{store: store, config: c}
	if replay, ok, err := j.openReleased(ctx); err != nil || ok {
		return j.openResult(replay, err)
	}
	replay, err := j.openRing(ctx)
	return j.openResult(replay, err)
}

// openResult returns the results of Open.
func (j *Journal) openResult(replay Replay, err error) (*Journal, Replay, error) {
	if err != nil {
		return nil, Replay{}, errors.Trace(err)
	}
	return j, replay, nil
}

// openReleased takes over a partition that its owner released. The snapshot then holds the
// revisions of all slots, so that the ring need not be read. It reports false if the partition
// was not released or has been taken over since.
func (j *Journal) openReleased(ctx context.Context) (Replay, bool, error) {
	value, _, err := j.store.Get(ctx, snapshotKey(j.config.Partition))
	if err != nil || value.ModRevision == 0 {
		return Replay{}, false, err
	}
	var s snapshotValue
	if err := decode(value.Value, &s); err != nil {
		return Replay{}, false, j.newCorruptError("snapshot: %v", err)
	}
	if len(s.SlotRevisions) != j.config.Slots {
		return Replay{}, false, nil
	}
	stored := storedJournal{snapshot: s, snapshotRevision: value.ModRevision, revisions: s.SlotRevisions}
	stored.head = entry{Sequence: s.Sequence, Epoch: s.Epoch, Owner: s.Owner}
	result, err := j.takeOver(ctx, &stored)
	if err != nil || !result.applied {
		return Replay{}, false, err
	}
	replay := stored.replay(j.epoch)
	replay.Released = true
	return replay, true, nil
}

// openRing takes the partition over from the stored snapshot and ring, without a release.
func (j *Journal) openRing(ctx context.Context) (Replay, error) {
	for range maxConflicts {
		stored, err := j.readStored(ctx)
		if err != nil {
			return Replay{}, err
		}
		result, err := j.takeOver(ctx, &stored)
		if err != nil {
			return Replay{}, err
		}
		if result.applied {
			return stored.replay(j.epoch), nil
		}
		if existing, err := decodeEntry(result.current.Value); err == nil && existing.TakesOwnership && existing.Epoch >= j.epoch {
			return Replay{}, &DeposedError{Partition: j.config.Partition, NewOwner: existing.Owner, Epoch: existing.Epoch, NotWritten: true}
		}
	}
	return Replay{}, errors.Errorf("partition %d: the journal changed during every attempt to open it", j.config.Partition)
}

// takeOver appends the ownership entry after the head of the stored journal.
func (j *Journal) takeOver(ctx context.Context, stored *storedJournal) (outcome, error) {
	j.epoch = stored.head.Epoch
	j.head = stored.head.Sequence
	j.revisions = append([]int64(nil), stored.revisions...)
	j.snapshot = knownSnapshot{revision: stored.snapshotRevision, sequence: stored.snapshot.Sequence}
	if j.full() {
		if err := j.moveRingToTail(ctx, stored); err != nil {
			return outcome{}, err
		}
	}
	j.epoch = stored.head.Epoch + 1
	sequence := j.head + 1
	value, err := encode(entry{Sequence: sequence, Epoch: j.epoch, Owner: j.config.Owner, TakesOwnership: true})
	if err != nil {
		return outcome{}, err
	}
	w := &write{key: j.slotKey(sequence), expected: j.revisions[j.slot(sequence)], value: value}
	result, err := j.writeUntilKnown(ctx, w)
	if err == nil && result.applied {
		j.advance(sequence, result.revision)
	}
	return result, err
}

// replay returns the snapshot and entries for the owner of epoch e.
func (s *storedJournal) replay(e model.Epoch) Replay {
	entries := append([][]byte(nil), s.snapshot.Tail...)
	return Replay{
		Snapshot:      s.snapshot.State,
		Entries:       append(entries, s.payloads...),
		PreviousOwner: s.head.Owner,
		Epoch:         e,
	}
}

// readStored lists the partition's keys and checks that they form a complete journal.
func (j *Journal) readStored(ctx context.Context) (storedJournal, error) {
	values, _, err := j.store.List(ctx, prefix(j.config.Partition))
	if err != nil {
		return storedJournal{}, err
	}
	stored := storedJournal{revisions: make([]int64, j.config.Slots)}
	entries := map[uint64]entry{}
	for _, value := range values {
		if err := j.addValue(value, &stored, entries); err != nil {
			return storedJournal{}, err
		}
	}
	stored.head.Sequence = max(stored.head.Sequence, stored.snapshot.Sequence)
	stored.head.Epoch = max(stored.head.Epoch, stored.snapshot.Epoch)
	return stored, j.collectPayloads(&stored, entries)
}

// addValue adds one key to the stored journal: the snapshot, or an entry of the ring.
func (j *Journal) addValue(value platform.KeyValue, stored *storedJournal, entries map[uint64]entry) error {
	name := strings.TrimPrefix(value.Key, prefix(j.config.Partition))
	if name == "snapshot" {
		stored.snapshotRevision = value.ModRevision
		if err := decode(value.Value, &stored.snapshot); err != nil {
			return j.newCorruptError("snapshot: %v", err)
		}
		return nil
	}
	e, err := decodeEntry(value.Value)
	if err != nil {
		return j.newCorruptError("slot %s: %v", name, err)
	}
	if name != fmt.Sprint(j.slot(e.Sequence)) {
		return j.newCorruptError("slot %s holds entry %d, which belongs to a ring with another number of slots", name, e.Sequence)
	}
	stored.revisions[j.slot(e.Sequence)] = value.ModRevision
	entries[e.Sequence] = e
	if e.Sequence > stored.head.Sequence {
		stored.head = e
	}
	return nil
}

// collectPayloads appends the payloads after the snapshot in order, and checks that no entry is
// missing.
func (j *Journal) collectPayloads(stored *storedJournal, entries map[uint64]entry) error {
	for sequence := stored.snapshot.Sequence + 1; sequence <= stored.head.Sequence; sequence++ {
		e, present := entries[sequence]
		if !present {
			return j.newCorruptError("entry %d is missing between snapshot %d and head %d", sequence, stored.snapshot.Sequence, stored.head.Sequence)
		}
		if !e.TakesOwnership {
			stored.payloads = append(stored.payloads, e.Payload)
		}
	}
	return nil
}

// newCorruptError returns a *CorruptError with a formatted problem.
func (j *Journal) newCorruptError(format string, args ...any) error {
	return &CorruptError{Partition: j.config.Partition, Problem: fmt.Sprintf(format, args...)}
}
