package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// lateCopies are workers that carry out each start on w0 at once, without an answer, and once more after a delay.
type lateCopies struct {
	*rebornWorkers
	delay time.Duration
	off   atomic.Bool
	late  context.Context
	// reports counts the requests for reports.
	reports atomic.Int64
}

func (c *lateCopies) RenewLease(ctx context.Context, req RenewRequest) (batch.Report, batch.Answer) {
	c.reports.Add(1)
	return c.rebornWorkers.RenewLease(ctx, req)
}

// keptEnds returns how many ends w0 keeps.
func (c *lateCopies) keptEnds() int {
	c.fakeWorkers.mu.Lock()
	defer c.fakeWorkers.mu.Unlock()
	return len(c.workers["w0"].ended)
}

func (c *lateCopies) Start(ctx context.Context, req StartRequest) batch.Answer {
	if req.Worker != "w0" || c.off.Load() {
		return c.rebornWorkers.Start(ctx, req)
	}
	c.rebornWorkers.Start(ctx, req)
	go func() {
		pause.For(c.late, c.delay)
		if c.late.Err() == nil {
			c.rebornWorkers.Start(context.WithValue(c.late, arrivedBefore{}, true), req)
		}
	}()
	<-ctx.Done()
	return batch.AnswerNone
}

// Guards against a task that runs again after its end was acknowledged (TWICE): a copy of its start got no answer, and the next
// incarnation of the worker carries it out before any owner has reached that one.
func TestACopyOfAStartIsCarriedOutAfterTheEndInTheNextIncarnation(t *testing.T) {
	for _, delay := range []time.Duration{4 * time.Second, 8 * time.Second, 11 * time.Second} {
		withHarness(t, func(h *harness) {
			c := &lateCopies{rebornWorkers: newSilentWorkers(h), delay: delay, late: h.ctx}
			c.startOwner(h, "a", c)
			h.sleep(3 * time.Second)
			h.submit("j", tasks(4))
			h.sleep(delay - 500*time.Millisecond)
			c.off.Store(true)
			h.is.Equal(len(h.workers.firstDone), 4) // otherwise the test shows nothing
			h.loseWorkers([]batch.WorkerID{"w0"})
			c.restart()
			h.sleep(time.Second)
			h.store.set("w/w0", []byte("reborn"))
			h.findWorkers([]batch.WorkerID{"w0"})
			h.sleep(15 * time.Second)
			h.is.Equal(h.workers.overlaps, 0)
			h.is.Equal(h.workers.repeatedEnds, 0)
		}, "w0")
	}
}

// Guards against the same where another owner takes over before the end.
func TestACopyOfAStartOfAFormerOwnerIsCarriedOutAfterTheEndInTheNextIncarnation(t *testing.T) {
	for _, delay := range []time.Duration{6 * time.Second, 11 * time.Second} {
		withHarness(t, func(h *harness) {
			c := &lateCopies{rebornWorkers: newSilentWorkers(h), delay: delay, late: h.ctx}
			c.startOwner(h, "a", c)
			h.sleep(3 * time.Second)
			c.startOwner(h, "b", c)
			h.submit("j", tasks(4))
			h.sleep(500 * time.Millisecond)
			c.off.Store(true)
			h.stops["a"]()
			h.sleep(delay - time.Second)
			h.is.Equal(h.leader(), "b")
			h.is.Equal(len(h.workers.firstDone), 4) // otherwise the test shows nothing
			h.loseWorkers([]batch.WorkerID{"w0"})
			c.restart()
			h.sleep(time.Second)
			h.store.set("w/w0", []byte("reborn"))
			h.findWorkers([]batch.WorkerID{"w0"})
			h.sleep(20 * time.Second)
			h.is.Equal(h.workers.overlaps, 0)
			h.is.Equal(h.workers.repeatedEnds, 0)
		}, "w0")
	}
}

// Guards against ends that a worker keeps for good, which fill its list, against ones that are known late meanwhile, and against requests
// without a pause: the worker answers each at once.
func TestEndsAreAcknowledgedOnceNoCopyOfAStartCanBeCarriedOut(t *testing.T) {
	withHarness(t, func(h *harness) {
		c := &lateCopies{rebornWorkers: newSilentWorkers(h), delay: time.Second, late: h.ctx}
		c.startOwner(h, "a", c)
		h.sleep(3 * time.Second)
		h.submit("j", tasks(4))
		h.sleep(2 * time.Second)
		c.off.Store(true)
		h.submit("k", tasks(4))
		h.sleep(2 * time.Second)
		h.is.Equal(h.storedStatus("j"), batch.Completed)
		h.is.Equal(h.storedStatus("k"), batch.Completed)
		h.is.True(c.keptEnds() > 0)
		c.reports.Store(0)
		h.sleep(4 * time.Second)
		h.is.True(c.keptEnds() > 0)
		h.is.True(c.reports.Load() <= int64(4*time.Second/lossyPause))
		h.sleep(maxCallDelay - 4*time.Second)
		h.is.Equal(c.keptEnds(), 0)
	}, "w0")
}
