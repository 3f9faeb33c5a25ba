package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	// startWindow is the time after which a worker refuses a start request that arrives late.
	startWindow = 1500 * time.Millisecond
	// workerCallTimeout bounds the wait for the response to a start, stop or throttle request.
	workerCallTimeout = 700 * time.Millisecond
	// stopRetryDelay is the pause before a stop request without a response is repeated.
	stopRetryDelay = 800 * time.Millisecond
	// tickInterval is the longest pause between two scheduling decisions.
	tickInterval = 100 * time.Millisecond
	// commitInterval is the shortest time between two transactions of the owner.
	commitInterval = 40 * time.Millisecond
	// urgentInterval replaces commitInterval while steps wait for their record to become durable.
	urgentInterval = 8 * time.Millisecond
	// commitTimeout bounds one attempt of a transaction.
	commitTimeout = 1500 * time.Millisecond
	// watchInterval is the pause between two watches, so that changes in the store arrive in
	// batches. New jobs do not wait for it: the instances that accept them notify the owner
	// directly.
	watchInterval = 350 * time.Millisecond
	// watchTimeout bounds one watch.
	watchTimeout = 2 * time.Second
	// eventQueueSize is the number of events that may wait for the loop.
	eventQueueSize = 4096
	// storeEventQueueSize is the number of store events that may wait for the loop.
	storeEventQueueSize = 64
	// clockTolerance allows for workers' clocks that are up to 2 % slow.
	clockTolerance = 1.03
	// leaseMargin is added to the computed end of a lease before the lease counts as ended.
	leaseMargin = 200 * time.Millisecond
	// claimGrace is how long an owner that cannot confirm its claim goes on starting tasks and
	// renewing leases after the claim may have ended. The next owner allows for it.
	claimGrace = 3500 * time.Millisecond
)

// event is a change of the leader's state. The loop executes one at a time.
type event func(l *leader, now time.Time)

// leader makes the decisions while its instance holds the claim.
type leader struct {
	owner *Owner
	log   zerolog.Logger
	epoch int64
	// held is the claim under which it leads.
	held   heldClaim
	cancel context.CancelCauseFunc

	// events are all other changes: reports and responses of workers, outcomes of transactions and
	// calls of this instance.
	events chan event
	// storeEvents are changes of jobs and workers in the store. The loop executes them before other
	// events, of which thousands may wait after a take-over, so that a worker that is leaving is
	// not given new tasks.
	storeEvents chan event
	// done is closed when the leadership has ended.
	done chan struct{}
	// firstRenewals is a semaphore that limits the concurrent first calls to workers.
	firstRenewals chan struct{}
	// ownedUntil is the time until which the claim is confirmed, in Unix nanoseconds.
	ownedUntil atomic.Int64

	// The fields below are used by the loop only.
	state           *batch.State
	clocks          map[batch.WorkerID]workerClock
	renewers        map[batch.WorkerID]*renewer
	workersRecord   workersRecord
	ctx             context.Context
	commits         committer
	lastMaintenance time.Time // time of the last maintenance run
	prunedJobs      []string  // pruned jobs whose keys are still in the store
	cooldown        cooldown
	// workersChanged is set when workers may have come or gone since the renewers were last
	// reconciled.
	workersChanged bool
	// suspended is set while mayAct is false.
	suspended bool
}

// workerClock is a reading of a worker's clock.
type workerClock struct {
	clock int64     // milliseconds
	at    time.Time // when the reading was received, on this instance's clock
}

// now estimates what the clock shows at t. The estimate is never ahead of a clock that runs at the
// right rate, since the reading was taken before it was received.
func (c workerClock) now(t time.Time) int64 { return c.clock + t.Sub(c.at).Milliseconds() }

func newLeader(o *Owner, held heldClaim, cancel context.CancelCauseFunc) *leader {
	timing := batch.Timing{
		StopRetryDelay: stopRetryDelay,
		LeaseTTL:       maxLeaseDuration(o.opts.MaxWorkerLease),
		StartLeaseTTL:  maxLeaseDuration(startWindow),
	}
	l := &leader{
		owner:         o,
		log:           o.log.With().Int64("epoch", held.claim.Epoch).Logger(),
		epoch:         held.claim.Epoch,
		held:          held,
		cancel:        cancel,
		events:        make(chan event, eventQueueSize),
		storeEvents:   make(chan event, storeEventQueueSize),
		firstRenewals: make(chan struct{}, maxFirstRenewals),
		done:          make(chan struct{}),
		state:         batch.New(held.claim.Epoch, timing),
		clocks:        map[batch.WorkerID]workerClock{},
		renewers:      map[batch.WorkerID]*renewer{},
		workersRecord: newWorkerRecord(),
		commits:       committer{rev: held.commitRev},
	}
	l.extendOwnership(held.until)
	return l
}

// extendOwnership notes that the claim is confirmed until a time.
func (l *leader) extendOwnership(until time.Time) {
	l.ownedUntil.Store(max(l.ownedUntil.Load(), until.UnixNano()))
	l.state.ExtendOwnership(until)
}

// mayAct reports whether the owner may start tasks and renew leases: its claim is confirmed, or ended at
// most claimGrace ago. A process that was paused asks again after the pause, since a successor may lead.
func (l *leader) mayAct(now time.Time) bool {
	return now.UnixNano() < l.ownedUntil.Load()+int64(claimGrace)
}

// stepDown ends the leadership.
func (l *leader) stepDown(reason string) { l.cancel(errors.New(reason)) }

// post queues an event for the loop. It returns false if the leadership ends first; the event is
// then dropped.
func (l *leader) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// postStoreEvent queues a store event for the loop. The event is dropped if the leadership ends
// first.
func (l *leader) postStoreEvent(e event) {
	select {
	case l.storeEvents <- e:
	case <-l.done:
	}
}

// run executes the leader's loop until ctx ends.
func (l *leader) run(ctx context.Context) {
	l.ctx = ctx
	defer close(l.done)
	go l.renewClaim(ctx)
	if !l.load(ctx) {
		return
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			e(l, time.Now())
			l.drainEvents()
		case e := <-l.storeEvents:
			e(l, time.Now())
		case <-ticker.C:
			l.workersChanged = true
		case <-l.commits.due():
		case <-l.cooldown.due():
		}
		l.drainStoreEvents()
		if now := time.Now(); l.cooldown.elapsed(now) {
			l.decide(now)
			l.cooldown.start(now, time.Now())
		}
	}
}

// drainStoreEvents executes all store events that are queued.
func (l *leader) drainStoreEvents() {
	for {
		select {
		case e := <-l.storeEvents:
			e(l, time.Now())
		default:
			return
		}
	}
}

// drainEvents executes the queued events, so that one decision covers them all. Store events that
// arrive meanwhile are executed first.
func (l *leader) drainEvents() {
	for range eventQueueSize {
		l.drainStoreEvents()
		select {
		case e := <-l.events:
			e(l, time.Now())
		default:
			return
		}
	}
}

// decide plans from the current state, sends the resulting requests to workers and writes the
// changed records.
func (l *leader) decide(now time.Time) {
	l.state.SetConfig(l.owner.config())
	if l.workersChanged {
		l.workersChanged = false
		l.reconcileRenewers()
	}
	l.plan(now)
	l.logEvents()
	l.runMaintenance(now)
	l.commit(now)
}

// plan makes the decisions and carries them out, unless the claim is unconfirmed for too long.
func (l *leader) plan(now time.Time) {
	if suspended := !l.mayAct(now); suspended != l.suspended {
		l.suspended = suspended
		l.log.Info().Str("event", "leader.suspended").Bool("suspended", suspended).
			Time("owned-until", time.Unix(0, l.ownedUntil.Load())).Send()
	}
	if l.suspended {
		return
	}
	for _, a := range l.state.Plan(now) {
		l.execute(a, now)
	}
}

// renewClaim renews the lease of the claim until ctx ends or the lease has ended.
func (l *leader) renewClaim(ctx context.Context) {
	interval := l.owner.opts.LeaseTTL / 4
	disconnected := false
	for ctx.Err() == nil {
		pause.For(ctx, interval)
		callCtx, cancel := context.WithTimeout(ctx, l.owner.opts.LeaseTTL)
		sent := time.Now()
		err := l.owner.store.Renew(callCtx, l.held.lease)
		cancel()
		if err == nil {
			l.post(func(l *leader, _ time.Time) { l.extendOwnership(sent.Add(l.owner.opts.LeaseTTL)) })
		}
		if errors.Is(err, kv.ErrNotFound) {
			l.stepDown("lease of the claim ended")
			return
		}
		if (err != nil) != disconnected && ctx.Err() == nil {
			disconnected = err != nil
			l.log.Info().Str("event", "claim.contact").Bool("lost", disconnected).AnErr("cause", err).Send()
		}
	}
}

// load reads what former owners and other instances have stored, and retries until it succeeds. The
// claim is renewed meanwhile.
func (l *leader) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := l.tryLoad(ctx)
		if err == nil {
			return true
		}
		l.log.Warn().Str("event", "load.failed").Err(err).Send()
		pause.For(ctx, storeRetryDelay)
	}
	return false
}

// tryLoad reads the store once and starts the watches from the revisions that it read.
func (l *leader) tryLoad(ctx context.Context) error {
	owned, _, err := l.owner.store.List(ctx, ownerPrefix)
	if err != nil {
		return err
	}
	accepted, acceptedRev, err := l.owner.store.List(ctx, acceptedPrefix)
	if err != nil {
		return err
	}
	workers, workersRev, err := l.owner.store.List(ctx, l.owner.registry.Prefix())
	if err != nil {
		return err
	}
	now := time.Now()
	l.state.SetConfig(l.owner.config())
	l.restore(owned, accepted, now)
	l.resetWorkers(workers)
	go l.watchJobs(ctx, acceptedRev)
	go l.watchWorkers(ctx, workersRev)
	live, total := l.state.Counts()
	l.log.Info().Str("event", "leader.loaded").Int("live", live).Int("jobs", total).Int("workers", len(workers)).Send()
	return nil
}

// restore rebuilds the state from the content of the store.
func (l *leader) restore(owned, accepted []kv.Item, now time.Time) {
	records := map[string]*batch.Record{}
	latest := now.Add(l.workerLeaseExpiry() + claimGrace)
	for _, item := range owned {
		if item.Key == workersKey {
			until, err := l.workersRecord.restore(item.Value, latest)
			l.checkReadable(item.Key, err)
			l.state.SetUnresolvedWorkers(until)
			continue
		}
		if item.Key == interferenceKey {
			var weights []batch.InterferenceWeight
			l.checkReadable(item.Key, cbor.Unmarshal(item.Value, &weights))
			l.state.RestoreInterference(weights)
			continue
		}
		if _, id := parseKey(item.Key); id != "" {
			if r, err := DecodeRecord(item.Value); l.checkReadable(item.Key, err) {
				records[id] = &r
			}
		}
	}
	l.applySubmissions(accepted, records, true, now)
}

// checkReadable logs an entry of the store that cannot be decoded, and reports whether there was no
// error.
func (l *leader) checkReadable(key string, err error) bool {
	if err != nil {
		l.log.Error().Str("event", "store.unreadable").Str("key", key).Err(err).Send()
	}
	return err == nil
}

// applySubmissions adds the submitted jobs, and then applies the cancellations. loaded is set for
// entries that were accepted under a former owner.
func (l *leader) applySubmissions(items []kv.Item, records map[string]*batch.Record, loaded bool, now time.Time) {
	for _, item := range items {
		prefix, id := parseKey(item.Key)
		if prefix != jobPrefix || l.state.Job(id) != nil {
			continue
		}
		if j, err := decodeJob(id, item.Value); l.checkReadable(item.Key, err) {
			l.state.AddJob(j, records[id], loaded, now)
		}
	}
	for _, item := range items {
		if prefix, id := parseKey(item.Key); prefix == cancelPrefix {
			l.state.Cancel(id, now)
		}
	}
}

// workerLeaseExpiry returns the time after which a worker lease sent now has ended.
func (l *leader) workerLeaseExpiry() time.Duration {
	return maxLeaseDuration(l.owner.opts.MaxWorkerLease)
}

// maxLeaseDuration returns the time after which a lease has ended even on a worker whose clock is
// slow.
func maxLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockTolerance) + leaseMargin
}

// watchJobs watches the submissions and cancellations that instances have accepted.
func (l *leader) watchJobs(ctx context.Context, rev int64) {
	w := &kv.Watcher{
		Store: l.owner.store, Prefix: acceptedPrefix, WatchTimeout: watchTimeout, WatchInterval: watchInterval, RetryDelay: storeRetryDelay,
		OnReset: func(items []kv.Item, _ int64) {
			l.postStoreEvent(func(l *leader, now time.Time) { l.applySubmissions(items, nil, false, now) })
		},
		OnChange: func(events []kv.Event, _ int64) {
			items := existingItems(events)
			l.postStoreEvent(func(l *leader, now time.Time) { l.applySubmissions(items, nil, false, now) })
		},
	}
	w.Run(ctx, rev)
}

// existingItems returns the items of all events that are not deletions.
func existingItems(events []kv.Event) []kv.Item {
	var items []kv.Item
	for _, e := range events {
		if !e.Deleted {
			items = append(items, e.Item)
		}
	}
	return items
}

// watchWorkers watches the entries of workers in the registry.
func (l *leader) watchWorkers(ctx context.Context, rev int64) {
	w := &kv.Watcher{
		Store: l.owner.store, Prefix: l.owner.registry.Prefix(), WatchTimeout: watchTimeout, WatchInterval: watchInterval, RetryDelay: storeRetryDelay,
		OnReset: func(items []kv.Item, _ int64) {
			l.postStoreEvent(func(l *leader, _ time.Time) { l.resetWorkers(items) })
		},
		OnChange: func(events []kv.Event, _ int64) {
			l.postStoreEvent(func(l *leader, _ time.Time) { l.applyWorkerEvents(events) })
		},
	}
	w.Run(ctx, rev)
}

// resetWorkers applies a complete listing. Workers that are not listed are removed.
func (l *leader) resetWorkers(items []kv.Item) {
	listed := map[batch.WorkerID]bool{}
	for _, item := range items {
		if id, ok := l.updateWorker(item); ok {
			listed[id] = true
		}
	}
	for _, w := range l.state.Workers() {
		if !listed[w.ID] {
			l.state.RemoveWorker(w.ID)
		}
	}
}

// applyWorkerEvents applies changes of the entries of workers.
func (l *leader) applyWorkerEvents(events []kv.Event) {
	for _, e := range events {
		if e.Deleted {
			l.state.RemoveWorker(l.owner.registry.ID(e.Key))
			continue
		}
		l.updateWorker(e.Item)
	}
}

// updateWorker applies the entry of a worker. It returns false for an entry that cannot be decoded.
func (l *leader) updateWorker(item kv.Item) (batch.WorkerID, bool) {
	info, err := l.owner.registry.Decode(item.Key, item.Value)
	if err != nil {
		l.log.Warn().Str("event", "worker.unreadable").Str("key", item.Key).Err(err).Send()
		return "", false
	}
	l.state.UpdateWorker(info, time.Now())
	if l.workersRecord.durable[info.ID] {
		l.state.MarkRecorded(info.ID)
	} else if !l.workersRecord.contains(info.ID) {
		l.workersRecord.set(info.ID, 0)
	}
	l.workersChanged = true
	return info.ID, true
}
