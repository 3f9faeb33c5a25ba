package journal

import (
	"context"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// WriteSnapshot stores a snapshot of the state after the last appended entry, so that the
// slots up to it can be used again. The state must include exactly what was appended:
// marshal it right after taking the records of a batch, and write it once that batch is
// appended and before the next Append. A failed WriteSnapshot loses nothing; NeedsSnapshot
// stays true. *DeposedError ends the ownership.
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

// Release hands the partition over with the state after the last appended entry. The next
// owner needs one read and one write. No further call succeeds. If Release fails, the
// partition can be taken over from the ring like that of an instance that died.
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

// storeSnapshot replaces the snapshot in the store, unless a higher epoch or sequence wrote it.
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
			j.snapshot = snapshotVersion{revision: result.revision, sequence: s.Sequence}
			j.sinceSnapshot.Store(j.head - s.Sequence)
			return nil
		}
		if err := j.resolveSnapshotConflict(result.current, s); err != nil {
			return err
		}
	}
}

// resolveSnapshotConflict takes note of a snapshot that another owner wrote. It is replaced if it is older,
// and deposes this owner if it is newer.
func (j *Journal) resolveSnapshotConflict(current platform.KeyValue, own snapshotValue) error {
	var foreign snapshotValue
	if err := decode(current.Value, &foreign); err != nil {
		return j.newCorruptError("snapshot: %v", err)
	}
	if foreign.Epoch > own.Epoch || foreign.Sequence > own.Sequence {
		j.terminalErr = &DeposedError{Partition: j.config.Partition, NewOwner: foreign.Owner, Epoch: foreign.Epoch}
		return j.terminalErr
	}
	j.snapshot = snapshotVersion{revision: current.ModRevision, sequence: foreign.Sequence}
	return nil
}

// ensureFreeSlot sees to it that the slot after the head can be overwritten.
func (j *Journal) ensureFreeSlot(ctx context.Context) error {
	if !j.full() {
		return nil
	}
	stored, err := j.readStored(ctx)
	if err != nil {
		return err
	}
	if stored.head.Sequence < j.head {
		return j.newCorruptError("the store shows entry %d as the last, %d was written", stored.head.Sequence, j.head)
	}
	if stored.head.Sequence > j.head {
		j.terminalErr = &DeposedError{Partition: j.config.Partition, NewOwner: stored.head.Owner, Epoch: stored.head.Epoch, NotWritten: true}
		return j.terminalErr
	}
	return j.moveRingToTail(ctx, &stored)
}

// moveRingToTail moves the entries of the ring into the tail of the stored snapshot, as they are.
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
