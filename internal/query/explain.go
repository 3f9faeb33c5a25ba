package query

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/reply"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// sectionSubjectPrefix is the prefix of the subjects of configuration sections.
const sectionSubjectPrefix = "config/"

// AuditResponse lists the audit entries of all instances that answered, the oldest first.
type AuditResponse struct {
	Entries []audit.Entry `json:"entries"`
	// Unreachable names the instances that did not answer and whose entries are missing.
	Unreachable []model.InstanceID `json:"unreachable,omitempty"`
}

// Explanation is the timeline of a request, a job or a section of the configuration.
type Explanation struct {
	Subject string `json:"subject"`
	// Found is set if there is a job or an entry of the subject.
	Found bool `json:"found"`
	// Complete is set if no part of the audit trail is missing. Only then does the absence of an
	// entry prove that the event did not happen.
	Complete bool `json:"complete"`
	// Job is the state of the job, if the subject is one.
	Job *ledger.JobStatus `json:"job,omitempty"`
	// Entries lists the recorded events, the oldest first.
	Entries []audit.Entry `json:"entries"`
	// Unreachable names live instances that did not answer.
	Unreachable []model.InstanceID `json:"unreachable,omitempty"`
	// EndedInstances names instances that took part and are no longer live. Their audit trails are
	// lost; only the entries that they wrote to the store are listed.
	EndedInstances []model.InstanceID `json:"gone,omitempty"`
	// Unknown describes, one sentence each, which information is missing.
	Unknown []string `json:"unknown,omitempty"`
}

// explain answers with the timeline of the subject.
func (h *Handlers) explain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if _, err := h.Authenticator.RequireIdentity(r); err != nil {
		reply.Error(w, err)
		return
	}
	e, err := h.Explain(ctx, r.PathValue("id"))
	writeResult(w, e, err)
}

// Explain collects the entries of the subject from the store and from all live instances, and lists
// what is missing.
func (h *Handlers) Explain(ctx context.Context, subject string) (Explanation, error) {
	if !strings.Contains(strings.Trim(subject, "/"), "/") {
		return Explanation{}, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%q must be a job (team/name), a request (service/key) or a section (config/name)", subject)
	}
	entries, unreachable, err := h.Trail.Explain(ctx, subject)
	e := Explanation{Subject: subject, Entries: slices.Clone(entries), Unreachable: unreachable}
	if err != nil && verdict.From(err, verdict.ReasonPeerUnreachable).Reason != verdict.ReasonUnknownID {
		e.Unknown = append(e.Unknown, "the record in the store could not be read: "+err.Error())
	}
	if section, ok := strings.CutPrefix(subject, sectionSubjectPrefix); ok {
		h.addEdits(ctx, &e, section)
	} else {
		h.addJob(ctx, &e)
	}
	sortEntries(e.Entries)
	e.addDerivedFields()
	h.noteEndedInstances(ctx, &e)
	e.noteDroppedEntries()
	e.noteTruncatedSteps()
	e.noteUnreachable()
	e.Found = e.Job != nil || slices.ContainsFunc(e.Entries, func(entry audit.Entry) bool { return entry.Event != audit.EventDropped })
	e.noteMissingRecord()
	e.Complete = len(e.Unknown) == 0
	return e, nil
}

// addEdits adds the accepted edits that the store keeps. They replace the instances' entries of the
// same edits.
func (h *Handlers) addEdits(ctx context.Context, e *Explanation, section string) {
	changes, dropped, err := h.History.History(ctx, section)
	if err != nil {
		e.Unknown = append(e.Unknown, "the edits in the store could not be read: "+err.Error())
		return
	}
	if dropped > 0 {
		e.Unknown = append(e.Unknown, fmt.Sprintf("%d older edits are no longer kept", dropped))
	}
	for _, c := range changes {
		e.Entries = slices.DeleteFunc(e.Entries, func(entry audit.Entry) bool {
			return entry.Event == audit.EventConfigAccepted && entry.Revision == c.Revision
		})
		e.Entries = append(e.Entries, editEntry(e.Subject, c))
	}
}

// editEntry converts an accepted edit to an audit entry.
func editEntry(subject string, c config.Change) audit.Entry {
	return audit.Entry{
		At:       c.At,
		Subject:  subject,
		Event:    audit.EventConfigAccepted,
		Actor:    c.Actor,
		Verdict:  verdict.Ran.String(),
		Revision: c.Revision,
		Reason:   fmt.Sprintf("changed line %d", c.Line),
		Before:   c.Before,
		After:    c.After,
		Durable:  true,
	}
}

// addJob adds the state of the job, if the subject is one.
func (h *Handlers) addJob(ctx context.Context, e *Explanation) {
	status, err := h.Jobs.Job(ctx, model.JobID(e.Subject))
	if err == nil {
		e.Job = &status
		return
	}
	failure := verdict.From(err, verdict.ReasonPeerUnreachable)
	if failure.Reason != verdict.ReasonUnknownID && failure.Reason != verdict.ReasonInvalid {
		e.Unknown = append(e.Unknown, "the state of a job of this name could not be read: "+failure.Message)
	}
}

// noteTruncatedSteps adds to Unknown that steps may be missing if the job has as many as the store
// keeps.
func (e *Explanation) noteTruncatedSteps() {
	steps := 0
	for _, entry := range e.Entries {
		if entry.Durable {
			steps++
		}
	}
	if e.Job != nil && steps >= ledger.MaxJobHistoryEntries {
		e.Unknown = append(e.Unknown, fmt.Sprintf("the store keeps the first and the latest %d steps of a job; steps between them may be missing", ledger.MaxJobHistoryEntries-1))
	}
}

// noteEndedInstances adds the instances that took part and are no longer live to EndedInstances and
// Unknown.
func (h *Handlers) noteEndedInstances(ctx context.Context, e *Explanation) {
	status, err := h.Cluster.Status(ctx)
	if err != nil {
		e.Unknown = append(e.Unknown, "the live instances could not be read: "+err.Error())
		return
	}
	for _, entry := range e.Entries {
		id := entry.Instance
		if id == "" || isLive(status.Instances, id) || slices.Contains(e.EndedInstances, id) {
			continue
		}
		e.EndedInstances = append(e.EndedInstances, id)
		e.Unknown = append(e.Unknown, fmt.Sprintf("instance %s took part and is gone; only what it wrote to the store is shown", id))
	}
}

// noteDroppedEntries adds the instances that no longer keep older entries to Unknown.
func (e *Explanation) noteDroppedEntries() {
	for _, entry := range e.Entries {
		if entry.Event == audit.EventDropped {
			e.Unknown = append(e.Unknown, fmt.Sprintf("instance %s: %s", entry.Instance, entry.Reason))
		}
	}
}

// noteMissingRecord adds to Unknown that an ended instance may have handled the subject, unless the
// store has a record of it: a job, a claimed request or an accepted edit.
func (e *Explanation) noteMissingRecord() {
	if e.Job != nil || slices.ContainsFunc(e.Entries, func(entry audit.Entry) bool { return entry.Durable }) {
		return
	}
	e.Unknown = append(e.Unknown, "no record of it was read from the store; an instance that has ended may have handled it without one")
}

// noteUnreachable adds the live instances that did not answer to Unknown.
func (e *Explanation) noteUnreachable() {
	for _, id := range e.Unreachable {
		e.Unknown = append(e.Unknown, fmt.Sprintf("instance %s did not answer; what only it knows is missing", id))
	}
}

// sortEntries sorts entries by time. Of entries with the same time, durable ones come first.
func sortEntries(entries []audit.Entry) {
	slices.SortStableFunc(entries, func(a, b audit.Entry) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return cmp.Compare(boolRank(b.Durable), boolRank(a.Durable))
	})
}

// boolRank returns 0 for false and 1 for true, for use as a sort key.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
