package owner

import (
	"context"
	"sync/atomic"
	"time"
)

// repetition makes a request that has the same effect however often it is made, and makes it again while no answer
// decides: an answer may be lost, and the request carried out late.
type repetition[T any] struct {
	// try makes the n-th try, counted from 1. The first one is repeated once it returns, so it must return soon after the
	// time that an answer usually takes.
	try func(ctx context.Context, n int) T
	// interval is the time between two later tries, which may overlap.
	interval time.Duration
	// mayRepeat reports whether a later try may be made now; if not, it is asked again after interval.
	mayRepeat func() bool
	// slots bounds the tries that are open at a time, with those of other requests; nil for no bound.
	slots chan struct{}
	// admit waits until the n-th try may be sent, and returns false if ctx ends first; nil if all may be sent at once. A later
	// try is due only once the one before was sent.
	admit func(ctx context.Context, n int) bool
	// unsent is the result of a try that was not admitted.
	unsent T
}

// run makes tries until decide, which is asked for the result of each, accepts one, or ctx ends. It returns how many
// tries it has made, and whether a result was accepted.
func (r *repetition[T]) run(ctx context.Context, decide func(result T, sent int) bool) (sent int, decided bool) {
	if !r.takeSlot(ctx) {
		return 0, false
	}
	if decide(r.tryOnce(ctx, 1, func() {}), 1) {
		return 1, true
	}
	return r.repeat(ctx, decide)
}

// takeSlot waits for a slot, if there is a bound. It returns false if ctx ends first.
func (r *repetition[T]) takeSlot(ctx context.Context) bool {
	if r.slots == nil {
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	select {
	case r.slots <- struct{}{}:
		return true
	default: // ctx.Done may set a timer
	}
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// tryOnce makes a try that has a slot, and returns the slot. It calls sent once the try may be sent.
func (r *repetition[T]) tryOnce(ctx context.Context, n int, sent func()) T {
	if r.slots != nil {
		defer func() { <-r.slots }()
	}
	admitted := r.admit == nil || r.admit(ctx, n)
	sent()
	if !admitted {
		return r.unsent
	}
	return r.try(ctx, n)
}

// repeat makes the tries after the first one.
func (r *repetition[T]) repeat(ctx context.Context, decide func(result T, sent int) bool) (sent int, decided bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan T)
	var waits atomic.Bool // the last try has not been sent yet
	begin := func(n int) {
		result := r.tryOnce(ctx, n, func() { waits.Store(false) })
		select {
		case results <- result:
		case <-ctx.Done():
		}
	}
	sent, due := 1, time.Now().Add(firstRepeatDelay)
	next := time.NewTimer(firstRepeatDelay)
	defer next.Stop()
	schedule := func() {
		due = time.Now().Add(r.interval)
		next.Reset(r.interval)
	}
	start := func() {
		sent++
		waits.Store(true)
		go begin(sent)
		schedule()
	}
	var slots chan<- struct{} // set while a try is due and waits for a slot
	for {
		select {
		case <-ctx.Done():
			return sent, false
		case slots <- struct{}{}:
			slots = nil
			start()
		case <-next.C:
			switch {
			case hasPassed(ctx):
				return sent, false
			case waits.Load() || time.Since(due) > maxTimerLag || !r.mayRepeat():
				schedule()
			case r.slots != nil:
				slots = r.slots
			default:
				start()
			}
		case result := <-results:
			if decide(result, sent) {
				return sent, true
			}
		}
	}
}

const (
	// firstRepeatDelay is the pause before the first repetition, whose timer tells the lag of this process.
	firstRepeatDelay = 10 * time.Millisecond
	// maxTimerLag is the lag of a timer beyond which this process is short of processor time, so that answers may have
	// arrived that it has not read yet.
	maxTimerLag = 40 * time.Millisecond
)

// hasPassed reports whether the deadline of ctx has passed, which ctx itself may tell a moment later.
func hasPassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}
