package route

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// fakeTarget is an HTTP target that counts its executions by key.
type fakeTarget struct {
	server *httptest.Server
	answer http.HandlerFunc

	mu       sync.Mutex
	executed map[string]int
}

// newTarget starts a target over TCP. Each request that it receives counts as executed.
func newTarget(t testing.TB, answer http.HandlerFunc) *fakeTarget {
	t.Helper()
	f := &fakeTarget{answer: answer, executed: map[string]int{}}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.executed[r.Header.Get(HeaderKey)]++
	f.mu.Unlock()
	f.answer(w, r)
}

// count returns how often the key was executed.
func (f *fakeTarget) count(key model.RequestKey) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.executed[string(key)]
}

func (f *fakeTarget) addr() string { return strings.TrimPrefix(f.server.URL, "http://") }

// model returns the target as the inventory lists it.
func (f *fakeTarget) model(id string) model.Target {
	return model.Target{ID: model.TargetID(id), Service: "levy-desk", Addr: f.addr(), DataCentre: "cairo-a", Slots: 8, Connections: 60}
}

// respondWithKey responds to each request with its key, so that a test notices the response to
// another request.
func respondWithKey(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	fmt.Fprint(w, "answer to "+r.Header.Get(HeaderKey))
}

// testDocument returns a configuration with one service that has a request of each class.
func testDocument() *config.Document {
	return &config.Document{
		Operators: config.Operators{DataCentres: []config.DataCentre{{Name: "cairo-a"}, {Name: "cairo-b"}}},
		Teams: map[model.Team]config.TeamSection{"levy": {Services: []config.Service{{
			Name: "levy-desk",
			Requests: []config.RequestType{
				{Path: "/calculate", Class: model.Idempotent, Deadline: 5 * time.Second},
				{Path: "/report", Class: model.Exclusive, Deadline: 5 * time.Second},
				{Path: "/file", Class: model.AtMostOnce, Deadline: 5 * time.Second},
			},
		}}}},
	}
}

// fakeClaims is a claim table with the semantics of the ledger and injected faults.
type fakeClaims struct {
	mu     sync.Mutex
	claims map[model.RequestKey]ledger.Claim
	// claimFault and settleFault are returned before the table is changed. loseResponse makes a
	// claim fail after the change.
	claimFault   error
	settleFault  error
	loseResponse bool
	settled      int
}

func newClaims() *fakeClaims { return &fakeClaims{claims: map[model.RequestKey]ledger.Claim{}} }

func (c *fakeClaims) Claim(_ context.Context, r ledger.ClaimRequest) (ledger.Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimFault != nil {
		return ledger.Claim{}, c.claimFault
	}
	old, found := c.claims[r.Key]
	if found && old.Holder != r.Holder && !(old.State == ledger.ClaimSettled && old.Verdict == verdict.NotRun) {
		return ledger.Claim{}, claimedKeyError(old)
	}
	claim := ledger.Claim{Key: r.Key, State: ledger.ClaimOpen, Holder: r.Holder, Exclusive: r.Exclusive, Deadline: r.Deadline}
	c.claims[r.Key] = claim
	if c.loseResponse {
		return ledger.Claim{}, errors.New("answer lost")
	}
	return claim, nil
}

func (c *fakeClaims) Settle(_ context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.settleFault != nil {
		return c.settleFault
	}
	claim, found := c.claims[key]
	if found && claim.Holder == holder {
		claim.State, claim.Verdict = ledger.ClaimSettled, v
		c.claims[key] = claim
	}
	c.settled++
	return nil
}

// newDispatcher returns a dispatcher that is drained when the test ends.
func newDispatcher(t *testing.T, claims Claims, targets ...model.Target) *Dispatcher {
	t.Helper()
	d := New(Config{Self: "instance-1", Claims: claims, Log: zerolog.Nop()})
	d.SetDocument(testDocument())
	d.SetTargets(targets)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = d.Drain(ctx)
	})
	return d
}

// newRequest returns a request of the class with a deadline in five seconds.
func newRequest(class model.RequestClass, key string) Request {
	paths := map[model.RequestClass]string{model.Idempotent: "calculate", model.Exclusive: "report", model.AtMostOnce: "file"}
	return Request{
		Key:      model.RequestKey("levy-desk/" + key),
		Service:  "levy-desk",
		Path:     paths[class],
		Class:    class,
		Deadline: time.Now().Add(5 * time.Second),
		Body:     []byte("volume=12"),
	}
}
