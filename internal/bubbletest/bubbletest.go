// Package bubbletest runs tests under synthetic time.
package bubbletest

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs a test in a bubble of package synctest. It must not be called by parallel tests.
//
// Under the race detector, one goroutine runs at a time: all timers of a bubble share a context of the race detector, which may
// crash the process if two processors use it at once.
func Run(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, test)
}
