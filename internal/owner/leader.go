package owner

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	// startWindow is the time after which a worker refuses a start that has not arrived.
	startWindow = 1500 * time.Millisecond
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = 700 * time.Millisecond
	// stopRetry is the pause before an unanswered stop is sent again.
	stopRetry = 800 * time.Millisecond
	// tickInterval is the longest pause between two decisions.
	tickInterval = 100 * time.Millisecond
	// commitInterval is the least time between two transactions of the owner.
	commitInterval = 40 * time.Millisecond
	// urgentInterval is the same while steps wait for their record.
	urgentInterval = 8 * time.Millisecond
	// commitTimeout bounds one try of a transaction.
	commitTimeout = 1500 * time.Millisecond
	// followPause lets changes in the store arrive together. New jobs are told by their
	// instances meanwhile.
	followPause = 350 * time.Millisecond
	// followWait bounds a watch.
	followWait = 2 * time.Second
	// eventBound is the number of events that may wait for the loop.
	eventBound = 4096
	// newsBound is the same for what the store says.
	newsBound = 64
	// clockTolerance covers workers' clocks that are up to 2 % slow.
	clockTolerance = 1.03
	// leaseMargin is added to each lease that must surely have ended.
	leaseMargin = 200 * time.Millisecond
	// deposedWindow is how long a deposed owner may go on renewing leases before a worker
	// tells it of its successor.
	deposedWindow = 2500 * time.Millisecond
)

// event changes the state of the leader; the loop executes one at a time.
type event func(l *leader, now time.Time)

// leader decides while its instance holds the claim.
type leader struct {
	owner *Owner
	log   zerolog.Logger
	epoch int64
	// won is the campaign that made it the leader.
	won    victory
	cancel context.CancelCauseFunc

	events chan event
	// news are what the store says of jobs and workers. They go before the events of workers, of
	// which thousands may wait after a take-over: a worker that leaves gets nothing new.
	news chan event
	done chan struct{}
	// contacts has room for the first calls to workers that may be under way at once.
	contacts chan struct{}

	// The fields below belong to the loop.
	state   *batch.State
	clocks  map[batch.WorkerID]workerClock
	holders map[batch.WorkerID]*holder
	known   knownWorkers
	ctx     context.Context
	commits committer
	tidied  time.Time // last time that old jobs were forgotten
	erased  []string  // jobs whose keys are to be removed
	rest    rest
	// members says that workers may have come or gone since the holders were compared.
	members bool
}

// workerClock is what a worker's clock showed at a time.
type workerClock struct {
	clock int64 // milliseconds
	at    time.Time
}

// now estimates what the clock shows, at most.
func (c workerClock) now(t time.Time) int64 { return c.clock + t.Sub(c.at).Milliseconds() }

func newLeader(o *Owner, v victory, cancel context.CancelCauseFunc) *leader {
	limits := batch.Timing{
		StopRetryDelay: stopRetry,
		LeaseTTL:       surelyOver(o.opts.MaxWorkerLease),
		StartLeaseTTL:  surelyOver(startWindow),
	}
	return &leader{
		owner:    o,
		log:      o.log.With().Int64("epoch", v.claim.Epoch).Logger(),
		epoch:    v.claim.Epoch,
		won:      v,
		cancel:   cancel,
		events:   make(chan event, eventBound),
		news:     make(chan event, newsBound),
		contacts: make(chan struct{}, firstContacts),
		done:     make(chan struct{}),
		state:    batch.New(v.claim.Epoch, limits),
		clocks:   map[batch.WorkerID]workerClock{},
		holders:  map[batch.WorkerID]*holder{},
		known:    newKnownWorkers(),
		commits:  committer{rev: v.commitRev},
	}
}

// end ends the leadership.
func (l *leader) end(reason string) { l.cancel(errors.New(reason)) }

// post hands an event to the loop; it is lost if the leadership ends first.
func (l *leader) post(e event) bool {
	select {
	case l.events <- e:
		return true
	case <-l.done:
		return false
	}
}

// postNews hands what the store says to the loop.
func (l *leader) postNews(e event) {
	select {
	case l.news <- e:
	case <-l.done:
	}
}

// run leads until ctx ends.
func (l *leader) run(ctx context.Context) {
	l.ctx = ctx
	defer close(l.done)
	go l.keepClaim(ctx)
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
			l.drain()
		case e := <-l.news:
			e(l, time.Now())
		case <-ticker.C:
			l.members = true
		case <-l.commits.due():
		case <-l.rest.due():
		}
		l.hearNews()
		if now := time.Now(); l.rest.over(now) {
			l.decide(now)
			l.rest.begin(now, time.Now())
		}
	}
}

// hearNews takes in all that the store has said.
func (l *leader) hearNews() {
	for {
		select {
		case e := <-l.news:
			e(l, time.Now())
		default:
			return
		}
	}
}

// drain executes the events that wait, so that one decision covers them.
func (l *leader) drain() {
	for range eventBound {
		l.hearNews()
		select {
		case e := <-l.events:
			e(l, time.Now())
		default:
			return
		}
	}
}

// decide sends the orders and writes the records that follow from what happened.
func (l *leader) decide(now time.Time) {
	l.state.SetConfig(l.owner.config())
	if l.members {
		l.members = false
		l.observeHolders()
	}
	for _, a := range l.state.Plan(now) {
		l.send(a, now)
	}
	l.logEvents()
	l.tidy(now)
	l.commit(now)
}

// keepClaim renews the lease of the claim until it is lost.
func (l *leader) keepClaim(ctx context.Context) {
	interval := l.owner.opts.LeaseTTL / 4
	lost := false
	for ctx.Err() == nil {
		pause.For(ctx, interval)
		call, cancel := context.WithTimeout(ctx, l.owner.opts.LeaseTTL)
		sent := time.Now()
		err := l.owner.store.Renew(call, l.won.lease)
		cancel()
		if err == nil {
			l.post(func(l *leader, _ time.Time) { l.state.ExtendOwnership(sent.Add(l.owner.opts.LeaseTTL)) })
		}
		if errors.Is(err, kv.ErrNotFound) {
			l.end("lease of the claim ended")
			return
		}
		if (err != nil) != lost && ctx.Err() == nil {
			lost = err != nil
			l.log.Info().Str("event", "claim.contact").Bool("lost", lost).AnErr("cause", err).Send()
		}
	}
}

// load reads all that former owners and the instances have stored. The claim is held while
// it goes on.
func (l *leader) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := l.tryLoad(ctx)
		if err == nil {
			return true
		}
		l.log.Warn().Str("event", "load.failed").Err(err).Send()
		pause.For(ctx, storeRetry)
	}
	return false
}

func (l *leader) tryLoad(ctx context.Context) error {
	out, _, err := l.owner.store.List(ctx, outPrefix)
	if err != nil {
		return err
	}
	in, inRev, err := l.owner.store.List(ctx, inPrefix)
	if err != nil {
		return err
	}
	workers, workersRev, err := l.owner.store.List(ctx, l.owner.registry.Prefix())
	if err != nil {
		return err
	}
	now := time.Now()
	l.state.SetConfig(l.owner.config())
	l.restore(out, in, now)
	l.observeAll(workers)
	go l.followJobs(ctx, inRev)
	go l.followWorkers(ctx, workersRev)
	live, known := l.state.Counts()
	l.log.Info().Str("event", "leader.loaded").Int("live", live).Int("jobs", known).Int("workers", len(workers)).Send()
	return nil
}

// restore rebuilds the state from the store's content.
func (l *leader) restore(out, in []kv.Item, now time.Time) {
	records := map[string]*batch.Record{}
	latest := now.Add(l.leaseSpan() + deposedWindow)
	for _, item := range out {
		if item.Key == knownKey {
			until, err := l.known.read(item.Value, latest)
			l.readable(item.Key, err)
			l.state.SetUnresolved(until)
			continue
		}
		if item.Key == learnedKey {
			var learned []batch.InterferenceWeight
			l.readable(item.Key, cbor.Unmarshal(item.Value, &learned))
			l.state.RestoreInterference(learned)
			continue
		}
		if _, id := split(item.Key); id != "" {
			if r, err := DecodeRecord(item.Value); l.readable(item.Key, err) {
				records[id] = &r
			}
		}
	}
	l.takeIn(in, records, true, now)
}

func (l *leader) readable(key string, err error) bool {
	if err != nil {
		l.log.Error().Str("event", "store.unreadable").Str("key", key).Err(err).Send()
	}
	return err == nil
}

// takeIn adds jobs, then the cancellations.
func (l *leader) takeIn(items []kv.Item, records map[string]*batch.Record, loaded bool, now time.Time) {
	for _, item := range items {
		prefix, id := split(item.Key)
		if prefix != jobPrefix || l.state.Job(id) != nil {
			continue
		}
		if j, err := decodeJob(id, item.Value); l.readable(item.Key, err) {
			l.state.AddJob(j, records[id], loaded, now)
		}
	}
	for _, item := range items {
		if prefix, id := split(item.Key); prefix == cancelPrefix {
			l.state.Cancel(id, now)
		}
	}
}

// leaseSpan is the time after which a lease that was just sent has surely ended.
func (l *leader) leaseSpan() time.Duration { return surelyOver(l.owner.opts.MaxWorkerLease) }

// surelyOver returns the time after which a lease has ended on any worker's clock.
func surelyOver(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockTolerance) + leaseMargin
}

// followJobs takes in what other instances have accepted.
func (l *leader) followJobs(ctx context.Context, rev int64) {
	f := &kv.Watcher{
		Store: l.owner.store, Prefix: inPrefix, WatchTimeout: followWait, WatchInterval: followPause, RetryDelay: storeRetry,
		OnReset: func(items []kv.Item, _ int64) {
			l.postNews(func(l *leader, now time.Time) { l.takeIn(items, nil, false, now) })
		},
		OnChange: func(events []kv.Event, _ int64) {
			items := present(events)
			l.postNews(func(l *leader, now time.Time) { l.takeIn(items, nil, false, now) })
		},
	}
	f.Run(ctx, rev)
}

func present(events []kv.Event) []kv.Item {
	var items []kv.Item
	for _, e := range events {
		if !e.Deleted {
			items = append(items, e.Item)
		}
	}
	return items
}

// followWorkers takes in what the registry says.
func (l *leader) followWorkers(ctx context.Context, rev int64) {
	f := &kv.Watcher{
		Store: l.owner.store, Prefix: l.owner.registry.Prefix(), WatchTimeout: followWait, WatchInterval: followPause, RetryDelay: storeRetry,
		OnReset: func(items []kv.Item, _ int64) {
			l.postNews(func(l *leader, _ time.Time) { l.observeAll(items) })
		},
		OnChange: func(events []kv.Event, _ int64) {
			l.postNews(func(l *leader, _ time.Time) { l.observeChanges(events) })
		},
	}
	f.Run(ctx, rev)
}

// observeAll takes in a whole listing: workers that it lacks are gone.
func (l *leader) observeAll(items []kv.Item) {
	listed := map[batch.WorkerID]bool{}
	for _, item := range items {
		if id, ok := l.observe(item); ok {
			listed[id] = true
		}
	}
	for _, w := range l.state.Workers() {
		if !listed[w.ID] {
			l.state.RemoveWorker(w.ID)
		}
	}
}

func (l *leader) observeChanges(events []kv.Event) {
	for _, e := range events {
		if e.Deleted {
			l.state.RemoveWorker(l.owner.registry.ID(e.Key))
			continue
		}
		l.observe(e.Item)
	}
}

// observe takes in one entry; an entry that cannot be read names no worker.
func (l *leader) observe(item kv.Item) (batch.WorkerID, bool) {
	info, err := l.owner.registry.Decode(item.Key, item.Value)
	if err != nil {
		l.log.Warn().Str("event", "worker.unreadable").Str("key", item.Key).Err(err).Send()
		return "", false
	}
	l.state.UpdateWorker(info, time.Now())
	if l.known.stored[info.ID] {
		l.state.MarkRecorded(info.ID)
	} else if !l.known.has(info.ID) {
		l.known.set(info.ID, 0)
	}
	l.members = true
	return info.ID, true
}
