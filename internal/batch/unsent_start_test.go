package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a long-running task that is said to have run until a start of it was given up that was never sent, so
// that tasks which went down later were started before it.
func TestAStartThatWasNotSentDoesNotShortenTheTimeDown(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	addJob(c.s, "lasts", "q", c.now, longRunningStep(1, 500, 0))
	c.startsAfter(0)
	c.startsAfter(time.Second)
	c.crash("w01") // w02 runs at its address
	down := c.s.workers["w01"].lastContact
	c.now = c.now.Add(testLimits.LeaseTTL + time.Second)
	c.report("w02")
	c.s.Plan(c.now) // reserves the start, which waits for a record
	is.Equal(len(c.task("lasts").attempts), 1)
	is.True(c.task("lasts").attempts[0].unsent)
	c.s.MarkUnreachable("w02")
	c.s.Plan(c.now)
	is.Equal(len(c.task("lasts").attempts), 0)
	is.Equal(c.task("lasts").downSince, down)
}
