package schedule

import (
	"math"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// node is the working copy of one worker during one call of Plan.
type node struct {
	view  *WorkerView
	state *workerState
	// free is the capacity that is not reserved by attempts or placements of this plan, minus what
	// attempts are expected to use above their reservations.
	free model.Resources
	// schedulable says that the worker may receive starts.
	schedulable bool
	// headroom says that batch work must leave enough of the worker free for an urgent job.
	headroom bool
	// dedicatedTo is the large job that the worker is set aside for, if any.
	dedicatedTo model.JobID
}

// round is the working state of one call of Plan. It accounts for the placements that the plan
// already contains.
type round struct {
	scheduler  *Scheduler
	snapshot   *Snapshot
	objectives objectives
	// admission is the predicted growth of a service's latency, as a logarithm, up to which batch
	// work is placed next to the service.
	admission float64
	// out tells for each data centre of the document whether it is out of service.
	out   map[model.DataCentre]bool
	nodes []node
	// teamUse is the TeamUse of the snapshot plus the placements of this plan.
	teamUse map[model.Team]model.Resources
	// capacity is the sum of the capacities of the schedulable workers.
	capacity model.Resources
	// spread is computed on first use, see rackSpread.
	spread *rackSpread
	// parked holds the jobs that this plan parks.
	parked map[model.JobID]bool
	// effects caches the results of effectsOf.
	effects map[model.JobClass][]float64
}

func newRound(s *Scheduler, snapshot *Snapshot) *round {
	r := &round{
		scheduler:  s,
		snapshot:   snapshot,
		objectives: s.objectives,
		out:        outOfService(snapshot.Document),
		nodes:      make([]node, len(snapshot.Workers)),
		teamUse:    make(map[model.Team]model.Resources, len(snapshot.TeamUse)),
		parked:     map[model.JobID]bool{},
		effects:    map[model.JobClass][]float64{},
	}
	r.admission = math.Log(maximumAdmittedGrowth) * (1 - r.objectives.tail)
	for team, use := range snapshot.TeamUse {
		r.teamUse[team] = use
	}
	s.largest = model.Resources{}
	s.budget.workers = len(snapshot.Workers)
	stride := s.urgent.headroomStride(len(snapshot.Workers))
	for i := range snapshot.Workers {
		r.addNode(i)
		r.nodes[i].headroom = stride > 0 && i%stride == 0
	}
	return r
}

func (r *round) addNode(i int) {
	view := &r.snapshot.Workers[i]
	s := r.scheduler
	n := &r.nodes[i]
	n.view = view
	n.state = s.worker(view.Worker.ID)
	n.state.capacity = view.Worker.Capacity
	n.state.seenAt = r.snapshot.Now
	n.state.setServices(s, view.Services)
	n.state.checkProbe(r.snapshot.Now)
	n.free = view.Worker.Capacity.Sub(view.Reserved).Sub(n.state.overrun)
	s.largest = atLeast(s.largest, view.Worker.Capacity)
	n.schedulable = view.Reachable && !view.Worker.Leaving && r.inService(view.Worker.DataCentre) &&
		!n.state.health.blocked(r.snapshot.Now)
	if n.schedulable {
		r.capacity = r.capacity.Add(view.Worker.Capacity)
	}
}

// inService reports whether the data centre is listed in the document and is in service.
func (r *round) inService(dc model.DataCentre) bool {
	out, known := r.out[dc]
	return known && !out
}

func outOfService(doc *config.Document) map[model.DataCentre]bool {
	out := make(map[model.DataCentre]bool, len(doc.Operators.DataCentres))
	for _, dc := range doc.Operators.DataCentres {
		out[dc.Name] = dc.Out
	}
	return out
}

// commit subtracts the reservation from the node, adds it to the use of the team and tracks the
// new attempt on the worker.
func (r *round) commit(n *node, q *QueuedJob, reservation model.Resources) {
	n.free = n.free.Sub(reservation)
	r.teamUse[q.Spec.Team] = r.teamUse[q.Spec.Team].Add(reservation)
	if q.Spec.Priority == model.PriorityService {
		r.rackSpread().add(&q.Spec, n.view.Worker.Rack)
	}
	if n.state.health.probing {
		n.state.health.probe = q.Spec.ID
	}
	spec := q.Spec
	n.state.attempts = append(n.state.attempts, &trackedAttempt{
		id:          model.AttemptID{Job: q.Spec.ID, Number: q.Attempt},
		spec:        &spec,
		reservation: reservation,
		started:     r.snapshot.Now,
		share:       1,
		progress:    q.Progress,
	})
	n.state.refresh(r.scheduler)
}
