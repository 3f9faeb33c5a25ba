package owner

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// The owner makes the decisions for all workers, so it should run on one of the fast machines.
// Instances on slower machines delay their campaigns, and an owner on a slow machine hands over
// when an instance on a faster one requests it.

const (
	// minSpeedRatio is the part of another machine's speed below which a machine counts as slower.
	minSpeedRatio = 0.75
	// slowCampaignDelay is the extra delay of campaigns on slow machines.
	slowCampaignDelay = 90 * time.Millisecond
	// yieldBackoff is how long an instance does not campaign after it has handed over.
	yieldBackoff = 700 * time.Millisecond
	// yieldRequestDelay is how long a faster machine waits after it has seen a claim before it
	// requests the handover. maxYieldRequestJitter bounds a random addition, which keeps several
	// machines from requesting it at the same time.
	yieldRequestDelay     = 600 * time.Millisecond
	maxYieldRequestJitter = 400 * time.Millisecond
	// yieldRequestTimeout bounds the request for a handover.
	yieldRequestTimeout = time.Second
)

// extraCampaignDelay returns how long this instance waits with a campaign in addition to the random
// delay.
func (o *Owner) extraCampaignDelay(now time.Time) time.Duration {
	if last := o.lastYield.Load(); last != nil && now.Sub(*last) < yieldBackoff {
		return yieldBackoff - now.Sub(*last)
	}
	if o.opts.Speed < minSpeedRatio*math.Float64frombits(o.maxSpeed.Load()) {
		return slowCampaignDelay
	}
	return 0
}

// compareSpeed records the speed of an owner, and schedules a request for a handover if the owner's
// machine is slower than this one by more than minSpeedRatio allows.
func (o *Owner) compareSpeed(c Claim) {
	if speed := max(c.Speed, c.YieldToSpeed); speed > math.Float64frombits(o.maxSpeed.Load()) {
		o.maxSpeed.Store(math.Float64bits(speed))
	}
	if o.opts.AskToYield == nil || c.YieldToSpeed > 0 || c.Speed == 0 || c.Speed >= minSpeedRatio*o.opts.Speed || c.Instance == o.opts.Instance {
		return
	}
	time.AfterFunc(yieldRequestDelay+rand.N(maxYieldRequestJitter), func() { o.requestYield(c) })
}

// requestYield asks the owner to hand over, unless the claim has changed or this instance has
// resigned.
func (o *Owner) requestYield(c Claim) {
	current := o.claim.Load()
	if current == nil || current.Epoch != c.Epoch || o.resign.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), yieldRequestTimeout)
	defer cancel()
	err := o.opts.AskToYield(ctx, c)
	o.log.Info().Str("event", "owner.asked-to-yield").Str("owner", c.Instance).Int64("epoch", c.Epoch).
		Float64("speed", c.Speed).Float64("own-speed", o.opts.Speed).AnErr("failed", err).Send()
}

// Yield hands over to a faster machine of the given speed. It returns false if this instance does
// not lead with the epoch.
func (o *Owner) Yield(ctx context.Context, epoch int64, speed float64) bool {
	l := o.leading.Load()
	if l == nil || l.epoch != epoch {
		return false
	}
	now := time.Now()
	o.lastYield.Store(&now)
	// The speed is announced in the claim first, so that other slow machines delay their campaigns.
	c := l.held.claim
	c.YieldToSpeed = speed
	_, err := o.store.Commit(ctx, kv.Txn{
		If:  []kv.Condition{{Key: claimKey, Rev: l.held.commitRev}},
		Set: []kv.Write{{Key: claimKey, Value: encode(c), Lease: l.held.lease}},
	})
	if err != nil {
		o.log.Warn().Str("event", "owner.yield-not-announced").Int64("epoch", epoch).Err(err).Send()
	}
	l.stepDown("a faster machine takes over")
	return true
}
