package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// Paths of the workers' calls.
const (
	WorkerLeasePath  = "/v1/lease"
	WorkerStartPath  = "/v1/start"
	WorkerSignalPath = "/v1/signal"
)

// StaleEpoch is the body of a worker's response with status 409.
type StaleEpoch struct {
	Seen model.Epoch `json:"seen"`
}

// Unwrap returns the verdict not-run, because a worker checks the epoch before it acts on a call.
func (e *StaleEpochError) Unwrap() error {
	return verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "worker has seen epoch %d", e.Seen)
}

// DefaultWorkerTimeout bounds a call to a worker.
const DefaultWorkerTimeout = 2 * time.Second

// workerIdleConns is the number of idle connections kept to each worker.
const workerIdleConns = 2

// HTTPWorkerClient calls workers with JSON over HTTP. It is safe for concurrent use and
// never repeats a call.
type HTTPWorkerClient struct {
	client  *http.Client
	timeout time.Duration
}

var _ WorkerClient = (*HTTPWorkerClient)(nil)

// NewWorkerClient returns a client whose calls end after the timeout; zero takes the default.
func NewWorkerClient(timeout time.Duration) *HTTPWorkerClient {
	if timeout == 0 {
		timeout = DefaultWorkerTimeout
	}
	return &HTTPWorkerClient{client: newHTTPClient(workerIdleConns), timeout: timeout}
}

// Lease implements WorkerClient.
func (c *HTTPWorkerClient) Lease(ctx context.Context, addr string, r LeaseRequest) (LeaseReply, error) {
	var out LeaseReply
	err := c.call(ctx, addr, WorkerLeasePath, r, &out)
	return out, err
}

// Start implements WorkerClient.
func (c *HTTPWorkerClient) Start(ctx context.Context, addr string, r StartRequest) (StartReply, error) {
	var out StartReply
	if err := c.call(ctx, addr, WorkerStartPath, r, &out); err != nil {
		return StartReply{}, err
	}
	if len(out.Results) != len(r.Attempts) {
		return StartReply{}, verdict.New(verdict.MayHaveRun, verdict.ReasonWorkerFailed,
			"worker answered %d results to %d starts", len(out.Results), len(r.Attempts))
	}
	return out, nil
}

// Signal implements WorkerClient.
func (c *HTTPWorkerClient) Signal(ctx context.Context, addr string, r SignalRequest) error {
	return c.call(ctx, addr, WorkerSignalPath, r, &struct{}{})
}

// call performs one call. Its result is nil, a *StaleEpochError or a *verdict.Error.
func (c *HTTPWorkerClient) call(ctx context.Context, addr, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	callErr := callJSON(ctx, c.client, http.MethodPost, "http://"+addr+path, in, out)
	if callErr == nil {
		return nil
	}
	if !callErr.Sent {
		return verdict.New(verdict.NotRun, verdict.ReasonWorkerFailed, "worker %s: %v", addr, callErr)
	}
	switch callErr.Status {
	case http.StatusConflict:
		var stale StaleEpoch
		if err := json.Unmarshal(callErr.Body, &stale); err == nil {
			return &StaleEpochError{Seen: stale.Seen}
		}
	case http.StatusBadRequest, http.StatusNotFound:
		return verdict.New(verdict.NotRun, verdict.ReasonWorkerFailed, "worker %s: %v", addr, callErr)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonWorkerFailed, "worker %s: %v", addr, callErr)
}
