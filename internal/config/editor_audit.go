package config

import (
	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// recordOutcome records an audit entry for the outcome of an edit. The entry of an accepted edit
// is marked durable, because the change history of the stored section holds the edit.
func (e *Editor) recordOutcome(name, actor string, result EditResult, err error) {
	if e.recorder == nil {
		return
	}
	entry := audit.Entry{
		At:       e.clock.Now(),
		Instance: e.instance,
		Subject:  subject(name),
		Event:    audit.EventConfigAccepted,
		Actor:    actor,
		Verdict:  verdict.Ran.String(),
		Revision: result.Revision,
		Durable:  err == nil,
	}
	if result.Unchanged {
		entry.Reason = "unchanged"
	}
	if err != nil {
		entry.Reason = err.Error()
		entry.Event, entry.Verdict = failedOutcome(err)
	}
	e.recorder.Record(entry)
}

// failedOutcome returns the event and the verdict of a failed edit.
func failedOutcome(err error) (event, v string) {
	failure := EditFailure(err)
	if failure.Verdict == verdict.NotRun {
		return audit.EventConfigRefused, verdict.NotRun.String()
	}
	return audit.EventConfigUnknown, failure.Verdict.String()
}

// EditFailure returns the verdict error of a failed edit.
func EditFailure(err error) *verdict.Error {
	switch err := err.(type) {
	case *CheckError:
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%v", err)
	case *ConflictError:
		return verdict.New(verdict.NotRun, verdict.ReasonConflict, "%v", err)
	default:
		return verdict.From(err, verdict.ReasonStoreUnavailable)
	}
}
