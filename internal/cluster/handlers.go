package cluster

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/partition"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Register installs the handlers for calls from other instances.
func (r *Router) Register(s *peer.Server) {
	s.Handle(KindSubmit, owned(r, func(m submitMessage) model.Partition { return m.Partition },
		func(ctx context.Context, o *partition.Owner, m submitMessage) (any, error) {
			return o.Submit(ctx, m.Spec)
		}))
	s.Handle(KindCancel, owned(r, jobMessage.of,
		func(ctx context.Context, o *partition.Owner, m jobMessage) (any, error) {
			return o.Cancel(ctx, m.Job, "cancelled by "+m.Actor)
		}))
	s.Handle(KindResume, owned(r, jobMessage.of,
		func(ctx context.Context, o *partition.Owner, m jobMessage) (any, error) { return o.Resume(ctx, m.Job) }))
	s.Handle(KindJob, owned(r, jobMessage.of,
		func(ctx context.Context, o *partition.Owner, m jobMessage) (any, error) {
			return readJob(ctx, o, m.Job)
		}))
	s.Handle(KindJobs, owned(r, func(m jobsMessage) model.Partition { return m.Partition },
		func(ctx context.Context, o *partition.Owner, m jobsMessage) (any, error) { return o.Jobs(ctx, m.Team) }))
	s.Handle(KindAccept, owned(r, func(m acceptMessage) model.Partition { return m.Partition },
		func(ctx context.Context, o *partition.Owner, m acceptMessage) (any, error) {
			return empty{}, o.AcceptTransfer(ctx, m.From, m.Transfer)
		}))
	s.Handle(KindClaim, owned(r, func(m claimMessage) model.Partition { return m.Partition },
		func(ctx context.Context, o *partition.Owner, m claimMessage) (any, error) {
			return o.Claim(ctx, m.Claim)
		}))
	s.Handle(KindSettle, owned(r, func(m settleMessage) model.Partition { return m.Partition },
		func(ctx context.Context, o *partition.Owner, m settleMessage) (any, error) {
			return empty{}, o.Settle(ctx, m.Key, m.Holder, m.Verdict)
		}))
	s.Handle(KindClaimed, owned(r, func(m claimedMessage) model.Partition { return m.Partition },
		func(ctx context.Context, o *partition.Owner, m claimedMessage) (any, error) {
			claim, found, err := o.Claimed(ctx, m.Key)
			return claimedReply{Found: found, Claim: claim}, err
		}))
	s.Handle(KindRelease, decoded(r.handleRelease))
	s.Handle(KindSummaries, decoded(r.handleSummaries))
	s.Handle(KindExplain, decoded(r.handleExplain))
	s.Handle(KindRecent, decoded(r.handleRecent))
}

// of returns the partition that the message is for.
func (m jobMessage) of() model.Partition { return m.Partition }

// decoded turns a typed handler into one that decodes its message.
func decoded[In any](h func(ctx context.Context, from model.InstanceID, in In) (any, error)) peer.Handler {
	return func(ctx context.Context, from model.InstanceID, body []byte) (any, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "undecodable message: %v", err)
		}
		return h(ctx, from, in)
	}
}

// owned turns a handler of a partition's owner into one that refuses calls for partitions
// that this instance does not hold.
func owned[In any](r *Router, of func(In) model.Partition,
	h func(ctx context.Context, o *partition.Owner, in In) (any, error)) peer.Handler {
	return decoded(func(ctx context.Context, _ model.InstanceID, in In) (any, error) {
		o, ok := r.cfg.Manager.Held(of(in))
		if !ok {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonNotOwner,
				"instance %s does not own partition %d", r.cfg.Self, of(in))
		}
		return h(ctx, o, in)
	})
}

// handleRelease hands a partition over and answers when that is done.
func (r *Router) handleRelease(ctx context.Context, _ model.InstanceID, m releaseMessage) (any, error) {
	r.cfg.Manager.Release(ctx, m.Partition)
	return empty{}, nil
}

// handleSummaries takes the summaries of another instance.
func (r *Router) handleSummaries(_ context.Context, _ model.InstanceID, m summariesMessage) (any, error) {
	r.summaries.add(m.Summaries)
	return empty{}, nil
}

// handleExplain answers with this instance's entries about a subject.
func (r *Router) handleExplain(_ context.Context, _ model.InstanceID, m trailMessage) (any, error) {
	return trailReply{Entries: r.cfg.Trail.Subject(m.Subject)}, nil
}

// handleRecent answers with this instance's newest entries.
func (r *Router) handleRecent(_ context.Context, _ model.InstanceID, m trailMessage) (any, error) {
	return trailReply{Entries: r.cfg.Trail.Recent(m.Limit)}, nil
}

// trailOf asks another instance for its part of the trail.
func (r *Router) trailOf(ctx context.Context, addr string, kind peer.Kind, m trailMessage) ([]audit.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply trailReply
	err := r.cfg.Pool.Call(ctx, addr, kind, m, &reply)
	return reply.Entries, err
}
