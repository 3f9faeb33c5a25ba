package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/standin/workload"
)

// Headers of requests to targets.
const (
	headerAttempt  = "Geraniumwick-Attempt"
	headerKey      = "Geraniumwick-Key"
	headerNotAfter = "Geraniumwick-Not-After"
	headerVerdict  = "Geraniumwick-Verdict"
)

// TargetMode is the fault that a target shows.
type TargetMode string

// The modes of a target.
const (
	TargetHealthy TargetMode = ""
	// TargetLate executes, and answers with a delay of lateAnswerDelay.
	TargetLate TargetMode = "late"
	// TargetTruncated executes, sends the first half of the answer and closes the connection.
	TargetTruncated TargetMode = "truncated"
	// TargetDuplicateAnswers sends each answer twice on the connection.
	TargetDuplicateAnswers TargetMode = "twice"
	// TargetClose executes and closes the connection without an answer.
	TargetClose TargetMode = "close"
	// TargetRefuse answers that it is busy and does not execute.
	TargetRefuse TargetMode = "refuse"
)

// Times of the targets.
const (
	lateAnswerDelay = 3 * time.Second
	// leavingGrace is the time for which a leaving target may still receive new requests, since the
	// instances learn of the departure with a delay.
	leavingGrace = 5 * time.Second
)

// maxRequestBody is the largest body of a request, in bytes.
const maxRequestBody = 1 << 20

// Target executes requests, as many at once as it has slots. Its methods are safe for concurrent
// use.
type Target struct {
	Model  model.Target
	worker *Worker
	log    *ExecutionLog
	kinds  map[string]workload.RequestKind
	slots  chan struct{}

	mu      sync.Mutex
	mode    TargetMode
	leaving time.Time
	random  *rand.Rand
}

// newTarget returns an idle target on a worker.
func newTarget(m model.Target, w *Worker, log *ExecutionLog, kinds []workload.RequestKind, seed uint64) *Target {
	t := &Target{
		Model: m, worker: w, log: log,
		kinds:  map[string]workload.RequestKind{},
		slots:  make(chan struct{}, m.Slots),
		random: rand.New(rand.NewPCG(seed, 2)),
	}
	for _, k := range kinds {
		t.kinds[k.Path] = k
	}
	return t
}

// SetMode changes the fault that the target shows.
func (t *Target) SetMode(m TargetMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

// ServeHTTP executes one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, attempt)
	kind, ok := t.kinds[r.PathValue("path")]
	if !ok {
		refuse(w, http.StatusNotFound, "no such path")
		return
	}
	var in workload.Request
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	arrived := time.Now()
	t.mu.Lock()
	mode, leaving := t.mode, t.leaving
	t.mu.Unlock()
	if mode == TargetRefuse {
		refuse(w, http.StatusServiceUnavailable, "busy")
		return
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slots }()
	if notAfterPassed(r) {
		refuse(w, http.StatusServiceUnavailable, "the not-after time has passed")
		return
	}
	if !leaving.IsZero() && arrived.Sub(leaving) > leavingGrace {
		t.log.addViolation(arrived, ViolationLeaving, string(t.Model.ID))
	}
	answer := t.execute(kind, reference(r, in), in)
	t.worker.samples.observe(t.Model.Service, time.Since(arrived), time.Since(arrived), t.Model.Slots)
	writeAnswer(w, mode, attempt, answer)
}

// execute computes the answer. It takes a random time around the mean of the kind, lengthened by
// the attempts that execute on the same worker.
func (t *Target) execute(kind workload.RequestKind, reference string, in workload.Request) []byte {
	t.log.requestStarted(time.Now(), t.Model, kind.Class, kind.Path, reference)
	t.mu.Lock()
	factor := 0.5 + t.random.ExpFloat64()/2
	t.mu.Unlock()
	time.Sleep(time.Duration(factor * t.worker.latencyFactor() * float64(kind.Time)))
	answer, _ := json.Marshal(workload.Compute(in))
	t.log.requestEnded(reference, true)
	return answer
}

// reference returns the reference that the caller put into the body, or else the request's key.
func reference(r *http.Request, in workload.Request) string {
	if in.Reference != "" {
		return in.Reference
	}
	return r.Header.Get(headerKey)
}

// notAfterPassed reports whether the request's not-after time has passed.
func notAfterPassed(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(headerNotAfter), 10, 64)
	return err == nil && time.Now().UnixMilli() >= ms
}

// refuse answers that the request was not executed.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(headerVerdict, "not-run")
	http.Error(w, message, status)
}

// writeAnswer sends the answer with the fault of the mode.
func writeAnswer(w http.ResponseWriter, mode TargetMode, attempt string, answer []byte) {
	w.Header().Set("Content-Type", "application/json")
	switch mode {
	case TargetLate:
		time.Sleep(lateAnswerDelay)
	case TargetClose:
		panic(http.ErrAbortHandler)
	case TargetTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	case TargetDuplicateAnswers:
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			headerAttempt, attempt, len(answer), answer)
		_, _ = io.WriteString(conn, response+response)
		// The connection stays open for a while, so that the caller can receive both answers on it.
		time.Sleep(100 * time.Millisecond)
		return
	}
	_, _ = w.Write(answer)
}
