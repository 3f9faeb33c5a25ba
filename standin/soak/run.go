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

// Options describe one soak.
type Options struct {
	Seed      uint64
	Binary    string // path of geraniumwickd
	Dir       string // for settings and logs
	Instances int
	Workers   int
	Callers   int
	// Duration is how long callers submit jobs and faults are injected.
	Duration time.Duration
}

// Report is the result of one soak.
type Report struct {
	Seed       uint64
	Accepted   int
	Starts     int
	Faults     []string
	Violations []string
}

const (
	// readyTimeout bounds the start of the instances, finishTimeout the time until all jobs have
	// ended after the faults, and endTimeout the time until the runs of cancelled jobs have ended.
	readyTimeout  = 15 * time.Second
	finishTimeout = 40 * time.Second
	endTimeout    = 10 * time.Second
	// workerCapacity is in milliCPU.
	workerCapacity = 4000
)

// testbed holds the processes, stand-ins and records of one soak.
type testbed struct {
	opts      Options
	checker   *Checker
	store     *Store
	server    *http.Server
	startedAt time.Time

	mu             sync.Mutex
	instances      []*instance
	workers        []*Worker
	faults         []string
	pendingReverts sync.WaitGroup
}

// Run executes one soak and returns its report. An error means that the soak could not be set up.
func Run(ctx context.Context, o Options) (Report, error) {
	tb := &testbed{opts: o, checker: NewChecker(), store: NewStore(o.Seed), startedAt: time.Now()}
	defer tb.close()
	if err := tb.setUp(); err != nil {
		return Report{}, err
	}
	tb.runCallersAndFaults(ctx)
	tb.finishAndCheck(ctx)
	accepted, starts := tb.checker.Counts()
	return Report{Seed: o.Seed, Accepted: accepted, Starts: starts, Faults: tb.faults, Violations: tb.checker.Violations()}, nil
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

// loopbackAddresses returns a function that gives the n-th loopback address of this soak. The range
// is random, so that concurrent soaks do not collide on the fixed ports.
func loopbackAddresses(seed uint64) func(n int) string {
	rng := rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))
	a, b := 10+rng.IntN(200), rng.IntN(250)
	return func(n int) string { return fmt.Sprintf("127.%d.%d.%d", a, b, n+1) }
}

func (tb *testbed) setUp() error {
	host := loopbackAddresses(tb.opts.Seed)
	l, err := net.Listen("tcp", net.JoinHostPort(host(0), "0"))
	if err != nil {
		return err
	}
	tb.server = &http.Server{Handler: tb.store}
	go func() { _ = tb.server.Serve(l) }()
	tb.store.Put("op/config", config(1))
	for n := range tb.opts.Workers {
		if err := tb.addWorker(n, host(100)); err != nil {
			return err
		}
	}
	for n := range tb.opts.Instances {
		i, err := newInstance(fmt.Sprintf("i%d", n), host(10+n), tb.opts.Dir, tb.opts.Binary, l.Addr().String())
		if err != nil {
			return err
		}
		tb.instances = append(tb.instances, i)
	}
	for _, i := range tb.instances {
		if !tb.becomesReady(context.Background(), i) {
			return fmt.Errorf("%s is not ready after %s; see %s", i.name, readyTimeout, i.proc.LogFile)
		}
	}
	return nil
}

func (tb *testbed) addWorker(n int, host string) error {
	zone := []string{"a", "b"}[n%2]
	worker, err := NewWorker(fmt.Sprintf("w%d", n), zone, host, workerCapacity, tb.opts.Seed+uint64(n), tb.checker)
	if err != nil {
		return err
	}
	tb.workers = append(tb.workers, worker)
	tb.store.Put("servers/"+worker.ID, worker.Entry("ready"))
	return nil
}

// runningAddresses returns the addresses of the callers' listeners of the running instances, as a
// load balancer would. If none is running it returns the address of the first instance.
func (tb *testbed) runningAddresses() []string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var out []string
	for _, i := range tb.instances {
		if i.up() {
			out = append(out, i.callerAddress())
		}
	}
	if len(out) == 0 {
		return []string{tb.instances[0].callerAddress()}
	}
	return out
}

// runCallersAndFaults runs the callers and injects faults for the configured duration, then waits
// until all faults are reverted.
func (tb *testbed) runCallersAndFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tb.opts.Duration)
	defer cancel()
	c := newCallers(tb.checker, tb.runningAddresses)
	var group sync.WaitGroup
	for n := range tb.opts.Callers {
		group.Go(func() { c.runCaller(ctx, rand.New(rand.NewPCG(tb.opts.Seed, 100+uint64(n))), n) })
	}
	group.Go(func() { tb.injectFaults(ctx, rand.New(rand.NewPCG(tb.opts.Seed, 7))) })
	group.Wait()
	tb.pendingReverts.Wait()
}

// finishAndCheck waits until all jobs have ended, cancelling the long-running ones, then checks the
// final state and stops the instances.
func (tb *testbed) finishAndCheck(ctx context.Context) {
	c := newCallers(tb.checker, tb.runningAddresses)
	rng := rand.New(rand.NewPCG(tb.opts.Seed, 8))
	for startedAt := time.Now(); time.Since(startedAt) < finishTimeout && ctx.Err() == nil; {
		unfinished := tb.checker.UnfinishedJobs()
		if len(unfinished) == 0 {
			break
		}
		for _, id := range unfinished {
			if tb.checker.LongRunning(id) {
				c.cancel(ctx, rng, id)
			}
			c.queryState(ctx, rng, id)
		}
		pause.For(ctx, 200*time.Millisecond)
	}
	for startedAt := time.Now(); time.Since(startedAt) < endTimeout && tb.anyRunActive(); {
		pause.For(ctx, 100*time.Millisecond)
	}
	tb.checker.CheckFinalState()
	for _, i := range tb.instances {
		if !i.exited() && !tb.becomesReady(ctx, i) {
			tb.checker.RecordViolation("READY", "%s does not serve after all faults; see %s", i.name, i.proc.LogFile)
		}
	}
	for _, i := range tb.instances {
		if i.exited() && !i.exitExpected {
			tb.checker.RecordViolation("EXIT", "%s exited without a signal from the soak; see %s", i.name, i.proc.LogFile)
		}
		if err := i.stop()(); err != nil {
			tb.checker.RecordViolation("STOP", "%v", err)
		}
	}
}

// becomesReady waits until an instance serves, and reports whether it does within readyTimeout.
func (tb *testbed) becomesReady(ctx context.Context, i *instance) bool {
	for startedAt := time.Now(); time.Since(startedAt) < readyTimeout; pause.For(ctx, 50*time.Millisecond) {
		if i.ready() {
			return true
		}
	}
	return false
}

// anyRunActive reports whether a worker is executing a run.
func (tb *testbed) anyRunActive() bool {
	for _, worker := range tb.workers {
		worker.mu.Lock()
		n := len(worker.runs)
		worker.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

func (tb *testbed) close() {
	for _, i := range tb.instances {
		if i.child != nil {
			i.proc.Kill()
		}
		i.storeProxy.Close()
	}
	for _, worker := range tb.workers {
		worker.Close()
	}
	if tb.server != nil {
		_ = tb.server.Close()
	}
}
