package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// Pattern: a take-over of thousands of workers, whose lists all wait. What the store says of a
// worker is heard before the lists, and before the next decision.
func TestNewsGoBeforeWaitingLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := New(Options{Instance: "a"}, newMemoryStore(), nil, fakeRegistry{}, testConfig, zerolog.Nop())
		ctx, cancel := context.WithCancelCause(t.Context())
		l := newLeader(o, victory{claim: Claim{Epoch: 1}, commitRev: 1}, cancel)
		var order []string
		l.post(func(l *leader, _ time.Time) {
			order = append(order, "list")
			l.postNews(func(*leader, time.Time) { order = append(order, "news") })
		})
		for range 100 {
			l.post(func(*leader, time.Time) { order = append(order, "list") })
		}
		l.drain()
		is.Equal(len(order), 102)
		is.Equal(order[:3], []string{"list", "news", "list"}) // it came while the lists waited
		cancel(nil)
		<-ctx.Done()
	})
}
