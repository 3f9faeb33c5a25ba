package membership

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

func TestListStaysDuringStoreOutage(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		time.Sleep(77 * time.Millisecond) // the timers of the two instances differ
		_, stopB := start(store, "b")
		defer stopA()
		defer stopB()
		time.Sleep(100 * time.Millisecond)
		last := a.LastContact()
		store.withLock(func() { store.down = true })
		time.Sleep(30 * time.Second)
		is.Equal(memberIDs(a), "ab")                       // the last known list is kept
		is.True(a.LastContact().Sub(last) < 2*time.Second) // LastContact shows the age of the list
		store.withLock(func() { store.down = false })
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			is.Equal(memberIDs(a), "ab") // no member is dropped while all of them register again
		}
		synctest.Wait()
		is.Equal(len(store.entries), 2)
	})
}

// TestMemberThatDiedDuringOutageDisappears checks that a member that ended during an outage is
// kept only until the end of the grace period.
func TestMemberThatDiedDuringOutageDisappears(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		_, stopB := start(store, "b")
		defer stopA()
		time.Sleep(100 * time.Millisecond)
		store.withLock(func() { store.down = true })
		stopB()
		time.Sleep(30 * time.Second)
		store.withLock(func() { store.down = false })
		time.Sleep(DefaultTTL + 2*DefaultListInterval)
		is.Equal(memberIDs(a), "a")
	})
}

func TestSilentEndOfWatchIsNoticed(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		defer stopA()
		time.Sleep(100 * time.Millisecond)
		store.withLock(func() { store.dropEvents = true })
		_, stopB := start(store, "b")
		time.Sleep(DefaultListInterval + 100*time.Millisecond)
		is.Equal(memberIDs(a), "ab") // the read of the list shows what the watch did not deliver
		watches := store.count("watch")
		stopB()
		time.Sleep(DefaultListInterval + 100*time.Millisecond)
		is.Equal(memberIDs(a), "a")
		is.True(store.count("watch") > watches) // and a new watch began
	})
}

// TestEndOfWatchWithErrorIsFollowedByAnother ends the watch with the error that a store returns
// after it has compacted the revision. The instance must list again and start another watch.
func TestEndOfWatchWithErrorIsFollowedByAnother(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		defer stopA()
		time.Sleep(100 * time.Millisecond)
		store.withLock(func() {
			for events := range store.watches {
				events <- platform.WatchEvent{Err: &platform.StoreError{Op: "watch", Compacted: true, Cause: context.Canceled}}
				delete(store.watches, events)
			}
		})
		time.Sleep(retryDelay + 10*time.Millisecond)
		_, stopB := start(store, "b")
		defer stopB()
		synctest.Wait()
		is.Equal(memberIDs(a), "ab") // at once, by the new watch
	})
}

// TestLostResponseOfRegistrationIsResolved loses the responses of writes that took effect. The
// instance must still register, write a change of its entry, and then stop writing.
func TestLostResponseOfRegistrationIsResolved(t *testing.T) {
	for _, lost := range []int{1, 2, 5} {
		bubbletest.Run(t, func(t *testing.T) {
			is := is.New(t)
			store := newFakeStore()
			store.lostResponses = lost
			a, stopA := start(store, "a")
			defer stopA()
			time.Sleep(5 * time.Second)
			is.Equal(memberIDs(a), "a")
			store.withLock(func() { store.lostResponses = lost })
			a.Announce(func(m *Member) { m.ConfigRevision = 9 })
			time.Sleep(5 * time.Second)
			synctest.Wait()
			is.True(strings.Contains(string(store.entries[KeyPrefix+"a"].Value), `"configRevision":9`))
			swaps := store.count("swap")
			time.Sleep(time.Minute)
			is.Equal(store.count("swap"), swaps) // no write without a change
		})
	}
}

// TestLapseWhilePausedIsRepaired ends the lease of an instance in the store, as happens when its
// process is paused for longer than the TTL. The instance must register again.
func TestLapseWhilePausedIsRepaired(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		b, stopB := start(store, "b")
		defer stopA()
		defer stopB()
		time.Sleep(100 * time.Millisecond)
		store.withLock(func() { store.lapse(store.entries[KeyPrefix+"a"].Lease) })
		synctest.Wait()
		is.Equal(memberIDs(b), "b")
		is.Equal(memberIDs(a), "b") // a is also missing from its own list
		owner, _ := a.Assigned(1)
		is.Equal(owner.ID, model.InstanceID("b"))
		time.Sleep(DefaultTTL/renewalsPerTTL + retryDelay)
		is.Equal(memberIDs(a), "ab") // a has registered again under a new lease
		is.Equal(memberIDs(b), "ab")
	})
}

// TestStoreCallsPerSecond bounds the store calls that one instance makes in a minute.
func TestStoreCallsPerSecond(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		_, stopA := start(store, "a")
		defer stopA()
		time.Sleep(1500 * time.Millisecond) // no renewal is due at the start or end of the minute
		store.withLock(func() { clear(store.calls) })
		time.Sleep(time.Minute)
		synctest.Wait()
		t.Logf("calls in a minute: %v", store.calls)
		is.True(store.count("list") <= 30)
		is.True(store.count("renew") <= 60)
		is.Equal(store.count("swap")+store.count("grant")+store.count("watch")+store.count("get"), 0)
	})
}

// TestKilledMemberDisappearsWithItsLease checks that an instance that ends without revoking its
// lease is removed from the list when the lease lapses.
func TestKilledMemberDisappearsWithItsLease(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		b, stopB := start(store, "b")
		defer stopB()
		killed := New(Config{Store: store, Self: Member{ID: "a"}, Log: zerolog.Nop()})
		var r registration
		is.NoErr(killed.refresh(context.Background(), &r))
		synctest.Wait()
		is.Equal(memberIDs(b), "ab")
		time.Sleep(DefaultTTL + time.Millisecond)
		synctest.Wait()
		is.Equal(memberIDs(b), "b")
	})
}
