// Package partition runs the partitions that an instance owns: it connects the ledger, the
// journal and the scheduling policy of a partition and renews the leases of its workers.
package partition

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
)

// Capacities of the channels between the goroutines of an owner, in items.
const (
	commandQueueSize = 1024
	replyQueueSize   = 256
	batchQueueSize   = 1
	actionQueueSize  = 64
	resultQueueSize  = 256
)

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Current returns the document in force; false before the first one was read.
	Current() (*config.Document, bool)
	// Confirm returns the newest document after reading the store. It fails if the store does not
	// answer.
	Confirm(ctx context.Context) (*config.Document, error)
}

// Timing holds the periods of an owner.
type Timing struct {
	// WorkerLeaseTTL is the duration of a worker's lease; its attempts end when the lease lapses.
	WorkerLeaseTTL time.Duration
	// WorkerRenewInterval is the period of lease renewals.
	WorkerRenewInterval time.Duration
	// WorkerCallTimeout bounds one call to a worker.
	WorkerCallTimeout time.Duration
	// StartWindow is the time after the decision on a start within which the worker may accept it.
	StartWindow time.Duration
	// TransferAfter is how long a job waits for room before it is transferred to another partition.
	TransferAfter time.Duration
	// UrgentTransferAfter is TransferAfter for urgent jobs.
	UrgentTransferAfter time.Duration
}

// DefaultTiming returns the periods used when the settings name no others.
func DefaultTiming() Timing {
	return Timing{
		WorkerLeaseTTL:      10 * time.Second,
		WorkerRenewInterval: time.Second,
		WorkerCallTimeout:   2 * time.Second,
		StartWindow:         3 * time.Second,
		TransferAfter:       2 * time.Second,

		UrgentTransferAfter: 250 * time.Millisecond,
	}
}

// Config holds the dependencies and parameters of an Owner.
type Config struct {
	Partition    model.Partition
	Self         model.InstanceID
	Workers      platform.WorkerClient
	ConfigSource ConfigSource
	Clock        platform.Clock
	Log          zerolog.Logger
	Policy       schedule.Policy
	Timing       Timing
	// CommitInterval is the least time between two appends.
	CommitInterval time.Duration
	// WriteLimiter bounds the appends of all owners of the instance.
	WriteLimiter *WriteLimiter
	// RemoteUse returns the resources that the teams hold in other partitions.
	RemoteUse func() map[model.Team]model.Resources
	// Destination returns a partition that may have room for the job, false if there is none.
	Destination func(spec model.JobSpec, from model.Partition) (model.Partition, bool)
	// OfferTransfer delivers a transfer to the owner of another partition.
	OfferTransfer func(ctx context.Context, from model.Partition, t ledger.Transfer) error
	// OnDurable is called with records once they are durable. It must not block.
	OnDurable func(p model.Partition, records []ledger.Record)
	// Services lists the services that have a target on the worker.
	Services func(model.WorkerID) []model.Service
}

// Owner runs one partition from its takeover until it is released or deposed.
type Owner struct {
	cfg     Config
	journal *journal.Journal
	epoch   model.Epoch

	// commands come from the callers and replies from the renewals of leases.
	commands chan *command
	replies  chan leaseReply
	// batches go to writeJournal, which returns their outcomes in acks.
	batches chan *batch
	acks    chan batchAck
	// actions go to sendActions, which returns the outcomes of starts in results.
	actions chan ledger.Actions
	results chan startResults
	// workers holds the newest list of the inventory that the loop has not taken yet.
	workers chan []model.Worker
	// offers holds the outcomes of offered transfers.
	offers chan offerResult
	// release is closed by Release, stopped at the end of Run.
	release chan struct{}
	stopped chan struct{}

	releaseOnce sync.Once
	summary     latestSummary
	addrs       addresses
	// confirmed is the latest time at which the ownership is known to have held, in Unix
	// nanoseconds.
	confirmed atomic.Int64
}

// Open takes the partition over and returns its owner and its ledger, which are passed to Run.
func Open(ctx context.Context, cfg Config, store platform.Store, jc journal.Config) (*Owner, *ledger.Ledger, error) {
	requestedAt := cfg.Clock.Now()
	j, replay, err := journal.Open(ctx, store, jc)
	if err != nil {
		return nil, nil, err
	}
	l, err := restore(cfg.Partition, replay)
	if err != nil {
		return nil, nil, err
	}
	o := &Owner{
		cfg:      cfg,
		journal:  j,
		epoch:    replay.Epoch,
		commands: make(chan *command, commandQueueSize),
		replies:  make(chan leaseReply, replyQueueSize),
		batches:  make(chan *batch, batchQueueSize),
		acks:     make(chan batchAck, batchQueueSize),
		actions:  make(chan ledger.Actions, actionQueueSize),
		results:  make(chan startResults, resultQueueSize),
		workers:  make(chan []model.Worker, 1),
		offers:   make(chan offerResult, offerConcurrency),
		addrs:    addresses{byWorker: map[model.WorkerID]string{}},
		release:  make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	o.confirmed.Store(requestedAt.UnixNano())
	return o, l, nil
}

// restore rebuilds the ledger from the snapshot and the entries after it.
func restore(p model.Partition, replay journal.Replay) (*ledger.Ledger, error) {
	l, err := ledger.Load(p, replay.Snapshot)
	if err != nil {
		return nil, err
	}
	for _, entry := range replay.Entries {
		records, err := journal.DecodeRecords(entry)
		if err != nil {
			return nil, err
		}
		for _, r := range records {
			if err := l.Apply(r); err != nil {
				return nil, err
			}
		}
	}
	return l, nil
}

// Epoch returns the epoch of this ownership.
func (o *Owner) Epoch() model.Epoch { return o.epoch }

// Stopped returns a channel that is closed when the ownership has ended.
func (o *Owner) Stopped() <-chan struct{} { return o.stopped }

// Release makes Run end the ownership once the records queued so far are durable.
func (o *Owner) Release() {
	o.releaseOnce.Do(func() { close(o.release) })
}

// SetWorkers replaces the partition's workers with a newer list of the inventory.
func (o *Owner) SetWorkers(workers []model.Worker) {
	for {
		select {
		case o.workers <- workers:
			return
		default:
		}
		select {
		case <-o.workers:
		default:
		}
	}
}

// Run runs the ownership until ctx ends, Release is called or the owner is deposed. It
// returns nil after a release.
func (o *Owner) Run(ctx context.Context, l *ledger.Ledger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer close(o.stopped)
	var wg sync.WaitGroup
	wg.Go(func() { o.writeJournal(ctx) })
	wg.Go(func() { o.sendActions(ctx) })
	loop := newLoop(o, l)
	err := loop.run(ctx)
	loop.settleInFlight(ctx)
	cancel()
	wg.Wait()
	loop.sessions.stop()
	loop.failCommands(err)
	if err != nil {
		return err
	}
	releaseCtx, done := context.WithTimeout(context.WithoutCancel(ctx), o.cfg.Timing.WorkerCallTimeout)
	defer done()
	return o.handOver(releaseCtx, l)
}

// handOver writes a snapshot for the next owner and marks the partition as released.
func (o *Owner) handOver(ctx context.Context, l *ledger.Ledger) error {
	snapshot, err := l.Marshal()
	if err != nil {
		return err
	}
	return o.journal.Release(ctx, snapshot)
}
