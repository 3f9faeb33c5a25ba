package ledger

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Limits of the claims of one ledger. Every claim is kept longer than the longest deadline of a
// request, so that the claim of a request cannot expire while the request may still execute.
const (
	// MaxClaimDeadline is the longest time from a claim to the deadline of its request.
	MaxClaimDeadline = time.Hour
	// ClaimRetention is how long a claim is kept after its deadline.
	ClaimRetention = 6 * time.Hour
	// claimGracePeriod is how long after its deadline an open claim waits for its settlement, and
	// how long a claim whose key may be granted again is kept after its deadline.
	claimGracePeriod = 5 * time.Minute
)

// ClaimState tells whether the outcome of a claimed request is known.
type ClaimState uint8

const (
	// ClaimOpen is the state of a claim whose request may be executing.
	ClaimOpen ClaimState = iota + 1
	// ClaimSettled is the state of a claim whose outcome, a verdict, was recorded.
	ClaimSettled
)

// Claim records which holder was granted a request key and how the request ended.
type Claim struct {
	Key       model.RequestKey `cbor:"1,keyasint"`
	State     ClaimState       `cbor:"2,keyasint"`
	Holder    model.InstanceID `cbor:"3,keyasint"`
	Exclusive bool             `cbor:"4,keyasint,omitempty"`
	Verdict   verdict.Verdict  `cbor:"5,keyasint,omitempty"`
	ClaimedAt time.Time        `cbor:"6,keyasint"`
	Deadline  time.Time        `cbor:"7,keyasint"`
}

// ClaimRequest asks for a request key.
//
// Holder identifies one claim and not only an instance: the claiming instance appends a number
// of its own, so that a late settlement is never applied to a later claim of the same key. A
// holder that claims a key again is refused. An instance that did not receive the answer to its
// claim repeats it and finds its own holder in the returned Claim if the claim was granted.
type ClaimRequest struct {
	Key       model.RequestKey `cbor:"1,keyasint"`
	Holder    model.InstanceID `cbor:"2,keyasint"`
	Exclusive bool             `cbor:"3,keyasint,omitempty"`
	Deadline  time.Time        `cbor:"4,keyasint"`
}

// Claim grants a request key to one holder. If the key is open, or settled with a verdict that
// forbids another execution, it returns the existing claim and a verdict error with
// ReasonDuplicate. The verdict NotRun of that error is about this request, not the earlier one.
//
// A settled key may be claimed again after NotRun; an exclusive key also after Ran. A key
// settled as MayHaveRun is not granted again: a target that ignores the not-after time may
// still be executing it.
func (l *Ledger) Claim(now time.Time, c ClaimRequest) (Claim, error) {
	if err := checkClaim(now, c); err != nil {
		return Claim{}, err
	}
	known, found := l.claims[c.Key]
	if found && !known.grantable(c) {
		return *known, refuse(verdict.ReasonDuplicate, "key %q is held by %q (%s)", c.Key, known.Holder, known.describe())
	}
	if len(l.claims) >= MaxClaims && !found || l.claimBytes+len(c.Key)+len(c.Holder) > MaxClaimBytes {
		return Claim{}, refuse(verdict.ReasonClaimsExhausted, "partition %d holds %d claims of %d bytes", l.partition, len(l.claims), l.claimBytes)
	}
	if err := l.admit(); err != nil {
		return Claim{}, err
	}
	r := Record{Kind: RecordClaimed, At: now, Key: c.Key, Owner: c.Holder, Exclusive: c.Exclusive, Deadline: c.Deadline}
	if err := l.commit(r); err != nil {
		return Claim{}, err
	}
	return *l.claims[c.Key], nil
}

// checkClaim refuses a claim without a key or holder, and one whose deadline has passed or is
// later than the retention of claims allows.
func checkClaim(now time.Time, c ClaimRequest) error {
	if c.Key == "" || c.Holder == "" {
		return refuse(verdict.ReasonInvalid, "a claim needs a key and a holder")
	}
	if !c.Deadline.After(now) {
		return refuse(verdict.ReasonDeadline, "the deadline of %q has passed", c.Key)
	}
	if c.Deadline.Sub(now) > MaxClaimDeadline {
		return refuse(verdict.ReasonInvalid, "the deadline of %q is more than %s ahead", c.Key, MaxClaimDeadline)
	}
	return nil
}

// grantable reports whether the key may be granted to another request.
func (c *Claim) grantable(r ClaimRequest) bool {
	if c.State != ClaimSettled || c.Holder == r.Holder {
		return false
	}
	return c.repeatable()
}

// repeatable reports whether the settlement allows another execution.
func (c *Claim) repeatable() bool {
	return c.Verdict == verdict.NotRun || c.Exclusive && c.Verdict == verdict.Ran
}

// describe returns the state of the claim as text for error messages.
func (c *Claim) describe() string {
	if c.State == ClaimOpen {
		return "open"
	}
	return c.Verdict.String()
}

func (l *Ledger) applyClaimed(r *Record) error {
	if known, found := l.claims[r.Key]; found && (known.State != ClaimSettled || !known.repeatable()) {
		return r.applyError("the key is %s", known.describe())
	}
	l.removeClaim(r.Key)
	l.addClaim(&Claim{Key: r.Key, State: ClaimOpen, Holder: r.Owner, Exclusive: r.Exclusive, ClaimedAt: r.At, Deadline: r.Deadline})
	return nil
}

// addClaim adds a claim to the table.
func (l *Ledger) addClaim(c *Claim) {
	l.claims[c.Key] = c
	l.claimBytes += len(c.Key) + len(c.Holder)
}

// removeClaim removes the claim of a key, if there is one.
func (l *Ledger) removeClaim(key model.RequestKey) {
	c, found := l.claims[key]
	if !found {
		return
	}
	l.claimBytes -= len(c.Key) + len(c.Holder)
	delete(l.claims, key)
}

// Settle records the outcome of a claimed request. A settlement by another holder changes nothing.
// MayHaveRun may be replaced by NotRun or Ran later. NotRun and Ran are final: a later settlement
// changes nothing.
func (l *Ledger) Settle(now time.Time, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error {
	known, found := l.claims[key]
	if !found || known.Holder != holder {
		return nil
	}
	if known.State == ClaimSettled && (known.Verdict != verdict.MayHaveRun || v == verdict.MayHaveRun) {
		return nil
	}
	return l.commit(Record{Kind: RecordSettled, At: now, Key: key, Owner: holder, Verdict: v})
}

func (l *Ledger) applySettled(r *Record) error {
	known, found := l.claims[r.Key]
	if !found || known.Holder != r.Owner {
		return r.applyError("the key is not held by %q", r.Owner)
	}
	known.State = ClaimSettled
	known.Verdict = r.Verdict
	return nil
}

// expired reports whether the claim is past its retention. An exclusive claim that may have run
// is kept until a settlement proves that its execution has ended.
func (c *Claim) expired(now time.Time) bool {
	switch {
	case c.State == ClaimOpen:
		return false
	case c.repeatable():
		return now.After(c.Deadline.Add(claimGracePeriod))
	case c.Exclusive:
		return false
	}
	return now.After(c.Deadline.Add(ClaimRetention))
}

// abandoned reports whether the claim is still open although its deadline and the grace period
// for its settlement have passed.
func (c *Claim) abandoned(now time.Time) bool {
	return c.State == ClaimOpen && now.After(c.Deadline.Add(claimGracePeriod))
}
