package soak

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Tasks of the jobs that crash workers and that last.
var crashTask, lastingTask = taskName("crash", 0, 0), taskName("lasting", 0, 0)

// newTestChecker returns a checker with one accepted job of two steps, and a worker without a server.
func newTestChecker() (*Checker, *Worker) {
	c := NewChecker()
	spec := jobSpec{Spec: "p", Steps: []stepSpec{
		{Count: 1, CPU: 1000, duration: time.Second},
		{Count: 1, CPU: 1000, duration: time.Second, After: []int{0}},
	}}
	c.RecordSubmission("a", spec)
	c.RecordSubmissionAnswer("a", true, false)
	w := &Worker{WorkerConfig: WorkerConfig{ID: "w", Checker: c}, capacity: 1500, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(1, 1))}
	w.reset()
	return c, w
}

// shrinkBefore sets the worker's capacity to less than a task takes, some time ago.
func shrinkBefore(w *Worker, ago time.Duration) {
	w.formerCapacities = []formerCapacity{{w.capacity, time.Now().Add(-ago)}}
	w.capacity = 500
}

// cancelBefore records that the cancellation of job a was acknowledged some time ago.
func cancelBefore(c *Checker, ago time.Duration) {
	c.RecordCancelRequest("a")
	c.RecordCancellation("a")
	c.jobs["a"].cancelledAt = time.Now().Add(-ago)
}

// submitJobs submits the jobs of crashTask and lastingTask.
func submitJobs(c *Checker) {
	for id, step := range map[string]stepSpec{
		"crash":   {Count: 2, CPU: 100, crashes: true},
		"lasting": {Count: 1, CPU: 1000, LongRunning: true},
	} {
		c.RecordSubmission(id, jobSpec{Spec: "p", Steps: []stepSpec{step}})
		c.RecordSubmissionAnswer(id, true, false)
	}
}

// crashUnder starts a task as often as given on a worker that crashes each time.
func crashUnder(c *Checker, w *Worker, task string, times int64) {
	submitJobs(c)
	for n := range times {
		c.RecordStart(w, run{task, n + 1}, "p", time.Now())
		c.RecordEnd("w", run{task, n + 1}, "lost")
	}
}

// failLastingTask runs lastingTask as often as given; each run fails and is acknowledged. Its job is the only one that
// must go on.
func failLastingTask(c *Checker, w *Worker, times int64) {
	submitJobs(c)
	c.RecordCancelRequest("a")
	c.RecordCancelRequest("crash")
	for n := range times {
		c.RecordStart(w, run{lastingTask, n + 1}, "p", time.Now())
		c.RecordEnd("w", run{lastingTask, n + 1}, "failed")
		c.RecordAcknowledgement(run{lastingTask, n + 1}, "failed")
	}
}

// checkFor checks that what could run does, at each second of the given time from now on. Nothing is in use.
func checkFor(c *Checker, d time.Duration, freeCPU int64) {
	checkWith(c, d, room{free: freeCPU, capacity: workerCapacity})
}

// checkWith checks that what could run does with the given room, at each second of the given time from now on.
func checkWith(c *Checker, d time.Duration, r room) {
	now := time.Now()
	for after := time.Duration(0); after <= d; after += time.Second {
		c.CheckLiveness(now.Add(after), r)
	}
}

// Two crashes of a worker overlap, so it is restarted twice. The runs that began between the restarts are lost
// with the second one, and the checker is told so: they may run elsewhere.
func TestRestartLosesRuns(t *testing.T) {
	is := is.New(t)
	c, w := newTestChecker()
	r := run{taskName("a", 0, 0), 1}
	c.RecordStart(w, r, "p", time.Now())
	w.runs[r] = &activeRun{cpu: 1000}
	w.Restart()
	is.Equal(len(w.runs), 0)
	c.RecordStart(w, run{taskName("a", 0, 0), 2}, "p", time.Now())
	is.Equal(len(c.Violations()), 0)
}

// The violation of each rule must be recorded. A case is named by its rule and, if there are several
// cases of a rule, by how the rule is violated.
func TestJudgeNoticesBrokenPromises(t *testing.T) {
	first, second := taskName("a", 0, 0), taskName("a", 1, 0)
	for rule, breakRule := range map[string]func(c *Checker, w *Worker){
		"TWICE at once": func(c *Checker, w *Worker) {
			c.RecordStart(w, run{first, 1}, "p", time.Now())
			c.RecordStart(w, run{first, 2}, "p", time.Now())
		},
		"TWICE after an acknowledged end": func(c *Checker, w *Worker) {
			c.RecordStart(w, run{first, 1}, "p", time.Now())
			c.RecordEnd("w", run{first, 1}, "done")
			c.RecordAcknowledgement(run{first, 1}, "done")
			c.RecordStart(w, run{first, 2}, "p", time.Now())
		},
		"TWICE before an acknowledged end": func(c *Checker, w *Worker) {
			c.RecordStart(w, run{first, 1}, "p", time.Now())
			c.RecordEnd("w", run{first, 1}, "done")
			c.RecordStart(w, run{first, 2}, "p", time.Now())
			c.RecordEnd("w", run{first, 2}, "done")
			c.RecordAcknowledgement(run{first, 2}, "done") // allowed if the first end is never acknowledged
			c.RecordAcknowledgement(run{first, 1}, "done")
		},
		"ORDER": func(c *Checker, w *Worker) { c.RecordStart(w, run{second, 1}, "p", time.Now()) },
		"BUDGET": func(c *Checker, w *Worker) {
			for n := range int64(maxAttempts) + 1 {
				c.RecordStart(w, run{first, n + 1}, "p", time.Now())
				c.RecordEnd("w", run{first, n + 1}, "failed")
				c.RecordAcknowledgement(run{first, n + 1}, "failed")
			}
		},
		"LIMIT": func(c *Checker, w *Worker) {
			w.runs[run{"other.0.0.0", 1}] = &activeRun{cpu: 1000}
			c.RecordStart(w, run{first, 1}, "p", time.Now())
		},
		"LIMIT of a capacity that has shrunk": func(c *Checker, w *Worker) {
			shrinkBefore(w, maxCapacityDelay+time.Second)
			c.RecordStart(w, run{first, 1}, "p", time.Now())
		},
		"BUDGET of crashes": func(c *Checker, w *Worker) {
			crashUnder(c, w, crashTask, crashesToStop+startsAfterCrashes)
		},
		"UNASKED job":     func(c *Checker, w *Worker) { c.RecordStart(w, run{taskName("b", 0, 0), 1}, "p", time.Now()) },
		"UNASKED payload": func(c *Checker, w *Worker) { c.RecordStart(w, run{first, 1}, "other", time.Now()) },
		"UNASKED at the end": func(c *Checker, w *Worker) {
			c.RecordStart(w, run{first, 1}, "p", time.Now())
			c.RecordState("a", 200, "cancelled")
			c.CheckFinalState()
		},
		"UNASKED after a cancellation": func(c *Checker, w *Worker) {
			cancelBefore(c, maxCancelDelay+time.Second)
			c.RecordStart(w, run{first, 1}, "p", time.Now())
		},
		"UNASKED start that is late and goes on": func(c *Checker, w *Worker) {
			cancelBefore(c, time.Minute)
			w.MaxLease = -maxCancelledRun // instead of a wait
			c.RecordStart(w, run{first, 1}, "p", time.Now().Add(-time.Minute))
			c.RecordEnd("w", run{first, 1}, "stopped")
		},
		"UNASKED after a withdrawal": func(c *Checker, w *Worker) {
			c.RecordSubmission("r", jobSpec{Spec: "p", Steps: []stepSpec{{Count: 1}}})
			c.RecordWithdrawal("r")
			c.RecordStart(w, run{taskName("r", 0, 0), 1}, "p", time.Now())
		},
		"QUOTA": func(c *Checker, w *Worker) {
			c.SetQuota(500)
			c.RecordStart(w, run{first, 1}, "p", time.Now())
			c.RecordStart(w, run{taskName("a", 0, 1), 1}, "p", time.Now())
		},
		"LOST job":            func(c *Checker, w *Worker) { c.RecordState("a", 410, "") },
		"LOST before its end": func(c *Checker, w *Worker) { c.RecordWithdrawal("a") },
		"LOST end":            func(c *Checker, w *Worker) { c.CheckFinalState() },
		"LOST after a crash": func(c *Checker, w *Worker) {
			crashUnder(c, w, crashTask, crashesToFail-1)
			c.RecordState("crash", 200, "failed")
		},
		"LOST neighbour of a crash": func(c *Checker, w *Worker) {
			crashUnder(c, w, first, crashesToFail)
			c.RecordState("a", 200, "failed")
		},
		"LOST lasting job fails": func(c *Checker, w *Worker) {
			failLastingTask(c, w, maxAttempts)
			c.RecordState("lasting", 200, "failed")
		},
		"LOST lasting task": func(c *Checker, w *Worker) {
			failLastingTask(c, w, 1)
			checkFor(c, restartTime+maxIdleTime, 2000)
		},
		"LOST lasting task after a fault": func(c *Checker, w *Worker) {
			failLastingTask(c, w, 1)
			c.RecordFaultBegin()
			c.RecordFaultEnd()
			checkFor(c, restartTime+maxIdleTime, 2000)
		},
		"LOST job is idle": func(c *Checker, w *Worker) { checkFor(c, maxIdleTime+calmBefore, 2000) },
		"LOST second step is idle": func(c *Checker, w *Worker) {
			c.RecordStart(w, run{first, 1}, "p", time.Now())
			c.RecordEnd("w", run{first, 1}, "done")
			checkFor(c, maxIdleTime+calmBefore, 2000)
		},
		"LOST lasting job never starts": func(c *Checker, w *Worker) {
			failLastingTask(c, w, 0)
			checkFor(c, maxIdleTime+calmBefore, 2000)
		},
		"LOST fails": func(c *Checker, w *Worker) { c.RecordState("a", 200, "failed") },
		"MIXED":      func(c *Checker, w *Worker) { c.RecordState("a", 200, "completed") },
		"REFUSED": func(c *Checker, w *Worker) {
			c.RecordSubmission("r", jobSpec{Spec: "p", Steps: []stepSpec{{Count: 1}}})
			c.RecordSubmissionAnswer("r", false, true)
			c.RecordStart(w, run{taskName("r", 0, 0), 1}, "p", time.Now())
			c.RecordEnd("w", run{taskName("r", 0, 0), 1}, "done")
			c.RecordState("a", 200, "cancelled")
			c.CheckFinalState()
		},
	} {
		t.Run(rule, func(t *testing.T) {
			is := is.New(t)
			c, w := newTestChecker()
			breakRule(c, w)
			got := c.Violations()
			is.True(len(got) > 0) // the violation is recorded
			is.True(strings.HasPrefix(got[0], strings.Fields(rule)[0]))
		})
	}
}

// What the rules allow must not be recorded as a violation.
func TestCheckerAcceptsWhatIsAllowed(t *testing.T) {
	const notYet = restartTime + maxIdleTime - time.Second
	for name, act := range map[string]func(c *Checker, w *Worker){
		"two starts after three crashes": func(c *Checker, w *Worker) {
			crashUnder(c, w, crashTask, crashesToStop+startsAfterCrashes-1)
		},
		"a task that happens to run on workers that crash": func(c *Checker, w *Worker) {
			crashUnder(c, w, taskName("crash", 0, 1), crashesToStop+startsAfterCrashes)
		},
		"a job fails after two crashes": func(c *Checker, w *Worker) {
			crashUnder(c, w, crashTask, crashesToFail)
			c.RecordState("crash", 200, "failed")
		},
		"a capacity that has just shrunk": func(c *Checker, w *Worker) {
			shrinkBefore(w, maxCapacityDelay-time.Second)
			c.RecordStart(w, run{taskName("a", 0, 0), 1}, "p", time.Now())
		},
		"a filler on a worker that is over its capacity": func(c *Checker, w *Worker) {
			shrinkBefore(w, maxCapacityDelay+time.Second)
			w.runs[run{"other.0.0.0", 1}] = &activeRun{cpu: 1000}
			c.RecordSubmission("filler", jobSpec{Spec: "p", Steps: []stepSpec{{Count: 1, CPU: 1000, Fills: true}}})
			c.RecordStart(w, run{taskName("filler", 0, 0), 1}, "p", time.Now())
		},
		"a start that was sent before a capacity had shrunk for long": func(c *Checker, w *Worker) {
			shrinkBefore(w, maxCapacityDelay+time.Second)
			c.RecordStart(w, run{taskName("a", 0, 0), 1}, "p", time.Now().Add(-2*time.Second))
		},
		"a job that has not been idle for long": func(c *Checker, w *Worker) {
			checkFor(c, maxIdleTime-time.Second, 2000)
		},
		"a job that starts in time": func(c *Checker, w *Worker) {
			checkFor(c, maxIdleTime-time.Second, 2000)
			c.RecordStart(w, run{taskName("a", 0, 0), 1}, "p", time.Now())
			checkFor(c, time.Minute, 2000)
		},
		"an idle job without room": func(c *Checker, w *Worker) {
			checkFor(c, time.Minute, 1500)
		},
		"an idle job while half of the capacity is in use": func(c *Checker, w *Worker) {
			checkWith(c, time.Minute, room{free: 2000, used: 2000, capacity: 4000})
		},
		"an idle job during a fault": func(c *Checker, w *Worker) {
			c.RecordFaultBegin()
			checkFor(c, time.Minute, 2000)
		},
		"a start that was sent before its job was cancelled": func(c *Checker, w *Worker) {
			cancelBefore(c, maxCancelDelay+time.Second)
			c.RecordStart(w, run{taskName("a", 0, 0), 1}, "p", time.Now().Add(-2*maxCancelDelay))
			c.RecordEnd("w", run{taskName("a", 0, 0), 1}, "stopped")
		},
		"an idle job that is to be cancelled": func(c *Checker, w *Worker) {
			c.RecordCancelRequest("a")
			checkFor(c, time.Minute, 2000)
		},
		"an idle job whose tasks are done": func(c *Checker, w *Worker) {
			for step := range 2 {
				c.RecordStart(w, run{taskName("a", step, 0), 1}, "p", time.Now())
				c.RecordEnd("w", run{taskName("a", step, 0), 1}, "done")
			}
			checkFor(c, time.Minute, 2000)
		},
		"an idle job that was not accepted": func(c *Checker, w *Worker) {
			c.RecordCancelRequest("a")
			c.RecordSubmission("r", jobSpec{Spec: "p", Steps: []stepSpec{{Count: 1}}})
			checkFor(c, time.Minute, 2000)
		},
		"a lasting task restarts however often it fails": func(c *Checker, w *Worker) {
			failLastingTask(c, w, maxAttempts+1)
		},
		"a lasting task that has not been missing for long": func(c *Checker, w *Worker) {
			failLastingTask(c, w, 1)
			checkFor(c, notYet, 2000)
		},
		"a lasting task without room": func(c *Checker, w *Worker) {
			failLastingTask(c, w, 1)
			checkFor(c, time.Minute, 1500)
		},
		"a lasting task during a fault": func(c *Checker, w *Worker) {
			failLastingTask(c, w, 1)
			c.RecordFaultBegin()
			checkFor(c, time.Minute, 2000)
		},
		"a lasting task that runs": func(c *Checker, w *Worker) {
			failLastingTask(c, w, 1)
			c.RecordStart(w, run{lastingTask, 2}, "p", time.Now())
			checkFor(c, time.Minute, 2000)
		},
		"a lasting task that is to be cancelled": func(c *Checker, w *Worker) {
			failLastingTask(c, w, 1)
			c.RecordCancelRequest("lasting")
			checkFor(c, time.Minute, 2000)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, w := newTestChecker()
			act(c, w)
			is.Equal(len(c.Violations()), 0)
		})
	}
}

// A worker that a task crashes loses its runs, drops its connections and is back empty as another incarnation.
func TestTaskCrashesItsWorker(t *testing.T) {
	is := is.New(t)
	c, store := NewChecker(), NewStore(1)
	w, err := NewWorker(WorkerConfig{ID: "w", Host: "127.0.0.1", CPU: 1000, MaxLease: time.Minute, Seed: 1, Store: store, Checker: c})
	is.NoErr(err)
	defer w.Leave(0)
	submitJobs(c)
	w.mu.Lock()
	defer w.mu.Unlock()
	born := w.born
	w.execute("/api/run-start", requestBody{Task: crashTask, Run: 1, Spec: "p", Until: 1 << 40})
	w.advance()
	is.True(!w.up)
	is.Equal(len(w.runs), 0)
	is.Equal(c.crashes[crashTask], 1)
	w.mu.Unlock()
	w.Restart()
	w.mu.Lock()
	is.True(w.up && w.born.After(born))
}

func TestCheckerAcceptsAJobDoneOnce(t *testing.T) {
	is := is.New(t)
	c, w := newTestChecker()
	for step := range 2 {
		task := taskName("a", step, 0)
		_, ok := c.RecordStart(w, run{task, 1}, "p", time.Now())
		is.True(ok)
		c.RecordEnd("w", run{task, 1}, "done")
		c.RecordAcknowledgement(run{task, 1}, "done")
	}
	c.RecordState("a", 200, "completed")
	c.CheckFinalState()
	is.Equal(len(c.Violations()), 0)
}
