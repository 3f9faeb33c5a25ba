package journal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// runJob submits a job, runs the given number of attempts, and leaves it running or finished.
func runJob(is *is.I, l *ledger.Ledger, random *rand.Rand, spec model.JobSpec, now time.Time, attempts int, finished bool) {
	_, err := l.Submit(now, spec)
	is.NoErr(err)
	for n := 1; n <= attempts; n++ {
		now = now.Add(time.Duration(random.Int64N(int64(time.Minute))))
		w := model.Worker{ID: model.WorkerID(fmt.Sprintf("cairo-a-rack07-w%04d", random.IntN(20))), Capacity: model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}}
		reason := fmt.Sprintf("best score %.2f of %d workers", random.Float64(), random.IntN(20))
		is.NoErr(l.Place(now, ledger.Placement{Job: spec.ID, Worker: w, Reservation: spec.Declared, NotAfter: now.Add(startWindow), Reason: reason}))
		r := platform.AttemptReport{Attempt: model.AttemptID{Job: spec.ID, Number: uint32(n)}, State: model.AttemptFailed, Error: "exit status 1"}
		if n == attempts {
			r = platform.AttemptReport{Attempt: r.Attempt, State: model.AttemptSucceeded}
		}
		if n < attempts || finished {
			is.NoErr(l.HandleReport(now.Add(time.Second), w.ID, r))
		}
		l.Take()
	}
}

// TestStateFitsOneValue writes states as snapshots and compares their stored size with
// MaxValueBytes.
func TestStateFitsOneValue(t *testing.T) {
	cases := []struct {
		description                                string
		jobs, finished, attempts, payload, claimed int
		limit                                      int
	}{
		{"the target's partition, with 300 running and 220 ended jobs, needs a quarter", 520, 220, 2, 256, 1000, journal.MaxValueBytes / 4},
		{"2,000 running tasks need less than half", 2000, 0, 1, 64, 1000, journal.MaxValueBytes / 2},
		{"a ledger at all its limits fits", ledger.MaxJobs, 0, ledger.MaxJobHistoryEntries / 2, ledger.MaxSpecBytes/ledger.MaxJobs - 60, 3700, journal.MaxValueBytes},
	}
	for _, c := range cases {
		t.Run(c.description, func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			random := rand.New(rand.NewPCG(4, 4))
			l := ledger.New(0)
			for i := range c.jobs {
				runJob(is, l, random, randomSpec(random, c.payload), now, c.attempts, i < c.finished)
			}
			for i := range c.claimed {
				r := ledger.ClaimRequest{Key: model.RequestKey(fmt.Sprintf("levy-desk/%016x", random.Uint64())),
					Holder: model.InstanceID(fmt.Sprintf("3f1d2c9a-instance/%d", i)), Deadline: now.Add(time.Minute)}
				_, err := l.Claim(now, r)
				is.NoErr(err)
				is.NoErr(l.Settle(now, r.Key, r.Holder, verdict.Ran))
				l.Take()
			}
			state, err := l.Marshal()
			is.NoErr(err)
			store := newFakeStore()
			j, _, err := journal.Open(context.Background(), store, config("a"))
			is.NoErr(err)
			is.NoErr(j.WriteSnapshot(context.Background(), state))
			stored := len(store.values["journal/3/snapshot"].Value)
			t.Logf("%d bytes of state, %d stored", len(state), stored)
			is.True(stored <= c.limit)
		})
	}
}
