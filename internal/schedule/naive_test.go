package schedule

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// naive is the policy that the scheduler is compared with. It places jobs by first fit of their
// declared sizes, urgent jobs first, then in order of submission. It stops tasks in a data centre
// that is out of service, and the newest task on a worker whose service is slower than half its
// deadline, at most once in naiveCooldown.
type naive struct {
	slow      map[model.WorkerID]bool
	acted     map[model.WorkerID]time.Time
	notBefore map[model.JobID]time.Time
	now       time.Time
}

const (
	naiveCooldown = time.Minute
	naiveBackoff  = 10 * time.Second
)

func newNaive() *naive {
	return &naive{slow: map[model.WorkerID]bool{}, acted: map[model.WorkerID]time.Time{}, notBefore: map[model.JobID]time.Time{}}
}

func (n *naive) Observe(s WorkerSamples) {
	for _, m := range s.Services {
		n.slow[s.Worker] = m.P99 > deadline/2
	}
}

func (n *naive) Ended(e AttemptEnd) {
	if e.State == model.AttemptFailed {
		n.notBefore[e.ID.Job] = e.At.Add(naiveBackoff)
	}
}

func (n *naive) Unfeasible(spec model.JobSpec, _ *config.Document, workers []model.Worker) string {
	for _, w := range workers {
		if spec.Declared.Fits(w.Capacity) && allowsDataCentre(&spec, w.DataCentre) {
			return ""
		}
	}
	return "fits no worker"
}

func (n *naive) Plan(s *Snapshot) Plan {
	var plan Plan
	n.now = s.Now
	free := make([]model.Resources, len(s.Workers))
	for i := range s.Workers {
		v := &s.Workers[i]
		free[i] = v.Worker.Capacity.Sub(v.Reserved)
		n.stop(v, s.Document.DataCentreOut(v.Worker.DataCentre), &plan)
	}
	for _, urgent := range []bool{true, false} {
		for i := range s.Queue {
			q := &s.Queue[i]
			if (q.Spec.Priority > model.PriorityBatch) == urgent && !s.Now.Before(n.notBefore[q.Spec.ID]) {
				firstFit(s, q, free, &plan)
			}
		}
	}
	return plan
}

func (n *naive) stop(v *WorkerView, out bool, plan *Plan) {
	newest := -1
	for i, a := range v.Attempts {
		if a.Evicting {
			continue
		}
		if out {
			plan.Signals = append(plan.Signals, Signal{Attempt: a.ID, Worker: v.Worker.ID, Kind: platform.SignalStop})
		}
		if newest < 0 || a.Started.After(v.Attempts[newest].Started) {
			newest = i
		}
	}
	if out || newest < 0 || !n.slow[v.Worker.ID] || n.now.Sub(n.acted[v.Worker.ID]) < naiveCooldown {
		return
	}
	n.acted[v.Worker.ID] = n.now
	plan.Signals = append(plan.Signals, Signal{Attempt: v.Attempts[newest].ID, Worker: v.Worker.ID, Kind: platform.SignalStop})
}

func firstFit(s *Snapshot, q *QueuedJob, free []model.Resources, plan *Plan) {
	for i := range s.Workers {
		w := &s.Workers[i].Worker
		if !q.Spec.Declared.Fits(free[i]) || s.Document.DataCentreOut(w.DataCentre) || !s.Workers[i].Reachable {
			continue
		}
		free[i] = free[i].Sub(q.Spec.Declared)
		plan.Placements = append(plan.Placements, Placement{Job: q.Spec.ID, Worker: w.ID, Reservation: q.Spec.Declared})
		return
	}
}
