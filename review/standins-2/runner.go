package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat     = 1100 * time.Millisecond
	stopTime      = 80 * time.Millisecond
	tickInterval  = 5 * time.Millisecond
	maxListedEnds = 500
)

// run is one execution of a task.
type run struct {
	task   string
	number int64
}

// work is what the text `spec` of a job says of its tasks: "ms=50" for tasks that take 50 ms, "lasts" for tasks that go on
// until they are stopped, "serves" for such tasks that have a tail latency.
type work struct {
	takes         time.Duration
	lasts, serves bool
}

func parseWork(spec string) work {
	field, _, _ := strings.Cut(spec, " ")
	if ms, ok := strings.CutPrefix(field, "ms="); ok {
		n, _ := strconv.Atoi(ms)
		return work{takes: time.Duration(n) * time.Millisecond}
	}
	return work{lasts: true, serves: field == "serves"}
}

type activeRun struct {
	work
	startedAt time.Time
	stopsAt   time.Time // zero without a stop
}

type runEnd struct {
	seq int64
	run run
	how string
}

// runEvent is a start or an end that a runner has seen.
type runEvent struct {
	at     time.Time
	runner string
	run    run
	spec   string
	how    string // empty for a start
	// noted is set once the end was acknowledged.
	noted *bool
}

// history holds what all runners have seen, in the order of time.
type history struct {
	mu     sync.Mutex
	events []runEvent
}

func (h *history) add(e runEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *history) all() []runEvent {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]runEvent(nil), h.events...)
}

// runner is a stand-in for a runner of the platform.
type runner struct {
	id, zone, service, address string
	labels                     []string
	maxLease                   time.Duration
	needsTicket                func(step, id, ticket string) bool // reports whether a start is allowed; nil for any
	store                      *store
	rec                        *recorder
	history                    *history

	mu        sync.Mutex
	born      time.Time
	fence     int64
	leaseEnd  int64
	seq       int64
	nextEnd   int64
	runs      map[run]*activeRun
	specs     map[run]string
	refusedTo map[string]int64
	ends      []runEnd
	noted     map[run]*bool
	changed   chan struct{}
}

func newRunner(id, zone, service, host string, maxLease time.Duration, w *world) (*runner, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, zone: zone, service: service, address: l.Addr().String(), labels: []string{"a", "r1-1"}, maxLease: maxLease, store: w.store, rec: w.rec,
		history: w.history, born: time.Now(), nextEnd: 1, runs: map[run]*activeRun{}, specs: map[run]string{}, refusedTo: map[string]int64{},
		noted: map[run]*bool{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, r) }()
	go r.beat()
	go r.tick()
	return r, nil
}

// beat writes the runner's entry.
func (r *runner) beat() {
	for {
		r.mu.Lock()
		r.seq++
		entry := map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]int64{"cpu": 32000, "mem-mb": 128000, "gpu": 0}, "labels": r.labels, "clock-ms": r.clock(),
			"seq": r.seq, "born": r.born.UnixMilli(),
		}
		r.mu.Unlock()
		r.store.put("servers/"+r.id, entry)
		time.Sleep(heartbeat)
	}
}

// clock returns the time on the runner's steady clock, in milliseconds.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

func (r *runner) tick() {
	for range time.Tick(tickInterval) {
		r.mu.Lock()
		r.advance()
		r.mu.Unlock()
	}
}

func (r *runner) advance() {
	now := time.Now()
	lapsed := r.clock() > r.leaseEnd
	for key, a := range r.runs {
		switch {
		case lapsed:
			r.end(key, "lapsed")
		case !a.stopsAt.IsZero() && now.After(a.stopsAt):
			r.end(key, "stopped")
		case !a.lasts && now.Sub(a.startedAt) >= a.takes:
			r.end(key, "done")
		}
	}
}

func (r *runner) end(key run, how string) {
	delete(r.runs, key)
	r.refusedTo[key.task] = max(r.refusedTo[key.task], key.number)
	r.ends = append(r.ends, runEnd{r.nextEnd, key, how})
	r.nextEnd++
	noted := new(bool)
	r.noted[key] = noted
	r.history.add(runEvent{at: time.Now(), runner: r.id, run: key, spec: r.specs[key], how: how, noted: noted})
	r.rec.line("end    %s run %d on %s: %s", key.task, key.number, r.id, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until-ms"`
	Fence      int64  `json:"fencing-token"`
	LastSeen   int64  `json:"last-seen"`
	Wait       int64  `json:"wait-ms"`
	Ticket     string `json:"ticket"`
	Checkpoint string `json:"last-checkpoint"`
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	var b orderBody
	if json.NewDecoder(req.Body).Decode(&b) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]int64{"clock-ms": r.clock()})
		return
	}
	if req.Header.Get("X-Target-Instance") != r.id {
		writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	r.mu.Lock()
	r.advance()
	reason := r.execute(req.URL.Path, b)
	if reason != "" {
		clock := r.clock()
		r.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{"clock-ms": clock, "reason": reason})
		return
	}
	if req.URL.Path != "/api/hold" {
		clock := r.clock()
		r.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]int64{"clock-ms": clock})
		return
	}
	r.awaitEnd(req, time.Duration(min(b.Wait, 2000))*time.Millisecond)
	lists := r.lists()
	r.mu.Unlock()
	writeJSON(w, http.StatusOK, lists)
}

// execute carries out an order and returns the reason of a refusal.
func (r *runner) execute(path string, b orderBody) string {
	if b.Fence < r.fence {
		return "fence"
	}
	r.fence = b.Fence
	key := run{b.Task, b.Run}
	switch path {
	case "/api/run-start":
		return r.startRun(key, b)
	case "/api/run-stop":
		if a := r.runs[key]; a != nil && a.stopsAt.IsZero() {
			a.stopsAt = time.Now().Add(stopTime)
		}
		r.refusedTo[b.Task] = max(r.refusedTo[b.Task], b.Run)
	case "/api/hold":
		r.hold(b.Until)
		for len(r.ends) > 0 && r.ends[0].seq <= b.LastSeen {
			e := r.ends[0]
			r.ends = r.ends[1:]
			*r.noted[e.run] = true
			r.rec.line("noted  end of %s run %d on %s", e.run.task, e.run.number, r.id)
		}
	}
	return ""
}

func (r *runner) hold(until int64) {
	r.leaseEnd = max(r.leaseEnd, min(until, r.clock()+r.maxLease.Milliseconds()))
}

func (r *runner) startRun(key run, b orderBody) string {
	if r.runs[key] != nil {
		return ""
	}
	r.hold(b.Until)
	switch {
	case r.clock() > b.Until:
		return "late"
	case b.Run <= r.refusedTo[b.Task]:
		return "old"
	case r.needsTicket != nil && !r.needsTicket(b.Task[:strings.LastIndexByte(b.Task, '.')], r.id, b.Ticket):
		return "ticket"
	}
	r.runs[key] = &activeRun{work: parseWork(b.Spec), startedAt: time.Now()}
	r.specs[key] = b.Spec
	r.history.add(runEvent{at: time.Now(), runner: r.id, run: key, spec: b.Spec})
	r.rec.line("start  %s run %d on %s, fence %d", key.task, key.number, r.id, b.Fence)
	return ""
}

// awaitEnd waits for an end to list. It is called with the lock held.
func (r *runner) awaitEnd(req *http.Request, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for len(r.ends) == 0 && wait > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-req.Context().Done():
			wait = 0
		}
		r.mu.Lock()
	}
}

const (
	serviceTail = 30  // ms, of a task that serves
	otherCPU    = 100 // thousandths of a core, of any other task
)

func (r *runner) lists() any {
	running, ended := [][]any{}, [][]any{}
	for key, a := range r.runs {
		percent, figure := 100, otherCPU
		if !a.lasts {
			percent = int(min(99, 100*time.Since(a.startedAt)/max(1, a.takes)))
		}
		if a.serves {
			figure = serviceTail
		}
		running = append(running, []any{key.task, key.number, "", percent, figure})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
		ended = append(ended, []any{e.seq, e.run.task, e.run.number, e.how, ""})
	}
	return map[string]any{"born": r.born.UnixMilli(), "clock-ms": r.clock(), "running": running, "ended": ended}
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (r run) String() string { return fmt.Sprintf("%s run %d", r.task, r.number) }
