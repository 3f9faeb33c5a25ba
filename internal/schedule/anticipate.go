package schedule

import (
	"fmt"
	"maps"
	"math"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// busyLimit is the share of a target's slots that may be busy before requests queue for
	// long: batch work that would raise it further is not admitted.
	busyLimit = 0.8
)

// anticipate prepares for the requests that other targets will get when a data centre is
// taken out of service. Measurements would show them only after their lag.
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
			r.prepare(n, growth, plan)
		}
	}
}

// loadGrowth returns the factor by which the requests of each service's remaining targets
// change, if all targets share them equally.
func (r *round) loadGrowth(before map[model.DataCentre]bool) map[model.Service]float64 {
	was, is := map[model.Service]int{}, map[model.Service]int{}
	for i := range r.nodes {
		view := r.nodes[i].view
		out, known := before[view.Worker.DataCentre]
		for _, service := range view.Services {
			if known && !out {
				was[service]++
			}
			if r.inService(view.Worker.DataCentre) {
				is[service]++
			}
		}
	}
	growth := make(map[model.Service]float64, len(is))
	for service, n := range is {
		if was[service] > 0 {
			growth[service] = float64(was[service]) / float64(n)
		}
	}
	return growth
}

// prepare throttles batch tasks where the expected load would keep too many slots busy.
func (r *round) prepare(n *node, growth map[model.Service]float64, plan *Plan) {
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
		harm := r.harm(w, service)
		reason := fmt.Sprintf("%s will have %.0f%% of its slots busy as other data centres are out", service, 100*min(1, expected))
		r.throttleHarmful(n, harm, math.Log(expected/busyLimit), reason, plan)
	}
	w.refresh(r.scheduler)
}
