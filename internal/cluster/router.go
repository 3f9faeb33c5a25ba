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

// LocalTrail reads the audit trail of this instance.
type LocalTrail interface {
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
	Documents partition.Documents
	Pool      Pool
	Trail     LocalTrail
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

// call is one call of the owner of a partition.
type call[Out any] struct {
	partition model.Partition
	kind      peer.Kind
	in        any
	local     func(ctx context.Context, o *partition.Owner) (Out, error)
	// once forbids another try after a failure that may have taken effect.
	once bool
}

// do makes the call, again while ownership moves, until it succeeds, fails for good or ctx
// ends. If any try may have taken effect, so may the whole.
func do[Out any](ctx context.Context, r *Router, c call[Out]) (Out, error) {
	mayHaveRun := false
	for {
		out, err := try(ctx, r, c)
		if err == nil {
			return out, nil
		}
		failure := verdict.From(err, verdict.ReasonPeer)
		mayHaveRun = mayHaveRun || failure.Verdict != verdict.NotRun
		if !isTransient(failure) || (mayHaveRun && c.once) {
			return out, withDoubt(failure, mayHaveRun)
		}
		select {
		case <-ctx.Done():
			return out, withDoubt(failure, mayHaveRun)
		case <-time.After(retryDelay):
		}
	}
}

// withDoubt returns the failure, weakened to MayHaveRun if an earlier try may have taken effect.
func withDoubt(failure *verdict.Error, mayHaveRun bool) error {
	if !mayHaveRun || failure.Verdict != verdict.NotRun {
		return failure
	}
	weak := *failure
	weak.Verdict = verdict.MayHaveRun
	return &weak
}

// isTransient reports whether another try may succeed.
func isTransient(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonNotOwner, verdict.ReasonPeer, verdict.ReasonStore, verdict.ReasonOverload, verdict.ReasonShutdown:
		return true
	}
	return false
}

// try makes the call once.
func try[Out any](ctx context.Context, r *Router, c call[Out]) (Out, error) {
	var out Out
	if o, ok := r.cfg.Manager.Held(c.partition); ok {
		return c.local(ctx, o)
	}
	m, ok := r.locate(c.partition)
	if !ok || m.ID == r.cfg.Self {
		return out, verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "partition %d has no owner at present", c.partition)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.cfg.Pool.Call(callCtx, m.PeerAddr, c.kind, c.in, &out)
	if err != nil {
		r.summaries.forget(c.partition, m.ID)
	}
	return out, err
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
	return do(ctx, r, call[ledger.JobStatus]{
		partition: p,
		kind:      KindSubmit,
		in:        submitMessage{Partition: p, Spec: spec},
		local: func(ctx context.Context, o *partition.Owner) (ledger.JobStatus, error) {
			return o.Submit(ctx, spec)
		},
	})
}

// Cancel withdraws a job, wherever it has been transferred to.
func (r *Router) Cancel(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error) {
	return r.changeJob(ctx, id, actor, KindCancel, func(ctx context.Context, o *partition.Owner) (ledger.JobStatus, error) {
		return o.Cancel(ctx, id, "cancelled by "+actor)
	})
}

// Resume queues a parked job again.
func (r *Router) Resume(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error) {
	return r.changeJob(ctx, id, actor, KindResume, func(ctx context.Context, o *partition.Owner) (ledger.JobStatus, error) {
		return o.Resume(ctx, id)
	})
}

// changeJob finds the partition that holds the job and makes the change there. A job that
// moves meanwhile is followed.
func (r *Router) changeJob(ctx context.Context, id model.JobID, actor string, kind peer.Kind,
	local func(context.Context, *partition.Owner) (ledger.JobStatus, error)) (ledger.JobStatus, error) {
	for {
		found, err := r.find(ctx, id)
		if err != nil {
			return ledger.JobStatus{}, err
		}
		status, err := do(ctx, r, call[ledger.JobStatus]{
			partition: found.partition,
			kind:      kind,
			in:        jobMessage{Partition: found.partition, Job: id, Actor: actor},
			local:     local,
		})
		if err != nil || status.State != model.JobTransferred {
			return status, err
		}
	}
}

// found is a job and the partition that holds it.
type found struct {
	partition model.Partition
	status    ledger.JobStatus
	// history joins the steps in all partitions that held the job.
	history []ledger.Step
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
		reply, err := r.jobIn(ctx, f.partition, id)
		if err != nil {
			return f, err
		}
		f.status = reply.Status
		f.history = append(f.history, reply.History...)
		f.settled = f.settled && reply.Settled
		if reply.Status.State != model.JobTransferred {
			slices.SortStableFunc(f.history, func(a, b ledger.Step) int { return a.At.Compare(b.At) })
			return f, nil
		}
		f.partition = reply.Status.MovedTo
	}
	return f, verdict.New(verdict.NotRun, verdict.ReasonUnknown, "job %s moved more than %d times", id, maxHops)
}

// jobIn asks one partition for a job. A job on its way is not known to its destination
// yet, which counts as transient.
func (r *Router) jobIn(ctx context.Context, p model.Partition, id model.JobID) (jobReply, error) {
	return do(ctx, r, call[jobReply]{
		partition: p,
		kind:      KindJob,
		in:        jobMessage{Partition: p, Job: id},
		local: func(ctx context.Context, o *partition.Owner) (jobReply, error) {
			return readJob(ctx, o, id)
		},
	})
}

// readJob reads a job from the owner of its partition.
func readJob(ctx context.Context, o *partition.Owner, id model.JobID) (jobReply, error) {
	view, err := o.Job(ctx, id)
	return jobReply{Status: view.Status, History: view.History, Settled: view.Settled}, err
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
			lists[p], err = r.listIn(ctx, p, team)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	all := slices.Concat(lists...)
	return slices.DeleteFunc(all, func(s ledger.JobStatus) bool { return s.State == model.JobTransferred }), nil
}

// listIn returns the jobs of a team in one partition.
func (r *Router) listIn(ctx context.Context, p model.Partition, team model.Team) ([]ledger.JobStatus, error) {
	return do(ctx, r, call[[]ledger.JobStatus]{
		partition: p,
		kind:      KindJobs,
		in:        jobsMessage{Partition: p, Team: team},
		local: func(ctx context.Context, o *partition.Owner) ([]ledger.JobStatus, error) {
			return o.Jobs(ctx, team)
		},
	})
}

// Offer delivers a transfer to the owner of its destination.
func (r *Router) Offer(ctx context.Context, from model.Partition, t ledger.Transfer) error {
	_, err := do(ctx, r, call[empty]{
		partition: t.To,
		kind:      KindAccept,
		in:        acceptMessage{Partition: t.To, From: from, Transfer: t},
		local: func(ctx context.Context, o *partition.Owner) (empty, error) {
			return empty{}, o.AcceptTransfer(ctx, from, t)
		},
	})
	return err
}

// Claim takes a request key at the owner of its partition. A claim that may have taken
// effect is not tried again; its request must not be sent.
func (r *Router) Claim(ctx context.Context, c ledger.ClaimRequest) (ledger.Claim, error) {
	p, err := r.partitionOf(string(c.Key))
	if err != nil {
		return ledger.Claim{}, err
	}
	reply, err := do(ctx, r, call[claimReply]{
		partition: p,
		kind:      KindClaim,
		in:        claimMessage{Partition: p, Claim: c},
		once:      true,
		local: func(ctx context.Context, o *partition.Owner) (claimReply, error) {
			return claimAt(ctx, o, c)
		},
	})
	if err != nil {
		return ledger.Claim{}, err
	}
	if reply.Refusal != nil {
		return reply.Claim, reply.Refusal
	}
	return reply.Claim, nil
}

// claimAt claims a key at its owner. The claim that holds the key already is part of the
// reply, because an error could not carry it across the peer connection.
func claimAt(ctx context.Context, o *partition.Owner, c ledger.ClaimRequest) (claimReply, error) {
	claim, err := o.Claim(ctx, c)
	var refusal *verdict.Error
	if errors.As(err, &refusal) && refusal.Reason == verdict.ReasonDuplicate {
		return claimReply{Claim: claim, Refusal: refusal}, nil
	}
	return claimReply{Claim: claim}, err
}

// Settle ends a claim with a verdict. It is idempotent.
func (r *Router) Settle(ctx context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error {
	p, err := r.partitionOf(string(key))
	if err != nil {
		return err
	}
	_, err = do(ctx, r, call[empty]{
		partition: p,
		kind:      KindSettle,
		in:        settleMessage{Partition: p, Key: key, Holder: holder, Verdict: v},
		local: func(ctx context.Context, o *partition.Owner) (empty, error) {
			return empty{}, o.Settle(ctx, key, holder, v)
		},
	})
	return err
}

// AskRelease asks the instance that holds the partition to hand it over.
func (r *Router) AskRelease(ctx context.Context, p model.Partition) error {
	owner, ok := r.summaries.owner(p)
	if !ok || owner == r.cfg.Self {
		return nil
	}
	for _, m := range r.others() {
		if m.ID == owner {
			var reply empty
			return r.cfg.Pool.Call(ctx, m.PeerAddr, KindRelease, releaseMessage{Partition: p}, &reply)
		}
	}
	return errors.New("the former owner is not a live instance")
}

// RemoteUse returns what the teams hold outside of one partition.
func (r *Router) RemoteUse(p model.Partition) map[model.Team]model.Resources {
	return r.summaries.remoteUse(p)
}

// Destination picks a partition that may have room for the job.
func (r *Router) Destination(spec model.JobSpec, from model.Partition) (model.Partition, bool) {
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
		_, held := r.cfg.Manager.Held(p)
		_, known := r.summaries.owner(p)
		if !held && !known {
			return false
		}
	}
	return true
}
