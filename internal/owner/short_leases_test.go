package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// leaseLeft returns how long the lease of a worker still lasts.
func (w *fakeWorkers) leaseLeft(id batch.WorkerID) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.workers[id].lease)
}

// Guards against tasks that stay down for the longest lease after their worker fell silent, though a shorter one outlasts a
// take-over (issue 57, part 5).
func TestALongRunningTaskOfASilentWorkerIsRestartedBeforeTheLongestLeaseEnds(t *testing.T) {
	withHarness(t, func(h *harness) {
		task := h.startWithTask()
		h.sleep(20 * time.Second)
		h.leave(h.workerOf(task))
		h.requireRestart(task, 2, 5500*time.Millisecond)
		h.is.Equal(h.workers.overlaps, 0)
	}, "w0", "w1")
}

// Guards against short leases that lapse while another instance takes over, at whatever time between two renewals the owner is
// killed.
func TestShortLeasesOutlastATakeOver(t *testing.T) {
	for after := time.Duration(0); after < 2*time.Second; after += 250 * time.Millisecond {
		t.Run(fmt.Sprint("killed after ", after), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.workers.taskDuration = time.Hour
				h.startInstance("a")
				h.sleep(time.Second)
				h.submit("j", longRunning(8))
				h.sleep(time.Second)
				h.startInstance("b")
				h.sleep(20*time.Second + after)
				h.kill("a")
				h.sleep(10 * time.Second)
				h.is.Equal(h.leader(), "b")
				h.is.Equal(h.workers.lapsedEnds(), 0)
				h.is.Equal(len(h.runningOn([]batch.WorkerID{"w0", "w1"})), 8)
			}, "w0", "w1")
		})
	}
}

// Guards against short leases that lapse while the store is away: the owner lengthens them as soon as its claim is unconfirmed,
// and they last until another instance has taken over after the outage.
func TestLeasesAreLongWhileTheClaimIsUnconfirmed(t *testing.T) {
	withHarness(t, func(h *harness) {
		task := h.startWithTask()
		h.sleep(20 * time.Second)
		w := h.workerOf(task)
		h.store.setDown(true)
		h.sleep(600 * time.Millisecond)
		var longest time.Duration
		for range 20 {
			h.sleep(100 * time.Millisecond)
			longest = max(longest, h.workers.leaseLeft(w))
		}
		h.is.True(longest > 5500*time.Millisecond) // a short lease of a worker that may wait with its answer lasts 5.25 s
		h.store.setDown(false)
		h.sleep(10 * time.Second)
		h.is.Equal(h.workers.lapsedEnds(), 0)
	}, "w0", "w1")
}
