package partition

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/membership"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

const (
	// reconcilePeriod is how often the manager starts the takeovers that are due.
	reconcilePeriod = 250 * time.Millisecond
	// initialTakeoverDelay is how long a new instance waits before its first takeover. Meanwhile it
	// learns the owner of every partition, so that it can request a release instead of deposing
	// the owner.
	initialTakeoverDelay = 1500 * time.Millisecond
	// takeoverRetryDelay is the least time between the end of an ownership and the next takeover of
	// the partition. It limits how often two instances with different member lists depose each
	// other.
	takeoverRetryDelay = 2 * time.Second
	// openTimeout bounds one takeover.
	openTimeout = 10 * time.Second
	// handoverTimeout bounds the wait for the present owner's release before a takeover.
	handoverTimeout = 3 * time.Second
)

// Members tells which live instance should own a partition.
type Members interface {
	Assigned(p model.Partition) (membership.Member, bool)
	Changed() <-chan struct{}
}

// ManagerConfig holds the dependencies of a Manager.
type ManagerConfig struct {
	Self         model.InstanceID
	Store        platform.Store
	Members      Members
	ConfigSource ConfigSource
	Clock        platform.Clock
	Log          zerolog.Logger
	// Owner returns the configuration of the owner of a partition.
	Owner func(p model.Partition, doc *config.Document) Config
	// Journal returns the configuration of the journal of a partition.
	Journal func(p model.Partition) journal.Config
	// RequestRelease asks the instance that holds the partition, if any, to hand it over.
	RequestRelease func(ctx context.Context, p model.Partition) error
}

// Manager takes over the partitions that this instance should own, runs their owners and releases
// partitions on request.
type Manager struct {
	cfg ManagerConfig

	mu       sync.Mutex
	held     map[model.Partition]*Owner
	opening  map[model.Partition]bool
	retryAt  map[model.Partition]time.Time
	workers  []model.Worker
	draining bool
	wg       sync.WaitGroup
}

// NewManager returns a manager that holds no partition.
func NewManager(cfg ManagerConfig) *Manager {
	return &Manager{
		cfg:     cfg,
		held:    map[model.Partition]*Owner{},
		opening: map[model.Partition]bool{},
		retryAt: map[model.Partition]time.Time{},
	}
}

// Run starts takeovers until ctx ends, then waits for all owners to stop.
func (m *Manager) Run(ctx context.Context) {
	if !sleep(ctx, initialTakeoverDelay) {
		return
	}
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.wg.Wait()
			return
		case <-ticker.C:
		case <-m.cfg.Members.Changed():
		}
		m.reconcile(ctx)
	}
}

// Owner returns the owner of a partition that this instance holds.
func (m *Manager) Owner(p model.Partition) (*Owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.held[p]
	return o, ok
}

// Count returns the number of partitions held.
func (m *Manager) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held)
}

// Summaries returns the summaries of all partitions held.
func (m *Manager) Summaries() []Summary {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]Summary, 0, len(m.held))
	for _, o := range m.held {
		all = append(all, o.Summary())
	}
	return all
}

// SetWorkers passes a newer list of the inventory to the owners.
func (m *Manager) SetWorkers(workers []model.Worker) {
	doc, ok := m.cfg.ConfigSource.Current()
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workers = workers
	for p, o := range m.held {
		o.SetWorkers(workersOf(p, doc, workers))
	}
}

// Release hands the partition over and waits until its owner has stopped.
func (m *Manager) Release(ctx context.Context, p model.Partition) {
	o, ok := m.Owner(p)
	if !ok {
		return
	}
	o.Release()
	select {
	case <-o.Stopped():
	case <-ctx.Done():
	}
}

// Drain releases every partition and prevents further takeovers. It returns when all owners have
// stopped or ctx ends.
func (m *Manager) Drain(ctx context.Context) {
	m.mu.Lock()
	m.draining = true
	held := make([]model.Partition, 0, len(m.held))
	for p := range m.held {
		held = append(held, p)
	}
	m.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range held {
		wg.Go(func() { m.Release(ctx, p) })
	}
	wg.Wait()
}

// reconcile starts the takeovers of the partitions that this instance should own.
func (m *Manager) reconcile(ctx context.Context) {
	doc, ok := m.cfg.ConfigSource.Current()
	if !ok {
		return
	}
	for p := range model.Partition(doc.Operators.Partitions) {
		member, ok := m.cfg.Members.Assigned(p)
		if !ok {
			continue
		}
		// A partition that another instance should own is held until that instance requests its
		// release, so that it has no owner only during the hand-over.
		if member.ID == m.cfg.Self {
			m.startOpen(ctx, p, doc)
		}
	}
}

// startOpen starts the takeover of a partition, unless it is held, its takeover is in progress or
// must wait, or the manager drains.
func (m *Manager) startOpen(ctx context.Context, p model.Partition, doc *config.Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.draining || m.held[p] != nil || m.opening[p] || m.cfg.Clock.Now().Before(m.retryAt[p]) {
		return
	}
	m.opening[p] = true
	m.wg.Go(func() { m.runOwner(ctx, p, doc) })
}

// runOwner takes a partition over and runs its owner until the ownership ends.
func (m *Manager) runOwner(ctx context.Context, p model.Partition, doc *config.Document) {
	log := m.cfg.Log.With().Int("partition", int(p)).Logger()
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	if err := m.cfg.RequestRelease(handoverCtx, p); err != nil {
		log.Info().Str("event", "partition.release-unanswered").Err(err).Send()
	}
	cancel()
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	o, l, err := Open(openCtx, m.cfg.Owner(p, doc), m.cfg.Store, m.cfg.Journal(p))
	cancel()
	if err != nil {
		log.Warn().Str("event", "partition.open-failed").Err(err).Send()
		m.removeOwner(p)
		return
	}
	m.addOwner(p, o, doc)
	log.Info().Str("event", "partition.owned").Uint64("epoch", uint64(o.Epoch())).Send()
	err = o.Run(ctx, l)
	m.removeOwner(p)
	var deposed *journal.DeposedError
	switch {
	case err == nil:
		log.Info().Str("event", "partition.released").Send()
	case errors.As(err, &deposed):
		log.Warn().Str("event", "partition.deposed").Err(err).Send()
	default:
		log.Warn().Str("event", "partition.stopped").Err(err).Send()
	}
}

// addOwner adds the owner of a partition that was taken over and passes it the known workers.
func (m *Manager) addOwner(p model.Partition, o *Owner, doc *config.Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.opening, p)
	m.held[p] = o
	if m.workers != nil {
		o.SetWorkers(workersOf(p, doc, m.workers))
	}
	if m.draining {
		o.Release()
	}
}

// removeOwner removes the owner of a partition, if there is one, and delays the next takeover.
func (m *Manager) removeOwner(p model.Partition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.opening, p)
	delete(m.held, p)
	m.retryAt[p] = m.cfg.Clock.Now().Add(takeoverRetryDelay)
}

// workersOf returns the workers whose rack the configuration binds to the partition.
func workersOf(p model.Partition, doc *config.Document, workers []model.Worker) []model.Worker {
	bound := []model.Worker{}
	for _, w := range workers {
		if owner, ok := doc.PartitionOf(w.Rack); ok && owner == p {
			bound = append(bound, w)
		}
	}
	return bound
}

// sleep waits for d and returns true, or returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
