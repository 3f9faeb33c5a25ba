package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxWithheld is the longest time for which room beside suspected tasks may stand empty while a short task waits for it.
const maxWithheld = 12 * time.Second

// Guards against short tasks that wait with room for them for as long as others are suspected twice: each waited for
// 0.5 s for the one before, however many there were.
func TestShortSuspectsThatFollowEachOtherDoNotWithholdRoomForLong(t *testing.T) {
	const tasks, each = 40, 100
	c := newCrashCluster(t, 1)
	for i := range tasks {
		st := taskStep(1, each)
		st.Estimate = time.Minute // they need not make progress
		c.addSuspect(fmt.Sprint("job", i), st, make([]time.Duration, suspicionsToIsolate)...)
	}
	started := 0
	for waited := time.Duration(0); waited <= maxWithheld; waited += 250 * time.Millisecond {
		started += c.startsAfter(250 * time.Millisecond)
	}
	is.New(t).Equal(started, tasks)
}

// Guards against a short task that waits for a suspected one which has lost its workers so late that it is cleared only
// after a long time.
func TestAShortTaskIsNotKeptApartForLong(t *testing.T) {
	c := newCrashCluster(t, 1)
	c.addSuspect("a", longRunningStep(1, 500, 0), 9*time.Second, 0, 0)
	c.addSuspect("b", taskStep(1, 500), 0)
	is := is.New(t)
	is.Equal(c.startsAfter(time.Minute), 1)
	started := 0
	for waited := time.Duration(0); waited <= maxWithheld; waited += 250 * time.Millisecond {
		started += c.startsAfter(250 * time.Millisecond)
	}
	is.Equal(started, 1)
}

// Guards against a job that does not start although nearly all room is free: its task was suspected twice, and each worker
// ran a task that was suspected once and had to run for 18 s to be cleared.
func TestATaskThatIsSuspectedTwiceWaitsOnlyForNewSuspects(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 3)
	for i := range 3 {
		c.addSuspect(fmt.Sprint("once", i), longRunningStep(1, 500, 0), 9*time.Second)
	}
	for range 3 {
		c.step()
	}
	for _, w := range c.s.workers {
		is.Equal(w.suspected, 1)
	}
	c.addSuspect("twice", taskStep(1, 500), 0, 0)
	is.Equal(len(startActions(planUntilIdle(c.s, c.now))), 1)
}
