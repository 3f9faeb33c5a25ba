package schedule

import (
	"fmt"
	"math"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

const (
	// headroomRefillTime is the time in which ended batch tasks or a checkpoint are expected to
	// restore used headroom.
	headroomRefillTime = 45 * time.Second
	// rateWindow is the time over which the arrival rate of urgent jobs is averaged.
	rateWindow = 5 * time.Minute
	// maximumHeadroom is the largest share of the workers that keep headroom for urgent jobs.
	maximumHeadroom = 0.1
	// sizeDecay is the factor by which each urgent job reduces the remembered largest reservation
	// of urgent jobs.
	sizeDecay = 0.98
	// preemptionInterval is the least time between two preemptions for the same job.
	preemptionInterval = 20 * time.Second
	// maximumVictims is the most tasks that one urgent job may preempt.
	maximumVictims = 3
)

// urgentDemand estimates the arrival rate and size of urgent jobs, to keep headroom for the next
// ones.
type urgentDemand struct {
	// rate is the number of urgent jobs a second.
	rate float64
	// size is the largest reservation of recent urgent jobs, separately for each resource.
	size    model.Resources
	updated time.Time
	// newest is the submission of the newest urgent job that was counted.
	newest time.Time
}

// observe counts the urgent jobs that were submitted since the last call.
func (u *urgentDemand) observe(s *Scheduler, snapshot *Snapshot) {
	newest := u.newest
	for i := range snapshot.Queue {
		q := &snapshot.Queue[i]
		if q.Spec.Priority != model.PriorityUrgent || !q.Submitted.After(u.newest) {
			continue
		}
		if q.Submitted.After(newest) {
			newest = q.Submitted
		}
		u.rate += 1 / rateWindow.Seconds()
		need := s.reservation(&q.Spec)
		u.size = atLeast(need, scaled(u.size, sizeDecay))
	}
	u.newest = newest
	if !u.updated.IsZero() {
		u.rate *= math.Exp(-snapshot.Now.Sub(u.updated).Seconds() / rateWindow.Seconds())
	}
	u.updated = snapshot.Now
}

func scaled(r model.Resources, factor float64) model.Resources {
	return model.Resources{
		MilliCPU:     int64(float64(r.MilliCPU) * factor),
		MemoryMB:     int64(float64(r.MemoryMB) * factor),
		Accelerators: int64(float64(r.Accelerators) * factor),
	}
}

// headroomStride returns the distance in the list of workers between those that keep headroom for
// one urgent job, 0 if none has to. A fixed distance spreads them over racks and data centres.
func (u *urgentDemand) headroomStride(workers int) int {
	if u.size == (model.Resources{}) || workers == 0 {
		return 0
	}
	keep := 1 + int(math.Ceil(u.rate*headroomRefillTime.Seconds()))
	keep = min(keep, int(math.Ceil(maximumHeadroom*float64(workers))))
	return workers / keep
}

// takesHeadroom reports whether the placement of a batch job would take headroom that is kept for
// urgent jobs.
func (r *round) takesHeadroom(n *node, spec *model.JobSpec, reservation model.Resources) bool {
	return n.headroom && spec.Priority == model.PriorityBatch &&
		!reservation.Add(r.scheduler.urgent.size).Fits(n.free)
}

// preemption is a set of batch tasks whose eviction makes enough room on a node.
type preemption struct {
	node    *node
	victims []*AttemptView
	cost    int64
}

// preempt checkpoints the batch tasks whose eviction makes room for an urgent or latency-critical
// job at the least cost.
func (r *round) preempt(q *QueuedJob, reservation model.Resources, plan *Plan) {
	now := r.snapshot.Now
	j := r.scheduler.job(q.Spec.ID, now)
	if now.Sub(j.preemptedAt) < preemptionInterval {
		return
	}
	best := r.cheapestPreemption(q, j, reservation)
	if best.node == nil {
		return
	}
	j.preemptedAt = now
	for _, v := range best.victims {
		r.scheduler.job(v.ID.Job, now).evictedAt = now
		plan.Signals = append(plan.Signals, Signal{
			Attempt: v.ID, Worker: best.node.view.Worker.ID, Kind: platform.SignalCheckpoint,
			Reason: fmt.Sprintf("makes room for urgent job %s", q.Spec.ID),
		})
	}
}

func (r *round) cheapestPreemption(q *QueuedJob, j *jobState, reservation model.Resources) preemption {
	var best preemption
	for i := range r.nodes {
		n := &r.nodes[i]
		if !n.schedulable || n.state.health.probing || !allowsDataCentre(&q.Spec, n.view.Worker.DataCentre) || j.failedOnWorker(n.view.Worker.ID) {
			continue
		}
		victims, cost, ok := r.victims(n, reservation)
		if ok && (best.node == nil || cost < best.cost) {
			best = preemption{n, victims, cost}
		}
	}
	return best
}

// victims returns batch tasks of the node whose eviction makes room for the reservation. The cost
// is their reserved memory, which determines how long the checkpoints take.
func (r *round) victims(n *node, reservation model.Resources) ([]*AttemptView, int64, bool) {
	free := n.free
	var victims []*AttemptView
	var cost int64
	for i := range n.view.Attempts {
		a := &n.view.Attempts[i]
		if a.Evicting {
			free = free.Add(a.Reservation)
		}
	}
	for i := range n.view.Attempts {
		if reservation.Fits(free) {
			break
		}
		a := &n.view.Attempts[i]
		if a.Evicting || a.Spec.Priority != model.PriorityBatch || a.Progress >= nearCompletion || len(victims) == maximumVictims {
			continue
		}
		if j := r.scheduler.jobs[a.ID.Job]; j != nil && r.snapshot.Now.Sub(j.evictedAt) < evictionCooldown {
			continue
		}
		victims = append(victims, a)
		free = free.Add(a.Reservation)
		cost += a.Reservation.MemoryMB
	}
	return victims, cost, reservation.Fits(free)
}
