package schedule

import (
	"fmt"
	"math"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// tailScale converts the cost of latency growth to the scale of packingCost.
	tailScale = 1.0
	// riskScale converts the eviction risk to the scale of packingCost.
	riskScale = 1.0
	// minimumFreeMemory is the share of a worker's memory below which free memory counts as an
	// eviction risk.
	minimumFreeMemory = 0.08
	// maximumAdmittedGrowth is the factor of latency growth up to which batch work is placed when
	// the tail latency has weight 0. Its logarithm decreases to 0 as that weight rises to 1.
	maximumAdmittedGrowth = 2.0
	// admissionRelaxTime is the waiting time after which the logarithm of the limit has doubled.
	// It keeps a job that interferes too much on every worker from waiting for ever.
	admissionRelaxTime = 3 * time.Minute
	// negligibleGrowth is the growth of a latency, as a logarithm, that batch work may add
	// regardless of the limit.
	negligibleGrowth = 0.01
	// maximumGrowth bounds a predicted growth, as a logarithm, so that a wrong estimate does not
	// overflow the exponential in growthCost.
	maximumGrowth = 5
)

// placeJob places the job on the feasible worker with the lowest cost. If there is none, it
// prepares a later placement.
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

// makeRoom prepares a later placement of a job that fits nowhere now. For batch work it dedicates
// a worker; for other jobs it preempts batch work.
func (r *round) makeRoom(q *QueuedJob, j *jobState, reservation model.Resources, plan *Plan) {
	if q.Spec.Priority == model.PriorityBatch {
		r.dedicateWorker(q, j, reservation)
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

// placementCost is the total cost of a placement and its components.
type placementCost struct {
	total, packing, tail, risk float64
}

// cheapest returns the feasible node with the lowest cost, nil if there is none. The scan starts
// at a random offset, so that starts are spread over workers with equal cost.
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
		if !r.feasible(n, &q.Spec, reservation) || !n.state.health.mayProbe(&q.Spec) || j.failedOnWorker(n.view.Worker.ID) {
			continue
		}
		cost, admitted := r.cost(n, q, reservation, effects, limit)
		if admitted && (best == nil || cost.total < bestCost.total) {
			best, bestCost = n, cost
		}
	}
	return best, bestCost
}

// admissionFor returns the predicted growth of a latency, as a logarithm, up to which the job may
// be placed. It rises while the job waits.
func (r *round) admissionFor(q *QueuedJob, j *jobState) float64 {
	waited := r.snapshot.Now.Sub(waitingSince(q, j))
	return r.admission * (1 + max(0, waited.Seconds())/admissionRelaxTime.Seconds())
}

// waitingSince returns the time at which the job was last queued.
func waitingSince(q *QueuedJob, j *jobState) time.Time {
	if j != nil && j.queuedAt.After(q.Submitted) {
		return j.queuedAt
	}
	return q.Submitted
}

// cost returns the cost of the placement and whether it is admitted. Batch work is not admitted on
// a node where the latency of a service would grow beyond the limit or where targets would have
// too few idle slots.
func (r *round) cost(n *node, q *QueuedJob, reservation model.Resources, effects []float64, limit float64) (placementCost, bool) {
	c := placementCost{packing: packingCost(n, reservation)}
	tail, worst, added, busiest := n.tailCost(reservation, effects)
	c.tail = tail
	c.risk = riskCost(n, reservation)
	c.total = (1-r.objectives.tail)*c.packing + r.objectives.tail*tailScale*c.tail + r.objectives.evictions*riskScale*c.risk
	admitted := q.Spec.Priority != model.PriorityBatch || (busiest <= busyLimit && (worst <= limit || added <= negligibleGrowth))
	return c, admitted
}

// packingCost is the share of the worker that stays free after the placement, plus the difference
// between its free shares of processors and memory. A low cost keeps large free areas together and
// avoids workers with full memory and idle processors.
func packingCost(n *node, reservation model.Resources) float64 {
	capacity := n.view.Worker.Capacity
	left := n.free.Sub(reservation)
	cpu := ratio(left.MilliCPU, capacity.MilliCPU)
	memory := ratio(left.MemoryMB, capacity.MemoryMB)
	return (cpu+memory)/2 + abs(cpu-memory)
}

// tailCost returns the cost of the predicted latency growth that the placement causes on the node,
// the largest predicted growth after it and the largest growth added by it, both as logarithms,
// and the highest share of busy slots after it. The cost is convex, because the tail latency of a
// service over all workers is determined by the worst of them.
func (n *node) tailCost(reservation model.Resources, effects []float64) (cost, worst, added, busiest float64) {
	share := ratio(reservation.MilliCPU, n.view.Worker.Capacity.MilliCPU)
	for _, p := range n.state.predictions {
		after := min(maximumGrowth, p.growth+effects[p.index]*share)
		cost += p.load * (growthCost(after) - p.cost)
		worst = max(worst, after)
		added = max(added, after-p.growth)
		busiest = max(busiest, p.load*(1+after-p.growth))
	}
	return cost, worst, added, busiest
}

// growthCost returns the square of the factor by which a latency grows. The argument is the
// logarithm of that factor.
func growthCost(growth float64) float64 {
	return math.Exp(2 * growth)
}

// riskCost is 0 while enough memory stays free, and rises to 1 as the free memory falls from
// minimumFreeMemory to 0.
func riskCost(n *node, reservation model.Resources) float64 {
	left := ratio(n.free.MemoryMB-reservation.MemoryMB, n.view.Worker.Capacity.MemoryMB)
	return max(0, minimumFreeMemory-left) / minimumFreeMemory
}

// effectsOf returns the effect of the class on each service and load band, in the order of the
// scheduler's allBands.
func (r *round) effectsOf(class model.JobClass) []float64 {
	if e, ok := r.effects[class]; ok {
		return e
	}
	e := make([]float64, len(r.scheduler.allBands))
	for i, p := range r.scheduler.allBands {
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

// growthFactor returns the factor by which a value grew if its logarithm grew by x.
func growthFactor(x float64) float64 {
	return math.Exp(x)
}
