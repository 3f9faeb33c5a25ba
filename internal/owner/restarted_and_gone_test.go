package owner

import (
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// Guards against tasks that stay down (issue 39, LOST): a worker starts again just before a take-over and leaves for good. The new owner
// waited for what it may carry out late, 12 s and the longest lease, although it owed no answer.
func TestARestartedWorkerThatIsGoneIsWaitedForNoLongerThanForItsLongestLease(t *testing.T) {
	for _, told := range []bool{false, true} {
		withHarness(t, func(h *harness) {
			h.workers.taskDuration = time.Hour
			c := newHeldCalls(h)
			c.startOwner(h, "a", c)
			h.sleep(3 * time.Second)
			c.startOwner(h, "b", c)
			h.submit("j", longRunning(6))
			h.sleep(2 * time.Second)
			h.is.True(len(h.runningOn([]batch.WorkerID{"w0"})) > 0) // otherwise the test shows nothing
			h.loseWorkers([]batch.WorkerID{"w0"})
			h.stops["a"]()
			limit := ownerlessLeaseLimit + longestLease - 6*time.Second // an owner asks for 6 s
			c.restart()
			h.store.set("w/w0", []byte("reborn"))
			h.sleep(time.Second)
			if told {
				c.startOwner(h, "a", c) // it says that its former process has ended
				limit -= testLeaseTTL + claimGrace
			}
			h.unlist("w0")
			h.sleep(limit - time.Second)
			h.is.Equal(h.leader(), "b")
			h.is.Equal(len(h.runningOn([]batch.WorkerID{"w1"})), 6)
			h.is.Equal(h.workers.overlaps, 0)
		}, "w0", "w1")
	}
}
