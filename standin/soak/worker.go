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
	// maxHold is the longest lease that a worker grants.
	maxHold = 3 * time.Second
	// stopTime is how long a stop takes.
	stopTime = 80 * time.Millisecond
	// clockRate is how fast the clocks of workers run: 2 % slow.
	clockRate = 0.98
)

// run identifies a start of a task.
type run struct {
	task string
	run  int64
}

// running is what a worker knows of a run.
type running struct {
	cpu      int64
	ends     time.Time // when it is done; zero if it lasts
	fails    bool
	began    time.Time
	stopping time.Time // when it ends because of a stop
}

// ended is an end that a worker lists until it is acknowledged.
type ended struct {
	number int64
	run    run
	how    string
	// lapsed says that the lease has ended since.
	lapsed bool
}

// Worker is a stand-in of a runner: it obeys the protocol and tells the checker what it does.
type Worker struct {
	ID       string
	Zone     string
	capacity int64
	judge    *Checker
	link     *Proxy
	server   *http.Server
	closed   chan struct{}

	mu      sync.Mutex
	rng     *rand.Rand
	born    time.Time
	up      bool
	fence   int64
	until   int64 // end of the lease on the worker's clock
	runs    map[run]*running
	barred  map[string]int64
	ends    []*ended
	next    int64
	changed chan struct{}
	// grey is the share of tasks that fail by the worker's fault.
	grey float64
	// late is the share of orders that are carried out later, without an answer.
	late float64
}

// NewWorker starts a worker behind a proxy.
func NewWorker(id, zone, host string, capacity int64, seed uint64, judge *Checker) (*Worker, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	w := &Worker{
		ID: id, Zone: zone, capacity: capacity, judge: judge, closed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(seed, 2)), changed: make(chan struct{}),
	}
	w.reset()
	if w.link, err = NewProxy(net.JoinHostPort(host, "0"), l.Addr().String()); err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.tick()
	return w, nil
}

// Close ends the worker.
func (w *Worker) Close() {
	close(w.closed)
	w.Crash()
	w.link.Close()
	_ = w.server.Close()
}

func (w *Worker) reset() {
	w.born, w.up, w.fence, w.until, w.next = time.Now(), true, 0, 0, 1
	w.runs, w.barred, w.ends = map[run]*running{}, map[string]int64{}, nil
}

// Crash ends all that runs there.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	for r := range w.runs {
		w.judge.RecordEnd(w.ID, r, "lost")
	}
	w.runs, w.ends = map[run]*running{}, nil
}

// Restart starts the worker again under its id.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset()
}

// SetTaskFailureShare sets the share of tasks that fail there, and SetDelayedRequestShare that of
// requests that are carried out later.
func (w *Worker) SetTaskFailureShare(share float64) { w.mu.Lock(); w.grey = share; w.mu.Unlock() }

// SetDelayedRequestShare sets the share of requests that get no answer and are carried out later.
func (w *Worker) SetDelayedRequestShare(share float64) { w.mu.Lock(); w.late = share; w.mu.Unlock() }

// entry is what the worker writes of itself into the store.
type entry struct {
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

// Entry returns the worker's entry in the given state.
func (w *Worker) Entry(state string) entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return entry{
		Service: service, Address: w.link.Address(), Zone: w.Zone, Version: "1", Slots: 8, State: state,
		Capacity: capacity{CPU: w.capacity, Memory: 1 << 20}, Labels: []string{"a", "r1"}, Born: w.born.UnixMilli(),
	}
}

// clock is the worker's clock in milliseconds.
func (w *Worker) clock() int64 {
	return int64(clockRate * float64(time.Since(w.born).Milliseconds()))
}

// tickTime is the resolution of ends and leases.
const tickTime = 10 * time.Millisecond

func (w *Worker) tick() {
	ticker := time.NewTicker(tickTime)
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

// advance ends what is over, and all if the lease has ended.
func (w *Worker) advance() {
	now := time.Now()
	for _, r := range slices.Collect(maps.Keys(w.runs)) {
		t := w.runs[r]
		switch {
		case !t.ends.IsZero() && now.After(t.ends) && t.fails:
			w.end(r, "failed")
		case !t.ends.IsZero() && now.After(t.ends):
			w.end(r, "done")
		case !t.stopping.IsZero() && now.After(t.stopping):
			w.end(r, "stopped")
		}
	}
	if w.clock() <= w.until {
		return
	}
	for _, e := range w.ends {
		e.lapsed = true
	}
	for _, r := range slices.Collect(maps.Keys(w.runs)) {
		w.end(r, "lapsed")
	}
}

func (w *Worker) end(r run, how string) {
	delete(w.runs, r)
	w.barred[r.task] = max(w.barred[r.task], r.run)
	w.ends = append(w.ends, &ended{number: w.next, run: r, how: how, lapsed: how == "lapsed"})
	w.next++
	w.judge.RecordEnd(w.ID, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until-ms"`
	Fence      int64  `json:"fencing-token"`
	Checkpoint string `json:"last-checkpoint"`
	LastSeen   int64  `json:"last-seen"`
	Wait       int64  `json:"wait-ms"`
}

type clockBody struct {
	Clock  int64  `json:"clock-ms"`
	Reason string `json:"reason,omitempty"`
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		answer(rw, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	up, late := w.up, r.URL.Path != "/api/hold" && w.rng.Float64() < w.late
	w.mu.Unlock()
	switch {
	case !up:
		panic(http.ErrAbortHandler)
	case r.Header.Get("X-Target-Instance") != w.ID:
		answer(rw, http.StatusMisdirectedRequest, struct{}{})
	case late:
		w.mu.Lock()
		born, wait := w.born, time.Duration(500+w.rng.IntN(3000))*time.Millisecond
		w.mu.Unlock()
		time.AfterFunc(wait, func() { w.executeLate(r.URL.Path, b, born) })
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/api/hold":
		w.hold(rw, r, b)
	default:
		w.mu.Lock()
		status, reason := w.execute(r.URL.Path, b)
		clock := w.clock()
		w.mu.Unlock()
		answer(rw, status, clockBody{Clock: clock, Reason: reason})
	}
}

func (w *Worker) executeLate(path string, b orderBody, born time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up && w.born.Equal(born) {
		w.execute(path, b)
	}
}

// execute carries out an order.
func (w *Worker) execute(path string, b orderBody) (status int, reason string) {
	w.advance()
	if b.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = b.Fence
	key := run{b.Task, b.Run}
	switch path {
	case "/api/run-start":
		return w.start(key, b)
	case "/api/run-stop":
		if t := w.runs[key]; t != nil && t.stopping.IsZero() {
			t.stopping = time.Now().Add(stopTime)
		}
		w.barred[b.Task] = max(w.barred[b.Task], b.Run)
	}
	return http.StatusOK, ""
}

func (w *Worker) start(key run, b orderBody) (int, string) {
	if w.runs[key] != nil {
		return http.StatusOK, ""
	}
	w.renew(b.Until)
	if w.clock() > b.Until {
		return http.StatusConflict, "late"
	}
	if b.Run <= w.barred[b.Task] {
		return http.StatusConflict, "old"
	}
	task, ok := w.judge.RecordStart(w, key, b.Spec)
	if !ok {
		return http.StatusBadRequest, ""
	}
	t := &running{cpu: task.cpu, began: time.Now(), fails: w.rng.Float64() < w.grey+task.failures}
	if task.time > 0 {
		t.ends = t.began.Add(task.time)
	}
	w.runs[key] = t
	return http.StatusOK, ""
}

// renew extends the lease; it never shortens it.
func (w *Worker) renew(until int64) {
	w.until = max(w.until, min(until, w.clock()+maxHold.Milliseconds()))
}

// used returns the processors that runs take, in thousandths.
func (w *Worker) used() int64 {
	var sum int64
	for _, t := range w.runs {
		sum += t.cpu
	}
	return sum
}

type listsBody struct {
	Born    int64   `json:"born"`
	Clock   int64   `json:"clock-ms"`
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended"`
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, b orderBody) {
	w.mu.Lock()
	w.advance()
	if b.Fence < w.fence {
		clock := w.clock()
		w.mu.Unlock()
		answer(rw, http.StatusConflict, clockBody{Clock: clock, Reason: "fence"})
		return
	}
	w.fence = b.Fence
	w.renew(b.Until)
	w.acknowledge(b.LastSeen)
	deadline := time.NewTimer(time.Duration(b.Wait) * time.Millisecond)
	defer deadline.Stop()
	for waiting := b.Wait > 0; waiting && len(w.ends) == 0; {
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
	lists := w.lists()
	w.mu.Unlock()
	answer(rw, http.StatusOK, lists)
}

// acknowledge forgets ends that the owner has noted.
func (w *Worker) acknowledge(last int64) {
	w.ends = slices.DeleteFunc(w.ends, func(e *ended) bool {
		if e.number > last {
			return false
		}
		if !e.lapsed {
			w.judge.RecordAcknowledgement(e.run, e.how)
		}
		return true
	})
}

func (w *Worker) lists() listsBody {
	l := listsBody{Born: w.born.UnixMilli(), Clock: w.clock(), Running: [][]any{}, Ended: [][]any{}}
	for r, t := range w.runs {
		percent := 100
		if !t.ends.IsZero() {
			percent = int(100 * time.Since(t.began) / max(1, t.ends.Sub(t.began)))
		}
		l.Running = append(l.Running, []any{r.task, r.run, "", percent, 1})
	}
	for _, e := range w.ends {
		l.Ended = append(l.Ended, []any{e.number, e.run.task, e.run.run, e.how, ""})
	}
	return l
}

// splitTask returns the parts of a task's name: job, occurrence, step, index.
func splitTask(name string) (job string, step int, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, fmt.Errorf("task %q has %d parts", name, len(parts))
	}
	step, err = strconv.Atoi(parts[2])
	return parts[0], step, err
}
