package route

import (
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// latencyBuckets range from 0.5 ms to about 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// requestMetrics caches the metrics for each combination of tags.
type requestMetrics struct {
	scope tally.Scope

	mu       sync.Mutex
	services map[serviceTags]*serviceMetrics
}

// serviceTags are the tags of all metrics. They have few values.
type serviceTags struct {
	service model.Service
	class   model.RequestClass
}

// outcomeTags are the additional tags of the request counter.
type outcomeTags struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}

// serviceMetrics are the metrics of one service and class.
type serviceMetrics struct {
	scope    tally.Scope
	latency  tally.Histogram
	retries  tally.Counter
	outcomes map[outcomeTags]tally.Counter
}

func newRequestMetrics(scope tally.Scope) *requestMetrics {
	return &requestMetrics{scope: scope.SubScope("route"), services: map[serviceTags]*serviceMetrics{}}
}

// countFinished counts a request and records its latency.
func (m *requestMetrics) countFinished(r Request, v verdict.Verdict, reason verdict.Reason, took time.Duration) {
	m.mu.Lock()
	s := m.forService(r)
	tags := outcomeTags{verdict: v, reason: reason}
	c := s.outcomes[tags]
	if c == nil {
		c = s.scope.Tagged(map[string]string{"verdict": v.String(), "reason": string(reason)}).Counter("requests")
		s.outcomes[tags] = c
	}
	m.mu.Unlock()
	c.Inc(1)
	s.latency.RecordDuration(took)
}

// countRetry counts one retry.
func (m *requestMetrics) countRetry(r Request) {
	m.mu.Lock()
	s := m.forService(r)
	m.mu.Unlock()
	s.retries.Inc(1)
}

// forService returns the metrics of the request's service and class; m.mu is held.
func (m *requestMetrics) forService(r Request) *serviceMetrics {
	tags := serviceTags{service: r.Service, class: r.Class}
	s := m.services[tags]
	if s == nil {
		scope := m.scope.Tagged(map[string]string{"service": string(r.Service), "class": string(r.Class)})
		s = &serviceMetrics{
			scope:    scope,
			latency:  scope.Histogram("latency", latencyBuckets),
			retries:  scope.Counter("retries"),
			outcomes: map[outcomeTags]tally.Counter{},
		}
		m.services[tags] = s
	}
	return s
}

// auditDetail is the part of an audit entry that differs between events.
type auditDetail struct {
	target  model.TargetID
	worker  model.WorkerID
	attempt uint32
	reason  string
	verdict string
}

// record adds an event of the request to the audit trail.
func (a *activeRequest) record(event string, e auditDetail) {
	if e.target != "" {
		e.reason = strings.TrimSuffix("target "+string(e.target)+": "+e.reason, ": ")
	}
	a.dispatcher.recorder.Record(audit.Entry{
		At:       a.dispatcher.clock.Now(),
		Instance: a.dispatcher.self,
		Subject:  string(a.request.Key),
		Event:    event,
		Actor:    string(a.request.Customer),
		Reason:   e.reason,
		Verdict:  e.verdict,
		Worker:   e.worker,
		Attempt:  e.attempt,
	})
}

// discardRecorder is the default recorder of a Dispatcher; it discards all entries.
type discardRecorder struct{}

// Record implements audit.Recorder.
func (discardRecorder) Record(audit.Entry) {}
