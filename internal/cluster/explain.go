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

// Explain returns all that is known of a request key or job, in order of time: the durable
// steps from the ledgers and the entries of every instance that can be reached. If the
// ledgers can't be read it returns the other entries together with the error.
func (r *Router) Explain(ctx context.Context, subject string) ([]audit.Entry, []model.InstanceID, error) {
	entries := r.cfg.Trail.Subject(subject)
	remote, unreachable := r.gather(ctx, KindExplain, trailMessage{Subject: subject})
	entries = append(entries, remote...)
	durable, err := r.durable(ctx, subject)
	entries = append(entries, durable...)
	if err == nil && len(entries) == 0 {
		return nil, unreachable, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "nothing is known of %s", subject)
	}
	sortEntries(entries)
	return entries, unreachable, err
}

// Recent returns the newest entries of all instances that can be reached.
func (r *Router) Recent(ctx context.Context, limit int) ([]audit.Entry, []model.InstanceID, error) {
	entries := r.cfg.Trail.Recent(limit)
	remote, unreachable := r.gather(ctx, KindRecentEntries, trailMessage{Limit: limit})
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

// gather asks all other instances at once and names those that did not answer.
func (r *Router) gather(ctx context.Context, kind peer.Kind, m trailMessage) ([]audit.Entry, []model.InstanceID) {
	others := r.others()
	replies := make([][]audit.Entry, len(others))
	failed := make([]bool, len(others))
	var wg sync.WaitGroup
	for i, member := range others {
		wg.Go(func() {
			entries, err := r.trailOf(ctx, member.PeerAddr, kind, m)
			replies[i] = entries
			failed[i] = err != nil
		})
	}
	wg.Wait()
	return slices.Concat(replies...), failedMembers(others, failed)
}

// failedMembers returns the ids of the members whose call failed.
func failedMembers(members []membership.Member, failed []bool) []model.InstanceID {
	var ids []model.InstanceID
	for i, m := range members {
		if failed[i] {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// durable returns the steps of the subject that outlive instances: the history of a job,
// or the claim of a request key.
func (r *Router) durable(ctx context.Context, subject string) ([]audit.Entry, error) {
	f, err := r.find(ctx, model.JobID(subject))
	if err == nil {
		return jobEntries(subject, f), nil
	}
	if !isUnknown(err) {
		return nil, err
	}
	claim, ok, err := r.claimed(ctx, model.RequestKey(subject))
	if err != nil || !ok {
		return nil, err
	}
	return claimEntries(subject, claim), nil
}

// isUnknown reports whether the error says that the id does not exist.
func isUnknown(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Reason == verdict.ReasonUnknownID
}

// claimed returns what the ledger knows of a request key.
func (r *Router) claimed(ctx context.Context, key model.RequestKey) (ledger.Claim, bool, error) {
	p, err := r.partitionOf(string(key))
	if err != nil {
		return ledger.Claim{}, false, err
	}
	reply, err := readClaim.invoke(ctx, r, claimedMessage{Partition: p, Key: key})
	return reply.Claim, reply.Found, err
}

// jobEntries turns the durable history of a job into entries.
func jobEntries(subject string, f found) []audit.Entry {
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
			Durable:  f.settled,
		})
	}
	return entries
}

// claimEntries turns a claim into entries.
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

// instanceOf returns the instance in the holder of a claim, which the claimer extends by a
// number of its own.
func instanceOf(holder model.InstanceID) model.InstanceID {
	instance, _, _ := strings.Cut(string(holder), "/")
	return model.InstanceID(instance)
}
