package entry

import (
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

// contactLimit is the age of the last contact with the store after which the instance asks
// for no more callers.
const contactLimit = 3500 * time.Millisecond

// Instance serves callers.
type Instance struct {
	store  kv.Store
	owner  *owner.Owner
	peers  *peer.Pool
	config *configFollower
	log    zerolog.Logger

	draining atomic.Bool
}

// Options describe an instance.
type Options struct {
	Name string
	// PeerAddress is where the instance serves other instances.
	PeerAddress string
	Owner       owner.Options
	// Scope receives the metrics.
	Scope tally.Scope
}

// New assembles an instance.
func New(o Options, store kv.Store, operator ConfigDecoder, workers owner.WorkerClient, registry owner.Registry, log zerolog.Logger) *Instance {
	config := &configFollower{operator: operator, log: log}
	o.Owner.Instance, o.Owner.Address, o.Owner.Scope = o.Name, o.PeerAddress, o.Scope
	peers := peer.NewPool(model.InstanceID(o.Name))
	o.Owner.AskToYield = func(ctx context.Context, c owner.Claim) error {
		return peers.Call(ctx, c.Address, kindYield, yieldMessage{Epoch: c.Epoch, Speed: o.Owner.Speed}, nil)
	}
	i := &Instance{
		store:  store,
		owner:  owner.New(o.Owner, store, workers, registry, config.current, log),
		peers:  peers,
		config: config,
		log:    log,
	}
	peers.OnDisconnect = i.peerLost
	return i
}

// Run follows the configuration and takes part in campaigns until ctx ends.
func (i *Instance) Run(ctx context.Context) {
	go i.config.follower(i.store).Run(ctx, 0)
	i.owner.Run(ctx)
}

// Config returns the configuration in force; nil if none is known yet.
func (i *Instance) Config() *Config { return i.config.table.Load() }

// Ready reports whether the instance should get new callers.
func (i *Instance) Ready() bool {
	if i.draining.Load() || i.Config() == nil {
		return false
	}
	return time.Since(time.Unix(0, i.config.contact.Load())) < contactLimit
}

// Drain begins a planned stop: another instance takes over, and no new callers come.
func (i *Instance) Drain() {
	i.draining.Store(true)
	i.owner.Resign()
}

// Draining reports whether a planned stop has begun.
func (i *Instance) Draining() bool { return i.draining.Load() }
