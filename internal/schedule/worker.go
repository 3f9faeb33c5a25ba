package schedule

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// attemptRetention is how long an ended attempt is kept, because samples of its last windows
	// arrive after its end.
	attemptRetention = 3 * time.Minute
	// unseenGrace is how long a new attempt may be missing from snapshots before it is taken to
	// have ended.
	unseenGrace = 15 * time.Second
	// memoryMargin is the factor by which an attempt is expected to exceed its measured memory
	// peak.
	memoryMargin = 1.05
	// unknownLoad is the share of busy slots that is assumed of a target before it is measured.
	unknownLoad = 0.5
)

// trackedAttempt is an attempt on a worker with its measurements.
type trackedAttempt struct {
	id          model.AttemptID
	spec        *model.JobSpec
	reservation model.Resources
	started     time.Time
	// ended is the end of the attempt, zero while it may be executing.
	ended time.Time
	// share is the share of processor time that the attempt is throttled to, 1 if it is not
	// throttled.
	share float64
	// throttledUntil is the last time at which the attempt was known to be throttled.
	throttledUntil time.Time
	// throttledFor is how long the attempt was throttled up to syncedAt.
	throttledFor time.Duration
	syncedAt     time.Time
	progress     float64
	evicting     bool
	// evictedAt is when this scheduler asked for the eviction of the attempt.
	evictedAt time.Time
	// samples is the number of usage samples so far.
	samples int
	// cpu is the moving average of the processor use in milliCPU, memory the last and peak the
	// highest measured memory in MB.
	cpu    float64
	memory float64
	peak   float64
	// learnedCPU and learnedMemory are the amounts of this attempt that the estimate of its class
	// contains.
	learnedCPU    float64
	learnedMemory float64
	// lastSync is the number of the last sync whose snapshot contained the attempt.
	lastSync int
	// cpuSum and cpuSamples are the sum and the number of the samples of processor use that the
	// class learns from.
	cpuSum     float64
	cpuSamples int
}

// alive reports whether the attempt may be executing.
func (a *trackedAttempt) alive() bool { return a.ended.IsZero() }

// overlap returns the share of the window during which the attempt executed.
func (a *trackedAttempt) overlap(from, to time.Time) float64 {
	start, end := from, to
	if a.started.After(start) {
		start = a.started
	}
	if !a.alive() && a.ended.Before(end) {
		end = a.ended
	}
	if !end.After(start) || !to.After(from) {
		return 0
	}
	return float64(end.Sub(start)) / float64(to.Sub(from))
}

// workerState is what the scheduler keeps about a worker between calls of Plan.
type workerState struct {
	id       model.WorkerID
	capacity model.Resources
	attempts []*trackedAttempt
	// seenAt is the time of the last snapshot that contained the worker.
	seenAt time.Time
	// syncs counts the calls of sync.
	syncs int
	// expectedUse is the expected processor use of the executing attempts by class.
	expectedUse []classShare
	// overrun is the expected use above the reservations. It is not available to other attempts.
	overrun model.Resources
	monitor latencyMonitor
	health  workerHealth
	// services lists the services with a target on the worker. predictions has one entry for each
	// of them.
	services    []model.Service
	predictions []servicePrediction
	// load is the last measured share of busy slots of each service's target on the worker.
	load map[model.Service]float64
}

// servicePrediction is the predicted latency growth of one service on a worker in its current load
// band.
type servicePrediction struct {
	service model.Service
	// index is the position of the load band in allBands of the scheduler.
	index int
	load  float64
	// growth is the predicted growth of the logarithm of the latency caused by the attempts on the
	// worker.
	growth float64
	// cost is the growthCost of growth.
	cost float64
}

// worker returns the state of the worker, and creates it if needed.
func (s *Scheduler) worker(id model.WorkerID) *workerState {
	w := s.workers[id]
	if w == nil {
		w = &workerState{id: id, load: map[model.Service]float64{}}
		s.workers[id] = w
	}
	return w
}

// setServices updates the list of services that have a target on the worker.
func (w *workerState) setServices(s *Scheduler, services []model.Service) {
	if slices.Equal(w.services, services) {
		return
	}
	w.services = slices.Clone(services)
	w.refresh(s)
}

// findWithHint returns the attempt, which is probably at index i because attempts and most lists
// of them have nearly the same order. It returns nil if there is none.
func (w *workerState) findWithHint(i int, id model.AttemptID) *trackedAttempt {
	if i < len(w.attempts) && w.attempts[i].id == id {
		return w.attempts[i]
	}
	return w.find(id)
}

func (w *workerState) find(id model.AttemptID) *trackedAttempt {
	for _, a := range w.attempts {
		if a.id.Number == id.Number && a.id.Job == id.Job {
			return a
		}
	}
	return nil
}

// sync updates the tracked attempts from the attempts of the snapshot and drops expired ones.
func (w *workerState) sync(s *Scheduler, view *WorkerView, now time.Time) {
	w.capacity = view.Worker.Capacity
	w.syncs++
	for i := range view.Attempts {
		a := &view.Attempts[i]
		r := w.findWithHint(i, a.ID)
		if r == nil {
			spec := a.Spec
			r = &trackedAttempt{id: a.ID, spec: &spec, started: a.Started, share: 1}
			w.attempts = append(w.attempts, r)
		}
		r.lastSync = w.syncs
		r.update(a, now)
	}
	w.expire(now)
	w.refresh(s)
}

func (a *trackedAttempt) update(view *AttemptView, now time.Time) {
	a.ended = time.Time{}
	a.reservation = view.Reservation
	a.progress = view.Progress
	a.evicting = view.Evicting
	a.share = view.Throttle
	if a.share <= 0 || a.share > 1 {
		a.share = 1
	}
	if a.share < 1 {
		a.throttledUntil = now
		if !a.syncedAt.IsZero() {
			a.throttledFor += now.Sub(a.syncedAt)
		}
	}
	a.syncedAt = now
}

// expire marks attempts that are missing from the snapshot as ended, and drops ended attempts after
// attemptRetention.
func (w *workerState) expire(now time.Time) {
	kept := w.attempts[:0]
	for _, a := range w.attempts {
		if a.alive() && a.lastSync != w.syncs && now.Sub(a.started) > unseenGrace {
			a.ended = now
		}
		if a.alive() || now.Sub(a.ended) < attemptRetention {
			kept = append(kept, a)
		}
	}
	clear(w.attempts[len(kept):])
	w.attempts = kept
}

// expected returns what the attempt is expected to use. It goes by measurements of the attempt if
// there are any, and by the estimate of the class otherwise.
func (s *Scheduler) expected(a *trackedAttempt) model.Resources {
	if a.samples == 0 {
		if c := s.classes[a.spec.Class]; c != nil {
			return c.expected(a.spec.Declared)
		}
		return a.reservation
	}
	return model.Resources{MilliCPU: int64(a.cpu), MemoryMB: int64(a.peak * memoryMargin)}
}

// refresh recomputes expectedUse, overrun and predictions from the executing attempts.
func (w *workerState) refresh(s *Scheduler) {
	w.expectedUse = w.expectedUse[:0]
	w.overrun = model.Resources{}
	for _, a := range w.attempts {
		if !a.alive() {
			continue
		}
		use := s.expected(a)
		w.expectedUse = addClassShare(w.expectedUse, a.spec.Class, ratio(use.MilliCPU, w.capacity.MilliCPU))
		over := use.Sub(a.reservation)
		w.overrun.MilliCPU += max(0, over.MilliCPU)
		w.overrun.MemoryMB += max(0, over.MemoryMB)
	}
	w.predictions = w.predictions[:0]
	for _, service := range w.services {
		load, known := w.load[service]
		if !known {
			load = unknownLoad
		}
		p := s.effects(service, load)
		growth := min(maximumGrowth, p.growth(w.expectedUse))
		w.predictions = append(w.predictions, servicePrediction{service, p.index, load, growth, growthCost(growth)})
	}
}

func addClassShare(byClass []classShare, class model.JobClass, share float64) []classShare {
	if share <= 0 {
		return byClass
	}
	for i := range byClass {
		if byClass[i].class == class {
			byClass[i].share += share
			return byClass
		}
	}
	return append(byClass, classShare{class, share})
}

// classSharesIn returns the processor use by class in a past window.
func (w *workerState) classSharesIn(s *Scheduler, from, to time.Time) []classShare {
	var byClass []classShare
	for _, a := range w.attempts {
		if overlap := a.overlap(from, to); overlap > 0 {
			use := s.expected(a)
			byClass = addClassShare(byClass, a.spec.Class, overlap*ratio(use.MilliCPU, w.capacity.MilliCPU))
		}
	}
	return byClass
}
