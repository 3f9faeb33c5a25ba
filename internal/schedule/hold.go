package schedule

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// holdAfter is the wait after which a batch job that fits nowhere gets a worker held for it.
	holdAfter = 3 * time.Minute
	// holdLimit bounds how long a worker is held.
	holdLimit = 10 * time.Minute
	// holdWorkers is the number of workers for each of which one may be held.
	holdWorkers = 16
)

// hold keeps other batch work off one worker until a large job fits there. Without it a
// steady flow of small jobs would take every gap first.
type hold struct {
	job    model.JobID
	worker model.WorkerID
	since  time.Time
}

// refreshHolds ends the holds whose jobs have left the queue and those that took too long.
func (r *round) refreshHolds() {
	s := r.scheduler
	if len(s.holds) == 0 {
		return
	}
	waiting := make(map[model.JobID]bool, len(r.snapshot.Queue))
	for i := range r.snapshot.Queue {
		waiting[r.snapshot.Queue[i].Spec.ID] = true
	}
	s.holds = slices.DeleteFunc(s.holds, func(h hold) bool {
		return !waiting[h.job] || r.snapshot.Now.Sub(h.since) >= holdLimit
	})
	for _, h := range s.holds {
		for i := range r.nodes {
			if r.nodes[i].view.Worker.ID == h.worker {
				r.nodes[i].heldFor = h.job
			}
		}
	}
}

// heldForOther reports whether the node is held for another job.
func (n *node) heldForOther(spec *model.JobSpec) bool {
	return n.heldFor != "" && spec.Priority == model.PriorityBatch && n.heldFor != spec.ID
}

// mayHold reports whether one more worker may be held, for this job.
func (r *round) mayHold(id model.JobID) bool {
	holds := r.scheduler.holds
	if len(holds) >= 1+len(r.nodes)/holdWorkers {
		return false
	}
	return !slices.ContainsFunc(holds, func(h hold) bool { return h.job == id })
}

// holdFor holds the worker with the most room for a job that has waited long.
func (r *round) holdFor(q *QueuedJob, j *jobState, reservation model.Resources) {
	now := r.snapshot.Now
	if now.Sub(waitingSince(q, j)) < holdAfter || !r.mayHold(q.Spec.ID) {
		return
	}
	var best *node
	most := 0.0
	for i := range r.nodes {
		n := &r.nodes[i]
		capacity := n.view.Worker.Capacity
		if !n.open || n.headroom || n.heldFor != "" || n.state.health.probing || !reservation.Fits(capacity) ||
			!allowsDataCentre(&q.Spec, n.view.Worker.DataCentre) || j.failedHere(n.view.Worker.ID) {
			continue
		}
		room := min(ratio(n.free.MilliCPU, capacity.MilliCPU), ratio(n.free.MemoryMB, capacity.MemoryMB))
		if best == nil || room > most {
			best, most = n, room
		}
	}
	if best != nil {
		best.heldFor = q.Spec.ID
		r.scheduler.holds = append(r.scheduler.holds, hold{q.Spec.ID, best.view.Worker.ID, now})
	}
}
