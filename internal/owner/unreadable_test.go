package owner

import (
	"testing"
	"time"
)

// Guards against tasks that wait for ever after a take-over since the reports of one worker cannot be read in full, and
// against two runs of the one that runs there.
func TestUnreadableReportsEndWithTheLease(t *testing.T) {
	withHarness(t, func(h *harness) {
		task := h.startWithTask()
		runs := h.workerOf(task)
		h.workers.mu.Lock()
		h.workers.unreadable = runs
		h.workers.mu.Unlock()
		h.kill("a")
		h.requireRestart(task, 2, 16*time.Second)
		h.sleep(2 * time.Second)
		h.is.Equal(h.workers.runningCopies(task), 1)
		h.is.Equal(h.workers.overlaps, 0)
	}, "w1", "w2")
}
