package soak

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the longest time from a change of a worker until its entry in the store shows it, and
	// missedHeartbeats the number of them after which the entry of a silent worker is removed.
	heartbeat        = 1100 * time.Millisecond
	missedHeartbeats = 3
	// minCrashTime and maxCrashTime bound how long a worker is away that a task has crashed.
	minCrashTime, maxCrashTime = time.Second, 4 * time.Second
	// stopDelay is the time from a stop request to the end of the run.
	stopDelay = 80 * time.Millisecond
	// clockRate is the rate of the workers' clocks relative to real time: they are 2 % slow.
	clockRate = 0.98
)

// run identifies one run, that is one execution of a task. Each later run of the task has a higher
// number.
type run struct {
	task   string
	number int64
}

// activeRun is a run that a worker is executing.
type activeRun struct {
	cpu       int64
	endsAt    time.Time // when it is done; zero if it runs until it is stopped
	fails     bool
	startedAt time.Time
	stopsAt   time.Time // when it ends after a stop request; zero without one
	crashesAt time.Time // when it crashes the worker; zero if it does not
}

// lasts reports whether the run goes on until it is stopped.
func (t *activeRun) lasts() bool { return t.endsAt.IsZero() && t.crashesAt.IsZero() }

// runEnd is the end of a run, which the worker lists until the owner acknowledges it.
type runEnd struct {
	seq     int64
	run     run
	outcome string
	// lapsed is set when the worker's lease ended before the acknowledgement. A later
	// acknowledgement is not reported to the checker.
	lapsed bool
}

// Worker is a stand-in for a worker of the platform. It follows the platform's protocol, simulates
// the execution of tasks, and reports starts, ends and acknowledgements to the checker.
type Worker struct {
	WorkerConfig
	proxy  *Proxy
	server *http.Server
	closed chan struct{}

	// mu is held by the callers of all unexported methods but tick, hold, executeDelayed, key and writeEntry.
	mu               sync.Mutex
	rng              *rand.Rand
	capacity         int64 // milliCPU
	formerCapacities []formerCapacity
	state            string    // as in the entry: ready or draining
	born             time.Time // start of this incarnation
	up               bool
	left             bool // it never starts again
	refusesStarts    bool
	fencingToken     int64
	leaseEnd         int64 // end of the lease on the worker's clock
	runs             map[run]*activeRun
	refusedUpTo      map[string]int64 // by task: highest run number that may not start any more
	unacknowledged   []*runEnd        // ends that the owner has not acknowledged
	nextSeq          int64
	changed          chan struct{} // closed and replaced when a run ends
	// taskFailureShare is the share of runs that fail because of the worker.
	taskFailureShare float64
	// delayedRequestShare is the share of start and stop requests that are executed later,
	// without an answer.
	delayedRequestShare float64
}

// WorkerConfig describes a worker.
type WorkerConfig struct {
	ID, Zone, Host string
	CPU            int64         // capacity in milliCPU, unless SetCapacity changes it
	MaxLease       time.Duration // the longest lease that it grants
	Seed           uint64
	Store          *Store // where it writes its entry
	Checker        *Checker
}

// formerCapacity is a capacity that a worker had until a time.
type formerCapacity struct {
	cpu   int64
	until time.Time
}

// NewWorker starts a worker that is reached through a proxy of its own.
func NewWorker(c WorkerConfig) (*Worker, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(c.Host, "0"))
	if err != nil {
		return nil, err
	}
	w := &Worker{
		WorkerConfig: c, capacity: c.CPU, closed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(c.Seed, 2)), changed: make(chan struct{}),
	}
	w.reset()
	if w.proxy, err = NewProxy(net.JoinHostPort(c.Host, "0"), l.Addr().String()); err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.tick()
	return w, nil
}

func (w *Worker) reset() {
	w.born, w.up, w.state, w.fencingToken, w.leaseEnd, w.nextSeq = time.Now(), true, "ready", 0, 0, 1
	w.runs, w.refusedUpTo, w.unacknowledged = map[run]*activeRun{}, map[string]int64{}, nil
}

// Crash stops the worker, which loses all of its runs and unacknowledged ends and drops its connections.
// It closes connections without an answer until it is restarted.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
}

func (w *Worker) crash() {
	w.up = false
	w.loseRuns()
	w.proxy.Reset()
}

// crashForAWhile crashes the worker and restarts it after a random time.
func (w *Worker) crashForAWhile() {
	w.crash()
	w.Checker.RecordFaultBegin()
	away := minCrashTime + time.Duration(w.rng.Int64N(int64(maxCrashTime-minCrashTime)))
	time.AfterFunc(away, func() {
		w.Restart()
		w.Announce("ready")
		w.Checker.RecordFaultEnd()
	})
}

// Restart starts the worker again with the same id, but without runs, lease and fencing token. A worker
// that is up, since an earlier restart overlapped with another fault, loses its runs.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left {
		return
	}
	w.loseRuns()
	w.reset()
}

// Leave stops the worker for good, with its proxy and its server. Its entry is removed after the given time.
func (w *Worker) Leave(entryRemovedAfter time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.closed)
	w.left = true
	w.crash()
	w.proxy.Close()
	_ = w.server.Close()
	time.AfterFunc(entryRemovedAfter, func() { w.Store.Delete(w.key()) })
}

// FailLastingRuns ends the runs that go on until they are stopped as failed.
func (w *Worker) FailLastingRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, t := range w.runs {
		if t.lasts() {
			w.finishRun(r, "failed")
		}
	}
}

// SetCapacity changes the capacity to cpu milliCPU. The worker's entry shows it within a heartbeat.
func (w *Worker) SetCapacity(cpu int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.capacity, time.Now()})
	w.capacity = cpu
	time.AfterFunc(time.Duration(w.rng.Int64N(int64(heartbeat))), w.writeEntry)
}

// countedCapacity returns the capacity in milliCPU that counts for a start at the given time: the largest of
// those that the worker has had in the last maxCapacityDelay before it.
func (w *Worker) countedCapacity(at time.Time) int64 {
	counted := w.capacity
	for _, former := range w.formerCapacities {
		if at.Sub(former.until) <= maxCapacityDelay {
			counted = max(counted, former.cpu)
		}
	}
	return counted
}

// freeCPU returns the milliCPU that new tasks may reserve: none if the worker takes no tasks.
func (w *Worker) freeCPU() int64 {
	if !w.up || w.state != "ready" || w.refusesStarts {
		return 0
	}
	return w.capacity - w.totalReservedCPU()
}

// loseRuns ends all runs, and forgets the ends that were not acknowledged.
func (w *Worker) loseRuns() {
	for r := range w.runs {
		w.Checker.RecordEnd(w.ID, r, "lost")
	}
	w.runs, w.unacknowledged = map[run]*activeRun{}, nil
}

// SetTaskFailureShare sets the share of runs that fail because of the worker.
func (w *Worker) SetTaskFailureShare(share float64) {
	w.mu.Lock()
	w.taskFailureShare = share
	w.mu.Unlock()
}

// SetRefusesStarts makes the worker refuse all starts, or accept them again.
func (w *Worker) SetRefusesStarts(refuses bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusesStarts = refuses
}

// SetDelayedRequestShare sets the share of start and stop requests that get no answer and are
// executed later.
func (w *Worker) SetDelayedRequestShare(share float64) {
	w.mu.Lock()
	w.delayedRequestShare = share
	w.mu.Unlock()
}

// workerEntry is the worker's entry in the store.
type workerEntry struct {
	Service  string   `json:"service"`
	Address  string   `json:"address"`
	Zone     string   `json:"zone"`
	Version  string   `json:"version"`
	Slots    int      `json:"slots"`
	State    string   `json:"state"`
	Cold     int      `json:"cold-left-ms"`
	Seq      int64    `json:"seq"`
	Capacity capacity `json:"capacity"`
	Labels   []string `json:"labels"`
	Born     int64    `json:"born"`
}

type capacity struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem-mb"`
	GPU    int64 `json:"gpu"`
}

func (w *Worker) key() string { return "servers/" + w.ID }

// Announce sets the worker's state and writes its entry.
func (w *Worker) Announce(state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.writeEntry()
}

// writeEntry writes the worker's entry to the store unless the worker is down.
func (w *Worker) writeEntry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.Store.Put(w.key(), workerEntry{
		Service: service, Address: w.proxy.Address(), Zone: w.Zone, Version: "1", Slots: 8, State: w.state,
		Capacity: capacity{CPU: w.capacity, Memory: 1 << 20}, Labels: []string{"a", "r1"}, Born: w.born.UnixMilli(),
	})
}

// clock returns the time on the worker's clock in milliseconds since its start.
func (w *Worker) clock() int64 {
	return int64(clockRate * float64(time.Since(w.born).Milliseconds()))
}

// tickInterval is the interval at which runs and the lease are checked for their end.
const tickInterval = 10 * time.Millisecond

func (w *Worker) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-w.closed:
			return
		}
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

// advance ends the runs that are done or have been stopped, and all runs if the lease has lapsed or a run
// crashes the worker.
func (w *Worker) advance() {
	now := time.Now()
	for _, r := range slices.Collect(maps.Keys(w.runs)) {
		t := w.runs[r]
		switch {
		case !t.crashesAt.IsZero() && !now.Before(t.crashesAt):
			w.crashForAWhile()
			return
		case !t.endsAt.IsZero() && now.After(t.endsAt) && t.fails:
			w.finishRun(r, "failed")
		case !t.endsAt.IsZero() && now.After(t.endsAt):
			w.finishRun(r, "done")
		case !t.stopsAt.IsZero() && now.After(t.stopsAt):
			w.finishRun(r, "stopped")
		}
	}
	if w.clock() <= w.leaseEnd {
		return
	}
	for _, e := range w.unacknowledged {
		e.lapsed = true
	}
	for _, r := range slices.Collect(maps.Keys(w.runs)) {
		w.finishRun(r, "lapsed")
	}
}

// finishRun ends a run, lists its end, and refuses further starts up to its number.
func (w *Worker) finishRun(r run, outcome string) {
	delete(w.runs, r)
	w.refusedUpTo[r.task] = max(w.refusedUpTo[r.task], r.number)
	w.unacknowledged = append(w.unacknowledged, &runEnd{seq: w.nextSeq, run: r, outcome: outcome, lapsed: outcome == "lapsed"})
	w.nextSeq++
	w.Checker.RecordEnd(w.ID, r, outcome)
	close(w.changed)
	w.changed = make(chan struct{})
}

type requestBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until-ms"`
	Fence      int64  `json:"fencing-token"`
	Checkpoint string `json:"last-checkpoint"`
	LastSeen   int64  `json:"last-seen"`
	Wait       int64  `json:"wait-ms"`

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
	up, delayed := w.up, r.URL.Path != "/api/hold" && w.rng.Float64() < w.delayedRequestShare
	w.mu.Unlock()
	switch {
	case !up:
		panic(http.ErrAbortHandler)
	case r.Header.Get("X-Target-Instance") != w.ID:
		writeJSON(rw, http.StatusMisdirectedRequest, struct{}{})
	case delayed:
		w.mu.Lock()
		born, wait := w.born, time.Duration(500+w.rng.IntN(3000))*time.Millisecond
		w.mu.Unlock()
		time.AfterFunc(wait, func() { w.executeDelayed(r.URL.Path, b, born) })
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/api/hold":
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

// executeDelayed executes a delayed request unless the worker was stopped or restarted meanwhile.
func (w *Worker) executeDelayed(path string, b requestBody, born time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up && w.born.Equal(born) {
		w.execute(path, b)
	}
}

// execute executes a start or stop request. Requests with an older fencing token are refused.
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
	task, ok := w.Checker.RecordStart(w, key, b.Spec, b.sentAt)
	if !ok {
		return http.StatusBadRequest, ""
	}
	t := &activeRun{cpu: task.cpu, startedAt: time.Now(), fails: w.rng.Float64() < w.taskFailureShare+task.failureShare}
	if task.duration > 0 {
		t.endsAt = t.startedAt.Add(task.duration)
	}
	if task.crashes {
		t.endsAt, t.crashesAt = time.Time{}, t.startedAt.Add(task.crashDelay)
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

// hold renews the lease, takes the acknowledgement of ends and answers with the running and ended
// runs. With a wait time, it answers as soon as there is an unacknowledged end.
func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, b requestBody) {
	w.mu.Lock()
	w.advance()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if b.Fence < w.fencingToken {
		clock := w.clock()
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, clockBody{Clock: clock, Reason: "fence"})
		return
	}
	w.fencingToken = b.Fence
	w.renew(b.Until)
	w.acknowledge(b.LastSeen)
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
		l.Running = append(l.Running, []any{r.task, r.number, "", percent, 1})
	}
	for _, e := range w.unacknowledged[:min(len(w.unacknowledged), maxListedEnds)] {
		l.Ended = append(l.Ended, []any{e.seq, e.run.task, e.run.number, e.outcome, ""})
	}
	return l
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
