// Package e2e tests the whole system as separate processes: entry instances, store, workers and
// targets on the loopback interface. The tests check what the stand-ins recorded, not what the
// instances report.
package e2e

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/fleet"
	"github.com/geraniumwick/geraniumwick/standin/workload"
)

// Settings of the instances in these tests, and the bounds that follow from them.
const (
	memberLease = 2 * time.Second
	workerLease = 4 * time.Second
	// configBound is the time within which an accepted edit is in force everywhere.
	configBound = 6 * time.Second
	// outBound is the time after which nothing may start in a data centre that is out of service.
	outBound = 4 * time.Second
	// finishBound is the time within which all jobs must finish once the faults are over.
	finishBound = 40 * time.Second
	// takeOverBound is the time within which a lost owner must be replaced.
	takeOverBound = 4 * memberLease
)

// document is a small configuration of three data centres with one rack each.
var document = map[string][]byte{
	"operators": []byte(`dataCentres:
  - {name: cairo-a, region: cairo}
  - {name: cairo-b, region: cairo}
  - {name: cairo-c, region: cairo}
partitions: 4
racks:
  - {name: cairo-a-1, dataCentre: cairo-a, partition: 0}
  - {name: cairo-b-1, dataCentre: cairo-b, partition: 1}
  - {name: cairo-c-1, dataCentre: cairo-c, partition: 2}
weights: {tailLatency: 5, throughput: 1, evictions: 1}
`),
	"levy": []byte(`team: levy
quota: {milliCPU: 1600000, memoryMB: 6500000, accelerators: 0}
services:
  - name: levy-desk
    honoursNotAfter: true
    requests:
      - {path: calculate, class: idempotent, deadline: 2s}
      - {path: prepare, class: exclusive, deadline: 5s}
      - {path: file, class: once, deadline: 5s}
jobs:
  - class: recalculation
    declared: {milliCPU: 2000, memoryMB: 4000, accelerators: 0}
    declaredRun: 10m
  - class: due-return
    declared: {milliCPU: 1000, memoryMB: 2000, accelerators: 0}
    declaredRun: 1m
    urgent: true
`),
}

// binaries are built once for all tests.
var binaries cluster.Binaries

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the binaries into a temporary directory and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "geraniumwick-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries, err = cluster.Build(context.Background(), dir, raceDetector)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// system is a running cluster with the requests and jobs of a test.
type system struct {
	*cluster.Cluster
	t           *testing.T
	is          *is.I
	ctx         context.Context
	traffic     *cluster.Traffic
	stopSending context.CancelFunc
	sending     sync.WaitGroup
	submitted   int

	mu sync.Mutex
	// outOfRotation holds the numbers of the instances that receive no requests or jobs.
	outOfRotation map[int]bool
}

// start starts a cluster of three instances, which is killed at the end of the test.
func start(t *testing.T, settings map[string]string) *system {
	t.Helper()
	is := is.New(t)
	racks, err := cluster.RacksOf(document, 2, 2)
	is.NoErr(err)
	all := map[string]string{
		"member-lease-ttl": memberLease.String(),
		"worker-lease-ttl": workerLease.String(),
	}
	for name, value := range settings {
		all[name] = value
	}
	dir := t.TempDir()
	c, err := cluster.Start(t.Context(), cluster.Options{
		Dir: dir, Binaries: binaries, Instances: 3, Document: document, Settings: all,
		Fleet: fleet.Spec{
			Deployment: workload.Nilewave, Racks: racks,
			Capacity: model.Resources{MilliCPU: 30_000, MemoryMB: 125_000},
			Slots:    8, Connections: 60, Lag: 500 * time.Millisecond, Seed: 1,
		},
	})
	s := &system{Cluster: c, t: t, is: is, ctx: t.Context(), outOfRotation: map[int]bool{}}
	t.Cleanup(func() {
		s.stopTraffic()
		c.Kill()
		s.checkLogs(dir)
	})
	is.NoErr(err)
	return s
}

// checkLogs fails the test if a process logged a data race, a panic or a fatal error. If the test
// has failed, it prints the end of each log.
func (s *system) checkLogs(dir string) {
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, name := range logs {
		text, _ := os.ReadFile(name)
		for _, marker := range []string{"WARNING: DATA RACE", "panic: ", "fatal error: "} {
			if at := bytes.Index(text, []byte(marker)); at >= 0 {
				s.t.Errorf("%s: %s", filepath.Base(name), text[at:min(at+4000, len(text))])
			}
		}
		if s.t.Failed() {
			s.t.Logf("end of %s:\n%s", filepath.Base(name), text[max(0, len(text)-1500):])
		}
	}
}

// startTraffic sends requests at a rate per second to all instances in rotation.
func (s *system) startTraffic(rate int) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopSending = cancel
	s.traffic = &cluster.Traffic{
		Deployment: workload.Nilewave, Run: "e", Seed: 1, Rate: rate, CallerAddr: s.callerAddr,
	}
	s.sending.Go(func() { s.traffic.Send(ctx) })
}

// callerAddr returns the callers' address of the instance in rotation for the n-th request, or an
// empty one if no instance is in rotation.
func (s *system) callerAddr(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.Instances {
		index := (n + k) % len(s.Instances)
		if !s.outOfRotation[index] {
			return s.Instances[index].CallerAddr
		}
	}
	return ""
}

// setOutOfRotation takes an instance out of rotation, as a load balancer does with one that is not
// ready, or puts it back.
func (s *system) setOutOfRotation(n int, out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outOfRotation[n] = out
}

// stopTraffic stops sending requests and waits for the answers to those in flight.
func (s *system) stopTraffic() {
	if s.stopSending != nil {
		s.stopSending()
		s.sending.Wait()
		s.stopSending = nil
	}
}

// submit submits n jobs that take between the two CPU times, through the instances in rotation.
func (s *system) submit(n int, shortest, longest time.Duration) []model.JobSpec {
	s.t.Helper()
	run := fmt.Sprintf("b%d", s.submitted)
	specs := workload.Jobs(workload.Nilewave, run, n, shortest, longest, 1)
	errs := make([]error, n)
	var submissions sync.WaitGroup
	for k, spec := range specs {
		submissions.Go(func() { errs[k] = s.submitOne(k, spec) })
	}
	submissions.Wait()
	s.is.NoErr(errors.Join(errs...))
	s.submitted += n
	return specs
}

// submitOne submits a job and repeats the call until it succeeds, since submission is idempotent.
func (s *system) submitOne(n int, spec model.JobSpec) error {
	return cluster.Await(s.ctx, "submission of "+string(spec.ID), finishBound, func() (bool, error) {
		addr := s.callerAddr(n)
		for _, i := range s.Instances {
			if i.CallerAddr == addr {
				err := i.Submit(s.ctx, spec)
				return err == nil, err
			}
		}
		return false, fmt.Errorf("no instance is in rotation")
	})
}

// awaitCounts polls the workers' counts until the condition holds.
func (s *system) awaitCounts(what string, limit time.Duration, condition func(fleet.Counts) bool) fleet.Counts {
	s.t.Helper()
	var counts fleet.Counts
	s.is.NoErr(cluster.Await(s.ctx, what, limit, func() (bool, error) {
		var err error
		counts, err = s.Counts(s.ctx)
		if err != nil {
			return false, err
		}
		return condition(counts), fmt.Errorf("%+v", counts)
	}))
	return counts
}

// awaitStarted waits until a number of tasks have started since the beginning of the test.
func (s *system) awaitStarted(n int) {
	s.t.Helper()
	s.awaitCounts(fmt.Sprintf("%d tasks have started", n), finishBound, func(c fleet.Counts) bool { return c.Starts >= n })
}

// awaitRunning waits until at least a number of tasks execute at the same time.
func (s *system) awaitRunning(n int) {
	s.t.Helper()
	s.awaitCounts(fmt.Sprintf("%d tasks execute", n), finishBound, func(c fleet.Counts) bool { return c.Running >= n })
}

// awaitOwners waits until, as one instance sees it, every partition has an owner that is not one
// of the lost instances.
func (s *system) awaitOwners(from *cluster.Instance, limit time.Duration, lost ...model.InstanceID) {
	s.t.Helper()
	s.is.NoErr(cluster.Await(s.ctx, "every partition has a live owner", limit, func() (bool, error) {
		status, err := from.Status(s.ctx)
		if err != nil {
			return false, err
		}
		for _, p := range status.Partitions {
			if p.Owner == "" {
				return false, fmt.Errorf("partition %d has no owner", p.Partition)
			}
			for _, id := range lost {
				if p.Owner == id {
					return false, fmt.Errorf("partition %d belongs to %s", p.Partition, id)
				}
			}
		}
		return len(status.Partitions) > 0, nil
	}))
}

// finishAndCheck waits until all jobs have finished, stops the traffic and checks the guarantees.
func (s *system) finishAndCheck() fleet.Counts {
	s.t.Helper()
	counts := s.awaitCounts("all jobs finish", finishBound, func(c fleet.Counts) bool { return c.Finished >= s.submitted })
	s.stopTraffic()
	s.checkGuarantees()
	return counts
}

// checkGuarantees fails the test if the stand-ins recorded a violated guarantee, or executions that
// differ from the results of the callers.
func (s *system) checkGuarantees() {
	s.t.Helper()
	violations, err := s.Violations(s.ctx)
	s.is.NoErr(err)
	for _, v := range violations {
		s.t.Errorf("%s: %s: %s", v.At.Format(time.TimeOnly), v.Kind, v.Text)
	}
	counts, err := s.Counts(s.ctx)
	s.is.NoErr(err)
	if n := counts.Violations[fleet.ViolationFinishedTwice]; n > 0 {
		s.t.Errorf("%d jobs finished twice", n)
	}
	if s.traffic == nil {
		return
	}
	executions, err := s.Executions(s.ctx)
	s.is.NoErr(err)
	for _, c := range cluster.Contradictions(s.traffic.Results(), executions) {
		s.t.Errorf("%s (%s, %s): %s", c.Result.Reference, c.Result.Class, c.Result.Verdict, c.Text)
	}
}
