package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

type requestBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until-ms"`
	Fence      int64  `json:"fencing-token"`
	Checkpoint string `json:"last-checkpoint"`
	LastSeen   int64  `json:"last-seen"`
	Wait       int64  `json:"wait-ms"`
	Percent    int64  `json:"percent"`
	Ticket     string `json:"ticket"`

	sentAt time.Time
}

type clockBody struct {
	Clock  int64  `json:"clock-ms"`
	Reason string `json:"reason,omitempty"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b requestBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		writeJSON(rw, http.StatusBadRequest, struct{}{})
		return
	}
	b.sentAt = time.Now()
	w.mu.Lock()
	up, lost := w.up, w.rng.Float64() < w.lostAnswerShare
	w.mu.Unlock()
	switch {
	case !up:
		panic(http.ErrAbortHandler)
	case r.Header.Get("X-Target-Instance") != w.ID:
		writeJSON(rw, http.StatusMisdirectedRequest, struct{}{})
	case lost:
		w.loseAnswer(r, b)
	case r.URL.Path == holdPath:
		w.hold(rw, r, b)
	default:
		w.mu.Lock()
		status, reason := w.execute(r.URL.Path, b)
		w.advance() // a run that has just started may crash the worker at once
		up, clock := w.up, w.clock()
		w.mu.Unlock()
		if !up {
			panic(http.ErrAbortHandler)
		}
		writeJSON(rw, status, clockBody{Clock: clock, Reason: reason})
	}
}

// execute executes a request, but does not wait for the end of a run as hold does. Requests with an older fencing token
// are refused.
func (w *Worker) execute(path string, b requestBody) (status int, reason string) {
	w.advance()
	if !w.up {
		return http.StatusServiceUnavailable, ""
	}
	if b.Fence < w.fencingToken {
		return http.StatusConflict, "fence"
	}
	w.fencingToken = b.Fence
	key := run{b.Task, b.Run}
	switch path {
	case "/api/run-start":
		return w.start(key, b)
	case "/api/run-stop":
		if t := w.runs[key]; t != nil && t.stopsAt.IsZero() {
			t.stopsAt = time.Now().Add(stopDelay)
		}
		w.refusedUpTo[b.Task] = max(w.refusedUpTo[b.Task], b.Run)
	case "/api/pace":
		if t := w.runs[key]; t != nil {
			t.pace = b.Percent
		}
	case holdPath:
		w.renew(b.Until)
		w.acknowledge(b.LastSeen)
	}
	return http.StatusOK, ""
}

func (w *Worker) start(key run, b requestBody) (int, string) {
	if w.runs[key] != nil {
		return http.StatusOK, ""
	}
	w.renew(b.Until)
	if w.clock() > b.Until {
		return http.StatusConflict, "late"
	}
	if b.Run <= w.refusedUpTo[b.Task] {
		return http.StatusConflict, "old"
	}
	if w.refusesStarts {
		return http.StatusServiceUnavailable, ""
	}
	if strings.HasPrefix(b.Spec, advisedPayload) && !w.Adviser.accepts(b.Task, w.ID, b.Ticket) {
		return http.StatusConflict, "ticket"
	}
	task, ok := w.Checker.RecordStart(w, key, b.Spec, b.sentAt)
	if !ok {
		return http.StatusBadRequest, ""
	}
	t := &activeRun{
		cpu: reservedCPU(task.spec), spec: task.spec, pace: fullPace, startedAt: time.Now(),
		fails: w.rng.Float64() < w.taskFailureShare+task.spec.failureShare,
	}
	if task.duration > 0 {
		t.endsAt = t.startedAt.Add(task.duration)
	}
	if task.crashes {
		t.endsAt, t.crashesAt = time.Time{}, t.startedAt.Add(task.spec.crashDelay)
	}
	w.runs[key] = t
	return http.StatusOK, ""
}

// renew extends the lease; it never shortens it.
func (w *Worker) renew(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+w.MaxLease.Milliseconds()))
}

// totalReservedCPU returns the CPU that all runs on the worker reserve, in milliCPU.
func (w *Worker) totalReservedCPU() int64 {
	var sum int64
	for _, t := range w.runs {
		sum += t.cpu
	}
	return sum
}

// maxListedEnds is the largest number of ends in an answer; the others follow once these are acknowledged.
const maxListedEnds = 500

type runListsBody struct {
	Born    int64   `json:"born"`
	Clock   int64   `json:"clock-ms"`
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended"`
}

// holdPath is the path of requests that renew the lease and ask for reports.
const holdPath = "/api/hold"

// hold renews the lease, takes the acknowledgement of ends and answers with the running and ended
// runs. With a wait time, it answers as soon as there is an unacknowledged end.
func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, b requestBody) {
	w.mu.Lock()
	if status, reason := w.execute(holdPath, b); status != http.StatusOK {
		up, clock := w.up, w.clock()
		w.mu.Unlock()
		if !up {
			panic(http.ErrAbortHandler)
		}
		writeJSON(rw, status, clockBody{Clock: clock, Reason: reason})
		return
	}
	deadline := time.NewTimer(time.Duration(b.Wait) * time.Millisecond)
	defer deadline.Stop()
	for waiting := b.Wait > 0; waiting && len(w.unacknowledged) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	lists := w.runLists()
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, lists)
}

// acknowledge removes the ends up to the number last, which the owner has recorded.
func (w *Worker) acknowledge(last int64) {
	w.unacknowledged = slices.DeleteFunc(w.unacknowledged, func(e *runEnd) bool {
		if e.seq > last {
			return false
		}
		if !e.lapsed {
			w.Checker.RecordAcknowledgement(e.run, e.outcome)
		}
		return true
	})
}

func (w *Worker) runLists() runListsBody {
	l := runListsBody{Born: w.born.UnixMilli(), Clock: w.clock(), Running: [][]any{}, Ended: [][]any{}}
	for r, t := range w.runs {
		percent := 100
		if !t.endsAt.IsZero() {
			percent = int(100 * time.Since(t.startedAt) / max(1, t.endsAt.Sub(t.startedAt)))
		}
		l.Running = append(l.Running, []any{r.task, r.number, "", percent, w.measurement(t)})
	}
	for _, e := range w.unacknowledged[:min(len(w.unacknowledged), maxListedEnds)] {
		l.Ended = append(l.Ended, []any{e.seq, e.run.task, e.run.number, e.outcome, ""})
	}
	return l
}

const (
	// fullPace is the pace of a run that is not slowed down, in percent.
	fullPace = 100
	// measurementTime is the time over which tail latencies are measured.
	measurementTime = 500 * time.Millisecond
	// usualTail is a tail latency without fillers, in percent of its target, and loadedTail the one in each third
	// loadedTime, in which more is asked of the task.
	usualTail, loadedTail = 50, 95
	loadedTime            = 800 * time.Millisecond
)

// measurement returns the figure that is listed for a run: the tail latency in milliseconds of a task with a target, which
// fillers raise, and about the processors in use of any other.
func (w *Worker) measurement(t *activeRun) int64 {
	if t.spec.TargetMS == 0 {
		return 1
	}
	var pace int64
	for _, p := range w.fillerPaces {
		pace += p
	}
	pace /= int64(len(w.fillerPaces))
	tail := int64(usualTail)
	if time.Since(w.born)/loadedTime%3 == 0 {
		tail = loadedTail
	}
	return (tail + w.FillerTail*pace/fullPace) * t.spec.TargetMS / 100
}

// fillerPace returns the sum of the fillers' paces in percent.
func (w *Worker) fillerPace() int64 {
	var sum int64
	for _, t := range w.runs {
		if t.spec.Fills {
			sum += t.pace
		}
	}
	return sum
}

// splitTask returns the job and the step of a task's name, which has the form
// job.occurrence.step.index.
func splitTask(name string) (job string, step int, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, fmt.Errorf("task name %q has %d parts, want 4", name, len(parts))
	}
	step, err = strconv.Atoi(parts[2])
	return parts[0], step, err
}
