package owner

import (
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// lapsedEndsOn returns how many attempts have ended with the lease of one of the workers.
func (w *fakeWorkers) lapsedEndsOn(ids []batch.WorkerID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapses := 0
	for _, id := range ids {
		w.workers[id].advance()
		lapses += w.workers[id].lapses
	}
	return lapses
}

// Guards against leases of sound workers that lapse since workers that are cut off take all retries (issue 42, LOST): a
// third of the workers is cut off, and half of the requests to the others get no answer.
func TestWorkersThatAreCutOffLeaveRetriesToOthers(t *testing.T) {
	const workers, cut, duration = 150, 50, 30 * time.Second
	ids := manyWorkers(workers)
	withLossyWorkers(t, 1, func(h *harness, l *lossyWorkers) {
		h.submit("j", longRunning(2*workers))
		h.sleep(5 * time.Second)
		h.is.Equal(len(h.runningOn(ids)), 2*workers)
		h.loseWorkers(ids[:cut])
		l.setLoss(0.5, 0)
		h.sleep(duration)
		sound := ids[cut:]
		lapsed := h.workers.lapsedEndsOn(sound)
		t.Logf("lapsed on sound workers: %d; silent: %d", lapsed, h.log.count("worker.silent", ""))
		h.is.Equal(lapsed, 0)
	}, ids...)
}
