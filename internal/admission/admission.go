// Package admission decides when a process that is short of processor time may send its next requests.
//
// A Limiter grants requests at a rate. The rate falls while the process runs late, which shows that work queues up for its
// processor, and rises while it does not and answers come. Requests above the rate wait. Those of urgent classes are granted
// first, within a class those of the highest priority, and of these the ones that are due first. So what is late is not sent,
// instead of being sent, answered and thrown away. A Limiter does not use the network.
package admission

import (
	"context"
	"sync"
	"time"
)

// Class is a class of requests. The classes are in the order of their urgency.
type Class uint8

// The classes.
const (
	// Lease renews a lease that ends soon, under which tasks run.
	Lease Class = iota
	// Report asks a worker that runs tasks for its report, and acknowledges the ends of others.
	Report
	// Stop stops a task, or changes its CPU limit.
	Stop
	// Start starts a task.
	Start
	// Look asks a worker that runs nothing.
	Look
	// Classes is the number of classes.
	Classes
)

// names are the classes in logs and metrics.
var names = [Classes]string{Lease: "lease", Report: "report", Stop: "stop", Start: "start", Look: "look"}

// String returns the name of the class.
func (c Class) String() string { return names[c] }

// weights are the shares of the rate that the classes get while requests of all of them wait. The first request for a lease
// that ends soon does not wait, so only repetitions of such requests have a share.
var weights = [Classes]float64{Lease: 16, Report: 8, Stop: 4, Start: 8, Look: 1}

const (
	// burst is the time for which unused requests are saved up.
	burst = 50 * time.Millisecond
	// minGrantInterval is the shortest time between two grants to requests that wait, so that several share a wake-up.
	minGrantInterval = 2 * time.Millisecond
)

// Limiter grants requests. It is safe for concurrent use.
type Limiter struct {
	mu   sync.Mutex
	rate adaptiveRate
	// tokens is the number of requests that may be granted now, as of refilledAt. It is negative after requests that are
	// granted at once in any case.
	tokens     float64
	refilledAt time.Time
	timer      *time.Timer // calls grantWaiting
	timerIsSet bool
	queues     [Classes]queue
	asked      int // requests that had to wait
	// repeatCredit is the number of repetitions that may be granted while others wait: one for each other request.
	repeatCredit float64
	counts       Counts
	// waitingSince is since when requests have waited without a break; zero if none waits.
	waitingSince time.Time
}

// New returns a Limiter that grants initialRate requests a second to begin with.
func New(initialRate float64) *Limiter {
	return &Limiter{rate: newAdaptiveRate(initialRate), repeatCredit: maxRepeatCredit}
}

// maxRepeatCredit is the largest number of repetitions that are saved up.
const maxRepeatCredit = 100

// Request describes a request that asks to be sent.
type Request struct {
	Class Class
	// Repeated is set if an identical request was sent before.
	Repeated bool
	// Priority is that of the work that needs it. Of those of a class that wait, the one with the lowest number is granted first.
	Priority int
	// Due is by when it should be sent: of those of a priority, the one that is due first is granted first. If it is zero, the
	// request is due when it is made.
	Due time.Time
}

// isUnlimited reports whether a request is granted at once in any case.
func (r Request) isUnlimited() bool { return r.Class == Lease && !r.Repeated }

// Acquire waits until the request may be sent. It returns false if ctx ends first.
func (l *Limiter) Acquire(ctx context.Context, r Request) bool { return l.AcquireUnless(ctx, r, nil) }

// AcquireUnless waits until the request may be sent. It returns false if ctx ends or interrupt is readable first.
func (l *Limiter) AcquireUnless(ctx context.Context, r Request, interrupt <-chan struct{}) bool {
	w := l.request(r, time.Now())
	if w == nil {
		return true
	}
	select {
	case <-w.granted:
		return true
	case <-interrupt:
	case <-ctx.Done():
	}
	return !l.giveUp(w)
}

// request grants a request at once and returns nil, or lets it wait.
func (l *Limiter) request(r Request, now time.Time) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	if r.isUnlimited() || l.tokens >= 1 && l.isIdle() {
		l.grant(r)
		return nil
	}
	l.asked++
	w := &waiter{request: r, since: now, number: l.asked, granted: make(chan struct{})}
	l.queues[r.Class].add(w)
	if l.waitingSince.IsZero() {
		l.waitingSince = now
	}
	l.schedule()
	return w
}

// isIdle reports whether no request waits.
func (l *Limiter) isIdle() bool { return l.waitingSince.IsZero() }

// grant accounts for a request that is granted.
func (l *Limiter) grant(r Request) {
	l.tokens = max(l.tokens-1, -l.savings())
	l.counts.Granted[r.Class]++
	if r.Repeated {
		l.repeatCredit = max(0, l.repeatCredit-1)
	} else {
		l.repeatCredit = min(maxRepeatCredit, l.repeatCredit+1)
	}
}

// giveUp removes a request that waits. It returns false if the request was granted meanwhile.
func (l *Limiter) giveUp(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.granted:
		return false
	default:
	}
	l.queues[w.request.Class].remove(w)
	l.counts.GivenUp[w.request.Class]++
	l.noteIdle()
	return true
}

// refill adds the tokens of the time since the last call.
func (l *Limiter) refill(now time.Time) {
	if l.refilledAt.IsZero() {
		l.tokens = l.savings()
	} else {
		l.tokens = min(l.savings(), l.tokens+l.rate.current*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
}

// savings is the largest number of tokens that are saved up, and of requests that are granted ahead of their time.
func (l *Limiter) savings() float64 { return max(1, l.rate.current*burst.Seconds()) }

// schedule sets the timer for the next grant if requests wait and it is not set.
func (l *Limiter) schedule() {
	if l.isIdle() || l.timerIsSet {
		return
	}
	l.timerIsSet = true
	wait := max(minGrantInterval, time.Duration((1-l.tokens)/l.rate.current*float64(time.Second)))
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.grantWaiting)
		return
	}
	l.timer.Reset(wait)
}

// grantWaiting grants the requests that wait, as far as the rate allows.
func (l *Limiter) grantWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timerIsSet = false
	now := time.Now()
	l.refill(now)
	for l.tokens >= 1 && !l.rate.isLate(now) {
		w := l.next()
		if w == nil {
			break
		}
		l.grant(w.request)
		l.counts.addDelayed(w.request.Class, now.Sub(w.since))
		close(w.granted)
	}
	l.noteIdle()
	l.schedule()
}

// noteIdle notes whether requests still wait.
func (l *Limiter) noteIdle() {
	for i := range l.queues {
		if l.queues[i].len() > 0 {
			return
		}
	}
	l.waitingSince = time.Time{}
}

// next removes and returns the request that is granted next: repetitions only while there is credit for them, unless
// nothing else waits. It returns nil if none waits.
func (l *Limiter) next() *waiter {
	if w := l.nextOf(l.repeatCredit >= 1); w != nil {
		return w
	}
	return l.nextOf(true)
}

// nextOf is next, with or without repetitions.
func (l *Limiter) nextOf(repetitions bool) *waiter {
	best := -1
	for c := range Classes {
		if l.queues[c].has(repetitions) && (best < 0 || l.queues[c].served < l.queues[best].served) {
			best = int(c)
		}
	}
	if best < 0 {
		return nil
	}
	q := &l.queues[best]
	l.levelUp(q.served)
	q.served += 1 / weights[best]
	return q.take(repetitions)
}

// levelUp lets classes in which nothing waits keep up with the one that is served, so that they are not owed for the time
// in which they asked for nothing.
func (l *Limiter) levelUp(served float64) {
	for i := range l.queues {
		if l.queues[i].len() == 0 {
			l.queues[i].served = max(l.queues[i].served, served)
		}
	}
}

// NoteAnswer notes that the answer to a request was read.
func (l *Limiter) NoteAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate.answered++
}

// Observe notes by how much later than planned the process has run. It must be called about every SampleInterval.
func (l *Limiter) Observe(lag time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.rate.observe(lag, now)
}

// Rate returns the number of requests that are granted a second.
func (l *Limiter) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate.current
}

// Sendable returns how many requests can be sent within a time.
func (l *Limiter) Sendable(within time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.rate.current * within.Seconds())
}

// overloadedAfter is how long requests must have waited without a break until the process counts as overloaded. A burst of
// requests waits for less.
const overloadedAfter = 250 * time.Millisecond

// IsOverloaded reports whether the process lacks processor time, so that the time that an answer takes says little of the one
// who owes it.
func (l *Limiter) IsOverloaded(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isIdle() && now.Sub(l.waitingSince) >= overloadedAfter
}
