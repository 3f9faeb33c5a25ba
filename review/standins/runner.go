package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	holdMax  = 6 * time.Second        // hold-max-ms
	stopTime = 100 * time.Millisecond // a stop takes at most stop-ms, 400
	// endsAtOnce is how many ends a list holds ("500 at a time").
	endsAtOnce = 500
	heartbeat  = 1100 * time.Millisecond
)

type runKey struct {
	task string
	run  int64
}

type activeRun struct {
	began  time.Time
	lasts  time.Duration // 0: until it is stopped
	stopAt time.Time
}

type endedRun struct {
	n   int64
	key runKey
	how string
}

// Runner is a stand-in for a runner of the platform.
type Runner struct {
	ID, Zone string
	CPU, Mem int64
	Labels   []string
	link     *Link
	store    *Store
	watcher  *Checker
	lasts    func(task string) time.Duration
	server   *http.Server

	mu       sync.Mutex
	up       bool
	unwell   bool // it refuses all starts with 503 and has then done nothing
	born     time.Time
	boot     int
	seq      int64
	fence    int64
	leaseEnd int64
	runs     map[runKey]*activeRun
	barred   map[string]int64
	ended    []endedRun
	nextN    int64
	changed  chan struct{}
	started  int
}

func newRunner(id, zone, host string, store *Store, watcher *Checker, lasts func(string) time.Duration) (*Runner, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Zone: zone, CPU: 32000, Mem: 128000, Labels: []string{"a", "r1-1"}, store: store, watcher: watcher, lasts: lasts}
	if r.link, err = newLink(net.JoinHostPort(host, "0"), l.Addr().String()); err != nil {
		return nil, err
	}
	r.begin()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	go r.tick()
	return r, nil
}

// begin starts a boot that knows nothing of before.
func (r *Runner) begin() {
	r.up, r.born, r.seq, r.fence, r.leaseEnd, r.nextN = true, time.Now(), 0, 0, 0, 1
	r.runs, r.barred, r.ended, r.changed = map[runKey]*activeRun{}, map[string]int64{}, nil, make(chan struct{})
	r.boot++
	go r.register(r.boot)
}

// PowerOff ends the boot without a word.
func (r *Runner) PowerOff() {
	r.link.PowerOff()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = false
	r.boot++
	for key := range r.runs {
		r.watcher.Ended(r.ID, key, "lost with its runner")
	}
	r.runs = map[runKey]*activeRun{}
}

// PowerOn starts again under the same id and address.
func (r *Runner) PowerOn() {
	r.mu.Lock()
	r.begin()
	r.mu.Unlock()
	r.link.PowerOn()
}

// register writes the entry in the store every heartbeat, as long as the boot lasts.
func (r *Runner) register(boot int) {
	for {
		r.mu.Lock()
		if r.boot != boot {
			r.mu.Unlock()
			return
		}
		r.seq++
		entry := map[string]any{
			"service": serviceName, "address": r.link.Address(), "zone": r.Zone, "version": "1", "slots": 8, "state": "ready",
			"cold-left-ms": 0, "seq": r.seq, "capacity": map[string]int64{"cpu": r.CPU, "mem-mb": r.Mem, "gpu": 0},
			"labels": r.Labels, "born": r.born.UnixMilli(),
		}
		r.mu.Unlock()
		r.store.Put("servers/"+r.ID, entry)
		time.Sleep(heartbeat)
	}
}

func (r *Runner) clock() int64 { return time.Since(r.born).Milliseconds() + 5000 }

func (r *Runner) tick() {
	for range time.Tick(5 * time.Millisecond) {
		r.mu.Lock()
		r.advance()
		r.mu.Unlock()
	}
}

func (r *Runner) advance() {
	if !r.up {
		return
	}
	now := time.Now()
	for key, a := range r.runs {
		switch {
		case a.lasts > 0 && now.Sub(a.began) >= a.lasts:
			r.end(key, "done")
		case !a.stopAt.IsZero() && now.After(a.stopAt):
			r.end(key, "stopped")
		}
	}
	if r.clock() > r.leaseEnd {
		if len(r.runs)+len(r.ended) > 0 {
			r.watcher.Lapsed(r.ID, r.ended)
		}
		for key := range r.runs {
			r.end(key, "lapsed")
		}
	}
}

func (r *Runner) end(key runKey, how string) {
	delete(r.runs, key)
	r.barred[key.task] = max(r.barred[key.task], key.run)
	r.ended = append(r.ended, endedRun{r.nextN, key, how})
	r.nextN++
	r.watcher.Ended(r.ID, key, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"until-ms"`
	Fence      int64  `json:"fencing-token"`
	Checkpoint string `json:"last-checkpoint"`
	LastSeen   int64  `json:"last-seen"`
	Wait       int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		panic(http.ErrAbortHandler)
	}
	r.advance()
	answer := func(status int, reason string) {
		body := map[string]any{"clock-ms": r.clock(), "born": r.born.UnixMilli()}
		if reason != "" {
			body["reason"] = reason
		}
		writeJSON(w, status, body)
	}
	if req.Header.Get("X-Target-Instance") != r.ID {
		answer(http.StatusMisdirectedRequest, "")
		return
	}
	if o.Fence < r.fence {
		answer(http.StatusConflict, "fence")
		return
	}
	r.fence = o.Fence
	key := runKey{o.Task, o.Run}
	switch req.URL.Path {
	case "/api/run-start":
		if r.unwell {
			r.watcher.record.Line("run    %s refuses %s run %d: 503", r.ID, o.Task, o.Run)
			answer(http.StatusServiceUnavailable, "")
			return
		}
		answer(r.start(key, o))
	case "/api/run-stop":
		if a := r.runs[key]; a != nil && a.stopAt.IsZero() {
			a.stopAt = time.Now().Add(stopTime)
		}
		r.barred[o.Task] = max(r.barred[o.Task], o.Run)
		answer(http.StatusOK, "")
	case "/api/hold":
		r.hold(w, req, o)
	case "/api/pace":
		answer(http.StatusOK, "")
	default:
		answer(http.StatusNotFound, "")
	}
}

func (r *Runner) start(key runKey, o order) (int, string) {
	if r.runs[key] != nil {
		return http.StatusOK, ""
	}
	if r.clock() > o.Until {
		return http.StatusConflict, "late"
	}
	r.extend(o.Until)
	if key.run <= r.barred[key.task] {
		return http.StatusConflict, "old"
	}
	r.runs[key] = &activeRun{began: time.Now(), lasts: r.lasts(key.task)}
	r.started++
	r.watcher.Started(r.ID, r.boot, key, o)
	return http.StatusOK, ""
}

func (r *Runner) extend(until int64) {
	r.leaseEnd = max(r.leaseEnd, min(until, r.clock()+holdMax.Milliseconds()))
}

// hold is called with r.mu held.
func (r *Runner) hold(w http.ResponseWriter, req *http.Request, o order) {
	if o.Until > 0 {
		r.extend(o.Until)
	}
	for len(r.ended) > 0 && r.ended[0].n <= o.LastSeen {
		r.watcher.TakenNoteOf(r.ID, r.ended[0])
		r.ended = r.ended[1:]
	}
	boot := r.boot
	timer := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := o.Wait > 0; waiting && len(r.ended) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-req.Context().Done():
			waiting = false
		}
		r.mu.Lock()
		if r.boot != boot {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for key, a := range r.runs {
		percent := 100
		if a.lasts > 0 {
			percent = int(100 * time.Since(a.began) / a.lasts)
		}
		running = append(running, []any{key.task, key.run, "", min(percent, 100), 0})
	}
	for _, e := range r.ended[:min(len(r.ended), endsAtOnce)] {
		ended = append(ended, []any{e.n, e.key.task, e.key.run, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock-ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "ended": ended})
}

// SetUnwell makes the runner refuse all starts, or take them again.
func (r *Runner) SetUnwell(unwell bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unwell = unwell
}

// Counts returns how many runs have begun, and how many ends wait to be taken note of.
func (r *Runner) Counts() (started, running, ended int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started, len(r.runs), len(r.ended)
}

// Checker checks what the runners see against the rule TWICE.
type Checker struct {
	record *Record

	mu      sync.Mutex
	running map[string]map[string]bool // by task: "runner/run" that runs now
	done    map[string]string          // by task: the run that has ended done
	noted   map[string]bool            // "runner/n/task": done ends that were taken note of
	lapsed  map[string]bool            // done ends whose lease lapsed before they were taken note of
	after   map[string]string          // starts after a done end, by the task
	broken  []string
	begun   map[string]bool // jobs of which a task has started
}

// Begun reports whether a task of the job has started.
func (c *Checker) Begun(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun[job]
}

func newChecker(record *Record) *Checker {
	return &Checker{record: record, running: map[string]map[string]bool{}, done: map[string]string{}, noted: map[string]bool{},
		lapsed: map[string]bool{}, after: map[string]string{}, begun: map[string]bool{}}
}

// Started notes a start.
func (c *Checker) Started(runner string, boot int, key runKey, o order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Line("run    %s start %s run %d (fence %d)", runner, key.task, key.run, o.Fence)
	c.begun[jobOf(key.task)] = true
	for other := range c.running[key.task] {
		c.broken = append(c.broken, fmt.Sprintf("%s run %d starts on %s while it runs as %s", key.task, key.run, runner, other))
	}
	if c.running[key.task] == nil {
		c.running[key.task] = map[string]bool{}
	}
	c.running[key.task][fmt.Sprintf("%s/%d", runner, key.run)] = true
	if c.done[key.task] != "" {
		c.after[key.task] = fmt.Sprintf("%s run %d starts on %s after the end done of %s", key.task, key.run, runner, c.done[key.task])
	}
}

// Ended notes an end.
func (c *Checker) Ended(runner string, key runKey, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Line("run    %s end %s run %d %s", runner, key.task, key.run, how)
	delete(c.running[key.task], fmt.Sprintf("%s/%d", runner, key.run))
	if how == "done" && c.done[key.task] == "" {
		c.done[key.task] = fmt.Sprintf("%s/%d", runner, key.run)
	}
}

// TakenNoteOf notes that last-seen has reached an end.
func (c *Checker) TakenNoteOf(runner string, e endedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.how == "done" && c.done[e.key.task] == fmt.Sprintf("%s/%d", runner, e.key.run) {
		c.noted[e.key.task] = true
	}
}

// Lapsed notes that the lease of a runner has lapsed while it lists the ends.
func (c *Checker) Lapsed(runner string, ended []endedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range ended {
		if !c.noted[e.key.task] {
			c.lapsed[e.key.task] = true
		}
	}
}

// Broken returns the breaches of TWICE: two runs at the same time, and starts after an end done that was taken
// note of, unless the runner's lease lapsed between the two.
func (c *Checker) Broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]string{}, c.broken...)
	for task, text := range c.after {
		if c.noted[task] && !c.lapsed[task] {
			out = append(out, text)
		}
	}
	return out
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
