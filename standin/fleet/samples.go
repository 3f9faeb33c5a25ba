package fleet

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Times of the measurements.
const (
	defaultSampleWindow = 2 * time.Second
	sampleLag           = 3 * time.Second
)

// maxSamples bounds what waits for the next lease call.
const maxSamples = 256

// sampler measures usage and latency in windows and hands the samples out with a lag.
type sampler struct {
	mu       sync.Mutex
	length   time.Duration
	from     time.Time
	usage    []platform.UsageSample
	services []platform.ServiceSample
	current  map[model.Service]*window
}

// window holds the latencies of one service since the window began.
type window struct {
	latencies []time.Duration
	busy      time.Duration
	slots     int
}

// newSampler returns an empty sampler.
func newSampler() *sampler {
	return &sampler{length: defaultSampleWindow, current: map[model.Service]*window{}}
}

// observe adds the latency of one request and how long it held one of the slots.
func (s *sampler) observe(service model.Service, latency, busy time.Duration, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.current[service]
	if w == nil {
		w = &window{}
		s.current[service] = w
	}
	w.latencies = append(w.latencies, latency)
	w.busy += busy
	w.slots = slots
}

// step closes the window when its time has come.
func (s *sampler) step(now time.Time, attempts map[model.AttemptID]*attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.from.IsZero() {
		s.from = now
	}
	if now.Sub(s.from) < s.length {
		return
	}
	for _, a := range attempts {
		if !a.state.Ended() {
			s.usage = append(s.usage, platform.UsageSample{Attempt: a.id, From: s.from, To: now, Used: a.used()})
		}
	}
	for service, w := range s.current {
		slices.Sort(w.latencies)
		s.services = append(s.services, platform.ServiceSample{
			Service: service, From: s.from, To: now,
			P99:   w.latencies[len(w.latencies)*99/100],
			Load:  w.busy.Seconds() / (now.Sub(s.from).Seconds() * float64(max(w.slots, 1))),
			Count: int64(len(w.latencies)),
		})
	}
	s.current = map[model.Service]*window{}
	s.from = now
	s.usage = keepLast(s.usage)
	s.services = keepLast(s.services)
}

// take hands out the samples that are old enough.
func (s *sampler) take(now time.Time) ([]platform.UsageSample, []platform.ServiceSample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ready := now.Add(-sampleLag)
	u := 0
	for u < len(s.usage) && !s.usage[u].To.After(ready) {
		u++
	}
	v := 0
	for v < len(s.services) && !s.services[v].To.After(ready) {
		v++
	}
	usage, services := s.usage[:u:u], s.services[:v:v]
	s.usage, s.services = s.usage[u:], s.services[v:]
	return usage, services
}

// keepLast drops the oldest samples beyond the bound.
func keepLast[T any](samples []T) []T {
	return samples[max(len(samples)-maxSamples, 0):]
}

// utoa formats a number.
func utoa(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

// quote quotes a checkpoint id.
func quote(id model.CheckpointID) string { return strconv.Quote(string(id)) }
