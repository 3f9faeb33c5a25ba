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

// workerCheckInterval is how often a worker that answers is asked for its complete list of
// attempts, and the least time between two tries to end the attempts of a worker whose lease has
// lapsed. A try leaves those that may still start, see ledger.Ledger.WorkerLeaseExpired.
const workerCheckInterval = 30 * time.Second

// workerSequence is a report sequence of one incarnation of a worker.
type workerSequence struct {
	worker      model.WorkerID
	incarnation string
	sequence    uint64
}

// leaseReply is the outcome of one lease call.
type leaseReply struct {
	session *workerSession
	sentAt  time.Time
	reply   platform.LeaseReply
	err     error
}

// workerSession is the state of the lease and the calls of one worker. Only the goroutine of
// loop.run accesses the fields, except the atomic ones, which Owner.renew uses too.
type workerSession struct {
	worker model.Worker
	cancel context.CancelFunc

	// acknowledged is the highest report sequence whose record is durable.
	acknowledged atomic.Uint64
	// listRequested says that the next renewal asks for the complete list of attempts.
	listRequested atomic.Bool
	// renewalsPaused stops the renewals, so that the lease lapses at a known time.
	renewalsPaused atomic.Bool
	// renewalNotAfter is the time after which the worker refuses every renewal that this session
	// may have sent, in Unix nanoseconds. It is set before a renewal is sent. Before the first one
	// it is the time at which the session was opened.
	renewalNotAfter atomic.Int64

	// incarnation identifies the process of the worker that last answered, "" if none has.
	incarnation string
	// synced says that the worker has sent a complete list of its attempts in answer to a renewal
	// with this owner's epoch, and that the ledger has been reconciled with it.
	synced bool
	// lastRenewal is when the last successful renewal was sent, or when the session was opened.
	lastRenewal time.Time
	// nextListRequest is the time from which the next complete list is requested.
	nextListRequest time.Time
	// nextLapseCheck is the earliest time at which the attempts of an unresponsive worker are ended
	// again.
	nextLapseCheck time.Time
	// removed says that the inventory no longer lists the worker.
	removed bool
	// lastSequence is the sequence of the last report of an end that was processed.
	lastSequence uint64
	// unansweredStarts holds the attempts whose start may have been sent but was not answered.
	unansweredStarts map[model.AttemptID]bool
	// throttles holds the share of processor time of each throttled attempt.
	throttles map[model.AttemptID]float64
}

// reachable reports whether the worker is in the inventory, is synced and answered a renewal that
// was sent less than half a lease ago.
func (ws *workerSession) reachable(now time.Time, t Timing) bool {
	return ws.synced && !ws.removed && now.Sub(ws.lastRenewal) < t.WorkerLeaseTTL/2
}

// unresponsive reports whether the worker was removed or has answered no renewal for longer than a
// lease lasts.
func (ws *workerSession) unresponsive(now time.Time, t Timing) bool {
	return ws.removed || now.Sub(ws.lastRenewal) > t.WorkerLeaseTTL
}

// leaseLapsed reports whether every lease that this session granted has certainly ended: the worker
// refuses the renewals that are still in transit, and the lease of the last accepted one has ended
// too. It does not cover a lease that a former owner renewed, see ledger.Ledger.WorkerLeaseExpired.
func (ws *workerSession) leaseLapsed(now time.Time, t Timing) bool {
	return now.After(time.Unix(0, ws.renewalNotAfter.Load()).Add(t.WorkerLeaseTTL + ledger.MaxClockSkew))
}

// setRenewalNotAfter sets renewalNotAfter before a renewal is sent. It returns a function that
// restores the previous value, for a renewal that certainly did not reach the worker.
func (ws *workerSession) setRenewalNotAfter(until time.Time) (unsent func()) {
	before := ws.renewalNotAfter.Swap(until.UnixNano())
	return func() { ws.renewalNotAfter.Store(before) }
}

// throttle returns the share of processor time that an attempt is limited to, 1 if it is not
// throttled.
func (ws *workerSession) throttle(a model.AttemptID) float64 {
	if share, ok := ws.throttles[a]; ok {
		return share
	}
	return 1
}

// setThrottle records the share of processor time that an attempt is limited to.
func (ws *workerSession) setThrottle(a model.AttemptID, share float64) {
	if share >= 1 {
		delete(ws.throttles, a)
		return
	}
	ws.throttles[a] = share
}

// workerSessions holds the session of each worker of the partition.
type workerSessions struct {
	o    *Owner
	byID map[model.WorkerID]*workerSession
	wg   sync.WaitGroup
}

// newWorkerSessions returns an empty set.
func newWorkerSessions(o *Owner) *workerSessions {
	return &workerSessions{o: o, byID: map[model.WorkerID]*workerSession{}}
}

// get returns the session of a worker.
func (s *workerSessions) get(id model.WorkerID) (*workerSession, bool) {
	session, ok := s.byID[id]
	return session, ok
}

// ordered returns the sessions ordered by worker id, so that decisions are deterministic.
func (s *workerSessions) ordered() []*workerSession {
	all := make([]*workerSession, 0, len(s.byID))
	for _, session := range s.byID {
		all = append(all, session)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].worker.ID < all[j].worker.ID })
	return all
}

// open adds a session for a worker and starts to renew its lease. The first renewal requests the
// complete list, because only that shows which attempts recorded by former owners the worker
// executes. renewalNotAfter starts at now, because the session has sent no renewal yet.
func (s *workerSessions) open(ctx context.Context, w model.Worker, now time.Time) {
	sessionCtx, cancel := context.WithCancel(ctx)
	session := &workerSession{
		worker:           w,
		cancel:           cancel,
		lastRenewal:      now,
		unansweredStarts: map[model.AttemptID]bool{},
		throttles:        map[model.AttemptID]float64{},
	}
	session.listRequested.Store(true)
	session.renewalNotAfter.Store(now.UnixNano())
	s.byID[w.ID] = session
	s.o.addrs.set(w.ID, w.Addr)
	s.wg.Go(func() { s.o.renew(sessionCtx, session, w.Addr) })
}

// close stops the renewals of the worker's lease and removes its session.
func (s *workerSessions) close(id model.WorkerID) {
	if session, ok := s.byID[id]; ok {
		session.cancel()
		delete(s.byID, id)
		s.o.addrs.remove(id)
	}
}

// stop ends all renewals and waits for their goroutines.
func (s *workerSessions) stop() {
	for _, session := range s.byID {
		session.cancel()
	}
	s.wg.Wait()
}

// acknowledge makes the next renewals acknowledge the reports, whose records are durable, so that
// the workers stop repeating them.
func (s *workerSessions) acknowledge(sequences []workerSequence) {
	for _, q := range sequences {
		if session, ok := s.byID[q.worker]; ok && session.incarnation == q.incarnation {
			session.acknowledged.Store(max(session.acknowledged.Load(), q.sequence))
		}
	}
}

// trackUnansweredStart requests complete lists until the outcome of an unanswered start is known.
func (s *workerSessions) trackUnansweredStart(w model.WorkerID, a model.AttemptID) {
	if session, ok := s.byID[w]; ok {
		session.unansweredStarts[a] = true
		session.listRequested.Store(true)
	}
}

// renew is the goroutine that renews the lease of one worker until its session is closed.
func (o *Owner) renew(ctx context.Context, session *workerSession, addr string) {
	t := o.cfg.Timing
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		sentAt := o.cfg.Clock.Now()
		if session.renewalsPaused.Load() || !o.mayRenew(sentAt) {
			timer.Reset(t.WorkerRenewInterval)
			continue
		}
		reply, err := o.lease(ctx, session, addr, sentAt)
		if ctx.Err() != nil {
			return
		}
		select {
		case o.replies <- leaseReply{session: session, sentAt: sentAt, reply: reply, err: err}:
		case <-ctx.Done():
			return
		}
		timer.Reset(t.WorkerRenewInterval)
	}
}

// lease makes one call that renews the lease.
func (o *Owner) lease(ctx context.Context, session *workerSession, addr string, sentAt time.Time) (platform.LeaseReply, error) {
	t := o.cfg.Timing
	callCtx, cancel := context.WithTimeout(ctx, t.WorkerCallTimeout)
	defer cancel()
	notAfter := sentAt.Add(t.WorkerCallTimeout)
	unsent := session.setRenewalNotAfter(notAfter)
	reply, err := o.cfg.Workers.Lease(callCtx, addr, platform.LeaseRequest{
		Partition:    o.cfg.Partition,
		Owner:        o.cfg.Self,
		Epoch:        o.epoch,
		TTL:          t.WorkerLeaseTTL,
		NotAfter:     notAfter,
		Acknowledged: session.acknowledged.Load(),
		All:          session.listRequested.Swap(false),
	})
	if verdict.Of(err) == verdict.NotRun {
		unsent()
	}
	return reply, err
}

// isStale reports whether the worker refused the call because it has seen a higher epoch, that of
// a newer owner.
func isStale(err error) bool {
	var stale *platform.StaleEpochError
	return errors.As(err, &stale)
}

// addresses holds the addresses of the workers, which the loop sets and the sender reads.
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

// set stores the address of a worker.
func (a *addresses) set(w model.WorkerID, addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byWorker[w] = addr
}

// remove removes the address of a worker.
func (a *addresses) remove(w model.WorkerID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byWorker, w)
}
