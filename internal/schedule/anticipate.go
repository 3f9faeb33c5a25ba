package schedule

import (
	"fmt"
	"maps"
	"math"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// busyLimit is the share of a target's slots that may be busy before requests queue for long.
	// Batch work that would raise the share further is not admitted.
	busyLimit = 0.8
)

// anticipate throttles batch tasks ahead of the load that moves to the remaining targets when a
// data centre is taken out of service. Measurements would show that load only after their delay.
func (r *round) anticipate(plan *Plan) {
	s := r.scheduler
	if maps.Equal(s.out, r.out) {
		return
	}
	before := s.out
	s.out = r.out
	if before == nil {
		return
	}
	growth := r.loadGrowth(before)
	for i := range r.nodes {
		n := &r.nodes[i]
		if n.view.Reachable && r.inService(n.view.Worker.DataCentre) {
			r.throttleForLoad(n, growth, plan)
		}
	}
}

// loadGrowth returns the factor by which the load of the remaining targets of each service
// changes. It assumes that all targets of a service share its requests equally.
func (r *round) loadGrowth(before map[model.DataCentre]bool) map[model.Service]float64 {
	targetsBefore, targetsNow := map[model.Service]int{}, map[model.Service]int{}
	for i := range r.nodes {
		view := r.nodes[i].view
		out, known := before[view.Worker.DataCentre]
		for _, service := range view.Services {
			if known && !out {
				targetsBefore[service]++
			}
			if r.inService(view.Worker.DataCentre) {
				targetsNow[service]++
			}
		}
	}
	growth := make(map[model.Service]float64, len(targetsNow))
	for service, n := range targetsNow {
		if targetsBefore[service] > 0 {
			growth[service] = float64(targetsBefore[service]) / float64(n)
		}
	}
	return growth
}

// throttleForLoad throttles batch tasks on the node if the expected load of a service would keep
// too many slots busy.
func (r *round) throttleForLoad(n *node, growth map[model.Service]float64, plan *Plan) {
	w := n.state
	for _, service := range n.view.Services {
		load, known := w.load[service]
		factor, shared := growth[service]
		if !known || !shared || factor <= 1 {
			continue
		}
		expected := load * factor
		w.load[service] = min(1, expected)
		if expected <= busyLimit {
			continue
		}
		impact := r.impact(w, service)
		reason := fmt.Sprintf("%s will have %.0f%% of its slots busy as other data centres are out", service, 100*min(1, expected))
		r.throttleByImpact(n, impact, math.Log(expected/busyLimit), reason, plan)
	}
	w.refresh(r.scheduler)
}
