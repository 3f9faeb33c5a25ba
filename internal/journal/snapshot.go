package journal

import (
	"context"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// WriteSnapshot stores a snapshot of the state after the last appended entry, so that the
// slots up to it can be reused. The state must include exactly the appended entries:
// marshal it directly after taking the records of a batch, and write it once that batch is
// appended and before the next Append. If WriteSnapshot fails, no entry is lost and
// NeedsSnapshot stays true. *DeposedError ends the ownership.
func (j *Journal) WriteSnapshot(ctx context.Context, snapshot []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.terminalErr != nil {
		return j.terminalErr
	}
	if j.pending != nil {
		return &PendingError{Partition: j.config.Partition, Sequence: j.head + 1}
	}
	return j.storeSnapshot(ctx, snapshotValue{Sequence: j.head, Epoch: j.epoch, Owner: j.config.Owner, State: snapshot})
}

// Release stores the state after the last appended entry and ends the ownership. The next
// owner then needs one read and one write. No further call succeeds. If Release fails, the
// partition can still be taken over from the ring, as after a crash of its owner.
func (j *Journal) Release(ctx context.Context, snapshot []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.terminalErr != nil {
		return j.terminalErr
	}
	if j.pending != nil {
		if err := j.resolvePending(ctx); err != nil {
			return err
		}
	}
	value := snapshotValue{Sequence: j.head, Epoch: j.epoch, Owner: j.config.Owner, State: snapshot, SlotRevisions: j.revisions}
	if err := j.storeSnapshot(ctx, value); err != nil {
		return err
	}
	j.terminalErr = &ReleasedError{Partition: j.config.Partition}
	return nil
}

// storeSnapshot replaces the snapshot in the store. It returns a *DeposedError if the stored one
// has a higher epoch or sequence.
func (j *Journal) storeSnapshot(ctx context.Context, s snapshotValue) error {
	value, err := encode(s)
	if err != nil {
		return err
	}
	for {
		w := &write{key: snapshotKey(j.config.Partition), expected: j.snapshot.revision, value: value}
		result, err := j.writeUntilKnown(ctx, w)
		if err != nil {
			return err
		}
		if result.applied {
			j.snapshot = knownSnapshot{revision: result.revision, sequence: s.Sequence}
			j.sinceSnapshot.Store(j.head - s.Sequence)
			return nil
		}
		if err := j.resolveSnapshotConflict(result.current, s); err != nil {
			return err
		}
	}
}

// resolveSnapshotConflict handles a stored snapshot that another owner wrote. A snapshot with a
// higher epoch or sequence deposes this owner. Any other one, such as a late write of a former
// owner, contains nothing that the own one lacks: its revision is recorded, so that the next write
// replaces it.
func (j *Journal) resolveSnapshotConflict(current platform.KeyValue, own snapshotValue) error {
	var existing snapshotValue
	if err := decode(current.Value, &existing); err != nil {
		return j.newCorruptError("snapshot: %v", err)
	}
	if existing.Epoch > own.Epoch || existing.Sequence > own.Sequence {
		j.terminalErr = &DeposedError{Partition: j.config.Partition, NewOwner: existing.Owner, Epoch: existing.Epoch}
		return j.terminalErr
	}
	j.snapshot = knownSnapshot{revision: current.ModRevision, sequence: existing.Sequence}
	return nil
}

// ensureFreeSlot makes the slot after the head reusable: if the ring is full, it moves the
// entries into the stored snapshot.
func (j *Journal) ensureFreeSlot(ctx context.Context) error {
	if !j.full() {
		return nil
	}
	stored, err := j.readStored(ctx)
	if err != nil {
		return err
	}
	if stored.head.Sequence < j.head {
		return j.newCorruptError("the last entry in the store is %d, but entry %d was written", stored.head.Sequence, j.head)
	}
	if stored.head.Sequence > j.head {
		j.terminalErr = &DeposedError{Partition: j.config.Partition, NewOwner: stored.head.Owner, Epoch: stored.head.Epoch, NotWritten: true}
		return j.terminalErr
	}
	return j.moveRingToTail(ctx, &stored)
}

// moveRingToTail appends the entries of the ring unchanged to the tail of the stored snapshot.
func (j *Journal) moveRingToTail(ctx context.Context, stored *storedJournal) error {
	s := stored.snapshot
	s.Sequence = stored.head.Sequence
	s.Epoch = stored.head.Epoch
	s.Owner = stored.head.Owner
	s.Tail = append(append([][]byte(nil), s.Tail...), stored.payloads...)
	s.SlotRevisions = nil
	if err := j.storeSnapshot(ctx, s); err != nil {
		return err
	}
	stored.snapshot = s
	stored.payloads = nil
	return nil
}
