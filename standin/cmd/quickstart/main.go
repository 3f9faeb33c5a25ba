// Command quickstart builds geraniumwickd and the stand-ins for the platform, runs three
// entry instances on the loopback interface, sends requests and batch jobs through them
// while a data centre is taken out of service and brought back, and prints what the stand-ins
// counted. It exits with status 1 if a guarantee was violated and with 2 if the run failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/standin/cluster"
	"github.com/geraniumwick/geraniumwick/standin/fleet"
	"github.com/geraniumwick/geraniumwick/standin/workload"
)

// Size and load of the system, and the times of its jobs and of the inventory.
const (
	instances      = 3
	workersPerRack = 3
	targetsPerRack = 3
	slots          = 8
	connections    = 60
	requestRate    = 150
	firstJobs      = 180
	meanwhileJobs  = 60
	lastJobs       = 30
	shortestJob    = 2 * time.Second
	longestJob     = 6 * time.Second
	inventoryLag   = 1 * time.Second
	// outGracePeriod is the time after which nothing may start in a data centre that was taken out
	// of service.
	outGracePeriod = 4 * time.Second
)

// Times of the run, counted from the first request: when a data centre is taken out of service, when
// it is put back, and by when all jobs should have finished.
const (
	outAt    = 3 * time.Second
	inAt     = 12 * time.Second
	finishBy = 25 * time.Second
)

func main() {
	deployment := flag.String("deployment", workload.Nilewave, "which example to run: nilewave or pallikkara")
	keep := flag.Bool("keep-logs", false, "keep the directory with the processes' logs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ok, err := run(ctx, *deployment, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, "quickstart:", err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

// run builds, starts and stops the system, and reports whether all guarantees held.
func run(ctx context.Context, deployment string, keep bool) (ok bool, err error) {
	if deployment != workload.Nilewave && deployment != workload.Pallikkara {
		return false, fmt.Errorf("unknown deployment %q, want nilewave or pallikkara", deployment)
	}
	dir, err := os.MkdirTemp("", "geraniumwick-quickstart-")
	if err != nil {
		return false, err
	}
	defer func() {
		if keep || err != nil || !ok {
			progress("the processes' logs are in %s", dir)
			return
		}
		os.RemoveAll(dir)
	}()
	options, err := prepare(ctx, dir, deployment)
	if err != nil {
		return false, err
	}
	progress("starting the stand-ins and %d entry instances", instances)
	c, err := cluster.Start(ctx, options)
	defer c.Kill()
	if err != nil {
		return false, err
	}
	s := &session{deployment: deployment, cluster: c}
	if err := s.perform(ctx); err != nil {
		return false, err
	}
	return s.report(ctx, os.Stdout)
}

// prepare builds the binaries, reads the example document and returns the options of the cluster.
func prepare(ctx context.Context, dir, deployment string) (cluster.Options, error) {
	progress("building")
	binaries, err := cluster.Build(ctx, dir, false)
	if err != nil {
		return cluster.Options{}, err
	}
	root, err := cluster.Root(ctx)
	if err != nil {
		return cluster.Options{}, err
	}
	document, err := cluster.LoadDocument(filepath.Join(root, "examples", deployment))
	if err != nil {
		return cluster.Options{}, err
	}
	racks, err := cluster.RacksOf(document, workersPerRack, targetsPerRack)
	if err != nil {
		return cluster.Options{}, err
	}
	return cluster.Options{
		Dir:       dir,
		Binaries:  binaries,
		Instances: instances,
		Document:  document,
		Fleet: fleet.Spec{
			Deployment:  deployment,
			Racks:       racks,
			Capacity:    capacity(deployment),
			Slots:       slots,
			Connections: connections,
			Lag:         inventoryLag,
			Seed:        1,
		},
	}, nil
}

// capacity returns the capacity of a worker of the deployment.
func capacity(deployment string) model.Resources {
	if deployment == workload.Pallikkara {
		return model.Resources{MilliCPU: 60_000, MemoryMB: 250_000}
	}
	return model.Resources{MilliCPU: 30_000, MemoryMB: 125_000}
}

// progress prints a line with the time and a message about the progress of the run.
func progress(format string, args ...any) {
	fmt.Printf("%s  %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(format, args...))
}
