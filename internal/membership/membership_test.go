package membership

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// start runs the Membership of an instance until the returned function is called.
func start(store *fakeStore, id model.InstanceID) (*Membership, func()) {
	m := New(Config{
		Store: store,
		Self:  Member{ID: id, PeerAddr: string(id) + ":7000", Started: time.Now()},
		Log:   zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	return m, func() { cancel(); <-done }
}

// memberIDs returns the IDs of the members that m knows as one string, in order.
func memberIDs(m *Membership) string {
	joined := ""
	for _, member := range m.Members() {
		joined += string(member.ID)
	}
	return joined
}

func TestMembersSeeEachOther(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		b, stopB := start(store, "b")
		time.Sleep(100 * time.Millisecond)
		is.Equal(memberIDs(a), "ab") // both are registered
		is.Equal(memberIDs(b), "ab")
		stopA()
		synctest.Wait()
		is.Equal(memberIDs(b), "b") // a planned stop revokes the lease at once
		stopB()
	})
}

func TestAnnounceReachesOthers(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
		b, stopB := start(store, "b")
		defer stopA()
		defer stopB()
		time.Sleep(100 * time.Millisecond)
		a.Announce(func(m *Member) { m.Draining, m.ConfigRevision = true, 7 })
		is.True(a.Members()[0].Draining) // visible locally at once
		synctest.Wait()
		is.True(b.Members()[0].Draining)
		is.Equal(b.Members()[0].ConfigRevision, model.Revision(7))
		for p := range model.Partition(64) {
			owner, found := b.Assigned(p)
			is.True(found)
			is.Equal(owner.ID, model.InstanceID("b")) // a draining member is assigned nothing
		}
	})
}

func TestAssignMovesOnlyTheShareOfTheChangedMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "members")
		var members []Member
		for i := range n {
			members = append(members, Member{ID: model.InstanceID("instance-" + strconv.Itoa(i))})
		}
		removed := rapid.IntRange(0, n-1).Draw(t, "gone")
		remaining := append(append([]Member{}, members[:removed]...), members[removed+1:]...)
		for p := range model.Partition(64) {
			before, _ := assign(members, p)
			after, _ := assign(remaining, p)
			if before.ID != members[removed].ID && before.ID != after.ID {
				t.Fatalf("partition %d moved from %s to %s although only %s left", p, before.ID, after.ID, members[removed].ID)
			}
		}
	})
}
