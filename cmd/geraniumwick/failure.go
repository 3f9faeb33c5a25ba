package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/geraniumwick/geraniumwick/internal/command"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Exit codes of the command.
const (
	exitDone = iota
	// exitRefused: nothing was changed.
	exitRefused
	// exitUsage: the arguments are wrong.
	exitUsage
	// exitUnknown: the outcome of the call is not known; it may have been carried out.
	exitUnknown
	// exitNotInForce: accepted, but not in force on every live instance in time.
	exitNotInForce
	// exitUnreachable: no instance answered and nothing was changed.
	exitUnreachable
	// exitNotFound: the job, section or other object of the command does not exist.
	exitNotFound
)

// failure is an error with its exit code.
type failure struct {
	code    int
	Verdict verdict.Verdict `json:"verdict"`
	Reason  verdict.Reason  `json:"reason"`
	Message string          `json:"message"`
	// Problems and Conflict are set for an edit that was refused.
	Problems []config.Problem      `json:"problems,omitempty"`
	Conflict *config.ConflictError `json:"conflict,omitempty"`
	// Missing names the live instances that do not have the revision in force.
	Missing []string `json:"missing,omitempty"`
}

// Error implements error.
func (f *failure) Error() string { return f.Message }

// usagef returns an error for wrong arguments.
func usagef(format string, args ...any) error {
	return &failure{code: exitUsage, Verdict: verdict.NotRun, Reason: verdict.ReasonInvalid, Message: fmt.Sprintf(format, args...)}
}

// refusedf returns an error for a command that changed nothing.
func refusedf(format string, args ...any) error {
	return &failure{code: exitRefused, Verdict: verdict.NotRun, Reason: verdict.ReasonInvalid, Message: fmt.Sprintf(format, args...)}
}

// errorFromResponse returns the error in the response of an instance. A response of another form comes
// from something else, such as a proxy, and counts as no response.
func errorFromResponse(method string, body []byte, status int) error {
	var e command.EditFailure
	if err := json.Unmarshal(body, &e); err != nil || e.Reason == "" {
		return newNoResponseFailure(method, fmt.Sprintf("the address answered with status %d, but not as an instance does", status))
	}
	return &failure{
		code:     exitCodeOf(e.Verdict, e.Reason),
		Verdict:  e.Verdict,
		Reason:   e.Reason,
		Message:  e.Message,
		Problems: e.Problems,
		Conflict: e.Conflict,
	}
}

// newNoResponseFailure returns the failure of a call without a response of an instance. A call that
// only reads has changed nothing.
func newNoResponseFailure(method, message string) *failure {
	f := &failure{code: exitUnknown, Verdict: verdict.MayHaveRun, Reason: verdict.ReasonPeerUnreachable, Message: message}
	if method == http.MethodGet {
		f.code, f.Verdict = exitUnreachable, verdict.NotRun
	}
	return f
}

// exitCodeOf returns the exit code for an error of an instance.
func exitCodeOf(v verdict.Verdict, r verdict.Reason) int {
	switch {
	case r == verdict.ReasonUnknownID:
		return exitNotFound
	case v == verdict.NotRun:
		return exitRefused
	default:
		return exitUnknown
	}
}

// report prints the error and returns its exit code.
func report(s streams, opts options, err error) int {
	var f *failure
	if !errors.As(err, &f) {
		f = &failure{code: exitRefused, Verdict: verdict.NotRun, Reason: verdict.ReasonInvalid, Message: err.Error()}
	}
	if opts.output == "json" {
		encoded, encodeErr := json.MarshalIndent(f, "", "  ")
		if encodeErr == nil {
			fmt.Fprintln(s.err, string(encoded))
			return f.code
		}
	}
	st := newStyles(s.err, opts.colour)
	fmt.Fprintln(s.err, st.bad("geraniumwick: "+f.Message))
	if f.Conflict != nil {
		printConflict(s.err, f.Conflict)
	}
	fmt.Fprintln(s.err, outcomeText(f))
	return f.code
}

// outcomeText returns a sentence about the effect of a failed command.
func outcomeText(f *failure) string {
	switch f.code {
	case exitNotInForce:
		return "The edit is accepted and stays accepted; it is not known to be in force everywhere."
	case exitUnknown:
		return "The outcome is not known: it may have been carried out. Look before you try again."
	case exitUnreachable, exitRefused, exitUsage:
		return "Nothing was changed."
	default:
		return "There is nothing of this name; nothing was changed."
	}
}
