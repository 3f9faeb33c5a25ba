package batch

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	// lastingCalm is how long after the last fault and the end of a lease an owner knows that it has ended, also one that took
	// over then, and has had contact with each worker: the tolerance that replaceOwner adds, a check and a tick.
	lastingCalm = 500*time.Millisecond + checkInterval + simulatedTick
	// lastingPatience is how long such a task may be down after that, with room on a worker all the while.
	lastingPatience = 3 * time.Second
	// lastingRoom is how many times a task must fit on a worker that counts as having room for it.
	lastingRoom = 2
)

// checkLasting checks that long-running tasks which have run are not kept down: none is down for longer than
// the lease under which it ran may last plus lastingPatience, while one worker in order has had room for it lastingRoom times
// during all of lastingPatience, and the last fault was that lease and lastingCalm before; a task in doubt waits for all leases of a former owner. A start that got no answer counts as a run until the last
// moment at which it may be executed.
func (w *simulation) checkLasting(t *rapid.T) {
	w.noteActive()
	var keptDown []string
	for id, active := range w.lastActive {
		step := &w.jobs[id.Job].Spec.Steps[id.Step]
		if active.Equal(w.now) || !w.isToRun(id) {
			delete(w.roomSince, id)
			continue
		}
		for _, n := range w.workers {
			if !w.hasRoom(n, id, step) {
				delete(w.roomSince[id], n.info.ID)
				continue
			}
			since := w.noteRoom(id, n.info.ID)
			lease := max(w.lastLease[id], w.formerLease, simulatedLeaseTTL)
			earliest := LaterOf(LaterOf(since, active.Add(lease)), w.lastFault.Add(lease+lastingCalm))
			if w.now.Sub(earliest) > lastingPatience {
				keptDown = append(keptDown, fmt.Sprintf("%v is down for %s, with room on %s for %s and no fault for %s: %s", id, w.now.Sub(active), n.info.ID, w.now.Sub(since),
					w.now.Sub(w.lastFault), w.owner.describeRoom(w.owner.stepOf(id), &w.owner.stepOf(id).tasks[id.Index], w.now)))
			}
		}
	}
	if len(keptDown) > 0 {
		t.Fatal(slices.Min(keptDown))
	}
}

// noteActive notes the long-running tasks that run, and that a start of one that has run is on its way.
func (w *simulation) noteActive() {
	for _, n := range w.workers {
		w.expireLease(n)
		for key := range n.running {
			if w.jobs[key.task.Job].Spec.Steps[key.task.Step].LongRunning {
				w.lastActive[key.task], w.lastLease[key.task] = w.now, w.longestLease(n)
			}
		}
	}
	for _, r := range w.requests {
		w.extendActive(r, w.now)
	}
}

// extendActive notes that a long-running task that has run may be started by a request until a time.
func (w *simulation) extendActive(r sentRequest, until time.Time) {
	active, hasRun := w.lastActive[r.action.Task]
	if r.action.Kind == ActionStart && hasRun {
		w.lastActive[r.action.Task] = LaterOf(active, until)
	}
}

func (w *simulation) noteRoom(id TaskID, worker WorkerID) (since time.Time) {
	if w.roomSince[id] == nil {
		w.roomSince[id] = map[WorkerID]time.Time{}
	}
	if _, ok := w.roomSince[id][worker]; !ok {
		w.roomSince[id][worker] = w.now
	}
	return w.roomSince[id][worker]
}

// isToRun reports whether the job of a task that has run goes on, as far as callers know.
func (w *simulation) isToRun(id TaskID) bool {
	return !w.cancels[id.Job] && !w.deadly[id] && !w.owner.Job(id.Job).Status().Terminal()
}

// hasRoom reports whether a worker that is in order has room for a task lastingRoom times, by what it runs. Of a best-effort task,
// the CPU that it asks for counts, although it is not reserved.
func (w *simulation) hasRoom(n *simulatedWorker, id TaskID, step *Step) bool {
	if n.disconnected || n.refuses || n.info.DataCentre == w.evacuated || n.info.Draining || n.info.Service != "svc" || step.Label != "" && !slices.Contains(n.info.Labels, step.Label) {
		return false
	}
	free, same := n.info.Capacity, 0
	for key := range n.running {
		free = free.Minus(w.jobs[key.task.Job].Spec.Steps[key.task.Step].Resources)
		if key.task.Job == id.Job && key.task.Step == id.Step {
			same++
		}
	}
	if !w.hasQuota(id.Job, step) {
		return false
	}
	need := Resources{}
	for range lastingRoom {
		need = need.Plus(step.Resources)
	}
	return need.Fits(free) && (step.MaxPerWorker == 0 || same+lastingRoom <= step.MaxPerWorker)
}
