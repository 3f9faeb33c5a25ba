package bubbletest

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a crash of the race detector: goroutines poll tickers for which nobody waits at the instants at which deadlines
// of contexts end, so that timers of one bubble fire on two processors at a time.
func TestTimersThatFireAtOnceDoNotCrashTheRaceDetector(t *testing.T) {
	Run(t, func(t *testing.T) {
		const pairs = 16
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for range pairs {
			wg.Go(func() { pollTicker(ctx) })
			wg.Go(func() { awaitDeadlines(ctx) })
		}
		wg.Wait()
		synctest.Wait()
	})
}

// pollTicker looks at a ticker each time that it is due, without waiting for it, until ctx ends.
func pollTicker(ctx context.Context) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		select {
		case <-ticker.C:
		default:
		}
	}
}

// awaitDeadlines waits for one deadline after the other, until ctx ends.
func awaitDeadlines(ctx context.Context) {
	for ctx.Err() == nil {
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		<-short.Done()
		cancel()
	}
}
