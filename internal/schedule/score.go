package schedule

import (
	"fmt"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// placeJob starts the job on the feasible worker with the lowest cost, if there is one.
func (r *round) placeJob(q *QueuedJob, plan *Plan) {
	reservation := r.scheduler.reservation(&q.Spec)
	if !r.withinQuota(q.Spec.Team, reservation) {
		return
	}
	best, cost := r.cheapest(q, reservation)
	if best == nil {
		return
	}
	r.commit(best, &q.Spec, reservation)
	plan.Placements = append(plan.Placements, Placement{
		Job:         q.Spec.ID,
		Worker:      best.view.Worker.ID,
		Reservation: reservation,
		Reason:      fmt.Sprintf("cheapest feasible worker, cost %.3f, attempt %d", cost, q.Attempt),
	})
}

// cheapest scans the nodes from a random offset, so that equal workers share the starts.
func (r *round) cheapest(q *QueuedJob, reservation model.Resources) (*node, float64) {
	var best *node
	var bestCost float64
	if len(r.nodes) == 0 {
		return nil, 0
	}
	offset := r.scheduler.random.IntN(len(r.nodes))
	for i := range r.nodes {
		n := &r.nodes[(i+offset)%len(r.nodes)]
		if !r.feasible(n, &q.Spec, reservation) {
			continue
		}
		cost := packingCost(n, reservation)
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best, bestCost
}

// packingCost is the share of the worker that stays free plus the imbalance between its
// free processors and memory, both after the placement. A low cost keeps large gaps
// together and avoids workers whose memory is full while processors idle.
func packingCost(n *node, reservation model.Resources) float64 {
	capacity := n.view.Worker.Capacity
	left := n.free.Sub(reservation)
	cpu := ratio(left.MilliCPU, capacity.MilliCPU)
	memory := ratio(left.MemoryMB, capacity.MemoryMB)
	return (cpu+memory)/2 + abs(cpu-memory)
}

func abs(x float64) float64 {
	return max(x, -x)
}
