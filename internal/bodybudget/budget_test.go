package bodybudget

import (
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
)

const testLimit = 1 << 20

func newBudget() *Budget { return New(testLimit, tally.NoopScope) }

func TestRoomForRequests(t *testing.T) {
	const large = testLimit * 3 / 4 // what large requests may hold
	cases := []struct {
		name string
		held []int64 // by other requests
		add  int64
		full bool
	}{
		{"a large request up to its part", nil, large, false},
		{"the only large request above its part", nil, large + 1, false},
		{"the only large request above all", []int64{SmallBytes}, 2 * testLimit, false},
		{"a large request beside one above all", []int64{2 * testLimit}, SmallBytes + 1, true},
		{"a small request beside one above all", []int64{2 * testLimit}, SmallBytes, false},
		{"a large request when small ones hold much", []int64{large / 2, SmallBytes, SmallBytes, SmallBytes}, large / 2, false},
		{"a large request beside another", []int64{large - SmallBytes}, SmallBytes + 1, true},
		{"a small request beside large ones that have used their part up", []int64{large}, SmallBytes, false},
		{"a small request when others hold all that is left", []int64{large, SmallBytes, SmallBytes, SmallBytes, SmallBytes}, 1, true},
		{"nothing", []int64{large, SmallBytes, SmallBytes, SmallBytes, SmallBytes}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBudget()
			held := int64(0)
			for _, bytes := range c.held {
				is.NoErr(b.Open(nil).Set(bytes))
				held += bytes
			}
			a := b.Open(nil)
			err := a.Set(c.add)
			is.Equal(errors.Is(err, ErrFull), c.full)
			if !c.full {
				held += c.add
			}
			is.Equal(b.Held(), held)
			a.Close()
			is.Equal(b.Held(), held-a.Bytes()-map[bool]int64{false: c.add}[c.full])
		})
	}
}

// Guards against a small request that grows beyond what is kept for small ones.
func TestARequestThatGrowsLargeCountsAsLarge(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	is.NoErr(b.Open(nil).Set(testLimit * 3 / 4))
	a := b.Open(nil)
	is.NoErr(a.Grow(SmallBytes)) // small ones have room
	is.True(errors.Is(a.Grow(1), ErrFull))
	is.Equal(a.Bytes(), int64(SmallBytes))
}

// Guards against bytes that are charged after the request has ended, and never released.
func TestAClosedAccountHoldsNothing(t *testing.T) {
	is := is.New(t)
	b := newBudget()
	a := b.Open(nil)
	is.NoErr(a.Grow(10))
	a.Reset()
	is.NoErr(a.Grow(10)) // it can be used again
	a.Close()
	is.True(errors.Is(a.Grow(10), ErrFull))
	is.Equal(b.Held(), int64(0))
}

// Guards against requests that hold the budget without progress while others are refused.
func TestStalledRequestsAreEndedInFavourOfOthers(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		b := newBudget()
		var ended []string
		hold := func(name string) *Account {
			a := b.Open(func() { ended = append(ended, name) })
			is.NoErr(a.Set(testLimit / 4))
			return a
		}
		first := hold("first")
		time.Sleep(stalledAfter / 2)
		hold("second")
		hold("third")
		asking := b.Open(func() { t.Error("the request that asks was ended") })
		is.True(errors.Is(asking.Set(testLimit/2), ErrFull))
		is.Equal(len(ended), 0) // nobody has stalled yet
		time.Sleep(stalledAfter / 2)
		is.True(errors.Is(asking.Set(testLimit/2), ErrFull))
		is.Equal(ended, []string{"first"})
		is.True(first.isEnded())
		is.True(errors.Is(asking.Set(testLimit/2), ErrFull))
		is.Equal(ended, []string{"first"}) // once only; the others have not stalled for long enough
	})
}

// Guards against a request that is ended although nobody needs its bytes.
func TestAStalledRequestGoesOnWhileThereIsRoom(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		b := newBudget()
		is.NoErr(b.Open(func() { t.Error("ended") }).Set(1000))
		time.Sleep(time.Hour)
		is.NoErr(b.Open(nil).Set(1000))
	})
}

// Guards against a request that is cut off while it is being handled, since others need the bytes of its body.
func TestABodyThatHasBeenReadIsNotEndedInFavourOfOthers(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		b := newBudget()
		var deadline time.Time
		body, err := b.ReadAll(Source{
			Body: strings.NewReader("read"), Length: 4, Limit: 10,
			SetDeadline: func(t time.Time) error { deadline = t; return nil },
		})
		is.NoErr(err)
		defer body.Release()
		time.Sleep(2 * stalledAfter)
		is.NoErr(b.Open(nil).Set(testLimit))
		is.True(errors.Is(b.Open(nil).Set(testLimit), ErrFull))
		is.True(deadline.IsZero())
	})
}
