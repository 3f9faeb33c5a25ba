package schedule

import (
	"math"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

const (
	// maxPendingSamples bounds the samples kept for one worker until the next decision.
	maxPendingSamples = 512
	// digestsPerPlan bounds the workers whose samples one decision learns from, so that the
	// time of a decision does not depend on how many reports arrived.
	digestsPerPlan = 16
	// contended is the share of a worker's processors in use above which the measured
	// processor time of its attempts says little about what they could use.
	contended = 0.95
	// smoothing is the weight of the newest sample in an attempt's processor time.
	smoothing = 0.5
	// settledSamples is the number of samples after which a class learns from an attempt.
	settledSamples = 2
)

// Observe implements Policy. The samples are kept until the next Plan, which knows the
// attempts that they describe.
func (s *Scheduler) Observe(samples WorkerSamples) {
	p := s.pending[samples.Worker]
	if p == nil {
		p = &WorkerSamples{Worker: samples.Worker}
		s.pending[samples.Worker] = p
		s.pendingOrder = append(s.pendingOrder, samples.Worker)
	}
	if len(p.Usage) < maxPendingSamples {
		p.Usage = append(p.Usage, samples.Usage...)
	}
	if len(p.Services) < maxPendingSamples {
		p.Services = append(p.Services, samples.Services...)
	}
}

// digest learns from the pending samples of some workers, the longest waiting first, and
// returns the indices of the nodes concerned.
func (r *round) digest() []int {
	s := r.scheduler
	if len(s.pendingOrder) == 0 {
		return nil
	}
	take := min(digestsPerPlan, len(s.pendingOrder))
	chosen := make(map[model.WorkerID]*WorkerSamples, take)
	for _, id := range s.pendingOrder[:take] {
		chosen[id] = s.pending[id]
		delete(s.pending, id)
	}
	s.pendingOrder = append(s.pendingOrder[:0], s.pendingOrder[take:]...)
	var digested []int
	for i := range r.nodes {
		view := r.nodes[i].view
		samples, ok := chosen[view.Worker.ID]
		if !ok {
			continue
		}
		w := r.nodes[i].state
		w.sync(s, view, r.snapshot.Now)
		w.learnUsage(s, samples.Usage)
		w.refresh(s)
		w.learnServices(r, samples.Services)
		digested = append(digested, i)
	}
	return digested
}

func (w *workerState) learnUsage(s *Scheduler, usage []platform.UsageSample) {
	busy := w.busyIn(usage)
	for i, u := range usage {
		a := w.findNear(i, u.Attempt)
		if a == nil || a.overlap(u.From, u.To) < 1 {
			continue
		}
		a.measure(u)
		free := busy < contended && u.From.After(a.throttledUntil)
		s.learnSize(a, float64(u.Used.MilliCPU), free)
	}
}

// busyIn returns the share of the worker's processors used in the last window of the samples.
func (w *workerState) busyIn(usage []platform.UsageSample) float64 {
	var last time.Time
	var sum int64
	for _, u := range usage {
		if u.To.After(last) {
			last, sum = u.To, 0
		}
		if u.To.Equal(last) {
			sum += u.Used.MilliCPU
		}
	}
	return ratio(sum, w.capacity.MilliCPU)
}

func (a *resident) measure(u platform.UsageSample) {
	cpu := float64(u.Used.MilliCPU)
	if a.samples == 0 {
		a.cpu = cpu
	}
	a.cpu += smoothing * (cpu - a.cpu)
	a.memory = float64(u.Used.MemoryMB)
	a.peak = max(a.peak, a.memory)
	a.samples++
}

// learnSize updates the class's estimate from the attempt. Processor time counts only if
// nothing limited the attempt.
func (s *Scheduler) learnSize(a *resident, cpu float64, unlimited bool) {
	if a.samples < settledSamples {
		return
	}
	c := s.class(a.spec.Class)
	declared := atLeast(a.spec.Declared, minimumReservation)
	if unlimited && cpu > 0 {
		a.cpuSum += cpu
		a.cpuSamples++
		mean := a.cpuSum / float64(a.cpuSamples)
		a.learnedCPU = c.CPU.learn(a.learnedCPU, mean, float64(declared.MilliCPU))
	}
	if a.peak > a.learnedMemory {
		a.learnedMemory = c.Memory.learn(a.learnedMemory, a.peak, float64(declared.MemoryMB))
	}
}

// learn adds or corrects an attempt's amount and returns what is now learned.
func (e *sizeEstimate) learn(old, used, declared float64) float64 {
	used = max(used, 1)
	if old == 0 {
		e.add(used, declared)
	} else {
		e.replace(old, used, declared)
	}
	return used
}

// learnServices attributes each latency to the attempts that executed in its window.
func (w *workerState) learnServices(r *round, samples []platform.ServiceSample) {
	for _, m := range samples {
		if m.Count < minimumCount || m.P99 <= 0 {
			continue
		}
		w.load[m.Service] = m.Load
		e := r.scheduler.effects(m.Service, m.Load)
		logLatency := math.Log(m.P99.Seconds())
		present := w.presentIn(r.scheduler, m.From, m.To)
		e.learn(logLatency, present, m.To)
		w.heat.measure(m, logLatency-e.Base.Mean, r.latencyLimit(m.Service))
	}
}
