package batch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// crashCluster drives a state with workers that can crash. Each step takes one second.
type crashCluster struct {
	t       *testing.T
	s       *State
	now     time.Time
	workers int // number of workers so far, with those that are gone
	running map[WorkerID][]RunningAttempt
	// crashesAfter holds the deadly tasks: the number of reports that list an attempt of the task before it
	// crashes its worker.
	crashesAfter map[TaskID]int
	// lastsFor holds how many reports list the attempts of a job before they are done; 0 for ever.
	lastsFor map[string]int
	// ownersDie is set if the owner is replaced whenever a worker has crashed under a deadly task.
	ownersDie bool
	listed    map[attemptKey]int // number of reports that have listed an attempt
	crashes   map[TaskID]int     // workers that have crashed under a deadly task
	starts    int
	seq       map[WorkerID]int64
}

// maxCrashes is the number of workers that a deadly task may crash.
const maxCrashes = budgetCrashes + budgetStarts - 1

func newCrashCluster(t *testing.T, workers int) *crashCluster {
	s, now := newTestState()
	c := &crashCluster{
		t: t, s: s, now: now, running: map[WorkerID][]RunningAttempt{}, crashesAfter: map[TaskID]int{}, lastsFor: map[string]int{},
		listed: map[attemptKey]int{}, crashes: map[TaskID]int{}, seq: map[WorkerID]int64{},
	}
	for i := range workers {
		c.addWorker(fmt.Sprintf("address%d", i))
	}
	return c
}

// addWorker starts a worker with a new id at an address.
func (c *crashCluster) addWorker(address string) {
	c.workers++
	id := WorkerID(fmt.Sprintf("w%02d", c.workers))
	c.s.UpdateWorker(WorkerInfo{ID: id, Incarnation: int64(c.workers), Service: "svc", Address: address, Capacity: Resources{CPU: 4000, MemoryMB: 4000}}, c.now)
	c.s.MarkRecorded(id)
	c.running[id] = nil
	c.report(id)
}

// crash ends a worker and starts another one at its address.
func (c *crashCluster) crash(id WorkerID) {
	address := c.s.workers[id].info.Address
	delete(c.running, id)
	c.s.MarkUnreachable(id)
	c.s.RemoveWorker(id)
	c.addWorker(address)
}

// step plans, carries out the starts and stops, and lets each worker report a second later.
func (c *crashCluster) step() {
	dead := map[WorkerID]bool{}
	for _, a := range planUntilIdle(c.s, c.now) {
		switch a.Kind {
		case ActionStart:
			c.starts++
			c.running[a.Worker] = append(c.running[a.Worker], RunningAttempt{Task: a.Task, Run: a.Run, Percent: 50})
			if after, ok := c.crashesAfter[a.Task]; ok && after == 0 {
				c.crashes[a.Task]++
				dead[a.Worker] = true
			}
		case ActionStop:
			c.running[a.Worker] = slices.DeleteFunc(c.running[a.Worker], func(r RunningAttempt) bool { return r.Task == a.Task })
		}
	}
	c.killAll(dead)
	c.now = c.now.Add(time.Second)
	clear(dead)
	for _, id := range slices.Sorted(maps.Keys(c.running)) {
		c.report(id)
		for _, r := range c.running[id] {
			if after, ok := c.crashesAfter[r.Task]; ok && c.listed[attemptKey{r.Task, r.Run}] > after {
				c.crashes[r.Task]++
				dead[id] = true
			}
		}
	}
	c.killAll(dead)
}

func (c *crashCluster) killAll(dead map[WorkerID]bool) {
	if len(dead) > 0 && c.ownersDie {
		c.s = takeOver(c.s, c.now, slices.Collect(maps.Keys(c.s.workers))...)
	}
	for _, id := range slices.Sorted(maps.Keys(dead)) {
		c.crash(id)
	}
}

// report passes a report of a worker, which renews its lease. Attempts that are done are in it as ended.
func (c *crashCluster) report(id WorkerID) {
	r := Report{Incarnation: c.s.workers[id].info.Incarnation, Clock: c.now.UnixMilli()}
	var left []RunningAttempt
	for _, a := range c.running[id] {
		key := attemptKey{a.Task, a.Run}
		c.listed[key]++
		if n := c.lastsFor[a.Task.Job]; n > 0 && c.listed[key] > n {
			c.seq[id]++
			r.Ended = append(r.Ended, EndedAttempt{Seq: c.seq[id], Task: a.Task, Run: a.Run, Reason: EndDone})
			continue
		}
		left = append(left, a)
	}
	c.running[id], r.Running = left, left
	reportWithLease(c.s, id, r, c.now)
	c.s.LeaseRenewed(id, c.now.Add(testLimits.LeaseTTL), true)
}

func (c *crashCluster) outcome(job string) JobStatus { return c.s.Job(job).outcome }

// task returns the first task of a job.
func (c *crashCluster) task(job string) *task { return &c.s.Job(job).occs[0].steps[0].tasks[0] }

// isDown reports whether no worker runs the first task of a job.
func (c *crashCluster) isDown(job string) bool {
	for _, running := range c.running {
		if slices.ContainsFunc(running, func(r RunningAttempt) bool { return r.Task == TaskID{Job: job} }) {
			return false
		}
	}
	return true
}

// runUntilFailed steps until a job has failed, for at most 200 s.
func (c *crashCluster) runUntilFailed(job string) {
	for range 200 {
		if c.step(); c.outcome(job) == Failed {
			return
		}
	}
	c.t.Fatalf("job %s is %s after 200 s, with %d workers crashed", job, c.outcome(job), c.crashes[TaskID{Job: job}])
}

// lasting returns a step of one long-running task.
func lasting(cpu int64) Step {
	st := taskStep(1, cpu)
	st.LongRunning = true
	return st
}

// Guards against a task that crashes each worker that starts it and is started again without end.
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	c := newCrashCluster(t, 4)
	c.crashesAfter[TaskID{Job: "j"}] = 0
	addJob(c.s, "j", "q", c.now, taskStep(1, 1000))
	c.runUntilFailed("j")
	is.New(t).Equal(c.crashes[TaskID{Job: "j"}], crashesToFail)
}

// Guards against a long-running task that crashes worker after worker at the pace at which these are replaced, and
// against a long-running job that is failed: it has no limit of attempts.
func TestALongRunningTaskThatCrashesItsWorkersBacksOff(t *testing.T) {
	gang := lasting(1000)
	gang.Gang = true
	for name, variant := range map[string]struct {
		step         Step
		crashesAfter int
	}{"at once": {lasting(1000), 0}, "after a while": {lasting(1000), 3}, "in a gang": {gang, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id := TaskID{Job: "j"}
			c := newCrashCluster(t, 4)
			c.crashesAfter[id] = variant.crashesAfter
			addJob(c.s, "j", "q", c.now, variant.step)
			const minutes = 10
			for minute := range minutes {
				before := c.crashes[id]
				for range 60 {
					c.step()
				}
				crashed := c.crashes[id] - before
				is.True(crashed <= 2 || minute == 0 && crashed <= maxCrashes+1)
			}
			is.Equal(c.outcome("j"), Queued)
			is.True(c.crashes[id] >= minutes+4) // it is tried again all the time
			is.True(len(c.task("j").suspicions) <= maxSuspicions)
		})
	}
}

// Guards against a long-running task that is kept waiting, or failed, since its workers crash for other reasons. Once
// its last worker is lost it must run again within 9 s.
func TestALongRunningTaskIsBackSoonAfterCrashesOfOtherCauses(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 4)
	addJob(c.s, "j", "q", c.now, lasting(1000))
	for range crashesToFail + 1 {
		c.step()
		for id, running := range c.running {
			if len(running) > 0 {
				c.crash(id)
			}
		}
		crashedAt := c.now
		for c.isDown("j") {
			c.step()
			is.True(c.now.Sub(crashedAt) < 9*time.Second)
		}
	}
	is.Equal(c.outcome("j"), Queued)
}

// Guards against a pause that goes on after the evidence for it is gone: the worker was only cut off.
func TestThePauseEndsWithItsEvidence(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 8)
	addJob(c.s, "j", "q", c.now, lasting(1000))
	lost := c.loseOnSilentWorkers(lossesToFail + 1)
	is.Equal(len(startActions(planUntilIdle(c.s, c.now))), 0)
	c.s.UpdateWorker(lost, c.now)
	c.report(lost.ID)
	is.Equal(len(startActions(planUntilIdle(c.s, c.now))), 1)
}

// Guards against a pause that begins anew with each owner: the next one does not know when the last worker was lost.
func TestTheNextOwnerDoesNotWaitForTheWholePause(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 8)
	addJob(c.s, "j", "q", c.now, lasting(1000))
	c.loseOnSilentWorkers(lossesToFail + 1)
	c.s = takeOver(c.s, c.now, slices.Collect(maps.Keys(c.s.workers))...)
	for id := range c.s.workers {
		c.report(id)
	}
	is.Equal(len(startActions(planUntilIdle(c.s, c.now))), 0)
	c.now = c.now.Add(firstCrashPause)
	is.Equal(len(startActions(planUntilIdle(c.s, c.now))), 1)
}

// Guards against the same if the task is one of a gang.
func TestAGangThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	c := newCrashCluster(t, 4)
	c.crashesAfter[TaskID{Job: "j", Index: 1}] = 0
	st := taskStep(3, 1000)
	st.Gang = true
	addJob(c.s, "j", "q", c.now, st)
	c.runUntilFailed("j")
	is.New(t).True(c.crashes[TaskID{Job: "j", Index: 1}] <= maxCrashes)
}

// Guards against a task that crashes its workers and is forgotten with each owner: the owner is replaced at each
// crash, before it has noticed it.
func TestCrashesAreCountedAcrossOwners(t *testing.T) {
	c := newCrashCluster(t, 4)
	c.ownersDie = true
	c.crashesAfter[TaskID{Job: "j"}] = 0
	addJob(c.s, "j", "q", c.now, taskStep(1, 1000))
	c.runUntilFailed("j")
	is.New(t).True(c.crashes[TaskID{Job: "j"}] <= maxCrashes)
}

// Guards against a task that crashes its workers only after a while, when no attempt there is new.
func TestATaskThatCrashesItsWorkersAfterAWhileIsGivenUp(t *testing.T) {
	c := newCrashCluster(t, 4)
	c.crashesAfter[TaskID{Job: "j"}] = 3
	addJob(c.s, "j", "q", c.now, taskStep(1, 1000))
	c.runUntilFailed("j")
	is.New(t).True(c.crashes[TaskID{Job: "j"}] <= maxCrashes)
}

// Guards against jobs that are failed since their tasks share workers with one that crashes them.
func TestNeighboursOfATaskThatCrashesItsWorkersAreDone(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 4)
	c.crashesAfter[TaskID{Job: "deadly"}] = 0
	c.lastsFor["short"] = 1
	addJob(c.s, "deadly", "q", c.now, taskStep(1, 1000))
	addJob(c.s, "short", "q", c.now, taskStep(8, 1000))
	addJob(c.s, "lasting", "q", c.now, lasting(1000))
	c.runUntilFailed("deadly")
	for range 20 {
		c.step()
	}
	is.Equal(c.outcome("short"), Completed)
	is.Equal(c.outcome("lasting"), Queued)
	is.Equal(len(c.s.suspects), 0)
}

// Guards against a job that is failed since workers were cut off while its tasks were new there: a worker that
// comes back in the same life has not crashed.
func TestCutsAreNoCrashes(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	addJob(c.s, "j", "q", c.now, lasting(1000))
	for range 2 * lossesToFail {
		planUntilIdle(c.s, c.now)
		c.s.MarkUnreachable("w01")
		c.now = c.now.Add(2 * testLimits.LeaseTTL)
		planUntilIdle(c.s, c.now)
		c.report("w01")
		is.Equal(len(c.s.Job("j").occs[0].steps[0].tasks[0].suspicions), 0)
	}
	is.Equal(c.outcome("j"), Queued)
}

// Guards against a long-running job that is failed since its workers crash for other reasons again and again.
func TestATaskThatHasRunForAWhileIsNotSuspected(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 2)
	addJob(c.s, "j", "q", c.now, lasting(1000))
	for range 2 * lossesToFail {
		for range 16 {
			c.step()
		}
		for id, running := range c.running {
			if len(running) > 0 {
				c.crash(id)
			}
		}
	}
	is.Equal(c.outcome("j"), Queued)
	is.Equal(c.starts, 2*lossesToFail)
}

// Guards against a job that is failed since its workers leave as planned while its tasks are new there.
func TestAWorkerThatDrainsHasNotCrashed(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 1)
	addJob(c.s, "j", "q", c.now, taskStep(1, 1000))
	planUntilIdle(c.s, c.now)
	info := c.s.workers["w01"].info
	info.Draining = true
	c.s.UpdateWorker(info, c.now)
	c.crash("w01")
	is.Equal(len(c.s.suspects), 0)
}

// Guards against a start of a suspected task that the next owner does not know of.
func TestTheStartOfASuspectedTaskWaitsForItsRecord(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 2)
	c.crashesAfter[TaskID{Job: "j"}] = 0
	addJob(c.s, "j", "q", c.now, taskStep(1, 1000))
	c.step()
	planUntilIdle(c.s, c.now)
	c.now = c.now.Add(2 * testLimits.LeaseTTL)
	is.Equal(len(startActions(c.s.Plan(c.now))), 0)
	is.True(c.s.HasUrgentRecords())
	records := c.s.TakeDirty(10)
	is.Equal(len(records["j"].Steps[0].Tasks[0].Suspicions), 2) // the crash, and the start
	c.s.MarkStored(records)
	is.Equal(len(startActions(c.s.Plan(c.now))), 1)
}

// Guards against a reservation that is kept for ever: the worker goes out of contact before the record is durable.
func TestARecordedStartThatCannotBeSentIsPlacedAnew(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 2)
	c.crashesAfter[TaskID{Job: "j"}] = 0
	addJob(c.s, "j", "q", c.now, taskStep(1, 1000))
	c.step()
	planUntilIdle(c.s, c.now)
	c.now = c.now.Add(2 * testLimits.LeaseTTL)
	c.s.Plan(c.now)
	reserved := c.s.Job("j").occs[0].steps[0].tasks[0].attempts[0].worker
	c.s.MarkUnreachable(reserved.info.ID)
	starts := startActions(planUntilIdle(c.s, c.now))
	is.Equal(len(starts), 1)
	is.True(starts[0].Worker != reserved.info.ID)
	is.Equal(reserved.used, Resources{})
}

// loseOnSilentWorkers starts the job's task n times on workers that go out of contact for good. It returns the last one.
func (c *crashCluster) loseOnSilentWorkers(n int) (last WorkerInfo) {
	for range n {
		for _, a := range startActions(planUntilIdle(c.s, c.now)) {
			last = c.s.workers[a.Worker].info
			c.s.MarkUnreachable(a.Worker)
			c.s.RemoveWorker(a.Worker)
		}
		c.now = c.now.Add(2 * testLimits.LeaseTTL)
	}
	planUntilIdle(c.s, c.now)
	return last
}

// Guards against a job that is failed since its workers were cut off: nothing shows that they have crashed. Only
// as many losses as a deadly task may cause are enough.
func TestSilentWorkersAreNoEvidenceOfACrash(t *testing.T) {
	for losses, want := range map[int]JobStatus{maxCrashes - 1: Queued, maxCrashes: Failed} {
		c := newCrashCluster(t, 8)
		addJob(c.s, "j", "q", c.now, taskStep(1, 1000))
		c.loseOnSilentWorkers(losses)
		is.New(t).Equal(c.outcome("j"), want)
	}
}

// Guards against tasks that stay suspected for ever, and are failed by crashes that lie far apart.
func TestATaskThatProvesItselfIsCleared(t *testing.T) {
	for name, lastsFor := range map[string]int{"runs on": 0, "is done": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCrashCluster(t, 2)
			c.lastsFor["j"] = lastsFor
			addJob(c.s, "j", "q", c.now, taskStep(1, 1000), Step{Count: 1, Resources: Resources{CPU: 9000}})
			start := startActions(planUntilIdle(c.s, c.now))[0]
			c.crash(start.Worker)
			is.Equal(len(c.s.Job("j").occs[0].steps[0].tasks[0].suspicions), 1)
			for range 12 {
				c.step()
			}
			is.Equal(c.starts, 1)
			is.Equal(len(c.s.Job("j").occs[0].steps[0].tasks[0].suspicions), 0)
			is.Equal(len(c.s.suspects), 0)
		})
	}
}

// Guards against a suspected task that shares its next worker, so that a crash tells nothing and hits others.
func TestASuspectedTaskIsStartedAlone(t *testing.T) {
	is := is.New(t)
	c := newCrashCluster(t, 3)
	addJob(c.s, "j", "q", c.now, taskStep(1, 1000))
	start := startActions(planUntilIdle(c.s, c.now))[0]
	c.crash(start.Worker)
	c.now = c.now.Add(2 * testLimits.LeaseTTL)
	addJob(c.s, "i", "q", c.now, taskStep(2, 3000)) // started first, on two of the three workers
	perWorker := map[WorkerID][]string{}
	for _, a := range startActions(planUntilIdle(c.s, c.now)) {
		perWorker[a.Worker] = append(perWorker[a.Worker], a.Task.Job)
	}
	addJob(c.s, "k", "q", c.now, taskStep(2, 100))
	for _, a := range startActions(planUntilIdle(c.s, c.now)) {
		perWorker[a.Worker] = append(perWorker[a.Worker], a.Task.Job)
	}
	for _, jobs := range perWorker {
		if slices.Contains(jobs, "j") {
			is.Equal(jobs, []string{"j"})
		}
	}
	is.Equal(len(perWorker), 3)
}

// Guards against suspicions that are lost in the store, and against records of earlier versions that cannot be
// read any more.
func TestSuspicionsAreStored(t *testing.T) {
	is := is.New(t)
	e := Suspicion{Run: 10_001, Worker: "w", Address: "a:1", Incarnation: 1_771_331_541_015, Runtime: time.Second, Isolated: true}
	data, err := cbor.Marshal(TaskProgress{Index: 3, Suspicions: []Suspicion{e}})
	is.NoErr(err)
	var decoded TaskProgress
	is.NoErr(cbor.Unmarshal(data, &decoded))
	is.Equal(decoded.Suspicions, []Suspicion{e})
	data, err = cbor.Marshal(map[int]any{1: 3, 2: []int64{7}})
	is.NoErr(err)
	decoded = TaskProgress{}
	is.NoErr(cbor.Unmarshal(data, &decoded))
	is.Equal(decoded, TaskProgress{Index: 3, Failed: []int64{7}})
}

// Guards against an innocent task that is given up (KNOWN-RED of issue 42, soak.suspected-without-a-run): its starts get no answer
// from workers that answer nothing for a moment, and that report later, in the same life, that it does not run there.
func TestSuspicionsAreWithdrawnByReportsOfTheSameLifeThatLackTheRun(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b", "c", "d", "e", "f")
	addJob(s, "j", "q", now, taskStep(1, 1000))
	s.Plan(now)
	s.MarkStored(s.TakeDirty(10))
	for i := range 2 * lossesToFail {
		starts := startActions(planAll(s, now, func(Action) {}))
		is.Equal(len(starts), 1)
		a := starts[0]
		s.StartSent(a.Worker, a.Task, a.Run, int64(i+1)*10_000+1500)
		s.MarkUnreachable(a.Worker)
		is.Equal(len(s.stepOf(a.Task).tasks[0].suspicions), 1)
		now = now.Add(1100 * time.Millisecond)
		s.StartAnswered(a.Worker, a.Task, a.Run, AnswerNone, now)
		now = now.Add(time.Second)
		reportWithLease(s, a.Worker, Report{Incarnation: 1, Clock: int64(i+1)*10_000 + 2100}, now)
		is.Equal(len(s.stepOf(a.Task).tasks[0].suspicions), 0)
	}
	is.Equal(s.Job("j").Status(), Queued)
}
