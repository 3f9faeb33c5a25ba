package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxAttempts is the configured bound on failed runs of a task.
	maxAttempts = 4
	// maxCancelDelay is the time after an acknowledged cancellation in which starts may still be sent:
	// the guaranteed 3 s, plus the time for another owner to take over meanwhile.
	maxCancelDelay = 8 * time.Second
	// maxCancelledRun is how long a run may work that a worker starts after the cancellation of its job was acknowledged, beyond the longest
	// lease: a worker may carry out a start late that was sent before.
	maxCancelledRun = contactTime + maxCancelDelay
	// contactTime is the time after an impairment within which the instances are in touch again.
	contactTime = 3 * time.Second
	// maxCapacityDelay is the time after a worker's capacity has shrunk in which the former one still counts.
	maxCapacityDelay = contactTime + heartbeat
	// A job with a task that crashes workers may be shown as failed after crashesToFail such crashes. After
	// crashesToStop of them the task may start less than startsAfterCrashes times. All starts count, also those
	// by instances that are not in touch.
	crashesToFail, crashesToStop, startsAfterCrashes = 2, 3, 3
)

// stepSpec is a step of a job as a caller submits it.
type stepSpec struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	Memory      int64 `json:"mem-mb"`
	Estimate    int64 `json:"estimate-ms"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"long-running,omitempty"`
	Fills       bool  `json:"fills,omitempty"`
	// MaxPerWorker is how many of the tasks may run on one worker; 0 is no bound.
	MaxPerWorker int64  `json:"anti-affinity,omitempty"`
	Image        string `json:"image,omitempty"`
	// TargetMS bounds the tail latency of a lasting task; 0 is no bound.
	TargetMS int64 `json:"target-ms,omitempty"`

	duration     time.Duration // run time of a task; 0 if it runs until it is stopped
	failureShare float64       // share of runs that fail, whichever worker executes them
	endTogether  bool          // all runs end at the same time, duration after the first start of the job
	// crashes is set if each run of the step's first task crashes its worker, crashDelay after the start.
	crashes    bool
	crashDelay time.Duration
}

// crashesWorkers reports whether a task of the step crashes the workers that start it.
func (s stepSpec) crashesWorkers(task string) bool { return s.crashes && strings.HasSuffix(task, ".0") }

// jobSpec is the body of a submission.
type jobSpec struct {
	Spec  string     `json:"spec"`
	Steps []stepSpec `json:"steps"`
}

// taskInfo is what a worker needs to know to execute a task.
type taskInfo struct {
	spec     stepSpec
	duration time.Duration
	crashes  bool
}

// jobState is what the checker knows of a job.
type jobState struct {
	id       string
	spec     jobSpec
	accepted bool
	// outcomeUnknown is set when a submission got no certain answer, so that the job may run.
	outcomeUnknown bool
	// reportedMissing is set when the last query was answered with 410, no such job. That is
	// allowed only for a job that no caller knows to be accepted.
	reportedMissing bool
	cancelRequested bool
	cancelledAt     time.Time // time of the first acknowledged cancellation
	// withdrawn is set once a cancellation was answered with 410, no such job. Nothing of the job may start from then on.
	withdrawn  bool
	started    bool
	firstStart time.Time
	lastState  string // last state that a caller was told
	running    int    // runs on workers
}

// hasEnded reports whether a caller was told that the job has ended.
func (s *jobState) hasEnded() bool {
	return s.lastState == "completed" || s.lastState == "failed" || s.lastState == "cancelled"
}

// runningRun is a run on a worker.
type runningRun struct {
	worker string
	// endBy is when the run must have ended at the latest; zero unless its job was cancelled before it started.
	endBy time.Time
}

// newRunningRun returns a run of a job that starts on a worker.
func newRunningRun(w *Worker, s *jobState) runningRun {
	r := runningRun{worker: w.ID}
	if !s.cancelledAt.IsZero() {
		r.endBy = time.Now().Add(w.MaxLease + maxCancelledRun)
	}
	return r
}

// Checker receives reports from callers, workers and fault injection, and records each violation
// of a guarantee.
type Checker struct {
	mu                   sync.Mutex // held by the callers of all unexported methods
	startedAt            time.Time
	jobs                 map[string]*jobState
	runningOn            map[string]map[int64]runningRun // by task and run number
	done                 map[string]bool                 // tasks with a run that ended as done
	acknowledgedDone     map[string]bool                 // tasks whose done end the owner has acknowledged
	pendingDone          map[string]map[int64]bool       // runs that ended as done without an acknowledgement; true if the task started again
	acknowledgedFailures map[string]int                  // failed ends that the owner has acknowledged
	failures             map[string]int                  // failed ends, acknowledged or not
	crashes              map[string]int                  // crashes of workers by task that ran there
	startsAfterCrashes   map[string]int                  // starts of a task after crashesToStop crashes
	lastEnd              map[string]time.Time            // by task: end of the last run
	idleSince            map[string]time.Time            // jobs and lasting tasks that could run but do not, see CheckLiveness
	activeFaults         int
	lastFault            time.Time // when a fault began or ended last
	violations           []string
	starts               int
	quota                int64 // milliCPU that all runs may reserve together; 0 for no quota
	reserved             int64 // milliCPU that they reserve
	keysAccepted         int   // answers that accepted an API key
	keysRefused          int   // answers that said that there is no such key
}

// NewChecker returns a checker that has recorded nothing.
func NewChecker() *Checker {
	return &Checker{
		startedAt: time.Now(), jobs: map[string]*jobState{}, runningOn: map[string]map[int64]runningRun{},
		done: map[string]bool{}, acknowledgedDone: map[string]bool{}, pendingDone: map[string]map[int64]bool{}, acknowledgedFailures: map[string]int{}, failures: map[string]int{},
		crashes: map[string]int{}, startsAfterCrashes: map[string]int{}, lastEnd: map[string]time.Time{}, idleSince: map[string]time.Time{},
	}
}

// Violations returns the violations so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.violations...)
}

// RecordViolation records a violation that another part of the package has found.
func (c *Checker) RecordViolation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(rule, format, args...)
}

// addViolation records a violation under the name of the violated rule:
//
//   - TWICE: a task runs twice at once, or again after an end that was acknowledged then or later
//   - ORDER: a task starts before the steps that it depends on are done
//   - BUDGET: a task starts after maxAttempts acknowledged failures, or startsAfterCrashes times after
//     crashesToStop workers have crashed under it
//   - LIMIT: the tasks on a worker reserve more than its capacity, where a capacity that has shrunk counts
//     maxCapacityDelay later
//   - QUOTA: the runs of the only tenant reserve more than its quota and one task more
//   - UNASKED: a run was not submitted by any caller, starts by a request that was sent more than maxCancelDelay after the
//     cancellation of its job, or at all after that was answered with "no such job", or is still running at the end, or too long after
//     it has started late
//   - REFUSED: a task of a job starts although each submission of the job was refused
//   - LOST: an accepted job is unknown, has not ended, or has failed without enough failed runs or crashes,
//     or a job or a lasting task does not run although it could, see CheckLiveness
//   - MIXED: a job is shown as completed before all of its tasks are done
//   - CONFIG: a change of the routes is not in force in time, or an instance goes back to an older one, see
//     checkConfigSeries
//   - KEY: an instance accepts an API key too long after its revocation, or says that a valid one does not exist, see checkKey
//   - START, STOP, EXIT, READY: a process does not start, does not stop cleanly in time, exits
//     without a signal from the soak, or does not serve once all faults are over
func (c *Checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s at %.2f s: ", rule, time.Since(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// SetQuota sets how many milliCPU all runs may reserve together; 0 for no quota.
func (c *Checker) SetQuota(milliCPU int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota = milliCPU
}

// RecordKeyAnswer counts an answer to a call with an API key.
func (c *Checker) RecordKeyAnswer(accepted, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if accepted {
		c.keysAccepted++
	}
	if refused {
		c.keysRefused++
	}
}

// KeyAnswers returns how many answers to calls with an API key accepted it, and how many said that there is no such key.
func (c *Checker) KeyAnswers() (accepted, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keysAccepted, c.keysRefused
}

// RecordSubmission records that a job is about to be submitted.
func (c *Checker) RecordSubmission(id string, spec jobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] == nil {
		c.jobs[id] = &jobState{id: id, spec: spec}
	}
}

// RecordSubmissionAnswer records the answer to a submission: accepted, refused so that the job
// certainly does not run, or neither if the outcome is unknown.
func (c *Checker) RecordSubmissionAnswer(id string, accepted, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.jobs[id]
	s.accepted = s.accepted || accepted
	s.outcomeUnknown = s.outcomeUnknown || !accepted && !refused
}

// RecordCancelRequest records that a job is about to be cancelled.
func (c *Checker) RecordCancelRequest(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelRequested = true
}

// RecordCancellation records that a cancellation was acknowledged.
func (c *Checker) RecordCancellation(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.jobs[id]; s.cancelledAt.IsZero() {
		s.cancelledAt = time.Now()
	}
}

// RecordWithdrawal records that the cancellation of a job was answered with 410, no such job.
func (c *Checker) RecordWithdrawal(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.jobs[id]
	if s.accepted {
		c.addViolation("LOST", "job %s was accepted, but its cancellation was answered with 410", id)
	}
	s.withdrawn, s.lastState = true, "cancelled"
}

// RecordState records the state of a job that a caller was told; status is the HTTP status.
func (c *Checker) RecordState(id string, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.jobs[id]
	if status == 410 && s.accepted {
		c.addViolation("LOST", "job %s was accepted, but a query was answered with 410", id)
	}
	s.reportedMissing = status == 410
	if status != 200 {
		return
	}
	s.accepted = true // a known job was accepted, even if the answer to its submission was lost
	s.lastState = state
	switch {
	case state == "completed" && !c.allDone(s):
		c.addViolation("MIXED", "job %s is shown as completed, but not all of its tasks are done", id)
	case state == "failed" && !c.mayFail(s):
		c.addViolation("LOST", "job %s is shown as failed without enough failures", id)
	case state == "cancelled" && s.cancelledAt.IsZero():
		// The answer to the cancellation was lost, and the caller learns of it by this query.
		s.cancelledAt = time.Now()
	}
}

func (c *Checker) allDone(s *jobState) bool {
	for step := range s.spec.Steps {
		if !c.stepDone(s, step) {
			return false
		}
	}
	return true
}

func (c *Checker) stepDone(s *jobState, step int) bool {
	for i := range s.spec.Steps[step].Count {
		if !c.done[taskName(s.id, step, i)] {
			return false
		}
	}
	return true
}

// dependenciesDone reports whether the steps that a step depends on are done.
func (c *Checker) dependenciesDone(s *jobState, spec stepSpec) bool {
	return !slices.ContainsFunc(spec.After, func(step int) bool { return !c.stepDone(s, step) })
}

// mayFail reports whether a task of the job has failed often enough to fail the job, or has crashed enough
// workers. Lasting tasks restart however often they fail, and other tasks on a worker that crashes are not the cause.
func (c *Checker) mayFail(s *jobState) bool {
	for step, spec := range s.spec.Steps {
		if spec.crashes && c.crashes[taskName(s.id, step, 0)] >= crashesToFail {
			return true
		}
		for i := range spec.Count {
			if !spec.LongRunning && c.failures[taskName(s.id, step, i)] >= maxAttempts {
				return true
			}
		}
	}
	return false
}

// jobOf returns the job of a task that a caller submitted.
func (c *Checker) jobOf(task string) *jobState {
	id, _, _ := strings.Cut(task, ".")
	return c.jobs[id]
}

func taskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

// RecordStart checks and records that a worker starts a run, which was requested at sentAt. It returns
// what the worker needs to execute the task, and false if no such task was submitted, in which case
// nothing may start. The caller must hold w.mu.
func (c *Checker) RecordStart(w *Worker, r run, payload string, sentAt time.Time) (taskInfo, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	job, step, err := splitTask(r.task)
	s := c.jobs[job]
	if err != nil || s == nil || step < 0 || step >= len(s.spec.Steps) || payload != s.spec.Spec {
		c.addViolation("UNASKED", "%s run %d on %s: no caller submitted this task with this payload", r.task, r.number, w.ID)
		return taskInfo{}, false
	}
	if !s.started {
		s.started, s.firstStart = true, time.Now()
	}
	spec := s.spec.Steps[step]
	c.checkStart(w, r, s, spec, sentAt)
	reserved := reservedCPU(spec)
	if used, counted := w.totalReservedCPU()+reserved, w.countedCapacity(sentAt); reserved > 0 && used > counted {
		c.addViolation("LIMIT", "%s has reserved %d of %d milliCPU after the start of %s", w.ID, used, counted, r.task)
	}
	c.reserved += reserved
	if c.quota > 0 && c.reserved > c.quota+reserved {
		c.addViolation("QUOTA", "%d milliCPU are reserved after the start of %s, of %d", c.reserved, r.task, c.quota)
	}
	if c.runningOn[r.task] == nil {
		c.runningOn[r.task] = map[int64]runningRun{}
	}
	c.runningOn[r.task][r.number] = newRunningRun(w, s)
	s.running++
	info := taskInfo{spec: spec, duration: spec.duration, crashes: spec.crashesWorkers(r.task)}
	if spec.endTogether {
		info.duration = max(spec.duration-time.Since(s.firstStart), time.Millisecond)
	}
	return info, true
}

// reservedCPU returns the part of a worker's capacity that a task reserves, in milliCPU. A filler
// uses only what others leave idle and reserves nothing.
func reservedCPU(s stepSpec) int64 {
	if s.Fills {
		return 0
	}
	return s.CPU
}

// checkStart checks the start of a run, which was requested at sentAt.
func (c *Checker) checkStart(w *Worker, r run, s *jobState, spec stepSpec, sentAt time.Time) {
	for otherRun, other := range c.runningOn[r.task] {
		c.addViolation("TWICE", "%s run %d starts on %s while run %d is on %s", r.task, r.number, w.ID, otherRun, other.worker)
	}
	if c.acknowledgedDone[r.task] {
		c.addViolation("TWICE", "%s run %d starts on %s after its end was acknowledged", r.task, r.number, w.ID)
	}
	for number := range c.pendingDone[r.task] {
		c.pendingDone[r.task][number] = true
	}
	if !c.dependenciesDone(s, spec) {
		c.addViolation("ORDER", "%s starts before steps %v are done", r.task, spec.After)
	}
	if !spec.LongRunning && c.acknowledgedFailures[r.task] >= maxAttempts {
		c.addViolation("BUDGET", "%s starts after %d failures", r.task, c.acknowledgedFailures[r.task])
	}
	if spec.crashesWorkers(r.task) && c.crashes[r.task] >= crashesToStop {
		c.startsAfterCrashes[r.task]++
		if n := c.startsAfterCrashes[r.task]; n >= startsAfterCrashes {
			c.addViolation("BUDGET", "%s starts after %d crashes of workers under it, %d times after the first %d", r.task, c.crashes[r.task], n, crashesToStop)
		}
	}
	if s.withdrawn {
		c.addViolation("UNASKED", "%s starts after its cancellation was answered with 410", r.task)
	}
	if !s.cancelledAt.IsZero() && sentAt.Sub(s.cancelledAt) > maxCancelDelay {
		c.addViolation("UNASKED", "%s starts by a request sent %.1f s after its cancellation", r.task, sentAt.Sub(s.cancelledAt).Seconds())
	}
}

// RecordEnd records the end of a run.
func (c *Checker) RecordEnd(worker string, r run, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if running, ok := c.runningOn[r.task][r.number]; ok {
		if !running.endBy.IsZero() && time.Now().After(running.endBy) {
			c.addViolation("UNASKED", "%s run %d on %s, started after the cancellation of its job, ends %.1f s too late", r.task, r.number, worker,
				time.Since(running.endBy).Seconds())
		}
		delete(c.runningOn[r.task], r.number)
		s := c.jobOf(r.task)
		s.running--
		if _, step, err := splitTask(r.task); err == nil {
			c.reserved -= reservedCPU(s.spec.Steps[step])
		}
	}
	c.lastEnd[r.task] = time.Now()
	switch outcome {
	case "lost":
		c.crashes[r.task]++
	case "done":
		c.done[r.task] = true
		if c.pendingDone[r.task] == nil {
			c.pendingDone[r.task] = map[int64]bool{}
		}
		c.pendingDone[r.task][r.number] = false
	case "failed":
		c.failures[r.task]++
	}
}

// RecordAcknowledgement records that the owner has acknowledged the end of a run.
func (c *Checker) RecordAcknowledgement(r run, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch outcome {
	case "done":
		c.acknowledgedDone[r.task] = true
		if c.pendingDone[r.task][r.number] {
			c.addViolation("TWICE", "%s run %d is acknowledged as done, but the task was started again after it", r.task, r.number)
		}
		delete(c.pendingDone[r.task], r.number)
	case "failed":
		c.acknowledgedFailures[r.task]++
	}
}

// CheckFinalState checks what must hold once all jobs have had time to end: callers were told the
// end of each accepted job, no job started that was always refused, and no task is still running.
func (c *Checker) CheckFinalState() {
	unfinished := c.UnfinishedJobs()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range unfinished {
		c.addViolation("LOST", "job %s has not ended; it was last shown as %q", id, c.jobs[id].lastState)
	}
	for id, s := range c.jobs {
		if s.started && !s.accepted && !s.outcomeUnknown {
			c.addViolation("REFUSED", "job %s was refused each time, but has started", id)
		}
	}
	for task, runs := range c.runningOn {
		for n, r := range runs {
			c.addViolation("UNASKED", "%s run %d still runs on %s", task, n, r.worker)
		}
	}
}
