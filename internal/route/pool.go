package route

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// usability says whether new requests may go to a target, and why not.
type usability uint8

const (
	usable usability = iota
	unusableWithdrawn
	unusableDataCentreOut
)

const (
	// minEjection and maxEjection bound the time during which a target that failed is
	// avoided; it doubles with each failure in a row.
	minEjection = 500 * time.Millisecond
	maxEjection = 10 * time.Second
	// overdueFactor is the multiple of the mean latency after which a missing answer counts
	// as a failure of the target.
	overdueFactor = 10
	// choices is the number of random candidates that are compared for one request.
	choices = 5
)

// targetShare is a target with what this instance may use of it.
type targetShare struct {
	target model.Target
	slots  int
	usable usability
}

// target is the state of one target; the pool's lock guards it.
type target struct {
	model.Target
	slots    int
	usable   usability
	inFlight int
	latency  average
	failures int
	// ejectedUntil is the time until which others are preferred.
	ejectedUntil time.Time
	identity     identity
}

// pool holds the targets of one service and the requests that wait for them.
type pool struct {
	clock  platform.Clock
	budget *budget

	mu       sync.Mutex
	targets  []*target
	waiting  queue
	sequence uint64
	latency  average
}

func newPool(clock platform.Clock) *pool {
	return &pool{clock: clock, budget: newBudget()}
}

// set replaces the targets. The state of known ones stays; a target that is absent takes
// no new requests.
func (p *pool) set(shares []targetShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[model.TargetID]*target{}
	for _, t := range p.targets {
		t.usable = unusableWithdrawn
		known[t.ID] = t
	}
	p.targets = make([]*target, 0, len(shares))
	for _, s := range shares {
		t := known[s.target.ID]
		if t == nil || !samePlace(t.Target, s.target) {
			t = &target{Target: s.target}
		}
		t.slots, t.usable = s.slots, s.usable
		p.targets = append(p.targets, t)
	}
	p.serve()
}

// samePlace reports whether two entries of the inventory are the same target in the same
// place. The description of a known target never changes, because requests in flight read
// it; whether it is leaving is kept apart.
func samePlace(a, b model.Target) bool {
	a.Leaving, b.Leaving = false, false
	return a == b
}

// acquire waits for a slot of a target, preferably one that was not tried. Its errors are
// NotRun, because nothing was sent.
func (p *pool) acquire(ctx context.Context, deadline time.Time, tried []model.TargetID) (*target, *verdict.Error) {
	p.mu.Lock()
	if err := p.refuse(deadline); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	w := &waiter{deadline: deadline, sequence: p.sequence, tried: tried, granted: make(chan *target, 1), index: -1}
	p.sequence++
	p.waiting.push(w)
	p.serve()
	lastStart := deadline.Add(-p.latency.median)
	p.mu.Unlock()
	return p.await(ctx, w, lastStart)
}

// hasOther reports whether a target that was not tried takes new requests.
func (p *pool) hasOther(tried []model.TargetID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.candidates(func(t *target) bool { return !slices.Contains(tried, t.ID) })) > 0
}

// precheck reports why a request would not be queued, if so.
func (p *pool) precheck(deadline time.Time) *verdict.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refuse(deadline)
}

// refuse reports why a request cannot be queued, if so.
func (p *pool) refuse(deadline time.Time) *verdict.Error {
	if err := p.unavailable(); err != nil {
		return err
	}
	if p.waiting.len() >= MaxQueuedPerService {
		return verdict.New(verdict.NotRun, verdict.ReasonOverload, "%d requests wait for a slot", MaxQueuedPerService)
	}
	wait := p.estimateWait(deadline)
	if wait == 0 {
		return nil
	}
	if left := deadline.Sub(p.clock.Now()); wait+p.latency.median > left {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline,
			"a wait of %v and an execution of %v are expected, %v are left", wait, p.latency.median, left)
	}
	return nil
}

// unavailable reports that no target takes new requests.
func (p *pool) unavailable() *verdict.Error {
	reason := verdict.ReasonNoTarget
	for _, t := range p.targets {
		switch t.usable {
		case usable:
			return nil
		case unusableDataCentreOut:
			reason = verdict.ReasonDataCentreOut
		}
	}
	return verdict.New(verdict.NotRun, reason, "none of %d targets takes requests", len(p.targets))
}

// estimateWait returns the expected time in the queue. It is zero while a slot is free, so
// that a wrong estimate is corrected by the next request.
func (p *pool) estimateWait(deadline time.Time) time.Duration {
	slots, busy := 0, 0
	for _, t := range p.targets {
		if t.usable == usable {
			slots += t.slots
			busy += min(t.inFlight, t.slots)
		}
	}
	ahead := p.waiting.ahead(deadline)
	if busy+ahead < slots || slots == 0 {
		return 0
	}
	return p.latency.mean * time.Duration(busy+ahead-slots+1) / time.Duration(slots)
}

// await waits for the grant. A grant that comes too late is handed back.
func (p *pool) await(ctx context.Context, w *waiter, lastStart time.Time) (*target, *verdict.Error) {
	select {
	case t := <-w.granted:
		return t, nil
	default:
	}
	timer := time.NewTimer(lastStart.Sub(p.clock.Now()))
	defer timer.Stop()
	reason := verdict.ReasonDeadline
	select {
	case t := <-w.granted:
		return t, nil
	case <-timer.C:
	case <-ctx.Done():
		if ctx.Err() == context.Canceled {
			reason = verdict.ReasonCancelled
		}
	}
	return p.giveUp(w, reason)
}

// giveUp takes the waiter out of the queue, unless it was granted a target meanwhile.
func (p *pool) giveUp(w *waiter, reason verdict.Reason) (*target, *verdict.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.waiting.remove(w) {
		return <-w.granted, nil
	}
	return nil, verdict.New(verdict.NotRun, reason, "no slot became free in time")
}

// serve grants free slots to waiters, the earliest deadline first. A waiter whose only free
// targets are those that it tried keeps its place.
func (p *pool) serve() {
	var skipped []*waiter
	for {
		w := p.waiting.pop()
		if w == nil {
			break
		}
		t := p.choose(w.tried)
		if t != nil {
			t.inFlight++
			w.granted <- t
			continue
		}
		skipped = append(skipped, w)
		if len(w.tried) == 0 {
			break
		}
	}
	for _, w := range skipped {
		p.waiting.push(w)
	}
}

// choose returns a target with a free slot, or nil. Of a few random candidates it takes the
// one with the least load; the random part keeps the instances from choosing the same one. Targets that failed lately are used only if there is no other.
func (p *pool) choose(tried []model.TargetID) *target {
	now := p.clock.Now()
	candidates := p.candidates(func(t *target) bool { return !now.Before(t.ejectedUntil) && !slices.Contains(tried, t.ID) })
	if len(candidates) == 0 {
		candidates = p.candidates(func(t *target) bool { return !slices.Contains(tried, t.ID) })
	}
	if len(candidates) == 0 {
		candidates = p.candidates(func(*target) bool { return true })
	}
	free := slices.DeleteFunc(candidates, func(t *target) bool { return t.inFlight >= t.slots })
	if len(free) == 0 {
		return nil
	}
	best := free[rand.IntN(len(free))]
	for range choices - 1 {
		if t := free[rand.IntN(len(free))]; t.load() < best.load() {
			best = t
		}
	}
	return best
}

// candidates returns the usable targets that the filter keeps.
func (p *pool) candidates(keep func(*target) bool) []*target {
	found := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		if t.usable == usable && t.slots > 0 && keep(t) {
			found = append(found, t)
		}
	}
	return found
}

// load estimates how long the target needs for its requests and one more.
func (t *target) load() float64 {
	return float64(t.inFlight+1) / float64(t.slots) * float64(t.latency.mean)
}

// release frees a slot, notes the outcome and serves the next waiter.
func (p *pool) release(t *target, o outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.inFlight--
	switch {
	case o.answered:
		t.failures, t.ejectedUntil = 0, time.Time{}
		t.latency.add(o.took)
		p.latency.add(o.took)
	case o.failed, o.timedOut && p.isOverdue(o.took):
		t.ejectedUntil = p.clock.Now().Add(min(minEjection<<min(t.failures, 10), maxEjection))
		t.failures++
	}
	p.serve()
}

// isOverdue reports whether an attempt without an answer took so long that its target rather
// than a short deadline is the cause. Otherwise a target that accepts requests and never
// answers would go on receiving them.
func (p *pool) isOverdue(took time.Duration) bool {
	return p.latency.mean > 0 && took > overdueFactor*p.latency.mean
}

// isUsable reports whether new requests may go to the target at this moment.
func (p *pool) isUsable(t *target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.usable == usable
}
