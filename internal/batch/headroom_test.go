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
		startedAtOnce int // an eighth of 40 cores is left to long-running tasks of lost workers
	}{
		{load: "a quiet fleet without short tasks", short: 0, lasting: 40, startedAtOnce: 40},
		{load: "a fleet with room and steady short tasks", short: 2, lasting: 36, startedAtOnce: 35},
		{load: "a fleet that the new tasks would fill", short: 2, lasting: 40, startedAtOnce: 35},
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

// Short urgent jobs come in bursts on a fleet that a stream of long-running tasks would fill between two bursts. Each burst after the
// first finds room at once, in pieces that its tasks fit into.
func TestBurstsOfShortTasksFindRoomBesideAStreamOfLongRunningOnes(t *testing.T) {
	is := is.New(t)
	var ids []WorkerID
	for _, name := range workerNames(10) {
		ids = append(ids, WorkerID(name))
	}
	s, now := newTestState(ids...)
	f := newFleet(s, now)
	for burst := range 4 {
		name := fmt.Sprint("burst", burst)
		came := f.now
		f.add(name, "q", time.Second, taskStep(4, 2000))
		f.run(3*fleetTick, nil)
		is.Equal(f.waited(name, came), time.Duration(0))
		is.Equal(s.jobs[name].occs[0].steps[0].waiting, 0) // all of its tasks were started
		f.add(fmt.Sprint("lasting", burst), "q", 0, longRunningStep(16, 1000, 0))
		f.run(2*time.Second, nil)
	}
}

// Guards against new long-running tasks that fill a fleet beside short ones, so that those of a lost worker find no room again.
func TestLongRunningTasksOfALostWorkerFindRoom(t *testing.T) {
	is := is.New(t)
	var ids []WorkerID
	for _, name := range workerNames(10) {
		ids = append(ids, WorkerID(name))
	}
	s, now := newTestState(ids...)
	addJob(s, "short", "q", now, taskStep(1, 1000))
	planUntilIdle(s, now)
	planEvery(s, now, 100*time.Second)
	now = now.Add(100 * time.Second)
	addJob(s, "lasting", "q", now, longRunningStep(40, 1000, 0))
	planUntilIdle(s, now)
	var lost *worker
	for _, w := range s.sortedWorkers() {
		if w.shortCPU == 0 && len(w.attempts) > 0 {
			lost = w
		}
	}
	down := len(lost.attempts)
	silenceWorker(s, lost.info.ID, 6*time.Second, now)
	restarts := 0
	for _, a := range startActions(planUntilIdle(s, now.Add(7*time.Second))) {
		if a.Run > 1 {
			restarts++
		}
	}
	is.Equal(restarts, down)
}
