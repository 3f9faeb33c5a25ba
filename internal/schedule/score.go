package schedule

import (
	"fmt"
	"math"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// tailScale brings the growth of latencies to the scale of packingCost.
	tailScale = 1.0
	// riskScale brings the risk of an eviction to the scale of packingCost.
	riskScale = 1.0
	// safeMemory is the share of a worker's memory whose absence is a risk of eviction.
	safeMemory = 0.08
	// admissionLimit is the growth of a latency up to which batch work is placed, if the tail
	// latency does not count. Its logarithm falls to 0 as the weight of the tail latency rises.
	admissionLimit = 2.0
	// admissionPatience is the wait in which the logarithm of the limit doubles, so that a
	// job that is too noisy for every worker is not held back for ever.
	admissionPatience = 3 * time.Minute
	// harmlessGrowth is the growth, as a logarithm, that batch work may always add.
	harmlessGrowth = 0.01
	// maximumGrowth bounds a predicted growth, so that one bad estimate cannot exceed a float.
	maximumGrowth = 5
)

// placeJob starts the job on the feasible worker with the lowest cost, if there is one.
func (r *round) placeJob(q *QueuedJob, plan *Plan) {
	s := r.scheduler
	j := s.jobs[q.Spec.ID]
	if r.parked[q.Spec.ID] || (j != nil && r.snapshot.Now.Before(j.notBefore)) {
		return
	}
	reservation := r.reservation(&q.Spec)
	if !r.withinQuota(q.Spec.Team, reservation) {
		return
	}
	best, cost := r.cheapest(q, j, reservation)
	if best == nil {
		r.makeRoom(q, j, reservation, plan)
		return
	}
	r.commit(best, q, reservation)
	plan.Placements = append(plan.Placements, Placement{
		Job:         q.Spec.ID,
		Worker:      best.view.Worker.ID,
		Reservation: reservation,
		Reason:      placementReason(q, best, cost),
	})
}

// makeRoom prepares a later placement of a job that fits nowhere now.
func (r *round) makeRoom(q *QueuedJob, j *jobState, reservation model.Resources, plan *Plan) {
	if q.Spec.Priority == model.PriorityBatch {
		r.holdFor(q, j, reservation)
		return
	}
	r.preempt(q, reservation, plan)
}

func placementReason(q *QueuedJob, n *node, cost placementCost) string {
	probe := ""
	if n.state.health.probing {
		probe = ", probe of a quarantined worker"
	}
	return fmt.Sprintf("attempt %d: lowest cost %.3f (packing %.3f, latency %.3f, eviction risk %.3f)%s",
		q.Attempt, cost.total, cost.packing, cost.tail, cost.risk, probe)
}

// placementCost is the cost of a placement and its parts.
type placementCost struct {
	total, packing, tail, risk float64
}

// cheapest scans the nodes from a random offset, so that equal workers share the starts.
func (r *round) cheapest(q *QueuedJob, j *jobState, reservation model.Resources) (*node, placementCost) {
	var best *node
	var bestCost placementCost
	if len(r.nodes) == 0 {
		return nil, bestCost
	}
	effects := r.effectsOf(q.Spec.Class)
	limit := r.admissionFor(q, j)
	offset := r.scheduler.random.IntN(len(r.nodes))
	for i := range r.nodes {
		k := i + offset
		if k >= len(r.nodes) {
			k -= len(r.nodes)
		}
		n := &r.nodes[k]
		if !r.feasible(n, &q.Spec, reservation) || !n.state.health.mayProbe(&q.Spec) || j.failedHere(n.view.Worker.ID) {
			continue
		}
		cost, admitted := r.cost(n, q, reservation, effects, limit)
		if admitted && (best == nil || cost.total < bestCost.total) {
			best, bestCost = n, cost
		}
	}
	return best, bestCost
}

// admissionFor returns the growth of a latency, as a logarithm, up to which the job is placed.
func (r *round) admissionFor(q *QueuedJob, j *jobState) float64 {
	waited := r.snapshot.Now.Sub(waitingSince(q, j))
	return r.admission * (1 + max(0, waited.Seconds())/admissionPatience.Seconds())
}

// waitingSince returns when the job was queued for its next attempt.
func waitingSince(q *QueuedJob, j *jobState) time.Time {
	if j != nil && j.queuedAt.After(q.Submitted) {
		return j.queuedAt
	}
	return q.Submitted
}

// cost returns the cost of the placement. Batch work is not admitted where it would drive
// a service far beyond its limit or leave its targets too few idle slots.
func (r *round) cost(n *node, q *QueuedJob, reservation model.Resources, effects []float64, limit float64) (placementCost, bool) {
	c := placementCost{packing: packingCost(n, reservation)}
	tail, worst, added, busiest := n.tailCost(reservation, effects)
	c.tail = tail
	c.risk = riskCost(n, reservation)
	c.total = (1-r.goals.tail)*c.packing + r.goals.tail*tailScale*c.tail + r.goals.evictions*riskScale*c.risk
	admitted := q.Spec.Priority != model.PriorityBatch || (busiest <= busyLimit && (worst <= limit || added <= harmlessGrowth))
	return c, admitted
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

// tailCost is the predicted growth of the latencies on the node through the placement, the
// worst predicted growth after it and the most added by it as logarithms, and the highest
// share of busy slots after it. It is convex: the tail of a service
// over all workers is made by the worst of them.
func (n *node) tailCost(reservation model.Resources, effects []float64) (cost, worst, added, busiest float64) {
	share := ratio(reservation.MilliCPU, n.view.Worker.Capacity.MilliCPU)
	for _, p := range n.state.pairs {
		after := min(maximumGrowth, p.growth+effects[p.index]*share)
		cost += p.load * (convex(after) - p.convex)
		worst = max(worst, after)
		added = max(added, after-p.growth)
		busiest = max(busiest, p.load*(1+after-p.growth))
	}
	return cost, worst, added, busiest
}

// convex weighs the growth of a latency: its square.
func convex(growth float64) float64 {
	return math.Exp(2 * growth)
}

// riskCost grows as the memory left falls below safeMemory.
func riskCost(n *node, reservation model.Resources) float64 {
	left := ratio(n.free.MemoryMB-reservation.MemoryMB, n.view.Worker.Capacity.MemoryMB)
	return max(0, safeMemory-left) / safeMemory
}

// effectsOf returns the effects of the class on each pair of service and load band.
func (r *round) effectsOf(class model.JobClass) []float64 {
	if e, ok := r.effects[class]; ok {
		return e
	}
	e := make([]float64, len(r.scheduler.pairs))
	for i, p := range r.scheduler.pairs {
		e[i] = max(0, p.effectOf(class).Mean)
	}
	r.effects[class] = e
	return e
}

func abs(x float64) float64 {
	return max(x, -x)
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d.Seconds(), 1))
}

// growthFactor returns how many times larger a value is whose logarithm grew by x.
func growthFactor(x float64) float64 {
	return math.Exp(x)
}
