package owner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/admission"
	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// slowOwnerWorkers answer at once, but the owner's processor, which does one thing after the other, needs a time to send
// each renewal, and the same to read its answer. Nothing is done for a request whose time is over.
type slowOwnerWorkers struct {
	*fakeWorkers
	cost      time.Duration
	processor chan struct{}
	renewals  atomic.Int64
}

// work occupies the processor for a time, and reports whether it could before ctx ended.
func (s *slowOwnerWorkers) work(ctx context.Context, d time.Duration) bool {
	select {
	case s.processor <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.processor }()
	if ctx.Err() != nil {
		return false
	}
	pause.For(context.Background(), d)
	return true
}

func (s *slowOwnerWorkers) RenewLease(ctx context.Context, req RenewRequest) (batch.Report, batch.Answer) {
	if !s.work(ctx, s.cost) {
		return batch.Report{}, batch.AnswerNone
	}
	s.renewals.Add(1)
	report, answer := s.fakeWorkers.RenewLease(ctx, req)
	if !s.work(ctx, s.cost) {
		return batch.Report{}, batch.AnswerNone
	}
	return report, answer
}

// simulatedProcessor simulates the processor of an owner's machine.
type simulatedProcessor interface {
	// lag is Options.ProcessorLag, and speed Options.Speed.
	lag(ctx context.Context) time.Duration
	speed() float64
}

// speedFor returns the speed of a machine on which a request to a worker takes a time.
func speedFor(request time.Duration) float64 { return 1 / (request.Seconds() * requestsPerCore) }

// lag is how long the processor has to be waited for.
func (s *slowOwnerWorkers) lag(ctx context.Context) time.Duration {
	pause.For(ctx, admission.SampleInterval)
	began := time.Now()
	s.work(ctx, 0)
	return time.Since(began)
}

func (s *slowOwnerWorkers) speed() float64 { return speedFor(2 * s.cost) }

// manyWorkers returns the ids of count workers.
func manyWorkers(count int) []batch.WorkerID {
	var ids []batch.WorkerID
	for i := range count {
		ids = append(ids, batch.WorkerID(fmt.Sprintf("w%d", i)))
	}
	return ids
}

// withOwnerOf runs a test with an owner that uses a client of the harness's workers.
func withOwnerOf(t *testing.T, ids []batch.WorkerID, client func(h *harness) WorkerClient, test func(h *harness)) {
	withHarness(t, func(h *harness) {
		options := Options{Instance: "a", BootClock: h.bootClock, Address: "a", LeaseTTL: testLeaseTTL, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second}
		workers := client(h)
		if p, ok := workers.(simulatedProcessor); ok {
			options.ProcessorLag, options.Speed = p.lag, p.speed()
		}
		o := New(options, h.store, workers, fakeRegistry{}, testConfig, zerolog.New(&h.log))
		go o.Run(h.ctx)
		h.sleep(10 * time.Second)
		test(h)
	}, ids...)
}

// Guards against repetitions that keep an owner short of processor time for good: once all answers were late for a
// moment, their repetitions make the next ones late (issue 42).
func TestRepeatedRenewalsDoNotKeepAnOwnerBusy(t *testing.T) {
	const (
		workers = 400
		cost    = time.Millisecond // two fifths of the processor, as each worker is asked every two seconds
		stall   = time.Second
		window  = 10 * time.Second
	)
	var s *slowOwnerWorkers
	withOwnerOf(t, manyWorkers(workers), func(h *harness) WorkerClient {
		s = &slowOwnerWorkers{fakeWorkers: h.workers, cost: cost, processor: make(chan struct{}, 1)}
		return s
	}, func(h *harness) {
		s.renewals.Store(0)
		h.sleep(window)
		before := s.renewals.Swap(0)
		silentBefore := h.log.count("worker.silent", "")
		s.work(h.ctx, stall)
		h.sleep(window - stall)
		during := s.renewals.Swap(0)
		h.sleep(window)
		after := s.renewals.Swap(0)
		t.Logf("renewals in %s: %d before, %d from a stall of %s, %d after that; workers silent: %d before, %d since", window, before, during, stall, after,
			silentBefore, h.log.count("worker.silent", "")-silentBefore)
		h.is.True(before <= workers*int64(window/idleWait)*5/4)
		h.is.True(during <= 2*before)
		h.is.True(after <= before*5/4)
	})
}

// socketWorkers count the open requests. As in package platform, a request whose context is cancelled stays open until its
// deadline.
type socketWorkers struct {
	WorkerClient
	mu        sync.Mutex
	open      int
	openAt    map[batch.WorkerID]int
	most      int
	mostAtOne int
}

func (s *socketWorkers) RenewLease(ctx context.Context, req RenewRequest) (batch.Report, batch.Answer) {
	s.mu.Lock()
	s.open++
	s.openAt[req.Worker]++
	s.most, s.mostAtOne = max(s.most, s.open), max(s.mostAtOne, s.openAt[req.Worker])
	s.mu.Unlock()
	deadline, _ := ctx.Deadline()
	uncancelled, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	report, answer := s.WorkerClient.RenewLease(uncancelled, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.openAt[req.Worker]--
	return report, answer
}

// reset forgets the largest numbers so far.
func (s *socketWorkers) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most, s.mostAtOne = 0, 0
}

func (s *socketWorkers) largest() (all, atOne int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most, s.mostAtOne
}

// Guards against an owner that is cut off from its workers and uses up its file descriptors with repeated renewals, so
// that it reaches neither the store nor other instances (issue 42).
func TestRepeatedRenewalsLeaveFileDescriptors(t *testing.T) {
	const (
		workers     = 1957 // the largest deployment played so far
		descriptors = 4100 - 200
	)
	var s *socketWorkers
	ids := manyWorkers(workers)
	withOwnerOf(t, ids, func(h *harness) WorkerClient {
		s = &socketWorkers{WorkerClient: h.workers, openAt: map[batch.WorkerID]int{}}
		return s
	}, func(h *harness) {
		s.reset()
		h.loseWorkers(ids)
		h.sleep(5 * time.Second)
		all, atOne := s.largest()
		t.Logf("open renewals: %d to all workers, %d to one", all, atOne)
		h.is.True(all < descriptors)
	})
}

// Guards against renewals that take the connections of orders, whose failure to get one shuns the worker (issue 42): the
// first request stays open when a repetition is answered.
func TestOpenRenewalsKeepToTheirConnections(t *testing.T) {
	const seeds, duration = 10, 20 * time.Second
	ids := manyWorkers(8)
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			var s *socketWorkers
			var l *lossyWorkers
			withOwnerOf(t, ids, func(h *harness) WorkerClient {
				l = &lossyWorkers{workers: h.workers, seed: seed, late: h.ctx}
				s = &socketWorkers{WorkerClient: l, openAt: map[batch.WorkerID]int{}}
				return s
			}, func(h *harness) {
				l.setLoss(0.5, 0)
				h.sleep(duration)
				_, atOne := s.largest()
				t.Logf("open renewals to one worker: %d", atOne)
				h.is.True(atOne <= maxOpenReports)
				l.setLoss(0, 0)
			})
		})
	}
}
