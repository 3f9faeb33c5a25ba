package cluster

import (
	"context"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Register installs the handlers for calls from other instances.
func (r *Router) Register(s *peer.Server) {
	submit.serve(r, s)
	cancel.serve(r, s)
	resume.serve(r, s)
	readJob.serve(r, s)
	listJobs.serve(r, s)
	accept.serve(r, s)
	claim.serve(r, s)
	settle.serve(r, s)
	readClaim.serve(r, s)
	s.Handle(KindReleasePartition, decoded(r.handleRelease))
	s.Handle(KindSummaries, decoded(r.handleSummaries))
	s.Handle(KindExplain, decoded(r.handleExplain))
	s.Handle(KindRecentEntries, decoded(r.handleRecent))
}

// decoded turns a typed handler into one that decodes its message.
func decoded[In any](h func(ctx context.Context, in In) (any, error)) peer.Handler {
	return func(ctx context.Context, _ model.InstanceID, body []byte) (any, error) {
		var in In
		if err := peer.Decode(body, &in); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "undecodable message: %v", err)
		}
		return h(ctx, in)
	}
}

// handleRelease hands a partition over and answers when that is done.
func (r *Router) handleRelease(ctx context.Context, m releaseMessage) (any, error) {
	r.cfg.Manager.Release(ctx, m.Partition)
	return empty{}, nil
}

// handleSummaries takes the summaries of another instance.
func (r *Router) handleSummaries(_ context.Context, m summariesMessage) (any, error) {
	r.summaries.add(m.Summaries)
	return empty{}, nil
}

// handleExplain answers with this instance's entries about a subject.
func (r *Router) handleExplain(_ context.Context, m trailMessage) (any, error) {
	return trailReply{Entries: r.cfg.Trail.Subject(m.Subject)}, nil
}

// handleRecent answers with this instance's newest entries.
func (r *Router) handleRecent(_ context.Context, m trailMessage) (any, error) {
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
