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
	// memoryLimit is the share of a worker's memory in use above which a task is evicted.
	memoryLimit = 0.95
	// memoryStopLimit is the share of a worker's memory in use above which a task whose checkpoint
	// is overdue is stopped.
	memoryStopLimit = 0.99
	// checkpointTimeout is how long a checkpoint may take before the task may be stopped.
	checkpointTimeout = time.Minute
	// cpuLimit is the share of a worker's processors in use above which tasks are throttled to
	// their reservation if they exceed it.
	cpuLimit = 1.0
	// reservationThrottle is the throttle that limits a task to its reservation. It is below 1,
	// because 1 means no throttle.
	reservationThrottle = 0.95
	// minimumShare is the lowest share that a task is throttled to if the tail latency has weight
	// 0.
	minimumShare = 0.25
	// throttleStep is the divisor of a task's share with each stronger throttle, and its factor
	// with each release.
	throttleStep = 2
	// latencyMargin is how far below its limit a latency is to be brought, as a logarithm.
	latencyMargin = 0.1
	// minimumImpact is the predicted growth of a latency, as a logarithm, below which an attempt
	// is not throttled.
	minimumImpact = 0.005
	// maximumThrottled is the share of its run for which an attempt may be throttled before it is
	// exempt from further throttles. It applies to runs longer than longRun.
	maximumThrottled = 0.5
	longRun          = 2 * time.Minute
	// minimumRelativeImpact is the impact per processor, relative to the attempt with the largest,
	// below which an attempt is not throttled together with it.
	minimumRelativeImpact = 0.3
	// evictionExcess is the growth above the limit, as a logarithm, from which on a task is
	// evicted if no throttle is left to apply.
	evictionExcess = 0.2
	// nearCompletion is the progress from which on a task is not evicted but left to finish.
	nearCompletion = 0.85
	// evictionCooldown is the least time between two evictions of the same job, evacuations
	// excepted.
	evictionCooldown = 5 * time.Minute
)

// evacuate checkpoints every attempt in a data centre that is out of service and on every worker
// that the platform withdraws, so that the jobs resume elsewhere.
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

// mitigate throttles, evicts or releases attempts on the workers whose samples this round has
// learned from.
func (r *round) mitigate(learned []int, plan *Plan) {
	for _, i := range learned {
		n := &r.nodes[i]
		if !n.view.Reachable || r.evacuationReason(n.view) != "" {
			continue
		}
		if r.mitigateMemory(n, plan) || r.mitigateCPU(n, plan) || r.mitigateLatency(n, plan) {
			continue
		}
		r.releaseThrottles(n, plan)
	}
}

// mitigateMemory evicts the task with the least lost work per freed megabyte before the worker
// runs out of memory. Throttling would not free memory. It reports whether memory is short and
// action was taken or is under way.
func (r *round) mitigateMemory(n *node, plan *Plan) bool {
	w := n.state
	used := w.memoryInUse()
	share := used / float64(max(1, w.capacity.MemoryMB))
	if share <= memoryLimit {
		return false
	}
	if overdue := w.overdueCheckpoint(r.snapshot.Now); overdue != nil && share > memoryStopLimit {
		reason := fmt.Sprintf("memory of the worker is %.0f%% in use and its checkpoint is late", 100*share)
		r.evict(n, overdue, platform.SignalStop, reason, plan)
		return true
	}
	if w.evictingMemory() >= used-memoryLimit*float64(w.capacity.MemoryMB) {
		return true
	}
	victim := r.victim(w, func(a *trackedAttempt) float64 { return a.memory })
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
	for _, a := range w.attempts {
		if a.alive() {
			sum += a.memory
		}
	}
	return sum
}

// evictingMemory returns the memory that the evictions under way will free.
func (w *workerState) evictingMemory() float64 {
	sum := 0.0
	for _, a := range w.attempts {
		if a.alive() && a.evicting {
			sum += a.memory
		}
	}
	return sum
}

func (w *workerState) overdueCheckpoint(now time.Time) *trackedAttempt {
	for _, a := range w.attempts {
		if a.alive() && a.evicting && !a.evictedAt.IsZero() && now.Sub(a.evictedAt) > checkpointTimeout {
			return a
		}
	}
	return nil
}

// mitigateCPU throttles the task that exceeds its reservation most to that reservation, if the
// tasks of the worker together use more than its processors.
func (r *round) mitigateCPU(n *node, plan *Plan) bool {
	w := n.state
	used, excess := 0.0, 0.0
	var worst *trackedAttempt
	for _, a := range w.attempts {
		if !a.alive() {
			continue
		}
		used += a.cpu
		over := a.cpu - float64(a.reservation.MilliCPU)
		if a.share == 1 && a.mayMitigate() && over > excess {
			worst, excess = a, over
		}
	}
	share := used / float64(max(1, w.capacity.MilliCPU))
	if share <= cpuLimit || worst == nil {
		return false
	}
	reason := fmt.Sprintf("processors of the worker are %.0f%% in use; the task uses %.0f of %d milliCPU",
		100*share, worst.cpu, worst.reservation.MilliCPU)
	r.throttle(n, worst, reservationThrottle, reason, plan)
	return true
}

// mayMitigate reports whether the attempt may be throttled or evicted for the sake of its worker.
func (a *trackedAttempt) mayMitigate() bool {
	return a.alive() && !a.evicting && a.samples > 0 && a.spec.Priority == model.PriorityBatch
}

// mitigateLatency takes the mildest action that is left on a worker with a service above its
// limit: a throttle, a stronger throttle, then an eviction. It reports whether it took one.
func (r *round) mitigateLatency(n *node, plan *Plan) bool {
	w := n.state
	service, excess, found := w.monitor.worstViolation()
	if !found {
		return false
	}
	impact := r.impact(w, service)
	reason := fmt.Sprintf("latency of %s is %.1f times its limit", service, growthFactor(excess))
	if r.throttleByImpact(n, impact, excess+latencyMargin, reason, plan) {
		return true
	}
	if excess < evictionExcess*(1+r.objectives.evictions) || !r.scheduler.budget.take(r.snapshot.Now) {
		return false
	}
	victim := r.victim(w, impact)
	if victim == nil {
		return false
	}
	r.evict(n, victim, platform.SignalCheckpoint, reason+" in spite of throttling", plan)
	return true
}

// impact returns a function that predicts how much an attempt raises the logarithm of the
// service's latency.
func (r *round) impact(w *workerState, service model.Service) func(*trackedAttempt) float64 {
	effects := r.scheduler.effects(service, w.load[service])
	return func(a *trackedAttempt) float64 {
		return max(0, effects.effectOf(a.spec.Class).Mean) * a.cpu / float64(max(1, w.capacity.MilliCPU))
	}
}

// throttledTooLong reports whether the attempt was throttled for so much of its run that it is
// exempt from further throttles, so that every task makes progress.
func (a *trackedAttempt) throttledTooLong(now time.Time) bool {
	age := now.Sub(a.started)
	return age > longRun && a.throttledFor > time.Duration(maximumThrottled*float64(age))
}

// reductionAt predicts by how much throttling the attempt to the share reduces its impact.
func (a *trackedAttempt) reductionAt(share float64, impact func(*trackedAttempt) float64) float64 {
	left := min(a.cpu, share*float64(a.reservation.MilliCPU))
	return impact(a) * (1 - left/max(a.cpu, 1))
}

// minimumThrottleShare returns the lowest share that attempts are throttled to under the current
// weights.
func (r *round) minimumThrottleShare() float64 {
	return minimumShare * (1 - r.objectives.tail)
}

// throttleByImpact divides the share of the attempts with the highest impact per processor by two
// or four, until the predicted reduction reaches wanted. It reports whether it throttled any.
func (r *round) throttleByImpact(n *node, impact func(*trackedAttempt) float64, wanted float64, reason string, plan *Plan) bool {
	lowest := r.minimumThrottleShare()
	var candidates []*trackedAttempt
	for _, a := range n.state.attempts {
		if a.mayMitigate() && a.share > lowest && impact(a) > minimumImpact && !a.throttledTooLong(r.snapshot.Now) {
			candidates = append(candidates, a)
		}
	}
	perCPU := func(a *trackedAttempt) float64 { return impact(a) / max(a.cpu, 1) }
	slices.SortStableFunc(candidates, func(a, b *trackedAttempt) int { return cmp.Compare(perCPU(b), perCPU(a)) })
	for i, a := range candidates {
		if i > 0 && (wanted <= 0 || perCPU(a) < minimumRelativeImpact*perCPU(candidates[0])) {
			break
		}
		share := max(lowest, a.share/throttleStep)
		reduction := a.reductionAt(share, impact)
		if reduction < wanted {
			share = max(lowest, share/throttleStep)
			reduction = a.reductionAt(share, impact)
		}
		wanted -= reduction
		r.throttle(n, a, share, reason, plan)
	}
	return len(candidates) > 0
}

// victim returns the attempt with the least lost work per unit of gain, nil if none may be
// evicted.
func (r *round) victim(w *workerState, gainOf func(*trackedAttempt) float64) *trackedAttempt {
	var best *trackedAttempt
	least := 0.0
	for _, a := range w.attempts {
		gain := gainOf(a)
		if !a.mayMitigate() || gain <= 0 || !r.evictable(a) {
			continue
		}
		if cost := a.lostWork() / gain; best == nil || cost < least {
			best, least = a, cost
		}
	}
	return best
}

// evictable reports whether the attempt may be evicted: it is not about to finish, and its job was
// not evicted within evictionCooldown.
func (r *round) evictable(a *trackedAttempt) bool {
	j := r.scheduler.jobs[a.id.Job]
	recent := j != nil && !j.evictedAt.IsZero() && r.snapshot.Now.Sub(j.evictedAt) < evictionCooldown
	return !recent && a.progress < nearCompletion
}

// lostWork estimates the processor time, in milliCPU seconds, that a checkpoint and a restart
// elsewhere cost. The task makes no progress while its memory is written and read.
func (a *trackedAttempt) lostWork() float64 {
	const (
		restartSeconds     = 5
		secondsPerGigabyte = 0.5
		megabytes          = 1024
	)
	return (restartSeconds + secondsPerGigabyte*a.memory/megabytes) * max(a.cpu, 1)
}

func (r *round) throttle(n *node, a *trackedAttempt, share float64, reason string, plan *Plan) {
	a.share = share
	a.throttledUntil = r.snapshot.Now
	n.state.monitor.recordMitigation(r.snapshot.Now)
	plan.Signals = append(plan.Signals, Signal{
		Attempt: a.id, Worker: n.view.Worker.ID, Kind: platform.SignalThrottle, Share: share, Reason: reason,
	})
}

func (r *round) evict(n *node, a *trackedAttempt, kind platform.SignalKind, reason string, plan *Plan) {
	now := r.snapshot.Now
	a.evicting = true
	a.evictedAt = now
	r.scheduler.job(a.id.Job, now).evictedAt = now
	n.state.monitor.recordMitigation(now)
	plan.Signals = append(plan.Signals, Signal{
		Attempt: a.id, Worker: n.view.Worker.ID, Kind: kind, Reason: reason,
	})
}

// releaseThrottles raises the strongest throttles of a recovered worker by one step. All attempts
// with that throttle are released at once, because releasing them one by one would keep the last
// ones throttled for many throttle times.
func (r *round) releaseThrottles(n *node, plan *Plan) {
	w := n.state
	if !w.monitor.mayRelease(r.snapshot.Now) {
		return
	}
	lowest := 1.0
	for _, a := range w.attempts {
		if a.alive() && !a.evicting {
			lowest = min(lowest, a.share)
		}
	}
	if lowest == 1 {
		return
	}
	w.monitor.recordRelease(r.snapshot.Now)
	for _, a := range w.attempts {
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
