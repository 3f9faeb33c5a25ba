// Package command serves the HTTP calls that change state: jobs and edits of the
// configuration.
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

// Jobs changes jobs, wherever the partition that owns them is. Errors carry a verdict.
type Jobs interface {
	// Submit is idempotent by the job's id.
	Submit(ctx context.Context, spec model.JobSpec) (ledger.JobStatus, error)
	Cancel(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error)
	// Resume queues a parked job again.
	Resume(ctx context.Context, id model.JobID, actor string) (ledger.JobStatus, error)
}

// Editor changes the stored configuration; *config.Editor is one.
type Editor interface {
	Put(ctx context.Context, section string, text []byte, expected model.Revision, actor string) (config.EditResult, error)
	SetDataCentre(ctx context.Context, name model.DataCentre, out bool, actor string) (config.EditResult, error)
}

const (
	// maxJobBytes bounds the body of a job submission: its payload in base64 and its fields.
	maxJobBytes = model.MaxPayload*4/3 + 8<<10
	// callTimeout bounds one call; beyond it the outcome is not known.
	callTimeout = 15 * time.Second
)

// Handlers serves the calls of one listener.
type Handlers struct {
	Jobs   Jobs
	Editor Editor
	Guard  *access.Authenticator
	// Recorder takes the refusals; nil drops them.
	Recorder audit.Recorder
}

// RegisterJobs adds the calls about jobs, which both listeners have.
func (h *Handlers) RegisterJobs(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/jobs", h.submit)
	mux.HandleFunc("DELETE /v1/jobs/{team}/{name}", h.cancel)
	mux.HandleFunc("POST /v1/jobs/{team}/{name}/resume", h.resume)
}

// RegisterOperators adds the calls that only the operators' listener has.
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

// readSpec reads, checks and completes the job of a submission.
func (h *Handlers) readSpec(w http.ResponseWriter, r *http.Request) (model.JobSpec, error) {
	body, err := reply.ReadBody(w, r, maxJobBytes)
	if err != nil {
		return model.JobSpec{}, err
	}
	spec, err := DecodeSpec(body)
	if err != nil {
		return spec, err
	}
	id, err := h.Guard.Identify(r)
	if err != nil {
		return spec, err
	}
	if err := h.Guard.AllowTeam(id, spec.Team); err != nil {
		return spec, err
	}
	return ValidateAndDefault(spec, h.Guard.Document)
}

// cancel withdraws a job.
func (h *Handlers) cancel(w http.ResponseWriter, r *http.Request) {
	h.changeJob(w, r, h.Jobs.Cancel)
}

// resume queues a parked job again.
func (h *Handlers) resume(w http.ResponseWriter, r *http.Request) {
	h.changeJob(w, r, h.Jobs.Resume)
}

// changeJob checks the caller and changes the job that the path names.
func (h *Handlers) changeJob(w http.ResponseWriter, r *http.Request, change func(context.Context, model.JobID, string) (ledger.JobStatus, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	team := model.Team(r.PathValue("team"))
	job := model.JobID(string(team) + "/" + r.PathValue("name"))
	id, err := h.identifyFor(r, team, job)
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

// identifyFor returns who makes the call if that may act for the team.
func (h *Handlers) identifyFor(r *http.Request, team model.Team, job model.JobID) (access.Identity, error) {
	if err := checkID(team, job); err != nil {
		return access.Identity{}, err
	}
	id, err := h.Guard.Identify(r)
	if err != nil {
		return access.Identity{}, err
	}
	return id, h.Guard.AllowTeam(id, team)
}
