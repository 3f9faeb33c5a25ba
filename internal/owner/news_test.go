package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// countingWorkers counts the holds under way.
type countingWorkers struct {
	*fakeWorkers
	mu        sync.Mutex
	now, most int // first calls under way, now and at the most
	contacted map[batch.WorkerID]bool
}

func (c *countingWorkers) RenewLease(ctx context.Context, o RenewRequest) (batch.Report, batch.Answer) {
	c.mu.Lock()
	first := !c.contacted[o.Worker]
	c.contacted[o.Worker] = true
	if first {
		c.now++
		c.most = max(c.most, c.now)
	}
	c.mu.Unlock()
	r, a := c.fakeWorkers.RenewLease(ctx, o)
	if first {
		c.mu.Lock()
		c.now--
		c.mu.Unlock()
	}
	return r, a
}

// Pattern: a take-over of many workers. They are contacted a few at a time, and all of them.
func TestWorkersAreContactedInTurn(t *testing.T) {
	var ids []batch.WorkerID
	for i := range 500 {
		ids = append(ids, batch.WorkerID(fmt.Sprintf("w%03d", i)))
	}
	onStage(t, func(s *stage) {
		c := &countingWorkers{fakeWorkers: s.workers, contacted: map[batch.WorkerID]bool{}}
		o := New(Options{Instance: "a", Address: "a", LeaseTTL: 1200 * time.Millisecond, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second},
			s.store, c, fakeRegistry{}, testConfig, zerolog.Nop())
		go o.Run(s.ctx)
		s.after(time.Second)
		s.is.Equal(len(c.contacted), len(ids))
		s.is.True(c.most <= firstContacts)
	}, ids...)
}

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
