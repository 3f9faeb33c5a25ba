package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestListStaysDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		a, stopA := start(store, "a")
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
		time.Sleep(time.Second)
		is.Equal(ids(a), "ab") // both have registered again under new leases
	})
}
