package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/geraniumwick/geraniumwick/standin/cluster"
)

// restart stops every instance gracefully and starts it again, one after the other, at each size,
// and prints the mean time, store calls and lease calls to workers of one replacement, and the
// number of tasks that were lost in all.
func restart(ctx context.Context, dir string, binaries cluster.Binaries, name string, sizes []size) error {
	for _, s := range sizes {
		if err := restartAll(ctx, dir, binaries, name, s); err != nil {
			return err
		}
	}
	return nil
}

// restartAll measures and prints the cost of one replacement at one size.
func restartAll(ctx context.Context, dir string, binaries cluster.Binaries, name string, s size) error {
	dir, err := os.MkdirTemp(dir, "size-")
	if err != nil {
		return err
	}
	c, err := startSystem(ctx, dir, binaries, s)
	defer c.Kill()
	if err != nil {
		return err
	}
	if err := placeTasks(ctx, c, s.Tasks); err != nil {
		return err
	}
	wait(ctx, settleTime)
	from, err := takeSnapshot(ctx, c)
	if err != nil {
		return err
	}
	var stopping, starting time.Duration
	for _, i := range c.Instances {
		began := time.Now()
		if err := i.Stop(); err != nil {
			return err
		}
		stopping += time.Since(began)
		began = time.Now()
		if err := i.Start(); err != nil {
			return err
		}
		if err := i.AwaitReady(ctx); err != nil {
			return err
		}
		starting += time.Since(began)
	}
	to, err := takeSnapshot(ctx, c)
	if err != nil {
		return err
	}
	n := float64(len(c.Instances))
	fmt.Printf("%s %+v\n  one graceful replacement: stop %s, start %s, %.0f store writes (%.0f KB), %.0f store reads, %.0f lease calls to workers, %d tasks lost in all\n",
		name, s, (stopping / time.Duration(n)).Round(time.Millisecond), (starting / time.Duration(n)).Round(time.Millisecond),
		float64(to.store.Writes-from.store.Writes)/n, float64(to.store.BytesWritten-from.store.BytesWritten)/n/1000,
		float64(to.store.Reads-from.store.Reads)/n, float64(to.fleet.LeaseCalls-from.fleet.LeaseCalls)/n, to.fleet.Lost)
	return nil
}
