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
	// retryDelay is the pause before a call is made again while ownership moves.
	retryDelay = 50 * time.Millisecond
	// callTimeout bounds one call of a peer.
	callTimeout = 3 * time.Second
	// listConcurrency bounds the partitions that a list asks at once.
	listConcurrency = 16
	// maxHops bounds how many transfers of a job a look-up follows.
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

// Config is what a Router needs.
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
	// Unfeasible returns why the job can never run, "" if it can.
	Unfeasible func(spec model.JobSpec) string
}

// Router calls the owners of partitions.
type Router struct {
	cfg       Config
	summaries *summaries
}

// NewRouter returns a router.
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

// others returns the live instances but this one.
func (r *Router) others() []membership.Member {
	return slices.DeleteFunc(slices.Clone(r.cfg.Members.Members()), func(m membership.Member) bool {
		return m.ID == r.cfg.Self
	})
}

// locate returns the instance that holds the partition, as far as is known.
func (r *Router) locate(p model.Partition) (membership.Member, bool) {
	if owner, ok := r.summaries.owner(p); ok && owner != r.cfg.Self {
		for _, m := range r.cfg.Members.Members() {
			if m.ID == owner {
				return m, true
			}
		}
	}
	return r.cfg.Members.Assigned(p)
}

// Submit accepts a job. It is idempotent by the job's id.
func (r *Router) Submit(ctx context.Context, spec model.JobSpec) (ledger.JobStatus, error) {
	p, err := r.partitionOf(string(spec.ID))
	if err != nil {
		return ledger.JobStatus{}, err
	}
	if why := r.cfg.Unfeasible(spec); why != "" {
		return ledger.JobStatus{}, verdict.New(verdict.NotRun, verdict.ReasonUnfeasible, "the job can never run: %s", why)
	}
	return submit.invoke(ctx, r, submitMessage{Partition: p, Spec: spec})
}

// Cancel withdraws a job, wherever it has been transferred to.
func (r *Router) Cancel(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error) {
	return r.changeJob(ctx, cancel, id, actor)
}

// Resume queues a parked job again.
func (r *Router) Resume(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error) {
	return r.changeJob(ctx, resume, id, actor)
}

// changeJob finds the partition that holds the job and makes the change there. A job that
// moves meanwhile is followed.
func (r *Router) changeJob(ctx context.Context, change endpoint[jobMessage, ledger.JobStatus], id model.JobID, actor string) (ledger.JobStatus, error) {
	for {
		found, err := r.find(ctx, id)
		if err != nil {
			return ledger.JobStatus{}, err
		}
		status, err := change.invoke(ctx, r, jobMessage{Partition: found.partition, Job: id, Actor: actor})
		if err != nil || status.State != model.JobTransferred {
			return status, err
		}
	}
}

// found is a job and the partition that holds it.
type found struct {
	partition model.Partition
	status    ledger.JobStatus
	// history is the life of the job in all partitions that held it.
	history []ledger.HistoryEntry
	// settled says that all of this is durable.
	settled bool
}

// find follows the transfers of a job from its home partition.
func (r *Router) find(ctx context.Context, id model.JobID) (found, error) {
	p, err := r.partitionOf(string(id))
	if err != nil {
		return found{}, err
	}
	f := found{partition: p, settled: true}
	for range maxHops {
		reply, err := readJob.invoke(ctx, r, jobMessage{Partition: f.partition, Job: id})
		if err != nil {
			return f, err
		}
		f.status = reply.Status
		// A transfer carries the life of the job so far, so the last partition knows it all.
		f.history = reply.History
		f.settled = f.settled && reply.Settled
		if reply.Status.State != model.JobTransferred {
			return f, nil
		}
		f.partition = reply.Status.MovedTo
	}
	return f, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "job %s moved more than %d times", id, maxHops)
}

// Job returns what is known of a job.
func (r *Router) Job(ctx context.Context, id model.JobID) (ledger.JobStatus, error) {
	f, err := r.find(ctx, id)
	return f.status, err
}

// List returns the jobs of a team in all partitions, without the entries that transfers
// left behind.
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
			lists[p], err = listJobs.invoke(ctx, r, jobsMessage{Partition: p, Team: team})
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	all := slices.Concat(lists...)
	return slices.DeleteFunc(all, func(s ledger.JobStatus) bool { return s.State == model.JobTransferred }), nil
}

// SendTransfer delivers a transfer to the owner of its destination.
func (r *Router) SendTransfer(ctx context.Context, from model.Partition, t ledger.Transfer) error {
	_, err := accept.invoke(ctx, r, acceptMessage{Partition: t.To, From: from, Transfer: t})
	return err
}

// Claim takes a request key at the owner of its partition.
func (r *Router) Claim(ctx context.Context, c ledger.ClaimRequest) (ledger.Claim, error) {
	p, err := r.partitionOf(string(c.Key))
	if err != nil {
		return ledger.Claim{}, err
	}
	reply, err := claim.invoke(ctx, r, claimMessage{Partition: p, Claim: c})
	if err != nil {
		return ledger.Claim{}, err
	}
	if reply.Refusal != nil {
		return reply.Claim, reply.Refusal
	}
	return reply.Claim, nil
}

// Settle ends a claim with a verdict. It is idempotent.
func (r *Router) Settle(ctx context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error {
	p, err := r.partitionOf(string(key))
	if err != nil {
		return err
	}
	_, err = settle.invoke(ctx, r, settleMessage{Partition: p, Key: key, Holder: holder, Verdict: v})
	return err
}

// RequestRelease asks the instance that holds the partition to hand it over.
func (r *Router) RequestRelease(ctx context.Context, p model.Partition) error {
	owner, ok := r.summaries.owner(p)
	if !ok || owner == r.cfg.Self {
		return nil
	}
	for _, m := range r.others() {
		if m.ID == owner {
			var reply empty
			return r.cfg.Pool.Call(ctx, m.PeerAddr, KindReleasePartition, releaseMessage{Partition: p}, &reply)
		}
	}
	return errors.New("the former owner is not a live instance")
}

// RemoteUse returns what the teams hold outside of one partition.
func (r *Router) RemoteUse(p model.Partition) map[model.Team]model.Resources {
	return r.summaries.remoteUse(p)
}

// TransferDestination picks a partition that may have room for the job.
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
