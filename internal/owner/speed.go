package owner

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// The owner decides for all workers, so its machine should be one of the fast ones. Slower
// machines campaign later, and an owner on a slow machine hands over when a fast one asks.

const (
	// muchSlower is the part of another machine's speed below which a machine gives way.
	muchSlower = 0.75
	// slowCampaign is how much later slow machines campaign.
	slowCampaign = 90 * time.Millisecond
	// yieldPause is how long an instance that has handed over leaves campaigns to others.
	yieldPause = 700 * time.Millisecond
	// askDelay is the age of a claim at which a faster machine asks for it, and maxAskSpread
	// spreads the askers.
	askDelay     = 600 * time.Millisecond
	maxAskSpread = 400 * time.Millisecond
	// askTimeout bounds the request.
	askTimeout = time.Second
)

// handicap returns how much later than others this instance campaigns.
func (o *Owner) handicap(now time.Time) time.Duration {
	if sinceYield := now.Sub(time.Unix(0, o.yielded.Load())); sinceYield < yieldPause {
		return yieldPause - sinceYield
	}
	if o.opts.Speed < muchSlower*math.Float64frombits(o.fastest.Load()) {
		return slowCampaign
	}
	return 0
}

// compareSpeed notes the speed of an owner, and asks one that is much slower than this
// machine to hand over.
func (o *Owner) compareSpeed(c Claim) {
	if speed := max(c.Speed, c.YieldToSpeed); speed > math.Float64frombits(o.fastest.Load()) {
		o.fastest.Store(math.Float64bits(speed))
	}
	if o.opts.AskToYield == nil || c.YieldToSpeed > 0 || c.Speed == 0 || c.Speed >= muchSlower*o.opts.Speed || c.Instance == o.opts.Instance {
		return
	}
	time.AfterFunc(askDelay+rand.N(maxAskSpread), func() { o.askToYield(c) })
}

// askToYield asks the owner to hand over if it still is the owner and this instance may
// take over.
func (o *Owner) askToYield(c Claim) {
	now := o.claim.Load()
	if now == nil || now.Epoch != c.Epoch || o.resign.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	err := o.opts.AskToYield(ctx, c)
	o.log.Info().Str("event", "owner.asked-to-yield").Str("owner", c.Instance).Int64("epoch", c.Epoch).
		Float64("speed", c.Speed).Float64("own-speed", o.opts.Speed).AnErr("failed", err).Send()
}

// Yield hands over to a faster machine of the given speed that asks for it. It reports
// whether this instance led with the epoch.
func (o *Owner) Yield(ctx context.Context, epoch int64, speed float64) bool {
	l := o.leading.Load()
	if l == nil || l.epoch != epoch {
		return false
	}
	o.yielded.Store(time.Now().UnixNano())
	// The claim says so first, so that other slow machines campaign later.
	c := l.won.claim
	c.YieldToSpeed = speed
	_, err := o.store.Commit(ctx, kv.Txn{
		If:  []kv.Condition{{Key: claimKey, Rev: l.won.commitRev}},
		Set: []kv.Write{{Key: claimKey, Value: encode(c), Lease: l.won.lease}},
	})
	if err != nil {
		o.log.Warn().Str("event", "owner.yield-not-announced").Int64("epoch", epoch).Err(err).Send()
	}
	l.end("a faster machine takes over")
	return true
}
