package schedule

import (
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// historyLength is how long an ended attempt is remembered, because samples arrive late.
	historyLength = 3 * time.Minute
	// unseenGrace is how long a placement may be missing in snapshots before it counts as gone.
	unseenGrace = 15 * time.Second
	// memoryMargin is the factor over a measured peak that an attempt is expected to reach.
	memoryMargin = 1.05
	// unknownLoad is assumed of a target whose load was not measured yet.
	unknownLoad = 0.5
)

// resident is an attempt on a worker.
type resident struct {
	id          model.AttemptID
	spec        *model.JobSpec
	reservation model.Resources
	from        time.Time
	// until is the end of the attempt, zero while it may be executing.
	until time.Time
	// share is the throttle in force, 1 if none.
	share float64
	// throttledUntil is the last time at which a throttle was in force.
	throttledUntil time.Time
	// throttledFor is how long throttles were in force up to syncedAt.
	throttledFor time.Duration
	syncedAt     time.Time
	progress     float64
	evicting     bool
	// evictedAt is when this scheduler asked for the eviction.
	evictedAt time.Time
	samples   int
	cpu       float64
	memory    float64
	peak      float64
	// learnedCPU and learnedMemory are the amounts that the class has learned from this attempt.
	learnedCPU    float64
	learnedMemory float64
	// seen is the number of the last sync whose snapshot held the attempt.
	seen       int
	cpuSum     float64
	cpuSamples int
}

// alive reports whether the attempt may be executing.
func (a *resident) alive() bool { return a.until.IsZero() }

// overlap returns the share of the window in which the attempt executed.
func (a *resident) overlap(from, to time.Time) float64 {
	start, end := from, to
	if a.from.After(start) {
		start = a.from
	}
	if !a.alive() && a.until.Before(end) {
		end = a.until
	}
	if !end.After(start) || !to.After(from) {
		return 0
	}
	return float64(end.Sub(start)) / float64(to.Sub(from))
}

// workerState is what the scheduler remembers of a worker between decisions.
type workerState struct {
	id        model.WorkerID
	capacity  model.Resources
	residents []*resident
	// seenAt is the time of the last snapshot that held the worker.
	seenAt time.Time
	// syncs counts the calls of sync.
	syncs int
	// present is the expected use of the executing attempts by class.
	present []presence
	// overrun is the expected use above the reservations, not to be given to others.
	overrun model.Resources
	heat    heat
	health  workerHealth
	// services and pairs describe the services with a target on the worker.
	services []model.Service
	pairs    []workerPair
	// load is the last measured load of each service on the worker.
	load map[model.Service]float64
}

// workerPair is one service on a worker in its present load band.
type workerPair struct {
	service model.Service
	// index is the position in the scheduler's pairs.
	index int
	load  float64
	// growth is the predicted growth of the logarithm of the latency through the residents.
	growth float64
	// convex is the weight of growth in placement costs.
	convex float64
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

// setServices follows a change of the services that have a target on the worker.
func (w *workerState) setServices(s *Scheduler, services []model.Service) {
	if slices.Equal(w.services, services) {
		return
	}
	w.services = slices.Clone(services)
	w.refresh(s)
}

// findNear is find for a list in nearly the same order as the residents.
func (w *workerState) findNear(i int, id model.AttemptID) *resident {
	if i < len(w.residents) && w.residents[i].id == id {
		return w.residents[i]
	}
	return w.find(id)
}

func (w *workerState) find(id model.AttemptID) *resident {
	for _, a := range w.residents {
		if a.id.Number == id.Number && a.id.Job == id.Job {
			return a
		}
	}
	return nil
}

// sync brings the residents in line with the snapshot's attempts.
func (w *workerState) sync(s *Scheduler, view *WorkerView, now time.Time) {
	w.capacity = view.Worker.Capacity
	w.syncs++
	for i := range view.Attempts {
		a := &view.Attempts[i]
		r := w.findNear(i, a.ID)
		if r == nil {
			spec := a.Spec
			r = &resident{id: a.ID, spec: &spec, from: a.Started, share: 1}
			w.residents = append(w.residents, r)
		}
		r.seen = w.syncs
		r.update(a, now)
	}
	w.expire(now)
	w.refresh(s)
}

func (a *resident) update(view *AttemptView, now time.Time) {
	a.until = time.Time{}
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

func (w *workerState) expire(now time.Time) {
	kept := w.residents[:0]
	for _, a := range w.residents {
		if a.alive() && a.seen != w.syncs && now.Sub(a.from) > unseenGrace {
			a.until = now
		}
		if a.alive() || now.Sub(a.until) < historyLength {
			kept = append(kept, a)
		}
	}
	clear(w.residents[len(kept):])
	w.residents = kept
}

// expected returns what the attempt is expected to use: its own measurements if there are
// any, else the estimate of its class.
func (s *Scheduler) expected(a *resident) model.Resources {
	if a.samples == 0 {
		if c := s.classes[a.spec.Class]; c != nil {
			return c.expected(a.spec.Declared)
		}
		return a.reservation
	}
	return model.Resources{MilliCPU: int64(a.cpu), MemoryMB: int64(a.peak * memoryMargin)}
}

// refresh derives presence and overrun from the executing residents.
func (w *workerState) refresh(s *Scheduler) {
	w.present = w.present[:0]
	w.overrun = model.Resources{}
	for _, a := range w.residents {
		if !a.alive() {
			continue
		}
		use := s.expected(a)
		w.present = addPresence(w.present, a.spec.Class, ratio(use.MilliCPU, w.capacity.MilliCPU))
		over := use.Sub(a.reservation)
		w.overrun.MilliCPU += max(0, over.MilliCPU)
		w.overrun.MemoryMB += max(0, over.MemoryMB)
	}
	w.pairs = w.pairs[:0]
	for _, service := range w.services {
		load, known := w.load[service]
		if !known {
			load = unknownLoad
		}
		p := s.effects(service, load)
		growth := min(maximumGrowth, p.growth(w.present))
		w.pairs = append(w.pairs, workerPair{service, p.index, load, growth, convex(growth)})
	}
}

func addPresence(present []presence, class model.JobClass, share float64) []presence {
	if share <= 0 {
		return present
	}
	for i := range present {
		if present[i].class == class {
			present[i].share += share
			return present
		}
	}
	return append(present, presence{class, share})
}

// presentIn returns the use by class in a past window.
func (w *workerState) presentIn(s *Scheduler, from, to time.Time) []presence {
	var present []presence
	for _, a := range w.residents {
		if overlap := a.overlap(from, to); overlap > 0 {
			use := s.expected(a)
			present = addPresence(present, a.spec.Class, overlap*ratio(use.MilliCPU, w.capacity.MilliCPU))
		}
	}
	return present
}
