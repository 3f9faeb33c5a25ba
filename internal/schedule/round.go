package schedule

import (
	"math"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// node is the working copy of one worker during a decision.
type node struct {
	view  *WorkerView
	state *workerState
	// free is the capacity that no attempt and no placement of this plan holds, less what
	// attempts use above their reservations.
	free model.Resources
	// open says that the worker may receive starts.
	open bool
	// headroom says that batch work has to leave room for an urgent job.
	headroom bool
	// heldFor is the job that the worker is held for, if any.
	heldFor model.JobID
}

// round is the working state of one call of Plan. Placements of the same plan add up in it.
type round struct {
	scheduler *Scheduler
	snapshot  *Snapshot
	goals     goals
	// admission is the growth of a latency, as a logarithm, up to which batch work is placed.
	admission float64
	out       map[model.DataCentre]bool
	nodes     []node
	teamUse   map[model.Team]model.Resources
	// capacity is the sum of the open workers' capacities.
	capacity model.Resources
	spread   *rackSpread
	parked   map[model.JobID]bool
	effects  map[model.JobClass][]float64
}

func newRound(s *Scheduler, snapshot *Snapshot) *round {
	r := &round{
		scheduler: s,
		snapshot:  snapshot,
		goals:     s.goals,
		out:       outOfService(snapshot.Document),
		nodes:     make([]node, len(snapshot.Workers)),
		teamUse:   make(map[model.Team]model.Resources, len(snapshot.TeamUse)),
		parked:    map[model.JobID]bool{},
		effects:   map[model.JobClass][]float64{},
	}
	r.admission = math.Log(admissionLimit) * (1 - r.goals.tail)
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
	n.free = view.Worker.Capacity.Sub(view.Committed).Sub(n.state.overrun)
	s.largest = atLeast(s.largest, view.Worker.Capacity)
	n.open = view.Reachable && !view.Worker.Leaving && r.inService(view.Worker.DataCentre) &&
		!n.state.health.quarantined(r.snapshot.Now)
	if n.open {
		r.capacity = r.capacity.Add(view.Worker.Capacity)
	}
}

// inService reports whether the document knows the data centre and has it in service.
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

// commit takes the reservation from the node, adds it to the team's use and remembers the
// attempt.
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
	n.state.residents = append(n.state.residents, &resident{
		id:          model.AttemptID{Job: q.Spec.ID, Number: q.Attempt},
		spec:        &spec,
		reservation: reservation,
		from:        r.snapshot.Now,
		share:       1,
		progress:    q.Progress,
	})
	n.state.refresh(r.scheduler)
}
