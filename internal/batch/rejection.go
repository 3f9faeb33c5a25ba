package batch

import (
	"slices"
	"time"
)

// rejection is the reason for which a worker does not get a task.
type rejection uint8

// The reasons, in the order in which they are looked at.
const (
	notRejected          rejection = iota
	rejectedService                // it belongs to another service
	rejectedCPU                    // its free CPU is too small
	rejectedMemory                 // its free memory is too small
	rejectedGPU                    // it has too few free GPUs
	rejectedRefusal                // it has just refused as much for want of room
	rejectedLabel                  // it lacks the label that the step requires
	rejectedSpread                 // it runs as many tasks of the step as may share a worker
	rejectedReservation            // it has room, but that is reserved for a step before
	rejectedIsolation              // it has room, but runs suspected tasks, which the task must not join
	rejectedTicket                 // the adviser has granted no ticket for it
	rejectedInterference           // latency-sensitive tasks there leave no CPU, or would miss their targets
	rejections
)

// rejectionNames say in the log what the workers lack that do not get a task.
var rejectionNames = [rejections]string{"have room", "belong to another service", "lack CPU", "lack memory", "lack GPUs",
	"have refused as much", "lack the label", "run enough tasks of the step", "have room that is reserved for steps before", "have room but run suspected tasks", "have no ticket", "serve tasks that it would disturb"}

// rejects returns the reason for which a usable worker does not get a task, or notRejected. q is the queue of the step's
// job.
func (s *State) rejects(st *step, q *Queue, t *task, w *worker, now time.Time) rejection {
	if r := st.unsuited(w, q, now); r != notRejected {
		return r
	}
	if s.reservesFrom(st, w, now) {
		return rejectedReservation
	}
	if t.mustAvoid(st, w, now) {
		return rejectedIsolation
	}
	if q.RequiresTicket && !st.advice.hasTicket(w, now) {
		return rejectedTicket
	}
	if st.spec.BestEffort || st.spec.LatencyTarget > 0 {
		s.updateLatencyGroups(w, now)
	}
	if st.spec.BestEffort && !s.admitsBestEffort(st, w) {
		return rejectedInterference
	}
	return notRejected
}

// suits reports whether a worker belongs to the queue's service, has enough free resources for a
// task of the step, as far as its entry and its refusals tell, and meets its constraints.
func (st *step) suits(w *worker, q *Queue, now time.Time) bool {
	return st.unsuited(w, q, now) == notRejected
}

// unsuited returns the reason for which a worker does not suit a task of the step, or notRejected.
func (st *step) unsuited(w *worker, q *Queue, now time.Time) rejection {
	if w.info.Service != q.Service {
		return rejectedService
	}
	if r := lacking(st.reserved, w.free()); r != notRejected {
		return r
	}
	if !w.mayHaveRoom(st.reserved, now) {
		return rejectedRefusal
	}
	return st.violates(w)
}

// lacking returns the first resource of which less is available than r, or notRejected.
func lacking(r, available Resources) rejection {
	switch {
	case r.CPU > available.CPU:
		return rejectedCPU
	case r.MemoryMB > available.MemoryMB:
		return rejectedMemory
	case r.GPU > available.GPU:
		return rejectedGPU
	default:
		return notRejected
	}
}

// violates returns the constraint of the step that a worker does not meet, or notRejected: it must have the
// label that the step requires, and run fewer than MaxPerWorker tasks of the step.
func (st *step) violates(w *worker) rejection {
	if st.spec.Label != "" && !slices.Contains(w.info.Labels, st.spec.Label) {
		return rejectedLabel
	}
	if st.spec.MaxPerWorker > 0 && st.tasksOn(w) >= st.spec.MaxPerWorker {
		return rejectedSpread
	}
	return notRejected
}

// tasksOn returns the number of attempts of the step on a worker.
func (st *step) tasksOn(w *worker) int {
	n := 0
	for key := range w.attempts {
		if key.task.Job == st.job.ID && key.task.Step == st.number && key.task.Occurrence == st.occ.number {
			n++
		}
	}
	return n
}
