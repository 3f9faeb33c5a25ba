package owner

import (
	"context"
	"time"
)

// repetition makes a request that has the same effect however often it is made, and makes it again while no answer
// decides: an answer may be lost, and the request carried out late.
type repetition[T any] struct {
	// try makes the n-th try, counted from 1.
	try func(ctx context.Context, n int) T
	// pause is how long after the n-th try the next one is made.
	pause func(n int) time.Duration
	// maxPause is how long after a try without an answer the next one is made at the latest.
	maxPause time.Duration
	// mayTry reports whether the n-th try, which is not the first, may be made now; if not, it is asked again after
	// maxPause.
	mayTry func(n int) bool
	// slots bounds the tries that are open at a time, with those of other requests; nil for no bound.
	slots chan struct{}
}

// run makes tries until decide, which is asked for the result of each, accepts one, or ctx ends. It returns how many
// tries it has made, and whether a result was accepted.
func (r *repetition[T]) run(ctx context.Context, decide func(result T, sent int) bool) (sent int, decided bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan T)
	try := func(n int) {
		result := r.try(ctx, n)
		if r.slots != nil {
			<-r.slots
		}
		select {
		case results <- result:
		case <-ctx.Done():
		}
	}
	next := time.NewTimer(0)
	defer next.Stop()
	due := false // a try may be made, and waits for a slot
	nextDue := time.Now()
	schedule := func(d time.Duration) {
		nextDue = time.Now().Add(d)
		next.Reset(d)
	}
	begin := func() {
		sent++
		go try(sent)
		schedule(r.pause(sent))
	}
	for {
		var free chan<- struct{}
		if due {
			free = r.slots
		}
		select {
		case <-ctx.Done():
			return sent, false
		case free <- struct{}{}:
			due = false
			begin()
		case <-next.C:
			switch {
			case hasPassed(ctx):
				return sent, false
			case sent > 0 && (time.Since(nextDue) > maxTimerLag || !r.mayTry(sent+1)):
				schedule(r.maxPause)
			case r.slots != nil:
				due = true
			default:
				begin()
			}
		case result := <-results:
			if decide(result, sent) {
				return sent, true
			}
			if !due && time.Until(nextDue) > r.maxPause {
				schedule(r.maxPause)
			}
		}
	}
}

// maxTimerLag is the lag of a timer beyond which this process is short of processor time, so that answers may have
// arrived that it has not read yet.
const maxTimerLag = 40 * time.Millisecond

// hasPassed reports whether the deadline of ctx has passed, which ctx itself may tell a moment later.
func hasPassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}
