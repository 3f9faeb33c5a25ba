package fleet

import (
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Start is one start of an attempt, as recorded by the worker that executed it.
type Start struct {
	Attempt    model.AttemptID    `json:"attempt"`
	Worker     model.WorkerID     `json:"worker"`
	DataCentre model.DataCentre   `json:"dataCentre"`
	At         time.Time          `json:"at"`
	Checkpoint model.CheckpointID `json:"checkpoint,omitempty"`
}

// Violation is a violated guarantee of the product, with the details of the case.
type Violation struct {
	At   time.Time `json:"at"`
	Kind string    `json:"kind"`
	Text string    `json:"text"`
}

// The kinds of violation.
const (
	ViolationCapacity      = "reservations exceed the capacity"
	ViolationAttemptTwice  = "attempt executed twice"
	ViolationOverlap       = "two attempts of a job executed at once"
	ViolationCheckpoint    = "resumed from a wrong checkpoint"
	ViolationOnceRequest   = "once request executed twice"
	ViolationExclusive     = "exclusive request executed in two places at once"
	ViolationLeaving       = "request executed by a target long after it began to leave"
	ViolationFinishedTwice = "job finished twice"
)

// Counts are the totals of the execution log.
type Counts struct {
	Starts       int                      `json:"starts"`
	Finished     int                      `json:"finished"`
	Failed       int                      `json:"failed"`
	Checkpointed int                      `json:"checkpointed"`
	Stopped      int                      `json:"stopped"`
	Lost         int                      `json:"lost"`
	Resumes      int                      `json:"resumes"`
	Running      int                      `json:"running"`
	Throttles    int                      `json:"throttles"`
	PeakShare    float64                  `json:"peakShare"`
	StartsByDC   map[model.DataCentre]int `json:"startsByDataCentre"`
	Violations   map[string]int           `json:"violations"`
	LeaseCalls   int                      `json:"leaseCalls"`
	StartCalls   int                      `json:"startCalls"`
	SignalCalls  int                      `json:"signalCalls"`
	BytesIn      int64                    `json:"bytesIn"`
	BytesOut     int64                    `json:"bytesOut"`
	Requests     int                      `json:"requests"`
}

// ExecutionLog records what the workers and targets executed and checks it against the product's
// guarantees. It uses nothing that the product reports, so that the reports can be checked against it.
type ExecutionLog struct {
	mu         sync.Mutex
	counts     Counts
	starts     []Start
	violations []Violation
	// startedOn holds the last worker on which each attempt was started.
	startedOn map[model.AttemptID]model.WorkerID
	// executed holds the jobs of which at least one attempt has started.
	executed map[model.JobID]bool
	// executing holds the attempt of each job that is executing.
	executing    map[model.JobID]model.AttemptID
	checkpoints  map[model.JobID]savedCheckpoint
	finishCounts map[model.JobID]int
	executions   map[string]*Executions
	requests     []requestStart
}

// requestStart is the start of one execution of a request.
type requestStart struct {
	dataCentre model.DataCentre
	at         time.Time
}

// savedCheckpoint is the last checkpoint of a job.
type savedCheckpoint struct {
	id       model.CheckpointID
	progress float64
	worker   model.WorkerID
	// reported is set once the worker has reported the checkpoint to an owner.
	reported bool
	// previous is the checkpoint that this one replaced, if there was one.
	previous *savedCheckpoint
}

// previousOrZero returns the replaced checkpoint, or the zero value if there was none.
func (s savedCheckpoint) previousOrZero() savedCheckpoint {
	if s.previous == nil {
		return savedCheckpoint{}
	}
	return *s.previous
}

// Executions counts the executions of one request, which its reference identifies.
type Executions struct {
	Reference string `json:"reference"`
	Path      string `json:"path"`
	Count     int    `json:"count"`
	// Completed is the number of executions that ran to completion.
	Completed int `json:"whole"`
	running   int
}

// newExecutionLog returns an empty log.
func newExecutionLog() *ExecutionLog {
	return &ExecutionLog{
		startedOn:    map[model.AttemptID]model.WorkerID{},
		executed:     map[model.JobID]bool{},
		executing:    map[model.JobID]model.AttemptID{},
		checkpoints:  map[model.JobID]savedCheckpoint{},
		finishCounts: map[model.JobID]int{},
		executions:   map[string]*Executions{},
	}
}

// addViolationLocked records a violated guarantee.
func (l *ExecutionLog) addViolationLocked(at time.Time, kind, text string) {
	l.violations = append(l.violations, Violation{At: at, Kind: kind, Text: text})
}

// attemptStarted records a start and returns the progress that its checkpoint holds.
func (l *ExecutionLog) attemptStarted(s Start) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, s)
	if first, ok := l.startedOn[s.Attempt]; ok {
		l.addViolationLocked(s.At, ViolationAttemptTwice, attemptName(s.Attempt)+" on "+string(first)+" and "+string(s.Worker))
	}
	l.startedOn[s.Attempt] = s.Worker
	if other, ok := l.executing[s.Attempt.Job]; ok {
		l.addViolationLocked(s.At, ViolationOverlap, attemptName(other)+" and "+attemptName(s.Attempt))
	}
	l.executing[s.Attempt.Job] = s.Attempt
	// The attempt number does not identify a resume: a refused first attempt executed nothing.
	if l.executed[s.Attempt.Job] {
		l.counts.Resumes++
	}
	l.executed[s.Attempt.Job] = true
	saved := l.checkpoints[s.Attempt.Job]
	if s.Checkpoint != saved.id {
		l.addViolationLocked(s.At, ViolationCheckpoint, attemptName(s.Attempt)+" from "+quote(s.Checkpoint)+", saved "+quote(saved.id))
		return 0
	}
	return saved.progress
}

// attemptEnded records the end of an attempt and, if it was checkpointed, the checkpoint.
func (l *ExecutionLog) attemptEnded(id model.AttemptID, w model.WorkerID, state model.AttemptState, checkpoint model.CheckpointID, progress float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.executing[id.Job] == id {
		delete(l.executing, id.Job)
	}
	switch state {
	case model.AttemptSucceeded:
		l.counts.Finished++
		l.finishCounts[id.Job]++
	case model.AttemptFailed:
		l.counts.Failed++
	case model.AttemptStopped:
		l.counts.Stopped++
	case model.AttemptLost:
		l.counts.Lost++
	case model.AttemptCheckpointed:
		l.counts.Checkpointed++
		replaced := l.checkpoints[id.Job]
		replaced.previous = nil
		l.checkpoints[id.Job] = savedCheckpoint{id: checkpoint, progress: progress, worker: w, previous: &replaced}
	}
}

// checkpointReported records that an owner has received the report of a checkpoint.
func (l *ExecutionLog) checkpointReported(job model.JobID, id model.CheckpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if saved := l.checkpoints[job]; saved.id == id {
		saved.reported = true
		l.checkpoints[job] = saved
	}
}

// dropUnreportedCheckpoints drops the checkpoints that a worker had not yet reported to any owner
// when it died. Their jobs resume from the previous checkpoint.
func (l *ExecutionLog) dropUnreportedCheckpoints(w model.WorkerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for job, saved := range l.checkpoints {
		if saved.worker == w && !saved.reported {
			l.checkpoints[job] = saved.previousOrZero()
		}
	}
}

// checkCapacity records a violation if the reservations of the attempts on a worker exceed its
// capacity, and updates the peak share of capacity that was reserved.
func (l *ExecutionLog) checkCapacity(at time.Time, w model.Worker, sum model.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := float64(sum.MilliCPU) / float64(max(w.Capacity.MilliCPU, 1))
	share = max(share, float64(sum.MemoryMB)/float64(max(w.Capacity.MemoryMB, 1)))
	l.counts.PeakShare = max(l.counts.PeakShare, share)
	if !sum.Fits(w.Capacity) {
		l.addViolationLocked(at, ViolationCapacity, string(w.ID))
	}
}

// updateCounts applies a change to the counts under the lock.
func (l *ExecutionLog) updateCounts(change func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.counts)
}

// requestStarted records that a target starts to execute a request.
func (l *ExecutionLog) requestStarted(at time.Time, t model.Target, class model.RequestClass, path, reference string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Requests++
	l.requests = append(l.requests, requestStart{dataCentre: t.DataCentre, at: at})
	e := l.executions[reference]
	if e == nil {
		e = &Executions{Reference: reference, Path: path}
		l.executions[reference] = e
	}
	e.Count++
	e.running++
	if class == model.AtMostOnce && e.Count > 1 {
		l.addViolationLocked(at, ViolationOnceRequest, reference)
	}
	if class == model.Exclusive && e.running > 1 {
		l.addViolationLocked(at, ViolationExclusive, reference)
	}
}

// requestEnded records the end of an execution of a request, and whether it ran to completion.
func (l *ExecutionLog) requestEnded(reference string, completed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.executions[reference]
	e.running--
	if completed {
		e.Completed++
	}
}

// Counts returns the totals so far.
func (l *ExecutionLog) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.counts
	out.Starts = len(l.starts)
	out.Running = len(l.executing)
	out.StartsByDC = map[model.DataCentre]int{}
	for _, s := range l.starts {
		out.StartsByDC[s.DataCentre]++
	}
	out.Violations = map[string]int{}
	for _, v := range l.violations {
		out.Violations[v.Kind]++
	}
	for _, n := range l.finishCounts {
		if n > 1 {
			out.Violations[ViolationFinishedTwice]++
		}
	}
	return out
}

// Starts returns the starts between two times in a data centre, or in all if the name is empty.
func (l *ExecutionLog) Starts(dc model.DataCentre, from, to time.Time) []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Start{}
	for _, s := range l.starts {
		if (dc == "" || s.DataCentre == dc) && !s.At.Before(from) && s.At.Before(to) {
			out = append(out, s)
		}
	}
	return out
}

// Requests counts the executions of requests that started in a data centre between two times.
func (l *ExecutionLog) Requests(dc model.DataCentre, from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.requests {
		if s.dataCentre == dc && !s.at.Before(from) && s.at.Before(to) {
			n++
		}
	}
	return n
}

// addViolation records a violated guarantee.
func (l *ExecutionLog) addViolation(at time.Time, kind, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(at, kind, text)
}

// Violations returns the violated guarantees so far.
func (l *ExecutionLog) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation{}, l.violations...)
}

// Executions returns the executions of all requests.
func (l *ExecutionLog) Executions() []Executions {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Executions, 0, len(l.executions))
	for _, e := range l.executions {
		out = append(out, *e)
	}
	return out
}

// attemptName formats an attempt as job#number.
func attemptName(id model.AttemptID) string {
	return string(id.Job) + "#" + utoa(id.Number)
}
