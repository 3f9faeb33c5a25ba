// Package command serves the HTTP calls that change jobs or the configuration.
package command

import (
	"context"
	"net/http"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/access"
	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/reply"
)

// Jobs changes jobs at the owners of their partitions. Errors carry a verdict.
type Jobs interface {
	// Submit accepts a job. A second submission with the same job id changes nothing.
	Submit(ctx context.Context, spec model.JobSpec) (ledger.JobStatus, error)
	Cancel(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error)
	// Resume queues a parked job again.
	Resume(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error)
}

// Editor changes the stored configuration. *config.Editor implements it.
type Editor interface {
	Put(ctx context.Context, section string, text []byte, expected model.Revision, actor string) (config.EditResult, error)
	SetDataCentre(ctx context.Context, name model.DataCentre, out bool, actor string) (config.EditResult, error)
}

const (
	// maxJobBytes bounds the body of a job submission: the payload in base64, which is 4/3 of its
	// size, and 8 KiB for the other fields.
	maxJobBytes = model.MaxPayload*4/3 + 8<<10
	// callTimeout bounds one call. The outcome of a call that exceeds it is not known.
	callTimeout = 15 * time.Second
)

// Handlers serves the calls of one listener.
type Handlers struct {
	Jobs          Jobs
	Editor        Editor
	Authenticator *access.Authenticator
	// Recorder records refused calls in the audit trail; it may be nil.
	Recorder audit.Recorder
}

// RegisterJobs registers the calls about jobs, which the callers' and the operators' listener serve.
func (h *Handlers) RegisterJobs(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", h.submit)
	mux.HandleFunc("DELETE /v1/jobs/{team}/{name}", h.cancel)
	mux.HandleFunc("POST /v1/jobs/{team}/{name}/resume", h.resume)
}

// RegisterOperators registers the calls that only the operators' listener serves.
func (h *Handlers) RegisterOperators(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/config/sections/{name}", h.putSection)
	mux.HandleFunc("POST /v1/datacentres/{name}/out", h.setDataCentre(true))
	mux.HandleFunc("POST /v1/datacentres/{name}/in", h.setDataCentre(false))
}

// submit accepts a job.
func (h *Handlers) submit(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	spec, err := h.readSpec(w, r)
	if err != nil {
		h.refuse(w, r, string(spec.ID), err)
		return
	}
	status, err := h.Jobs.Submit(ctx, spec)
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusAccepted, status)
}

// readSpec reads the job of a submission, checks it and the caller's access to its team, and applies
// the defaults of its class.
func (h *Handlers) readSpec(w http.ResponseWriter, r *http.Request) (model.JobSpec, error) {
	body, err := reply.ReadBody(w, r, maxJobBytes)
	if err != nil {
		return model.JobSpec{}, err
	}
	spec, err := DecodeSpec(body)
	if err != nil {
		return spec, err
	}
	id, err := h.Authenticator.Identify(r)
	if err != nil {
		return spec, err
	}
	if err := h.Authenticator.AllowTeam(id, spec.Team); err != nil {
		return spec, err
	}
	return ValidateAndDefault(spec, h.Authenticator.Document)
}

// cancel cancels a job.
func (h *Handlers) cancel(w http.ResponseWriter, r *http.Request) {
	h.changeJob(w, r, h.Jobs.Cancel)
}

// resume queues a parked job again.
func (h *Handlers) resume(w http.ResponseWriter, r *http.Request) {
	h.changeJob(w, r, h.Jobs.Resume)
}

// changeJob applies change to the job that the path names, if the caller may act for its team.
func (h *Handlers) changeJob(w http.ResponseWriter, r *http.Request, change func(context.Context, model.JobID, string) (ledger.JobStatus, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	team := model.Team(r.PathValue("team"))
	job := model.JobID(string(team) + "/" + r.PathValue("name"))
	id, err := h.authoriseTeam(r, team, job)
	if err != nil {
		h.refuse(w, r, string(job), err)
		return
	}
	status, err := change(ctx, job, id.Actor)
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, status)
}

// authoriseTeam returns the identity of the caller, or an error if the id of the job is invalid or the
// caller may not act for the team.
func (h *Handlers) authoriseTeam(r *http.Request, team model.Team, job model.JobID) (access.Identity, error) {
	if err := checkID(team, job); err != nil {
		return access.Identity{}, err
	}
	id, err := h.Authenticator.Identify(r)
	if err != nil {
		return access.Identity{}, err
	}
	return id, h.Authenticator.AllowTeam(id, team)
}
