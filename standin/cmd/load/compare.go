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

// compare sends the same requests through the instances and directly to the targets.
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
		direct := traffic(kind, "d", s.Requests, func(n int) string { return targets[n%len(targets)].Addr })
		direct.Direct = true
		through := traffic(kind, "t", s.Requests, func(n int) string { return c.Instances[n%len(c.Instances)].CallerAddr })
		a, b := send(ctx, direct, s.Duration), send(ctx, through, s.Duration)
		full, ran := saturate(ctx, c, kind, s.Duration)
		p := func(results []cluster.Result, share float64) time.Duration {
			return cluster.Percentile(results, share).Round(100 * time.Microsecond)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t\n", kind.Class,
			p(a, 0.5), p(a, 0.99), p(b, 0.5), p(b, 0.99),
			p(b, 0.5)-p(a, 0.5), p(b, 0.99)-p(a, 0.99), full, ran)
	}
	return w.Flush()
}

// traffic returns callers that send requests of one kind.
func traffic(kind workload.RequestKind, run string, rate int, caller func(int) string) *cluster.Traffic {
	return &cluster.Traffic{
		Deployment: workload.Nilewave, Run: run + string(kind.Class), Seed: 1, Rate: max(rate, 1), OnlyKind: &kind, CallerAddr: caller,
	}
}

// send sends for a while and returns the results.
func send(ctx context.Context, t *cluster.Traffic, d time.Duration) []cluster.Result {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	t.Send(ctx)
	return t.Results()
}

// callersPerInstance is the number of callers that each wait for their answer before they
// send the next request.
const callersPerInstance = 40

// saturate returns the rate of answers when all callers send as fast as they are answered,
// and the rate of requests that ran.
func saturate(ctx context.Context, c *cluster.Cluster, kind workload.RequestKind, d time.Duration) (answered, ran float64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callersPerInstance}}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var all, whole atomic.Int64
	var callers sync.WaitGroup
	for n := range callersPerInstance * len(c.Instances) {
		addr := c.Instances[n%len(c.Instances)].CallerAddr
		callers.Go(func() {
			t := traffic(kind, fmt.Sprintf("s%d", n), 1, nil)
			n, ok := t.SendSequentially(ctx, client, addr)
			all.Add(int64(n))
			whole.Add(int64(ok))
		})
	}
	callers.Wait()
	return float64(all.Load()) / d.Seconds(), float64(whole.Load()) / d.Seconds()
}
