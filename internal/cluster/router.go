package cluster

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/membership"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// retryDelay is the time between two attempts of a call, for example while a partition
	// changes its owner.
	retryDelay = 50 * time.Millisecond
	// callTimeout bounds one call to a peer.
	callTimeout = 3 * time.Second
	// listConcurrency bounds the partitions that List calls concurrently.
	listConcurrency = 16
	// maxHops bounds the transfers of a job that findJob follows.
	maxHops = 32
)

// Members lists the live instances.
type Members interface {
	Members() []membership.Member
	Assigned(p model.Partition) (membership.Member, bool)
}

// LocalAuditTrail reads the audit trail of this instance.
type LocalAuditTrail interface {
	Subject(subject string) []audit.Entry
	Recent(limit int) []audit.Entry
}

// Pool calls other instances; *peer.Pool is one.
type Pool interface {
	Call(ctx context.Context, addr string, k peer.Kind, in, out any) error
}

// Config configures a Router.
type Config struct {
	Self      model.InstanceID
	Manager   *partition.Manager
	Members   Members
	Documents partition.ConfigSource
	Pool      Pool
	Trail     LocalAuditTrail
	Clock     platform.Clock
	Log       zerolog.Logger
	Seed      uint64
	// Unfeasible returns the reason why the job can never run, or "" if it can.
	Unfeasible func(spec model.JobSpec) string
}

// Router routes calls to the owners of partitions.
type Router struct {
	cfg       Config
	summaries *summaries
}

// NewRouter returns a Router without summaries of any partition.
func NewRouter(cfg Config) *Router {
	return &Router{cfg: cfg, summaries: newSummaries(cfg.Clock, cfg.Seed)}
}

// partitionOf returns the partition that a key hashes to.
func (r *Router) partitionOf(key string) (model.Partition, error) {
	doc, ok := r.cfg.Documents.Current()
	if !ok || doc.Operators.Partitions == 0 {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonConfigStale, "no configuration has been read yet")
	}
	return model.Partition(xxhash.Sum64String(key) % uint64(doc.Operators.Partitions)), nil
}

// otherMembers returns the live instances except this one.
func (r *Router) otherMembers() []membership.Member {
	return slices.DeleteFunc(slices.Clone(r.cfg.Members.Members()), func(m membership.Member) bool {
		return m.ID == r.cfg.Self
	})
}

// locateOwner returns the owner of the partition according to its newest summary, or the
// instance that the partition is assigned to if no live owner is known.
func (r *Router) locateOwner(p model.Partition) (membership.Member, bool) {
	if owner, ok := r.summaries.owner(p); ok && owner != r.cfg.Self {
		for _, m := range r.cfg.Members.Members() {
			if m.ID == owner {
				return m, true
			}
		}
	}
	return r.cfg.Members.Assigned(p)
}

// Submit submits a job. It is idempotent with respect to the job ID.
func (r *Router) Submit(ctx context.Context, spec model.JobSpec) (ledger.JobStatus, error) {
	p, err := r.partitionOf(string(spec.ID))
	if err != nil {
		return ledger.JobStatus{}, err
	}
	if reason := r.cfg.Unfeasible(spec); reason != "" {
		return ledger.JobStatus{}, verdict.New(verdict.NotRun, verdict.ReasonUnfeasible, "the job can never run: %s", reason)
	}
	return submitJob.invoke(ctx, r, submitMessage{Partition: p, Spec: spec})
}

// Cancel cancels a job, also if it has been transferred to another partition.
func (r *Router) Cancel(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error) {
	return r.changeJob(ctx, cancelJob, id, actor)
}

// Resume queues a parked job again.
func (r *Router) Resume(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error) {
	return r.changeJob(ctx, resumeJob, id, actor)
}

// changeJob finds the partition that holds the job and makes the change there. If the job is
// transferred in the meantime, it starts again.
func (r *Router) changeJob(ctx context.Context, change endpoint[jobMessage, ledger.JobStatus], id model.JobID, actor string) (ledger.JobStatus, error) {
	for {
		located, err := r.findJob(ctx, id)
		if err != nil {
			return ledger.JobStatus{}, err
		}
		status, err := change.invoke(ctx, r, jobMessage{Partition: located.partition, Job: id, Actor: actor})
		if err != nil || status.State != model.JobTransferred {
			return status, err
		}
	}
}

// locatedJob is a job with the partition that holds it.
type locatedJob struct {
	partition model.Partition
	status    ledger.JobStatus
	// history covers all partitions that have held the job.
	history []ledger.HistoryEntry
	// durable says that the store holds status and history.
	durable bool
}

// findJob follows the transfers of a job from its home partition.
func (r *Router) findJob(ctx context.Context, id model.JobID) (locatedJob, error) {
	p, err := r.partitionOf(string(id))
	if err != nil {
		return locatedJob{}, err
	}
	f := locatedJob{partition: p, durable: true}
	for range maxHops {
		reply, err := getJob.invoke(ctx, r, jobMessage{Partition: f.partition, Job: id})
		if err != nil {
			return f, err
		}
		f.status = reply.Status
		// A transfer includes the history of the job, so the last partition has all of it.
		f.history = reply.History
		f.durable = f.durable && reply.Durable
		if reply.Status.State != model.JobTransferred {
			return f, nil
		}
		f.partition = reply.Status.MovedTo
	}
	return f, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "job %s was transferred more than %d times", id, maxHops)
}

// Job returns the status of a job.
func (r *Router) Job(ctx context.Context, id model.JobID) (ledger.JobStatus, error) {
	f, err := r.findJob(ctx, id)
	return f.status, err
}

// List returns the jobs of a team in all partitions. A transferred job is listed only in its
// current partition, not in those that it was transferred from.
func (r *Router) List(ctx context.Context, team model.Team) ([]ledger.JobStatus, error) {
	doc, ok := r.cfg.Documents.Current()
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonConfigStale, "no configuration has been read yet")
	}
	lists := make([][]ledger.JobStatus, doc.Operators.Partitions)
	var group errgroup.Group
	group.SetLimit(listConcurrency)
	for p := range model.Partition(doc.Operators.Partitions) {
		group.Go(func() (err error) {
			lists[p], err = listJobs.invoke(ctx, r, listJobsMessage{Partition: p, Team: team})
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	all := slices.Concat(lists...)
	return slices.DeleteFunc(all, func(s ledger.JobStatus) bool { return s.State == model.JobTransferred }), nil
}

// SendTransfer sends a transfer to the owner of its destination.
func (r *Router) SendTransfer(ctx context.Context, from model.Partition, t ledger.Transfer) error {
	_, err := acceptTransfer.invoke(ctx, r, acceptTransferMessage{Partition: t.To, From: from, Transfer: t})
	return err
}

// Claim claims a request key at the owner of its partition.
func (r *Router) Claim(ctx context.Context, c ledger.ClaimRequest) (ledger.Claim, error) {
	p, err := r.partitionOf(string(c.Key))
	if err != nil {
		return ledger.Claim{}, err
	}
	reply, err := claimKey.invoke(ctx, r, claimMessage{Partition: p, Claim: c})
	if err != nil {
		return ledger.Claim{}, err
	}
	if reply.Refusal != nil {
		return reply.Claim, reply.Refusal
	}
	return reply.Claim, nil
}

// Settle settles a claim with a verdict. It is idempotent.
func (r *Router) Settle(ctx context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error {
	p, err := r.partitionOf(string(key))
	if err != nil {
		return err
	}
	_, err = settleClaim.invoke(ctx, r, settleMessage{Partition: p, Key: key, Holder: holder, Verdict: v})
	return err
}

// RequestRelease asks the known owner of the partition to release it. It does nothing if no
// owner is known or the owner is this instance.
func (r *Router) RequestRelease(ctx context.Context, p model.Partition) error {
	owner, ok := r.summaries.owner(p)
	if !ok || owner == r.cfg.Self {
		return nil
	}
	for _, m := range r.otherMembers() {
		if m.ID == owner {
			var reply empty
			return r.cfg.Pool.Call(ctx, m.PeerAddr, KindReleasePartition, releaseMessage{Partition: p}, &reply)
		}
	}
	return errors.New("the owner in the newest summary is not a live instance")
}

// RemoteUse returns the resources that the teams use in all partitions except p.
func (r *Router) RemoteUse(p model.Partition) map[model.Team]model.Resources {
	return r.summaries.remoteUse(p)
}

// TransferDestination chooses a partition that may have capacity for the job.
func (r *Router) TransferDestination(spec model.JobSpec, from model.Partition) (model.Partition, bool) {
	doc, ok := r.cfg.Documents.Current()
	if !ok {
		return 0, false
	}
	return r.summaries.destination(spec, from, doc)
}

// OwnersKnown reports whether this instance knows an owner of every partition, so that it
// can take claims and jobs without waiting for a takeover.
func (r *Router) OwnersKnown() bool {
	doc, ok := r.cfg.Documents.Current()
	if !ok {
		return false
	}
	for p := range model.Partition(doc.Operators.Partitions) {
		_, held := r.cfg.Manager.Owner(p)
		_, known := r.summaries.owner(p)
		if !held && !known {
			return false
		}
	}
	return true
}
