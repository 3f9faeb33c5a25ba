package schedule

import "github.com/geraniumwick/geraniumwick/internal/model"

// maxRackShare is the largest share of a replica set that may run on one rack, so that the loss of
// a rack leaves the other replicas running.
const maxRackShare = 0.5

// replicaSet identifies the tasks that can replace each other: those of one team and class.
type replicaSet struct {
	team  model.Team
	class model.JobClass
}

// replicaRack is the part of a replica set on one rack.
type replicaRack struct {
	set  replicaSet
	rack model.Rack
}

// rackSpread counts the latency-critical tasks of each replica set, in total and by rack.
type rackSpread struct {
	racks  int
	total  map[replicaSet]int
	onRack map[replicaRack]int
}

// rackSpread returns the counts of this round. They are computed on first use, because most plans
// place no latency-critical task.
func (r *round) rackSpread() *rackSpread {
	if r.spread != nil {
		return r.spread
	}
	s := &rackSpread{total: map[replicaSet]int{}, onRack: map[replicaRack]int{}}
	racks := map[model.Rack]bool{}
	for i := range r.snapshot.Workers {
		view := &r.snapshot.Workers[i]
		racks[view.Worker.Rack] = racks[view.Worker.Rack] || r.nodes[i].schedulable
		for j := range view.Attempts {
			if view.Attempts[j].Spec.Priority == model.PriorityService {
				s.add(&view.Attempts[j].Spec, view.Worker.Rack)
			}
		}
	}
	for _, open := range racks {
		if open {
			s.racks++
		}
	}
	r.spread = s
	return s
}

func (s *rackSpread) add(spec *model.JobSpec, rack model.Rack) {
	set := replicaSet{spec.Team, spec.Class}
	s.total[set]++
	s.onRack[replicaRack{set, rack}]++
}

// spreadAllows reports whether the rack may run one more task of the job's replica set. The limit
// applies to latency-critical tasks only, and only if there are at least two racks with
// schedulable workers.
func (r *round) spreadAllows(n *node, spec *model.JobSpec) bool {
	if spec.Priority != model.PriorityService {
		return true
	}
	s := r.rackSpread()
	if s.racks < 2 {
		return true
	}
	set := replicaSet{spec.Team, spec.Class}
	after := s.total[set] + 1
	limit := max(1, int(maxRackShare*float64(after)+0.5))
	return s.onRack[replicaRack{set, n.view.Worker.Rack}] < limit
}
