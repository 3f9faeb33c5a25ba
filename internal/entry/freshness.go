package entry

import (
	"math"
	"sync/atomic"
	"time"
)

// freshness tells when the configuration in force was last known to be the newest. Times are on the boot clock, so that neither a
// suspension of the machine nor a change of its time of day makes the configuration look newer. The zero value knows of no such
// time.
type freshness struct {
	confirmedAt atomic.Int64 // nanoseconds; 0 for never
}

// confirm notes that the configuration in force was the newest at a time or later. That is when the read that shows it was sent,
// not when it was answered.
func (f *freshness) confirm(sent time.Duration) {
	if int64(sent) > f.confirmedAt.Load() {
		f.confirmedAt.Store(int64(sent))
	}
}

// neverConfirmed is the age of a configuration that was never known to be the newest.
const neverConfirmed = time.Duration(math.MaxInt64)

// age returns how long ago, at most, the configuration in force was the newest.
func (f *freshness) age(now time.Duration) time.Duration {
	confirmedAt := time.Duration(f.confirmedAt.Load())
	if confirmedAt == 0 {
		return neverConfirmed
	}
	return now - confirmedAt
}

const (
	// revocationClockShare is the part of the revocation bound that allows for a slow clock of this machine.
	revocationClockShare = 0.03
	// revocationMargin is the part of the bound that allows for a clock that is read late.
	revocationMargin = 200 * time.Millisecond
	// maxDenialAge is the age of the configuration up to which an API key that it lacks is taken as unknown. In an older one, a new
	// key may be missing.
	maxDenialAge = 2 * time.Second
)

// revocationLimit bounds the age of the configuration by which API keys are accepted.
type revocationLimit struct {
	bounded bool
	// maxAge may be negative, so that no key is ever accepted.
	maxAge time.Duration
}

// newRevocationLimit returns the limit that keeps a bound on the time for which revoked keys are accepted; 0 is no bound.
func newRevocationLimit(bound time.Duration) revocationLimit {
	if bound <= 0 {
		return revocationLimit{}
	}
	return revocationLimit{bounded: true, maxAge: time.Duration(float64(bound)*(1-revocationClockShare)) - revocationMargin}
}

// allows reports whether keys may be accepted by a configuration of an age.
func (l revocationLimit) allows(age time.Duration) bool { return !l.bounded || age < l.maxAge }

// maxUnconfirmed returns the age of the configuration from which on it is listed anew instead of watched. It is low enough for the
// configuration to accept keys, and to take others as unknown, as long as the store answers.
func (l revocationLimit) maxUnconfirmed() time.Duration {
	if !l.bounded {
		return maxDenialAge
	}
	return min(maxDenialAge, max(l.maxAge/2, time.Millisecond))
}
