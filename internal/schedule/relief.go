package schedule

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

const (
	// memoryLimit is the share of a worker's memory in use above which a task is moved away.
	memoryLimit = 0.95
	// memoryStop is the share above which a task whose checkpoint is late is stopped.
	memoryStop = 0.99
	// checkpointPatience is how long a checkpoint may take before the task may be stopped.
	checkpointPatience = time.Minute
	// cpuLimit is the share of a worker's processors in use above which tasks that exceed
	// their reservation are throttled to it.
	cpuLimit = 1.0
	// reservationShare is the throttle that holds a task to its reservation; 1 would lift it.
	reservationShare = 0.95
	// lowestShare is the strongest throttle if the tail latency does not count.
	lowestShare = 0.25
	// throttleStep divides a task's share with each stronger throttle.
	throttleStep = 2
	// reliefMargin is the relief sought beyond the limit, as a logarithm.
	reliefMargin = 0.1
	// leastHarm is the predicted growth below which a throttle is not worth it.
	leastHarm = 0.005
	// maximumThrottled is the share of a run of at least longRun from which an attempt is not
	// throttled again.
	maximumThrottled = 0.5
	longRun          = 2 * time.Minute
	// harmlessShare is the harm per processor, relative to the worst attempt, below which
	// an attempt is not throttled for what others cause.
	harmlessShare = 0.3
	// moveExcess is the growth above the limit, as a logarithm, from which a task is moved when
	// throttling does not help.
	moveExcess = 0.2
	// lateProgress is the progress from which a task is left to finish.
	lateProgress = 0.85
	// jobCooldown is the least time between two evictions of a job for relief.
	jobCooldown = 5 * time.Minute
)

// evacuate checkpoints every attempt in a data centre that is out of service and on every
// worker that the platform withdraws, so that the jobs resume elsewhere.
func (r *round) evacuate(plan *Plan) {
	for i := range r.nodes {
		view := r.nodes[i].view
		if !view.Reachable || len(view.Attempts) == 0 {
			continue
		}
		if reason := r.evacuationReason(view); reason != "" {
			r.checkpointAll(&r.nodes[i], reason, plan)
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

func (r *round) checkpointAll(n *node, reason string, plan *Plan) {
	for i := range n.view.Attempts {
		a := &n.view.Attempts[i]
		if a.Evicting {
			continue
		}
		plan.Signals = append(plan.Signals, Signal{
			Attempt: a.ID,
			Worker:  n.view.Worker.ID,
			Kind:    platform.SignalCheckpoint,
			Reason:  reason,
		})
	}
}

// relieve acts on the workers whose samples were just learned from.
func (r *round) relieve(digested []int, plan *Plan) {
	for _, i := range digested {
		n := &r.nodes[i]
		if !n.view.Reachable || r.evacuationReason(n.view) != "" {
			continue
		}
		if r.relieveMemory(n, plan) || r.relieveCPU(n, plan) || r.relieveLatency(n, plan) {
			continue
		}
		r.release(n, plan)
	}
}

// relieveMemory moves the task with the least lost work per freed megabyte before the
// worker runs out of memory. Throttling does not free memory.
func (r *round) relieveMemory(n *node, plan *Plan) bool {
	w := n.state
	used := w.memoryInUse()
	share := used / float64(max(1, w.capacity.MemoryMB))
	if share <= memoryLimit {
		return false
	}
	if late := w.lateCheckpoint(r.snapshot.Now); late != nil && share > memoryStop {
		reason := fmt.Sprintf("memory of the worker is %.0f%% in use and its checkpoint is late", 100*share)
		r.evict(n, late, platform.SignalStop, reason, plan)
		return true
	}
	if w.leavingMemory() >= used-memoryLimit*float64(w.capacity.MemoryMB) {
		return true
	}
	victim := r.victim(w, func(a *resident) float64 { return a.memory })
	if victim == nil {
		return false
	}
	reason := fmt.Sprintf("memory of the worker is %.0f%% in use; the task uses %.0f MB of %d reserved",
		100*share, victim.memory, victim.reservation.MemoryMB)
	r.evict(n, victim, platform.SignalCheckpoint, reason, plan)
	return true
}

func (w *workerState) memoryInUse() float64 {
	sum := 0.0
	for _, a := range w.residents {
		if a.alive() {
			sum += a.memory
		}
	}
	return sum
}

// leavingMemory is what the evictions under way will free.
func (w *workerState) leavingMemory() float64 {
	sum := 0.0
	for _, a := range w.residents {
		if a.alive() && a.evicting {
			sum += a.memory
		}
	}
	return sum
}

func (w *workerState) lateCheckpoint(now time.Time) *resident {
	for _, a := range w.residents {
		if a.alive() && a.evicting && !a.evictedAt.IsZero() && now.Sub(a.evictedAt) > checkpointPatience {
			return a
		}
	}
	return nil
}

// relieveCPU holds the task that exceeds its reservation most to it, if the worker's
// tasks together use more than its processors.
func (r *round) relieveCPU(n *node, plan *Plan) bool {
	w := n.state
	used, excess := 0.0, 0.0
	var worst *resident
	for _, a := range w.residents {
		if !a.alive() {
			continue
		}
		used += a.cpu
		over := a.cpu - float64(a.reservation.MilliCPU)
		if a.share == 1 && a.relievable() && over > excess {
			worst, excess = a, over
		}
	}
	share := used / float64(max(1, w.capacity.MilliCPU))
	if share <= cpuLimit || worst == nil {
		return false
	}
	reason := fmt.Sprintf("processors of the worker are %.0f%% in use; the task uses %.0f of %d milliCPU",
		100*share, worst.cpu, worst.reservation.MilliCPU)
	r.throttle(n, worst, reservationShare, reason, plan)
	return true
}

// relievable reports whether relief may act on the attempt.
func (a *resident) relievable() bool {
	return a.alive() && !a.evicting && a.samples > 0 && a.spec.Priority == model.PriorityBatch
}

// relieveLatency gives the mildest relief that is left on a worker whose service has been
// too slow: a throttle, a stronger throttle, then a move.
func (r *round) relieveLatency(n *node, plan *Plan) bool {
	w := n.state
	service, excess, hot := w.heat.hottest()
	if !hot {
		return false
	}
	harm := r.harm(w, service)
	reason := fmt.Sprintf("latency of %s is %.1f times its limit", service, growthFactor(excess))
	if r.throttleHarmful(n, harm, excess+reliefMargin, reason, plan) {
		return true
	}
	if excess < moveExcess*(1+r.goals.evictions) || !r.scheduler.budget.take(r.snapshot.Now) {
		return false
	}
	victim := r.victim(w, harm)
	if victim == nil {
		return false
	}
	r.evict(n, victim, platform.SignalCheckpoint, reason+" in spite of throttling", plan)
	return true
}

// harm returns how much an attempt is predicted to raise the logarithm of the latency.
func (r *round) harm(w *workerState, service model.Service) func(*resident) float64 {
	pair := r.scheduler.effects(service, w.load[service])
	return func(a *resident) float64 {
		return max(0, pair.effectOf(a.spec.Class).Mean) * a.cpu / float64(max(1, w.capacity.MilliCPU))
	}
}

// heldLong reports whether the attempt was throttled for so much of its run that it is
// spared, so that every task makes progress.
func (a *resident) heldLong(now time.Time) bool {
	age := now.Sub(a.from)
	return age > longRun && a.throttledFor > time.Duration(maximumThrottled*float64(age))
}

// reliefAt predicts the relief of throttling the attempt to the share.
func (a *resident) reliefAt(share float64, harm func(*resident) float64) float64 {
	left := min(a.cpu, share*float64(a.reservation.MilliCPU))
	return harm(a) * (1 - left/max(a.cpu, 1))
}

// lowestThrottle returns the strongest throttle for the weights in force.
func (r *round) lowestThrottle() float64 {
	return lowestShare * (1 - r.goals.tail)
}

// throttleHarmful divides the processor time of the attempts that harm most for what they
// use by two or four, until the predicted relief is enough. It reports whether any was throttled.
func (r *round) throttleHarmful(n *node, harm func(*resident) float64, wanted float64, reason string, plan *Plan) bool {
	lowest := r.lowestThrottle()
	var candidates []*resident
	for _, a := range n.state.residents {
		if a.relievable() && a.share > lowest && harm(a) > leastHarm && !a.heldLong(r.snapshot.Now) {
			candidates = append(candidates, a)
		}
	}
	density := func(a *resident) float64 { return harm(a) / max(a.cpu, 1) }
	slices.SortStableFunc(candidates, func(a, b *resident) int { return cmp.Compare(density(b), density(a)) })
	for i, a := range candidates {
		if i > 0 && (wanted <= 0 || density(a) < harmlessShare*density(candidates[0])) {
			break
		}
		share := max(lowest, a.share/throttleStep)
		relief := a.reliefAt(share, harm)
		if relief < wanted {
			share = max(lowest, share/throttleStep)
			relief = a.reliefAt(share, harm)
		}
		wanted -= relief
		r.throttle(n, a, share, reason, plan)
	}
	return len(candidates) > 0
}

// victim returns the attempt with the least lost work per unit of relief.
func (r *round) victim(w *workerState, relief func(*resident) float64) *resident {
	var best *resident
	least := 0.0
	for _, a := range w.residents {
		gain := relief(a)
		if !a.relievable() || gain <= 0 || !r.evictable(a) {
			continue
		}
		if cost := a.lostWork() / gain; best == nil || cost < least {
			best, least = a, cost
		}
	}
	return best
}

// evictable spares jobs that are about to finish and jobs that were evicted a short while ago.
func (r *round) evictable(a *resident) bool {
	j := r.scheduler.jobs[a.id.Job]
	recent := j != nil && !j.evictedAt.IsZero() && r.snapshot.Now.Sub(j.evictedAt) < jobCooldown
	return !recent && a.progress < lateProgress
}

// lostWork estimates the processor seconds that a checkpoint and a move cost: the time to
// write and read the memory, in which the task makes no progress.
func (a *resident) lostWork() float64 {
	const (
		restartSeconds     = 5
		secondsPerGigabyte = 0.5
		megabytes          = 1024
	)
	return (restartSeconds + secondsPerGigabyte*a.memory/megabytes) * max(a.cpu, 1)
}

func (r *round) throttle(n *node, a *resident, share float64, reason string, plan *Plan) {
	a.share = share
	a.throttledUntil = r.snapshot.Now
	n.state.heat.acted(r.snapshot.Now)
	plan.Signals = append(plan.Signals, Signal{
		Attempt: a.id, Worker: n.view.Worker.ID, Kind: platform.SignalThrottle, Share: share, Reason: reason,
	})
}

func (r *round) evict(n *node, a *resident, kind platform.SignalKind, reason string, plan *Plan) {
	now := r.snapshot.Now
	a.evicting = true
	a.evictedAt = now
	r.scheduler.job(a.id.Job, now).evictedAt = now
	n.state.heat.acted(now)
	plan.Signals = append(plan.Signals, Signal{
		Attempt: a.id, Worker: n.view.Worker.ID, Kind: kind, Reason: reason,
	})
}

// release takes the strongest throttles of a cool worker back by one step. All of them go at
// once: one after the other, the last tasks would be held back for many holds.
func (r *round) release(n *node, plan *Plan) {
	w := n.state
	if !w.heat.cooled(r.snapshot.Now) {
		return
	}
	lowest := 1.0
	for _, a := range w.residents {
		if a.alive() && !a.evicting {
			lowest = min(lowest, a.share)
		}
	}
	if lowest == 1 {
		return
	}
	w.heat.released(r.snapshot.Now)
	for _, a := range w.residents {
		if !a.alive() || a.evicting || a.share > lowest {
			continue
		}
		a.share = min(1, lowest*throttleStep)
		plan.Signals = append(plan.Signals, Signal{
			Attempt: a.id, Worker: n.view.Worker.ID, Kind: platform.SignalThrottle, Share: a.share,
			Reason: "services of the worker are within their limits again",
		})
	}
}
