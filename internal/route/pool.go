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

// usability says whether new requests may be sent to a target, and if not, why.
type usability uint8

const (
	usable usability = iota
	unusableWithdrawn
	unusableDataCentreOut
)

const (
	// minEjection and maxEjection bound the time during which a target that failed is
	// avoided. The time doubles with each consecutive failure.
	minEjection = 500 * time.Millisecond
	maxEjection = 10 * time.Second
	// overdueFactor is the multiple of the mean latency after which a missing response
	// counts as a failure of the target.
	overdueFactor = 10
	// sampledCandidates is the number of random candidates that are compared for one request.
	sampledCandidates = 5
)

// targetShare is a target with the number of slots that this instance may use.
type targetShare struct {
	target model.Target
	slots  int
	usable usability
}

// target is the state of one target. The lock of the pool guards it, except for model.Target, which
// does not change, and attemptEcho, which is atomic.
type target struct {
	model.Target
	// slots is the number of requests that this instance may have in flight, inFlight that of those
	// which it has, granted slots included.
	slots    int
	usable   usability
	inFlight int
	latency  latencyStats
	// failures is the number of consecutive failures.
	failures int
	// ejectedUntil is the time until which other targets are preferred.
	ejectedUntil time.Time
	attemptEcho  echoSupport
}

// pool holds the targets of one service and the requests that wait for them.
type pool struct {
	clock  platform.Clock
	budget *retryBudget

	mu      sync.Mutex
	targets []*target
	waiting queue
	// sequence is the sequence of the next waiter.
	sequence uint64
	// latency holds the latency of all targets together.
	latency latencyStats
}

func newPool(clock platform.Clock) *pool {
	return &pool{clock: clock, budget: newRetryBudget()}
}

// setTargets replaces the targets. Known targets keep their state; a target that is absent
// receives no new requests.
func (p *pool) setTargets(shares []targetShare) {
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
		if t == nil || !sameDescription(t.Target, s.target) {
			t = &target{Target: s.target}
		}
		t.slots, t.usable = s.slots, s.usable
		p.targets = append(p.targets, t)
	}
	p.grantSlots()
}

// sameDescription reports whether two entries of the inventory differ at most in Leaving. The
// description of a known target must not change, because requests in flight read it without a
// lock. Whether the target is leaving is kept in target.usable.
func sameDescription(a, b model.Target) bool {
	a.Leaving, b.Leaving = false, false
	return a == b
}

// acquire waits for a slot of a target, preferably of one that was not tried. Its errors have the
// verdict NotRun, because nothing was sent.
func (p *pool) acquire(ctx context.Context, deadline time.Time, tried []model.TargetID) (*target, *verdict.Error) {
	p.mu.Lock()
	if err := p.admissionError(deadline); err != nil {
		p.mu.Unlock()
		return nil, err
	}
	w := &waiter{deadline: deadline, sequence: p.sequence, tried: tried, granted: make(chan *target, 1), index: -1}
	p.sequence++
	p.waiting.push(w)
	p.grantSlots()
	latestStart := deadline.Add(-p.latency.median)
	p.mu.Unlock()
	return p.awaitSlot(ctx, w, latestStart)
}

// hasUntried reports whether there is a usable target that was not tried.
func (p *pool) hasUntried(tried []model.TargetID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.candidates(func(t *target) bool { return !slices.Contains(tried, t.ID) })) > 0
}

// checkAdmission returns the error with which acquire would refuse a request now, or nil.
func (p *pool) checkAdmission(deadline time.Time) *verdict.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.admissionError(deadline)
}

// admissionError returns why a request cannot be queued, or nil; p.mu is held.
func (p *pool) admissionError(deadline time.Time) *verdict.Error {
	if err := p.noTargetError(); err != nil {
		return err
	}
	if p.waiting.len() >= MaxQueuedPerService {
		return verdict.New(verdict.NotRun, verdict.ReasonOverload, "the queue is full: %d requests wait for a slot", MaxQueuedPerService)
	}
	wait := p.estimateWait(deadline)
	if wait == 0 {
		return nil
	}
	if left := deadline.Sub(p.clock.Now()); wait+p.latency.median > left {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline,
			"expected %v of waiting and %v of execution, but the deadline is in %v", wait, p.latency.median, left)
	}
	return nil
}

// noTargetError returns an error if no target is usable, or nil; p.mu is held.
func (p *pool) noTargetError() *verdict.Error {
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

// estimateWait returns the expected time in the queue. It is zero while a slot is free, so that a
// latency that was estimated too high does not refuse every request: the next response corrects it.
func (p *pool) estimateWait(deadline time.Time) time.Duration {
	slots, busy := 0, 0
	for _, t := range p.targets {
		if t.usable == usable {
			slots += t.slots
			busy += min(t.inFlight, t.slots)
		}
	}
	ahead := p.waiting.countAhead(deadline)
	if busy+ahead < slots || slots == 0 {
		return 0
	}
	return p.latency.mean * time.Duration(busy+ahead-slots+1) / time.Duration(slots)
}

// awaitSlot waits until a slot is granted, the latest start has passed or the context ends.
func (p *pool) awaitSlot(ctx context.Context, w *waiter, latestStart time.Time) (*target, *verdict.Error) {
	select {
	case t := <-w.granted:
		return t, nil
	default:
	}
	timer := time.NewTimer(latestStart.Sub(p.clock.Now()))
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
	return p.cancelWait(w, reason)
}

// cancelWait removes the waiter from the queue. If a slot was granted in the meantime, it returns
// the target instead of an error.
func (p *pool) cancelWait(w *waiter, reason verdict.Reason) (*target, *verdict.Error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.waiting.remove(w) {
		return <-w.granted, nil
	}
	return nil, verdict.New(verdict.NotRun, reason, "no slot became free in time")
}

// grantSlots grants free slots to waiters, the earliest deadline first. A waiter that finds no free
// slot stays in the queue. If it has tried targets, the waiters after it are considered as well,
// since they may use other targets.
func (p *pool) grantSlots() {
	var skipped []*waiter
	for {
		w := p.waiting.pop()
		if w == nil {
			break
		}
		t := p.pickTarget(w.tried)
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

// pickTarget returns a target with a free slot, or nil. It samples a few candidates at random and
// picks the one with the least load, so that the instances do not all pick the same target.
// Targets that failed recently are used only if there is no other.
func (p *pool) pickTarget(tried []model.TargetID) *target {
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
	for range sampledCandidates - 1 {
		if t := free[rand.IntN(len(free))]; t.load() < best.load() {
			best = t
		}
	}
	return best
}

// candidates returns the usable targets for which keep returns true.
func (p *pool) candidates(keep func(*target) bool) []*target {
	found := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		if t.usable == usable && t.slots > 0 && keep(t) {
			found = append(found, t)
		}
	}
	return found
}

// load estimates the time that the target needs for its requests in flight and one more.
func (t *target) load() float64 {
	return float64(t.inFlight+1) / float64(t.slots) * float64(t.latency.mean)
}

// release frees a slot, records the outcome of the attempt and grants free slots to waiters.
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
	p.grantSlots()
}

// isOverdue reports whether an attempt without a response took so long that the target is at fault
// and not a short deadline. Without this check, a target that accepts requests and never responds
// would continue to receive them.
func (p *pool) isOverdue(took time.Duration) bool {
	return p.latency.mean > 0 && took > overdueFactor*p.latency.mean
}

// isUsable reports whether new requests may be sent to the target now.
func (p *pool) isUsable(t *target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.usable == usable
}
