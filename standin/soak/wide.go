package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	// usualStatusTime is how long the settings want the status of an ended job to be known, and shortStatusTime the same if its end is to
	// come within the soak. Instances keep jobs for twice as long.
	usualStatusTime, shortStatusTime = 120 * time.Second, 10 * time.Second
	// retentionFactor is how many times that instances keep an ended job.
	retentionFactor = 2
	// historyDropInterval is the time between two drops of the history while ended jobs are removed.
	historyDropInterval = 100 * time.Millisecond
	// shortJobs is the number of jobs that end at about the same time, so that their keys are removed together.
	shortJobs = 200
	// foreignTime is how long entries of another program stay in the place of workers' own.
	foreignTime = 3 * time.Second
	// fewValueBytes is the largest value that the store takes while images change by the hundred.
	fewValueBytes = 48 << 10
	// imageJobs is the number of jobs that serve, and of those that fill beside them, each with an image of its own on every worker.
	imageJobs = 24
	// imageTime is how long they run, and imageTargetMS the target of the tail latency of those that serve.
	imageTime     = 4 * time.Second
	imageTargetMS = 1000
	// moveTime is how long the advice service serves at both addresses, and settleTime how long it takes at most until the new one is used.
	moveTime, settleTime = 2 * time.Second, time.Second
	// probeTime is how long a small job may take in calm.
	probeTime = 8 * time.Second
)

// wideFaults are injected beside the others with Options.Wide, with random numbers of their own.
var wideFaults = []fault{writeForeignEntry, executeWritesLate, noFault}

// writeForeignEntry writes the entry of another program, for a service that no configuration names, in the place of a worker's own.
func writeForeignEntry(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	worker := tb.pickWorker(rng)
	tb.store.Put(worker.key(), workerEntry{
		Service: "archive", Address: unusedAddress(rng), Zone: worker.Zone, Version: "1", Slots: 8, State: "ready",
		Capacity: capacity{CPU: workerCapacity, Memory: 1 << 20}, Labels: []string{"a"}, Born: time.Now().UnixMilli(),
	})
	return "entry of another program in the place of " + worker.ID, func(*testbed) { worker.writeEntry() }
}

// unusedAddress returns a loopback address at which nothing listens.
func unusedAddress(rng *rand.Rand) string { return fmt.Sprintf("127.0.0.1:%d", 1+rng.IntN(9)) }

// executeWritesLate makes the store execute a part of the transactions seconds later, without an answer.
func executeWritesLate(tb *testbed, _ *rand.Rand) (string, func(*testbed)) {
	const share = 0.3
	tb.store.SetLateWriteShare(share)
	return "store executes writes late", func(tb *testbed) {
		tb.store.SetLateWriteShare(0)
		pause.For(context.Background(), maxLateness)
	}
}

// runLeavingCaller acts as a caller that leaves before its submissions are answered and cancels them, until ctx ends.
func (c *callers) runLeavingCaller(ctx context.Context, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", 1<<20, n)
		job := jobSpec{Spec: "payload of " + id, Steps: []stepSpec{{Count: 1, CPU: 100, Memory: 10, LongRunning: true}}}
		c.submitAndLeave(ctx, rng, id, job)
		pause.For(ctx, time.Duration(50+rng.IntN(200))*time.Millisecond)
	}
}

// submitAndLeave submits a job, leaves after a short time and cancels the job until that is acknowledged.
func (c *callers) submitAndLeave(ctx context.Context, rng *rand.Rand, id string, spec jobSpec) {
	const (
		maxTries              = 10
		minPatience, patience = 20 * time.Millisecond, 130 * time.Millisecond
	)
	c.checker.RecordSubmission(id, spec)
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // jobSpec can always be encoded
	}
	leaving, leave := context.WithTimeout(ctx, minPatience+time.Duration(rng.Int64N(int64(patience))))
	status, _, err := c.call(leaving, rng, http.MethodPost, id, body)
	leave()
	c.checker.RecordSubmissionAnswer(id, err == nil && status/100 == 2, err == nil && status/100 != 2 && status != http.StatusGatewayTimeout)
	c.checker.RecordCancelRequest(id)
	for range maxTries {
		status, _, err := c.call(context.WithoutCancel(ctx), rng, http.MethodDelete, id, nil)
		switch {
		case err == nil && status/100 == 2:
			c.checker.RecordCancellation(id)
			return
		case err == nil && status == http.StatusGone:
			c.checker.RecordWithdrawal(id)
			return
		}
		pause.For(context.Background(), 300*time.Millisecond)
	}
}

// runWide changes, in calm, what changes seldom: the history of the store while the keys of ended jobs are removed, entries of workers
// that another program overwrites, the address of the advice service, and images by the hundred while the store takes small values
// only.
func (tb *testbed) runWide(ctx context.Context, c *callers, rng *rand.Rand) {
	tb.dropHistoryAsJobsGo(ctx, c, rng)
	tb.writeForeignEntries(ctx, c, rng)
	tb.moveAdviser(ctx, c, rng)
	tb.changeImages(ctx, c, rng)
}

// changeImages runs many images side by side on each worker. Work must go on afterwards.
func (tb *testbed) changeImages(ctx context.Context, c *callers, rng *rand.Rand) {
	tb.store.SetMaxValueBytes(fewValueBytes)
	defer tb.store.SetMaxValueBytes(defaultValueBytes)
	tb.noteFault("the store takes %d bytes, %d images beside %d others", fewValueBytes, imageJobs, imageJobs)
	var ids []string
	for n := range 2 * imageJobs {
		id := fmt.Sprintf("%08x%08x", 2<<20, n)
		step := stepSpec{Count: tb.opts.Workers, CPU: 20, Memory: 10, LongRunning: true, MaxPerWorker: 1, Image: fmt.Sprintf("image-%03d-%s", n, strings.Repeat("x", 110))}
		if n%2 == 0 {
			step.TargetMS = imageTargetMS
		} else {
			step.Fills = true
		}
		c.submit(ctx, rng, id, jobSpec{Spec: "payload of " + id, Steps: []stepSpec{step}})
		ids = append(ids, id)
	}
	pause.For(ctx, imageTime)
	tb.probe(ctx, c, rng, 0)
	for _, id := range ids {
		c.cancel(ctx, rng, id)
	}
	tb.finishJobs(ctx, c, rng)
}

// moveAdviser gives the advice service another address, of which the settings files tell. Jobs that need tickets must run before and
// afterwards.
func (tb *testbed) moveAdviser(ctx context.Context, c *callers, rng *rand.Rand) {
	advised := *c
	advised.prefix = advisedPrefix
	tb.probe(ctx, &advised, rng, 1)
	endFormer, err := tb.adviser.move()
	if err != nil {
		tb.checker.RecordViolation("START", "the advice service: %v", err)
		return
	}
	tb.settings.advice = tb.adviser.address
	for _, i := range tb.instances {
		if err := i.writeSettings(tb.settings); err != nil {
			tb.checker.RecordViolation("START", "the settings of %s: %v", i.name, err)
		}
	}
	tb.noteFault("the advice service has another address")
	pause.For(ctx, moveTime)
	endFormer()
	pause.For(ctx, settleTime)
	tb.probe(ctx, &advised, rng, 2)
}

// probe submits a small job, which must end within probeTime.
func (tb *testbed) probe(ctx context.Context, c *callers, rng *rand.Rand, n int) {
	id := fmt.Sprintf("%08x%08x", 3<<20, n)
	spec := jobSpec{Spec: advisedPayload + id, Steps: []stepSpec{{Count: 2, CPU: 100, Memory: 10, Estimate: 100, duration: 100 * time.Millisecond}}}
	if c.prefix != advisedPrefix {
		spec.Spec = "payload of " + id
	}
	if !c.submit(ctx, rng, id, spec) {
		tb.checker.RecordViolation("LOST", "job %s is not accepted in calm", id)
		return
	}
	for startedAt := time.Now(); !tb.checker.Ended(id); pause.For(ctx, 100*time.Millisecond) {
		if time.Since(startedAt) > probeTime || ctx.Err() != nil {
			tb.checker.RecordViolation("LOST", "job %s has not ended in calm for %s", id, probeTime)
			return
		}
		c.queryState(ctx, rng, id)
	}
}

// writeForeignEntries writes entries of another program in the place of every second worker's own, while lasting tasks run there.
func (tb *testbed) writeForeignEntries(ctx context.Context, c *callers, rng *rand.Rand) {
	id := fmt.Sprintf("%08x%08x", 4<<20, 0)
	c.submit(ctx, rng, id, lastingJob(id))
	tb.awaitLastingTasks(ctx)
	pause.For(ctx, 2*time.Second) // the workers report them
	tb.noteFault("entries of another program in the place of every second worker's own")
	var reverts []func(*testbed)
	for range tb.opts.Workers / 2 {
		_, revert := writeForeignEntry(tb, rng)
		reverts = append(reverts, revert)
	}
	pause.For(ctx, foreignTime)
	for _, revert := range reverts {
		revert(tb)
	}
	pause.For(ctx, heartbeat)
	c.cancel(ctx, rng, id)
}

// dropHistoryAsJobsGo makes the store forget its history again and again while the keys of ended jobs are removed.
func (tb *testbed) dropHistoryAsJobsGo(ctx context.Context, c *callers, rng *rand.Rand) {
	const acceptedKeys = "gw/in/job/"
	for n := range shortJobs {
		id := fmt.Sprintf("%08x%08x", 5<<20, n)
		c.submit(ctx, rng, id, jobSpec{Spec: "payload of " + id, Steps: []stepSpec{{Count: 1, CPU: 100, Memory: 10, Estimate: 20, duration: 20 * time.Millisecond}}})
	}
	tb.finishJobs(ctx, c, rng)
	tb.noteFault("history dropped each %s", historyDropInterval)
	limit := retentionFactor*tb.settings.statusTime + finishTimeout/2
	for startedAt := time.Now(); tb.store.Count(acceptedKeys) > 0 && ctx.Err() == nil; pause.For(ctx, historyDropInterval) {
		if time.Since(startedAt) > limit {
			tb.checker.RecordViolation("LOST", "%d ended jobs are still in the store", tb.store.Count(acceptedKeys))
			return
		}
		tb.store.Compact()
	}
	pause.For(ctx, 2*time.Second)
}
