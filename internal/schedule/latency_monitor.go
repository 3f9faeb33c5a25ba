package schedule

import (
	"math"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

const (
	// minimumRequests is the number of requests in a window below which its p99 is ignored, by the
	// latency monitor and by the learned effects, see workerState.learnServices.
	minimumRequests = 20

	// The limits of a service depend on the weight of the tail latency among the objectives. The
	// strict value of each applies at weight 1, the loose one at weight 0. Between them the limit
	// is interpolated linearly.

	// strictLimit and looseLimit are the factors by which batch tasks may increase the latency of
	// a service.
	strictLimit = 1.4
	looseLimit  = 4.0
	// strictDeadline and looseDeadline are the shares of the shortest deadline that a p99 may
	// reach.
	strictDeadline = 0.2
	looseDeadline  = 1.2
	// strictBusy and looseBusy are the shares of a target's slots that may be busy.
	strictBusy = 0.7
	looseBusy  = 1.1
	// recoveryShare is the share of latencyLimit.growth below which a window counts as recovered.
	recoveryShare = 0.6
	// recoveryLoad is the share of busy slots below which a window counts as recovered.
	recoveryLoad = 0.7
	// violationWindows and recoveryWindows are the numbers of consecutive windows after which
	// tasks are throttled or evicted, and after which throttles are released.
	violationWindows = 2
	recoveryWindows  = 2
	// minimumThrottleTime and maximumThrottleTime bound how long throttles stay in force before
	// they are released.
	minimumThrottleTime = 30 * time.Second
	maximumThrottleTime = 4 * time.Minute
	// forcedReleaseFactor is the multiple of the throttle time after which throttles are released
	// although the latency is only within its limit and has not recovered.
	forcedReleaseFactor = 2
	// relapseWindow is the time after a release in which a new violation doubles the throttle
	// time.
	relapseWindow = 3 * time.Minute
)

// serviceLatency counts consecutive windows of one service on one worker by how its latency
// compares with the limit.
type serviceLatency struct {
	violations int
	recoveries int
	// excess is by how much the last window exceeded the limit, as a logarithm, negative if it was
	// within the limit.
	excess float64
}

// latencyMonitor decides when the batch tasks of a worker are throttled or evicted for the latency
// of its services, and when the throttles are released.
type latencyMonitor struct {
	services map[model.Service]*serviceLatency
	// actedAt is the time of the last mitigation or release. Windows that began before it do not
	// show its effect and are ignored.
	actedAt    time.Time
	releasedAt time.Time
	// throttleTime is how long the throttles stay in force at least before they are released.
	throttleTime time.Duration
}

// latencyLimit is the limit of a service's latency and load above which batch tasks are throttled
// or evicted.
type latencyLimit struct {
	// growth is the logarithm of the highest allowed ratio of the p99 to the base latency.
	growth float64
	// logLatency is the logarithm of the highest allowed p99 in seconds, infinite if the service
	// has no deadline.
	logLatency float64
	// busy is the highest allowed share of busy slots.
	busy float64
}

// latencyLimit returns the limit of a service for the weights in force.
func (r *round) latencyLimit(service model.Service) latencyLimit {
	limit := latencyLimit{
		growth:     math.Log(looseLimit + r.objectives.tail*(strictLimit-looseLimit)),
		logLatency: math.Inf(1),
		busy:       looseBusy + r.objectives.tail*(strictBusy-looseBusy),
	}
	if deadline, ok := r.scheduler.shortestDeadlines(r.snapshot.Document)[service]; ok {
		share := looseDeadline + r.objectives.tail*(strictDeadline-looseDeadline)
		limit.logLatency = math.Log(share * deadline.Seconds())
	}
	return limit
}

// shortestDeadlines returns the shortest deadline of each service. The result is cached per
// document.
func (s *Scheduler) shortestDeadlines(doc *config.Document) map[model.Service]time.Duration {
	if s.deadlinesDocument == doc {
		return s.deadlines
	}
	s.deadlinesDocument = doc
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

// recordWindow counts one window of a service as violation, recovery or neither. growth is the
// logarithm of the ratio of the window's p99 to the base latency, which the service has without
// batch tasks. A window in which the share of busy slots was above limit.busy counts as
// violationWindows violations: tasks are throttled or evicted after the first such window, because
// the queue of the target grows every second.
func (l *latencyMonitor) recordWindow(m platform.ServiceSample, growth float64, limit latencyLimit) {
	if m.From.Before(l.actedAt) {
		return
	}
	if l.services == nil {
		l.services = map[model.Service]*serviceLatency{}
	}
	s := l.services[m.Service]
	if s == nil {
		s = &serviceLatency{}
		l.services[m.Service] = s
	}
	saturation := math.Log(max(m.Load, 0.01) / limit.busy)
	s.excess = max(growth-limit.growth, math.Log(m.P99.Seconds())-limit.logLatency, saturation)
	switch {
	case saturation > 0:
		s.violations += violationWindows
		s.recoveries = 0
	case s.excess > 0:
		s.violations++
		s.recoveries = 0
	case growth < recoveryShare*limit.growth && m.Load < recoveryLoad:
		s.recoveries++
		s.violations = 0
	default:
		s.violations, s.recoveries = 0, 0
	}
}

// worstViolation returns the service that exceeds its limit most among those in violation for at
// least violationWindows, by how much as a logarithm, and whether there is one.
func (l *latencyMonitor) worstViolation() (model.Service, float64, bool) {
	var worst model.Service
	excess := 0.0
	for name, s := range l.services {
		if s.violations < violationWindows {
			continue
		}
		if s.excess > excess || (s.excess == excess && name < worst) {
			worst, excess = name, s.excess
		}
	}
	return worst, excess, worst != ""
}

// mayRelease reports whether throttles may be released. After the throttle time all services must
// have recovered. After forcedReleaseFactor times that time it is enough that none is in
// violation, because a latency between the two thresholds would otherwise keep the tasks throttled
// for ever.
func (l *latencyMonitor) mayRelease(now time.Time) bool {
	minimum := max(l.throttleTime, minimumThrottleTime)
	elapsed := now.Sub(l.actedAt)
	if elapsed < minimum {
		return false
	}
	for _, s := range l.services {
		if s.violations > 0 || (s.recoveries < recoveryWindows && elapsed < forcedReleaseFactor*minimum) {
			return false
		}
	}
	return true
}

// recordMitigation records that a task was throttled or evicted. A violation soon after a release
// means that the cause recurs, so the throttle time is doubled. Only the first mitigation after a
// release doubles it: further ones soon after the release belong to the same recurrence and keep
// it. A mitigation long after the last release sets it to the minimum.
func (l *latencyMonitor) recordMitigation(now time.Time) {
	switch {
	case l.releasedAt.IsZero() || now.Sub(l.releasedAt) > max(relapseWindow, l.throttleTime):
		l.throttleTime = minimumThrottleTime
	case l.releasedAt.After(l.actedAt) || l.releasedAt.Equal(l.actedAt):
		l.throttleTime = min(2*max(l.throttleTime, minimumThrottleTime), maximumThrottleTime)
	}
	l.actedAt = now
	l.reset()
}

// recordRelease records that throttles were released.
func (l *latencyMonitor) recordRelease(now time.Time) {
	l.actedAt = now
	l.releasedAt = now
	l.reset()
}

func (l *latencyMonitor) reset() {
	for _, s := range l.services {
		s.violations, s.recoveries = 0, 0
	}
}

// objectives are the weights of the configuration document, or those given to New if the document
// sets none, scaled to a sum of 1.
type objectives struct {
	tail, throughput, evictions float64
}

func newObjectives(w config.Weights) objectives {
	sum := w.TailLatency + w.Throughput + w.Evictions
	if sum <= 0 {
		return objectives{1.0 / 3, 1.0 / 3, 1.0 / 3}
	}
	return objectives{w.TailLatency / sum, w.Throughput / sum, w.Evictions / sum}
}
