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

// sectionSubject starts the subject of a section of the configuration.
const sectionSubject = "config/"

// AuditResponse lists entries of all instances that answered, the oldest first.
type AuditResponse struct {
	Entries []audit.Entry `json:"entries"`
	// Unreachable names the instances whose part is missing.
	Unreachable []model.InstanceID `json:"unreachable,omitempty"`
}

// Explanation is the life of a request, a job or a section of the configuration.
type Explanation struct {
	Subject string `json:"subject"`
	// Found says that something is known of the subject.
	Found bool `json:"found"`
	// Complete says that no part of the trail is missing. Only then does the absence of an
	// entry mean that it did not happen.
	Complete bool `json:"complete"`
	// Job is the state of the job, if the subject is one.
	Job *ledger.JobStatus `json:"job,omitempty"`
	// Entries is the life in the order of time.
	Entries []audit.Entry `json:"entries"`
	// Unreachable names live instances that did not answer.
	Unreachable []model.InstanceID `json:"unreachable,omitempty"`
	// EndedInstances names instances that took part and whose trail ended with them; what they
	// wrote to the store is shown.
	EndedInstances []model.InstanceID `json:"gone,omitempty"`
	// Unknown says in words what is not known.
	Unknown []string `json:"unknown,omitempty"`
}

// explain answers with the life of the subject.
func (h *Handlers) explain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	if _, err := h.Guard.RequireIdentity(r); err != nil {
		reply.Error(w, err)
		return
	}
	e, err := h.Explain(ctx, r.PathValue("id"))
	answer(w, e, err)
}

// Explain collects the life of the subject from the store and from all live instances, and
// says what is missing.
func (h *Handlers) Explain(ctx context.Context, subject string) (Explanation, error) {
	if !strings.Contains(strings.Trim(subject, "/"), "/") {
		return Explanation{}, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%q must be a job (team/name), a request (service/key) or a section (config/name)", subject)
	}
	entries, unreachable, err := h.Trail.Explain(ctx, subject)
	e := Explanation{Subject: subject, Entries: slices.Clone(entries), Unreachable: unreachable}
	if err != nil && verdict.From(err, verdict.ReasonPeerUnreachable).Reason != verdict.ReasonUnknownID {
		e.Unknown = append(e.Unknown, "the record in the store could not be read: "+err.Error())
	}
	if section, ok := strings.CutPrefix(subject, sectionSubject); ok {
		h.addEdits(ctx, &e, section)
	} else {
		h.addJob(ctx, &e)
	}
	sortEntries(e.Entries)
	e.complete()
	h.addGone(ctx, &e)
	e.addDropped()
	e.addForgotten()
	e.addUnreachable()
	e.Found = e.Job != nil || slices.ContainsFunc(e.Entries, func(entry audit.Entry) bool { return entry.Event != audit.EventDropped })
	e.addEnded()
	e.Complete = len(e.Unknown) == 0
	return e, nil
}

// addEdits adds the accepted edits that the store keeps, in place of the entries that the
// instances have of the same edits.
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

// editEntry turns an accepted edit into an entry.
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

// addForgotten says that a job with many steps keeps the first and the latest only.
func (e *Explanation) addForgotten() {
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

// addGone names the instances that took part and are no longer live.
func (h *Handlers) addGone(ctx context.Context, e *Explanation) {
	status, err := h.Cluster.Status(ctx)
	if err != nil {
		e.Unknown = append(e.Unknown, "the live instances could not be read: "+err.Error())
		return
	}
	for _, entry := range e.Entries {
		id := entry.Instance
		if id == "" || contains(status.Instances, id) || slices.Contains(e.EndedInstances, id) {
			continue
		}
		e.EndedInstances = append(e.EndedInstances, id)
		e.Unknown = append(e.Unknown, fmt.Sprintf("instance %s took part and is gone; only what it wrote to the store is shown", id))
	}
}

// addDropped says which instances no longer keep older entries.
func (e *Explanation) addDropped() {
	for _, entry := range e.Entries {
		if entry.Event == audit.EventDropped {
			e.Unknown = append(e.Unknown, fmt.Sprintf("instance %s: %s", entry.Instance, entry.Reason))
		}
	}
}

// addEnded says that an ended instance may have known more, unless the store has the life
// of the subject: a job, a claimed request or an accepted edit.
func (e *Explanation) addEnded() {
	if e.Job != nil || slices.ContainsFunc(e.Entries, func(entry audit.Entry) bool { return entry.Durable }) {
		return
	}
	e.Unknown = append(e.Unknown, "no record of it was read from the store; an instance that has ended may have handled it without one")
}

// addUnreachable says which live instances did not answer.
func (e *Explanation) addUnreachable() {
	for _, id := range e.Unreachable {
		e.Unknown = append(e.Unknown, fmt.Sprintf("instance %s did not answer; what only it knows is missing", id))
	}
}

// sortEntries orders entries by time, durable ones first at the same time.
func sortEntries(entries []audit.Entry) {
	slices.SortStableFunc(entries, func(a, b audit.Entry) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return cmp.Compare(boolRank(b.Durable), boolRank(a.Durable))
	})
}

// boolRank orders false before true.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
