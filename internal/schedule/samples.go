package schedule

import (
	"math"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

const (
	// maxPendingSamples is the number of pending samples of one worker at which further ones are
	// dropped until a call of Plan has learned from the pending ones.
	maxPendingSamples = 512
	// learnedWorkersPerPlan bounds the workers whose samples one call of Plan learns from, so that
	// its duration does not depend on the number of reports that arrived.
	learnedWorkersPerPlan = 16
	// contentionThreshold is the share of a worker's processors in use above which the processor
	// time of its attempts is not learned, because contention limits it.
	contentionThreshold = 0.95
	// cpuSmoothing is the weight of the newest sample in the moving average of an attempt's
	// processor time.
	cpuSmoothing = 0.5
	// minimumSamples is the number of samples of an attempt from which on its class learns from
	// it.
	minimumSamples = 2
)

// Observe implements Policy. The samples are kept until the next call of Plan, because only its
// snapshot tells which attempts they describe.
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

// learnFromSamples learns from the pending samples of at most learnedWorkersPerPlan workers, the
// longest waiting first, and returns the indices of their nodes.
func (r *round) learnFromSamples() []int {
	s := r.scheduler
	if len(s.pendingOrder) == 0 {
		return nil
	}
	count := min(learnedWorkersPerPlan, len(s.pendingOrder))
	chosen := make(map[model.WorkerID]*WorkerSamples, count)
	for _, id := range s.pendingOrder[:count] {
		chosen[id] = s.pending[id]
		delete(s.pending, id)
	}
	s.pendingOrder = append(s.pendingOrder[:0], s.pendingOrder[count:]...)
	var learned []int
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
		learned = append(learned, i)
	}
	return learned
}

func (w *workerState) learnUsage(s *Scheduler, usage []platform.UsageSample) {
	busy := w.busyIn(usage)
	for i, u := range usage {
		a := w.findWithHint(i, u.Attempt)
		if a == nil || a.overlap(u.From, u.To) < 1 {
			continue
		}
		a.measure(u)
		unlimited := busy < contentionThreshold && u.From.After(a.throttledUntil)
		s.learnSize(a, float64(u.Used.MilliCPU), unlimited)
	}
}

// busyIn returns the share of the worker's processors that was used in the last window of the
// samples.
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

func (a *trackedAttempt) measure(u platform.UsageSample) {
	cpu := float64(u.Used.MilliCPU)
	if a.samples == 0 {
		a.cpu = cpu
	}
	a.cpu += cpuSmoothing * (cpu - a.cpu)
	a.memory = float64(u.Used.MemoryMB)
	a.peak = max(a.peak, a.memory)
	a.samples++
}

// learnSize updates the estimate of the class from the attempt. Processor time is learned only if
// neither a throttle nor contention limited the attempt.
func (s *Scheduler) learnSize(a *trackedAttempt, cpu float64, unlimited bool) {
	if a.samples < minimumSamples {
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

// learn adds the amount of an attempt or corrects the one added before, and returns the amount
// that the estimate now contains.
func (e *sizeEstimate) learn(old, used, declared float64) float64 {
	used = max(used, 1)
	if old == 0 {
		e.add(used, declared)
	} else {
		e.replace(old, used, declared)
	}
	return used
}

// learnServices attributes each measured latency to the attempts that executed in its window.
func (w *workerState) learnServices(r *round, samples []platform.ServiceSample) {
	for _, m := range samples {
		if m.Count < minimumRequests || m.P99 <= 0 {
			continue
		}
		w.load[m.Service] = m.Load
		e := r.scheduler.effects(m.Service, m.Load)
		logLatency := math.Log(m.P99.Seconds())
		byClass := w.classSharesIn(r.scheduler, m.From, m.To)
		e.learn(logLatency, byClass, m.To)
		w.monitor.recordWindow(m, logLatency-e.Base.Mean, r.latencyLimit(m.Service))
	}
}
