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

// latencyBuckets reach from 0.5 ms to about 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// meters holds the metrics, looked up once for each combination of tags.
type meters struct {
	scope tally.Scope

	mu       sync.Mutex
	services map[serviceTags]*serviceMeters
}

// serviceTags are the tags that have few values.
type serviceTags struct {
	service model.Service
	class   model.RequestClass
}

// outcomeTags tell the outcomes of requests apart.
type outcomeTags struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}

// serviceMeters are the metrics of one service and class.
type serviceMeters struct {
	scope    tally.Scope
	latency  tally.Histogram
	retries  tally.Counter
	outcomes map[outcomeTags]tally.Counter
}

func newMeters(scope tally.Scope) *meters {
	return &meters{scope: scope.SubScope("route"), services: map[serviceTags]*serviceMeters{}}
}

// finished counts a request and its latency.
func (m *meters) finished(r Request, v verdict.Verdict, reason verdict.Reason, took time.Duration) {
	m.mu.Lock()
	s := m.service(r)
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

// retried counts one retry.
func (m *meters) retried(r Request) {
	m.mu.Lock()
	s := m.service(r)
	m.mu.Unlock()
	s.retries.Inc(1)
}

// service returns the metrics of the request's service and class; m.mu is held.
func (m *meters) service(r Request) *serviceMeters {
	tags := serviceTags{service: r.Service, class: r.Class}
	s := m.services[tags]
	if s == nil {
		scope := m.scope.Tagged(map[string]string{"service": string(r.Service), "class": string(r.Class)})
		s = &serviceMeters{
			scope:    scope,
			latency:  scope.Histogram("latency", latencyBuckets),
			retries:  scope.Counter("retries"),
			outcomes: map[outcomeTags]tally.Counter{},
		}
		m.services[tags] = s
	}
	return s
}

// entryDetail is the part of an audit entry that differs between events.
type entryDetail struct {
	target  model.TargetID
	worker  model.WorkerID
	attempt uint32
	reason  string
	verdict string
}

// record adds an event to the trail of the request.
func (f *flight) record(event string, e entryDetail) {
	if e.target != "" {
		e.reason = strings.TrimSuffix("target "+string(e.target)+": "+e.reason, ": ")
	}
	f.d.trail.Record(audit.Entry{
		At:       f.d.clock.Now(),
		Instance: f.d.self,
		Subject:  string(f.r.Key),
		Event:    event,
		Actor:    string(f.r.Customer),
		Reason:   e.reason,
		Verdict:  e.verdict,
		Worker:   e.worker,
		Attempt:  e.attempt,
	})
}

// discard is the recorder of a Dispatcher without one.
type discard struct{}

// Record implements audit.Recorder.
func (discard) Record(audit.Entry) {}
