package cluster

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/membership"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/peer"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Explain returns the audit entries about a request key or job in chronological order: those
// from the ledgers and those from the audit trails of all reachable instances. It also returns
// the instances that did not respond. If the ledgers cannot be read, it returns the other
// entries together with the error.
func (r *Router) Explain(ctx context.Context, subject string) ([]audit.Entry, []model.InstanceID, error) {
	entries := r.cfg.Trail.Subject(subject)
	remote, unreachable := r.queryOthers(ctx, KindExplain, auditMessage{Subject: subject})
	entries = append(entries, remote...)
	durable, err := r.durableEntries(ctx, subject)
	entries = append(entries, durable...)
	if err == nil && len(entries) == 0 {
		return nil, unreachable, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "no entries found for %s", subject)
	}
	sortEntries(entries)
	return entries, unreachable, err
}

// Recent returns the newest audit entries of all reachable instances, and the instances that
// did not respond.
func (r *Router) Recent(ctx context.Context, limit int) ([]audit.Entry, []model.InstanceID, error) {
	entries := r.cfg.Trail.Recent(limit)
	remote, unreachable := r.queryOthers(ctx, KindRecentEntries, auditMessage{Limit: limit})
	entries = append(entries, remote...)
	sortEntries(entries)
	if len(entries) > limit {
		entries = entries[len(entries)-limit:]
	}
	return entries, unreachable, nil
}

// sortEntries orders entries by time.
func sortEntries(entries []audit.Entry) {
	slices.SortStableFunc(entries, func(a, b audit.Entry) int { return a.At.Compare(b.At) })
}

// queryOthers calls all other instances concurrently. It returns their audit entries and the IDs
// of the instances that did not respond.
func (r *Router) queryOthers(ctx context.Context, kind peer.Kind, m auditMessage) ([]audit.Entry, []model.InstanceID) {
	others := r.otherMembers()
	replies := make([][]audit.Entry, len(others))
	failed := make([]bool, len(others))
	var wg sync.WaitGroup
	for i, member := range others {
		wg.Go(func() {
			entries, err := r.remoteEntries(ctx, member.PeerAddr, kind, m)
			replies[i] = entries
			failed[i] = err != nil
		})
	}
	wg.Wait()
	return slices.Concat(replies...), failedMembers(others, failed)
}

// failedMembers returns the IDs of the members whose call failed.
func failedMembers(members []membership.Member, failed []bool) []model.InstanceID {
	var ids []model.InstanceID
	for i, m := range members {
		if failed[i] {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// durableEntries returns the entries about the subject from the ledgers: the history of a job,
// or the claim of a request key.
func (r *Router) durableEntries(ctx context.Context, subject string) ([]audit.Entry, error) {
	f, err := r.findJob(ctx, model.JobID(subject))
	if err == nil {
		return jobEntries(subject, f), nil
	}
	if !isUnknown(err) {
		return nil, err
	}
	claim, ok, err := r.lookupClaim(ctx, model.RequestKey(subject))
	if err != nil || !ok {
		return nil, err
	}
	return claimEntries(subject, claim), nil
}

// isUnknown reports whether the error says that the ID does not exist.
func isUnknown(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Reason == verdict.ReasonUnknownID
}

// lookupClaim returns the claim of a request key in the ledger, if there is one.
func (r *Router) lookupClaim(ctx context.Context, key model.RequestKey) (ledger.Claim, bool, error) {
	p, err := r.partitionOf(string(key))
	if err != nil {
		return ledger.Claim{}, false, err
	}
	reply, err := getClaim.invoke(ctx, r, getClaimMessage{Partition: p, Key: key})
	return reply.Claim, reply.Found, err
}

// jobEntries converts the history of a job to audit entries.
func jobEntries(subject string, f locatedJob) []audit.Entry {
	entries := make([]audit.Entry, 0, len(f.history))
	for _, step := range f.history {
		entries = append(entries, audit.Entry{
			At:       step.At,
			Instance: step.Instance,
			Subject:  subject,
			Event:    "job." + step.Kind.String(),
			Reason:   step.Reason,
			Worker:   step.Worker,
			Attempt:  step.Attempt,
			After:    step.State,
			Durable:  f.durable,
		})
	}
	return entries
}

// claimEntries converts a claim to audit entries.
func claimEntries(subject string, c ledger.Claim) []audit.Entry {
	entries := []audit.Entry{{
		At:       c.ClaimedAt,
		Instance: instanceOf(c.Holder),
		Subject:  subject,
		Event:    "request.claim-taken",
		Durable:  true,
	}}
	if c.State != ledger.ClaimSettled {
		entries[0].Verdict = verdict.MayHaveRun.String()
		entries[0].Reason = "the outcome is not known: the claim has not been settled"
		return entries
	}
	entries[0].Verdict = c.Verdict.String()
	return entries
}

// instanceOf returns the instance ID in the holder of a claim. The holder has the form
// instance/number, where the instance chooses the number.
func instanceOf(holder model.InstanceID) model.InstanceID {
	instance, _, _ := strings.Cut(string(holder), "/")
	return model.InstanceID(instance)
}
