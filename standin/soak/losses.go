package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	// lossesInSeries is how many times in succession almost all workers are lost at once.
	lossesInSeries = 2
	// fillingTaskCPU is the milliCPU of the tasks that fill the workers, and fillingShare the part of the workers'
	// capacity that they reserve together.
	fillingTaskCPU, fillingShare = 500, 0.75
	// minTimeToLoss and maxTimeToLoss bound the time from the restart of the tasks to the next loss, and
	// maxTimeToReplace that from a loss to the arrival of other workers.
	minTimeToLoss, maxTimeToLoss = time.Second, 4 * time.Second
	maxTimeToReplace             = 5 * time.Second
)

// checkLossSeries fills most of the workers with lasting tasks and loses almost all workers at once, several times in
// succession. Each time other workers come later, and it waits until the tasks are back or have been reported as lost.
func (tb *testbed) checkLossSeries(ctx context.Context, c *callers, rng *rand.Rand, n int) {
	id := fmt.Sprintf("%08x%08x", 1<<17+n, 0)
	c.submit(ctx, rng, id, tb.fillingJob(id))
	tb.awaitLastingTasks(ctx)
	for range lossesInSeries {
		pause.For(ctx, minTimeToLoss+time.Duration(rng.Int64N(int64(maxTimeToLoss-minTimeToLoss))))
		lost := tb.loseWorkers(rng)
		pause.For(ctx, time.Duration(rng.Int64N(int64(maxTimeToReplace))))
		tb.addWorkers(lost)
		tb.awaitLastingTasks(ctx)
	}
}

// fillingJob returns a job of lasting tasks that fill fillingShare of the workers.
func (tb *testbed) fillingJob(id string) jobSpec {
	count := int(fillingShare*workerCapacity/fillingTaskCPU) * tb.opts.Workers
	return jobSpec{Spec: "payload of " + id, Steps: []stepSpec{{Count: count, CPU: fillingTaskCPU, Memory: 10, LongRunning: true}}}
}

// loseWorkers removes all workers but one for good at the same moment, and returns their number.
func (tb *testbed) loseWorkers(rng *rand.Rand) int {
	tb.checker.RecordFaultBegin()
	defer tb.checker.RecordFaultEnd()
	entriesRemovedAfter := time.Duration(rng.IntN(2)) * missedHeartbeats * heartbeat
	tb.mu.Lock()
	lost := slices.Clone(tb.workers[1:])
	tb.workers = tb.workers[:1]
	tb.faults = append(tb.faults, fmt.Sprintf("%.2f s: %d workers leave, their entries %s later", time.Since(tb.startedAt).Seconds(), len(lost), entriesRemovedAfter))
	tb.mu.Unlock()
	for _, w := range lost {
		w.Leave(entriesRemovedAfter)
	}
	return len(lost)
}

// addWorkers adds n workers.
func (tb *testbed) addWorkers(n int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for range n {
		if err := tb.addWorker(); err != nil {
			tb.checker.RecordViolation("START", "a worker in the place of a lost one: %v", err)
		}
	}
}
