package route

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// maxPendingSettlements bounds the claims that are being settled in the background.
	maxPendingSettlements = 4096
	// settleRetryPeriod bounds the time during which the settlement of one claim is retried.
	settleRetryPeriod = 30 * time.Second
	// settleTimeout bounds one call that settles a claim.
	settleTimeout = 2 * time.Second
	// settleRetryInterval is the pause between two such calls.
	settleRetryInterval = 500 * time.Millisecond
)

// executeClaimed executes a request that needs a claim: it claims the key, sends the request and
// settles the claim in the background. A request that would not be queued is refused before the
// claim, which saves a write to the store. The execution continues when the caller cancels the
// request, because the claim is settled with its outcome.
func (a *activeRequest) executeClaimed(ctx context.Context) (Response, *verdict.Error) {
	if err := a.pool.checkAdmission(a.request.Deadline); err != nil {
		return Response{}, err
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), a.request.Deadline)
	defer cancel()
	holder := a.dispatcher.settler.newHolder()
	if err := a.claim(ctx, holder); err != nil {
		return Response{}, err
	}
	a.record("request.claimed", auditDetail{})
	resp, err := a.execute(ctx)
	v := verdict.Ran
	if err != nil {
		v = err.Verdict
	}
	a.dispatcher.settler.settleInBackground(a.request.Key, holder, v)
	return resp, err
}

// claim claims the key of the request. Nothing is sent without the claim, so every failure except
// a claim by another holder has the verdict NotRun.
func (a *activeRequest) claim(ctx context.Context, holder model.InstanceID) *verdict.Error {
	c, err := a.dispatcher.claims.Claim(ctx, ledger.ClaimRequest{
		Key:       a.request.Key,
		Holder:    holder,
		Exclusive: a.request.Class == model.Exclusive,
		Deadline:  a.request.Deadline,
	})
	if err == nil {
		if c.State == ledger.ClaimOpen && c.Holder == holder {
			return nil
		}
		return claimedKeyError(c)
	}
	refusal := verdict.From(err, verdict.ReasonStoreUnavailable)
	switch {
	case refusal.Reason == verdict.ReasonDuplicate:
		return duplicateClaimError(c, refusal)
	case refusal.Verdict == verdict.NotRun:
		return refusal
	}
	// The claim may have been recorded. Settling it as NotRun releases the key.
	a.dispatcher.settler.settleInBackground(a.request.Key, holder, verdict.NotRun)
	return verdict.New(verdict.NotRun, refusal.Reason, "the request was not sent, because its claim is not confirmed: %s", refusal.Message)
}

// claimedKeyError returns the error for a request whose key was claimed by another request, with the
// verdict of that request.
func claimedKeyError(c ledger.Claim) *verdict.Error {
	v := verdict.MayHaveRun
	if c.State == ledger.ClaimSettled {
		v = c.Verdict
	}
	return verdict.New(v, verdict.ReasonDuplicate, "key %s was claimed at %s", c.Key, c.ClaimedAt.Format(time.RFC3339))
}

// duplicateClaimError returns the error for a claim that was refused because the claim c of an
// earlier request holds the key. The caller is told the verdict of the earlier request. If c is not
// known (its state is 0), a refusal with NotRun becomes MayHaveRun: NotRun is the verdict of this
// request only, and the earlier one may have been executed.
func duplicateClaimError(c ledger.Claim, refusal *verdict.Error) *verdict.Error {
	if c.State != 0 {
		return claimedKeyError(c)
	}
	if refusal.Verdict == verdict.NotRun {
		return verdict.New(verdict.MayHaveRun, refusal.Reason, "%s", refusal.Message)
	}
	return refusal
}

// settler settles claims in the background.
type settler struct {
	claims       Claims
	holderPrefix string
	log          zerolog.Logger
	// lastHolder is the number in the last holder that newHolder returned.
	lastHolder atomic.Uint64
	// semaphore holds one element for each settlement in progress, at most maxPendingSettlements.
	semaphore chan struct{}
	running   sync.WaitGroup
}

// newSettler returns a settler whose holders begin with holderPrefix, which must be unique.
func newSettler(claims Claims, holderPrefix string, log zerolog.Logger) *settler {
	return &settler{claims: claims, holderPrefix: holderPrefix, log: log, semaphore: make(chan struct{}, maxPendingSettlements)}
}

// newHolder returns a holder that no other claim has, so that a delayed settlement cannot release
// the claim of a later request with the same key. It is the prefix, which begins with the id of the
// instance, and a number. Holders have the type InstanceID, but identify a claim and not an
// instance, see ledger.ClaimRequest.
func (s *settler) newHolder() model.InstanceID {
	return model.InstanceID(s.holderPrefix + strconv.FormatUint(s.lastHolder.Add(1), 10))
}

// settleInBackground starts the settlement of the claim. While a claim is open, its partition
// refuses further requests with the key. A claim that is never settled here is settled by the
// ledger as MayHaveRun some minutes after its deadline, see ledger.Ledger.Expire.
func (s *settler) settleInBackground(key model.RequestKey, holder model.InstanceID, v verdict.Verdict) {
	select {
	case s.semaphore <- struct{}{}:
	default:
		s.log.Warn().Str("key", string(key)).Msg("claim not settled: too many settlements are waiting")
		return
	}
	s.running.Go(func() {
		defer func() { <-s.semaphore }()
		s.settle(key, holder, v)
	})
}

// settle retries until the claim is settled or settleRetryPeriod has passed. It does not use the
// context of the request, because that ends when the request is answered, before the settlement.
func (s *settler) settle(key model.RequestKey, holder model.InstanceID, v verdict.Verdict) {
	ctx, cancel := context.WithTimeout(context.Background(), settleRetryPeriod)
	defer cancel()
	for {
		err := s.settleOnce(ctx, key, holder, v)
		if err == nil {
			return
		}
		select {
		case <-time.After(settleRetryInterval):
		case <-ctx.Done():
			s.log.Warn().Err(err).Str("key", string(key)).Msg("claim not settled")
			return
		}
	}
}

// settleOnce makes one call that settles the claim.
func (s *settler) settleOnce(ctx context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return s.claims.Settle(ctx, key, holder, v)
}

// wait returns after all settlements have ended.
func (s *settler) wait() { s.running.Wait() }
