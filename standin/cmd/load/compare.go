package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/workload"
)

// compare measures the latency of the same requests sent directly to the targets and through the
// instances, and the rate of requests at saturation, and prints both by class of request.
func compare(ctx context.Context, dir string, binaries cluster.Binaries, s size) error {
	c, err := startSystem(ctx, dir, binaries, s)
	defer c.Kill()
	if err != nil {
		return err
	}
	inventory, err := platform.NewInventory("http://" + c.Fleet.Inventory)
	if err != nil {
		return err
	}
	targets, err := inventory.Targets(ctx)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tdirect p50\tdirect p99\tp50\tp99\tadded p50\tadded p99\trequests/s\tof them ran\t")
	for _, kind := range workload.RequestKinds(workload.Nilewave) {
		direct := newTraffic(kind, "d", s.Requests, func(n int) string { return targets[n%len(targets)].Addr })
		direct.Direct = true
		through := newTraffic(kind, "t", s.Requests, func(n int) string { return c.Instances[n%len(c.Instances)].CallerAddr })
		directResults, throughResults := send(ctx, direct, s.Duration), send(ctx, through, s.Duration)
		answeredRate, ranRate := saturate(ctx, c, kind, s.Duration)
		latency := func(results []cluster.Result, share float64) time.Duration {
			return cluster.Percentile(results, share).Round(100 * time.Microsecond)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t\n", kind.Class,
			latency(directResults, 0.5), latency(directResults, 0.99), latency(throughResults, 0.5), latency(throughResults, 0.99),
			latency(throughResults, 0.5)-latency(directResults, 0.5), latency(throughResults, 0.99)-latency(directResults, 0.99), answeredRate, ranRate)
	}
	return w.Flush()
}

// newTraffic returns traffic of requests of one kind, with at least one request a second.
func newTraffic(kind workload.RequestKind, run string, rate int, caller func(int) string) *cluster.Traffic {
	return &cluster.Traffic{
		Deployment: workload.Nilewave, Run: run + string(kind.Class), Seed: 1, Rate: max(rate, 1), OnlyKind: &kind, CallerAddr: caller,
	}
}

// send sends traffic for a duration and returns the results.
func send(ctx context.Context, t *cluster.Traffic, d time.Duration) []cluster.Result {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	t.Send(ctx)
	return t.Results()
}

// callersPerInstance is the number of callers of each instance at saturation. Each waits for its
// answer before it sends the next request.
const callersPerInstance = 40

// saturate runs callers that each send the next request as soon as they are answered. It returns
// the rate of answers and the rate of requests that ran, both per second.
func saturate(ctx context.Context, c *cluster.Cluster, kind workload.RequestKind, d time.Duration) (answered, ran float64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callersPerInstance}}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var answeredCount, ranCount atomic.Int64
	var callers sync.WaitGroup
	for n := range callersPerInstance * len(c.Instances) {
		addr := c.Instances[n%len(c.Instances)].CallerAddr
		callers.Go(func() {
			t := newTraffic(kind, fmt.Sprintf("s%d", n), 1, nil)
			requests, completed := t.SendSequentially(ctx, client, addr)
			answeredCount.Add(int64(requests))
			ranCount.Add(int64(completed))
		})
	}
	callers.Wait()
	return float64(answeredCount.Load()) / d.Seconds(), float64(ranCount.Load()) / d.Seconds()
}
