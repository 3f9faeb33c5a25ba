package query

import (
	"strings"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// jobEvent starts the event of a job's step in the store.
const jobEvent = "job."

// complete fills what follows from the durable entries but is not written in them.
func (e *Explanation) complete() {
	for i := range e.Entries {
		entry := &e.Entries[i]
		// The holder of a claim is an instance and a number of its own after a slash.
		id, _, _ := strings.Cut(string(entry.Instance), "/")
		entry.Instance = model.InstanceID(id)
		if entry.Durable && entry.Verdict == "" {
			entry.Verdict = stepVerdict(*entry)
		}
	}
}

// stepVerdict returns what a step of a job proves about its attempt; empty for a step that
// is about no attempt.
func stepVerdict(entry audit.Entry) string {
	switch entry.Event {
	case jobEvent + ledger.RecordStarted.String(), jobEvent + ledger.RecordEvicting.String():
		return verdict.MayHaveRun.String()
	case jobEvent + ledger.RecordRefused.String():
		return verdict.NotRun.String()
	case jobEvent + ledger.RecordEnded.String():
		return endVerdict(entry.After)
	}
	return ""
}

// endVerdict returns the verdict of an attempt that ended in the state.
func endVerdict(state string) string {
	switch state {
	case model.AttemptRefused.String():
		return verdict.NotRun.String()
	case model.AttemptSucceeded.String(), model.AttemptFailed.String(),
		model.AttemptCheckpointed.String(), model.AttemptStopped.String():
		return verdict.Ran.String()
	}
	return verdict.MayHaveRun.String()
}
