package membership

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

func TestListStaysDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		time.Sleep(77 * time.Millisecond) // the two do not act in step
		_, stopB := start(store, "b")
		defer stopA()
		defer stopB()
		time.Sleep(100 * time.Millisecond)
		last := a.LastContact()
		store.set(func() { store.down = true })
		time.Sleep(30 * time.Second)
		is.Equal(ids(a), "ab")                             // the last known list stays
		is.True(a.LastContact().Sub(last) < 2*time.Second) // and its age is told
		store.set(func() { store.down = false })
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			is.Equal(ids(a), "ab") // nobody is taken for dead while all register again
		}
		synctest.Wait()
		is.Equal(len(store.entries), 2)
	})
}

// TestMemberThatDiedDuringOutageDisappears checks that the members that are kept after an
// outage are not kept for ever.
func TestMemberThatDiedDuringOutageDisappears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		_, stopB := start(store, "b")
		defer stopA()
		time.Sleep(100 * time.Millisecond)
		store.set(func() { store.down = true })
		stopB()
		time.Sleep(30 * time.Second)
		store.set(func() { store.down = false })
		time.Sleep(DefaultTTL + 2*DefaultListInterval)
		is.Equal(ids(a), "a")
	})
}

func TestSilentEndOfWatchIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		defer stopA()
		time.Sleep(100 * time.Millisecond)
		store.set(func() { store.mute = true })
		_, stopB := start(store, "b")
		time.Sleep(DefaultListInterval + 100*time.Millisecond)
		is.Equal(ids(a), "ab") // the list shows what the watch did not deliver
		watches := store.count("watch")
		stopB()
		time.Sleep(DefaultListInterval + 100*time.Millisecond)
		is.Equal(ids(a), "a")
		is.True(store.count("watch") > watches) // and a new watch began
	})
}

// TestEndOfWatchWithErrorIsFollowedByAnother ends the watch as a store does that has dropped
// the revision.
func TestEndOfWatchWithErrorIsFollowedByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		defer stopA()
		time.Sleep(100 * time.Millisecond)
		store.set(func() {
			for events := range store.watches {
				events <- platform.WatchEvent{Err: &platform.StoreError{Op: "watch", Compacted: true, Cause: context.Canceled}}
				delete(store.watches, events)
			}
		})
		time.Sleep(retryDelay + 10*time.Millisecond)
		_, stopB := start(store, "b")
		defer stopB()
		synctest.Wait()
		is.Equal(ids(a), "ab") // at once, by the new watch
	})
}

// TestLostAnswerOfRegistrationIsResolved loses the answers of writes that took effect.
func TestLostAnswerOfRegistrationIsResolved(t *testing.T) {
	for _, lost := range []int{1, 2, 5} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			store := newFakeStore()
			store.lostAnswers = lost
			a, stopA := start(store, "a")
			defer stopA()
			time.Sleep(5 * time.Second)
			is.Equal(ids(a), "a")
			store.set(func() { store.lostAnswers = lost })
			a.Announce(func(m *Member) { m.ConfigRevision = 9 })
			time.Sleep(5 * time.Second)
			synctest.Wait()
			is.True(strings.Contains(string(store.entries[KeyPrefix+"a"].Value), `"configRevision":9`))
			swaps := store.count("swap")
			time.Sleep(time.Minute)
			is.Equal(store.count("swap"), swaps) // it does not write again without need
		})
	}
}

// TestLapseWhilePausedIsRepaired pauses an instance past its lease: the store ends the lease
// as if no renewal had arrived.
func TestLapseWhilePausedIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		b, stopB := start(store, "b")
		defer stopA()
		defer stopB()
		time.Sleep(100 * time.Millisecond)
		store.set(func() { store.lapse(store.entries[KeyPrefix+"a"].Lease) })
		synctest.Wait()
		is.Equal(ids(b), "b")
		is.Equal(ids(a), "b") // a does not count itself either
		owner, _ := a.Assigned(1)
		is.Equal(owner.ID, model.InstanceID("b"))
		time.Sleep(DefaultTTL/renewalsPerTTL + retryDelay)
		is.Equal(ids(a), "ab") // a has registered under a new lease
		is.Equal(ids(b), "ab")
	})
}

// TestStoreCallsPerSecond bounds what one instance costs the store.
func TestStoreCallsPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		_, stopA := start(store, "a")
		defer stopA()
		time.Sleep(1500 * time.Millisecond) // no renewal is due at either end of the minute
		store.set(func() { clear(store.calls) })
		time.Sleep(time.Minute)
		synctest.Wait()
		t.Logf("calls in a minute: %v", store.calls)
		is.True(store.count("list") <= 30)
		is.True(store.count("renew") <= 60)
		is.Equal(store.count("swap")+store.count("grant")+store.count("watch")+store.count("get"), 0)
	})
}

// TestKilledMemberDisappearsWithItsLease ends an instance without a revocation.
func TestKilledMemberDisappearsWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		b, stopB := start(store, "b")
		defer stopB()
		killed := New(Config{Store: store, Self: Member{ID: "a"}, Log: zerolog.Nop()})
		var r registration
		is.NoErr(killed.refresh(context.Background(), &r))
		synctest.Wait()
		is.Equal(ids(b), "ab")
		time.Sleep(DefaultTTL + time.Millisecond)
		synctest.Wait()
		is.Equal(ids(b), "b")
	})
}
