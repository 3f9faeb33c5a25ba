package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// The bounds are those of the users' rules.
const (
	// finishTime is how long after all faults but lost answers of workers the checks begin (finish_s).
	finishTime = 14 * time.Second
	// lastingRestart is how long after its last run a task that lasts may be down in any case (LOST).
	lastingRestart = 6 * time.Second
	// cancelTime is how long after its cancellation a job may run (cancel_ms and the shortest stop-ms, UNASKED).
	cancelTime = 3*time.Second + 200*time.Millisecond
	// checkedTime is how long the checks go on, and checkInterval the time between two of them.
	checkedTime   = 12 * time.Second
	checkInterval = 100 * time.Millisecond
	// maxLoss is the largest share of requests to workers that get no answer during the checks.
	maxLoss = 0.5
)

const (
	// roomFactor is how many times a task must fit on a worker that counts as having room for it.
	roomFactor = 2
	// maxUseOfService is the share of the capacity of which less must be in use, as 1/maxUseOfService.
	maxUseOfService = 2
)

// livenessCheck checks that tasks run that can, while answers of workers are lost.
type livenessCheck struct {
	world *ownersWorld
	begun time.Time
	// roomSince holds since when workers have had room for any task.
	roomSince map[batch.WorkerID]time.Time
	lapses    int // attempts that had ended with a lease when the checks began
	failed    bool
}

// endFaults ends all faults but lost answers of workers, and submits no more jobs for finishTime.
func (w *ownersWorld) endFaults() {
	w.restoreAll("")
	for _, v := range w.views {
		v.change(func(v *view) { v.refused, v.lost = 0, 0 })
	}
	w.muted.Clear()
	share := maxLoss
	if w.random.IntN(3) == 0 {
		share *= w.random.Float64()
	}
	resets := w.random.Float64()
	w.lossy.setLoss(share, resets)
	w.note("all other faults end, %.0f %% of the answers of workers are lost, %.0f %% of these with a reset", 100*share, 100*resets)
	w.sleep(finishTime)
}

// checkLiveness ends the faults, submits jobs of each kind and cancels one, and checks what runs.
func (w *ownersWorld) checkLiveness() {
	w.endFaults()
	c := &livenessCheck{world: w, begun: time.Now(), roomSince: map[batch.WorkerID]time.Time{}, lapses: w.workers.lapsedEnds()}
	w.submitJob("last", time.Hour, lastingTasks(2))
	w.submitJob("chain", time.Second, endingTasks(2), after(endingTasks(2), 0))
	w.submitJob("burst", time.Hour, manyTasks())
	burst := w.jobs[len(w.jobs)-1]
	for passed := time.Duration(0); passed < checkedTime && !c.failed; passed += checkInterval {
		switch passed {
		case checkedTime / 3:
			w.cancelAny("")
			w.submitJob("later", time.Hour, lastingTasks(1))
			w.submitJob("ending", time.Second, endingTasks(1))
		case checkedTime / 2:
			w.cancelJob(burst)
		}
		w.sleep(checkInterval)
		c.check(time.Now())
	}
	if c.failed {
		w.t.Errorf("history:\n%s", w.history)
	}
}

func (c *livenessCheck) fail(format string, args ...any) {
	c.failed = true
	c.world.t.Errorf("%s %s", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// check checks the state at a time.
func (c *livenessCheck) check(now time.Time) {
	if n := c.world.workers.lapsedEnds(); n > c.lapses {
		c.fail("%d tasks of sound workers ended with their lease", n-c.lapses)
	}
	running := c.world.workers.runningTasks()
	c.noteRoom(running, now)
	for _, j := range c.world.jobs {
		switch {
		case !j.cancelled.IsZero():
			c.checkCancelled(j, running, now)
		case j.steps[0].LongRunning:
			c.checkTasks(j, 0, j.accepted, running, now)
		default:
			c.checkFinite(j, running, now)
		}
	}
}

// noteRoom notes since when each worker has had room for any task, while little of the service is in use.
func (c *livenessCheck) noteRoom(running map[batch.TaskID]batch.WorkerID, now time.Time) {
	used, usedByAll := map[batch.WorkerID]int64{}, int64(0)
	for _, j := range c.world.jobs {
		for task, id := range running {
			if task.Job == j.id {
				used[id] += j.steps[task.Step].Resources.CPU
				usedByAll += j.steps[task.Step].Resources.CPU
			}
		}
	}
	isLittleUsed := usedByAll*maxUseOfService < int64(len(c.world.ids)*workerCPU)
	for _, id := range c.world.ids {
		_, hadRoom := c.roomSince[id]
		switch {
		case !isLittleUsed || used[id]+roomFactor*taskCPU > workerCPU:
			delete(c.roomSince, id)
		case !hadRoom:
			c.roomSince[id] = now
		}
	}
}

// checkCancelled checks that no task of a cancelled job runs for too long.
func (c *livenessCheck) checkCancelled(j *worldJob, running map[batch.TaskID]batch.WorkerID, now time.Time) {
	if now.Sub(c.counted(j.cancelled)) <= cancelTime {
		return
	}
	for id, worker := range running {
		if id.Job == j.id {
			c.fail("%v runs on %s, %s after its cancellation", id, worker, now.Sub(j.cancelled))
		}
	}
}

// checkFinite checks a job whose tasks end.
func (c *livenessCheck) checkFinite(j *worldJob, running map[batch.TaskID]batch.WorkerID, now time.Time) {
	due := j.accepted
	for s := range j.steps {
		c.checkTasks(j, s, due, running, now)
		due = c.world.workers.stepDoneAt(j, s)
		if due.IsZero() {
			return
		}
	}
	if now.Sub(c.counted(due)) > startableWithin && !c.world.isCompleted(j.id) {
		c.fail("%s is not completed %s after its last task was done", j.id, now.Sub(due))
	}
}

// checkTasks checks the tasks of a step whose turn has come at a time.
func (c *livenessCheck) checkTasks(j *worldJob, step int, due time.Time, running map[batch.TaskID]batch.WorkerID, now time.Time) {
	for i := range j.steps[step].Count {
		id := batch.TaskID{Job: j.id, Step: step, Index: i}
		if _, runs := running[id]; runs || c.world.workers.isDone(id) {
			continue
		}
		since := c.counted(due)
		if last := c.world.workers.lastEnded(id); j.steps[step].LongRunning && !last.IsZero() {
			since = laterOf(since, last.Add(lastingRestart))
		}
		c.checkRoom(id, since, due, now)
	}
}

// checkRoom checks that no worker has had room for too long for a task that does not run although it could since a time.
func (c *livenessCheck) checkRoom(id batch.TaskID, since, due, now time.Time) {
	for _, worker := range c.world.ids {
		room, hasRoom := c.roomSince[worker]
		if hasRoom && now.Sub(laterOf(room, since)) > startableWithin {
			c.fail("%v does not run, with room on %s; its turn came %s ago", id, worker, now.Sub(due))
			return
		}
	}
}

// counted returns the later of a time and the begin of the checks.
func (c *livenessCheck) counted(t time.Time) time.Time { return laterOf(t, c.begun) }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// runningTasks returns a worker for each task that runs.
func (w *fakeWorkers) runningTasks() map[batch.TaskID]batch.WorkerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := map[batch.TaskID]batch.WorkerID{}
	for id, n := range w.workers {
		n.advance()
		for key := range n.running {
			running[key.task] = id
		}
	}
	return running
}

// isDone reports whether a run of a task was done.
func (w *fakeWorkers) isDone(id batch.TaskID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.firstDone[id].IsZero()
}

// lastEnded returns when the last run of a task that has ended did so; zero if none has.
func (w *fakeWorkers) lastEnded(id batch.TaskID) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastEnds[id]
}

// isCompleted reports whether a job is stored as completed, or was and has been removed since.
func (w *ownersWorld) isCompleted(id string) bool {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	record, stored := w.store.items[RecordKey(id)]
	if _, known := w.store.items[JobKey(id)]; !stored {
		return !known
	}
	r, err := DecodeRecord(record.Value)
	w.is.NoErr(err)
	return r.Status == batch.Completed
}

// Guards against tasks that do not run although a worker has room, and against leases of sound workers that lapse, after any
// history of owners and while up to half of all requests to workers get no answer (issue 42, LOST).
func TestRandomHistoriesOfOwnersEndWithAllTasksRunning(t *testing.T) {
	forHistories(t, startHistories, livenessHistories, func(t *testing.T, seed uint64) {
		withHistory(t, seed, (*ownersWorld).checkLiveness)
	})
}
