package schedule

import (
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// node is the working copy of one worker during a decision.
type node struct {
	view *WorkerView
	// free is the capacity that no attempt and no placement of this plan holds.
	free model.Resources
	// open says that the worker may receive starts.
	open bool
}

// round is the working state of one call of Plan. Placements of the same plan add up in it.
type round struct {
	scheduler *Scheduler
	snapshot  *Snapshot
	weights   config.Weights
	out       map[model.DataCentre]bool
	nodes     []node
	teamUse   map[model.Team]model.Resources
	// capacity is the sum of the open workers' capacities.
	capacity model.Resources
	spread   *rackSpread
}

func newRound(s *Scheduler, snapshot *Snapshot) *round {
	r := &round{
		scheduler: s,
		snapshot:  snapshot,
		weights:   s.weightsFor(snapshot.Document),
		out:       outOfService(snapshot.Document),
		nodes:     make([]node, len(snapshot.Workers)),
		teamUse:   make(map[model.Team]model.Resources, len(snapshot.TeamUse)),
	}
	for team, use := range snapshot.TeamUse {
		r.teamUse[team] = use
	}
	for i := range snapshot.Workers {
		r.addNode(i)
	}
	return r
}

func (r *round) addNode(i int) {
	view := &r.snapshot.Workers[i]
	n := &r.nodes[i]
	n.view = view
	n.free = view.Worker.Capacity.Sub(view.Committed)
	n.open = view.Reachable && !view.Worker.Leaving && r.inService(view.Worker.DataCentre)
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
	if doc == nil {
		return nil
	}
	out := make(map[model.DataCentre]bool, len(doc.Operators.DataCentres))
	for _, dc := range doc.Operators.DataCentres {
		out[dc.Name] = dc.Out
	}
	return out
}

// commit takes the reservation from the node and adds it to the team's use.
func (r *round) commit(n *node, spec *model.JobSpec, reservation model.Resources) {
	n.free = n.free.Sub(reservation)
	r.teamUse[spec.Team] = r.teamUse[spec.Team].Add(reservation)
	if spec.Priority == model.PriorityService {
		r.rackSpread().add(spec, n.view.Worker.Rack)
	}
}
