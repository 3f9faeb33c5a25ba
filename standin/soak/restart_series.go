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
	// longestLease is the longest lease that workers grant in a soak with restart series; owners ask for less.
	longestLease = 10 * time.Second
	// restartDarkTime is how long restarted workers answer nothing, while their former connections stay silent.
	restartDarkTime = 600 * time.Millisecond
	// minTimeToKill and maxTimeToKill bound the time from the restart to the kill of the owner, maxTimeToCut that from the kill to the
	// moment at which the workers are cut off, and cutTime is how long they are.
	minTimeToKill, maxTimeToKill = 500 * time.Millisecond, 1500 * time.Millisecond
	maxTimeToCut                 = time.Second
	cutTime                      = 9 * time.Second
	// lateOrderShare is the share of requests without an answer in every second series.
	lateOrderShare = 0.35
)

// checkRestartSeries lets half of the workers start again under their ids while lasting and other tasks run, kills the owner and
// cuts these workers off. A former incarnation's lease, its acknowledgements and late requests must not reach the next one.
func (tb *testbed) checkRestartSeries(ctx context.Context, c *callers, rng *rand.Rand, n int) {
	id := fmt.Sprintf("%08x%08x", 1<<19+n, 0)
	c.submit(ctx, rng, id, tb.fillingJob(id))
	tb.awaitLastingTasks(ctx)
	if n%2 == 1 {
		tb.setLostAnswerShare(lateOrderShare)
	}
	tb.restartThenCutOff(ctx, rng)
	tb.setLostAnswerShare(0)
	tb.pendingReverts.Wait()
	tb.awaitLastingTasks(ctx)
	c.cancel(ctx, rng, id)
}

// restartThenCutOff restarts half of the workers, kills the owner and cuts the workers off for cutTime.
func (tb *testbed) restartThenCutOff(ctx context.Context, rng *rand.Rand) {
	tb.checker.RecordFaultBegin()
	defer tb.checker.RecordFaultEnd()
	tb.mu.Lock()
	workers := slices.Clone(tb.workers[:(len(tb.workers)+1)/2])
	tb.mu.Unlock()
	tb.noteFault("%d workers start again", len(workers))
	for _, w := range workers {
		w.restartSilently()
	}
	pause.For(ctx, restartDarkTime)
	for _, w := range workers {
		w.proxy.SetMode(Pass)
		w.Announce("ready")
	}
	pause.For(ctx, minTimeToKill+time.Duration(rng.Int64N(int64(maxTimeToKill-minTimeToKill))))
	tb.inject(rng, killOwner, 300, 1000)
	pause.For(ctx, time.Duration(rng.Int64N(int64(maxTimeToCut))))
	tb.noteFault("%d workers are cut off for %s", len(workers), cutTime)
	for _, w := range workers {
		w.proxy.SetMode(Silent)
	}
	pause.For(ctx, cutTime)
	for _, w := range workers {
		w.proxy.SetMode(Pass)
	}
}

// restartSilently starts the worker again. Its callers hear nothing of that: open connections go silent, and new ones do until
// the proxy forwards again.
func (w *Worker) restartSilently() {
	w.proxy.SetMode(Silent)
	w.proxy.SilenceOpen()
	w.Restart()
}
