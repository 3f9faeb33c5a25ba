package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/access"
	"github.com/geraniumwick/geraniumwick/internal/audit"
	"github.com/geraniumwick/geraniumwick/internal/command"
	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/query"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// testTime is the time that testClock returns.
var testTime = time.Date(2000, 5, 31, 9, 30, 0, 0, time.UTC)

type testClock struct{}

func (testClock) Now() time.Time { return testTime }

// memoryStore is an in-memory store that never fails.
type memoryStore struct {
	platform.Store
	mu       sync.Mutex
	revision int64
	entries  map[string]platform.KeyValue
}

func (s *memoryStore) Get(_ context.Context, key string) (platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], s.revision, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]platform.KeyValue, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []platform.KeyValue
	for key, kv := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	return list, s.revision, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, _ platform.LeaseID) (platform.CompareAndSwapResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[key]; current.ModRevision != expected {
		return platform.CompareAndSwapResult{Revision: s.revision, Current: current}, nil
	}
	s.revision++
	s.entries[key] = platform.KeyValue{Key: key, Value: value, ModRevision: s.revision}
	return platform.CompareAndSwapResult{Applied: true, Revision: s.revision}, nil
}

// freshWatcher reads the configuration from the store before each call.
type freshWatcher struct{ *config.Watcher }

func (w freshWatcher) Sections() []*config.Section {
	_, _ = w.Confirm(context.Background())
	return w.Watcher.Sections()
}

func (w freshWatcher) Current() (*config.Document, bool) {
	_, _ = w.Confirm(context.Background())
	return w.Watcher.Current()
}

// fakeSystem implements the interfaces of an instance's handlers, with jobs and entries in memory.
type fakeSystem struct {
	watcher freshWatcher
	jobs    map[model.JobID]ledger.JobStatus
	// lagging names an instance that never has a new revision in force.
	lagging     model.InstanceID
	entries     map[string][]audit.Entry
	unreachable []model.InstanceID
	// sinceStoreContact is the time since the store last answered.
	sinceStoreContact time.Duration
}

func (f *fakeSystem) Submit(_ context.Context, spec model.JobSpec) (ledger.JobStatus, error) {
	if _, known := f.jobs[spec.ID]; !known {
		f.jobs[spec.ID] = ledger.JobStatus{Spec: spec, Submitted: testTime}
	}
	return f.jobs[spec.ID], nil
}

func (f *fakeSystem) change(id model.JobID, state model.JobState, reason string) (ledger.JobStatus, error) {
	s, err := f.Job(context.Background(), id)
	if err == nil {
		s.State, s.Reason = state, reason
		f.jobs[id] = s
	}
	return s, err
}

func (f *fakeSystem) Cancel(_ context.Context, id model.JobID, actor string) (ledger.JobStatus, error) {
	return f.change(id, model.JobCancelled, "cancelled by "+actor)
}

func (f *fakeSystem) Resume(_ context.Context, id model.JobID, actor string) (ledger.JobStatus, error) {
	return f.change(id, model.JobQueued, "resumed by "+actor)
}

func (f *fakeSystem) Job(_ context.Context, id model.JobID) (ledger.JobStatus, error) {
	s, known := f.jobs[id]
	if !known {
		return s, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "job %q is not known", id)
	}
	return s, nil
}

func (f *fakeSystem) List(_ context.Context, team model.Team) ([]ledger.JobStatus, error) {
	var list []ledger.JobStatus
	for _, s := range f.jobs {
		if team == "" || s.Spec.Team == team {
			list = append(list, s)
		}
	}
	return list, nil
}

func (f *fakeSystem) Explain(_ context.Context, subject string) ([]audit.Entry, []model.InstanceID, error) {
	return f.entries[subject], f.unreachable, nil
}

func (f *fakeSystem) Recent(context.Context, int) ([]audit.Entry, []model.InstanceID, error) {
	return f.entries["levy/recalc-1"], f.unreachable, nil
}

func (f *fakeSystem) Status(context.Context) (query.Status, error) {
	s := query.Status{Instance: "i-1", SinceStoreContact: f.sinceStoreContact, Jobs: map[string]int{"queued": len(f.jobs), "transferred": 7}}
	s.Workers = query.WorkerCounts{Total: 65, Reachable: 64, Quarantined: 1}
	if doc, ok := f.watcher.Current(); ok {
		s.Revision = doc.Revision
	}
	for _, id := range []model.InstanceID{"i-1", "i-2"} {
		i := query.InstanceStatus{ID: id, DataCentre: "cairo-a", Revision: s.Revision, Started: testTime}
		if id == f.lagging {
			i.Revision = 0
		}
		s.Instances = append(s.Instances, i)
	}
	s.Partitions = []query.PartitionStatus{{Partition: 0, Owner: "i-1", Epoch: 3, Queued: 2, Running: 5}, {Partition: 1}}
	return s, nil
}

const (
	operatorToken = "operators-secret-token"
	levyToken     = "levys-secret-token"
)

// startSystem serves a fake system and returns its address.
func startSystem(t *testing.T, token string) (*fakeSystem, string) {
	t.Helper()
	store := &memoryStore{entries: map[string]platform.KeyValue{}, revision: 100}
	f := &fakeSystem{sinceStoreContact: 40 * time.Millisecond, jobs: map[model.JobID]ledger.JobStatus{}, entries: map[string][]audit.Entry{}}
	f.watcher = freshWatcher{config.NewWatcher(store, testClock{}, config.WatcherOptions{})}
	editor := config.NewEditor(store, testClock{}, "i-1", nil)
	auth := &access.Authenticator{Document: f.watcher.Current, OperatorToken: token, OperatorListener: true}
	mux := http.NewServeMux()
	commands := &command.Handlers{Jobs: f, Editor: editor, Authenticator: auth}
	commands.RegisterJobs(mux)
	commands.RegisterOperators(mux)
	queries := &query.Handlers{Jobs: f, Trail: f, Cluster: f, Configuration: f.watcher, History: editor, Authenticator: auth}
	queries.RegisterJobs(mux)
	queries.RegisterOperators(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return f, server.URL
}

// hashOf returns the SHA-256 of a token in hexadecimal.
func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
