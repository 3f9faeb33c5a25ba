package query

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/access"
	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/reply"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// fakeReader implements the interfaces that Handlers reads from, with results set by the test.
type fakeReader struct {
	job         ledger.JobStatus
	jobErr      error
	entries     []audit.Entry
	unreachable []model.InstanceID
	trailErr    error
	live        []InstanceStatus
	statusErr   error
}

func (f *fakeReader) Job(context.Context, model.JobID) (ledger.JobStatus, error) {
	return f.job, f.jobErr
}

func (f *fakeReader) List(context.Context, model.Team) ([]ledger.JobStatus, error) {
	return []ledger.JobStatus{f.job}, f.jobErr
}

func (f *fakeReader) Explain(context.Context, string) ([]audit.Entry, []model.InstanceID, error) {
	return f.entries, f.unreachable, f.trailErr
}

func (f *fakeReader) Recent(context.Context, int) ([]audit.Entry, []model.InstanceID, error) {
	return f.entries, f.unreachable, f.trailErr
}

func (f *fakeReader) Status(context.Context) (Status, error) {
	return Status{Instances: f.live}, f.statusErr
}

func (f *fakeReader) History(context.Context, string) ([]config.Change, int, error) {
	return []config.Change{{ID: "2", Revision: 12}, {ID: "1", Revision: 11}}, 3, nil
}

// newHandlers returns the handlers of the operators' listener.
func newHandlers(f *fakeReader, token string) *Handlers {
	watcher := config.NewWatcher(nil, nil, config.WatcherOptions{})
	auth := &access.Authenticator{Document: watcher.Current, OperatorListener: true, OperatorToken: token}
	return &Handlers{Jobs: f, Trail: f, Cluster: f, Configuration: watcher, History: f, Authenticator: auth}
}

// get makes one GET call.
func get(h *Handlers, path string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	h.RegisterJobs(mux)
	h.RegisterOperators(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}

var (
	unknownJob = verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "no such job")
	storeDown  = verdict.New(verdict.NotRun, verdict.ReasonStoreUnavailable, "store is down")
	live       = []InstanceStatus{{ID: "i-1"}, {ID: "i-2"}}
)

func at(seconds int64) time.Time { return time.Unix(seconds, 0).UTC() }

func TestExplainReportsMissingInformation(t *testing.T) {
	durable := audit.Entry{At: at(1), Instance: "i-1", Event: "claim.taken", Durable: true}
	cases := []struct {
		name     string
		reader   fakeReader
		found    bool
		complete bool
		unknown  int
		ended    int
	}{
		{"a request in the store with all instances live is complete", fakeReader{jobErr: unknownJob, entries: []audit.Entry{durable}, live: live}, true, true, 0, 0},
		{"a job in the store is complete", fakeReader{live: live}, true, true, 0, 0},
		{"an instance that does not answer is named", fakeReader{live: live, unreachable: []model.InstanceID{"i-2"}}, true, false, 1, 0},
		{"an instance that has ended is named once", fakeReader{live: live, entries: []audit.Entry{{Instance: "i-9", Durable: true}, {Instance: "i-9", Durable: true}}}, true, false, 1, 1},
		{"a trail that dropped entries is named", fakeReader{live: live, entries: []audit.Entry{{Instance: "i-1", Event: audit.EventDropped, Reason: "5 entries"}}}, true, false, 1, 0},
		{"a request without a record may have been handled by an ended instance", fakeReader{jobErr: unknownJob, live: live, entries: []audit.Entry{{Instance: "i-1", Event: "request.sent"}}}, true, false, 1, 0},
		{"an unknown subject is not found, and the result is not complete", fakeReader{jobErr: unknownJob, live: live}, false, false, 1, 0},
		{"a trail that has only dropped entries does not count as found", fakeReader{jobErr: unknownJob, live: live, entries: []audit.Entry{{Instance: "i-1", Event: audit.EventDropped}}}, false, false, 2, 0},
		{"a job that could not be read is reported as missing information", fakeReader{jobErr: storeDown, live: live, entries: []audit.Entry{durable}}, true, false, 1, 0},
		{"an unknown subject in the trail is not an error", fakeReader{jobErr: unknownJob, trailErr: unknownJob, live: live}, false, false, 1, 0},
		{"a record that could not be read is reported", fakeReader{trailErr: storeDown, live: live}, true, false, 1, 0},
		{"a list of instances that could not be read is reported", fakeReader{statusErr: storeDown, entries: []audit.Entry{durable}}, true, false, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, err := newHandlers(&c.reader, "").Explain(t.Context(), "s/k")
			is.NoErr(err)
			is.Equal(e.Found, c.found)
			is.Equal(e.Complete, c.complete)
			is.Equal(len(e.Unknown), c.unknown)
			is.Equal(len(e.EndedInstances), c.ended)
		})
	}
}

func TestExplainOfASectionShowsTheEditsOfTheStore(t *testing.T) {
	is := is.New(t)
	f := &fakeReader{jobErr: unknownJob, live: live, entries: []audit.Entry{
		{At: at(1), Instance: "i-9", Event: audit.EventConfigAccepted, Revision: 12, Durable: true},
		{At: at(2), Instance: "i-1", Event: audit.EventConfigInForce},
	}}
	e, err := newHandlers(f, "").Explain(t.Context(), "config/t")
	is.NoErr(err)
	is.Equal(len(e.Entries), 3) // two edits of the store and one entry of the instance; its entry of edit 12 is replaced
	is.Equal(len(e.EndedInstances), 0)
	is.Equal(e.Unknown, []string{"3 older edits are no longer kept"})
}

func TestVerdictOfEachStep(t *testing.T) {
	cases := []struct{ event, after, want string }{
		{"job.submitted", "", ""},
		{"job.started", "", "may-have-run"},
		{"job.evicting", "", "may-have-run"},
		{"job.refused", "", "not-run"},
		{"job.ended", "succeeded", "ran"},
		{"job.ended", "failed", "ran"},
		{"job.ended", "checkpointed", "ran"},
		{"job.ended", "stopped", "ran"},
		{"job.ended", "lost", "may-have-run"},
		{"job.ended", "refused", "not-run"},
		{"job.ended", "some later state", "may-have-run"},
	}
	for _, c := range cases {
		t.Run(c.event+" "+c.after, func(t *testing.T) {
			is := is.New(t)
			f := &fakeReader{live: live, entries: []audit.Entry{{Instance: "i-1/7/8", Event: c.event, After: c.after, Durable: true}}}
			e, err := newHandlers(f, "").Explain(t.Context(), "s/k")
			is.NoErr(err)
			is.Equal(e.Entries[0].Verdict, c.want)
			is.Equal(e.EndedInstances, nil) // the instance id is the part before the slash
		})
	}
}

func TestTruncatedHistoryIsNotComplete(t *testing.T) {
	is := is.New(t)
	f := &fakeReader{live: live}
	for range ledger.MaxJobHistoryEntries {
		f.entries = append(f.entries, audit.Entry{Instance: "i-1", Event: "job.started", Durable: true})
	}
	e, err := newHandlers(f, "").Explain(t.Context(), "s/k")
	is.NoErr(err)
	is.True(!e.Complete)
}

func TestExplainIsInTheOrderOfTime(t *testing.T) {
	is := is.New(t)
	f := &fakeReader{live: live, entries: []audit.Entry{
		{At: at(2), Instance: "i-1", Event: "third"},
		{At: at(2), Instance: "i-1", Event: "second", Durable: true},
		{At: at(1), Instance: "i-2", Event: "first"},
	}}
	e, err := newHandlers(f, "").Explain(t.Context(), "s/k")
	is.NoErr(err)
	is.Equal([]string{e.Entries[0].Event, e.Entries[1].Event, e.Entries[2].Event}, []string{"first", "second", "third"})
}

func TestBadReadsAreRefused(t *testing.T) {
	const token = "operators-secret-token"
	cases := []struct {
		name, token, path string
		status            int
		reason            verdict.Reason
	}{
		{"a limit that is no number", "", "/v1/audit?limit=x", 400, verdict.ReasonInvalid},
		{"a limit of zero", "", "/v1/audit?limit=0", 400, verdict.ReasonInvalid},
		{"a limit that is too large", "", "/v1/config/history?limit=5001", 400, verdict.ReasonInvalid},
		{"an id without a slash", "", "/v1/explain/x", 400, verdict.ReasonInvalid},
		{"an empty id", "", "/v1/explain/", 400, verdict.ReasonInvalid},
		{"an unknown job", "", "/v1/jobs/t/1", 404, verdict.ReasonUnknownID},
		{"the configuration without a token", token, "/v1/config", 403, verdict.ReasonForbidden},
		{"the history without a token", token, "/v1/config/history", 403, verdict.ReasonForbidden},
		{"the status without a token", token, "/v1/status", 403, verdict.ReasonForbidden},
		{"the audit trail without a token", token, "/v1/audit", 403, verdict.ReasonForbidden},
		{"an explanation without a token", token, "/v1/explain/t/1", 403, verdict.ReasonForbidden},
		{"all jobs without a token", token, "/v1/jobs", 403, verdict.ReasonForbidden},
		{"a job without a token", token, "/v1/jobs/t/1", 403, verdict.ReasonForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := get(newHandlers(&fakeReader{jobErr: unknownJob, live: live}, c.token), c.path)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get(reply.VerdictHeader), "not-run")
			var e verdict.Error
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &e))
			is.Equal(e.Reason, c.reason)
		})
	}
}

func TestLimitedHistoryAndEmptyDocument(t *testing.T) {
	is := is.New(t)
	h := newHandlers(&fakeReader{live: live}, "")
	var history HistoryResponse
	is.NoErr(json.Unmarshal(get(h, "/v1/config/history?limit=1").Body.Bytes(), &history))
	is.Equal(len(history.Changes), 1)
	is.Equal(history.Dropped, 3)
	var document ConfigResponse
	is.NoErr(json.Unmarshal(get(h, "/v1/config").Body.Bytes(), &document))
	is.Equal(document.Revision, model.Revision(0))
	is.Equal(len(document.Sections), 0)
}
