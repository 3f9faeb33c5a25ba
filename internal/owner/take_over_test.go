package owner

import (
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// longRunning returns a step of tasks that run until their job is cancelled.
func longRunning(count int) batch.Step {
	step := tasks(count)
	step.LongRunning = true
	return step
}

// leave removes a worker for good: it answers no calls, and the registry no longer has it.
func (h *harness) leave(id batch.WorkerID) {
	h.workers.mu.Lock()
	h.workers.unreachable[id] = true
	h.workers.mu.Unlock()
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	h.store.remove("w/" + string(id))
}

// workerOf returns the worker that runs a task.
func (h *harness) workerOf(task batch.TaskID) batch.WorkerID {
	h.workers.mu.Lock()
	defer h.workers.mu.Unlock()
	for id, n := range h.workers.workers {
		for key := range n.running {
			if key.task == task && !h.workers.unreachable[id] {
				return id
			}
		}
	}
	h.t.Fatalf("%v runs nowhere", task)
	return ""
}

// Guards against a wait after a take-over that the log does not explain: the worker that left, and the longest
// wait for it, must be named.
func TestANewOwnerNamesTheWorkersThatItWaitsFor(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.workers.taskDuration = time.Hour
		h.startInstance("a")
		h.sleep(time.Second)
		h.submit("j", longRunning(1))
		h.sleep(time.Second)
		h.startInstance("b")
		lost := h.workerOf(batch.TaskID{Job: "j"})
		h.kill("a")
		h.leave(lost)
		h.sleep(3 * time.Second)
		h.is.Equal(h.log.count("takeover.in-doubt", `"worker":"`+string(lost)+`","wait-ms":9880,`), 1)
		h.is.Equal(h.log.count("takeover.in-doubt", ""), 1)
		h.sleep(10 * time.Second)
		h.is.Equal(h.log.count("takeover.resolved", `"worker":"`+string(lost)+`"`), 1)
	}, "w1", "w2", "w3")
}
