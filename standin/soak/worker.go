package soak

import (
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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
	cpu       int64 // reserved milliCPU; 0 for a filler
	spec      stepSpec
	pace      int64     // percent
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

	// mu is held by the callers of all unexported methods but tick, hold, loseAnswer, executeLate, key and writeEntry.
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
	// fillerPaces holds the sum of the fillers' paces in percent at the last ticks, as a ring of which ticks%len is next.
	fillerPaces [measurementTime / tickInterval]int64
	ticks       int
	// lostAnswerShare is the share of requests that get no answer, see loseAnswer.
	lostAnswerShare float64
}

// WorkerConfig describes a worker.
type WorkerConfig struct {
	ID, Zone, Host string
	CPU            int64         // capacity in milliCPU, unless SetCapacity changes it
	MaxLease       time.Duration // the longest lease that it grants
	FillerTail     int64         // by how many percent of its target each filler at full pace raises a tail latency
	Seed           uint64
	Store          *Store // where it writes its entry
	Adviser        *adviser
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
		w.fillerPaces[w.ticks%len(w.fillerPaces)] = w.fillerPace()
		w.ticks++
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
