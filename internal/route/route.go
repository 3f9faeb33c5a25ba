// Package route sends callers' requests to targets. It respects deadlines, the slots of the
// targets and the class of each request, and says of each failure whether the request may
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
	// MaxResponseBodyBytes bounds the body of an answer, in bytes.
	MaxResponseBodyBytes = 8 << 20
	// MaxQueuedPerService bounds the requests of one service that wait for a slot.
	MaxQueuedPerService = 1024
	// MaxAttempts bounds the sends of one request.
	MaxAttempts = 3
	// MaxPendingRequests bounds the requests of all services in the instance, among them those that
	// wait for a claim while the store does not answer.
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

// Response is the whole answer of a target.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Target      model.TargetID
}

// Claims takes and settles the claims of request keys at the partition that owns them.
type Claims interface {
	// Claim makes the claim durable before it returns without an error. The holder is
	// different for each request, so a claim by another holder is that of another request:
	// it is refused with ReasonDuplicate and the verdict of that request.
	Claim(ctx context.Context, c ledger.ClaimRequest) (ledger.Claim, error)
	// Settle notes how a claimed request ended. It is idempotent.
	Settle(ctx context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error
}

// Config is what a Dispatcher needs.
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
	self    model.InstanceID
	claims  Claims
	clock   platform.Clock
	trail   audit.Recorder
	log     zerolog.Logger
	meters  *meters
	sender  *sender
	settler *settler

	mu        sync.Mutex
	document  *config.Document
	targets   []model.Target
	instances []model.InstanceID
	pools     map[model.Service]*pool
	draining  bool
	running   sync.WaitGroup
	// requests and bytes count the requests in the instance and their bodies.
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
		c.Recorder = discard{}
	}
	// The random part keeps two lives of an instance apart if both were given the same id.
	prefix := string(c.Self) + "/" + uuid.NewString()[:8] + "/"
	return &Dispatcher{
		self:    c.Self,
		claims:  c.Claims,
		clock:   c.Clock,
		trail:   c.Recorder,
		log:     c.Log,
		meters:  newMeters(c.Scope),
		sender:  newSender(prefix, c.Clock, c.Dial),
		settler: newSettler(c.Claims, prefix, c.Log),
		pools:   map[model.Service]*pool{},
	}
}

// SetTargets replaces the list of targets. A target that is leaving or absent receives no
// request that has not been sent yet; requests that wait go to the others.
func (d *Dispatcher) SetTargets(targets []model.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targets = targets
	d.rebuild()
}

// SetDocument replaces the configuration. Targets in data centres out of service receive
// nothing new.
func (d *Dispatcher) SetDocument(doc *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.document = doc
	d.rebuild()
}

// SetInstances replaces the list of live instances, in the same order at each of them. The
// slots of every target are divided among them.
func (d *Dispatcher) SetInstances(instances []model.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = instances
	d.rebuild()
}

// Document returns the configuration in use, or nil.
func (d *Dispatcher) Document() *config.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.document
}

// rebuild hands each service's pool its targets.
func (d *Dispatcher) rebuild() {
	if d.document == nil {
		return
	}
	byService := map[model.Service][]targetShare{}
	for _, t := range d.targets {
		share := targetShare{target: t, slots: slotShare(t, d.self, d.instances), usable: d.usable(t)}
		byService[t.Service] = append(byService[t.Service], share)
	}
	for service := range byService {
		if d.pools[service] == nil {
			d.pools[service] = newPool(d.clock)
		}
	}
	for service, p := range d.pools {
		p.set(byService[service])
	}
}

// usable says whether new requests may go to the target.
func (d *Dispatcher) usable(t model.Target) usability {
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

// Do sends the request and returns the whole answer of a target, whatever its status.
// Errors are *verdict.Error.
func (d *Dispatcher) Do(ctx context.Context, r Request) (Response, error) {
	started := d.clock.Now()
	f := &flight{d: d, r: r}
	f.record("request.received", entryDetail{})
	resp, err := d.admit(ctx, f)
	if err != nil {
		d.meters.finished(r, err.Verdict, err.Reason, d.clock.Now().Sub(started))
		f.record("request.refused", entryDetail{reason: string(err.Reason) + ": " + err.Message, verdict: err.Verdict.String()})
		return Response{}, err
	}
	d.meters.finished(r, verdict.Ran, "", d.clock.Now().Sub(started))
	f.record("request.answered", entryDetail{target: resp.Target, verdict: verdict.Ran.String()})
	return resp, nil
}

// admit refuses what cannot be executed and executes the rest.
func (d *Dispatcher) admit(ctx context.Context, f *flight) (Response, *verdict.Error) {
	p, err := d.enter(f.r)
	if err != nil {
		return Response{}, err
	}
	defer d.leave(f.r)
	f.pool = p
	if f.r.Class == model.Idempotent {
		return f.execute(ctx)
	}
	return f.executeClaimed(ctx)
}

// enter checks the request and counts it as running, unless the instance is stopping.
func (d *Dispatcher) enter(r Request) (*pool, *verdict.Error) {
	if err := d.check(r); err != nil {
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

// leave takes back what enter counted.
func (d *Dispatcher) leave(r Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests--
	d.bytes -= len(r.Body)
	d.running.Done()
}

// check refuses malformed and late requests.
func (d *Dispatcher) check(r Request) *verdict.Error {
	switch r.Class {
	case model.Idempotent, model.Exclusive, model.AtMostOnce:
	default:
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "unknown class %q", r.Class)
	}
	if r.Key == "" && r.Class != model.Idempotent {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "class %s needs a key", r.Class)
	}
	if len(r.Body) > MaxRequestBodyBytes {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "body of %d bytes, at most %d", len(r.Body), MaxRequestBodyBytes)
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
