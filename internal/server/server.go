// Package server assembles an entry instance: it connects the store, the workers, the
// peers and the listeners, and stops them in the order of a planned stop.
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
	// balancerNotice is how long a stopping instance goes on serving after it reports that
	// it is not ready, so that the balancer stops sending to it.
	balancerNotice = time.Second
	// workerCallTimeout bounds one call of a worker.
	workerCallTimeout = 2 * time.Second
)

// ErrStopped says that the instance was asked to stop before it had started.
var ErrStopped = errors.New("stopped during the start")

// environment holds the systems around an instance.
type environment struct {
	store     platform.Store
	inventory platform.Inventory
	// listen opens the listener of an address.
	listen func(addr string) (net.Listener, error)
}

// Server is one entry instance.
type Server struct {
	settings settings.Settings
	log      zerolog.Logger
	clock    platform.Clock
	open     func(addr string) (net.Listener, error)

	store      platform.Store
	scope      tally.Scope
	scrape     http.Handler
	metrics    io.Closer
	meters     *meters
	trail      *audit.Trail
	watcher    *config.Watcher
	editor     *config.Editor
	members    *membership.Membership
	pool       *peer.Pool
	peers      *peer.Server
	manager    *partition.Manager
	router     *cluster.Router
	dispatcher *route.Dispatcher
	inventory  *inventory
	listeners  *listeners

	// draining says that a planned stop has begun.
	draining atomic.Bool
	// joined says that the instance has known an owner of every partition once.
	joined atomic.Bool
	wg     sync.WaitGroup
}

// New connects the parts of an instance. It fails if the store does not answer, and with
// ErrStopped if ctx ends before that.
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
	return connect(ctx, s, log, environment{store: store, inventory: source, listen: listen})
}

// connect is New for given surroundings.
func connect(ctx context.Context, s settings.Settings, log zerolog.Logger, e environment) (*Server, error) {
	if err := checkStore(ctx, e.store); err != nil {
		if ctx.Err() != nil {
			return nil, ErrStopped
		}
		return nil, errors.Annotatef(err, "setting --store: no answer from %v", s.Stores)
	}
	v := &Server{settings: s, log: log, clock: platform.SystemClock{}, open: e.listen}
	v.scope, v.scrape, v.metrics = metrics.New()
	v.meters = newMeters(v.scope)
	v.store = metrics.InstrumentStore(e.store, v.clock, v.scope)
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
		source:    e.inventory,
		log:       log,
		onWorkers: v.manager.SetWorkers,
		onTargets: v.dispatcher.SetTargets,
	}
	return v, nil
}

// checkStore proves that the store answers.
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

// newRouter returns the router to the owners of partitions.
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

// seed returns a random seed that is fixed for the instance id.
func (v *Server) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(v.settings.InstanceID))
	return h.Sum64()
}

// unfeasible returns why a job can never run on the workers of the platform.
func (v *Server) unfeasible(spec model.JobSpec) string {
	doc, ok := v.watcher.Current()
	workers := v.inventory.Workers()
	if !ok || len(workers) == 0 {
		return ""
	}
	return schedule.New(0, doc.Operators.Weights).Unfeasible(spec, doc, workers)
}

// Run serves until ctx ends, then makes a planned stop.
func (v *Server) Run(ctx context.Context) error {
	// The parts outlive ctx, because a planned stop needs them to finish what is in flight.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := v.listen(); err != nil {
		v.listeners.close()
		_ = v.metrics.Close()
		return err
	}
	v.wg.Go(func() { v.logEnd("watcher", v.watcher.Run(running)) })
	v.wg.Go(func() { v.logEnd("membership", v.members.Run(running)) })
	v.wg.Go(func() { v.inventory.run(running) })
	v.wg.Go(func() { v.manager.Run(running) })
	v.wg.Go(func() { v.router.BroadcastSummaries(running) })
	v.wg.Go(func() { v.follow(running) })
	v.wg.Go(func() { v.measure(running) })
	v.log.Info().Str("event", "instance.started").Str("instance", string(v.settings.InstanceID)).
		Str("callers", v.settings.CallerListen).Str("operators", v.settings.OperatorListen).
		Str("peers", v.settings.PeerListen).Send()
	<-ctx.Done()
	v.stop(cancel)
	return nil
}

// logEnd logs the error with which a duty ended before the instance did.
func (v *Server) logEnd(duty string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		v.log.Error().Str("event", "duty.ended").Str("duty", duty).Err(err).Send()
	}
}

// follow passes changes of the configuration and of the members on.
func (v *Server) follow(ctx context.Context) {
	changed := v.watcher.Subscribe()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		v.apply()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// apply puts the newest configuration and member list in force.
func (v *Server) apply() {
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

// stop makes a planned stop: it leaves the balancer, hands the partitions over, finishes
// the requests in flight and then ends all duties.
func (v *Server) stop(cancel context.CancelFunc) {
	started := v.clock.Now()
	v.draining.Store(true)
	v.log.Info().Str("event", "instance.draining").Send()
	ctx, done := context.WithTimeout(context.Background(), v.settings.DrainTimeout)
	defer done()
	v.members.Announce(func(m *membership.Member) { m.Draining = true })
	notice := time.NewTimer(balancerNotice)
	<-notice.C
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
	_ = v.metrics.Close()
	v.log.Info().Str("event", "instance.stopped").Dur("took", v.clock.Now().Sub(started)).Send()
}
