package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
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
	// Series is how many times owners are killed in series afterwards, each followed by a calm stretch in
	// which the lasting tasks must come back, and how many times the configuration changes again and again afterwards
	// while the paths to the store are disturbed.
	Series int
	// LostAnswers lets all workers lose answers in long stretches, and lets callers submit jobs after the faults while half
	// of the answers are lost.
	LostAnswers bool
	// FillerTail is by how many percent of its target a filler raises the tail latency of the tasks beside it meanwhile.
	FillerTail int64
	// Restarts is how many times half of the workers start again and are cut off soon after, as the owner is killed. Workers
	// then grant longestLease.
	Restarts int
	// Keys lets callers need API keys, which change all the time while they submit jobs, and bounds what all jobs may have running.
	Keys bool
	// Wide widens the range of what happens: see runWide.
	Wide bool
	// Losses is how many times almost all workers are lost at once, twice in succession, after the faults.
	Losses int
}

// Report is the result of one soak.
type Report struct {
	Seed     uint64
	Accepted int
	Starts   int
	// KeysAccepted and KeysRefused count calls whose API key was accepted, and those whose key was said not to exist.
	KeysAccepted, KeysRefused int
	Faults                    []string
	Violations                []string
}

const (
	// readyTimeout bounds the start of the instances, finishTimeout the time until all jobs have
	// ended after the faults, and endTimeout the time until the runs of cancelled jobs have ended.
	readyTimeout  = 15 * time.Second
	finishTimeout = 40 * time.Second
	endTimeout    = 10 * time.Second
	// crashTime is how long after the faults tasks that crash workers go on; then their jobs are cancelled.
	crashTime = 15 * time.Second
	// livenessCheckInterval is the time between two checks that what could run does.
	livenessCheckInterval = 100 * time.Millisecond
	// maxCheckDelay is how late such a check may be without a line in the report: the stand-ins are as late.
	maxCheckDelay = 500 * time.Millisecond
	// workerCapacity is in milliCPU.
	workerCapacity = 4000
	// 1/quotaPart of the capacity of all workers is the quota of the tenant, where callers need API keys.
	quotaPart = 3
	// Workers grant leases of at most shortMaxLease, and of at most longMaxLease with odd seeds.
	shortMaxLease, longMaxLease = 3 * time.Second, 6 * time.Second
)

// testbed holds the processes, stand-ins and records of one soak.
type testbed struct {
	opts      Options
	checker   *Checker
	store     *Store
	server    *http.Server
	startedAt time.Time
	address   func(n int) string // n-th loopback address
	settings  instanceSettings
	adviser   *adviser

	mu              sync.Mutex
	instances       []*instance
	workers         []*Worker
	workersAdded    int
	lostAnswerShare float64 // at all workers, see SetLostAnswerShare
	faults          []string
	pendingReverts  sync.WaitGroup
	operators       operators
}

// Run executes one soak and returns its report. An error means that the soak could not be set up.
func Run(ctx context.Context, o Options) (Report, error) {
	tb := &testbed{opts: o, checker: NewChecker(), store: NewStore(o.Seed), startedAt: time.Now(), address: loopbackAddresses(o.Seed)}
	tb.operators.store = tb.store
	tb.settings = instanceSettings{maxLease: []time.Duration{shortMaxLease, longMaxLease}[o.Seed%2], statusTime: usualStatusTime}
	if o.Restarts > 0 {
		tb.settings.maxLease = longestLease
	}
	if o.Wide {
		tb.settings.statusTime = max(shortStatusTime, o.Duration)
	}
	defer tb.close()
	if err := tb.setUp(); err != nil {
		return Report{}, err
	}
	checks, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	go tb.checkLiveness(checks)
	stopLosingAnswers := tb.startLosingAnswers(ctx, tb.newRand(12))
	tb.runCallersAndFaults(ctx)
	c, rng := newCallers(tb.checker, tb.runningAddresses, tb.operators.callerKey), tb.newRand(8)
	tb.finishJobs(ctx, c, rng)
	stopLosingAnswers()
	if tb.opts.LostAnswers {
		tb.checkLostAnswers(ctx, c)
	}
	stopLosingAnswers = tb.startLosingAnswers(ctx, tb.newRand(13))
	tb.runSeries(ctx, c, rng)
	tb.finishJobs(ctx, c, rng)
	stopLosingAnswers()
	if tb.opts.Wide {
		tb.runWide(ctx, c, tb.newRand(17))
	}
	tb.checkEnd(ctx)
	accepted, starts := tb.checker.Counts()
	keysAccepted, keysRefused := tb.checker.KeyAnswers()
	return Report{Seed: o.Seed, Accepted: accepted, Starts: starts, KeysAccepted: keysAccepted, KeysRefused: keysRefused, Faults: tb.faults, Violations: tb.checker.Violations()}, nil
}

// loopbackAddresses returns a function that gives the n-th loopback address of this soak. The range
// is random, so that concurrent soaks do not collide on the fixed ports.
func loopbackAddresses(seed uint64) func(n int) string {
	rng := rand.New(rand.NewPCG(seed, uint64(time.Now().UnixNano())))
	a, b := 10+rng.IntN(200), rng.IntN(250)
	return func(n int) string { return fmt.Sprintf("127.%d.%d.%d", a, b, n+1) }
}

func (tb *testbed) setUp() error {
	l, err := net.Listen("tcp", net.JoinHostPort(tb.address(0), "0"))
	if err != nil {
		return err
	}
	tb.server = &http.Server{Handler: tb.store}
	go func() { _ = tb.server.Serve(l) }()
	if tb.adviser, err = newAdviser(tb.address(120)); err != nil {
		return err
	}
	tb.settings.advice = tb.adviser.address
	if tb.opts.Keys {
		tb.settings.revocationBound = revocationBound
		tb.operators.quota = int64(tb.opts.Workers) * workerCapacity / quotaPart
		tb.checker.SetQuota(tb.operators.quota)
		tb.operators.rotateKeys()
	}
	tb.operators.changeVersion()
	for range tb.opts.Workers {
		if err := tb.addWorker(); err != nil {
			return err
		}
	}
	for n := range tb.opts.Instances {
		i, err := newInstance(fmt.Sprintf("i%d", n), tb.address(10+n), tb.opts.Dir, tb.opts.Binary, l.Addr().String(), tb.settings)
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

// addWorker adds a worker under a new id. The caller must hold tb.mu once faults are injected.
func (tb *testbed) addWorker() error {
	n := tb.workersAdded
	worker, err := NewWorker(WorkerConfig{
		ID: fmt.Sprintf("w%d", n), Zone: []string{"a", "b"}[n%2], Host: tb.address(100), CPU: workerCapacity,
		MaxLease: tb.settings.maxLease, FillerTail: tb.opts.FillerTail, Seed: tb.opts.Seed + uint64(n), Store: tb.store, Adviser: tb.adviser, Checker: tb.checker,
	})
	if err != nil {
		return err
	}
	worker.SetLostAnswerShare(tb.lostAnswerShare)
	tb.workersAdded++
	tb.workers = append(tb.workers, worker)
	worker.Announce("ready")
	return nil
}

// replaceWorker adds a worker in the place of one that has left.
func (tb *testbed) replaceWorker(left *Worker) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.workers = slices.DeleteFunc(tb.workers, func(w *Worker) bool { return w == left })
	return tb.addWorker()
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
	c := newCallers(tb.checker, tb.runningAddresses, tb.operators.callerKey)
	var group sync.WaitGroup
	for n := range tb.opts.Callers {
		group.Go(func() { c.runCaller(ctx, tb.newRand(100+uint64(n)), tb.newRand(200+uint64(n)), n) })
	}
	if tb.opts.Keys {
		group.Go(func() { tb.checkKeys(ctx) })
	}
	group.Go(func() { tb.injectFaults(ctx, tb.newRand(7), faultKinds) })
	group.Go(func() { tb.injectFaults(ctx, tb.newRand(9), workerChanges) })
	group.Go(func() { tb.injectFaults(ctx, tb.newRand(10), connectionFaults) })
	if tb.opts.Wide {
		group.Go(func() { tb.injectFaults(ctx, tb.newRand(16), wideFaults) })
		group.Go(func() { c.runLeavingCaller(ctx, tb.newRand(400)) })
	}
	group.Wait()
	tb.pendingReverts.Wait()
}

// newRand returns the random numbers of one purpose, which the seed and the stream decide.
func (tb *testbed) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(tb.opts.Seed, stream))
}

// finishJobs waits until all jobs have ended. It cancels the long-running ones at once, and after crashTime
// those with tasks that crash workers.
func (tb *testbed) finishJobs(ctx context.Context, c *callers, rng *rand.Rand) {
	for startedAt := time.Now(); time.Since(startedAt) < finishTimeout && ctx.Err() == nil; pause.For(ctx, 200*time.Millisecond) {
		unfinished := tb.checker.UnfinishedJobs()
		if len(unfinished) == 0 {
			return
		}
		for _, id := range unfinished {
			if tb.checker.LongRunning(id) || tb.checker.Crashes(id) && time.Since(startedAt) > crashTime {
				c.cancel(ctx, rng, id)
			}
			c.queryState(ctx, rng, id)
		}
	}
}

// checkOwnerSeries kills owners in series while lasting tasks run, and waits until these are back or have been
// reported as lost.
func (tb *testbed) checkOwnerSeries(ctx context.Context, c *callers, rng *rand.Rand, n int) {
	for job := range 2 {
		id := fmt.Sprintf("%08x%08x", 1<<16+n, job)
		c.submit(ctx, rng, id, lastingJob(id))
	}
	tb.awaitLastingTasks(ctx)
	tb.killOwnersInSeries(ctx, rng)
	tb.awaitLastingTasks(ctx)
}

// awaitLastingTasks waits until no lasting task is missing, but not longer than the checker takes to report one.
func (tb *testbed) awaitLastingTasks(ctx context.Context) {
	const limit = restartTime + maxIdleTime + calmBefore
	for startedAt := time.Now(); time.Since(startedAt) < limit && ctx.Err() == nil && tb.checker.LastingTasksMissing(); {
		pause.For(ctx, livenessCheckInterval)
	}
}

// checkLiveness checks again and again whether what could run does, until ctx ends. The report tells when a check was
// late, which excuses nothing.
func (tb *testbed) checkLiveness(ctx context.Context) {
	last := time.Now()
	for ; ctx.Err() == nil; pause.For(ctx, livenessCheckInterval) {
		if late := time.Since(last) - livenessCheckInterval; late > maxCheckDelay {
			tb.noteFault("the soak itself was held up for %.1f s", late.Seconds())
		}
		last = time.Now()
		tb.checker.CheckLiveness(last, tb.room())
	}
}

// noteFault adds a line to the faults in the report.
func (tb *testbed) noteFault(format string, args ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.faults = append(tb.faults, fmt.Sprintf("%.2f s: ", time.Since(tb.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// room returns what the workers have left.
func (tb *testbed) room() room {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var r room
	for _, w := range tb.workers {
		w.mu.Lock()
		r.add(w)
		w.mu.Unlock()
	}
	return r
}

// runSeries kills owners, restarts and loses workers and changes the configuration in series.
func (tb *testbed) runSeries(ctx context.Context, c *callers, rng *rand.Rand) {
	for n := range tb.opts.Series {
		tb.checkOwnerSeries(ctx, c, rng, n)
	}
	for n := range tb.opts.Restarts {
		tb.checkRestartSeries(ctx, c, tb.newRand(2000+uint64(n)), n)
	}
	for n := range tb.opts.Losses {
		tb.checkLossSeries(ctx, c, tb.newRand(1000+uint64(n)), n)
	}
	for n := range tb.opts.Series {
		tb.checkConfigSeries(ctx, tb.newRand(11+uint64(n)))
	}
}

// checkEnd waits until no run is active, checks the final state and stops the instances.
func (tb *testbed) checkEnd(ctx context.Context) {
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
		worker.Leave(0)
	}
	if tb.server != nil {
		_ = tb.server.Close()
	}
	if tb.adviser != nil {
		tb.adviser.close()
	}
}
