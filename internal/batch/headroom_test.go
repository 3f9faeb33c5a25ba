package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// workerNames returns the ids of n workers.
func workerNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("w%02d", i))
	}
	return out
}

// Guards against new long-running tasks that wait for short ones on a fleet with room for both: six times what short tasks used on
// average was kept free, however steady they were.
func TestLongRunningTasksStartAtOnceWhereShortOnesLeaveRoom(t *testing.T) {
	for _, c := range []struct {
		load          string
		short         int // tasks of one core that run all the time
		lasting       int // new long-running tasks of one core
		startedAtOnce int
	}{
		{load: "a quiet fleet without short tasks", short: 0, lasting: 40, startedAtOnce: 40},
		{load: "a fleet with room and steady short tasks", short: 2, lasting: 36, startedAtOnce: 36},
		{load: "a fleet that the new tasks would fill", short: 2, lasting: 40, startedAtOnce: 38},
	} {
		t.Run(c.load, func(t *testing.T) {
			is := is.New(t)
			var ids []WorkerID
			for _, name := range workerNames(10) {
				ids = append(ids, WorkerID(name))
			}
			s, now := newTestState(ids...)
			if c.short > 0 {
				addJob(s, "short", "q", now, taskStep(c.short, 1000))
				is.Equal(len(startActions(planUntilIdle(s, now))), c.short)
			}
			planEvery(s, now, 100*time.Second)
			now = now.Add(100 * time.Second)
			addJob(s, "lasting", "q", now, longRunningStep(c.lasting, 1000, 0))
			is.Equal(len(startActions(planUntilIdle(s, now))), c.startedAtOnce)
		})
	}
}
