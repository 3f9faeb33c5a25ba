package server

import (
	"context"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
)

// journalShare is the share of the instance's store writes that journal appends may use. The rest is
// left for leases, snapshots and edits.
const journalShare = 0.8

// renewalsPerLease is the number of renewals of a worker's lease within its TTL. Workers report the
// ends of attempts in their answers to renewals.
const renewalsPerLease = 5

// newManager returns the manager of this instance's partitions.
func (v *Server) newManager() *partition.Manager {
	limiter := partition.NewWriteLimiter(v.clock, float64(v.settings.StoreWritesPerSecond)*journalShare)
	workers := platform.NewWorkerClient(workerCallTimeout)
	return partition.NewManager(partition.ManagerConfig{
		Self:         v.settings.InstanceID,
		Store:        v.store,
		Members:      v.members,
		ConfigSource: v.watcher,
		Clock:        v.clock,
		Log:          v.log,
		RequestRelease: func(ctx context.Context, p model.Partition) error {
			return v.router.RequestRelease(ctx, p)
		},
		Journal: func(p model.Partition) journal.Config {
			return journal.Config{Partition: p, Owner: v.settings.InstanceID}
		},
		Owner: func(p model.Partition, doc *config.Document) partition.Config {
			return v.ownerConfig(p, doc, workers, limiter)
		},
	})
}

// ownerConfig returns the configuration of the owner of a partition.
func (v *Server) ownerConfig(p model.Partition, doc *config.Document, workers platform.WorkerClient, limiter *partition.WriteLimiter) partition.Config {
	timing := partition.DefaultTiming()
	timing.WorkerLeaseTTL = v.settings.WorkerLeaseTTL
	timing.WorkerRenewInterval = v.settings.WorkerLeaseTTL / renewalsPerLease
	timing.StartWindow = v.settings.ConfigMaxAge
	return partition.Config{
		Partition:      p,
		Self:           v.settings.InstanceID,
		Workers:        workers,
		ConfigSource:   v.watcher,
		Clock:          v.clock,
		Log:            v.log,
		Policy:         schedule.New(v.seed()+uint64(p), doc.Operators.Weights),
		Timing:         timing,
		CommitInterval: v.settings.CommitInterval,
		WriteLimiter:   limiter,
		RemoteUse:      func() map[model.Team]model.Resources { return v.router.RemoteUse(p) },
		Destination: func(spec model.JobSpec, from model.Partition) (model.Partition, bool) {
			return v.router.TransferDestination(spec, from)
		},
		OfferTransfer: func(ctx context.Context, from model.Partition, t ledger.Transfer) error {
			return v.router.SendTransfer(ctx, from, t)
		},
		OnDurable: v.countRecords,
		Services:  func(w model.WorkerID) []model.Service { return v.inventory.ServicesOn(w) },
	}
}
