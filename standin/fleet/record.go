package fleet

import (
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// Start is one start of an attempt as a worker saw it.
type Start struct {
	Attempt    model.AttemptID    `json:"attempt"`
	Worker     model.WorkerID     `json:"worker"`
	DataCentre model.DataCentre   `json:"dataCentre"`
	At         time.Time          `json:"at"`
	Checkpoint model.CheckpointID `json:"checkpoint,omitempty"`
}

// Violation is a broken promise, with what was seen.
type Violation struct {
	At   time.Time `json:"at"`
	Kind string    `json:"kind"`
	Text string    `json:"text"`
}

// The kinds of violation.
const (
	ViolationCapacity      = "committed beyond capacity"
	ViolationAttemptTwice  = "attempt executed twice"
	ViolationOverlap       = "two attempts of a job executed at once"
	ViolationCheckpoint    = "resumed from a wrong checkpoint"
	ViolationOnceRequest   = "once request executed twice"
	ViolationExclusive     = "exclusive request executed in two places at once"
	ViolationLeaving       = "request executed by a target long after it began to leave"
	ViolationFinishedTwice = "job finished twice"
)

// Counts sum the record up.
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

// ExecutionLog is what the workers and targets saw, kept apart from the product.
type ExecutionLog struct {
	mu         sync.Mutex
	counts     Counts
	starts     []Start
	violations []Violation
	started    map[model.AttemptID]model.WorkerID
	// executed holds the jobs that have been executed before.
	executed   map[model.JobID]bool
	executing  map[model.JobID]model.AttemptID
	saved      map[model.JobID]savedState
	finished   map[model.JobID]int
	executions map[string]*Executions
	requests   []requestStart
}

// requestStart is the beginning of one execution of a request.
type requestStart struct {
	dataCentre model.DataCentre
	at         time.Time
}

// savedState is the last checkpoint of a job.
type savedState struct {
	checkpoint model.CheckpointID
	progress   float64
	worker     model.WorkerID
	// reported says that an owner has been told of it.
	reported bool
	// earlier is the checkpoint that it replaced.
	earlier *savedState
}

// before returns the checkpoint that was replaced.
func (s savedState) before() savedState {
	if s.earlier == nil {
		return savedState{}
	}
	return *s.earlier
}

// Executions are the executions of one request by its reference.
type Executions struct {
	Reference string `json:"reference"`
	Path      string `json:"path"`
	Count     int    `json:"count"`
	// Completed is the number of executions that came to their end.
	Completed int `json:"whole"`
	running   int
}

// newRecord returns an empty record.
func newRecord() *ExecutionLog {
	return &ExecutionLog{
		started:    map[model.AttemptID]model.WorkerID{},
		executed:   map[model.JobID]bool{},
		executing:  map[model.JobID]model.AttemptID{},
		saved:      map[model.JobID]savedState{},
		finished:   map[model.JobID]int{},
		executions: map[string]*Executions{},
	}
}

// violateLocked notes a broken promise.
func (r *ExecutionLog) violateLocked(at time.Time, kind, text string) {
	r.violations = append(r.violations, Violation{At: at, Kind: kind, Text: text})
}

// attemptStarted notes a start and returns the progress that the checkpoint holds.
func (r *ExecutionLog) attemptStarted(s Start) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
	if first, ok := r.started[s.Attempt]; ok {
		r.violateLocked(s.At, ViolationAttemptTwice, describe(s.Attempt)+" on "+string(first)+" and "+string(s.Worker))
	}
	r.started[s.Attempt] = s.Worker
	if other, ok := r.executing[s.Attempt.Job]; ok {
		r.violateLocked(s.At, ViolationOverlap, describe(other)+" and "+describe(s.Attempt))
	}
	r.executing[s.Attempt.Job] = s.Attempt
	// A first attempt that was refused counts as no execution, so the number proves nothing.
	if r.executed[s.Attempt.Job] {
		r.counts.Resumes++
	}
	r.executed[s.Attempt.Job] = true
	saved := r.saved[s.Attempt.Job]
	if s.Checkpoint != saved.checkpoint {
		r.violateLocked(s.At, ViolationCheckpoint, describe(s.Attempt)+" from "+quote(s.Checkpoint)+", saved "+quote(saved.checkpoint))
		return 0
	}
	return saved.progress
}

// attemptEnded notes the end of an attempt.
func (r *ExecutionLog) attemptEnded(id model.AttemptID, w model.WorkerID, state model.AttemptState, checkpoint model.CheckpointID, progress float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.executing[id.Job] == id {
		delete(r.executing, id.Job)
	}
	switch state {
	case model.AttemptSucceeded:
		r.counts.Finished++
		r.finished[id.Job]++
	case model.AttemptFailed:
		r.counts.Failed++
	case model.AttemptStopped:
		r.counts.Stopped++
	case model.AttemptLost:
		r.counts.Lost++
	case model.AttemptCheckpointed:
		r.counts.Checkpointed++
		earlier := r.saved[id.Job]
		earlier.earlier = nil
		r.saved[id.Job] = savedState{checkpoint: checkpoint, progress: progress, worker: w, earlier: &earlier}
	}
}

// checkpointReported notes that an owner was told of a checkpoint.
func (r *ExecutionLog) checkpointReported(job model.JobID, id model.CheckpointID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if saved := r.saved[job]; saved.checkpoint == id {
		saved.reported = true
		r.saved[job] = saved
	}
}

// forgetUnreported drops the checkpoints that no owner can know because their worker died.
// The job then goes on from the checkpoint before.
func (r *ExecutionLog) forgetUnreported(w model.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for job, saved := range r.saved {
		if saved.worker == w && !saved.reported {
			r.saved[job] = saved.before()
		}
	}
}

// committed notes what the attempts on a worker have reserved together.
func (r *ExecutionLog) committed(at time.Time, w model.Worker, sum model.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	share := float64(sum.MilliCPU) / float64(max(w.Capacity.MilliCPU, 1))
	share = max(share, float64(sum.MemoryMB)/float64(max(w.Capacity.MemoryMB, 1)))
	r.counts.PeakShare = max(r.counts.PeakShare, share)
	if !sum.Fits(w.Capacity) {
		r.violateLocked(at, ViolationCapacity, string(w.ID))
	}
}

// add changes the counts.
func (r *ExecutionLog) add(change func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.counts)
}

// requestBegan notes that a target begins to execute a request.
func (r *ExecutionLog) requestBegan(at time.Time, t model.Target, class model.RequestClass, path, reference string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	r.requests = append(r.requests, requestStart{dataCentre: t.DataCentre, at: at})
	e := r.executions[reference]
	if e == nil {
		e = &Executions{Reference: reference, Path: path}
		r.executions[reference] = e
	}
	e.Count++
	e.running++
	if class == model.AtMostOnce && e.Count > 1 {
		r.violateLocked(at, ViolationOnceRequest, reference)
	}
	if class == model.Exclusive && e.running > 1 {
		r.violateLocked(at, ViolationExclusive, reference)
	}
}

// requestEnded notes that a target ends the execution of a request.
func (r *ExecutionLog) requestEnded(reference string, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.executions[reference]
	e.running--
	if whole {
		e.Completed++
	}
}

// Counts returns the sums.
func (r *ExecutionLog) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.counts
	out.Starts = len(r.starts)
	out.Running = len(r.executing)
	out.StartsByDC = map[model.DataCentre]int{}
	for _, s := range r.starts {
		out.StartsByDC[s.DataCentre]++
	}
	out.Violations = map[string]int{}
	for _, v := range r.violations {
		out.Violations[v.Kind]++
	}
	for _, n := range r.finished {
		if n > 1 {
			out.Violations[ViolationFinishedTwice]++
		}
	}
	return out
}

// Starts returns the starts between two times in a data centre; an empty name is all.
func (r *ExecutionLog) Starts(dc model.DataCentre, from, to time.Time) []Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Start{}
	for _, s := range r.starts {
		if (dc == "" || s.DataCentre == dc) && !s.At.Before(from) && s.At.Before(to) {
			out = append(out, s)
		}
	}
	return out
}

// Requests counts the executions of requests that began in a data centre between two times.
func (r *ExecutionLog) Requests(dc model.DataCentre, from, to time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.requests {
		if s.dataCentre == dc && !s.at.Before(from) && s.at.Before(to) {
			n++
		}
	}
	return n
}

// violate notes a broken promise.
func (r *ExecutionLog) violate(at time.Time, kind, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violateLocked(at, kind, text)
}

// Violations returns the broken promises.
func (r *ExecutionLog) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation{}, r.violations...)
}

// Executions returns the executions of all requests.
func (r *ExecutionLog) Executions() []Executions {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Executions, 0, len(r.executions))
	for _, e := range r.executions {
		out = append(out, *e)
	}
	return out
}

// describe names an attempt.
func describe(id model.AttemptID) string {
	return string(id.Job) + "#" + utoa(id.Number)
}
