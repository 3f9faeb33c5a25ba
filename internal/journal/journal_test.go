package journal_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// config returns a configuration with a small ring and short retry delays.
func config(owner model.InstanceID) journal.Config {
	return journal.Config{Partition: 3, Owner: owner, Slots: 8, RetryDelay: time.Nanosecond}
}

// texts returns the entries of a replay as strings.
func texts(r journal.Replay) []string {
	list := []string{}
	for _, e := range r.Entries {
		list = append(list, string(e))
	}
	return list
}

func TestAppendAndReplay(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	first, replay, err := journal.Open(ctx, store, config("a"))
	is.NoErr(err)
	is.Equal(replay.Epoch, model.Epoch(1))
	is.Equal(len(replay.Entries), 0)
	is.NoErr(first.Append(ctx, []byte("one")))
	is.NoErr(first.Append(ctx, []byte("two")))

	_, replay, err = journal.Open(ctx, store, config("b"))
	is.NoErr(err)
	is.Equal(replay.Epoch, model.Epoch(2))
	is.Equal(replay.PreviousOwner, model.InstanceID("a"))
	is.Equal(texts(replay), []string{"one", "two"})

	err = first.Append(ctx, []byte("three"))
	var deposed *journal.DeposedError
	is.True(errors.As(err, &deposed)) // the former owner must detect this without a clock
	is.True(deposed.NotWritten)
	is.Equal(deposed.NewOwner, model.InstanceID("b"))
}

func TestRingSlotsAreReusedAfterSnapshots(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	j, _, err := journal.Open(ctx, store, config("a"))
	is.NoErr(err)
	want := []string{}
	for i := range 50 {
		text := fmt.Sprint(i)
		is.NoErr(j.Append(ctx, []byte(text)))
		want = append(want, text)
		if j.NeedsSnapshot() {
			is.NoErr(j.WriteSnapshot(ctx, fmt.Append(nil, want)))
			want = []string{}
		}
	}
	_, replay, err := journal.Open(ctx, store, config("b"))
	is.NoErr(err)
	is.Equal(texts(replay), want)
	is.True(len(store.values) <= 9) // eight slots and the snapshot
}

func TestFullRingMovesItsEntriesIntoTheSnapshot(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	j, _, err := journal.Open(ctx, store, config("a"))
	is.NoErr(err)
	is.NoErr(j.WriteSnapshot(ctx, []byte("state")))
	want := []string{}
	for i := range 40 { // the owner never writes another snapshot
		want = append(want, fmt.Sprint(i))
		is.NoErr(j.Append(ctx, []byte(want[i])))
	}
	_, replay, err := journal.Open(ctx, store, config("b"))
	is.NoErr(err)
	is.Equal(string(replay.Snapshot), "state")
	is.Equal(texts(replay), want)
	is.True(isDeposed(j.Confirm(ctx)))
}

func TestTakeOversNeverExhaustTheRing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	j, _, err := journal.Open(ctx, store, config("a"))
	is.NoErr(err)
	is.NoErr(j.Append(ctx, []byte("one")))
	is.NoErr(j.Append(ctx, []byte("two")))
	for i := range 30 {
		_, replay, err := journal.Open(ctx, store, config(model.InstanceID(fmt.Sprint(i))))
		is.NoErr(err)
		is.Equal(texts(replay), []string{"one", "two"})
	}
}

func TestReleaseHandsOverWithOneReadAndOneWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	j, _, err := journal.Open(ctx, store, config("a"))
	is.NoErr(err)
	is.NoErr(j.Append(ctx, []byte("one")))
	is.NoErr(j.Release(ctx, []byte("state")))
	var released *journal.ReleasedError
	is.True(errors.As(j.Append(ctx, []byte("two")), &released))

	before := store.calls
	next, replay, err := journal.Open(ctx, store, config("b"))
	is.NoErr(err)
	is.Equal(store.calls-before, 2)
	is.True(replay.Released)
	is.Equal(string(replay.Snapshot), "state")
	is.Equal(replay.Epoch, model.Epoch(2))
	is.NoErr(next.Append(ctx, []byte("two")))

	_, replay, err = journal.Open(ctx, store, config("c")) // the released snapshot is older than the ring now
	is.NoErr(err)
	is.Equal(texts(replay), []string{"two"})
	is.Equal(replay.Epoch, model.Epoch(3))
}

func TestLateSnapshotOfFormerOwner(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	former, _, err := journal.Open(ctx, store, config("a"))
	is.NoErr(err)
	is.NoErr(former.Append(ctx, []byte("one")))
	next, _, err := journal.Open(ctx, store, config("b"))
	is.NoErr(err)
	is.NoErr(next.Append(ctx, []byte("two")))
	is.NoErr(next.WriteSnapshot(ctx, []byte("one two")))

	err = former.WriteSnapshot(ctx, []byte("one"))
	var deposed *journal.DeposedError
	is.True(errors.As(err, &deposed)) // an old snapshot must not replace a newer one
	_, replay, err := journal.Open(ctx, store, config("c"))
	is.NoErr(err)
	is.Equal(string(replay.Snapshot), "one two")
}

func TestSnapshotOfFormerOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	former, _, err := journal.Open(ctx, store, config("a"))
	is.NoErr(err)
	is.NoErr(former.Append(ctx, []byte("one")))
	next, _, err := journal.Open(ctx, store, config("b"))
	is.NoErr(err)
	is.NoErr(next.Append(ctx, []byte("two")))
	is.NoErr(former.WriteSnapshot(ctx, []byte("one"))) // a prefix of the history, written late
	is.NoErr(next.WriteSnapshot(ctx, []byte("one two")))

	_, replay, err := journal.Open(ctx, store, config("c"))
	is.NoErr(err)
	is.Equal(string(replay.Snapshot), "one two")
	is.Equal(len(replay.Entries), 0)
}

func TestConfirmLeavesPendingWriteToItsRetry(t *testing.T) {
	is := is.New(t)
	store := newFakeStore()
	j, _, err := journal.Open(context.Background(), store, config("a"))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	store.cancel = cancel
	store.fault = func(int) fault { return cancelAfter }
	var pending *journal.PendingError
	is.True(errors.As(j.Append(ctx, []byte("one")), &pending))

	store.fault = nil
	ctx = context.Background()
	is.NoErr(j.Confirm(ctx))
	is.NoErr(j.Append(ctx, []byte("one"))) // the retry of the first write
	_, replay, err := journal.Open(ctx, store, config("b"))
	is.NoErr(err)
	is.Equal(texts(replay), []string{"one"})
}

func TestStoreRollbackEndsTheOwnership(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newFakeStore()
	j, _, err := journal.Open(ctx, store, config("a"))
	is.NoErr(err)
	var older map[string]platform.KeyValue
	for i := range 10 {
		is.NoErr(j.Append(ctx, fmt.Append(nil, i)))
		if i == 1 {
			older = maps.Clone(store.values)
		}
	}
	store.values = older
	var corrupt *journal.CorruptError
	is.True(errors.As(j.Append(ctx, []byte("lost")), &corrupt)) // acknowledged entries are gone
	is.True(errors.As(j.Append(ctx, []byte("lost")), &corrupt)) // and every further call fails
}
