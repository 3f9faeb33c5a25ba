package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	service = "svc"
	// routeHost and routePrefix form the route that jobs of the only queue are submitted to.
	routeHost   = "jobs.example"
	routePrefix = "/jobs/"
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 3 * time.Second
	// maxSubmitTries bounds how often a caller submits one job.
	maxSubmitTries = 6
	// jobsPerCrash is the number of jobs of which one on average has a task that crashes workers.
	jobsPerCrash = 40
)

// callers simulates callers that submit jobs, query their states and cancel some of them.
type callers struct {
	checker   *Checker
	addresses func() []string // callers' addresses of the running instances
	key       func() string   // the API key of all calls; empty for none
	prefix    string          // of the route
	client    *http.Client
}

func newCallers(checker *Checker, addresses func() []string, key func() string) *callers {
	return &callers{checker: checker, addresses: addresses, key: key, prefix: routePrefix, client: &http.Client{Timeout: callTimeout + time.Second}}
}

// runCaller acts as one caller until ctx ends: it submits one job after the other and queries each. faultRNG
// decides which of the jobs crash workers.
func (c *callers) runCaller(ctx context.Context, rng, faultRNG *rand.Rand, index int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", index+1, n)
		job := randomJob(rng, id)
		if index == 0 && n == 2 {
			job = wideJob(id)
		}
		if faultRNG.IntN(jobsPerCrash) == 0 {
			makeCrash(faultRNG, &job)
		}
		if c.submit(ctx, rng, id, job) {
			c.pollJob(ctx, rng, id)
		}
		pause.For(ctx, time.Duration(40+rng.IntN(250))*time.Millisecond)
	}
}

// randomJob returns a random job of one to three steps. One job in twelve is a long-running one
// of a single step.
func randomJob(rng *rand.Rand, id string) jobSpec {
	job := jobSpec{Spec: "payload of " + id}
	longRunning := rng.IntN(12) == 0
	for i := range 1 + rng.IntN(3) {
		s := stepSpec{
			Count: 1 + rng.IntN(5), CPU: int64(200 + rng.IntN(1200)), Memory: 10, Estimate: 300,
			duration: time.Duration(40+rng.IntN(700)) * time.Millisecond, failureShare: 0.02,
		}
		s.Fills = rng.IntN(5) == 0
		if i > 0 && rng.IntN(2) == 0 {
			s.After = []int{rng.IntN(i)}
		}
		job.Steps = append(job.Steps, s)
		if longRunning {
			job.Steps = []stepSpec{{Count: s.Count, CPU: s.CPU, Memory: 10, LongRunning: true}}
			break
		}
	}
	return job
}

// makeCrash makes the first task of a random step crash each worker that starts it, unless the job is a
// long-running one.
func makeCrash(rng *rand.Rand, job *jobSpec) {
	const maxCrashDelay = 400 * time.Millisecond
	s := &job.Steps[rng.IntN(len(job.Steps))]
	if s.crashes = !s.LongRunning; s.crashes && rng.IntN(3) > 0 {
		s.crashDelay = time.Duration(rng.Int64N(int64(maxCrashDelay)))
	}
}

// lastingJob returns a long-running job of small tasks.
func lastingJob(id string) jobSpec {
	return jobSpec{Spec: "payload of " + id, Steps: []stepSpec{{Count: 8, CPU: 400, Memory: 10, LongRunning: true}}}
}

// wideJob returns a job of so many tasks that end together that the ends on one worker do not fit into one report.
func wideJob(id string) jobSpec {
	const count, duration = 4800, 4 * time.Second
	return jobSpec{Spec: "payload of " + id, Steps: []stepSpec{{Count: count, CPU: 1, Memory: 1, Estimate: duration.Milliseconds(), duration: duration, endTogether: true}}}
}

// submit submits a job until it is accepted, at most maxSubmitTries times, which is safe as a
// submission is idempotent. It reports whether the job was accepted.
func (c *callers) submit(ctx context.Context, rng *rand.Rand, id string, spec jobSpec) bool {
	c.checker.RecordSubmission(id, spec)
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // jobSpec can always be encoded
	}
	for range maxSubmitTries {
		status, _, err := c.call(ctx, rng, http.MethodPost, id, body)
		accepted := err == nil && status/100 == 2
		refused := err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound || status == http.StatusUnauthorized)
		c.checker.RecordSubmissionAnswer(id, accepted, refused)
		if accepted {
			return true
		}
		pause.For(ctx, time.Duration(100+rng.IntN(300))*time.Millisecond)
	}
	return false
}

// pollJob queries the state of a job up to twice, and cancels one job in eight.
func (c *callers) pollJob(ctx context.Context, rng *rand.Rand, id string) {
	for range rng.IntN(3) {
		pause.For(ctx, time.Duration(rng.IntN(200))*time.Millisecond)
		c.queryState(ctx, rng, id)
	}
	if rng.IntN(8) == 0 {
		c.cancel(ctx, rng, id)
	}
}

type stateBody struct {
	State string `json:"state"`
}

// queryState queries the state of a job and records it.
func (c *callers) queryState(ctx context.Context, rng *rand.Rand, id string) {
	status, body, err := c.call(ctx, rng, http.MethodGet, id, nil)
	if err != nil {
		return
	}
	var s stateBody
	if status == http.StatusOK && json.Unmarshal(body, &s) != nil {
		return
	}
	c.checker.RecordState(id, status, s.State)
}

func (c *callers) cancel(ctx context.Context, rng *rand.Rand, id string) {
	c.checker.RecordCancelRequest(id)
	status, _, err := c.call(ctx, rng, http.MethodDelete, id, nil)
	if err == nil && status/100 == 2 {
		c.checker.RecordCancellation(id)
	}
}

// call sends a request to a random running instance.
func (c *callers) call(ctx context.Context, rng *rand.Rand, method, id string, body []byte) (int, []byte, error) {
	addresses := c.addresses()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addresses[rng.IntN(len(addresses))]+c.prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = routeHost
	req.Header.Set("X-Deadline", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if key := c.key(); key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}
