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

// Guards against the same where the worker owes answers to starts: only tasks of the jobs that these belong to wait for what it may carry
// out late, and they must not run twice (TWICE).
func TestOnlyTheJobsOfUnansweredStartsWaitForARestartedWorkerThatIsGone(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.workers.taskDuration = time.Hour
		c := newHeldCalls(h)
		c.startOwner(h, "a", c)
		h.sleep(3 * time.Second)
		c.startOwner(h, "b", c)
		h.submit("k", longRunning(4))
		h.sleep(2 * time.Second)
		ofK := len(h.runningOn([]batch.WorkerID{"w0"}))
		h.is.True(ofK > 0)
		c.hold(callStart, time.Now().Add(11*time.Second))
		h.submit("j", longRunning(4))
		h.sleep(300 * time.Millisecond)
		h.loseWorkers([]batch.WorkerID{"w0"})
		h.stops["a"]()
		h.sleep(100 * time.Millisecond)
		c.hold(allCalls, time.Time{})
		c.restart()
		h.store.set("w/w0", []byte("reborn"))
		h.sleep(900 * time.Millisecond)
		h.unlist("w0")
		h.sleep(ownerlessLeaseLimit + longestLease - 6*time.Second - time.Second)
		h.is.Equal(h.leader(), "b")
		running := map[string]int{}
		for _, task := range h.runningOn([]batch.WorkerID{"w1"}) {
			running[task.Job]++
		}
		h.is.Equal(running["k"], 4)
		h.is.True(running["j"] < 4) // the others run on w0
		h.sleep(maxLateness)
		h.is.Equal(len(h.runningOn([]batch.WorkerID{"w1"})), 8)
		h.is.Equal(h.workers.overlaps, 0)
	}, "w0", "w1")
}
