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

// image is the stored journal as one read found it.
type image struct {
	snapshot         savedState
	snapshotRevision int64
	revisions        []int64
	head             entry
	payloads         [][]byte
}

// Open takes the partition over. It reads the snapshot and the ring, and appends an
// ownership entry by compare-and-swap: its success proves that nothing was appended after
// the read. If the former owner appends in between, Open reads again. If another instance
// takes the partition at the same time, Open returns a *DeposedError. After any other
// error the ownership entry may still arrive; it deposes the former owner but makes
// nobody the owner, and Open can be called again.
func Open(ctx context.Context, store platform.Store, c Config) (*Journal, Replay, error) {
	c = c.withDefaults()
	if c.Slots < MinSlots {
		return nil, Replay{}, errors.NotValidf("ring of %d slots", c.Slots)
	}
	j := &Journal{store: store, config: c}
	if replay, ok, err := j.openReleased(ctx); err != nil || ok {
		return j.opened(replay, err)
	}
	replay, err := j.openRing(ctx)
	return j.opened(replay, err)
}

// opened returns the results of Open.
func (j *Journal) opened(replay Replay, err error) (*Journal, Replay, error) {
	if err != nil {
		return nil, Replay{}, errors.Trace(err)
	}
	return j, replay, nil
}

// openReleased takes over a partition that its owner released: the snapshot holds all that
// is needed. It reports false if the partition was not released or was taken since.
func (j *Journal) openReleased(ctx context.Context) (Replay, bool, error) {
	value, _, err := j.store.Get(ctx, snapshotKey(j.config.Partition))
	if err != nil || value.ModRevision == 0 {
		return Replay{}, false, err
	}
	var s savedState
	if err := decode(value.Value, &s); err != nil {
		return Replay{}, false, j.corrupt("snapshot: %v", err)
	}
	if len(s.SlotRevisions) != j.config.Slots {
		return Replay{}, false, nil
	}
	found := image{snapshot: s, snapshotRevision: value.ModRevision, revisions: s.SlotRevisions}
	found.head = entry{Sequence: s.Sequence, Epoch: s.Epoch, Owner: s.Owner}
	done, err := j.takeOver(ctx, &found)
	if err != nil || !done.done {
		return Replay{}, false, err
	}
	replay := found.replay(j.epoch)
	replay.Released = true
	return replay, true, nil
}

// openRing takes the partition over from whatever state its owner left it in.
func (j *Journal) openRing(ctx context.Context) (Replay, error) {
	for range maxConflicts {
		found, err := j.read(ctx)
		if err != nil {
			return Replay{}, err
		}
		done, err := j.takeOver(ctx, &found)
		if err != nil {
			return Replay{}, err
		}
		if done.done {
			return found.replay(j.epoch), nil
		}
		if rival, err := decodeEntry(done.current.Value); err == nil && rival.TakesOwnership && rival.Epoch >= j.epoch {
			return Replay{}, &DeposedError{Partition: j.config.Partition, NewOwner: rival.Owner, Epoch: rival.Epoch, NotWritten: true}
		}
	}
	return Replay{}, errors.Errorf("partition %d: the journal kept changing", j.config.Partition)
}

// takeOver appends the ownership entry after the head of the image.
func (j *Journal) takeOver(ctx context.Context, found *image) (outcome, error) {
	j.epoch = found.head.Epoch
	j.head = found.head.Sequence
	j.revisions = append([]int64(nil), found.revisions...)
	j.saved = savedSnapshot{revision: found.snapshotRevision, sequence: found.snapshot.Sequence}
	if j.full() {
		if err := j.fold(ctx, found); err != nil {
			return outcome{}, err
		}
	}
	j.epoch = found.head.Epoch + 1
	sequence := j.head + 1
	value, err := encode(entry{Sequence: sequence, Epoch: j.epoch, Owner: j.config.Owner, TakesOwnership: true})
	if err != nil {
		return outcome{}, err
	}
	w := &write{key: j.slotKey(sequence), expected: j.revisions[j.slot(sequence)], value: value}
	done, err := j.perform(ctx, w)
	if err == nil && done.done {
		j.advance(sequence, done.revision)
	}
	return done, err
}

// replay returns what the new owner loads.
func (found *image) replay(e model.Epoch) Replay {
	entries := append([][]byte(nil), found.snapshot.Tail...)
	return Replay{
		Snapshot:      found.snapshot.State,
		Entries:       append(entries, found.payloads...),
		PreviousOwner: found.head.Owner,
		Epoch:         e,
	}
}

// read lists the partition's keys and checks that they form a journal.
func (j *Journal) read(ctx context.Context) (image, error) {
	values, _, err := j.store.List(ctx, prefix(j.config.Partition))
	if err != nil {
		return image{}, err
	}
	found := image{revisions: make([]int64, j.config.Slots)}
	entries := map[uint64]entry{}
	for _, value := range values {
		if err := j.sort(value, &found, entries); err != nil {
			return image{}, err
		}
	}
	found.head.Sequence = max(found.head.Sequence, found.snapshot.Sequence)
	found.head.Epoch = max(found.head.Epoch, found.snapshot.Epoch)
	return found, j.collect(&found, entries)
}

// sort puts one stored value into the image.
func (j *Journal) sort(value platform.KeyValue, found *image, entries map[uint64]entry) error {
	name := strings.TrimPrefix(value.Key, prefix(j.config.Partition))
	if name == "snapshot" {
		found.snapshotRevision = value.ModRevision
		if err := decode(value.Value, &found.snapshot); err != nil {
			return j.corrupt("snapshot: %v", err)
		}
		return nil
	}
	e, err := decodeEntry(value.Value)
	if err != nil {
		return j.corrupt("slot %s: %v", name, err)
	}
	if name != fmt.Sprint(j.slot(e.Sequence)) {
		return j.corrupt("slot %s holds entry %d of a ring of another size", name, e.Sequence)
	}
	found.revisions[j.slot(e.Sequence)] = value.ModRevision
	entries[e.Sequence] = e
	if e.Sequence > found.head.Sequence {
		found.head = e
	}
	return nil
}

// collect gathers the payloads after the snapshot, in order.
func (j *Journal) collect(found *image, entries map[uint64]entry) error {
	for sequence := found.snapshot.Sequence + 1; sequence <= found.head.Sequence; sequence++ {
		e, present := entries[sequence]
		if !present {
			return j.corrupt("entry %d is missing between snapshot %d and head %d", sequence, found.snapshot.Sequence, found.head.Sequence)
		}
		if !e.TakesOwnership {
			found.payloads = append(found.payloads, e.Payload)
		}
	}
	return nil
}

// corrupt returns a *CorruptError.
func (j *Journal) corrupt(format string, args ...any) error {
	return &CorruptError{Partition: j.config.Partition, Problem: fmt.Sprintf(format, args...)}
}
