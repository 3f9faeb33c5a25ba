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
	// AnswerError describes what is wrong with an answer that has no verdict, or that was delivered
	// as complete although it is not the correct one. It is empty otherwise.
	AnswerError string
}

// Traffic sends generated requests at a constant rate and keeps the results.
type Traffic struct {
	Deployment string
	// Run is the prefix of all references.
	Run  string
	Seed uint64
	// Rate is the number of requests a second.
	Rate int
	// Timeout is the time that callers allow for a request; zero means the deadline of the document.
	Timeout time.Duration
	// OnlyKind limits the requests to one kind.
	OnlyKind *workload.RequestKind
	// Direct sends the requests to targets instead of instances.
	Direct bool
	// CallerAddr returns the address for the n-th request; an empty one skips the request.
	CallerAddr func(n int) string

	mu      sync.Mutex
	results []Result
	client  *http.Client
}

// Send sends requests until ctx ends and returns when all have been answered or have failed.
func (t *Traffic) Send(ctx context.Context) {
	t.client = &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second},
		Timeout:   40 * time.Second,
	}
	defer t.client.CloseIdleConnections()
	generator := workload.NewGenerator(t.Deployment, t.Run, t.Seed)
	ticker := time.NewTicker(time.Second / time.Duration(t.Rate))
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
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
		kind, request := t.nextRequest(generator)
		inFlight.Go(func() { t.addResult(t.call(addr, kind, request)) })
	}
}

// nextRequest generates the next request and its kind.
func (t *Traffic) nextRequest(g *workload.Generator) (workload.RequestKind, workload.Request) {
	if t.OnlyKind != nil {
		return *t.OnlyKind, g.Request()
	}
	return g.PickKind(), g.Request()
}

// SendSequentially sends one request after the other to one address until ctx ends. It returns the
// number of requests that were answered or failed, and of those the number that ran on a target.
func (t *Traffic) SendSequentially(ctx context.Context, client *http.Client, addr string) (answered, ran int) {
	t.client = client
	generator := workload.NewGenerator(t.Deployment, t.Run, t.Seed)
	for ctx.Err() == nil {
		kind, request := t.nextRequest(generator)
		answered++
		if t.call(addr, kind, request).Verdict == verdict.Ran {
			ran++
		}
	}
	return answered, ran
}

// call sends one request and checks its answer.
func (t *Traffic) call(addr string, kind workload.RequestKind, in workload.Request) (r Result) {
	r = Result{Reference: in.Reference, Class: kind.Class, Began: time.Now()}
	defer func() { r.Latency = time.Since(r.Began) }()
	status, header, answer, err := t.post(addr, kind, in)
	if err != nil {
		// No complete answer arrived, so the verdict stays MayHaveRun, the zero value.
		r.Reason = verdict.ReasonPeerUnreachable
		return r
	}
	if t.Direct {
		header.Set("Geraniumwick-Verdict", verdict.Ran.String())
	}
	v, err := verdict.Parse(header.Get("Geraniumwick-Verdict"))
	r.Verdict = v
	if err != nil {
		r.AnswerError = "an answer without a verdict: " + strconv.Itoa(status) + " " + string(answer)
		return r
	}
	if v == verdict.Ran && status == http.StatusOK {
		if err := workload.Check(in, answer); err != nil {
			r.AnswerError = err.Error()
		}
		return r
	}
	var failure verdict.Error
	if err := json.Unmarshal(answer, &failure); err == nil {
		r.Reason = failure.Reason
	}
	return r
}

// post makes the HTTP call of one request.
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

// addResult adds the result of one request.
func (t *Traffic) addResult(r Result) {
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

// Contradiction is a result that differs from what the targets recorded.
type Contradiction struct {
	Result Result
	Text   string
}

// Contradictions compares the results of callers with the executions that the targets recorded.
func Contradictions(results []Result, executions map[string]fleet.Executions) []Contradiction {
	var out []Contradiction
	for _, r := range results {
		e := executions[r.Reference]
		switch {
		case r.AnswerError != "":
			out = append(out, Contradiction{r, r.AnswerError})
		case r.Verdict == verdict.NotRun && e.Count > 0:
			out = append(out, Contradiction{r, "the caller was told that it did not run, but a target executed it"})
		case r.Verdict == verdict.Ran && e.Completed == 0:
			out = append(out, Contradiction{r, "the caller was told that it ran, but no target completed it"})
		}
	}
	return out
}

// Percentile returns the latency that the given share of the results, from 0 to 1, did not exceed.
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
