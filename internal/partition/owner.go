// Package partition runs the partitions that an instance owns: it joins the ledger, the
// journal, the policy and the leases of the partition's workers.
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

// Bounds of the channels between the goroutines of an owner, in items.
const (
	commandBound = 1024
	replyBound   = 256
	batchBound   = 1
	actionBound  = 64
	resultBound  = 256
)

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	// Current returns the document in force; false before the first one was read.
	Current() (*config.Document, bool)
	// Confirm proves by one read that the document in force is the newest.
	Confirm(ctx context.Context) (*config.Document, error)
}

// Timing holds the periods of an owner.
type Timing struct {
	// WorkerLeaseTTL is the lease of a worker; its attempts end when it lapses.
	WorkerLeaseTTL time.Duration
	// WorkerRenewInterval is the period of lease renewals.
	WorkerRenewInterval time.Duration
	// WorkerCallTimeout bounds one call of a worker.
	WorkerCallTimeout time.Duration
	// StartWindow is how long after its decision a start may reach the worker.
	StartWindow time.Duration
	// TransferAfter is how long a job waits before it is offered to another partition.
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

// Config is what an Owner needs.
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
	// RemoteUse returns what the teams hold in other partitions.
	RemoteUse func() map[model.Team]model.Resources
	// Destination picks a partition that may have room for the job; false if none.
	Destination func(spec model.JobSpec, from model.Partition) (model.Partition, bool)
	// OfferTransfer delivers a transfer to the owner of another partition.
	OfferTransfer func(ctx context.Context, from model.Partition, t ledger.Transfer) error
	// OnDurable is told of records once they are durable. It must not block.
	OnDurable func(p model.Partition, records []ledger.Record)
	// Services lists the services that have a target on the worker.
	Services func(model.WorkerID) []model.Service
}

// Owner holds one partition from its takeover until it is released or deposed.
type Owner struct {
	cfg     Config
	journal *journal.Journal
	epoch   model.Epoch

	commands chan *command
	replies  chan leaseReply
	batches  chan *batch
	acks     chan batchAck
	actions  chan ledger.Actions
	results  chan startResults
	workers  chan []model.Worker
	offers   chan offerResult
	release  chan struct{}
	stopped  chan struct{}

	releaseOnce sync.Once
	summary     summaryCell
	addrs       addresses
	// confirmed is when the ownership was last known to be true, in Unix nanoseconds.
	confirmed atomic.Int64
}

// Open takes the partition over and returns its owner, which Run then runs.
func Open(ctx context.Context, cfg Config, store platform.Store, jc journal.Config) (*Owner, *ledger.Ledger, error) {
	asked := cfg.Clock.Now()
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
		commands: make(chan *command, commandBound),
		replies:  make(chan leaseReply, replyBound),
		batches:  make(chan *batch, batchBound),
		acks:     make(chan batchAck, batchBound),
		actions:  make(chan ledger.Actions, actionBound),
		results:  make(chan startResults, resultBound),
		workers:  make(chan []model.Worker, 1),
		offers:   make(chan offerResult, offerConcurrency),
		addrs:    addresses{byWorker: map[model.WorkerID]string{}},
		release:  make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	o.confirmed.Store(asked.UnixNano())
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

// Stopped is closed when the ownership has ended.
func (o *Owner) Stopped() <-chan struct{} { return o.stopped }

// Release ends the ownership after the records decided so far are durable.
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
	cancel()
	wg.Wait()
	loop.links.stop()
	loop.fail(err)
	if err != nil {
		return err
	}
	releaseCtx, done := context.WithTimeout(context.WithoutCancel(ctx), o.cfg.Timing.WorkerCallTimeout)
	defer done()
	return o.handOver(releaseCtx, l)
}

// handOver leaves a snapshot and the release mark for the next owner.
func (o *Owner) handOver(ctx context.Context, l *ledger.Ledger) error {
	snapshot, err := l.Marshal()
	if err != nil {
		return err
	}
	return o.journal.Release(ctx, snapshot)
}
