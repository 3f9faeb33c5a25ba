// Package owner runs the one instance at a time that decides where tasks run. An instance
// becomes the owner by a transaction in the store that raises the epoch; its orders carry
// the epoch, so that workers refuse those of all former owners.
package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// Claim is who owns the jobs.
type Claim struct {
	Epoch    int64  `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	// Address is where the owner serves other instances.
	Address string `cbor:"3,keyasint"`
	// Speed is how much processor time the owner's machine gives, in cores.
	Speed float64 `cbor:"4,keyasint,omitempty"`
	// YieldToSpeed is the speed of a machine that the owner is handing over to; 0 while it stays.
	YieldToSpeed float64 `cbor:"5,keyasint,omitempty"`
	// Incarnation tells the processes of an instance apart.
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
}

// StartRequest asks a worker to start a task.
type StartRequest struct {
	Worker   batch.WorkerID
	Address  string
	Epoch    int64
	Task     batch.TaskID
	Run      int64
	Payload  string
	NotAfter int64 // worker's clock, milliseconds
	// Checkpoint is what the task resumes from; empty is its beginning.
	Checkpoint string
	// Ticket allows the start where a policy asks for one.
	Ticket string
}

// TaskRequest asks a worker to stop or throttle a task.
type TaskRequest struct {
	Worker  batch.WorkerID
	Address string
	Epoch   int64
	Task    batch.TaskID
	Run     int64
	Percent int
}

// RenewRequest renews the lease of all tasks of a worker and asks for its list.
type RenewRequest struct {
	Worker  batch.WorkerID
	Address string
	Epoch   int64
	// LeaseEnd is the end of the lease on the worker's clock, in milliseconds; 0 renews nothing.
	LeaseEnd int64
	// AckSeq acknowledges all ends up to this number.
	AckSeq int64
	// MaxWait is how long the worker may wait for an end before it answers.
	MaxWait time.Duration
}

// Reply is the answer to an order.
type Reply struct {
	Answer batch.Answer
	Clock  int64 // worker's clock, milliseconds; 0 if the answer has none
}

// WorkerClient carries out orders.
type WorkerClient interface {
	Start(ctx context.Context, o StartRequest) Reply
	Stop(ctx context.Context, o TaskRequest) Reply
	Throttle(ctx context.Context, o TaskRequest) Reply
	// RenewLease returns the worker's list if the answer is AnswerOK.
	RenewLease(ctx context.Context, o RenewRequest) (batch.Report, batch.Answer)
}

// Adviser tells which workers a policy allows to run a step.
type Adviser interface {
	// Advise returns tickets for those of the workers that may run the step, and how long
	// they are valid from the call. An error says that there was no answer.
	Advise(ctx context.Context, step batch.TaskID, workers []batch.WorkerID) ([]batch.WorkerTicket, time.Duration, error)
}

// Registry decodes the store's entries of workers.
type Registry interface {
	// Prefix is the prefix of all entries.
	Prefix() string
	// Decode returns an error for an entry that names no usable worker.
	Decode(key string, value []byte) (batch.WorkerInfo, error)
	// ID returns the worker that a key names.
	ID(key string) batch.WorkerID
}

// Options are the times of an owner.
type Options struct {
	Instance string
	Address  string
	// LeaseTTL is how long the store keeps the claim without a renewal.
	LeaseTTL time.Duration
	// MaxWorkerLease is the longest lease that workers grant.
	MaxWorkerLease time.Duration
	// JobRetention is how long an ended job stays known.
	JobRetention time.Duration
	// Speed is how much processor time this machine gives, in cores; 0 is not known.
	Speed float64
	// Adviser is asked about steps of queues with a policy; nil answers nothing.
	Adviser Adviser
	// AskToYield asks the owner of a claim to hand over to a faster machine; nil asks nobody.
	AskToYield func(ctx context.Context, c Claim) error
	// Scope receives the metrics.
	Scope tally.Scope
}

// Owner campaigns for the claim and leads while it holds it.
type Owner struct {
	opts     Options
	store    kv.Store
	workers  WorkerClient
	registry Registry
	log      zerolog.Logger
	config   func() batch.Config

	leading atomic.Pointer[leader]
	claim   atomic.Pointer[Claim]
	changed chan struct{}
	resign  atomic.Bool
	// fastest is the highest speed, in bits of a float64, of any owner that was seen.
	fastest atomic.Uint64
	// yielded is when this instance last handed over to a faster machine, in Unix nanoseconds.
	yielded atomic.Int64
	// life is drawn by each process anew.
	life uint64
}

// New returns an owner that does nothing until Run.
func New(opts Options, store kv.Store, workers WorkerClient, registry Registry, config func() batch.Config, log zerolog.Logger) *Owner {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Owner{
		opts:     opts,
		store:    store,
		workers:  workers,
		registry: registry,
		config:   config,
		log:      log,
		changed:  make(chan struct{}, 1),
		life:     rand.Uint64(),
	}
}

const (
	// claimWait bounds a watch of the claim.
	claimWait = 2 * time.Second
	// storeRetry is the pause after a failed call to the store.
	storeRetry = 200 * time.Millisecond
	// configPause is the pause of a campaign until the configuration is known.
	configPause = 20 * time.Millisecond
	// maxCampaignDelay spreads the campaigns of the instances.
	maxCampaignDelay = 60 * time.Millisecond
)

// Claim returns who owns the jobs as far as this instance knows; nil is nobody.
func (o *Owner) Claim() *Claim { return o.claim.Load() }

// Run campaigns whenever nobody owns the jobs, and leads after a campaign was won, until
// ctx ends.
func (o *Owner) Run(ctx context.Context) {
	go o.followClaim(ctx)
	for ctx.Err() == nil {
		select {
		case <-o.changed:
		case <-ctx.Done():
			return
		}
		for o.claim.Load() == nil && ctx.Err() == nil && !o.resign.Load() {
			o.campaign(ctx)
		}
	}
}

// followClaim keeps the current claim known.
func (o *Owner) followClaim(ctx context.Context) {
	f := &kv.Watcher{
		Store: o.store, Prefix: claimKey, WatchTimeout: claimWait, RetryDelay: storeRetry,
		OnReset: func(items []kv.Item, _ int64) {
			if len(items) == 0 {
				o.setClaim(nil)
			}
			for _, i := range items {
				o.observeClaim(kv.Event{Item: i})
			}
		},
		OnChange: func(events []kv.Event, _ int64) {
			for _, e := range events {
				o.observeClaim(e)
			}
		},
	}
	f.Run(ctx, 0)
}

func (o *Owner) observeClaim(e kv.Event) {
	if e.Key != claimKey {
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

// setClaim takes in the current claim. A leader whose claim is gone or another's ends.
func (o *Owner) setClaim(c *Claim) {
	old := o.claim.Swap(c)
	if c != nil {
		o.compareSpeed(*c)
		o.notice(*c)
	}
	if l := o.leading.Load(); l != nil && (c == nil || c.Epoch != l.epoch) {
		if c == nil || c.Epoch > l.epoch {
			l.end("claim lost")
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
		case o.changed <- struct{}{}:
		default:
		}
	}
}

// campaign tries to become the owner once, and leads if it did.
func (o *Owner) campaign(ctx context.Context) {
	pause.For(ctx, rand.N(maxCampaignDelay)+o.handicap(time.Now()))
	if o.claim.Load() != nil || o.resign.Load() {
		return
	}
	if o.config().Version == 0 {
		// Without a configuration nothing is known of queues, and no job may be judged.
		pause.For(ctx, configPause)
		return
	}
	won, err := o.win(ctx)
	if err != nil {
		if !errors.Is(err, kv.ErrConflict) {
			o.log.Warn().Str("event", "campaign.failed").Err(err).Send()
		}
		pause.For(ctx, storeRetry)
		return
	}
	o.lead(ctx, won)
}

// victory is a campaign that was won.
type victory struct {
	claim Claim
	lease int64
	// commitRev is the revision of the claim and of the head.
	commitRev int64
}

// win writes the claim with the next epoch if nobody has written one since.
func (o *Owner) win(ctx context.Context) (victory, error) {
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	head, rev, err := o.readHead(ctx)
	if err != nil {
		return victory{}, err
	}
	lease, err := o.store.Grant(ctx, o.opts.LeaseTTL)
	if err != nil {
		return victory{}, err
	}
	c := Claim{Epoch: head.Epoch + 1, Instance: o.opts.Instance, Address: o.opts.Address, Speed: o.opts.Speed, Incarnation: o.life}
	next := commitHead{Epoch: c.Epoch}
	commitRev, err := o.store.Commit(ctx, kv.Txn{
		If:  []kv.Condition{{Key: claimKey}, {Key: headKey, Rev: rev}},
		Set: []kv.Write{{Key: claimKey, Value: encode(c), Lease: lease}, {Key: headKey, Value: encode(next)}},
	})
	if err != nil {
		// The claim of an unknown outcome must not stay without a leader.
		go o.revoke(lease)
		return victory{}, err
	}
	return victory{claim: c, lease: lease, commitRev: commitRev}, nil
}

// campaignTimeout bounds the calls of one campaign.
const campaignTimeout = 4 * time.Second

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

func (o *Owner) revoke(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), campaignTimeout)
	defer cancel()
	if err := o.store.Revoke(ctx, lease); err != nil {
		o.log.Warn().Str("event", "lease.revoke-failed").Err(err).Send()
	}
}

// lead decides until the claim is lost or ctx ends, and gives the claim back.
func (o *Owner) lead(ctx context.Context, v victory) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l := newLeader(o, v, cancel)
	o.claim.Store(&v.claim)
	o.leading.Store(l)
	o.log.Info().Str("event", "leader.start").Int64("epoch", v.claim.Epoch).Send()
	l.run(ctx)
	o.leading.CompareAndSwap(l, nil)
	o.log.Info().Str("event", "leader.end").Int64("epoch", v.claim.Epoch).AnErr("cause", context.Cause(ctx)).Send()
	o.revoke(v.lease)
	if c := o.claim.Load(); c != nil && c.Epoch == v.claim.Epoch {
		o.claim.Store(nil)
	}
}

// Resign ends the leadership of this instance for good, so that another takes over.
func (o *Owner) Resign() {
	o.resign.Store(true)
	if l := o.leading.Load(); l != nil {
		l.end("planned stop")
	}
}
