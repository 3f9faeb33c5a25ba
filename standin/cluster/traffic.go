package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
	"github.com/geraniumwick/geraniumwick/standin/fleet"
	"github.com/geraniumwick/geraniumwick/standin/workload"
)

// Result is the outcome of one request as its caller saw it.
type Result struct {
	Reference string
	Class     model.RequestClass
	Verdict   verdict.Verdict
	// Reason is set for a failure.
	Reason  verdict.Reason
	Began   time.Time
	Latency time.Duration
	// Fault says what is wrong with an answer that was given as whole.
	Fault string
}

// Traffic sends requests at a steady rate and keeps the results.
type Traffic struct {
	Deployment string
	// Run is the beginning of every reference.
	Run  string
	Seed uint64
	// Rate is the number of requests a second.
	Rate int
	// Timeout is what callers allow for a request; zero leaves it to the document.
	Timeout time.Duration
	// OnlyKind limits the requests to one kind.
	OnlyKind *workload.RequestKind
	// Direct sends the requests to targets instead of instances.
	Direct bool
	// CallerAddr returns the address for the n-th request; empty skips it.
	CallerAddr func(n int) string

	mu      sync.Mutex
	results []Result
	client  *http.Client
}

// Send sends requests until ctx ends and returns when all have been answered.
func (t *Traffic) Send(ctx context.Context) {
	t.client = &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second},
		Timeout:   40 * time.Second,
	}
	defer t.client.CloseIdleConnections()
	generator := workload.NewGenerator(t.Deployment, t.Run, t.Seed)
	ticker := time.NewTicker(time.Second / time.Duration(t.Rate))
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		addr := t.CallerAddr(n)
		if addr == "" {
			continue
		}
		kind, request := t.next(generator)
		open.Go(func() { t.add(t.call(addr, kind, request)) })
	}
}

// next returns the next request.
func (t *Traffic) next(g *workload.Generator) (workload.RequestKind, workload.Request) {
	if t.OnlyKind != nil {
		return *t.OnlyKind, g.Request()
	}
	return g.PickKind(), g.Request()
}

// SendSequentially sends one request after the other to one address until ctx ends, and returns the
// number of answers and of those from a target.
func (t *Traffic) SendSequentially(ctx context.Context, client *http.Client, addr string) (answered, ran int) {
	t.client = client
	generator := workload.NewGenerator(t.Deployment, t.Run, t.Seed)
	for ctx.Err() == nil {
		kind, request := t.next(generator)
		answered++
		if t.call(addr, kind, request).Verdict == verdict.Ran {
			ran++
		}
	}
	return answered, ran
}

// call sends one request and judges its answer.
func (t *Traffic) call(addr string, kind workload.RequestKind, in workload.Request) (r Result) {
	r = Result{Reference: in.Reference, Class: kind.Class, Began: time.Now()}
	defer func() { r.Latency = time.Since(r.Began) }()
	status, header, body, err := t.post(addr, kind, in)
	if err != nil {
		// The callers' connection broke, so all that they know is that it may have run.
		r.Reason = verdict.ReasonPeerUnreachable
		return r
	}
	if t.Direct {
		header.Set("Geraniumwick-Verdict", verdict.Ran.String())
	}
	v, err := verdict.Parse(header.Get("Geraniumwick-Verdict"))
	r.Verdict = v
	if err != nil {
		r.Fault = "an answer without a verdict: " + strconv.Itoa(status) + " " + string(body)
		return r
	}
	if v == verdict.Ran && status == http.StatusOK {
		if err := workload.Check(in, body); err != nil {
			r.Fault = err.Error()
		}
		return r
	}
	var failure verdict.Error
	if err := json.Unmarshal(body, &failure); err == nil {
		r.Reason = failure.Reason
	}
	return r
}

// post makes the HTTP call.
func (t *Traffic) post(addr string, kind workload.RequestKind, in workload.Request) (int, http.Header, []byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, nil, nil, err
	}
	url := "http://" + addr + "/v1/requests/" + string(kind.Service) + "/" + kind.Path
	if t.Direct {
		url = "http://" + addr + "/" + kind.Path
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Geraniumwick-Key", in.Reference)
	req.Header.Set("Geraniumwick-Customer", in.Customer)
	if t.Timeout > 0 {
		req.Header.Set("Geraniumwick-Timeout", strconv.FormatInt(t.Timeout.Milliseconds(), 10))
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}

// add keeps a result.
func (t *Traffic) add(r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
}

// Results returns the results so far.
func (t *Traffic) Results() []Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.results)
}

// Contradiction is a result that the targets' own record disproves.
type Contradiction struct {
	Result Result
	Text   string
}

// Contradictions compares what callers were told with what the targets counted.
func Contradictions(results []Result, executions map[string]fleet.Executions) []Contradiction {
	var out []Contradiction
	for _, r := range results {
		e := executions[r.Reference]
		switch {
		case r.Fault != "":
			out = append(out, Contradiction{r, r.Fault})
		case r.Verdict == verdict.NotRun && e.Count > 0:
			out = append(out, Contradiction{r, "told that it was not run, but it was executed"})
		case r.Verdict == verdict.Ran && e.Completed == 0:
			out = append(out, Contradiction{r, "told that it ran, but it was never executed to its end"})
		}
	}
	return out
}

// Percentile returns the latency that a share of the results did not exceed.
func Percentile(results []Result, share float64) time.Duration {
	if len(results) == 0 {
		return 0
	}
	latencies := make([]time.Duration, 0, len(results))
	for _, r := range results {
		latencies = append(latencies, r.Latency)
	}
	slices.Sort(latencies)
	return latencies[min(int(share*float64(len(latencies))), len(latencies)-1)]
}
