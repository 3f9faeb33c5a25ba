package schedule

import (
	"fmt"
	"slices"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// minimumReservation is the least that is reserved for a task, even if it declares less.
var minimumReservation = model.Resources{MilliCPU: 100, MemoryMB: 64}

// atLeast returns the larger of both amounts in each dimension.
func atLeast(r, minimum model.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     max(r.MilliCPU, minimum.MilliCPU),
		MemoryMB:     max(r.MemoryMB, minimum.MemoryMB),
		Accelerators: max(r.Accelerators, minimum.Accelerators),
	}
}

// allowsDataCentre reports whether the job may run in the data centre.
func allowsDataCentre(spec *model.JobSpec, dc model.DataCentre) bool {
	return len(spec.DataCentres) == 0 || slices.Contains(spec.DataCentres, dc)
}

// feasible reports whether the job can be started on the node now.
func (r *round) feasible(n *node, spec *model.JobSpec, reservation model.Resources) bool {
	return n.schedulable &&
		reservation.Fits(n.free) &&
		!r.takesHeadroom(n, spec, reservation) &&
		!n.dedicatedToOther(spec) &&
		allowsDataCentre(spec, n.view.Worker.DataCentre) &&
		r.spreadAllows(n, spec)
}

// reservation returns what is reserved for the job now. An estimate above the team's quota is
// reduced to the quota if the declared size is within it, so that an estimate cannot block a job
// that the quota admits.
func (r *round) reservation(spec *model.JobSpec) model.Resources {
	need := r.scheduler.reservation(spec)
	quota := r.snapshot.Document.Teams[spec.Team].Quota.Resources
	declared := atLeast(spec.Declared, minimumReservation)
	if quota == (model.Resources{}) || !declared.Fits(quota) {
		return need
	}
	need.MilliCPU = min(need.MilliCPU, quota.MilliCPU)
	need.MemoryMB = min(need.MemoryMB, quota.MemoryMB)
	return need
}

// withinQuota reports whether the reservation, added to the current use of the team, is within the
// team's quota. A zero quota means unlimited. A team without a section in the document may not use
// anything.
func (r *round) withinQuota(team model.Team, reservation model.Resources) bool {
	section, ok := r.snapshot.Document.Teams[team]
	if !ok {
		return false
	}
	if section.Quota.Resources == (model.Resources{}) {
		return true
	}
	return r.teamUse[team].Add(reservation).Fits(section.Quota.Resources)
}

// Unfeasible implements Policy. It uses the declared size and no estimates, so that the answer
// does not depend on what other jobs did. A data centre that is out of service is counted as
// available, because it is expected to return.
func (s *Scheduler) Unfeasible(spec model.JobSpec, doc *config.Document, workers []model.Worker) string {
	d := spec.Declared
	if d.MilliCPU < 0 || d.MemoryMB < 0 || d.Accelerators < 0 {
		return "declared size is negative"
	}
	section, ok := doc.Teams[spec.Team]
	if !ok {
		return fmt.Sprintf("team %q has no section in the configuration", spec.Team)
	}
	need := atLeast(d, minimumReservation)
	if reason := quotaConstraint(need, section.Quota.Resources, spec.Team); reason != "" {
		return reason
	}
	if reason := dataCentreConstraint(&spec, doc); reason != "" {
		return reason
	}
	return workerConstraint(&spec, need, workers)
}

func quotaConstraint(need, quota model.Resources, team model.Team) string {
	if quota == (model.Resources{}) || need.Fits(quota) {
		return ""
	}
	dimension, want, have := exceeded(need, quota)
	return fmt.Sprintf("needs %d %s but the quota of team %q is %d", want, dimension, team, have)
}

func dataCentreConstraint(spec *model.JobSpec, doc *config.Document) string {
	for _, dc := range doc.Operators.DataCentres {
		if allowsDataCentre(spec, dc.Name) {
			return ""
		}
	}
	return fmt.Sprintf("none of its data centres %v is in the configuration", spec.DataCentres)
}

// workerConstraint returns a description of the constraint if no worker can hold the job. It
// compares the job with the largest capacity that any allowed worker has in each dimension.
func workerConstraint(spec *model.JobSpec, need model.Resources, workers []model.Worker) string {
	if len(workers) == 0 {
		return ""
	}
	allowed := 0
	var largest model.Resources
	for i := range workers {
		if !allowsDataCentre(spec, workers[i].DataCentre) {
			continue
		}
		if need.Fits(workers[i].Capacity) {
			return ""
		}
		allowed++
		largest = atLeast(largest, workers[i].Capacity)
	}
	if allowed == 0 {
		return fmt.Sprintf("no worker is in its data centres %v", spec.DataCentres)
	}
	if need.Fits(largest) {
		return fmt.Sprintf("no single worker has %d milliCPU, %d MB and %d accelerators together",
			need.MilliCPU, need.MemoryMB, need.Accelerators)
	}
	dimension, want, have := exceeded(need, largest)
	return fmt.Sprintf("needs %d %s but the largest allowed worker has %d", want, dimension, have)
}

// exceeded returns the first dimension in which need is above limit.
func exceeded(need, limit model.Resources) (dimension string, want, have int64) {
	switch {
	case need.Accelerators > limit.Accelerators:
		return "accelerators", need.Accelerators, limit.Accelerators
	case need.MemoryMB > limit.MemoryMB:
		return "MB of memory", need.MemoryMB, limit.MemoryMB
	default:
		return "milliCPU", need.MilliCPU, limit.MilliCPU
	}
}
