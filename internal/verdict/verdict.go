// Package verdict says whether a request or a task start may have been executed.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict says whether an operation may have been executed.
type Verdict uint8

const (
	// MayHaveRun says that it is unknown whether the operation was executed. It is the zero value,
	// because any other verdict needs proof.
	MayHaveRun Verdict = iota
	// NotRun says that the operation was not executed and never will be by this attempt.
	NotRun
	// Ran says that the operation was executed and its whole outcome is known.
	Ran
)

// String returns the wire form of the verdict.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse reads the wire form. Any unknown text yields MayHaveRun and an error.
func Parse(s string) (Verdict, error) {
	switch s {
	case "not-run":
		return NotRun, nil
	case "ran":
		return Ran, nil
	case "may-have-run":
		return MayHaveRun, nil
	}
	return MayHaveRun, fmt.Errorf("unknown verdict %q", s)
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(b []byte) error {
	parsed, err := Parse(string(b))
	*v = parsed
	return err
}

// Reason is a machine-readable cause of a refusal or failure.
type Reason string

// Reasons appear in replies, logs and metrics. Quota, store failure and overload are separate
// reasons, because an operator reacts to each of them differently.
const (
	ReasonQuota            Reason = "quota-exhausted"
	ReasonOverload         Reason = "overloaded"
	ReasonStoreUnavailable Reason = "store-unavailable"
	ReasonDeadline         Reason = "deadline-exceeded"
	ReasonNoTarget         Reason = "no-target"
	ReasonNotOwner         Reason = "not-owner"
	ReasonDuplicate        Reason = "duplicate-key"
	ReasonInvalid          Reason = "invalid-request"
	ReasonUnfeasible       Reason = "unfeasible"
	ReasonUnknownID        Reason = "unknown-id"
	ReasonTargetFailed     Reason = "target-failed"
	ReasonTruncated        Reason = "truncated-answer"
	ReasonShutdown         Reason = "shutting-down"
	ReasonPeerUnreachable  Reason = "peer-unreachable"
	ReasonConfigStale      Reason = "configuration-unconfirmed"
	ReasonDataCentreOut    Reason = "data-centre-out"
	ReasonWorkerFailed     Reason = "worker-failed"
	ReasonCancelled        Reason = "cancelled"
	ReasonClaimsExhausted  Reason = "claim-table-full"
	ReasonConflict         Reason = "edit-conflict"
	ReasonForbidden        Reason = "forbidden"
	ReasonTooLarge         Reason = "too-large"
)

// Error is an error with a verdict and a reason. It is passed on from instance to instance up to
// the caller.
type Error struct {
	Verdict Verdict `cbor:"1,keyasint" json:"verdict"`
	Reason  Reason  `cbor:"2,keyasint" json:"reason"`
	Message string  `cbor:"3,keyasint" json:"message"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
}

// New returns an error with the given verdict and reason.
func New(v Verdict, r Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: r, Message: fmt.Sprintf(format, args...)}
}

// Of returns the verdict that err carries. It is Ran for nil, and MayHaveRun for an error that
// carries no verdict.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// From returns the verdict error inside err, or wraps err as MayHaveRun.
func From(err error, fallback Reason) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Reason: fallback, Message: err.Error()}
}
