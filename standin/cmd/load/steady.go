package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/fleet/work"
	"github.com/geraniumwick/geraniumwick/standin/workload"
)

// Times of a measurement.
const (
	// settleTime is the time under load before the measurement starts.
	settleTime       = 3 * time.Second
	placementTimeout = 60 * time.Second
	// shortTaskCPUTime is the CPU time of the tasks that the flag -starts asks for.
	shortTaskCPUTime = 300 * time.Millisecond
)

// steady measures the resource usage at every size and prints the table.
func steady(ctx context.Context, dir string, binaries cluster.Binaries, name string, sizes []size) error {
	var rows []row
	for _, s := range sizes {
		fmt.Printf("measuring %+v\n", s)
		r, err := measure(ctx, dir, binaries, s)
		if err != nil {
			return err
		}
		rows = append(rows, r)
	}
	return printTable(name, sizes, rows)
}

// measure runs a system of one size and returns its resource usage.
func measure(ctx context.Context, dir string, binaries cluster.Binaries, s size) (row, error) {
	dir, err := os.MkdirTemp(dir, "size-")
	if err != nil {
		return row{}, err
	}
	c, err := startSystem(ctx, dir, binaries, s)
	defer c.Kill()
	if err != nil {
		return row{}, err
	}
	if err := placeTasks(ctx, c, s.Tasks); err != nil {
		return row{}, err
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	traffic := &cluster.Traffic{Deployment: workload.Nilewave, Run: "l", Seed: 1, Rate: max(s.Requests, 1), CallerAddr: func(n int) string {
		return c.Instances[n%len(c.Instances)].CallerAddr
	}}
	if s.Requests > 0 {
		background.Go(func() { traffic.Send(loadCtx) })
	}
	submitter := &jobSubmitter{cluster: c, rate: s.Starts}
	if s.Starts > 0 {
		background.Go(func() { submitter.run(loadCtx) })
	}
	wait(ctx, settleTime)
	from, err := takeSnapshot(ctx, c)
	if err != nil {
		return row{}, err
	}
	wait(ctx, s.Duration)
	to, err := takeSnapshot(ctx, c)
	if err != nil {
		return row{}, err
	}
	stop()
	background.Wait()
	if s.Starts > 0 {
		if err := submitter.report(ctx, from.at, to.at); err != nil {
			return row{}, err
		}
	}
	if s.Requests > 0 {
		printClasses(traffic.Results(), from.at, to.at)
	}
	if n := len(to.fleet.Violations); n > 0 {
		return row{}, fmt.Errorf("guarantees were violated: %v", to.fleet.Violations)
	}
	return rowOf(s, from, to), nil
}

// wait waits for a duration or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// placeTasks submits n tasks that run during the whole measurement and waits until all execute.
func placeTasks(ctx context.Context, c *cluster.Cluster, n int) error {
	payload, err := json.Marshal(work.Payload{CPUTime: 24 * time.Hour, UsedMilliCPU: 500})
	if err != nil {
		return err
	}
	errs := make([]error, concurrentSubmissions)
	var submissions sync.WaitGroup
	for k := range concurrentSubmissions {
		submissions.Go(func() {
			for i := k; i < n && errs[k] == nil; i += concurrentSubmissions {
				spec := model.JobSpec{ID: model.JobID(fmt.Sprintf("levy/steady-%d", i)), Team: "levy", Class: "recalculation", Payload: payload}
				errs[k] = cluster.Await(ctx, string(spec.ID), placementTimeout, func() (bool, error) {
					err := c.Instances[i%len(c.Instances)].Submit(ctx, spec)
					return err == nil, err
				})
			}
		})
	}
	submissions.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return cluster.Await(ctx, fmt.Sprintf("%d tasks execute", n), placementTimeout, func() (bool, error) {
		counts, err := c.Counts(ctx)
		return err == nil && counts.Running >= n, err
	})
}

// jobSubmitter submits short urgent jobs at a rate per second.
type jobSubmitter struct {
	cluster *cluster.Cluster
	rate    int

	mu        sync.Mutex
	submitted map[model.JobID]time.Time
	failed    atomic.Int64
}

// run submits jobs until ctx ends.
func (s *jobSubmitter) run(ctx context.Context) {
	s.submitted = map[model.JobID]time.Time{}
	payload, err := json.Marshal(work.Payload{CPUTime: shortTaskCPUTime, UsedMilliCPU: 50})
	if err != nil {
		return
	}
	ticker := time.NewTicker(time.Second / time.Duration(s.rate))
	defer ticker.Stop()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		spec := model.JobSpec{ID: model.JobID(fmt.Sprintf("levy/short-%d", n)), Team: "levy", Class: "due-return", Payload: payload}
		inFlight.Go(func() {
			began := time.Now()
			if err := s.cluster.Instances[n%len(s.cluster.Instances)].Submit(context.WithoutCancel(ctx), spec); err != nil {
				s.failed.Add(1)
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.submitted[spec.ID] = began
		})
	}
}

// report prints the distribution of the time from the submission of a job to its start on a worker,
// for the jobs that were submitted between the two times.
func (s *jobSubmitter) report(ctx context.Context, from, to time.Time) error {
	interval, err := s.cluster.Interval(ctx, "", from, to.Add(time.Minute))
	if err != nil {
		return err
	}
	started := map[model.JobID]time.Time{}
	for _, start := range interval.Starts {
		started[start.Attempt.Job] = start.At
	}
	var delays []time.Duration
	missing := 0
	for id, at := range s.submitted {
		if at.Before(from) || at.After(to) {
			continue
		}
		if start, ok := started[id]; ok {
			delays = append(delays, start.Sub(at))
		} else {
			missing++
		}
	}
	slices.Sort(delays)
	if len(delays) == 0 {
		return fmt.Errorf("no job has started")
	}
	at := func(share float64) time.Duration {
		return delays[min(int(share*float64(len(delays))), len(delays)-1)].Round(time.Millisecond)
	}
	fmt.Printf("  urgent jobs: %d started, %d not yet, %d submissions failed; submission to start p50 %s p99 %s max %s\n",
		len(delays), missing, s.failed.Load(), at(0.5), at(0.99), delays[len(delays)-1].Round(time.Millisecond))
	return nil
}

// printClasses prints the latency of each class of request, for the requests sent between the two
// times.
func printClasses(results []cluster.Result, from, to time.Time) {
	for _, class := range []model.RequestClass{model.Idempotent, model.Exclusive, model.AtMostOnce} {
		var own []cluster.Result
		for _, r := range results {
			if r.Class == class && r.Began.After(from) && r.Began.Before(to) {
				own = append(own, r)
			}
		}
		fmt.Printf("  %s: %d requests, p50 %s p99 %s\n", class, len(own),
			cluster.Percentile(own, 0.5).Round(100*time.Microsecond), cluster.Percentile(own, 0.99).Round(100*time.Microsecond))
	}
}

// column is one column of the table of results.
type column struct {
	name  string
	value func(row) float64
}

// columns returns the columns of the table.
func columns() []column {
	return []column{
		{"% core/inst", func(r row) float64 { return r.corePercent }},
		{"MB/inst", func(r row) float64 { return r.memoryMB }},
		{"KB/s in/inst", func(r row) float64 { return r.readKB }},
		{"KB/s out/inst", func(r row) float64 { return r.writtenKB }},
		{"store writes/s", func(r row) float64 { return r.storeWrites }},
		{"journal writes/s", func(r row) float64 { return r.journalWrites }},
		{"journal KB/s", func(r row) float64 { return r.journalKB }},
		{"store reads/s", func(r row) float64 { return r.storeReads }},
		{"lease calls/s", func(r row) float64 { return r.leaseCalls }},
		{"watches", func(r row) float64 { return r.watches }},
		{"B/s per worker", func(r row) float64 { return r.workerBytes }},
		{"starts/s", func(r row) float64 { return r.starts }},
		{"running", func(r row) float64 { return r.running }},
	}
}

// printTable prints the rows and, below them, the slope and the value at size zero of the line
// that is fitted to each column by least squares.
func printTable(name string, sizes []size, rows []row) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\t", name)
	for _, c := range columns() {
		fmt.Fprintf(w, "%s\t", c.name)
	}
	fmt.Fprintln(w)
	var xs []float64
	for k, r := range rows {
		x := 0.0
		if field, err := sizes[k].field(name); err == nil {
			x = float64(*field)
		}
		xs = append(xs, x)
		fmt.Fprintf(w, "%g\t", x)
		for _, c := range columns() {
			fmt.Fprintf(w, "%.2f\t", c.value(r))
		}
		fmt.Fprintln(w)
	}
	if len(rows) > 1 {
		printFittedLines(w, xs, rows)
	}
	return w.Flush()
}

// printFittedLines prints the line that is fitted to each column.
func printFittedLines(w *tabwriter.Writer, xs []float64, rows []row) {
	var slopes, intercepts string
	for _, c := range columns() {
		ys := make([]float64, len(rows))
		for k, r := range rows {
			ys[k] = c.value(r)
		}
		slope, intercept := fitLine(xs, ys)
		slopes += fmt.Sprintf("%.4f\t", slope)
		intercepts += fmt.Sprintf("%.2f\t", intercept)
	}
	fmt.Fprintf(w, "slope\t%s\nat zero\t%s\n", slopes, intercepts)
}

// fitLine returns the line through the points with the least sum of squared errors.
func fitLine(xs, ys []float64) (slope, intercept float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for k := range xs {
		sx += xs[k]
		sy += ys[k]
		sxx += xs[k] * xs[k]
		sxy += xs[k] * ys[k]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}
