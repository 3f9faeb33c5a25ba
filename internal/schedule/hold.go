package schedule

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// holdAfter is the wait after which a batch job that fits nowhere gets a worker held for it.
	holdAfter = 3 * time.Minute
	// holdLimit bounds how long a worker is held.
	holdLimit = 10 * time.Minute
)

// hold keeps other batch work off one worker until a large job fits there. Without it a
// steady flow of small jobs would take every gap first.
type hold struct {
	job    model.JobID
	worker model.WorkerID
	since  time.Time
}

// refreshHold ends the hold if its job has left the queue or the hold took too long.
func (r *round) refreshHold() {
	h := &r.scheduler.hold
	if h.job == "" {
		return
	}
	for i := range r.snapshot.Queue {
		if r.snapshot.Queue[i].Spec.ID == h.job && r.snapshot.Now.Sub(h.since) < holdLimit {
			return
		}
	}
	*h = hold{}
}

// heldForOther reports whether the node is held for another job.
func (r *round) heldForOther(n *node, spec *model.JobSpec) bool {
	h := &r.scheduler.hold
	return h.job != "" && spec.Priority == model.PriorityBatch && h.job != spec.ID && h.worker == n.view.Worker.ID
}

// holdFor holds the worker with the most room for a job that has waited long, if no worker
// is held yet.
func (r *round) holdFor(q *QueuedJob, j *jobState, reservation model.Resources) {
	now := r.snapshot.Now
	if r.scheduler.hold.job != "" || now.Sub(waitingSince(q, j)) < holdAfter {
		return
	}
	var best *node
	most := 0.0
	for i := range r.nodes {
		n := &r.nodes[i]
		capacity := n.view.Worker.Capacity
		if !n.open || n.headroom || n.state.health.probing || !reservation.Fits(capacity) ||
			!allowsDataCentre(&q.Spec, n.view.Worker.DataCentre) || j.failedHere(n.view.Worker.ID) {
			continue
		}
		room := min(ratio(n.free.MilliCPU, capacity.MilliCPU), ratio(n.free.MemoryMB, capacity.MemoryMB))
		if best == nil || room > most {
			best, most = n, room
		}
	}
	if best != nil {
		r.scheduler.hold = hold{q.Spec.ID, best.view.Worker.ID, now}
	}
}
