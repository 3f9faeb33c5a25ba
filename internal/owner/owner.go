// Package owner elects one instance at a time as the owner, which decides where tasks run. An
// instance becomes the owner by a transaction in the store that raises the epoch. Its requests to
// workers carry the epoch, so that workers reject requests of former owners.
//
// Each instance has one Owner, which takes part in the elections. A Claim is the entry in the store
// that names the present owner; it is bound to a lease, so that it expires if the owner ends. A
// heldClaim is a claim that this instance has acquired itself, with that lease. While it holds a
// claim, a leader makes the decisions in its event loop; it ends with the claim.
package owner

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/bootclock"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// Claim is the store's entry of the instance that owns the jobs.
type Claim struct {
	Epoch    int64  `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	// Address is where the owner accepts calls of other instances.
	Address string `cbor:"3,keyasint"`
	// Speed is the processor time that the owner's machine provides, in cores; 0 if unknown.
	Speed float64 `cbor:"4,keyasint,omitempty"`
	// YieldToSpeed is the speed of the machine that the owner is handing over to; 0 if it is not
	// handing over.
	YieldToSpeed float64 `cbor:"5,keyasint,omitempty"`
	// Incarnation distinguishes the successive processes of an instance.
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
	// Former is the process that led in the epoch before; nil if it is not known.
	Former *Process `cbor:"7,keyasint,omitempty"`
	// Earlier are the owners before Former whose leases may last, as far as they are known, the latest first.
	Earlier []FormerOwner `cbor:"8,keyasint,omitempty"`
}

// Recipient is the worker that a request is for.
type Recipient struct {
	Worker  batch.WorkerID
	Address string
	// Incarnation is the only one that the request is for; 0 if any may carry it out. Times on the worker's clock and
	// sequence numbers of ends mean nothing to another one.
	Incarnation int64
	// FencingToken is refused by a worker that has seen a higher one.
	FencingToken int64
}

// StartRequest asks a worker to start a task.
type StartRequest struct {
	Recipient
	Task     batch.TaskID
	Run      int64
	Payload  string
	NotAfter int64 // latest time of the start on the worker's clock, in milliseconds
	// Checkpoint is where the task resumes; empty starts it from its beginning.
	Checkpoint string
	// Ticket is the adviser's permission for the start; empty if the queue has no policy.
	Ticket string
}

// TaskRequest asks a worker to stop or throttle a task.
type TaskRequest struct {
	Recipient
	Task    batch.TaskID
	Run     int64
	Percent int
}

// RenewRequest renews the lease of all tasks of a worker and asks for its report.
type RenewRequest struct {
	Recipient
	// LeaseEnd is the end of the lease on the worker's clock, in milliseconds; 0 asks for the
	// report without renewing the lease.
	LeaseEnd int64
	// AckSeq acknowledges all ended attempts up to this sequence number.
	AckSeq int64
	// MaxWait is how long the worker may wait for an attempt to end before it responds.
	MaxWait time.Duration
}

// WorkerClient sends requests to workers.
type WorkerClient interface {
	Start(ctx context.Context, r StartRequest) batch.Answer
	Stop(ctx context.Context, r TaskRequest) batch.Answer
	Throttle(ctx context.Context, r TaskRequest) batch.Answer
	// RenewLease returns the worker's report; it is valid only with AnswerOK. AnswerNone says that the worker may be there:
	// no answer came, or the connection broke.
	RenewLease(ctx context.Context, r RenewRequest) (batch.Report, batch.Answer)
}

// Adviser decides which workers a policy allows to run a step.
type Adviser interface {
	// Advise returns tickets for those of the workers that may run the step, and how long the
	// tickets are valid, counted from the call. An error means that the adviser gave no answer.
	Advise(ctx context.Context, step batch.TaskID, workers []batch.WorkerID) ([]batch.WorkerTicket, time.Duration, error)
}

// Registry decodes the entries of workers in the store.
type Registry interface {
	// Prefix returns the key prefix of all entries.
	Prefix() string
	// Decode returns an error if the entry does not describe a usable worker.
	Decode(key string, value []byte) (batch.WorkerInfo, error)
	// ID returns the id of the worker that the key belongs to.
	ID(key string) batch.WorkerID
}

// Options configure an owner.
type Options struct {
	Instance string
	Address  string
	// LeaseTTL is how long the store keeps the claim without a renewal.
	LeaseTTL time.Duration
	// MaxWorkerLease is the lease that each renewal requests of a worker.
	MaxWorkerLease time.Duration
	// LongestWorkerLease is the longest lease that workers grant, if that is more: a worker that has started again may grant it
	// to a request that was meant for its former incarnation.
	LongestWorkerLease time.Duration
	// JobRetention is how long an ended job is kept, in memory and in the store; at least minJobRetention.
	JobRetention time.Duration
	// MaxValueBytes is the largest value that the store takes; 0 for kv.MaxValueBytes.
	MaxValueBytes int
	// Speed is the processor time that this machine provides, in cores; 0 if unknown.
	Speed float64
	// Adviser is asked about steps of queues with a policy; if it is nil, no such step is allowed
	// to start.
	Adviser Adviser
	// AskToYield asks the owner of a claim to hand over to this faster machine; if it is nil, no
	// owner is asked.
	AskToYield func(ctx context.Context, c Claim) error
	// ReportEnd tells the owner of a claim that a former owner has ended; if it is nil, no owner is told.
	ReportEnd func(ctx context.Context, c Claim, end LeadershipEnd) error
	// BootClock returns the time since the machine was booted, including the time for which it was
	// suspended; if it is nil, the system's clock is read.
	BootClock func() time.Duration
	// ProcessorLag waits for about admission.SampleInterval and returns by how much later than that this process ran; if it is
	// nil, a timer tells.
	ProcessorLag func(ctx context.Context) time.Duration
	// OpenConnections returns the number of open connections of this process; if it is nil, they are not reported.
	OpenConnections func() int
	// RefreshConfig reads the configuration from the store and puts it in force if it is newer. It is called when a job was accepted
	// under a newer configuration than the one in force; if it is nil, such jobs wait.
	RefreshConfig func(ctx context.Context) error
	// Scope receives the metrics.
	Scope tally.Scope
}

// Owner campaigns for the claim and leads while it holds it.
type Owner struct {
	opts     Options
	limits   atomic.Pointer[Limits]
	store    kv.Store
	workers  WorkerClient
	registry Registry
	log      zerolog.Logger
	config   func() batch.Config

	// leading is the leader while this instance leads, or nil.
	leading atomic.Pointer[leader]
	// claim is the newest claim that this instance has seen; nil if there is none.
	claim atomic.Pointer[Claim]
	// heldRev is the revision at which this instance last acquired the claim. Its watch may tell later of what
	// happened to the claim before.
	heldRev atomic.Int64
	// claimsSeen are the claims of the newest epochs that this instance has seen, the oldest first.
	claimsSeen seenClaims
	// ended holds when each leadership of this process ended, by epoch.
	ended sync.Map
	// toldEnds are the ends of other owners that this instance was told of while it led.
	toldEnds toldEnds
	// claimVacant signals that nobody holds the claim.
	claimVacant chan struct{}
	// resign stops further campaigns.
	resign atomic.Bool
	// maxSpeed is the highest speed of any owner seen so far, as the bits of a float64.
	maxSpeed atomic.Uint64
	// lastYield is when this instance last handed over to a faster machine; nil if it never has.
	lastYield atomic.Pointer[time.Time]
	// incarnation is a random number that identifies this process.
	incarnation uint64
	// started is when this process was started at the latest.
	started time.Time
}

// New returns an owner that takes no part in campaigns until Run is called.
func New(opts Options, store kv.Store, workers WorkerClient, registry Registry, config func() batch.Config, log zerolog.Logger) *Owner {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.BootClock == nil {
		opts.BootClock = bootclock.Now
	}
	if opts.OpenConnections == nil {
		opts.OpenConnections = func() int { return 0 }
	}
	if opts.ProcessorLag == nil {
		opts.ProcessorLag = timerLag
	}
	o := &Owner{
		opts:        opts,
		store:       store,
		workers:     workers,
		registry:    registry,
		config:      config,
		log:         log,
		claimVacant: make(chan struct{}, 1),
		incarnation: rand.Uint64(),
		started:     time.Now(),
	}
	o.SetLimits(Limits{JobRetention: opts.JobRetention, MaxValueBytes: opts.MaxValueBytes})
	return o
}

// Limits are the options of an owner that may change while it runs; see Options.
type Limits struct {
	JobRetention  time.Duration
	MaxValueBytes int
}

// SetLimits changes limits from now on.
func (o *Owner) SetLimits(limits Limits) {
	limits.JobRetention = max(limits.JobRetention, minJobRetention)
	limits.MaxValueBytes = cmp.Or(limits.MaxValueBytes, kv.MaxValueBytes)
	o.limits.Store(&limits)
}

const (
	// storeRetryDelay is the pause after a failed call to the store.
	storeRetryDelay = 200 * time.Millisecond
	// configPollInterval is the pause before a campaign checks again for a configuration.
	configPollInterval = 20 * time.Millisecond
	// maxCampaignJitter bounds the random delay of a campaign, which keeps instances from
	// campaigning all at once.
	maxCampaignJitter = 60 * time.Millisecond
)

// Claim returns the current claim as far as this instance knows; nil if nobody owns the jobs.
func (o *Owner) Claim() *Claim { return o.claim.Load() }

// Run campaigns whenever nobody owns the jobs, and leads after each campaign that it wins, until
// ctx ends.
func (o *Owner) Run(ctx context.Context) {
	go o.watchClaim(ctx)
	for ctx.Err() == nil {
		select {
		case <-o.claimVacant:
		case <-ctx.Done():
			return
		}
		for o.claim.Load() == nil && ctx.Err() == nil && !o.resign.Load() {
			o.campaign(ctx)
		}
	}
}

// watchClaim watches the claim in the store and applies each change.
func (o *Owner) watchClaim(ctx context.Context) {
	w := &kv.Watcher{
		Store: o.store, Prefix: claimKey, RetryDelay: storeRetryDelay,
		OnReset: func(items []kv.Item, rev int64) {
			if len(items) == 0 && rev >= o.heldRev.Load() {
				o.setClaim(nil)
			}
			for _, i := range items {
				o.applyClaimEvent(kv.Event{Item: i})
			}
		},
		OnChange: func(events []kv.Event, _ int64) {
			for _, e := range events {
				o.applyClaimEvent(e)
			}
		},
	}
	w.Run(ctx, 0)
}

func (o *Owner) applyClaimEvent(e kv.Event) {
	if e.Key != claimKey || e.Rev < o.heldRev.Load() {
		return
	}
	if e.Deleted {
		o.setClaim(nil)
		return
	}
	c, err := decodeClaim(e.Value)
	if err != nil {
		o.log.Error().Str("event", "claim.unreadable").Err(err).Send()
		return
	}
	o.setClaim(&c)
}

// setClaim stores the current claim. If this instance leads and the claim is gone or has a higher
// epoch, its leadership ends.
func (o *Owner) setClaim(c *Claim) {
	old := o.claim.Swap(c)
	if c != nil {
		o.noteClaim(*c)
		o.compareSpeed(*c)
		o.revokeFormerClaim(*c)
	}
	if l := o.leading.Load(); l != nil && (c == nil || c.Epoch != l.epoch) {
		if c == nil || c.Epoch > l.epoch {
			l.stepDown("claim lost")
		}
	}
	if c == nil || old == nil || c.Epoch != old.Epoch {
		e := o.log.Info().Str("event", "owner.changed")
		if c != nil {
			e = e.Int64("epoch", c.Epoch).Str("owner", c.Instance)
		}
		e.Send()
	}
	if c == nil {
		select {
		case o.claimVacant <- struct{}{}:
		default:
		}
	}
}

// noteClaim remembers a claim. The first time that it is seen, its owner is told which former owners have ended, as far
// as this instance knows.
func (o *Owner) noteClaim(c Claim) {
	if !o.claimsSeen.add(c.Epoch, time.Now()) {
		return
	}
	go o.reportEnds(c)
}

// campaign tries once to become the owner, and leads if it succeeds.
func (o *Owner) campaign(ctx context.Context) {
	pause.For(ctx, rand.N(maxCampaignJitter)+o.extraCampaignDelay(time.Now()))
	if o.claim.Load() != nil || o.resign.Load() {
		return
	}
	if o.config().Version == 0 {
		// Queues are defined by the configuration, so jobs cannot be validated or placed without it.
		pause.For(ctx, configPollInterval)
		return
	}
	held, err := o.acquireClaim(ctx)
	if err != nil {
		if !errors.Is(err, kv.ErrConflict) {
			o.log.Warn().Str("event", "campaign.failed").Err(err).Send()
		}
		pause.For(ctx, storeRetryDelay)
		return
	}
	if c := o.claim.Load(); c != nil && c.Epoch > held.claim.Epoch { // the answer came after another owner's claim
		o.ended.Store(held.claim.Epoch, time.Now())
		go o.revokeLease(held.lease)
		return
	}
	o.lead(ctx, held)
}

// process identifies this process.
func (o *Owner) process() *Process {
	return &Process{Instance: o.opts.Instance, Address: o.opts.Address, Incarnation: o.incarnation}
}

func (o *Owner) readHead(ctx context.Context) (commitHead, int64, error) {
	item, err := o.store.Get(ctx, headKey)
	if errors.Is(err, kv.ErrNotFound) {
		return commitHead{}, 0, nil
	}
	if err != nil {
		return commitHead{}, 0, err
	}
	h, err := decodeHead(item.Value)
	return h, item.Rev, err
}

func (o *Owner) revokeLease(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), campaignTimeout)
	defer cancel()
	if err := o.store.Revoke(ctx, lease); err != nil {
		o.log.Warn().Str("event", "lease.revoke-failed").Err(err).Send()
	}
}

// lead runs the leader until the claim is lost or ctx ends, and then gives the claim up.
func (o *Owner) lead(ctx context.Context, held heldClaim) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l := newLeader(o, held, cancel)
	o.heldRev.Store(held.commitRev)
	o.claim.Store(&held.claim)
	o.leading.Store(l)
	o.noteClaim(held.claim)
	o.log.Info().Str("event", "leader.start").Int64("epoch", held.claim.Epoch).Send()
	l.run(ctx)
	o.ended.Store(l.epoch, time.Now())
	o.leading.CompareAndSwap(l, nil)
	o.log.Info().Str("event", "leader.end").Int64("epoch", held.claim.Epoch).AnErr("cause", context.Cause(ctx)).Send()
	o.revokeLease(held.lease)
	if c := o.claim.Load(); c != nil && c.Epoch == held.claim.Epoch {
		o.claim.Store(nil)
	}
}

// Resign ends the leadership of this instance and all its further campaigns, so that another
// instance takes over.
func (o *Owner) Resign() {
	o.resign.Store(true)
	if l := o.leading.Load(); l != nil {
		l.stepDown("planned stop")
	}
}
