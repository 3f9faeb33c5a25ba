package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// Options describe a run.
type Options struct {
	Seed      uint64
	Binary    string // path of geraniumwickd
	Dir       string // for settings and logs
	Instances int
	Workers   int
	Callers   int
	// Duration is how long faults and callers go on.
	Duration time.Duration
}

// Report is what a run came to.
type Report struct {
	Seed       uint64
	Accepted   int
	Starts     int
	Faults     []string
	Violations []string
}

const (
	// readyTime bounds the start of the instances, finishTime the end of all jobs after the
	// faults, and stopBound the end of what was cancelled.
	readyTime  = 15 * time.Second
	finishTime = 40 * time.Second
	stopBound  = 10 * time.Second
	// workerCapacity is in thousandths of a core.
	workerCapacity = 4000
)

// world is everything of one run.
type world struct {
	opts   Options
	judge  *Checker
	store  *Store
	server *http.Server
	begun  time.Time

	mu        sync.Mutex
	instances []*instance
	workers   []*Worker
	faults    []string
	healing   sync.WaitGroup
}

// Run plays one run and returns its report. An error says that the run could not be played.
func Run(ctx context.Context, o Options) (Report, error) {
	w := &world{opts: o, judge: NewChecker(), store: NewStore(o.Seed), begun: time.Now()}
	defer w.close()
	if err := w.setUp(); err != nil {
		return Report{}, err
	}
	w.play(ctx)
	w.finish(ctx)
	accepted, starts := w.judge.Counts()
	return Report{Seed: o.Seed, Accepted: accepted, Starts: starts, Faults: w.faults, Violations: w.judge.Violations()}, nil
}

type routeBody struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Service     string  `json:"service"`
	TargetMS    int     `json:"target-duration-ms"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch"`
}

type configBody struct {
	Version int64       `json:"version"`
	Routes  []routeBody `json:"routes"`
}

func config(version int64) configBody {
	return configBody{Version: version, Routes: []routeBody{{
		Name: "q", Host: routeHost, Prefix: routePrefix, Service: service, TargetMS: 1000, MaxAttempts: maxAttempts, Stretch: 2,
	}}}
}

// hosts returns loopback addresses of this run, so that runs beside each other do not share ports.
func hosts(seed uint64) func(n int) string {
	rng := rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))
	a, b := 10+rng.IntN(200), rng.IntN(250)
	return func(n int) string { return fmt.Sprintf("127.%d.%d.%d", a, b, n+1) }
}

func (w *world) setUp() error {
	host := hosts(w.opts.Seed)
	l, err := net.Listen("tcp", net.JoinHostPort(host(0), "0"))
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(l) }()
	w.store.Put("op/config", config(1))
	for n := range w.opts.Workers {
		if err := w.addWorker(n, host(100)); err != nil {
			return err
		}
	}
	for n := range w.opts.Instances {
		i, err := newInstance(fmt.Sprintf("i%d", n), host(10+n), w.opts.Dir, w.opts.Binary, l.Addr().String())
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
	}
	for _, i := range w.instances {
		for begun := time.Now(); !i.ready(); time.Sleep(50 * time.Millisecond) {
			if time.Since(begun) > readyTime {
				return fmt.Errorf("%s is not ready after %s; see %s", i.name, readyTime, i.proc.LogFile)
			}
		}
	}
	return nil
}

func (w *world) addWorker(n int, host string) error {
	zone := []string{"a", "b"}[n%2]
	worker, err := NewWorker(fmt.Sprintf("w%d", n), zone, host, workerCapacity, w.opts.Seed+uint64(n), w.judge)
	if err != nil {
		return err
	}
	w.workers = append(w.workers, worker)
	w.store.Put("servers/"+worker.ID, worker.Entry("ready"))
	return nil
}

// fronts returns the addresses that the balancer leads callers to.
func (w *world) fronts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, i := range w.instances {
		if i.up() {
			out = append(out, i.front())
		}
	}
	if len(out) == 0 {
		return []string{w.instances[0].front()}
	}
	return out
}

// play lets callers and faults act.
func (w *world) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Duration)
	defer cancel()
	c := newCallers(w.judge, w.fronts)
	var all sync.WaitGroup
	for n := range w.opts.Callers {
		all.Go(func() { c.work(ctx, rand.New(rand.NewPCG(w.opts.Seed, 100+uint64(n))), n) })
	}
	all.Go(func() { w.injectFaults(ctx, rand.New(rand.NewPCG(w.opts.Seed, 7))) })
	all.Wait()
	w.healing.Wait()
}

// finish waits until all jobs have come to an end, then checks what must hold.
func (w *world) finish(ctx context.Context) {
	c := newCallers(w.judge, w.fronts)
	rng := rand.New(rand.NewPCG(w.opts.Seed, 8))
	for begun := time.Now(); time.Since(begun) < finishTime && ctx.Err() == nil; {
		open := w.judge.UnfinishedJobs()
		if len(open) == 0 {
			break
		}
		for _, id := range open {
			if w.judge.LongRunning(id) {
				c.cancel(ctx, rng, id)
			}
			c.ask(ctx, rng, id)
		}
		pause.For(ctx, 200*time.Millisecond)
	}
	for begun := time.Now(); time.Since(begun) < stopBound && w.anyRuns(); {
		pause.For(ctx, 100*time.Millisecond)
	}
	w.judge.CheckFinalState()
	for _, i := range w.instances {
		if i.ended() && !i.ending {
			w.judge.RecordViolation("EXIT", "%s ended by itself; see %s", i.name, i.proc.LogFile)
		}
		if err := i.stop()(); err != nil {
			w.judge.RecordViolation("STOP", "%v", err)
		}
	}
}

func (w *world) anyRuns() bool {
	for _, worker := range w.workers {
		worker.mu.Lock()
		n := len(worker.runs)
		worker.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

func (w *world) close() {
	for _, i := range w.instances {
		if i.child != nil {
			i.proc.Kill()
		}
		i.store.Close()
	}
	for _, worker := range w.workers {
		worker.Close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
}
