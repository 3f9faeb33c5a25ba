package command

import (
	"context"
	"net/http"
	"strconv"

	"github.com/geraniumwick/geraniumwick/internal/access"
	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/reply"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// EditFailure is the response to an edit that was not accepted.
type EditFailure struct {
	verdict.Error
	// Problems lists the problems that the checks found in the text.
	Problems []config.Problem `json:"problems,omitempty"`
	// Conflict holds the current section if another edit was accepted first.
	Conflict *config.ConflictError `json:"conflict,omitempty"`
}

// putSection replaces the text of a section.
func (h *Handlers) putSection(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	name := r.PathValue("name")
	id, err := h.authoriseSection(r, name)
	if err != nil {
		h.refuse(w, r, "config/"+name, err)
		return
	}
	expected, err := expectedRevision(r)
	if err != nil {
		h.refuse(w, r, "config/"+name, err)
		return
	}
	text, err := reply.ReadBody(w, r, config.MaxSectionBytes)
	if err != nil {
		h.refuse(w, r, "config/"+name, err)
		return
	}
	accepted, err := h.Editor.Put(ctx, name, text, expected, id.Actor)
	writeEdit(w, accepted, err)
}

// setDataCentre returns the handler that takes a data centre out of service or brings it back.
func (h *Handlers) setDataCentre(out bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		id, err := h.authoriseSection(r, config.OperatorsSection)
		if err != nil {
			h.refuse(w, r, "config/"+config.OperatorsSection, err)
			return
		}
		name := model.DataCentre(r.PathValue("name"))
		accepted, err := h.Editor.SetDataCentre(ctx, name, out, id.Actor)
		writeEdit(w, accepted, err)
	}
}

// authoriseSection returns the identity of the caller, or an error if the caller may not edit the
// section.
func (h *Handlers) authoriseSection(r *http.Request, section string) (access.Identity, error) {
	id, err := h.Authenticator.RequireIdentity(r)
	if err != nil {
		return access.Identity{}, err
	}
	return id, access.AllowSection(id, section)
}

// expectedRevision returns the revision that an edit is based on.
func expectedRevision(r *http.Request) (model.Revision, error) {
	text := r.URL.Query().Get("expected")
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, invalid("expected=%q must be the revision that the edit is based on, 0 for a new section", text)
	}
	return model.Revision(revision), nil
}

// writeEdit writes the outcome of an edit.
func writeEdit(w http.ResponseWriter, accepted config.EditResult, err error) {
	if err == nil {
		reply.JSON(w, http.StatusOK, accepted)
		return
	}
	e := config.EditFailure(err)
	failure := EditFailure{Error: *e}
	switch err := err.(type) {
	case *config.CheckError:
		failure.Problems = err.Problems
	case *config.ConflictError:
		failure.Conflict = err
	}
	reply.ErrorWithBody(w, e, failure)
}

// refuse answers a call that was refused before it changed anything, and records the refusal in the
// audit trail.
func (h *Handlers) refuse(w http.ResponseWriter, r *http.Request, subject string, err error) {
	reply.Error(w, err)
	if h.Recorder == nil {
		return
	}
	e := verdict.From(err, verdict.ReasonInvalid)
	h.Recorder.Record(audit.Entry{
		Subject: subject,
		Event:   audit.EventCallRefused,
		Actor:   r.RemoteAddr,
		Reason:  string(e.Reason) + ": " + e.Message,
		Verdict: e.Verdict.String(),
	})
}
