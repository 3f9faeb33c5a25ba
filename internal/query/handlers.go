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
	callTimeout = 10 * time.Second
	// defaultLimit and maxLimit bound the entries of one answer.
	defaultLimit = 100
	maxLimit     = 5000
)

// Configuration reads the document in force; *config.Watcher is one.
type Configuration interface {
	Current() (*config.Document, bool)
	Sections() []*config.Section
	Refused() []config.RefusedSection
	Confirmed() time.Time
}

// History reads the kept changes of the configuration; *config.Editor is one.
type History interface {
	History(ctx context.Context, section string) (changes []config.Change, dropped int, err error)
}

// Handlers serves the reading calls of one listener.
type Handlers struct {
	Jobs          Jobs
	Trail         AuditTrail
	Cluster       Cluster
	Configuration Configuration
	History       History
	Guard         *access.Authenticator
}

// RegisterJobs adds the calls about jobs, which both listeners have.
func (h *Handlers) RegisterJobs(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/jobs", h.listJobs)
	mux.HandleFunc("GET /v1/jobs/{team}/{name}", h.job)
}

// RegisterOperators adds the calls that only the operators' listener has.
func (h *Handlers) RegisterOperators(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/config", h.configuration)
	mux.HandleFunc("GET /v1/config/history", h.known(h.history))
	mux.HandleFunc("GET /v1/status", h.known(h.status))
	mux.HandleFunc("GET /v1/explain/{id...}", h.explain)
	mux.HandleFunc("GET /v1/audit", h.known(h.audit))
}

// known serves a call within a time limit, unless the caller is anonymous.
func (h *Handlers) known(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		if _, err := h.Guard.RequireIdentity(r); err != nil {
			reply.Error(w, err)
			return
		}
		serve(w, r.WithContext(ctx))
	}
}

// JobList is the answer to a list of jobs.
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
	// Confirmed is when the store last proved the document to be the newest.
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
	answer(w, status, err)
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
	answer(w, JobList{Jobs: jobs}, err)
}

// allowTeam returns an error unless the caller may read the team's jobs. Only operators may
// read those of all teams, which the empty name stands for.
func (h *Handlers) allowTeam(r *http.Request, team model.Team) error {
	id, err := h.Guard.Identify(r)
	if err != nil {
		return err
	}
	if team == "" {
		return access.AllowOperator(id)
	}
	return h.Guard.AllowTeam(id, team)
}

// configuration answers with the document in force.
func (h *Handlers) configuration(w http.ResponseWriter, r *http.Request) {
	if _, err := h.Guard.RequireIdentity(r); err != nil {
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

// history answers with the kept edits of one section or of all.
func (h *Handlers) history(w http.ResponseWriter, r *http.Request) {
	limit, err := readLimit(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	changes, dropped, err := h.History.History(r.Context(), r.URL.Query().Get("section"))
	answer(w, HistoryResponse{Changes: changes[:min(limit, len(changes))], Dropped: dropped}, err)
}

// status answers with the system at a glance.
func (h *Handlers) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.Cluster.Status(r.Context())
	answer(w, status, err)
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
	answer(w, AuditResponse{Entries: entries, Unreachable: unreachable}, err)
}

// answer writes the value, or the error if there is one.
func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, v)
}

// readLimit reads the number of entries asked for.
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

// contains reports whether the instance is in the list.
func contains(list []InstanceStatus, id model.InstanceID) bool {
	return slices.ContainsFunc(list, func(s InstanceStatus) bool { return s.ID == id })
}
