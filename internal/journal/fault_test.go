package journal_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/journal"
)

// runFixedSession runs a fixed sequence of calls by two owners. It returns the entries that the
// second owner replays and those whose append by the first owner was acknowledged.
func runFixedSession(store *fakeStore) (replayed, acknowledged []string, err error) {
	ctx := context.Background()
	first, _, err := journal.Open(ctx, store, config("a"))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errOpen, err)
	}
	for i := range 10 {
		text := fmt.Sprint("entry-", i)
		if err := first.Append(ctx, []byte(text)); err != nil {
			return nil, nil, err
		}
		acknowledged = append(acknowledged, text)
		if first.NeedsSnapshot() {
			if err := first.WriteSnapshot(ctx, fmt.Append(nil, acknowledged)); err != nil {
				return nil, nil, err
			}
		}
	}
	_, replay, err := journal.Open(ctx, store, config("b"))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errOpen, err)
	}
	store.applyHeld()
	if err := first.Append(ctx, []byte("too late")); !isDeposed(err) {
		return nil, nil, fmt.Errorf("former owner was not deposed: %v", err)
	}
	replayed = append([]string{string(replay.Snapshot)}, texts(replay)...)
	return replayed, acknowledged, nil
}

// isDeposed reports whether err is a *journal.DeposedError.
func isDeposed(err error) bool {
	var deposed *journal.DeposedError
	return errors.As(err, &deposed)
}

// TestFaultPointWalk injects each fault, and each pair of consecutive faults, at each store
// call of the session in turn.
func TestFaultPointWalk(t *testing.T) {
	is := is.New(t)
	plain := newFakeStore()
	want, _, err := runFixedSession(plain)
	is.NoErr(err)
	for first := noFault; first < allFaults; first++ {
		for second := notSent; second < allFaults; second++ {
			for point := 1; point <= plain.calls; point++ {
				runWithFaultsAt(t, point, []fault{first, second}, want)
			}
		}
	}
}

// runWithFaultsAt runs the session with the faults at consecutive calls, beginning with call number
// point.
func runWithFaultsAt(t *testing.T, point int, faults []fault, want []string) {
	t.Helper()
	store := newFakeStore()
	store.fault = func(call int) fault {
		if i := call - point; i >= 0 && i < len(faults) {
			return faults[i]
		}
		return noFault
	}
	got, _, err := runFixedSession(store)
	if readFailed(err) {
		return // Open failed on a read, which is allowed; nothing was acknowledged
	}
	if err != nil {
		t.Errorf("%v at call %d: %v", faults, point, err)
		return
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%v at call %d: replayed %v, want %v", faults, point, got, want)
	}
}

// errOpen wraps an error of Open in a session.
var errOpen = errors.New("open")

// readFailed reports whether Open failed because of an injected fault.
func readFailed(err error) bool { return errors.Is(err, errOpen) && errors.Is(err, errFake) }
