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
	// route is where the jobs of the one queue are handed in.
	routeHost   = "jobs.example"
	routePrefix = "/jobs/"
	// callTime is how long a caller waits for an answer.
	callTime = 3 * time.Second
	// tries bounds how often a caller hands one job in.
	tries = 6
)

// callers hand jobs in, ask for them and cancel some.
type callers struct {
	judge  *Checker
	fronts func() []string // addresses of instances that should answer
	client *http.Client
}

func newCallers(judge *Checker, fronts func() []string) *callers {
	return &callers{judge: judge, fronts: fronts, client: &http.Client{Timeout: callTime + time.Second}}
}

// work acts as one caller until ctx ends.
func (c *callers) work(ctx context.Context, rng *rand.Rand, name int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", name+1, n)
		if c.submit(ctx, rng, id, drawJob(rng, id)) {
			c.follow(ctx, rng, id)
		}
		pause.For(ctx, time.Duration(40+rng.IntN(250))*time.Millisecond)
	}
}

// drawJob draws a job of one to three steps.
func drawJob(rng *rand.Rand, id string) jobSpec {
	j := jobSpec{Spec: "payload of " + id}
	lasts := rng.IntN(12) == 0
	for i := range 1 + rng.IntN(3) {
		s := stepSpec{
			Count: 1 + rng.IntN(5), CPU: int64(200 + rng.IntN(1200)), Memory: 10, Estimate: 300,
			time: time.Duration(40+rng.IntN(700)) * time.Millisecond, failures: 0.02,
		}
		s.Fills = rng.IntN(5) == 0
		if i > 0 && rng.IntN(2) == 0 {
			s.After = []int{rng.IntN(i)}
		}
		j.Steps = append(j.Steps, s)
		if lasts {
			j.Steps = []stepSpec{{Count: s.Count, CPU: s.CPU, Memory: 10, LongRunning: true}}
			break
		}
	}
	return j
}

// submit hands a job in until the answer is certain; it reports whether it was accepted.
func (c *callers) submit(ctx context.Context, rng *rand.Rand, id string, j jobSpec) bool {
	c.judge.RecordSubmission(id, j)
	body, err := json.Marshal(j)
	if err != nil {
		panic(err) // only the package's own types are written
	}
	for range tries {
		status, _, err := c.call(ctx, rng, http.MethodPost, id, body)
		accepted := err == nil && status/100 == 2
		refused := err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusNotFound)
		c.judge.RecordSubmissionAnswer(id, accepted, refused)
		if accepted {
			return true
		}
		pause.For(ctx, time.Duration(100+rng.IntN(300))*time.Millisecond)
	}
	return false
}

// follow asks for a job now and then, and cancels some.
func (c *callers) follow(ctx context.Context, rng *rand.Rand, id string) {
	for range rng.IntN(3) {
		pause.For(ctx, time.Duration(rng.IntN(200))*time.Millisecond)
		c.ask(ctx, rng, id)
	}
	if rng.IntN(8) == 0 {
		c.cancel(ctx, rng, id)
	}
}

type stateBody struct {
	State string `json:"state"`
}

// ask asks for the state of a job.
func (c *callers) ask(ctx context.Context, rng *rand.Rand, id string) {
	status, body, err := c.call(ctx, rng, http.MethodGet, id, nil)
	if err != nil {
		return
	}
	var s stateBody
	if status == http.StatusOK && json.Unmarshal(body, &s) != nil {
		return
	}
	c.judge.RecordState(id, status, s.State)
}

func (c *callers) cancel(ctx context.Context, rng *rand.Rand, id string) {
	status, _, err := c.call(ctx, rng, http.MethodDelete, id, nil)
	if err == nil && status/100 == 2 {
		c.judge.RecordCancellation(id)
	}
}

// call makes a call to any instance.
func (c *callers) call(ctx context.Context, rng *rand.Rand, method, id string, body []byte) (int, []byte, error) {
	fronts := c.fronts()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+fronts[rng.IntN(len(fronts))]+routePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = routeHost
	req.Header.Set("X-Deadline", strconv.FormatInt(callTime.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}
