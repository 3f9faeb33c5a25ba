// Command load runs a whole system on the loopback interface at several sizes, measures the
// resources that instances, store and workers use in a steady state, and prints how they grow with
// the size. Its duration and size are bounded, and it stops all processes that it started.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/geraniumwick/geraniumwick/standin/cluster"
)

// Bounds of the flags. Rates are per second.
const (
	maxWorkers  = 1200
	maxTasks    = 25_000
	maxRate     = 5_000
	maxDuration = 2 * time.Minute
)

// size is one size of the system and of its load.
type size struct {
	Instances  int
	Partitions int
	Workers    int
	Targets    int
	// Tasks is the number of tasks that execute during the whole measurement.
	Tasks int
	// Starts and Requests are rates per second.
	Starts   int
	Requests int
	Duration time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
}

// run parses the flags, builds the binaries and measures in the selected mode.
func run(ctx context.Context, args []string) error {
	var base size
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	flags.IntVar(&base.Instances, "instances", 3, "entry instances")
	flags.IntVar(&base.Partitions, "partitions", 12, "partitions")
	flags.IntVar(&base.Workers, "workers", 60, "workers")
	flags.IntVar(&base.Targets, "targets", 30, "targets")
	flags.IntVar(&base.Tasks, "tasks", 0, "tasks that execute during the whole measurement")
	flags.IntVar(&base.Starts, "starts", 0, "task starts a second")
	flags.IntVar(&base.Requests, "requests", 0, "requests a second")
	flags.DurationVar(&base.Duration, "duration", 10*time.Second, "time of the measurement at each size")
	sweep := flags.String("sweep", "", "what to vary, for example workers=60,120,240")
	mode := flags.String("mode", "steady", "steady: resource usage of instances, store and workers; direct: latency and rate compared with direct calls to the targets; restart: cost of replacing an instance")
	if err := flags.Parse(args); err != nil {
		return err
	}
	name, sizes, err := parseSweep(base, *sweep)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "geraniumwick-load-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	binaries, err := cluster.Build(ctx, dir, false)
	if err != nil {
		return err
	}
	switch *mode {
	case "steady":
		return steady(ctx, dir, binaries, name, sizes)
	case "direct":
		return compare(ctx, dir, binaries, base)
	case "restart":
		return restart(ctx, dir, binaries, name, sizes)
	}
	return fmt.Errorf("-mode %q is not steady, direct or restart", *mode)
}

// parseSweep returns the sizes to measure and the name of the field that varies.
func parseSweep(base size, text string) (string, []size, error) {
	if text == "" {
		return "", []size{base}, base.check()
	}
	name, list, found := strings.Cut(text, "=")
	if !found {
		return "", nil, fmt.Errorf("-sweep %q does not have the form name=a,b,c", text)
	}
	var sizes []size
	for item := range strings.SplitSeq(list, ",") {
		value, err := strconv.Atoi(item)
		if err != nil {
			return "", nil, fmt.Errorf("-sweep: %w", err)
		}
		s := base
		field, err := s.field(name)
		if err != nil {
			return "", nil, err
		}
		*field = value
		if err := s.check(); err != nil {
			return "", nil, err
		}
		sizes = append(sizes, s)
	}
	return name, sizes, nil
}

// field returns a pointer to the field with the name.
func (s *size) field(name string) (*int, error) {
	switch name {
	case "instances":
		return &s.Instances, nil
	case "partitions":
		return &s.Partitions, nil
	case "workers":
		return &s.Workers, nil
	case "targets":
		return &s.Targets, nil
	case "tasks":
		return &s.Tasks, nil
	case "starts":
		return &s.Starts, nil
	case "requests":
		return &s.Requests, nil
	}
	return nil, fmt.Errorf("-sweep: unknown name %q", name)
}

// check returns an error for a size out of bounds.
func (s size) check() error {
	switch {
	case s.Instances < 1 || s.Instances > 8 || s.Partitions < 1 || s.Partitions > 64:
		return fmt.Errorf("instances must be 1 to 8 and partitions 1 to 64")
	case s.Workers < 1 || s.Workers > maxWorkers || s.Targets < 1 || s.Targets > s.Workers*2:
		return fmt.Errorf("workers must be 1 to %d and targets at most twice as many", maxWorkers)
	case s.Tasks < 0 || s.Tasks > maxTasks || s.Starts < 0 || s.Starts > maxRate || s.Requests < 0 || s.Requests > maxRate:
		return fmt.Errorf("tasks must be at most %d and rates at most %d a second", maxTasks, maxRate)
	case s.Duration < time.Second || s.Duration > maxDuration:
		return fmt.Errorf("the duration must be 1 s to %s", maxDuration)
	}
	return nil
}
