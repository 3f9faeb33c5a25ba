// Package route sends callers' requests to targets. It respects deadlines, the slots of the
// targets and the class of each request, and reports with each failure whether the request may
// have been executed.
package route

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// MaxRequestBodyBytes bounds the body of a request, in bytes.
	MaxRequestBodyBytes = 1 << 20
	// MaxResponseBodyBytes bounds the body of a response, in bytes.
	MaxResponseBodyBytes = 8 << 20
	// MaxQueuedPerService bounds the requests of one service that wait for a slot.
	MaxQueuedPerService = 1024
	// MaxAttempts bounds the attempts to send one request.
	MaxAttempts = 3
	// MaxPendingRequests bounds the requests of all services that the instance holds, including
	// those that wait for a claim while the store does not answer.
	MaxPendingRequests = 4096
	// MaxPendingBytes bounds the bodies of these requests together, in bytes.
	MaxPendingBytes = 32 << 20
)

// Request is one request of a caller.
type Request struct {
	Key         model.RequestKey
	Service     model.Service
	Path        string
	Customer    model.Customer
	Class       model.RequestClass
	Deadline    time.Time
	ContentType string
	Body        []byte
}

// Response is the complete response of a target.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Target      model.TargetID
}

// Claims takes and settles the claims of request keys at the partition that owns them.
type Claims interface {
	// Claim makes the claim durable before it returns without an error. Each request has its
	// own holder. If another holder has claimed the key, Claim fails with ReasonDuplicate and
	// the verdict of the request of that holder.
	Claim(ctx context.Context, c ledger.ClaimRequest) (ledger.Claim, error)
	// Settle records the verdict of a claimed request. It is idempotent.
	Settle(ctx context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error
}

// Config holds the settings and dependencies of a Dispatcher.
type Config struct {
	Self     model.InstanceID
	Claims   Claims
	Clock    platform.Clock
	Recorder audit.Recorder
	Scope    tally.Scope
	Log      zerolog.Logger
	// Dial opens connections to targets; it defaults to a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Dispatcher sends requests to targets.
type Dispatcher struct {
	self     model.InstanceID
	claims   Claims
	clock    platform.Clock
	recorder audit.Recorder
	log      zerolog.Logger
	metrics  *requestMetrics
	sender   *sender
	settler  *settler

	mu        sync.Mutex
	document  *config.Document
	targets   []model.Target
	instances []model.InstanceID
	pools     map[model.Service]*pool
	draining  bool
	running   sync.WaitGroup
	// requests and bytes are the number of requests in progress and the sum of their bodies.
	requests, bytes int
}

// New returns a Dispatcher without targets.
func New(c Config) *Dispatcher {
	if c.Clock == nil {
		c.Clock = platform.SystemClock{}
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Recorder == nil {
		c.Recorder = discardRecorder{}
	}
	// The random part distinguishes two runs of an instance that have the same id.
	idPrefix := string(c.Self) + "/" + uuid.NewString()[:8] + "/"
	return &Dispatcher{
		self:     c.Self,
		claims:   c.Claims,
		clock:    c.Clock,
		recorder: c.Recorder,
		log:      c.Log,
		metrics:  newRequestMetrics(c.Scope),
		sender:   newSender(idPrefix, c.Clock, c.Dial),
		settler:  newSettler(c.Claims, idPrefix, c.Log),
		pools:    map[model.Service]*pool{},
	}
}

// SetTargets replaces the list of targets. A target that is leaving or absent receives no new
// requests; queued requests are sent to the other targets.
func (d *Dispatcher) SetTargets(targets []model.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = targets
	d.updatePools()
}

// SetDocument replaces the configuration. Targets in data centres out of service receive
// no new requests.
func (d *Dispatcher) SetDocument(doc *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.document = doc
	d.updatePools()
}

// SetInstances replaces the list of live instances, which must have the same order at all
// instances. The slots of every target are divided among them.
func (d *Dispatcher) SetInstances(instances []model.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = instances
	d.updatePools()
}

// Document returns the configuration in use, or nil.
func (d *Dispatcher) Document() *config.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.document
}

// updatePools passes the targets of each service to its pool, and creates missing pools.
func (d *Dispatcher) updatePools() {
	if d.document == nil {
		return
	}
	byService := map[model.Service][]targetShare{}
	for _, t := range d.targets {
		share := targetShare{target: t, slots: slotShare(t, d.self, d.instances), usable: d.usabilityOf(t)}
		byService[t.Service] = append(byService[t.Service], share)
	}
	for service := range byService {
		if d.pools[service] == nil {
			d.pools[service] = newPool(d.clock)
		}
	}
	for service, p := range d.pools {
		p.setTargets(byService[service])
	}
}

// usabilityOf returns whether new requests may be sent to the target.
func (d *Dispatcher) usabilityOf(t model.Target) usability {
	if t.Leaving {
		return unusableWithdrawn
	}
	service, found := d.document.FindService(t.Service)
	if !found {
		return unusableWithdrawn
	}
	if d.document.DataCentreOut(t.DataCentre) {
		return unusableDataCentreOut
	}
	if len(service.DataCentres) == 0 {
		return usable
	}
	for _, dc := range service.DataCentres {
		if dc == t.DataCentre {
			return usable
		}
	}
	return unusableWithdrawn
}

// Do sends the request and returns the complete response of a target, whatever its status.
// Errors are *verdict.Error.
func (d *Dispatcher) Do(ctx context.Context, r Request) (Response, error) {
	started := d.clock.Now()
	active := &activeRequest{dispatcher: d, request: r}
	active.record("request.received", auditDetail{})
	resp, err := d.admit(ctx, active)
	if err != nil {
		d.metrics.countFinished(r, err.Verdict, err.Reason, d.clock.Now().Sub(started))
		active.record("request.refused", auditDetail{reason: string(err.Reason) + ": " + err.Message, verdict: err.Verdict.String()})
		return Response{}, err
	}
	d.metrics.countFinished(r, verdict.Ran, "", d.clock.Now().Sub(started))
	active.record("request.answered", auditDetail{target: resp.Target, verdict: verdict.Ran.String()})
	return resp, nil
}

// admit registers the request and executes it according to its class.
func (d *Dispatcher) admit(ctx context.Context, active *activeRequest) (Response, *verdict.Error) {
	p, err := d.register(active.request)
	if err != nil {
		return Response{}, err
	}
	defer d.unregister(active.request)
	active.pool = p
	if active.request.Class == model.Idempotent {
		return active.execute(ctx)
	}
	return active.executeClaimed(ctx)
}

// register validates the request and counts it as running. It refuses the request if the instance
// is stopping, has no configuration, has no target of the service or holds too many requests.
func (d *Dispatcher) register(r Request) (*pool, *verdict.Error) {
	if err := d.validate(r); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonShutdown, "instance %s is stopping", d.self)
	}
	if d.document == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonConfigStale, "no configuration in force")
	}
	p := d.pools[r.Service]
	if p == nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "service %s has no target", r.Service)
	}
	if d.requests >= MaxPendingRequests || d.bytes+len(r.Body) > MaxPendingBytes {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonOverload, "the instance holds %d requests of %d bytes", d.requests, d.bytes)
	}
	d.requests++
	d.bytes += len(r.Body)
	d.running.Add(1)
	return p, nil
}

// unregister removes the request from the counts of register.
func (d *Dispatcher) unregister(r Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests--
	d.bytes -= len(r.Body)
	d.running.Done()
}

// validate refuses malformed requests and those whose deadline has passed.
func (d *Dispatcher) validate(r Request) *verdict.Error {
	switch r.Class {
	case model.Idempotent, model.Exclusive, model.AtMostOnce:
	default:
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "unknown class %q", r.Class)
	}
	if r.Key == "" && r.Class != model.Idempotent {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "class %s needs a key", r.Class)
	}
	if len(r.Body) > MaxRequestBodyBytes {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the body has %d bytes, at most %d are allowed", len(r.Body), MaxRequestBodyBytes)
	}
	if !d.clock.Now().Before(r.Deadline) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "deadline has passed")
	}
	return nil
}

// Drain refuses new requests and waits until those in flight are answered and their claims
// are settled, or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.running.Wait()
		d.settler.wait()
		close(done)
	}()
	select {
	case <-done:
		d.sender.closeIdle()
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
