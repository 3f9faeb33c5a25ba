package cluster

import (
	"context"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Register registers the handlers for calls from other instances.
func (r *Router) Register(s *peer.Server) {
	submitJob.serve(r, s)
	cancelJob.serve(r, s)
	resumeJob.serve(r, s)
	getJob.serve(r, s)
	listJobs.serve(r, s)
	acceptTransfer.serve(r, s)
	claimKey.serve(r, s)
	settleClaim.serve(r, s)
	getClaim.serve(r, s)
	s.Handle(KindReleasePartition, typedHandler(r.handleRelease))
	s.Handle(KindSummaries, typedHandler(r.handleSummaries))
	s.Handle(KindExplain, typedHandler(r.handleExplain))
	s.Handle(KindRecentEntries, typedHandler(r.handleRecent))
}

// typedHandler returns a peer.Handler that decodes the message and calls h.
func typedHandler[In any](h func(ctx context.Context, in In) (any, error)) peer.Handler {
	return func(ctx context.Context, _ model.InstanceID, body []byte) (any, error) {
		var in In
		if err := peer.Decode(body, &in); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "cannot decode message: %v", err)
		}
		return h(ctx, in)
	}
}

// handleRelease releases a partition and replies when that is done.
func (r *Router) handleRelease(ctx context.Context, m releaseMessage) (any, error) {
	r.cfg.Manager.Release(ctx, m.Partition)
	return empty{}, nil
}

// handleSummaries adds the summaries of another instance.
func (r *Router) handleSummaries(_ context.Context, m summariesMessage) (any, error) {
	r.summaries.add(m.Summaries)
	return empty{}, nil
}

// handleExplain returns this instance's audit entries about a subject.
func (r *Router) handleExplain(_ context.Context, m auditMessage) (any, error) {
	return auditReply{Entries: r.cfg.Trail.Subject(m.Subject)}, nil
}

// handleRecent returns this instance's newest audit entries.
func (r *Router) handleRecent(_ context.Context, m auditMessage) (any, error) {
	return auditReply{Entries: r.cfg.Trail.Recent(m.Limit)}, nil
}

// remoteEntries calls another instance for entries of its audit trail.
func (r *Router) remoteEntries(ctx context.Context, addr string, kind peer.Kind, m auditMessage) ([]audit.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply auditReply
	err := r.cfg.Pool.Call(ctx, addr, kind, m, &reply)
	return reply.Entries, err
}
