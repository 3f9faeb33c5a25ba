package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	// minStretch and maxStretch bound how long all workers lose answers at a stretch, and maxStretchPause the time
	// between two stretches.
	minStretch, maxStretch = 10 * time.Second, 30 * time.Second
	maxStretchPause        = 5 * time.Second
	// maxLostAnswerShare is the largest share of requests without an answer.
	maxLostAnswerShare = 0.5
	// lostAnswerTime is how long callers submit jobs while answers are lost and there is no other fault.
	lostAnswerTime = 25 * time.Second
	// lostAnswerCallers is the number of these callers, and statePollInterval the time between two of their queries.
	lostAnswerCallers = 6
	statePollInterval = 200 * time.Millisecond
)

// lostAnswerShares are the shares of requests without an answer in a stretch.
var lostAnswerShares = []float64{0.2, 0.35, maxLostAnswerShare, maxLostAnswerShare}

// loseWorkerAnswers lets one worker lose answers.
func loseWorkerAnswers(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	const share = 0.3
	worker := tb.pickWorker(rng)
	worker.SetLostAnswerShare(share)
	return "lost answers at " + worker.ID, func(tb *testbed) {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		worker.SetLostAnswerShare(tb.lostAnswerShare)
	}
}

// setLostAnswerShare lets all workers, and those that are added later, lose answers.
func (tb *testbed) setLostAnswerShare(share float64) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.lostAnswerShare = share
	tb.faults = append(tb.faults, fmt.Sprintf("%.2f s: all workers lose %.0f %% of the answers", time.Since(tb.startedAt).Seconds(), 100*share))
	for _, w := range tb.workers {
		w.SetLostAnswerShare(share)
	}
}

// startLosingAnswers lets all workers lose answers in long stretches, if the options say so, until stop is called.
func (tb *testbed) startLosingAnswers(ctx context.Context, rng *rand.Rand) (stop func()) {
	if !tb.opts.LostAnswers {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		for ctx.Err() == nil {
			pause.For(ctx, time.Duration(rng.Int64N(int64(maxStretchPause))))
			tb.setLostAnswerShare(lostAnswerShares[rng.IntN(len(lostAnswerShares))])
			pause.For(ctx, minStretch+time.Duration(rng.Int64N(int64(maxStretch-minStretch))))
			tb.setLostAnswerShare(0)
		}
	})
	return func() {
		cancel()
		group.Wait()
	}
}

// checkLostAnswers lets callers submit jobs for lostAnswerTime while answers are lost and there is no other fault, and
// waits until these jobs have ended. All the while CheckLiveness checks that they go on.
func (tb *testbed) checkLostAnswers(ctx context.Context, c *callers) {
	tb.setLostAnswerShare(maxLostAnswerShare)
	defer tb.setLostAnswerShare(0)
	id := fmt.Sprintf("%08x%08x", 1<<18, 0)
	c.submit(ctx, tb.newRand(300), id, servingJob(id, tb.opts.Workers))
	submitting, cancel := context.WithTimeout(ctx, lostAnswerTime)
	defer cancel()
	var group sync.WaitGroup
	for n := range lostAnswerCallers {
		group.Go(func() { c.runSteadyCaller(submitting, tb.newRand(301+uint64(n)), 1<<18+1+n) })
	}
	group.Wait()
	tb.finishJobs(ctx, c, tb.newRand(300))
}

// runSteadyCaller submits a job, cancels it in one case of eight, waits until it has ended, and goes on with the next one,
// until ctx ends.
func (c *callers) runSteadyCaller(ctx context.Context, rng *rand.Rand, index int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", index, n)
		if !c.submit(ctx, rng, id, burstJob(rng, id)) {
			continue
		}
		c.pollJob(ctx, rng, id)
		for ctx.Err() == nil && !c.checker.Ended(id) {
			pause.For(ctx, statePollInterval)
			c.queryState(ctx, rng, id)
		}
	}
}

// servingJob returns a lasting job with a task on each of n workers. The tasks have a latency target, so that fillers beside
// them are slowed down.
func servingJob(id string, n int) jobSpec {
	const cpu, targetMS = 400, 200
	return jobSpec{Spec: "payload of " + id, Steps: []stepSpec{{Count: n, CPU: cpu, Memory: 10, LongRunning: true, MaxPerWorker: 1, TargetMS: targetMS}}}
}

// burstJob returns a job of one to three steps, one after the other. In some steps many tasks start at once, and some
// steps are fillers.
func burstJob(rng *rand.Rand, id string) jobSpec {
	counts := []int{1, 1, 2, 8, 40}
	job := jobSpec{Spec: "payload of " + id}
	for i := range 1 + rng.IntN(3) {
		s := stepSpec{
			Count: counts[rng.IntN(len(counts))], CPU: 50, Memory: 10, Estimate: 300,
			duration: time.Duration(40+rng.IntN(700)) * time.Millisecond,
		}
		s.Fills = rng.IntN(4) == 0
		if i > 0 {
			s.After = []int{i - 1}
		}
		job.Steps = append(job.Steps, s)
	}
	return job
}
