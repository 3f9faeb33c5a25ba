package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// response is the response of a fake server.
type response struct {
	status int
	body   string
	// truncated sends a Content-Length above the length of body and closes the connection after body.
	truncated bool
	// hang sends nothing until the client closes the connection.
	hang bool
}

// serve returns the URL of a server that gives the response to every call.
func serve(t *testing.T, a response) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices that the client is gone only after it has read the body
		if a.hang {
			<-r.Context().Done()
			return
		}
		if a.truncated {
			w.Header().Set("Content-Length", "100000")
		}
		w.WriteHeader(a.status)
		_, _ = io.WriteString(w, a.body)
		if a.truncated {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// testStore returns a store client with short timeouts.
func testStore(t *testing.T, endpoints ...string) *EtcdStore {
	t.Helper()
	s, err := NewStore(endpoints, StoreOptions{CallTimeout: 300 * time.Millisecond, WatchIdleTimeout: 300 * time.Millisecond})
	is.New(t).NoErr(err)
	return s
}

func TestOutcomeOfCompareAndSwap(t *testing.T) {
	const failedComparison = `{"header":{"revision":"9"},"responses":[{"response_range":{"header":{"revision":"9"}}}]}`
	tests := []struct {
		name     string
		response response
		err      bool
		unknown  bool
		lapsed   bool
	}{
		{"A success applied the write.", response{status: 200, body: `{"header":{"revision":"9"},"succeeded":true}`}, false, false, false},
		{"A failed comparison did not apply the write.", response{status: 200, body: failedComparison}, false, false, false},
		{"An answer without a result leaves the outcome unknown.", response{status: 200, body: `{}`}, true, true, false},
		{"An answer that is not JSON leaves the outcome unknown.", response{status: 200, body: `<html>`}, true, true, false},
		{"A truncated answer leaves the outcome unknown.", response{status: 200, body: `{"header":`, truncated: true}, true, true, false},
		{"A store that never answers leaves the outcome unknown.", response{hang: true}, true, true, false},
		{"An unavailable store may still have written.", response{status: 503, body: `{"code":14,"message":"no leader"}`}, true, true, false},
		{"A server error without a code leaves the outcome unknown.", response{status: 500, body: ``}, true, true, false},
		{"An invalid request is refused.", response{status: 400, body: `{"code":3,"message":"bad"}`}, true, false, false},
		{"A lapsed lease refuses the write.", response{status: 404, body: `{"code":5,"message":"lease not found"}`}, true, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := testStore(t, serve(t, tt.response)).CompareAndSwap(t.Context(), "k", 1, nil, 0)
			is.Equal(err != nil, tt.err)
			var storeErr *StoreError
			if tt.err {
				is.True(errors.As(err, &storeErr))
				is.Equal(storeErr.Unknown, tt.unknown)
				is.Equal(storeErr.Lapsed, tt.lapsed)
			}
		})
	}
}

func TestFailedReadIsNeverUnknown(t *testing.T) {
	is := is.New(t)
	_, _, err := testStore(t, serve(t, response{hang: true})).Get(t.Context(), "k")
	var storeErr *StoreError
	is.True(errors.As(err, &storeErr))
	is.True(!storeErr.Unknown)
}

func TestStoreGoesToTheNextEndpointAfterAFailure(t *testing.T) {
	is := is.New(t)
	good := serve(t, response{status: 200, body: `{"header":{"revision":"4"}}`})
	s := testStore(t, "http://127.0.0.1:1", good)
	_, _, err := s.Get(t.Context(), "k")
	is.True(err != nil) // a failed call is not repeated at the next endpoint
	_, revision, err := s.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(revision, int64(4))
}

func TestRenewOfAnAbsentLeaseLapses(t *testing.T) {
	is := is.New(t)
	err := testStore(t, serve(t, response{status: 200, body: `{"result":{"ID":"7"}}`})).Renew(t.Context(), 7)
	var storeErr *StoreError
	is.True(errors.As(err, &storeErr))
	is.True(storeErr.Lapsed)
}

func TestWatchEndsWithItsReason(t *testing.T) {
	tests := []struct {
		name      string
		response  response
		compacted bool
	}{
		{"The stream ends.", response{status: 200, body: `{"result":{"header":{"revision":"3"},"created":true}}`}, false},
		{"The revision is compacted.", response{status: 200, body: `{"result":{"canceled":true,"compact_revision":"8"}}`}, true},
		{"The store reports an error.", response{status: 200, body: `{"error":{"code":14,"message":"x"}}`}, false},
		{"A message has no result.", response{status: 200, body: `{}`}, false},
		{"A message is truncated.", response{status: 200, body: `{"result":{"header"`, truncated: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			events, err := testStore(t, serve(t, tt.response)).Watch(t.Context(), "p/", 2)
			is.NoErr(err)
			var last WatchEvent
			count := 0
			for e := range events {
				last = e
				count++
			}
			is.Equal(count, 1) // the message that confirms the creation is not an event
			var storeErr *StoreError
			is.True(errors.As(last.Err, &storeErr))
			is.Equal(storeErr.Compacted, tt.compacted)
		})
	}
}

func TestWatchOfUnresponsiveStoreFails(t *testing.T) {
	is := is.New(t)
	_, err := testStore(t, serve(t, response{hang: true})).Watch(t.Context(), "p/", 2)
	is.True(err != nil)
}

func TestVerdictOfWorkerCall(t *testing.T) {
	tests := []struct {
		name     string
		response response
		stale    model.Epoch
		verdict  verdict.Verdict
	}{
		{"A stale epoch refuses the whole call.", response{status: 409, body: `{"seen":7}`}, 7, verdict.NotRun},
		{"An invalid call is refused.", response{status: 400}, 0, verdict.NotRun},
		{"A conflict without an epoch leaves the outcome unknown.", response{status: 409, body: `x`}, 0, verdict.MayHaveRun},
		{"A server error leaves the outcome unknown.", response{status: 500}, 0, verdict.MayHaveRun},
		{"A truncated answer leaves the outcome unknown.", response{status: 200, body: `{"res`, truncated: true}, 0, verdict.MayHaveRun},
		{"An answer with too few results leaves the outcome unknown.", response{status: 200, body: `{"results":[]}`}, 0, verdict.MayHaveRun},
		{"No answer leaves the outcome unknown.", response{hang: true}, 0, verdict.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			addr := serve(t, tt.response)[len("http://"):]
			_, err := NewWorkerClient(300*time.Millisecond).Start(t.Context(), addr, StartRequest{Attempts: make([]StartAttempt, 1)})
			is.Equal(verdict.Of(err), tt.verdict)
			var stale *StaleEpochError
			if errors.As(err, &stale) {
				is.Equal(stale.Seen, tt.stale)
			} else {
				is.Equal(tt.stale, model.Epoch(0))
			}
		})
	}
}

func TestCancelledCallBeforeAConnectionDidNotRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := NewWorkerClient(0).Start(ctx, "127.0.0.1:1", StartRequest{})
	is.Equal(verdict.Of(err), verdict.NotRun)
}

func TestBadAddressesAreRefused(t *testing.T) {
	is := is.New(t)
	for _, address := range []string{"", "127.0.0.1:2379", "ftp://a", "http://", "http://%zz"} {
		_, err := NewStore([]string{address}, StoreOptions{})
		is.True(err != nil)
		_, err = NewInventory(address)
		is.True(err != nil)
	}
	_, err := NewStore(nil, StoreOptions{})
	is.True(err != nil)
}

func TestInventoryListsWhatTheServerKnows(t *testing.T) {
	is := is.New(t)
	i, err := NewInventory(serve(t, response{status: 200, body: `{"workers":[{"id":"w","leaving":true}],"targets":[{"id":"t","slots":8}]}`}))
	is.NoErr(err)
	workers, err := i.Workers(t.Context())
	is.NoErr(err)
	is.Equal(workers, []model.Worker{{ID: "w", Leaving: true}})
	targets, err := i.Targets(t.Context())
	is.NoErr(err)
	is.Equal(targets, []model.Target{{ID: "t", Slots: 8}})
}

func TestUnchangedInventoryIsNotTransferredAgain(t *testing.T) {
	is := is.New(t)
	transfers, tag := 0, `"1"`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		transfers++
		_, _ = io.WriteString(w, `{"workers":[{"id":"w"}]}`)
	}))
	t.Cleanup(server.Close)
	i, err := NewInventory(server.URL)
	is.NoErr(err)
	for range 3 {
		workers, err := i.Workers(t.Context())
		is.NoErr(err)
		is.Equal(workers, []model.Worker{{ID: "w"}})
		workers[0].ID = "changed by the caller" // must not change the cached list
	}
	is.Equal(transfers, 1)
	tag = `"2"`
	_, err = i.Workers(t.Context())
	is.NoErr(err)
	is.Equal(transfers, 2)
}
