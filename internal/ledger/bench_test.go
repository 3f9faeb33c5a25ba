package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// sizes are the numbers of jobs that the benchmarks run with.
var sizes = []int{100, 1000, 2000}

// benchWorker returns worker n, whose capacity suffices for all attempts of a benchmark.
func benchWorker(n int) model.Worker {
	return model.Worker{ID: model.WorkerID(fmt.Sprintf("cairo-a-rack07-w%04d", n)), DataCentre: "cairo-a", Capacity: model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}}
}

func benchSpec(n int) model.JobSpec {
	return model.JobSpec{ID: model.JobID(fmt.Sprintf("levy-desk/return-2026-01-%08d", n)), Team: "levy-desk", Class: "monthly-return",
		Declared: model.Resources{MilliCPU: 4000, MemoryMB: 16000}, DeclaredRun: time.Minute, Payload: make([]byte, 32)}
}

func benchPlacement(n int) ledger.Placement {
	return ledger.Placement{Job: benchSpec(n).ID, Worker: benchWorker(n % 20), Reservation: model.Resources{MilliCPU: 4000, MemoryMB: 16000},
		NotAfter: at(5), Reason: "best score 0.71 of 12 workers"}
}

// newFilledLedger returns a ledger with n jobs, running or queued.
func newFilledLedger(b *testing.B, n int, running bool) *ledger.Ledger {
	b.Helper()
	l := newOwnedLedger()
	for i := range n {
		if _, err := l.Submit(at(1), benchSpec(i)); err != nil {
			b.Fatal(err)
		}
		if running {
			if err := l.Place(at(2), benchPlacement(i)); err != nil {
				b.Fatal(err)
			}
		}
		l.Take()
	}
	l.Take()
	return l
}

// BenchmarkJobLifecycle submits, places and ends one job in a ledger with n running jobs.
func BenchmarkJobLifecycle(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newFilledLedger(b, n, true)
			for i := range b.N {
				id := n + i
				if _, err := l.Submit(at(1), benchSpec(id)); err != nil {
					b.Fatal(err)
				}
				if err := l.Place(at(2), benchPlacement(id)); err != nil {
					b.Fatal(err)
				}
				status, _ := l.Job(benchSpec(id).ID)
				r := platform.AttemptReport{Attempt: model.AttemptID{Job: status.Spec.ID, Number: status.Attempt}, State: model.AttemptSucceeded}
				if err := l.HandleReport(at(3), benchWorker(id%20).ID, r); err != nil {
					b.Fatal(err)
				}
				if i%400 == 399 {
					b.StopTimer()
					l.Take()
					l.Expire(at(3).Add(ledger.JobRetention + time.Hour))
					l.Take()
					b.StartTimer()
				}
			}
		})
	}
}

// BenchmarkCancelBurst cancels n queued jobs and reports the time of one cancellation.
func BenchmarkCancelBurst(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				l := newFilledLedger(b, n, false)
				b.StartTimer()
				for i := range n {
					if _, err := l.Cancel(at(3), benchSpec(i).ID, "not needed"); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/cancel")
		})
	}
}

// BenchmarkQueue lists n queued jobs, as is done for each plan of the policy.
func BenchmarkQueue(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newFilledLedger(b, n, false)
			for range b.N {
				_ = l.Queue()
			}
		})
	}
}

// BenchmarkMarshal encodes a ledger with n running jobs.
func BenchmarkMarshal(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newFilledLedger(b, n, true)
			size := 0
			for range b.N {
				data, err := l.Marshal()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/job")
		})
	}
}

// BenchmarkClaim claims and settles one key in a ledger with n claims.
func BenchmarkClaim(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newOwnedLedger()
			claim := func(i int) {
				r := ledger.ClaimRequest{Key: model.RequestKey(fmt.Sprintf("levy-desk/return-%08d", i)), Holder: "3f1d2c9a-instance/42", Deadline: at(60)}
				if _, err := l.Claim(at(1), r); err != nil {
					b.Fatal(err)
				}
				if err := l.Settle(at(2), r.Key, r.Holder, verdict.Ran); err != nil {
					b.Fatal(err)
				}
			}
			for i := range n {
				claim(i)
				l.Take()
			}
			data, err := l.Marshal()
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for i := range b.N {
				claim(n + i)
				if i%1000 == 999 {
					b.StopTimer()
					l.Take()
					for range 2 {
						l.Expire(at(60).Add(ledger.ClaimRetention + time.Hour))
					}
					l.Take()
					b.StartTimer()
				}
			}
			b.ReportMetric(float64(len(data))/float64(n), "bytes/claim")
		})
	}
}
