package readlag

import (
	"context"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// median returns the median of some measurements.
func median(t *testing.T, p *Probe) time.Duration {
	t.Helper()
	var lags []time.Duration
	for range 25 {
		lags = append(lags, p.Measure(t.Context(), time.Millisecond))
	}
	slices.Sort(lags)
	return lags[len(lags)/2]
}

// busyGoroutines is how many goroutines the test keeps ready to run, and busyTurn for how long each runs at a time.
const (
	busyGoroutines = 64
	busyTurn       = 200 * time.Microsecond
)

// Guards against a lag that does not show that goroutines queue up for the processor (issue 45): with one processor, data
// waits until all of them have run.
func TestTheLagShowsThatGoroutinesQueueUp(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	p, err := New()
	is.NoErr(err)
	defer p.Close()
	idle := median(t, p)
	var stop atomic.Bool
	done := make(chan struct{})
	for range busyGoroutines {
		go func() {
			defer func() { done <- struct{}{} }()
			for !stop.Load() {
				for began := time.Now(); time.Since(began) < busyTurn; {
				}
				runtime.Gosched()
			}
		}()
	}
	busy := median(t, p)
	stop.Store(true)
	for range busyGoroutines {
		<-done
	}
	t.Logf("median lag: %s idle, %s busy", idle, busy)
	is.True(busy > 5*time.Millisecond) // a turn of all goroutines takes 12.8 ms
}

// Guards against a measurement that outlasts its context.
func TestMeasureEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	p, err := New()
	is.NoErr(err)
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(p.Measure(ctx, time.Hour), time.Duration(0))
}

// Guards against a measurement that waits for a probe that is closed.
func TestAClosedProbeMeasuresNothing(t *testing.T) {
	is := is.New(t)
	p, err := New()
	is.NoErr(err)
	p.Close()
	is.Equal(p.Measure(context.Background(), 0), time.Duration(0))
}
