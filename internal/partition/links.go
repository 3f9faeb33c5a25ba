package partition

import (
	"context"
	"errors"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// relistPeriod is how often a worker is asked for its complete list of attempts.
const relistPeriod = 30 * time.Second

// workerSequence is a report sequence of one worker.
type workerSequence struct {
	worker   model.WorkerID
	sequence uint64
}

// leaseReply is the outcome of one lease call.
type leaseReply struct {
	link  *link
	sent  time.Time
	reply platform.LeaseReply
	err   error
}

// link is what the loop knows of its connection to one worker. The loop owns all fields
// but the atomic ones, which the link's goroutine reads.
type link struct {
	worker model.Worker
	cancel context.CancelFunc

	acknowledged atomic.Uint64
	relist       atomic.Bool
	// paused stops the renewals, so that the lease can be known to lapse.
	paused atomic.Bool
	// expires is when the last renewal that may have been sent can no longer be accepted, in
	// Unix nanoseconds. It is raised before the renewal goes out.
	expires atomic.Int64

	incarnation string
	// fenced says that the worker has seen this owner's epoch and listed its attempts.
	fenced bool
	// renewed is when the last successful renewal was sent.
	renewed  time.Time
	nextList time.Time
	// nextLoss is when the attempts of a silent worker are given up at the earliest.
	nextLoss time.Time
	// gone says that the platform has withdrawn the worker.
	gone    bool
	applied uint64
	// unknown holds the attempts whose start was sent without an answer.
	unknown   map[model.AttemptID]bool
	throttles map[model.AttemptID]float64
}

// reachable reports whether the owner holds the worker's lease with time to spare.
func (k *link) reachable(now time.Time, t Timing) bool {
	return k.fenced && !k.gone && now.Sub(k.renewed) < t.WorkerLeaseTTL/2
}

// silent reports whether the worker has answered no renewal for as long as a lease lasts.
func (k *link) silent(now time.Time, t Timing) bool {
	return k.gone || now.Sub(k.renewed) > t.WorkerLeaseTTL
}

// lapsed reports whether the worker's lease has surely ended: no renewal of this owner that
// is still on its way can be accepted.
func (k *link) lapsed(now time.Time, t Timing) bool {
	return now.After(time.Unix(0, k.expires.Load()).Add(t.WorkerLeaseTTL + ledger.MaxClockSkew))
}

// send makes a renewal count from before it is sent, and returns a function that takes that
// back if the renewal surely did not reach the worker.
func (k *link) send(until time.Time) (unsent func()) {
	before := k.expires.Swap(until.UnixNano())
	return func() { k.expires.Store(before) }
}

// throttle returns the share of processor time in force, 1 if not throttled.
func (k *link) throttle(a model.AttemptID) float64 {
	if share, ok := k.throttles[a]; ok {
		return share
	}
	return 1
}

// setThrottle notes the share that was asked for.
func (k *link) setThrottle(a model.AttemptID, share float64) {
	if share >= 1 {
		delete(k.throttles, a)
		return
	}
	k.throttles[a] = share
}

// links holds the link of each worker of the partition.
type links struct {
	o    *Owner
	byID map[model.WorkerID]*link
	wg   sync.WaitGroup
}

// newLinks returns an empty set.
func newLinks(o *Owner) *links {
	return &links{o: o, byID: map[model.WorkerID]*link{}}
}

// get returns the link of a worker.
func (s *links) get(id model.WorkerID) (*link, bool) {
	k, ok := s.byID[id]
	return k, ok
}

// ordered returns the links ordered by worker id, so that decisions are deterministic.
func (s *links) ordered() []*link {
	all := make([]*link, 0, len(s.byID))
	for _, k := range s.byID {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].worker.ID < all[j].worker.ID })
	return all
}

// open starts renewing the lease of a worker.
func (s *links) open(ctx context.Context, w model.Worker, now time.Time) {
	linkCtx, cancel := context.WithCancel(ctx)
	k := &link{
		worker:    w,
		cancel:    cancel,
		renewed:   now,
		unknown:   map[model.AttemptID]bool{},
		throttles: map[model.AttemptID]float64{},
	}
	k.relist.Store(true)
	k.expires.Store(now.UnixNano())
	s.byID[w.ID] = k
	s.o.addrs.set(w.ID, w.Addr)
	s.wg.Go(func() { s.o.renew(linkCtx, k, w.Addr) })
}

// close stops renewing the lease of a worker and forgets it.
func (s *links) close(id model.WorkerID) {
	if k, ok := s.byID[id]; ok {
		k.cancel()
		delete(s.byID, id)
		s.o.addrs.remove(id)
	}
}

// stop ends all renewals and waits for their goroutines.
func (s *links) stop() {
	for _, k := range s.byID {
		k.cancel()
	}
	s.wg.Wait()
}

// acknowledge lets the workers forget reports that are durable.
func (s *links) acknowledge(sequences []workerSequence) {
	for _, q := range sequences {
		if k, ok := s.byID[q.worker]; ok {
			k.acknowledged.Store(max(k.acknowledged.Load(), q.sequence))
		}
	}
}

// expect asks for complete lists until the outcome of an unanswered start is known.
func (s *links) expect(w model.WorkerID, a model.AttemptID) {
	if k, ok := s.byID[w]; ok {
		k.unknown[a] = true
		k.relist.Store(true)
	}
}

// renew is the goroutine that renews the lease of one worker.
func (o *Owner) renew(ctx context.Context, k *link, addr string) {
	t := o.cfg.Timing
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		sent := o.cfg.Clock.Now()
		if k.paused.Load() || !o.mayRenew(sent) {
			timer.Reset(t.WorkerRenewInterval)
			continue
		}
		reply, err := o.lease(ctx, k, addr, sent)
		if ctx.Err() != nil {
			return
		}
		select {
		case o.replies <- leaseReply{link: k, sent: sent, reply: reply, err: err}:
		case <-ctx.Done():
			return
		}
		timer.Reset(t.WorkerRenewInterval)
	}
}

// lease makes one lease call.
func (o *Owner) lease(ctx context.Context, k *link, addr string, sent time.Time) (platform.LeaseReply, error) {
	t := o.cfg.Timing
	callCtx, cancel := context.WithTimeout(ctx, t.WorkerCallTimeout)
	defer cancel()
	notAfter := sent.Add(t.WorkerCallTimeout)
	unsent := k.send(notAfter)
	reply, err := o.cfg.Workers.Lease(callCtx, addr, platform.LeaseRequest{
		Partition:    o.cfg.Partition,
		Owner:        o.cfg.Self,
		Epoch:        o.epoch,
		TTL:          t.WorkerLeaseTTL,
		NotAfter:     notAfter,
		Acknowledged: k.acknowledged.Load(),
		All:          k.relist.Swap(false),
	})
	if verdict.Of(err) == verdict.NotRun {
		unsent()
	}
	return reply, err
}

// isStale reports whether the worker refused the call for a newer owner.
func isStale(err error) bool {
	var stale *platform.StaleEpochError
	return errors.As(err, &stale)
}

// addresses gives the sender the addresses of the workers.
type addresses struct {
	mu       sync.Mutex
	byWorker map[model.WorkerID]string
}

// get returns the address of a worker.
func (a *addresses) get(w model.WorkerID) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	addr, ok := a.byWorker[w]
	return addr, ok
}

// set notes the address of a worker.
func (a *addresses) set(w model.WorkerID, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byWorker[w] = addr
}

// remove forgets a worker.
func (a *addresses) remove(w model.WorkerID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byWorker, w)
}
