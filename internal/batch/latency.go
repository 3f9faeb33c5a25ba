package batch

import (
	"cmp"
	"slices"
	"time"
)

// latencyGroup aggregates the latency-sensitive tasks of one job and image on one worker. A
// latency-sensitive task is one whose step has a latency target. Loads, factors and weights are
// explained at interferenceModel.
type latencyGroup struct {
	job   *Job
	image string
	// reservedCPU is the CPU that the tasks reserve, in thousandths of a core.
	reservedCPU int64
	// utilisation is the highest utilisation among the tasks, derived from their last measured tail
	// latencies and not from their use of CPU.
	utilisation float64
	// measuredFactor is the interference factor at the time of the measurements, and currentFactor
	// the one at the present CPU limits of the best-effort tasks on the worker.
	measuredFactor float64
	currentFactor  float64
	// predictedBaseLoad is the highest base load predicted within predictionHorizon.
	predictedBaseLoad float64
}

const (
	// assumedPeakLoad is the least base load that is expected while no reliable estimate exists. It
	// stands for the peaks of a typical job.
	assumedPeakLoad = 0.55
	// baseLoadTolerance is subtracted from the base load that one worker's measurement implies, as
	// long as the latency there is within its target. The measurement then replaces the lower estimate
	// for the job only if it exceeds the estimate by more than this.
	baseLoadTolerance = 0.06
	// predictionHorizon is how far ahead base loads are predicted to admit and throttle
	// best-effort tasks.
	predictionHorizon = 400 * time.Millisecond
)

// latencyGroups returns the latency groups of a worker. They are ordered by job and image, since the
// order of a map is random and decisions must be reproducible.
func (im *interferenceModel) latencyGroups(w *worker, now time.Time) []latencyGroup {
	if w.latencySensitive == 0 {
		return nil
	}
	var out []latencyGroup
	for _, a := range w.attempts {
		if a.step.spec.LatencyTarget == 0 || a.stopping {
			continue
		}
		i := slices.IndexFunc(out, func(g latencyGroup) bool { return g.job == a.step.job && g.image == a.step.image })
		if i < 0 {
			i = len(out)
			out = append(out, latencyGroup{job: a.step.job, image: a.step.image, measuredFactor: 1, currentFactor: 1})
		}
		out[i].reservedCPU += a.reserved.CPU
		out[i].utilisation = max(out[i].utilisation, a.utilisation())
	}
	for _, a := range w.attempts {
		if !a.step.spec.BestEffort || a.stopping {
			continue
		}
		recent := a.recentCPULimit(now.Add(-measurementLag))
		for i := range out {
			added := im.addedFactor(w, a.step, out[i].image)
			out[i].currentFactor += added * float64(a.cpuLimit) / fullPercent
			out[i].measuredFactor += added * recent / fullPercent
		}
	}
	for i := range out {
		out[i].predictedBaseLoad = im.predictBaseLoad(out[i], now)
	}
	slices.SortFunc(out, func(a, b latencyGroup) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.image, b.image))
	})
	return out
}

// predictBaseLoad returns the highest base load of a group expected within predictionHorizon: the
// greater of the prediction for the job and of the base load that the measurements on this worker
// imply.
func (im *interferenceModel) predictBaseLoad(g latencyGroup, now time.Time) float64 {
	measured := g.utilisation / g.measuredFactor
	if l := im.loads[g.job]; l.reliable(now) {
		if g.utilisation <= targetUtilisation {
			measured -= baseLoadTolerance
		}
		return max(l.maxUntil(now.Add(predictionHorizon)), measured)
	}
	return max(measured, assumedPeakLoad)
}

// idleCPU returns how much of their reserved CPU latency-sensitive tasks are expected to leave to
// best-effort tasks, in thousandths of a core.
func (im *interferenceModel) idleCPU(groups []latencyGroup, now time.Time) int64 {
	idle := 0.0
	for _, g := range groups {
		use := assumedCPUUse
		if im.loads[g.job].reliable(now) {
			use = g.predictedBaseLoad
		}
		idle += (1 - use) * float64(g.reservedCPU)
	}
	return int64(idle)
}

// predict returns the utilisation that is expected after the interference factor rises by added.
func (g latencyGroup) predict(added float64) float64 {
	return g.predictedBaseLoad * (g.currentFactor + added)
}

// worstUtilisation returns the highest utilisation among the groups that is expected after one
// more best-effort task of the step starts on the worker.
func (im *interferenceModel) worstUtilisation(w *worker, st *step, groups []latencyGroup) float64 {
	worst := 0.0
	for _, g := range groups {
		worst = max(worst, g.predict(im.addedFactor(w, st, g.image)))
	}
	return worst
}

// addedUtilisation returns by how much one more best-effort task of the step is expected to raise the
// utilisation of a group on the worker while the load of the group is at its peak, for the group where
// this is most. Loads swing within seconds, so a task that starts at a low load also meets the peak.
func (im *interferenceModel) addedUtilisation(w *worker, st *step) float64 {
	worst := 0.0
	for _, g := range w.latencyGroups {
		peak := assumedPeakLoad
		if l := im.loads[g.job]; l != nil {
			peak = l.peak
		}
		worst = max(worst, peak*im.addedFactor(w, st, g.image))
	}
	return worst
}
