package owner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/geraniumwick/geraniumwick/internal/admission"
	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/logging"
)

const (
	// startWindow is the time after which a worker refuses a start request that arrives late.
	startWindow = 1500 * time.Millisecond
	// startCallTimeout bounds the wait for the response to a start and its copies. It leaves the last of them time to arrive
	// within startWindow.
	startCallTimeout = 1100 * time.Millisecond
	// orderCallTimeout bounds the wait for the response to a stop or throttle request and its copies.
	orderCallTimeout = 700 * time.Millisecond
	// stopRetryDelay is the pause before a stop request without a response is repeated.
	stopRetryDelay = 800 * time.Millisecond
	// tickInterval is the longest pause between two scheduling decisions.
	tickInterval = 100 * time.Millisecond
	// commitInterval is the shortest time between two transactions of the owner.
	commitInterval = 40 * time.Millisecond
	// urgentInterval replaces commitInterval while steps wait for their record to become durable, or enough records
	// wait to fill a transaction.
	urgentInterval = 8 * time.Millisecond
	// firstCommitTimeout bounds the first attempt of a transaction, and commitTimeout each other one, which may overlap.
	firstCommitTimeout = 300 * time.Millisecond
	commitTimeout      = 1500 * time.Millisecond
	// commitRepeatInterval is the time between two of these.
	commitRepeatInterval = 300 * time.Millisecond
	// jobWatchInterval is the pause between two watches of accepted jobs, so that changes arrive in batches. New jobs do not
	// wait for it: the instances that accept them notify the owner directly.
	jobWatchInterval = 350 * time.Millisecond
	// workerWatchInterval is the pause between two watches of the workers' entries. Workers rewrite them all the time, so
	// each change waits for it: a new worker, and one that drains.
	workerWatchInterval = 100 * time.Millisecond
	// eventQueueSize is the number of events that may wait for the loop.
	eventQueueSize = 4096
	// storeEventQueueSize is the number of store events that may wait for the loop.
	storeEventQueueSize = 64
	// clockTolerance allows for workers' clocks that are up to 2 % slow.
	clockTolerance = 1.03
	// leaseMargin is added to the computed end of a lease before the lease counts as ended.
	leaseMargin = 200 * time.Millisecond
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
	// requests bounds the requests to each worker, and limiter those to all workers by the processor time that is left.
	requests requestBounds
	limiter  *admission.Limiter
	// incarnations are those of the workers, for the fencing tokens of requests.
	incarnations knownIncarnations
	// calls counts the requests to workers since the last report on them.
	calls callCounts
	// leastPriority is the priority of the queues that go last.
	leastPriority atomic.Int64
	// ownedUntil is the time until which the claim is confirmed, in nanoseconds on Options.BootClock.
	ownedUntil atomic.Int64

	// The fields below are used by the loop only.
	state         *batch.State
	clocks        map[batch.WorkerID]workerClock
	renewers      map[batch.WorkerID]*renewer
	workersRecord workersRecord
	// starts and throttles are the requests whose copies are still sent.
	starts, throttles attemptCalls
	// unsentStarts is the number of starts that were decided and wait to be sent.
	unsentStarts atomic.Int64
	ctx          context.Context
	commits      committer
	records      recordCounts
	processor    processorUse
	// handledCounts counts what the loop has handled since the last report on the load.
	handledCounts handledCounts
	// decisionCounters holds the counters of the state's events, by their names.
	decisionCounters map[string]tally.Counter
	// earlierLeasesEnd is when any lease of an earlier owner has ended; zero until that is known.
	earlierLeasesEnd time.Time
	// formerEnds holds by when former owners have ended that have certainly ended, by epoch.
	formerEnds      map[int64]time.Time
	lastMaintenance time.Time // time of the last maintenance run
	forgotten       forgottenJobs
	// jobsRevision is the revision up to which all changes of submissions have been applied.
	jobsRevision       int64
	earlyCancellations earlyCancellations
	cooldown           cooldown
	// workersChanged is set when workers may have come or gone since the renewers were last
	// reconciled.
	workersChanged bool
	services       services
	// unreadableEntries holds the entries of the registry that cannot be decoded.
	unreadableEntries logging.Repeats
	// oversized holds the values that the store does not take.
	oversized logging.Repeats
	// suspended is set while mayAct is false.
	suspended bool
	// refreshesConfig is set while the configuration is read from the store.
	refreshesConfig bool
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
		StopRetryDelay:  stopRetryDelay,
		LeaseTTL:        maxLeaseDuration(o.opts.MaxWorkerLease),
		StartLeaseTTL:   maxLeaseDuration(startWindow),
		LongestLeaseTTL: maxLeaseDuration(o.opts.LongestWorkerLease),
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
		limiter:       newLimiter(o.opts.Speed),
		incarnations:  newKnownIncarnations(held.claim.Epoch),
		state:         batch.New(held.claim.Epoch, timing),
		clocks:        map[batch.WorkerID]workerClock{},
		renewers:      map[batch.WorkerID]*renewer{},
		workersRecord: newWorkerRecord(held.claim.Epoch, o.unsettledLeaseExtra()),
		starts:        attemptCalls{},
		throttles:     attemptCalls{},
		formerEnds:    map[int64]time.Time{},
		forgotten:     newForgottenJobs(),

		earlyCancellations: earlyCancellations{},
		services:           newServices(),
		commits:            committer{rev: held.commitRev},
		records:            recordCounts{reportedAt: time.Now()},

		decisionCounters: map[string]tally.Counter{},
	}
	l.extendOwnership(held.granted)
	return l
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
	go l.sampleLag(ctx)
	if !l.load(ctx) {
		return
	}
	go l.sweepTombstones(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			began := time.Now()
			e(l, began)
			l.drainEvents()
			l.records.handled += time.Since(began)
		case e := <-l.storeEvents:
			e(l, time.Now())
		case <-ticker.C:
			l.workersChanged = true
		case <-l.commits.due():
		case <-l.cooldown.due():
		}
		l.drainStoreEvents()
		l.react(time.Now())
	}
}

// react decides after an event. While the cooldown of the last decision goes on, it only calls new workers, decides on steps
// that have become startable, and writes changed records.
func (l *leader) react(now time.Time) {
	if l.workersChanged {
		l.workersChanged = false
		l.reconcileRenewers()
	}
	if !l.cooldown.elapsed(now) {
		if !l.suspended && l.mayAct() {
			l.carryOut(l.state.PlanFreshSteps, now)
		}
		l.commit(now)
		return
	}
	l.decide(now)
	l.cooldown.start(now, time.Now(), l.limiter.IsOverloaded(now))
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
	l.noteServices(now)
	l.leastPriority.Store(int64(l.state.LeastPriority()))
	l.plan(now)
	l.refreshConfig()
	l.logEvents()
	l.records.decisions++
	l.handledCounts.decisions++
	l.records.decided += time.Since(now)
	l.reportRecords(now)
	l.runMaintenance(now)
	l.commit(now)
}

// plan makes the decisions and carries them out, unless the claim is unconfirmed for too long.
func (l *leader) plan(now time.Time) {
	if suspended := !l.mayAct(); suspended != l.suspended {
		l.suspended = suspended
		l.log.Info().Str("event", "leader.suspended").Bool("suspended", suspended).
			Int64("unconfirmed-ms", l.unconfirmedFor().Milliseconds()).Send()
	}
	if l.suspended {
		return
	}
	l.carryOut(l.state.Plan, now)
}

// carryOut makes decisions, as many as can be carried out, and sends the requests to workers that result.
func (l *leader) carryOut(decide func(time.Time) []batch.Action, now time.Time) {
	l.state.LimitStarts(l.maxStarts())
	for _, a := range decide(now) {
		l.execute(a, now)
	}
}
