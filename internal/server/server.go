// Package server assembles an entry instance from its components: the clients of the store and the
// workers, the partitions, the peers and the listeners. It also performs the planned stop.
package server

import (
	"context"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/cluster"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/membership"
	"github.com/geraniumwick/geraniumwick/internal/metrics"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/route"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
	"github.com/geraniumwick/geraniumwick/internal/settings"
)

const (
	// startTimeout bounds the first read of the store.
	startTimeout = 5 * time.Second
	// balancerDelay is the time that a stopping instance goes on serving after it reports that it is
	// not ready, so that the load balancer can remove it.
	balancerDelay = time.Second
	// workerCallTimeout bounds one call to a worker.
	workerCallTimeout = 2 * time.Second
)

// ErrStopped is returned if the instance was asked to stop before it had started.
var ErrStopped = errors.New("stopped during the start")

// dependencies holds the external systems that an instance uses.
type dependencies struct {
	store     platform.Store
	inventory platform.Inventory
	// listen opens a listener at an address.
	listen func(addr string) (net.Listener, error)
}

// Server is one entry instance.
type Server struct {
	settings   settings.Settings
	log        zerolog.Logger
	clock      platform.Clock
	listenFunc func(addr string) (net.Listener, error)

	store           platform.Store
	scope           tally.Scope
	metricsHandler  http.Handler
	metricsCloser   io.Closer
	instanceMetrics *instanceMetrics
	trail           *audit.Trail
	watcher         *config.Watcher
	editor          *config.Editor
	members         *membership.Membership
	pool            *peer.Pool
	peers           *peer.Server
	manager         *partition.Manager
	router          *cluster.Router
	dispatcher      *route.Dispatcher
	inventory       *inventory
	listeners       *listeners

	// draining is set once a planned stop has begun.
	draining atomic.Bool
	// ownersSeen is set once the instance has known an owner of every partition.
	ownersSeen atomic.Bool
	wg         sync.WaitGroup
}

// New returns an instance that is ready to run. It fails if the store does not answer, and with
// ErrStopped if ctx ends before the store has answered.
func New(ctx context.Context, s settings.Settings, log zerolog.Logger) (*Server, error) {
	store, err := platform.NewStore(s.Stores, platform.StoreOptions{})
	if err != nil {
		return nil, errors.Annotate(err, "setting --store")
	}
	source, err := platform.NewInventory(s.Inventory)
	if err != nil {
		return nil, errors.Annotate(err, "setting --inventory")
	}
	listen := func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	return newServer(ctx, s, log, dependencies{store: store, inventory: source, listen: listen})
}

// newServer is New with the given dependencies.
func newServer(ctx context.Context, s settings.Settings, log zerolog.Logger, deps dependencies) (*Server, error) {
	if err := checkStore(ctx, deps.store); err != nil {
		if ctx.Err() != nil {
			return nil, ErrStopped
		}
		return nil, errors.Annotatef(err, "setting --store: no answer from %v", s.Stores)
	}
	v := &Server{settings: s, log: log, clock: platform.SystemClock{}, listenFunc: deps.listen}
	v.scope, v.metricsHandler, v.metricsCloser = metrics.New()
	v.instanceMetrics = newInstanceMetrics(v.scope)
	v.store = metrics.InstrumentStore(deps.store, v.clock, v.scope)
	v.trail = audit.NewTrail(s.InstanceID, v.clock, log, s.AuditEntries)
	v.watcher = config.NewWatcher(v.store, v.clock, config.WatcherOptions{Recorder: v.trail})
	v.editor = config.NewEditor(v.store, v.clock, s.InstanceID, v.trail)
	v.editor.SetWatcher(v.watcher)
	v.members = v.newMembership()
	v.pool = peer.NewPool(s.InstanceID)
	v.peers = peer.NewServer(s.InstanceID, log)
	v.manager = v.newManager()
	v.router = v.newRouter()
	v.router.Register(v.peers)
	v.dispatcher = route.New(route.Config{
		Self:     s.InstanceID,
		Claims:   v.router,
		Clock:    v.clock,
		Recorder: v.trail,
		Scope:    v.scope,
		Log:      log,
	})
	v.inventory = &inventory{
		source:    deps.inventory,
		log:       log,
		onWorkers: v.manager.SetWorkers,
		onTargets: v.dispatcher.SetTargets,
	}
	return v, nil
}

// checkStore returns an error unless the store answers a read within startTimeout.
func checkStore(ctx context.Context, store platform.Store) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	_, _, err := store.Get(ctx, config.SectionPrefix+config.OperatorsSection)
	return err
}

// newMembership returns the membership of this instance.
func (v *Server) newMembership() *membership.Membership {
	return membership.New(membership.Config{
		Store: v.store,
		Self: membership.Member{
			ID:           v.settings.InstanceID,
			PeerAddr:     v.settings.PeerAdvertise,
			OperatorAddr: v.settings.OperatorAdvertise,
			DataCentre:   v.settings.DataCentre,
			Started:      v.clock.Now(),
		},
		Clock: v.clock,
		TTL:   v.settings.MemberLeaseTTL,
		Log:   v.log,
	})
}

// newRouter returns the router of calls to the owners of partitions.
func (v *Server) newRouter() *cluster.Router {
	return cluster.NewRouter(cluster.Config{
		Self:       v.settings.InstanceID,
		Manager:    v.manager,
		Members:    v.members,
		Documents:  v.watcher,
		Pool:       v.pool,
		Trail:      v.trail,
		Clock:      v.clock,
		Log:        v.log,
		Seed:       v.seed(),
		Unfeasible: v.unfeasible,
	})
}

// seed returns a seed for random choices that is derived from the instance id.
func (v *Server) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(v.settings.InstanceID))
	return h.Sum64()
}

// unfeasible returns the reason why a job can never run on the workers listed, or an empty string if
// it can or if the configuration or the workers are not known yet.
func (v *Server) unfeasible(spec model.JobSpec) string {
	doc, ok := v.watcher.Current()
	workers := v.inventory.Workers()
	if !ok || len(workers) == 0 {
		return ""
	}
	return schedule.New(0, doc.Operators.Weights).Unfeasible(spec, doc, workers)
}

// Run serves until ctx ends, and then performs a planned stop.
func (v *Server) Run(ctx context.Context) error {
	// The background loops outlive ctx, because a planned stop needs them to finish the calls in
	// flight.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := v.listen(); err != nil {
		v.listeners.close()
		_ = v.metricsCloser.Close()
		return err
	}
	v.wg.Go(func() { v.logLoopError("watcher", v.watcher.Run(running)) })
	v.wg.Go(func() { v.logLoopError("membership", v.members.Run(running)) })
	v.wg.Go(func() { v.inventory.run(running) })
	v.wg.Go(func() { v.manager.Run(running) })
	v.wg.Go(func() { v.router.BroadcastSummaries(running) })
	v.wg.Go(func() { v.applyChanges(running) })
	v.wg.Go(func() { v.runGauges(running) })
	v.log.Info().Str("event", "instance.started").Str("instance", string(v.settings.InstanceID)).
		Str("callers", v.settings.CallerListen).Str("operators", v.settings.OperatorListen).
		Str("peers", v.settings.PeerListen).Send()
	<-ctx.Done()
	v.stop(cancel)
	return nil
}

// logLoopError logs the error of a background loop that ended before the instance was stopped.
func (v *Server) logLoopError(name string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		v.log.Error().Str("event", "duty.ended").Str("duty", name).Err(err).Send()
	}
}

// applyChanges calls applyCurrent after each change of the configuration and once a second, which
// covers changes of the members, until ctx ends.
func (v *Server) applyChanges(ctx context.Context) {
	changed := v.watcher.Subscribe()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		v.applyCurrent()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// applyCurrent passes the current configuration and members to the peer pool and the dispatcher, and
// announces the revision that this instance has in force.
func (v *Server) applyCurrent() {
	members := v.members.Members()
	instances := make([]model.InstanceID, 0, len(members))
	addrs := make([]string, 0, len(members))
	for _, m := range members {
		addrs = append(addrs, m.PeerAddr)
		if !m.Draining {
			instances = append(instances, m.ID)
		}
	}
	v.pool.CloseExcept(addrs)
	v.dispatcher.SetInstances(instances)
	doc, ok := v.watcher.Current()
	if !ok {
		return
	}
	v.dispatcher.SetDocument(doc)
	v.members.Announce(func(m *membership.Member) { m.ConfigRevision = doc.Revision })
}

// stop performs a planned stop: it reports that the instance is not ready, waits for the load
// balancer to remove it, hands the partitions over, finishes the calls in flight, and then ends the
// background loops.
func (v *Server) stop(cancel context.CancelFunc) {
	started := v.clock.Now()
	v.draining.Store(true)
	v.log.Info().Str("event", "instance.draining").Send()
	ctx, done := context.WithTimeout(context.Background(), v.settings.DrainTimeout)
	defer done()
	v.members.Announce(func(m *membership.Member) { m.Draining = true })
	delay := time.NewTimer(balancerDelay)
	<-delay.C
	v.manager.Drain(ctx)
	if held := v.manager.Count(); ctx.Err() != nil && held > 0 {
		v.log.Warn().Str("event", "drain.incomplete").Str("part", "partitions").Int("held", held).Send()
	}
	if err := v.dispatcher.Drain(ctx); err != nil {
		v.log.Warn().Str("event", "drain.incomplete").Str("part", "requests").Err(err).Send()
	}
	v.listeners.shutdown(ctx)
	if err := v.peers.Drain(ctx); err != nil {
		v.log.Warn().Str("event", "drain.incomplete").Str("part", "peers").Err(err).Send()
	}
	cancel()
	v.wg.Wait()
	v.pool.Close()
	_ = v.metricsCloser.Close()
	v.log.Info().Str("event", "instance.stopped").Dur("took", v.clock.Now().Sub(started)).Send()
}
