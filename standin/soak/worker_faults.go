package soak

import (
	"net/http"
	"time"
)

// Crash stops the worker, which loses all of its runs and unacknowledged ends and drops its connections.
// It closes connections without an answer until it is restarted.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
}

func (w *Worker) crash() {
	w.up = false
	w.loseRuns()
	w.proxy.Reset()
}

// crashForAWhile crashes the worker and restarts it after a random time.
func (w *Worker) crashForAWhile() {
	w.crash()
	w.Checker.RecordFaultBegin()
	away := minCrashTime + time.Duration(w.rng.Int64N(int64(maxCrashTime-minCrashTime)))
	time.AfterFunc(away, func() {
		w.Restart()
		w.Announce("ready")
		w.Checker.RecordFaultEnd()
	})
}

// Restart starts the worker again with the same id, but without runs, lease and fencing token. A worker
// that is up, since an earlier restart overlapped with another fault, loses its runs.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left {
		return
	}
	w.loseRuns()
	w.reset()
}

// Leave stops the worker for good, with its proxy and its server. Its entry is removed after the given time.
func (w *Worker) Leave(entryRemovedAfter time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.closed)
	w.left = true
	w.crash()
	w.proxy.Close()
	_ = w.server.Close()
	time.AfterFunc(entryRemovedAfter, func() { w.Store.Delete(w.key()) })
}

// FailLastingRuns ends the runs that go on until they are stopped as failed.
func (w *Worker) FailLastingRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, t := range w.runs {
		if t.lasts() {
			w.finishRun(r, "failed")
		}
	}
}

// SetCapacity changes the capacity to cpu milliCPU. The worker's entry shows it within a heartbeat.
func (w *Worker) SetCapacity(cpu int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.capacity, time.Now()})
	w.capacity = cpu
	time.AfterFunc(time.Duration(w.rng.Int64N(int64(heartbeat))), w.writeEntry)
}

// countedCapacity returns the capacity in milliCPU that counts for a start at the given time: the largest of
// those that the worker has had in the last maxCapacityDelay before it.
func (w *Worker) countedCapacity(at time.Time) int64 {
	counted := w.capacity
	for _, former := range w.formerCapacities {
		if at.Sub(former.until) <= maxCapacityDelay {
			counted = max(counted, former.cpu)
		}
	}
	return counted
}

// takesTasks reports whether new tasks may start.
func (w *Worker) takesTasks() bool { return w.up && w.state == "ready" && !w.refusesStarts }

// freeCPU returns the milliCPU that new tasks may reserve.
func (w *Worker) freeCPU() int64 { return w.capacity - w.totalReservedCPU() }

// totalUsedCPU returns the milliCPU that all runs on the worker use.
func (w *Worker) totalUsedCPU() int64 {
	var sum int64
	for _, t := range w.runs {
		sum += t.spec.CPU
	}
	return sum
}

// loseRuns ends all runs, and forgets the ends that were not acknowledged.
func (w *Worker) loseRuns() {
	for r := range w.runs {
		w.Checker.RecordEnd(w.ID, r, "lost")
	}
	w.runs, w.unacknowledged = map[run]*activeRun{}, nil
}

// SetTaskFailureShare sets the share of runs that fail because of the worker.
func (w *Worker) SetTaskFailureShare(share float64) {
	w.mu.Lock()
	w.taskFailureShare = share
	w.mu.Unlock()
}

// SetRefusesStarts makes the worker refuse all starts, or accept them again.
func (w *Worker) SetRefusesStarts(refuses bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusesStarts = refuses
}

// SetLostAnswerShare sets the share of requests that get no answer, whatever they ask for.
func (w *Worker) SetLostAnswerShare(share float64) {
	w.mu.Lock()
	w.lostAnswerShare = share
	w.mu.Unlock()
}

// minLateTime and maxLateTime bound how late a request without an answer is executed that is late.
const minLateTime, maxLateTime = 2 * time.Second, 12 * time.Second

// loseAnswer executes a request at once, late or never, and gives no answer: it closes the connection, or is silent until
// the caller has closed it.
func (w *Worker) loseAnswer(r *http.Request, b requestBody) {
	w.mu.Lock()
	silent := w.rng.IntN(2) == 0
	late := minLateTime + time.Duration(w.rng.Int64N(int64(maxLateTime-minLateTime)))
	switch w.rng.IntN(3) {
	case 0:
		w.execute(r.URL.Path, b)
	case 1:
		time.AfterFunc(late, func() { w.executeLate(r.URL.Path, b) })
	}
	w.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// executeLate executes a request unless the worker is down. If it has been restarted meanwhile, the next incarnation does: it
// cannot tell.
func (w *Worker) executeLate(path string, b requestBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.execute(path, b)
	}
}
