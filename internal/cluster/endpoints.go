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

// addressed is a message to the owner of a partition.
type addressed interface {
	partition() model.Partition
}

// endpoint is a call of a partition's owner. The same function serves it whether the owner
// is this instance or another one.
type endpoint[In addressed, Out any] struct {
	kind peer.Kind
	// once forbids another try after a failure that may have taken effect.
	once bool
	run  func(ctx context.Context, o *partition.Owner, in In) (Out, error)
}

// The calls of owners.
var (
	submit = endpoint[submitMessage, ledger.JobStatus]{
		kind: KindSubmit,
		run: func(ctx context.Context, o *partition.Owner, m submitMessage) (ledger.JobStatus, error) {
			return o.Submit(ctx, m.Spec)
		},
	}
	cancel = endpoint[jobMessage, ledger.JobStatus]{
		kind: KindCancel,
		run: func(ctx context.Context, o *partition.Owner, m jobMessage) (ledger.JobStatus, error) {
			return o.Cancel(ctx, m.Job, "cancelled by "+m.Actor)
		},
	}
	resume = endpoint[jobMessage, ledger.JobStatus]{
		kind: KindResume,
		run: func(ctx context.Context, o *partition.Owner, m jobMessage) (ledger.JobStatus, error) {
			return o.Resume(ctx, m.Job)
		},
	}
	readJob = endpoint[jobMessage, jobReply]{
		kind: KindGetJob,
		run: func(ctx context.Context, o *partition.Owner, m jobMessage) (jobReply, error) {
			view, err := o.Job(ctx, m.Job)
			return jobReply{Status: view.Status, History: view.History, Settled: view.Durable}, err
		},
	}
	listJobs = endpoint[jobsMessage, []ledger.JobStatus]{
		kind: KindListJobs,
		run: func(ctx context.Context, o *partition.Owner, m jobsMessage) ([]ledger.JobStatus, error) {
			return o.Jobs(ctx, m.Team)
		},
	}
	accept = endpoint[acceptMessage, empty]{
		kind: KindAcceptTransfer,
		run: func(ctx context.Context, o *partition.Owner, m acceptMessage) (empty, error) {
			return empty{}, o.AcceptTransfer(ctx, m.From, m.Transfer)
		},
	}
	// A claim that may have taken effect is not tried again; its request must not be sent.
	claim  = endpoint[claimMessage, claimReply]{kind: KindClaim, once: true, run: runClaim}
	settle = endpoint[settleMessage, empty]{
		kind: KindSettle,
		run: func(ctx context.Context, o *partition.Owner, m settleMessage) (empty, error) {
			return empty{}, o.Settle(ctx, m.Key, m.Holder, m.Verdict)
		},
	}
	readClaim = endpoint[claimedMessage, claimedReply]{
		kind: KindGetClaim,
		run: func(ctx context.Context, o *partition.Owner, m claimedMessage) (claimedReply, error) {
			claim, found, err := o.LookupClaim(ctx, m.Key)
			return claimedReply{Found: found, Claim: claim}, err
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

// serve installs the handler for calls from other instances. It refuses calls for
// partitions that this instance does not hold.
func (e endpoint[In, Out]) serve(r *Router, s *peer.Server) {
	s.Handle(e.kind, decoded(func(ctx context.Context, in In) (any, error) {
		o, ok := r.cfg.Manager.Owner(in.partition())
		if !ok {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonNotOwner,
				"instance %s does not own partition %d", r.cfg.Self, in.partition())
		}
		return e.run(ctx, o, in)
	}))
}

// invoke makes the call, again while ownership moves, until it succeeds, fails for good or
// ctx ends. If any try may have taken effect, so may the whole.
func (e endpoint[In, Out]) invoke(ctx context.Context, r *Router, in In) (Out, error) {
	mayHaveRun := false
	for {
		out, err := e.try(ctx, r, in)
		if err == nil {
			return out, nil
		}
		failure := verdict.From(err, verdict.ReasonPeerUnreachable)
		mayHaveRun = mayHaveRun || failure.Verdict != verdict.NotRun
		if !isTransient(failure) || (mayHaveRun && e.once) {
			return out, withDoubt(failure, mayHaveRun)
		}
		select {
		case <-ctx.Done():
			return out, withDoubt(failure, mayHaveRun)
		case <-time.After(retryDelay):
		}
	}
}

// try makes the call once.
func (e endpoint[In, Out]) try(ctx context.Context, r *Router, in In) (Out, error) {
	var out Out
	p := in.partition()
	if o, ok := r.cfg.Manager.Owner(p); ok {
		return e.run(ctx, o, in)
	}
	m, ok := r.locate(p)
	if !ok || m.ID == r.cfg.Self {
		return out, verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "partition %d has no owner at present", p)
	}
	callCtx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	err := r.cfg.Pool.Call(callCtx, m.PeerAddr, e.kind, in, &out)
	if err != nil {
		r.summaries.forget(p, m.ID)
	}
	return out, err
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
	case verdict.ReasonNotOwner, verdict.ReasonPeerUnreachable, verdict.ReasonStoreUnavailable, verdict.ReasonOverload, verdict.ReasonShutdown:
		return true
	}
	return false
}
