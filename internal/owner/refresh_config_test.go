package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// withConfigBehind runs a test with an owner whose configuration has the version that is set, and a job that another instance has
// accepted under version 2.
func withConfigBehind(t *testing.T, refresh func(ctx context.Context, version *atomic.Int64) error, test func(h *harness, version *atomic.Int64)) {
	withHarness(t, func(h *harness) {
		var version atomic.Int64
		version.Store(1)
		options := Options{Instance: "a", BootClock: h.bootClock, Address: "a", LeaseTTL: testLeaseTTL, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second}
		if refresh != nil {
			options.RefreshConfig = func(ctx context.Context) error { return refresh(ctx, &version) }
		}
		config := func() batch.Config {
			c := testConfig()
			c.Version = version.Load()
			return c
		}
		o := New(options, h.store, h.workers, fakeRegistry{}, config, zerolog.New(&h.log))
		go o.Run(h.ctx)
		h.sleep(5 * time.Second)
		s := Submission{Queue: "new", QueueConfig: batch.Queue{Service: "svc", MaxAttempts: 3}, ConfigVersion: 2, Accepted: time.Now(), Spec: batch.Spec{Payload: "p", Steps: []batch.Step{tasks(1)}}}
		h.store.set(JobKey("j"), EncodeSubmission(s))
		h.is.True(o.NotifySubmitted("j", h.store.revision(), s))
		test(h, &version)
	}, "w")
}

var newTask = batch.TaskID{Job: "j"}

// Guards against an owner that orders by a newer configuration than its own instance serves (issue 50, CONFIG): it was told of a
// job of a new queue before its watch told it of the queue, and then answers that there is no such queue.
func TestTheOwnerStartsNoTaskUnderAConfigurationThatItDoesNotHave(t *testing.T) {
	withConfigBehind(t, nil, func(h *harness, version *atomic.Int64) {
		h.sleep(3 * time.Second)
		h.is.Equal(h.workers.starts(newTask), 0)
		version.Store(2)
		h.sleep(500 * time.Millisecond)
		h.is.Equal(h.workers.starts(newTask), 1)
	})
}

// Guards against an owner that waits for its watch although it knows that there is a newer configuration.
func TestTheOwnerReadsAConfigurationThatAJobNeeds(t *testing.T) {
	refresh := func(_ context.Context, version *atomic.Int64) error {
		version.Store(2)
		return nil
	}
	withConfigBehind(t, refresh, func(h *harness, _ *atomic.Int64) {
		h.sleep(500 * time.Millisecond)
		h.is.Equal(h.workers.starts(newTask), 1)
		h.is.Equal(h.log.count("config.behind", ""), 1)
	})
}

// Guards against a job that waits for ever for a configuration that the store does not hold: it was lost before it was acknowledged.
func TestAJobDoesNotWaitForAConfigurationThatTheStoreDoesNotHold(t *testing.T) {
	withConfigBehind(t, func(context.Context, *atomic.Int64) error { return nil }, func(h *harness, _ *atomic.Int64) {
		h.sleep(500 * time.Millisecond)
		h.is.Equal(h.workers.starts(newTask), 1)
	})
}

// Guards against an owner that starts tasks, or asks without a pause, while the store does not answer.
func TestAFailedReadOfTheConfigurationIsRepeated(t *testing.T) {
	var reads atomic.Int64
	refresh := func(_ context.Context, version *atomic.Int64) error {
		if reads.Add(1) < 10 {
			return errAnswerLost
		}
		version.Store(2)
		return nil
	}
	withConfigBehind(t, refresh, func(h *harness, _ *atomic.Int64) {
		h.sleep(500 * time.Millisecond)
		h.is.Equal(h.workers.starts(newTask), 0)
		h.is.True(reads.Load() >= 2 && reads.Load() <= 6)
		h.sleep(2 * time.Second)
		h.is.Equal(h.workers.starts(newTask), 1)
	})
}
