package schedule

import (
	"math"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

const (
	// minimumCount is the number of requests below which a measured p99 is ignored.
	minimumCount = 20
	// strictLimit and looseLimit bound the growth of a service's latency through batch
	// tasks, if only the tail latency counts and if it does not count at all.
	strictLimit = 1.4
	looseLimit  = 4.0
	// strictDeadline and looseDeadline are the shares of the shortest deadline that a p99 may
	// reach, if only the tail latency counts and if it does not count at all.
	strictDeadline = 0.2
	looseDeadline  = 1.2
	// strictBusy and looseBusy are the shares of a target's slots that may be busy, if only the
	// tail latency counts and if it does not count at all.
	strictBusy = 0.7
	looseBusy  = 1.1
	// coolShare is the share of the limit, as a logarithm, below which a window is cool.
	coolShare = 0.6
	// coolLoad is the share of busy slots below which a window is cool.
	coolLoad = 0.7
	// hotWindows and coolWindows are the consecutive windows after which relief is given and
	// taken back.
	hotWindows  = 2
	coolWindows = 2
	// minimumHold and maximumHold bound how long a relief lasts before it is taken back.
	minimumHold = 30 * time.Second
	maximumHold = 4 * time.Minute
	// lukewarmHolds is the number of holds after which a service that is neither hot nor cool
	// does not keep a relief.
	lukewarmHolds = 2
	// relapse is the time after a release in which new heat doubles the hold.
	relapse = 3 * time.Minute
)

// serviceHeat follows the latency of one service on one worker.
type serviceHeat struct {
	hot    int
	cool   int
	excess float64
}

// heat decides when a worker's batch tasks are relieved and when the relief ends.
type heat struct {
	services map[model.Service]*serviceHeat
	// actedAt is the time of the last relief or release. Windows that began before it do not
	// show its effect and are ignored.
	actedAt    time.Time
	releasedAt time.Time
	hold       time.Duration
}

// latencyLimit says which growth of a service's latency calls for relief.
type latencyLimit struct {
	growth float64
	// absolute is the logarithm of the latency in seconds that is never acceptable.
	absolute float64
	// busy is the share of busy slots that calls for relief.
	busy float64
}

// latencyLimit returns the limit of a service for the weights in force.
func (r *round) latencyLimit(service model.Service) latencyLimit {
	limit := latencyLimit{
		growth:   math.Log(looseLimit + r.goals.tail*(strictLimit-looseLimit)),
		absolute: math.Inf(1),
		busy:     looseBusy + r.goals.tail*(strictBusy-looseBusy),
	}
	if deadline, ok := r.scheduler.shortestDeadlines(r.snapshot.Document)[service]; ok {
		share := looseDeadline + r.goals.tail*(strictDeadline-looseDeadline)
		limit.absolute = math.Log(share * deadline.Seconds())
	}
	return limit
}

// shortestDeadlines returns the shortest deadline of each service. It is derived once for
// each document.
func (s *Scheduler) shortestDeadlines(doc *config.Document) map[model.Service]time.Duration {
	if s.deadlinesOf == doc {
		return s.deadlines
	}
	s.deadlinesOf = doc
	s.deadlines = map[model.Service]time.Duration{}
	for _, section := range doc.Teams {
		for _, service := range section.Services {
			for _, q := range service.Requests {
				known, ok := s.deadlines[service.Name]
				if q.Deadline > 0 && (!ok || q.Deadline < known) {
					s.deadlines[service.Name] = q.Deadline
				}
			}
		}
	}
	return s.deadlines
}

// measure records the growth of the logarithm of the latency in one window. A target
// without idle slots is hot at once, because its queue grows with each second.
func (h *heat) measure(m platform.ServiceSample, growth float64, limit latencyLimit) {
	if m.From.Before(h.actedAt) {
		return
	}
	if h.services == nil {
		h.services = map[model.Service]*serviceHeat{}
	}
	s := h.services[m.Service]
	if s == nil {
		s = &serviceHeat{}
		h.services[m.Service] = s
	}
	saturation := math.Log(max(m.Load, 0.01) / limit.busy)
	s.excess = max(growth-limit.growth, math.Log(m.P99.Seconds())-limit.absolute, saturation)
	switch {
	case saturation > 0:
		s.hot += hotWindows
		s.cool = 0
	case s.excess > 0:
		s.hot++
		s.cool = 0
	case growth < coolShare*limit.growth && m.Load < coolLoad:
		s.cool++
		s.hot = 0
	default:
		s.hot, s.cool = 0, 0
	}
}

// hottest returns the service that has been hot for long enough and exceeds its limit most.
func (h *heat) hottest() (model.Service, float64, bool) {
	var worst model.Service
	excess := 0.0
	for name, s := range h.services {
		if s.hot < hotWindows {
			continue
		}
		if s.excess > excess || (s.excess == excess && name < worst) {
			worst, excess = name, s.excess
		}
	}
	return worst, excess, worst != ""
}

// cooled reports whether a relief may be taken back: after the hold if all services are
// cool, and after a multiple of it if none is hot. Otherwise a latency that stays between
// both limits would hold the tasks back for ever.
func (h *heat) cooled(now time.Time) bool {
	hold := max(h.hold, minimumHold)
	held := now.Sub(h.actedAt)
	if held < hold {
		return false
	}
	for _, s := range h.services {
		if s.hot > 0 || (s.cool < coolWindows && held < lukewarmHolds*hold) {
			return false
		}
	}
	return true
}

// acted records a relief. Heat soon after a release means that the cause comes and goes, so the
// next relief lasts longer.
func (h *heat) acted(now time.Time) {
	switch {
	case h.releasedAt.IsZero() || now.Sub(h.releasedAt) > max(relapse, h.hold):
		h.hold = minimumHold
	case h.releasedAt.After(h.actedAt) || h.releasedAt.Equal(h.actedAt):
		h.hold = min(2*max(h.hold, minimumHold), maximumHold)
	}
	h.actedAt = now
	h.reset()
}

// released records that a relief was taken back.
func (h *heat) released(now time.Time) {
	h.actedAt = now
	h.releasedAt = now
	h.reset()
}

func (h *heat) reset() {
	for _, s := range h.services {
		s.hot, s.cool = 0, 0
	}
}

// goals are the weights of a deployment, scaled to a sum of 1.
type goals struct {
	tail, throughput, evictions float64
}

func goalsOf(w config.Weights) goals {
	sum := w.TailLatency + w.Throughput + w.Evictions
	if sum <= 0 {
		return goals{1.0 / 3, 1.0 / 3, 1.0 / 3}
	}
	return goals{w.TailLatency / sum, w.Throughput / sum, w.Evictions / sum}
}
