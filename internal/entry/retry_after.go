package entry

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is asked to return.
	minRetryAfter = time.Second
	maxRetryAfter = 8 * time.Second
	// triesWithinWait is how many more tries a caller should be able to make while it waits.
	triesWithinWait = 4
	// retryAfterSpread is the part by which the time differs between callers, so that they do not all
	// return at the moment at which an outage ends.
	retryAfterSpread = 0.25
)

// RetryAfter returns how long a refused caller should wait before its next try. wait is how much longer the
// caller waits for its result, 0 if that is not known.
func (i *Instance) RetryAfter(wait time.Duration) time.Duration {
	return retryAfter(i.watcher.sinceContact(), wait, 2*rand.Float64()-1)
}

// retryAfter follows the length of the outage so far: the longer it has lasted, the longer it is likely to
// last. A caller that waits for a short time only is asked to return often enough to find the end of the
// outage within that time. spread is from -1 to 1.
func retryAfter(outage, wait time.Duration, spread float64) time.Duration {
	after := time.Duration(float64(outage) * (1 + retryAfterSpread*spread))
	if wait > 0 {
		after = min(after, wait/triesWithinWait)
	}
	return min(max(after, minRetryAfter), maxRetryAfter)
}
