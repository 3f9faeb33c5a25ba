package batch

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a gang that is passed over since a smaller task of its queue found no worker: only that task has to
// wait for a suspected one there.
func TestATaskThatWaitsForASuspectHoldsUpNoGang(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	addJob(c.s, "a", "q", c.now, taskStep(1, 500))
	c.suspectTask("a", 0, 0)
	is.Equal(len(startActions(planUntilIdle(c.s, c.now))), 1)
	addJob(c.s, "b", "q", c.now, taskStep(1, 400))
	gang := taskStep(2, 500)
	gang.Gang = true
	addJob(c.s, "c", "q", c.now, gang)
	starts := startActions(planUntilIdle(c.s, c.now))
	is.Equal(len(starts), 2)
	is.Equal(starts[0].Task.Job, "c")
}
