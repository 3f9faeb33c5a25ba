package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// maxAttempts is the configured bound on failed runs of a task.
	maxAttempts = 4
	// cancelBound is the time after an acknowledged cancellation in which tasks may still start:
	// 3 s, and a take-over of the owner in between.
	cancelBound = 8 * time.Second
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

	time     time.Duration // what a task takes; 0 if it lasts
	failures float64       // share of runs that fail by the task's fault
}

// jobSpec is the body of a submission.
type jobSpec struct {
	Spec  string     `json:"spec"`
	Steps []stepSpec `json:"steps"`
}

// taskInfo is what a worker needs of a task.
type taskInfo struct {
	cpu      int64
	time     time.Duration
	failures float64
}

// jobState is what the checker knows of a job.
type jobState struct {
	id       string
	spec     jobSpec
	accepted bool
	// unknown says that the outcome of a submission was not told, so that it may run.
	unknown bool
	// missing says that a caller who did not know was told that there is no such job.
	missing   bool
	cancelled time.Time // acknowledged cancellation
	started   bool
	shown     string // last state that a caller saw
}

// Checker sees what callers, workers and the store see, and notes each broken promise.
type Checker struct {
	mu         sync.Mutex
	begun      time.Time
	jobs       map[string]*jobState
	live       map[string]map[int64]string // by task and run: the worker
	done       map[string]bool
	noted      map[string]bool
	failed     map[string]int
	failedSeen map[string]int // failed ends whether noted or not
	violations []string
	starts     int
}

// NewChecker returns a checker that has recorded nothing.
func NewChecker() *Checker {
	return &Checker{
		begun: time.Now(), jobs: map[string]*jobState{}, live: map[string]map[int64]string{},
		done: map[string]bool{}, noted: map[string]bool{}, failed: map[string]int{}, failedSeen: map[string]int{},
	}
}

// Violations returns the broken promises so far.
func (j *Checker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string{}, j.violations...)
}

// RecordViolation notes a broken promise that another part of the soak has seen.
func (j *Checker) RecordViolation(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violated(rule, format, args...)
}

func (j *Checker) violated(rule, format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf("%s at %.2f s: ", rule, time.Since(j.begun).Seconds())+fmt.Sprintf(format, args...))
}

// RecordSubmission notes that a job is about to be sent.
func (j *Checker) RecordSubmission(id string, spec jobSpec) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.jobs[id] == nil {
		j.jobs[id] = &jobState{id: id, spec: spec}
	}
}

// RecordSubmissionAnswer notes the answer to a submission: accepted, refused as certainly not run,
// or neither.
func (j *Checker) RecordSubmissionAnswer(id string, accepted, refused bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.jobs[id]
	s.accepted = s.accepted || accepted
	s.unknown = s.unknown || !accepted && !refused
}

// RecordCancellation notes that a cancellation was acknowledged.
func (j *Checker) RecordCancellation(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.jobs[id]; s.cancelled.IsZero() {
		s.cancelled = time.Now()
	}
}

// RecordState notes the state of a job that a caller was told; status is the HTTP status.
func (j *Checker) RecordState(id string, status int, state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.jobs[id]
	if status == 410 && s.accepted {
		j.violated("LOST", "job %s was accepted and is not known", id)
	}
	s.missing = status == 410
	if status != 200 {
		return
	}
	s.accepted = true // also if the answer to the submission was lost
	s.shown = state
	switch {
	case state == "completed" && !j.allDone(s):
		j.violated("MIXED", "job %s is shown as completed, and a task has not ended so", id)
	case state == "failed" && !j.mayFail(s):
		j.violated("LOST", "job %s is shown as failed without enough failures", id)
	case state == "cancelled" && s.cancelled.IsZero():
		// The acknowledgement may have been lost, which the caller tells by asking again.
		s.cancelled = time.Now()
	}
}

func (j *Checker) allDone(s *jobState) bool {
	for step := range s.spec.Steps {
		if !j.stepDone(s, step) {
			return false
		}
	}
	return true
}

func (j *Checker) stepDone(s *jobState, step int) bool {
	for i := range s.spec.Steps[step].Count {
		if !j.done[taskName(s.id, step, i)] {
			return false
		}
	}
	return true
}

func (j *Checker) mayFail(s *jobState) bool {
	for step := range s.spec.Steps {
		for i := range s.spec.Steps[step].Count {
			if j.failedSeen[taskName(s.id, step, i)] >= maxAttempts {
				return true
			}
		}
	}
	return false
}

func taskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

// RecordStart notes that a worker begins a run, and tells it what the task does. It reports
// whether the worker may begin.
func (j *Checker) RecordStart(w *Worker, r run, payload string) (taskInfo, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	job, step, err := splitTask(r.task)
	s := j.jobs[job]
	if err != nil || s == nil || step < 0 || step >= len(s.spec.Steps) || payload != s.spec.Spec {
		j.violated("UNASKED", "%s run %d on %s: nobody submitted it so", r.task, r.run, w.ID)
		return taskInfo{}, false
	}
	s.started = true
	spec := s.spec.Steps[step]
	j.checkStart(w, r, s, spec)
	if j.live[r.task] == nil {
		j.live[r.task] = map[int64]string{}
	}
	j.live[r.task][r.run] = w.ID
	return taskInfo{cpu: reserved(spec), time: spec.time, failures: spec.failures}, true
}

// reserved is what a task takes of a worker's capacity.
func reserved(s stepSpec) int64 {
	if s.Fills {
		return 0
	}
	return s.CPU
}

func (j *Checker) checkStart(w *Worker, r run, s *jobState, spec stepSpec) {
	for other, where := range j.live[r.task] {
		j.violated("TWICE", "%s run %d starts on %s while run %d is on %s", r.task, r.run, w.ID, other, where)
	}
	if j.noted[r.task] {
		j.violated("TWICE", "%s run %d starts on %s after its end was noted", r.task, r.run, w.ID)
	}
	for _, before := range spec.After {
		if !j.stepDone(s, before) {
			j.violated("ORDER", "%s starts before step %d is done", r.task, before)
		}
	}
	if j.failed[r.task] >= maxAttempts {
		j.violated("BUDGET", "%s starts after %d failures", r.task, j.failed[r.task])
	}
	if used := w.used() + reserved(spec); used > w.capacity {
		j.violated("LIMIT", "%s has %d of %d after the start of %s", w.ID, used, w.capacity, r.task)
	}
	if !s.cancelled.IsZero() && time.Since(s.cancelled) > cancelBound {
		j.violated("UNASKED", "%s starts %.1f s after its cancellation", r.task, time.Since(s.cancelled).Seconds())
	}
}

// RecordEnd notes the end of a run.
func (j *Checker) RecordEnd(worker string, r run, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.live[r.task], r.run)
	switch how {
	case "done":
		j.done[r.task] = true
	case "failed":
		j.failedSeen[r.task]++
	}
}

// RecordAcknowledgement notes that the owner has acknowledged an end.
func (j *Checker) RecordAcknowledgement(r run, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch how {
	case "done":
		j.noted[r.task] = true
	case "failed":
		j.failed[r.task]++
	}
}

// UnfinishedJobs returns the jobs that were accepted, or may have been, and whose end callers have
// not seen.
func (j *Checker) UnfinishedJobs() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for id, s := range j.jobs {
		if (s.accepted || s.unknown && !s.missing) && s.shown != "completed" && s.shown != "failed" && s.shown != "cancelled" {
			out = append(out, id)
		}
	}
	return out
}

// LongRunning reports whether a job lasts until it is cancelled.
func (j *Checker) LongRunning(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.jobs[id].spec.Steps {
		if s.LongRunning {
			return true
		}
	}
	return false
}

// CheckFinalState checks what must hold at the end: all is told, and nothing runs that should not.
func (j *Checker) CheckFinalState() {
	open := j.UnfinishedJobs()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range open {
		j.violated("LOST", "job %s has not come to an end; last shown as %q", id, j.jobs[id].shown)
	}
	for id, s := range j.jobs {
		if s.started && !s.accepted && !s.unknown {
			j.violated("REFUSED", "job %s was refused each time, and has started", id)
		}
	}
	for task, runs := range j.live {
		for n, worker := range runs {
			j.violated("UNASKED", "%s run %d still runs on %s", task, n, worker)
		}
	}
}

// Counts returns the numbers of accepted jobs and of starts.
func (j *Checker) Counts() (accepted, starts int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.jobs {
		if s.accepted {
			accepted++
		}
	}
	return accepted, j.starts
}
