package fleet

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Times of the samples.
const (
	defaultSampleWindow = 2 * time.Second
	// sampleLag is the time from the end of a window until its samples are handed out.
	sampleLag = 3 * time.Second
)

// maxSamples is the number of samples of each kind that are kept for the next lease call.
const maxSamples = 256

// sampler measures the usage of attempts and the latency of services in windows of time, and
// hands the samples out with a lag.
type sampler struct {
	mu           sync.Mutex
	windowLength time.Duration
	windowStart  time.Time
	usage        []platform.UsageSample
	services     []platform.ServiceSample
	windows      map[model.Service]*window
}

// window holds the measurements of one service since the current window began.
type window struct {
	latencies []time.Duration
	busy      time.Duration
	slots     int
}

// newSampler returns an empty sampler.
func newSampler() *sampler {
	return &sampler{windowLength: defaultSampleWindow, windows: map[model.Service]*window{}}
}

// observe adds the latency of one request and the time for which it occupied one of the slots.
func (s *sampler) observe(service model.Service, latency, busy time.Duration, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.windows[service]
	if w == nil {
		w = &window{}
		s.windows[service] = w
	}
	w.latencies = append(w.latencies, latency)
	w.busy += busy
	w.slots = slots
}

// step closes the current window once it has its full length, and turns it into samples.
func (s *sampler) step(now time.Time, attempts map[model.AttemptID]*attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.windowStart.IsZero() {
		s.windowStart = now
	}
	if now.Sub(s.windowStart) < s.windowLength {
		return
	}
	for _, a := range attempts {
		if !a.state.Ended() {
			s.usage = append(s.usage, platform.UsageSample{Attempt: a.id, From: s.windowStart, To: now, Used: a.used()})
		}
	}
	for service, w := range s.windows {
		slices.Sort(w.latencies)
		s.services = append(s.services, platform.ServiceSample{
			Service: service, From: s.windowStart, To: now,
			P99:   w.latencies[len(w.latencies)*99/100],
			Load:  w.busy.Seconds() / (now.Sub(s.windowStart).Seconds() * float64(max(w.slots, 1))),
			Count: int64(len(w.latencies)),
		})
	}
	s.windows = map[model.Service]*window{}
	s.windowStart = now
	s.usage = keepLast(s.usage)
	s.services = keepLast(s.services)
}

// takeReady removes and returns the samples whose window ended at least sampleLag ago.
func (s *sampler) takeReady(now time.Time) ([]platform.UsageSample, []platform.ServiceSample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := now.Add(-sampleLag)
	u := 0
	for u < len(s.usage) && !s.usage[u].To.After(cutoff) {
		u++
	}
	v := 0
	for v < len(s.services) && !s.services[v].To.After(cutoff) {
		v++
	}
	usage, services := s.usage[:u:u], s.services[:v:v]
	s.usage, s.services = s.usage[u:], s.services[v:]
	return usage, services
}

// keepLast drops the oldest samples beyond maxSamples.
func keepLast[T any](samples []T) []T {
	return samples[max(len(samples)-maxSamples, 0):]
}

// utoa formats a number.
func utoa(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

// quote quotes a checkpoint ID.
func quote(id model.CheckpointID) string { return strconv.Quote(string(id)) }
