package owner

import "time"

const (
	// cooldownFactor is the length of the cooldown as a multiple of the time that the decision
	// took. Under load, this makes more events share a decision and leaves processor time for calls
	// and responses.
	cooldownFactor = 2
	// minCooldown bounds the number of decisions a second, as each costs something however little there is to decide.
	minCooldown = 4 * time.Millisecond
	// maxCooldown limits the cooldown, so that a slow machine still decides several times a second.
	maxCooldown = 40 * time.Millisecond
	// overloadFactor and maxOverloadCooldown replace cooldownFactor and maxCooldown while requests to workers wait for processor
	// time: what is decided would wait, too.
	overloadFactor      = 4
	maxOverloadCooldown = 125 * time.Millisecond
)

// cooldown enforces a pause after each decision, in proportion to the time that the decision took.
type cooldown struct {
	until time.Time
	timer <-chan time.Time
}

// due fires when the cooldown that delayed a decision has ended.
func (c *cooldown) due() <-chan time.Time { return c.timer }

// elapsed reports whether a decision may be made now. If not, due fires once it may.
func (c *cooldown) elapsed(now time.Time) bool {
	if wait := c.until.Sub(now); wait > 0 {
		if c.timer == nil {
			c.timer = time.After(wait)
		}
		return false
	}
	c.timer = nil
	return true
}

// start begins the cooldown of a decision that lasted from began to now. overloaded says that requests wait for processor
// time.
func (c *cooldown) start(began, now time.Time, overloaded bool) {
	factor, most := cooldownFactor, maxCooldown
	if overloaded {
		factor, most = overloadFactor, maxOverloadCooldown
	}
	took := now.Sub(began)
	c.until = now.Add(min(max(time.Duration(factor)*took, minCooldown), most))
}
