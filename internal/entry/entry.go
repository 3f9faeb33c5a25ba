package entry

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/peer"
)

// maxContactAge is the age of the last contact with the store beyond which the instance reports
// that it is not ready.
const maxContactAge = 3500 * time.Millisecond

// Instance serves the requests of callers: it stores their jobs and answers from the owner or the
// store. It also campaigns to be the owner itself.
type Instance struct {
	name  string
	store kv.Store
	// maxValueBytes is the largest value that the store takes.
	maxValueBytes atomic.Int64
	owner         *owner.Owner
	// claim returns the current claim as far as this instance knows; nil if nobody owns the jobs.
	claim   func() *owner.Claim
	peers   peerCaller
	watcher *configWatcher
	denials *denials
	// tombstones bounds the rate of tombstones.
	tombstones tombstoneLimit
	log        zerolog.Logger

	// draining is set once a planned stop has begun.
	draining atomic.Bool
}

// peerCaller calls other instances; see peer.Pool.Call.
type peerCaller interface {
	Call(ctx context.Context, addr string, k peer.Kind, in, out any) error
}

// Options describe an instance.
type Options struct {
	// Name identifies the instance to the others.
	Name string
	// PeerAddress is the address on which the instance serves other instances.
	PeerAddress string
	// MaxValueBytes is the largest value that the store takes; 0 for kv.MaxValueBytes.
	MaxValueBytes int
	// Owner configures the instance as a candidate for the owner; New fills in its names, address
	// and metrics.
	Owner owner.Options
	// Scope receives the metrics.
	Scope tally.Scope
	// RevocationBound is the time after which no call with a revoked API key may be served any more, whether the store can be
	// reached or not; 0 if there is no such bound.
	RevocationBound time.Duration
}

// New returns an instance that does nothing until Run.
func New(opts Options, store kv.Store, decoder ConfigDecoder, workers owner.WorkerClient, registry owner.Registry, log zerolog.Logger) *Instance {
	watcher := newConfigWatcher(decoder, opts.Scope, log)
	watcher.setRevocationBound(opts.RevocationBound)
	if opts.Owner.BootClock != nil {
		watcher.clock = opts.Owner.BootClock
	}
	opts.Owner.MaxValueBytes = opts.MaxValueBytes
	opts.Owner.Instance, opts.Owner.Address, opts.Owner.Scope = opts.Name, opts.PeerAddress, opts.Scope
	peers := peer.NewPool(model.InstanceID(opts.Name))
	opts.Owner.AskToYield = func(ctx context.Context, c owner.Claim) error {
		return peers.Call(ctx, c.Address, kindYield, yieldMessage{Epoch: c.Epoch, Speed: opts.Owner.Speed}, nil)
	}
	opts.Owner.ReportEnd = func(ctx context.Context, c owner.Claim, end owner.LeadershipEnd) error {
		return peers.Call(ctx, c.Address, kindLeadershipEnd, leadershipEndMessage{Epoch: c.Epoch, End: end}, nil)
	}
	opts.Owner.RefreshConfig = func(ctx context.Context) error { return watcher.refresh(ctx, store) }
	i := &Instance{
		name:    opts.Name,
		store:   store,
		owner:   owner.New(opts.Owner, store, workers, registry, watcher.batchConfig, log),
		peers:   peers,
		watcher: watcher,
		denials: newDenials(opts.Scope, log),
		log:     log,
	}
	i.claim = i.owner.Claim
	i.maxValueBytes.Store(int64(cmp.Or(opts.MaxValueBytes, kv.MaxValueBytes)))
	peers.OnDisconnect = i.peerDisconnected
	return i
}

// Limits are the options of an instance and of its owner that may change while it runs; see Options and owner.Limits.
type Limits struct {
	owner.Limits
	RevocationBound time.Duration
}

// SetLimits changes limits from now on.
func (i *Instance) SetLimits(limits Limits) {
	i.maxValueBytes.Store(int64(cmp.Or(limits.MaxValueBytes, kv.MaxValueBytes)))
	i.owner.SetLimits(limits.Limits)
	i.watcher.setRevocationBound(limits.RevocationBound)
}

// Run watches the configuration and campaigns for the ownership until ctx ends.
func (i *Instance) Run(ctx context.Context) {
	go i.watcher.storeWatcher(i.store).Run(ctx, 0)
	i.owner.Run(ctx)
}

// Config returns the configuration in force; nil if none is known yet.
func (i *Instance) Config() *Config { return i.watcher.inForce.Load() }

// Unconfirmed returns how long ago the store last answered the watch of the configuration, so how old the configuration in force may
// be.
func (i *Instance) Unconfirmed() time.Duration { return i.watcher.sinceContact() }

// Ready reports whether the instance should get new requests: it has a configuration, has recently
// been in contact with the store, may accept API keys if there are any, and is not being stopped.
func (i *Instance) Ready() bool {
	config := i.Config()
	if i.draining.Load() || config == nil || config.Keys != nil && !i.watcher.acceptsKeys() {
		return false
	}
	return i.watcher.sinceContact() < maxContactAge
}

// Drain begins a planned stop: the instance resigns as the owner, so that another takes over, and
// reports that it is not ready.
func (i *Instance) Drain() {
	i.draining.Store(true)
	i.owner.Resign()
}

// Draining reports whether a planned stop has begun.
func (i *Instance) Draining() bool { return i.draining.Load() }
