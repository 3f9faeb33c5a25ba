package schedule

import (
	"fmt"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// evacuate checkpoints every attempt in a data centre that is out of service and on every
// worker that the platform withdraws, so that the jobs resume elsewhere.
func (r *round) evacuate(plan *Plan) {
	if r.snapshot.Document == nil {
		return
	}
	for i := range r.nodes {
		view := r.nodes[i].view
		if !view.Reachable || len(view.Attempts) == 0 {
			continue
		}
		if reason := r.evacuationReason(view); reason != "" {
			checkpointAll(view, reason, plan)
		}
	}
}

func (r *round) evacuationReason(view *WorkerView) string {
	if !r.inService(view.Worker.DataCentre) {
		return fmt.Sprintf("data centre %s is out of service", view.Worker.DataCentre)
	}
	if view.Worker.Leaving {
		return fmt.Sprintf("worker %s is leaving", view.Worker.ID)
	}
	return ""
}

func checkpointAll(view *WorkerView, reason string, plan *Plan) {
	for i := range view.Attempts {
		a := &view.Attempts[i]
		if a.Evicting {
			continue
		}
		plan.Reliefs = append(plan.Reliefs, Relief{
			Attempt: a.ID,
			Worker:  view.Worker.ID,
			Kind:    platform.SignalCheckpoint,
			Reason:  reason,
		})
	}
}
