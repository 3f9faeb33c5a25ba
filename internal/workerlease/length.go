// Package workerlease decides how long a lease the renewals of a worker request.
//
// The tasks of a worker that falls silent are restarted elsewhere only after its lease has certainly ended, so a long lease
// keeps them down for long. A short one lapses while a new owner takes over, or while renewals go unanswered. So a short
// lease is requested only from workers whose tasks have to be up all the time, and only while the owner sees no trouble of
// its own; it still outlasts a take-over.
package workerlease

import "time"

const (
	// renewalRetries is how long a renewal without an answer is repeated until the worker counts as out of contact.
	renewalRetries = 750 * time.Millisecond
	// takeOverWork is the time from the end of a claim until the next owner, with its machine at full load, has renewed the
	// leases of its workers.
	takeOverWork = 1800 * time.Millisecond
	// confirmedPart is the part of its time, in percent, within which the claim must have been confirmed. It is renewed after
	// a quarter, so that the store answers fast.
	confirmedPart = 40
)

// Conditions are the conditions under which a renewal is sent.
type Conditions struct {
	// Longest is the longest lease that the owner requests.
	Longest time.Duration
	// ClaimTTL is how long the claim of an owner outlives it.
	ClaimTTL time.Duration
	// ReportWait is how long the worker may wait before it answers; the next renewal follows the answer.
	ReportWait time.Duration
	// LongRunning is set if the worker runs long-running tasks.
	LongRunning bool
	// SinceTakeOver is how long the owner has led.
	SinceTakeOver time.Duration
	// SinceConfirmed is how long ago the owner sent the last renewal of its claim that the store has confirmed.
	SinceConfirmed time.Duration
	// Overloaded is set while requests of the owner wait for processor time.
	Overloaded bool
	// LosesAnswers is set if answers of the worker have been lost lately.
	LosesAnswers bool
}

// Length returns the length of the lease to request.
func Length(c Conditions) time.Duration {
	if !c.LongRunning || !c.isOwnerCalm() || c.LosesAnswers {
		return c.Longest
	}
	return min(c.Longest, c.ReportWait+renewalRetries+c.ClaimTTL+takeOverWork)
}

// isOwnerCalm reports whether nothing suggests that a take-over would last longer than usual. While leases of a former owner
// may last, another take-over may follow soon; and without the store there is none at all.
func (c Conditions) isOwnerCalm() bool {
	return !c.Overloaded && c.SinceTakeOver >= c.Longest && c.SinceConfirmed <= c.ClaimTTL*confirmedPart/100
}

// RenewalInterval returns the time after which the renewal of a lease of the given length is urgent. Most of the lease is
// left then, since many tries may be needed.
func RenewalInterval(lease time.Duration) time.Duration { return lease / 3 }
