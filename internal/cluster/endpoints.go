package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// partitionMessage is a message that is addressed to the owner of a partition.
type partitionMessage interface {
	partition() model.Partition
}

// endpoint is a call that the owner of a partition serves. The function run executes it on the
// instance that owns the partition, for local and for remote callers.
type endpoint[In partitionMessage, Out any] struct {
	kind peer.Kind
	// atMostOnce forbids a retry after a failure that may have taken effect.
	atMostOnce bool
	run        func(ctx context.Context, o *partition.Owner, in In) (Out, error)
}

// The calls that owners serve.
var (
	submitJob = endpoint[submitMessage, ledger.JobStatus]{
		kind: KindSubmit,
		run: func(ctx context.Context, o *partition.Owner, m submitMessage) (ledger.JobStatus, error) {
			return o.Submit(ctx, m.Spec)
		},
	}
	cancelJob = endpoint[jobMessage, ledger.JobStatus]{
		kind: KindCancel,
		run: func(ctx context.Context, o *partition.Owner, m jobMessage) (ledger.JobStatus, error) {
			return o.Cancel(ctx, m.Job, "cancelled by "+m.Actor)
		},
	}
	resumeJob = endpoint[jobMessage, ledger.JobStatus]{
		kind: KindResume,
		run: func(ctx context.Context, o *partition.Owner, m jobMessage) (ledger.JobStatus, error) {
			return o.Resume(ctx, m.Job)
		},
	}
	getJob = endpoint[jobMessage, getJobReply]{
		kind: KindGetJob,
		run: func(ctx context.Context, o *partition.Owner, m jobMessage) (getJobReply, error) {
			view, err := o.Job(ctx, m.Job)
			return getJobReply{Status: view.Status, History: view.History, Durable: view.Durable}, err
		},
	}
	listJobs = endpoint[listJobsMessage, []ledger.JobStatus]{
		kind: KindListJobs,
		run: func(ctx context.Context, o *partition.Owner, m listJobsMessage) ([]ledger.JobStatus, error) {
			return o.Jobs(ctx, m.Team)
		},
	}
	acceptTransfer = endpoint[acceptTransferMessage, empty]{
		kind: KindAcceptTransfer,
		run: func(ctx context.Context, o *partition.Owner, m acceptTransferMessage) (empty, error) {
			return empty{}, o.AcceptTransfer(ctx, m.From, m.Transfer)
		},
	}
	// A claim that may have taken effect is not retried, because a retry would be refused as a
	// duplicate if the first attempt did. The caller must not send the request of the key.
	claimKey    = endpoint[claimMessage, claimReply]{kind: KindClaim, atMostOnce: true, run: runClaim}
	settleClaim = endpoint[settleMessage, empty]{
		kind: KindSettle,
		run: func(ctx context.Context, o *partition.Owner, m settleMessage) (empty, error) {
			return empty{}, o.Settle(ctx, m.Key, m.Holder, m.Verdict)
		},
	}
	getClaim = endpoint[getClaimMessage, getClaimReply]{
		kind: KindGetClaim,
		run: func(ctx context.Context, o *partition.Owner, m getClaimMessage) (getClaimReply, error) {
			claim, found, err := o.LookupClaim(ctx, m.Key)
			return getClaimReply{Found: found, Claim: claim}, err
		},
	}
)

// runClaim claims a key. The claim that holds the key already is part of the reply, because
// an error could not carry it across the peer connection.
func runClaim(ctx context.Context, o *partition.Owner, m claimMessage) (claimReply, error) {
	claim, err := o.Claim(ctx, m.Claim)
	var refusal *verdict.Error
	if errors.As(err, &refusal) && refusal.Reason == verdict.ReasonDuplicate {
		return claimReply{Claim: claim, Refusal: refusal}, nil
	}
	return claimReply{Claim: claim}, err
}

// serve registers the handler for calls from other instances. It refuses calls for partitions
// that this instance does not own.
func (e endpoint[In, Out]) serve(r *Router, s *peer.Server) {
	s.Handle(e.kind, typedHandler(func(ctx context.Context, in In) (any, error) {
		o, ok := r.cfg.Manager.Owner(in.partition())
		if !ok {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonNotOwner,
				"instance %s does not own partition %d", r.cfg.Self, in.partition())
		}
		return e.run(ctx, o, in)
	}))
}

// invoke makes the call and retries it after transient failures, such as a change of owner,
// until it succeeds, fails permanently or ctx ends. If any attempt may have taken effect, the
// returned verdict is MayHaveRun.
func (e endpoint[In, Out]) invoke(ctx context.Context, r *Router, in In) (Out, error) {
	mayHaveRun := false
	for {
		out, err := e.try(ctx, r, in)
		if err == nil {
			return out, nil
		}
		failure := verdict.From(err, verdict.ReasonPeerUnreachable)
		mayHaveRun = mayHaveRun || failure.Verdict != verdict.NotRun
		if !isTransient(failure) || (mayHaveRun && e.atMostOnce) {
			return out, adjustVerdict(failure, mayHaveRun)
		}
		select {
		case <-ctx.Done():
			return out, adjustVerdict(failure, mayHaveRun)
		case <-time.After(retryDelay):
		}
	}
}

// try makes the call once, locally if this instance owns the partition.
func (e endpoint[In, Out]) try(ctx context.Context, r *Router, in In) (Out, error) {
	var out Out
	p := in.partition()
	if o, ok := r.cfg.Manager.Owner(p); ok {
		return e.run(ctx, o, in)
	}
	m, ok := r.locateOwner(p)
	if !ok || m.ID == r.cfg.Self {
		return out, verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "no owner of partition %d is known", p)
	}
	callCtx, cancelCall := context.WithTimeout(ctx, callTimeout)
	defer cancelCall()
	err := r.cfg.Pool.Call(callCtx, m.PeerAddr, e.kind, in, &out)
	if err != nil {
		r.summaries.remove(p, m.ID)
	}
	return out, err
}

// adjustVerdict returns the failure. It replaces the verdict NotRun by MayHaveRun if any attempt
// may have taken effect.
func adjustVerdict(failure *verdict.Error, mayHaveRun bool) error {
	if !mayHaveRun || failure.Verdict != verdict.NotRun {
		return failure
	}
	adjusted := *failure
	adjusted.Verdict = verdict.MayHaveRun
	return &adjusted
}

// isTransient reports whether a retry may succeed.
func isTransient(e *verdict.Error) bool {
	switch e.Reason {
	case verdict.ReasonNotOwner, verdict.ReasonPeerUnreachable, verdict.ReasonStoreUnavailable, verdict.ReasonOverload, verdict.ReasonShutdown:
		return true
	}
	return false
}
