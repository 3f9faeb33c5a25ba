package query

import (
	"strings"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// jobEventPrefix is the prefix of the event names of job records in the store.
const jobEventPrefix = "job."

// addDerivedFields reduces claim holders to instance ids, and sets the verdicts of durable entries,
// which the store does not hold.
func (e *Explanation) addDerivedFields() {
	for i := range e.Entries {
		entry := &e.Entries[i]
		// The holder of a claim is written as the instance id, a slash and a suffix.
		id, _, _ := strings.Cut(string(entry.Instance), "/")
		entry.Instance = model.InstanceID(id)
		if entry.Durable && entry.Verdict == "" {
			entry.Verdict = stepVerdict(*entry)
		}
	}
}

// stepVerdict returns the verdict on the attempt that follows from a step of a job, or an empty
// string for a step that concerns no attempt.
func stepVerdict(entry audit.Entry) string {
	switch entry.Event {
	case jobEventPrefix + ledger.RecordStarted.String(), jobEventPrefix + ledger.RecordEvicting.String():
		return verdict.MayHaveRun.String()
	case jobEventPrefix + ledger.RecordRefused.String():
		return verdict.NotRun.String()
	case jobEventPrefix + ledger.RecordEnded.String():
		return endVerdict(entry.After)
	}
	return ""
}

// endVerdict returns the verdict on an attempt that ended in the state.
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
