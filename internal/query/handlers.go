package query

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/access"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/reply"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

const (
	// callTimeout bounds one call.
	callTimeout = 10 * time.Second
	// defaultLimit and maxLimit are the default and the largest number of entries in one response.
	defaultLimit = 100
	maxLimit     = 5000
)

// Configuration reads the document in force. *config.Watcher implements it.
type Configuration interface {
	Current() (*config.Document, bool)
	Sections() []*config.Section
	Refused() []config.RefusedSection
	Confirmed() time.Time
}

// History reads the changes of the configuration that the store keeps. *config.Editor implements it.
type History interface {
	History(ctx context.Context, section string) (changes []config.Change, dropped int, err error)
}

// Handlers serves the read-only calls of one listener.
type Handlers struct {
	Jobs          Jobs
	Trail         AuditTrail
	Cluster       Cluster
	Configuration Configuration
	History       History
	Authenticator *access.Authenticator
}

// RegisterJobs registers the calls about jobs, which the callers' and the operators' listener serve.
func (h *Handlers) RegisterJobs(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/jobs", h.listJobs)
	mux.HandleFunc("GET /v1/jobs/{team}/{name}", h.job)
}

// RegisterOperators registers the calls that only the operators' listener serves.
func (h *Handlers) RegisterOperators(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/config", h.configuration)
	mux.HandleFunc("GET /v1/config/history", h.withIdentity(h.history))
	mux.HandleFunc("GET /v1/status", h.withIdentity(h.status))
	mux.HandleFunc("GET /v1/explain/{id...}", h.explain)
	mux.HandleFunc("GET /v1/audit", h.withIdentity(h.audit))
}

// withIdentity wraps serve so that it refuses anonymous callers and ends after callTimeout.
func (h *Handlers) withIdentity(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		if _, err := h.Authenticator.RequireIdentity(r); err != nil {
			reply.Error(w, err)
			return
		}
		serve(w, r.WithContext(ctx))
	}
}

// JobList is the response to a list of jobs.
type JobList struct {
	Jobs []ledger.JobStatus `json:"jobs"`
}

// ConfigSection is one section in force.
type ConfigSection struct {
	Name     string         `json:"name"`
	Revision model.Revision `json:"revision"`
	Text     string         `json:"text"`
}

// ConfigResponse is the document in force.
type ConfigResponse struct {
	Revision model.Revision `json:"revision"`
	// Confirmed is the last time at which the store confirmed that the document is the newest.
	Confirmed time.Time               `json:"confirmed"`
	Sections  []ConfigSection         `json:"sections"`
	Refused   []config.RefusedSection `json:"refused,omitempty"`
}

// HistoryResponse lists accepted edits, the newest first.
type HistoryResponse struct {
	Changes []config.Change `json:"changes"`
	// Dropped counts older edits that are no longer kept.
	Dropped int `json:"dropped"`
}

// job answers with one job.
func (h *Handlers) job(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	team := model.Team(r.PathValue("team"))
	if err := h.allowTeam(r, team); err != nil {
		reply.Error(w, err)
		return
	}
	status, err := h.Jobs.Job(ctx, model.JobID(string(team)+"/"+r.PathValue("name")))
	writeResult(w, status, err)
}

// listJobs answers with the jobs of a team, or of all teams for operators.
func (h *Handlers) listJobs(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	team := model.Team(r.URL.Query().Get("team"))
	if err := h.allowTeam(r, team); err != nil {
		reply.Error(w, err)
		return
	}
	jobs, err := h.Jobs.List(ctx, team)
	writeResult(w, JobList{Jobs: jobs}, err)
}

// allowTeam returns an error unless the caller may read the team's jobs. An empty team means the jobs
// of all teams, which only operators may read.
func (h *Handlers) allowTeam(r *http.Request, team model.Team) error {
	id, err := h.Authenticator.Identify(r)
	if err != nil {
		return err
	}
	if team == "" {
		return access.AllowOperator(id)
	}
	return h.Authenticator.AllowTeam(id, team)
}

// configuration answers with the document in force.
func (h *Handlers) configuration(w http.ResponseWriter, r *http.Request) {
	if _, err := h.Authenticator.RequireIdentity(r); err != nil {
		reply.Error(w, err)
		return
	}
	result := ConfigResponse{
		Confirmed: h.Configuration.Confirmed(),
		Refused:   h.Configuration.Refused(),
		Sections:  []ConfigSection{},
	}
	if doc, ok := h.Configuration.Current(); ok {
		result.Revision = doc.Revision
	}
	for _, s := range h.Configuration.Sections() {
		result.Sections = append(result.Sections, ConfigSection{Name: s.Name, Revision: s.Revision, Text: s.Text})
	}
	reply.JSON(w, http.StatusOK, result)
}

// history answers with the edits that the store keeps, of one section or of all.
func (h *Handlers) history(w http.ResponseWriter, r *http.Request) {
	limit, err := readLimit(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	changes, dropped, err := h.History.History(r.Context(), r.URL.Query().Get("section"))
	writeResult(w, HistoryResponse{Changes: changes[:min(limit, len(changes))], Dropped: dropped}, err)
}

// status answers with the state of the system.
func (h *Handlers) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.Cluster.Status(r.Context())
	writeResult(w, status, err)
}

// audit answers with the newest entries of all instances.
func (h *Handlers) audit(w http.ResponseWriter, r *http.Request) {
	limit, err := readLimit(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	entries, unreachable, err := h.Trail.Recent(r.Context(), limit)
	sortEntries(entries)
	writeResult(w, AuditResponse{Entries: entries, Unreachable: unreachable}, err)
}

// writeResult writes the error, or the value if there is no error.
func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, v)
}

// readLimit returns the number of entries that the call asks for.
func readLimit(r *http.Request) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultLimit, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxLimit {
		return 0, verdict.New(verdict.NotRun, verdict.ReasonInvalid, "limit=%q must be a number from 1 to %d", text, maxLimit)
	}
	return limit, nil
}

// isLive reports whether the list of live instances contains the instance.
func isLive(list []InstanceStatus, id model.InstanceID) bool {
	return slices.ContainsFunc(list, func(s InstanceStatus) bool { return s.ID == id })
}
