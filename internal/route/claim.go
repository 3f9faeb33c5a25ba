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
	// maxSettling bounds the claims that are being settled in the background.
	maxSettling = 4096
	// settlePeriod bounds the tries to settle one claim.
	settlePeriod = 30 * time.Second
	// settleTimeout bounds one try.
	settleTimeout = 2 * time.Second
	// settlePause is the pause between two tries.
	settlePause = 500 * time.Millisecond
)

// executeClaimed claims the key of the request, sends it, and settles the claim in the
// background. A request that would not be queued is refused before its claim costs a write
// to the store. The caller's departure does not end the attempt, because its outcome is
// needed for the claim.
func (f *flight) executeClaimed(ctx context.Context) (Response, *verdict.Error) {
	if err := f.pool.precheck(f.r.Deadline); err != nil {
		return Response{}, err
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), f.r.Deadline)
	defer cancel()
	holder := f.d.settler.newHolder()
	if err := f.claim(ctx, holder); err != nil {
		return Response{}, err
	}
	f.record("request.claimed", entryDetail{})
	resp, err := f.execute(ctx)
	v := verdict.Ran
	if err != nil {
		v = err.Verdict
	}
	f.d.settler.finish(f.r.Key, holder, v)
	return resp, err
}

// claim takes the claim. Without it nothing is sent, so that every failure but that of
// another holder proves that this request was not executed.
func (f *flight) claim(ctx context.Context, holder model.InstanceID) *verdict.Error {
	c, err := f.d.claims.Claim(ctx, ledger.ClaimRequest{
		Key:       f.r.Key,
		Holder:    holder,
		Exclusive: f.r.Class == model.Exclusive,
		Deadline:  f.r.Deadline,
	})
	if err == nil && c.State == ledger.ClaimOpen && c.Holder == holder {
		return nil
	}
	refusal := verdict.From(err, verdict.ReasonStoreUnavailable)
	switch {
	case err == nil:
		return duplicate(c)
	case refusal.Reason == verdict.ReasonDuplicate:
		return duplicateOf(c, refusal)
	case refusal.Verdict == verdict.NotRun:
		return refusal
	}
	// The claim may be recorded. Settling it as not run releases the key.
	f.d.settler.finish(f.r.Key, holder, verdict.NotRun)
	return verdict.New(verdict.NotRun, refusal.Reason, "not sent, because the claim is not confirmed: %s", refusal.Message)
}

// duplicate returns the refusal of a request whose key another request holds or held.
func duplicate(c ledger.Claim) *verdict.Error {
	v := verdict.MayHaveRun
	if c.State == ledger.ClaimSettled {
		v = c.Verdict
	}
	return verdict.New(v, verdict.ReasonDuplicate, "key %s was claimed at %s", c.Key, c.ClaimedAt.Format(time.RFC3339))
}

// duplicateOf returns the refusal that fits a claim that was refused as a duplicate. That
// this claim was refused does not prove that the request with the key was not executed, so
// without the other claim the request may have run.
func duplicateOf(c ledger.Claim, refusal *verdict.Error) *verdict.Error {
	if c.State != 0 {
		return duplicate(c)
	}
	if refusal.Verdict == verdict.NotRun {
		return verdict.New(verdict.MayHaveRun, refusal.Reason, "%s", refusal.Message)
	}
	return refusal
}

// settler settles claims in the background.
type settler struct {
	claims  Claims
	prefix  string
	log     zerolog.Logger
	number  atomic.Uint64
	slots   chan struct{}
	running sync.WaitGroup
}

// newSettler returns a settler whose holders begin with the prefix, which is unique to it.
func newSettler(claims Claims, prefix string, log zerolog.Logger) *settler {
	return &settler{claims: claims, prefix: prefix, log: log, slots: make(chan struct{}, maxSettling)}
}

// newHolder returns a holder that no other claim has. A settlement that is delayed on its
// way can then never release the claim of a later request with the same key.
func (s *settler) newHolder() model.InstanceID {
	return model.InstanceID(s.prefix + strconv.FormatUint(s.number.Add(1), 10))
}

// finish settles the claim in the background. A claim that is not settled stays open at its
// partition, which refuses the key: that is safe.
func (s *settler) finish(key model.RequestKey, holder model.InstanceID, v verdict.Verdict) {
	select {
	case s.slots <- struct{}{}:
	default:
		s.log.Warn().Str("key", string(key)).Msg("claim not settled: too many settlements are waiting")
		return
	}
	s.running.Go(func() {
		defer func() { <-s.slots }()
		s.settle(key, holder, v)
	})
}

// settle tries until the claim is settled or the period is over.
func (s *settler) settle(key model.RequestKey, holder model.InstanceID, v verdict.Verdict) {
	ctx, cancel := context.WithTimeout(context.Background(), settlePeriod)
	defer cancel()
	for {
		err := s.try(ctx, key, holder, v)
		if err == nil {
			return
		}
		select {
		case <-time.After(settlePause):
		case <-ctx.Done():
			s.log.Warn().Err(err).Str("key", string(key)).Msg("claim not settled")
			return
		}
	}
}

// try makes one attempt to settle the claim.
func (s *settler) try(ctx context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return s.claims.Settle(ctx, key, holder, v)
}

// wait returns after all settlements have ended.
func (s *settler) wait() { s.running.Wait() }
