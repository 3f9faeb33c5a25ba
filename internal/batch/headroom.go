package batch

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/forecast"
	"github.com/geraniumwick/geraniumwick/internal/placement"
)

// shortDemand is what was learned of the short tasks of a service that reserve CPU.
type shortDemand struct {
	cpu   forecast.Demand // that they need at once, in thousandths of a core
	sizes forecast.Sizes  // CPU of single tasks
}

// shortDemandOf returns what was learned of the short tasks of a service.
func (s *State) shortDemandOf(service string) *shortDemand {
	d := s.shortDemands[service]
	if d == nil {
		d = &shortDemand{}
		s.shortDemands[service] = d
	}
	return d
}

// reservesShortCPU reports whether tasks of the step are short and reserve CPU.
func (st *step) reservesShortCPU() bool { return !st.spec.LongRunning && st.reserved.CPU > 0 }

// waitsForRoom reports whether the waiting tasks of the step found no room in the last decision.
func (st *step) waitsForRoom() bool {
	return st.waits.reason == heldByRoom || st.waits.reason == heldByLikeStep
}

// noteShortSize notes what a task of a step needs that is opened.
func (s *State) noteShortSize(st *step) {
	if st.reservesShortCPU() {
		s.shortDemandOf(s.queueOf(st.job).Service).sizes.Observe(st.reserved.CPU)
	}
}

// updateShortDemand adds a sample of what short tasks need, running and waiting ones. It forgets services without workers.
func (s *State) updateShortDemand() {
	needed := map[string]int64{}
	for _, w := range s.workers {
		needed[w.info.Service] += w.shortCPU
	}
	for service := range s.shortDemands {
		if _, known := needed[service]; !known {
			delete(s.shortDemands, service)
		}
	}
	for st := range s.open.all() {
		service := s.queueOf(st.job).Service
		if _, known := needed[service]; known && st.reservesShortCPU() && st.waitsForRoom() {
			needed[service] += int64(st.waiting) * st.reserved.CPU
		}
	}
	for service, cpu := range needed {
		s.shortDemandOf(service).cpu.Observe(cpu)
	}
}

// keepsHeadroom reports whether a new long-running task leaves enough CPU to short tasks on the workers of its service.
func (s *State) keepsHeadroom(st *step, workers []*worker, now time.Time) bool {
	return s.headroomOf(s.queueOf(st.job).Service, workers).Admits(st.reserved.CPU, now.Sub(st.job.Accepted))
}

// headroomKey names a headroom. Steps of one service may have more workers to choose from than others, but not other ones.
type headroomKey struct {
	service string
	workers int
}

// headroomOf returns the headroom of a service at the present decision. It counts the workers once a decision.
func (s *State) headroomOf(service string, workers []*worker) *placement.Headroom {
	key := headroomKey{service, len(workers)}
	if h := s.headrooms[key]; h != nil {
		return h
	}
	d := s.shortDemandOf(service)
	h := placement.NewHeadroom(d.cpu.High(), d.sizes.Typical())
	for _, w := range workers {
		if w.info.Service == service {
			h.AddWorker(w.info.Capacity.CPU, w.free().CPU, w.shortCPU)
		}
	}
	s.headrooms[key] = h
	return h
}

// takeHeadroom notes that a task is about to be started on a worker.
func (s *State) takeHeadroom(st *step, w *worker) {
	if !st.spec.LongRunning {
		return
	}
	for key, h := range s.headrooms {
		if key.service == w.info.Service {
			h.Take(w.free().CPU, w.shortCPU, st.reserved.CPU)
		}
	}
}
