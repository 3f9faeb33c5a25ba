package schedule

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// dedicateAfter is the waiting time after which a worker is dedicated to a batch job that fits
	// nowhere.
	dedicateAfter = 3 * time.Minute
	// dedicationLimit bounds how long a worker stays dedicated to a job.
	dedicationLimit = 10 * time.Minute
	// workersPerDedication is the number of workers that allows one more dedicated worker. One
	// worker may be dedicated in any case.
	workersPerDedication = 16
)

// dedicatedWorker is a worker that takes no other batch work until a large job fits on it.
// Otherwise a steady flow of small jobs could take all capacity that becomes free and starve the
// large job.
type dedicatedWorker struct {
	job    model.JobID
	worker model.WorkerID
	since  time.Time
}

// refreshDedicated releases the workers whose job has left the queue or that were dedicated for
// too long, and marks the nodes of the others.
func (r *round) refreshDedicated() {
	s := r.scheduler
	if len(s.dedicated) == 0 {
		return
	}
	waiting := make(map[model.JobID]bool, len(r.snapshot.Queue))
	for i := range r.snapshot.Queue {
		waiting[r.snapshot.Queue[i].Spec.ID] = true
	}
	s.dedicated = slices.DeleteFunc(s.dedicated, func(d dedicatedWorker) bool {
		return !waiting[d.job] || r.snapshot.Now.Sub(d.since) >= dedicationLimit
	})
	for _, d := range s.dedicated {
		for i := range r.nodes {
			if r.nodes[i].view.Worker.ID == d.worker {
				r.nodes[i].dedicatedTo = d.job
			}
		}
	}
}

// dedicatedToOther reports whether the job is batch work and the node is dedicated to another job.
func (n *node) dedicatedToOther(spec *model.JobSpec) bool {
	return n.dedicatedTo != "" && spec.Priority == model.PriorityBatch && n.dedicatedTo != spec.ID
}

// mayDedicate reports whether another worker may be dedicated, and none is dedicated to the job
// yet.
func (r *round) mayDedicate(id model.JobID) bool {
	dedicated := r.scheduler.dedicated
	if len(dedicated) >= 1+len(r.nodes)/workersPerDedication {
		return false
	}
	return !slices.ContainsFunc(dedicated, func(d dedicatedWorker) bool { return d.job == id })
}

// dedicateWorker dedicates the worker with the most free capacity to a job that has waited for at
// least dedicateAfter.
func (r *round) dedicateWorker(q *QueuedJob, j *jobState, reservation model.Resources) {
	now := r.snapshot.Now
	if now.Sub(waitingSince(q, j)) < dedicateAfter || !r.mayDedicate(q.Spec.ID) {
		return
	}
	var best *node
	most := 0.0
	for i := range r.nodes {
		n := &r.nodes[i]
		capacity := n.view.Worker.Capacity
		if !n.schedulable || n.headroom || n.dedicatedTo != "" || n.state.health.probing || !reservation.Fits(capacity) ||
			!allowsDataCentre(&q.Spec, n.view.Worker.DataCentre) || j.failedOnWorker(n.view.Worker.ID) {
			continue
		}
		room := min(ratio(n.free.MilliCPU, capacity.MilliCPU), ratio(n.free.MemoryMB, capacity.MemoryMB))
		if best == nil || room > most {
			best, most = n, room
		}
	}
	if best != nil {
		best.dedicatedTo = q.Spec.ID
		r.scheduler.dedicated = append(r.scheduler.dedicated, dedicatedWorker{q.Spec.ID, best.view.Worker.ID, now})
	}
}
