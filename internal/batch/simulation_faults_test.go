package batch

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// toggleConnection interrupts the connection between a worker and the owner, or restores it.
func (w *simulation) toggleConnection(t *rapid.T) {
	n := w.drawWorker(t)
	n.disconnected = !n.disconnected
	if n.disconnected {
		w.owner.MarkUnreachable(n.info.ID)
	}
}

// crash restarts a worker under the same id; it loses all its tasks. The owner learns of it only from a later
// entry in the registry or a later report. Requests on their way die with the former incarnation or reach the
// new one.
func (w *simulation) crash(t *rapid.T) {
	if rapid.IntRange(0, 5).Draw(t, "seldom") > 0 {
		return
	}
	n := w.drawWorker(t)
	n.info.Incarnation++
	n.running, n.maxEndedRun, n.ended, n.nextSeq, n.maxEpoch = map[attemptKey]bool{}, map[TaskID]int64{}, nil, 1, 0
	n.lease, n.lapsedSeq, w.startedAfterDone[n] = time.Time{}, 0, map[int64]bool{}
	n.clockOffset = time.Duration(rapid.IntRange(-20, 20).Draw(t, "clock")) * time.Second
	w.requests = slices.DeleteFunc(w.requests, func(r sentRequest) bool {
		if r.action.Worker != n.info.ID || rapid.Bool().Draw(t, "reaches the new incarnation") {
			return false
		}
		w.giveUp(&r)
		return true
	})
}

// register lets a worker update its entry in the registry.
func (w *simulation) register(t *rapid.T) {
	n := w.drawWorker(t)
	n.entry = n.info
}

// toggleRefusal makes a worker refuse all starts, or accept them again.
func (w *simulation) toggleRefusal(t *rapid.T) {
	n := w.drawWorker(t)
	n.refuses = !n.refuses
}

// checkWaiting checks that a job of which no worker has started a task is counted and shown as waiting.
func (w *simulation) checkWaiting(t *rapid.T) {
	waiting := 0
	for id := range w.jobs {
		j := w.owner.Job(id)
		if w.begun[id] || j.outcome.Terminal() {
			continue
		}
		waiting++
		if j.Status() != Queued {
			t.Fatalf("job %s is shown as %s, but no worker has started a task of it", id, j.Status())
		}
	}
	if known := w.owner.QueuedJobs("q"); known < waiting {
		t.Fatalf("%d jobs are said to wait, but %d do", known, waiting)
	}
}

// list passes a worker's entry in the registry to the owner.
func (w *simulation) list(t *rapid.T) { w.owner.UpdateWorker(w.drawWorker(t).entry, w.now) }

// advanceTime lets time pass. The owner does not wait longer than simulatedCallTimeout for an answer, and no
// request is executed later than maxCallDelay.
func (w *simulation) advanceTime(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(10, 900).Draw(t, "ms")) * time.Millisecond)
	w.expireRequests()
}

func (w *simulation) expireRequests() {
	for i := range w.requests {
		if w.now.Sub(w.requests[i].sentAt) > simulatedCallTimeout {
			w.giveUp(&w.requests[i])
		}
	}
	w.requests = slices.DeleteFunc(w.requests, func(r sentRequest) bool { return w.now.Sub(r.sentAt) > maxCallDelay })
}
