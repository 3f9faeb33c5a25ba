package journal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// benchPartition is one partition with a fault-free store and a worker of unlimited capacity.
type benchPartition struct {
	store   *fakeStore
	journal *journal.Journal
	ledger  *ledger.Ledger
	worker  model.Worker
	now     time.Time
	jobs    int
	running []model.JobID
	random  *rand.Rand
}

// randomSpec returns a job whose id, size and payload do not compress.
func randomSpec(random *rand.Rand, payload int) model.JobSpec {
	size := model.Resources{MilliCPU: random.Int64N(16000), MemoryMB: random.Int64N(64000)}
	spec := model.JobSpec{ID: model.JobID(fmt.Sprintf("levy-desk/%016x", random.Uint64())), Team: "levy-desk", Class: "monthly-return",
		Declared: size, DeclaredRun: time.Duration(random.Int64N(int64(time.Hour))), Payload: make([]byte, payload)}
	for i := range spec.Payload {
		spec.Payload[i] = byte(random.Uint32())
	}
	return spec
}

func newBenchPartition(b *testing.B, p model.Partition, store *fakeStore) *benchPartition {
	b.Helper()
	j, replay, err := journal.Open(context.Background(), store, journal.Config{Partition: p, Owner: "3f1d2c9a-instance"})
	if err != nil {
		b.Fatal(err)
	}
	s := &benchPartition{store: store, journal: j, ledger: ledger.New(p), random: rand.New(rand.NewPCG(3, uint64(p))), now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	s.worker = model.Worker{ID: "cairo-a-rack07-w0042", DataCentre: "cairo-a", Capacity: model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}}
	s.ledger.TakeOwnership(s.now, "3f1d2c9a-instance", replay.Epoch)
	return s
}

// start submits and places one job.
func (s *benchPartition) start(b *testing.B) {
	s.jobs++
	spec := randomSpec(s.random, 64)
	id, size := spec.ID, spec.Declared
	if _, err := s.ledger.Submit(s.now, spec); err != nil {
		b.Fatal(err)
	}
	p := ledger.Placement{Job: id, Worker: s.worker, Reservation: size, NotAfter: s.now.Add(3 * time.Second), Reason: fmt.Sprintf("best score %.2f of %d workers", s.random.Float64(), s.random.IntN(20))}
	if err := s.ledger.Place(s.now, p); err != nil {
		b.Fatal(err)
	}
	s.running = append(s.running, id)
}

// end ends the oldest job.
func (s *benchPartition) end(b *testing.B) {
	id := s.running[0]
	s.running = s.running[1:]
	r := platform.AttemptReport{Attempt: model.AttemptID{Job: id, Number: s.attempt(id)}, State: model.AttemptSucceeded}
	if err := s.ledger.HandleReport(s.now, s.worker.ID, r); err != nil {
		b.Fatal(err)
	}
}

func (s *benchPartition) attempt(id model.JobID) uint32 {
	status, _ := s.ledger.Job(id)
	return status.Attempt
}

// commit writes the queued records in one batch, or with one write per record if unbatched is set.
func (s *benchPartition) commit(b *testing.B, unbatched bool) {
	records, _ := s.ledger.Take()
	var state []byte
	if s.journal.NeedsSnapshot() {
		state, _ = s.ledger.Marshal()
	}
	size := max(len(records), 1)
	if unbatched {
		size = 1
	}
	for from := 0; from < len(records); from += size {
		s.append(b, records[from:min(from+size, len(records))])
	}
	if state == nil {
		return
	}
	if err := s.journal.WriteSnapshot(context.Background(), state); err != nil {
		b.Fatal(err)
	}
}

func (s *benchPartition) append(b *testing.B, records []ledger.Record) {
	data, err := journal.EncodeRecords(records)
	if err != nil {
		b.Fatal(err)
	}
	if err := s.journal.Append(context.Background(), data); err != nil {
		b.Fatal(err)
	}
}

// expireJobs removes ended jobs whose retention time has passed; it uses a time that far ahead.
func (s *benchPartition) expireJobs() {
	s.ledger.Expire(s.now.Add(ledger.JobRetention + time.Hour))
	s.ledger.Take()
}

// BenchmarkCommit measures writes and bytes per task start (submission, start and end) for
// several numbers of starts per commit, with group commit and with one write per record.
func BenchmarkCommit(b *testing.B) {
	for _, unbatched := range []bool{false, true} {
		for _, starts := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("naive=%v/starts=%d", unbatched, starts), func(b *testing.B) {
				s := newBenchPartition(b, 0, newFakeStore())
				writesBefore, bytes := s.store.writes, s.store.bytes
				for range b.N {
					for range starts {
						s.start(b)
						if len(s.running) > starts {
							s.end(b)
						}
					}
					s.commit(b, unbatched)
					if s.jobs%500 == 0 {
						s.expireJobs()
					}
				}
				total := float64(b.N * starts)
				b.ReportMetric(float64(s.store.writes-writesBefore)/total, "writes/start")
				b.ReportMetric(float64(s.store.bytes-bytes)/total, "bytes/start")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/total, "µs/start")
			})
		}
	}
}

// BenchmarkTarget simulates 10 s of the target load: 620 starts per second with Poisson arrivals
// in 64 partitions. A partition commits as soon as records are queued, but at most once per
// interval. Each start comes with a submission and an end, which have times of their own.
func BenchmarkTarget(b *testing.B) {
	const partitions, rate, seconds = 64, 620, 10
	for _, interval := range []time.Duration{250, 300, 400, 500} {
		interval *= time.Millisecond
		b.Run(interval.String(), func(b *testing.B) {
			for range b.N {
				store := newFakeStore()
				benchPartitions := make([]*benchPartition, partitions)
				next := make([]time.Duration, partitions)
				for p := range benchPartitions {
					benchPartitions[p] = newBenchPartition(b, model.Partition(p), store)
				}
				random := rand.New(rand.NewPCG(1, 2))
				writesBefore, bytes := store.writes, store.bytes
				const step = 10 * time.Millisecond
				for now := time.Duration(0); now < seconds*time.Second; now += step {
					for range poisson(random, rate*step.Seconds()) {
						benchPartitions[random.IntN(partitions)].start(b)
					}
					for range poisson(random, rate*step.Seconds()) {
						if s := benchPartitions[random.IntN(partitions)]; len(s.running) > 10 {
							s.end(b)
						}
					}
					for p, s := range benchPartitions {
						if now >= next[p] && len(s.running) > 0 {
							before := store.writes
							s.commit(b, false)
							if store.writes > before {
								next[p] = now + interval
							}
						}
					}
				}
				starts := float64(rate * seconds)
				b.ReportMetric(float64(store.writes-writesBefore)/starts, "writes/start")
				b.ReportMetric(float64(store.writes-writesBefore)/seconds, "writes/s")
				b.ReportMetric(float64(store.bytes-bytes)/starts, "bytes/start")
			}
		})
	}
}

// poisson returns a Poisson-distributed number of arrivals.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for sum := random.ExpFloat64(); sum < mean; sum += random.ExpFloat64() {
		n++
	}
	return n
}

// BenchmarkReplay opens a partition with a snapshot of 2,000 running tasks and a nearly full ring
// with seven starts and ends per entry.
func BenchmarkReplay(b *testing.B) {
	store := newFakeStore()
	s := newBenchPartition(b, 0, store)
	for s.jobs < 2000 {
		s.start(b)
		if s.jobs%100 == 0 {
			s.commit(b, false)
		}
	}
	s.ledger.Take()
	state, _ := s.ledger.Marshal()
	if err := s.journal.WriteSnapshot(context.Background(), state); err != nil {
		b.Fatal(err)
	}
	for range journal.DefaultSlots - 2 {
		for range 7 {
			s.start(b)
			s.end(b)
		}
		records, _ := s.ledger.Take()
		s.append(b, records)
	}
	values := make(map[string]platform.KeyValue, len(store.values))
	for key, value := range store.values {
		values[key] = value
	}
	b.ResetTimer()
	for range b.N {
		again := newFakeStore()
		again.revision = store.revision
		for key, value := range values {
			again.values[key] = value
		}
		_, replay, err := journal.Open(context.Background(), again, journal.Config{Owner: "next"})
		if err != nil {
			b.Fatal(err)
		}
		l, err := ledger.Load(0, replay.Snapshot)
		if err != nil {
			b.Fatal(err)
		}
		for _, e := range replay.Entries {
			records, err := journal.DecodeRecords(e)
			if err != nil {
				b.Fatal(err)
			}
			for _, r := range records {
				if err := l.Apply(r); err != nil {
					b.Fatal(err)
				}
			}
		}
	}
	b.ReportMetric(float64(len(state)), "state-bytes")
	b.ReportMetric(float64(len(values["journal/0/snapshot"].Value)), "stored-bytes")
}
