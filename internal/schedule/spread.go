package schedule

import "github.com/geraniumwick/geraniumwick/internal/model"

// maxRackShare is the share of a service's tasks that one rack may hold, so that the loss
// of a rack leaves the others running.
const maxRackShare = 0.5

// replicaSet identifies the tasks that replace each other: one class of one team.
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

// rackSpread counts on first use, because most plans place no latency-critical task.
func (r *round) rackSpread() *rackSpread {
	if r.spread != nil {
		return r.spread
	}
	s := &rackSpread{total: map[replicaSet]int{}, onRack: map[replicaRack]int{}}
	racks := map[model.Rack]bool{}
	for i := range r.snapshot.Workers {
		view := &r.snapshot.Workers[i]
		racks[view.Worker.Rack] = racks[view.Worker.Rack] || r.nodes[i].open
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

// spreadAllows reports whether the rack may hold one more task of the job's replica set.
// The rule binds latency-critical tasks only, and only if there is another rack.
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
