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
	if j.ended != nil {
		return j.ended
	}
	if j.pending != nil {
		return &PendingError{Partition: j.config.Partition, Sequence: j.head + 1}
	}
	return j.save(ctx, savedState{Sequence: j.head, Epoch: j.epoch, Owner: j.config.Owner, State: snapshot})
}

// Release hands the partition over with the state after the last appended entry. The next
// owner needs one read and one write. No further call succeeds. If Release fails, the
// partition can be taken over from the ring like that of an instance that died.
func (j *Journal) Release(ctx context.Context, snapshot []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended != nil {
		return j.ended
	}
	if j.pending != nil {
		if err := j.settle(ctx); err != nil {
			return err
		}
	}
	s := savedState{Sequence: j.head, Epoch: j.epoch, Owner: j.config.Owner, State: snapshot, SlotRevisions: j.revisions}
	if err := j.save(ctx, s); err != nil {
		return err
	}
	j.ended = &ReleasedError{Partition: j.config.Partition}
	return nil
}

// save replaces the snapshot in the store, unless a higher epoch or sequence wrote it.
func (j *Journal) save(ctx context.Context, s savedState) error {
	value, err := encode(s)
	if err != nil {
		return err
	}
	for {
		w := &write{key: snapshotKey(j.config.Partition), expected: j.saved.revision, value: value}
		done, err := j.perform(ctx, w)
		if err != nil {
			return err
		}
		if done.done {
			j.saved = savedSnapshot{revision: done.revision, sequence: s.Sequence}
			j.uncovered.Store(j.head - s.Sequence)
			return nil
		}
		if err := j.yield(done.current, s); err != nil {
			return err
		}
	}
}

// yield takes note of a snapshot that another owner wrote. It is replaced if it is older,
// and deposes this owner if it is newer.
func (j *Journal) yield(current platform.KeyValue, own savedState) error {
	var found savedState
	if err := decode(current.Value, &found); err != nil {
		return j.corrupt("snapshot: %v", err)
	}
	if found.Epoch > own.Epoch || found.Sequence > own.Sequence {
		j.ended = &DeposedError{Partition: j.config.Partition, NewOwner: found.Owner, Epoch: found.Epoch}
		return j.ended
	}
	j.saved = savedSnapshot{revision: current.ModRevision, sequence: found.Sequence}
	return nil
}

// makeRoom sees to it that the slot after the head can be overwritten.
func (j *Journal) makeRoom(ctx context.Context) error {
	if !j.full() {
		return nil
	}
	found, err := j.read(ctx)
	if err != nil {
		return err
	}
	if found.head.Sequence < j.head {
		return j.corrupt("the store shows entry %d as the last, %d was written", found.head.Sequence, j.head)
	}
	if found.head.Sequence > j.head {
		j.ended = &DeposedError{Partition: j.config.Partition, NewOwner: found.head.Owner, Epoch: found.head.Epoch, NotWritten: true}
		return j.ended
	}
	return j.fold(ctx, &found)
}

// fold moves the entries of the ring into the tail of the stored snapshot, as they are.
func (j *Journal) fold(ctx context.Context, found *image) error {
	s := found.snapshot
	s.Sequence = found.head.Sequence
	s.Epoch = found.head.Epoch
	s.Owner = found.head.Owner
	s.Tail = append(append([][]byte(nil), s.Tail...), found.payloads...)
	s.SlotRevisions = nil
	if err := j.save(ctx, s); err != nil {
		return err
	}
	found.snapshot = s
	found.payloads = nil
	return nil
}
