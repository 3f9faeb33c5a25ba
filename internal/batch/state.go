package batch

import (
	"time"
)

// runsPerEpoch is the distance between the first run numbers of two successive epochs. It lets each
// owner give higher run numbers than all former owners without a stored record of each start.
const runsPerEpoch = 10_000

// Job is an accepted job.
type Job struct {
	ID       string
	Queue    string
	Accepted time.Time
	Spec     Spec
	// QueueConfig is the queue as it was configured when the job was accepted.
	QueueConfig Queue

	outcome        JobStatus
	durableOutcome JobStatus // the outcome that the store holds
	started        bool      // a task has been started, under any owner
	cancelled      bool
	occs           []*occurrence
	attempts       int // attempts that may run
	changedAt      time.Time
	criticalPath   time.Duration // longest sum of estimates along dependent steps
}

// Status returns the status to show to callers. Completed and Failed are shown only once the store
// holds them.
func (j *Job) Status() JobStatus {
	if j.outcome.Terminal() {
		if j.outcome == Cancelled || j.durableOutcome == j.outcome {
			return j.outcome
		}
	}
	if j.started {
		return Active
	}
	return Queued
}

// occurrence is one scheduled execution of the steps of a job.
type occurrence struct {
	number         int
	due            time.Time
	steps          []*step
	remainingSteps int // steps that are not done
}

// step is the state of the tasks of one step of an occurrence.
type step struct {
	job                 *Job
	occ                 *occurrence
	number              int
	spec                *Step
	reserved            Resources
	tasks               []task
	remainingTasks      int           // tasks that are not done
	waiting             int           // tasks without an attempt that are not done
	pendingDependencies int           // steps that it depends on and that are not done
	remainingPath       time.Duration // longest sum of estimates from this step to the end
	// rack is the rack for all tasks of a rack-local step; empty before the first one is placed.
	rack string
	// startRecordRequested is set if the job's records from now on say that tasks of the step may
	// have been started, and startRecordDurable if the store holds such a record. No task is started
	// before.
	startRecordRequested bool
	startRecordDurable   bool
	// startedByFormerOwner is set if a former owner may have started tasks of the step.
	startedByFormerOwner bool
	// gangRun is the run number that all tasks of a gang share.
	gangRun int64
	ready   time.Time // when the step was last opened for placement
	advice  advice
	// waitReason is the reason for waiting that was last logged.
	waitReason string
}

// task is the state of one task.
type task struct {
	done bool
	// unresolved is set if a former owner may have started the task on one of the unresolvedWorkers.
	// The task waits until none of these is left, or until a worker reports it.
	unresolved bool
	attempts   []*attempt
	failed     []int64 // runs that ended failed; empty for a long-running task
	lastFailed int64   // the run that ended failed last; its end may be reported again
	lastRun    int64
	checkpoint string
	lastWorker WorkerID
}

// attempt is one start of a task on a worker that is not known to have ended.
type attempt struct {
	step        *step
	index       int
	run         int64
	worker      *worker
	reserved    Resources
	requestedAt time.Time // when this owner decided the start or adopted the attempt
	// notAfter is the time on the worker's clock after which the worker refuses the start; 0 if the
	// attempt was adopted from a report.
	notAfter        int64
	startAnsweredAt int64 // time on the worker's clock in the answer that accepted the start
	listed          bool
	ended           bool // the worker has reported its end
	stopping        bool
	stopSent        time.Time
	stopAnsweredAt  int64 // time on the worker's clock in the answer to the stop
	percent         int
	// progressAt is when percent last rose, the attempt was first listed or its CPU limit was set.
	progressAt time.Time
	// lastMeasurement is RunningAttempt.Measurement of the last report.
	lastMeasurement int64
	// cpuLimit is the part of its CPU that a best-effort attempt may use, in percent.
	cpuLimit   int
	cpuLimitAt time.Time // when cpuLimit last changed
	// previousCPULimit is the limit before the last change.
	previousCPULimit int
	// throttleUnconfirmed is set if the worker may not have applied cpuLimit.
	throttleUnconfirmed bool
}

func (a *attempt) id() TaskID {
	return TaskID{Job: a.step.job.ID, Occurrence: a.step.occ.number, Step: a.step.number, Index: a.index}
}

func (a *attempt) task() *task { return &a.step.tasks[a.index] }

// attemptKey identifies an attempt on a worker.
type attemptKey struct {
	task TaskID
	run  int64
}

// State is what the owner of the batch jobs knows of jobs and workers, with all decisions on them.
type State struct {
	epoch  int64
	timing Timing
	config Config

	jobs    map[string]*Job
	workers map[WorkerID]*worker
	// sorted caches the workers ordered by id. It is set to nil when a worker is added or removed;
	// usable rebuilds it whenever its length differs from that of workers.
	sorted []*worker
	// usableBuffer is the reused slice for the result of usable.
	usableBuffer []*worker
	// open holds the steps with waiting tasks.
	open map[*step]bool
	// scheduled holds occurrences that are not due yet.
	scheduled map[*occurrence]*Job
	// unresolvedWorkers holds the workers that may run tasks started by a former owner and have not
	// reported to this one, and until when they may if they stay unreachable.
	unresolvedWorkers map[WorkerID]time.Time

	dirty changedJobs
	// urgentJobs holds the jobs with steps whose start waits for a durable record.
	urgentJobs        map[*Job]bool
	actions           []Action
	unstartedJobs     map[string]int    // number of jobs without a started task, by queue
	stops             map[*attempt]bool // attempts that are being stopped
	lastCheck         time.Time         // last check for expired leases and stalled tasks
	interferenceModel *interferenceModel
	// shortCPU is the CPU reserved by the attempts of short tasks, which are those that are not
	// long-running, and meanShortCPU its moving average, in thousandths of a core.
	shortCPU      int64
	meanShortCPU  float64
	openQuestions int // questions to the adviser without an answer
	// ownedUntil is the time until which no other owner can have taken over.
	ownedUntil time.Time
	events     []Event
}

// Timing holds the durations that the state machine depends on.
type Timing struct {
	// StopRetryDelay is the pause before a stop is sent again, as long as its attempt is not known to
	// be gone.
	StopRetryDelay time.Duration
	// LeaseTTL is the time after which a lease has certainly ended, counted from its grant. A former
	// owner may have granted one up to the moment at which a worker first reports.
	LeaseTTL time.Duration
	// StartLeaseTTL is the same for the lease that a start grants.
	StartLeaseTTL time.Duration
}

// Event is a decision to be logged, with its reason in Detail.
type Event struct {
	Name   string
	Job    string
	Task   TaskID
	Run    int64
	Worker WorkerID
	Detail string
}

// New returns an empty state for the owner with the given epoch.
func New(epoch int64, timing Timing) *State {
	return &State{
		epoch:             epoch,
		timing:            timing,
		jobs:              map[string]*Job{},
		workers:           map[WorkerID]*worker{},
		open:              map[*step]bool{},
		scheduled:         map[*occurrence]*Job{},
		unresolvedWorkers: map[WorkerID]time.Time{},
		dirty:             newChangedJobs(),
		urgentJobs:        map[*Job]bool{},
		unstartedJobs:     map[string]int{},
		stops:             map[*attempt]bool{},
		interferenceModel: newInterferenceModel(),
	}
}

// SetConfig puts a configuration in force. An older version is ignored.
func (s *State) SetConfig(c Config) {
	if c.Version >= s.config.Version {
		s.config = c
	}
}

// ConfigVersion returns the version of the configuration in force.
func (s *State) ConfigVersion() int64 { return s.config.Version }

// Job returns the job, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// QueuedJobs returns the number of accepted jobs of the queue of which no task has been started.
func (s *State) QueuedJobs(queue string) int { return s.unstartedJobs[queue] }

// Counts returns the number of jobs that have not ended, and the number of all known jobs.
func (s *State) Counts() (live, known int) {
	for _, j := range s.jobs {
		if !j.outcome.Terminal() {
			live++
		}
	}
	return live, len(s.jobs)
}

// queueOf returns the present configuration of the job's queue. If the queue has been removed, it
// returns the configuration at the time when the job was accepted.
func (s *State) queueOf(j *Job) Queue {
	if q, ok := s.config.Queues[j.Queue]; ok {
		return q
	}
	return j.QueueConfig
}

// AddJob adds a job with its stored record, which may be nil. It does nothing if the job is known.
// loaded is set if the job was accepted by a former owner, which may have started its tasks.
func (s *State) AddJob(j *Job, r *Record, loaded bool, now time.Time) {
	if s.jobs[j.ID] != nil {
		return
	}
	s.jobs[j.ID] = j
	j.changedAt = now
	if r != nil && r.Status.Terminal() {
		j.outcome, j.durableOutcome, j.started = r.Status, r.Status, true
		return
	}
	j.expand()
	if r != nil {
		r.restore(j)
	}
	if !j.started {
		s.unstartedJobs[j.Queue]++
	}
	for _, o := range j.occs {
		s.openOccurrence(j, o, loaded, now)
	}
	s.completeIfDone(j, now)
}

// expand creates the steps of all occurrences.
func (j *Job) expand() {
	for k := range j.Spec.Occurrences() {
		j.occs = append(j.occs, newOccurrence(j, k))
	}
}

// openOccurrence opens the steps of an occurrence for placement, or schedules the occurrence if it is
// not due yet.
func (s *State) openOccurrence(j *Job, o *occurrence, loaded bool, now time.Time) {
	if loaded {
		s.markUnresolved(o)
	}
	if o.due.After(now) {
		s.scheduled[o] = j
		return
	}
	for _, st := range o.steps {
		s.openStep(st, now)
	}
}

// markUnresolved marks the tasks that a former owner may have started. A step has none unless its
// start record was requested.
func (s *State) markUnresolved(o *occurrence) {
	for _, st := range o.steps {
		if !st.startRecordRequested {
			continue
		}
		for i := range st.tasks {
			if !st.tasks[i].done {
				st.tasks[i].unresolved = true
			}
		}
	}
}

// openStep opens a step for placement if it has waiting tasks and all its dependencies are done.
func (s *State) openStep(st *step, now time.Time) {
	if st.pendingDependencies > 0 || st.waiting == 0 || st.job.outcome.Terminal() {
		return
	}
	if !s.open[st] {
		s.open[st] = true
		st.ready = now
	}
}

func newOccurrence(j *Job, number int) *occurrence {
	j.criticalPath = j.Spec.criticalPath()
	o := &occurrence{number: number, due: j.Spec.Due(number), remainingSteps: len(j.Spec.Steps)}
	for i := range j.Spec.Steps {
		spec := &j.Spec.Steps[i]
		o.steps = append(o.steps, &step{
			job:                 j,
			occ:                 o,
			number:              i,
			spec:                spec,
			reserved:            spec.reserved(),
			tasks:               make([]task, spec.Count),
			remainingTasks:      spec.Count,
			waiting:             spec.Count,
			pendingDependencies: len(spec.After),
			remainingPath:       j.Spec.criticalPathFrom(i),
		})
	}
	return o
}

// Cancel ends a job at the request of a caller.
func (s *State) Cancel(id string, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.outcome.Terminal() {
		return
	}
	j.cancelled = true
	s.event(Event{Name: "job.cancelled", Job: id})
	s.end(j, Cancelled, now)
}

// end sets the outcome of a job and stops its attempts.
func (s *State) end(j *Job, o JobStatus, now time.Time) {
	if !j.started {
		s.unstartedJobs[j.Queue]--
		j.started = true
	}
	j.outcome = o
	j.changedAt = now
	s.interferenceModel.removeJob(j)
	s.dirty.add(j)
	for _, occ := range j.occs {
		delete(s.scheduled, occ)
		for _, st := range occ.steps {
			delete(s.open, st)
			for i := range st.tasks {
				s.endTask(&st.tasks[i])
			}
		}
	}
}

// endTask stops the attempts of a task whose job has ended.
func (s *State) endTask(t *task) {
	t.unresolved = false
	for _, a := range t.attempts {
		s.stop(a, "job ended")
	}
}

// completeIfDone completes a job if all its steps are done.
func (s *State) completeIfDone(j *Job, now time.Time) {
	if j.outcome.Terminal() {
		return
	}
	for _, o := range j.occs {
		if o.remainingSteps > 0 {
			return
		}
	}
	s.event(Event{Name: "job.completed", Job: j.ID})
	s.end(j, Completed, now)
}

// stop marks an attempt for stopping; the next Plan sends the request.
func (s *State) stop(a *attempt, reason string) {
	if a.stopping || a.ended {
		return
	}
	a.stopping = true
	a.worker.latencyGroupsAt = time.Time{}
	s.stops[a] = true
	s.event(Event{Name: "task.stop", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: a.worker.info.ID, Detail: reason})
}

func (s *State) event(e Event) { s.events = append(s.events, e) }

// Events returns the decisions since the last call.
func (s *State) Events() []Event {
	out := s.events
	s.events = nil
	return out
}

// PruneJobs deletes the jobs that ended more than keep ago, and returns their ids. Jobs whose attempts
// may still run or whose records are not written yet are kept.
func (s *State) PruneJobs(now time.Time, keep time.Duration) []string {
	var ids []string
	for id, j := range s.jobs {
		if j.outcome.Terminal() && j.attempts == 0 && !s.dirty.has(j) && now.Sub(j.changedAt) > keep {
			ids = append(ids, id)
			delete(s.jobs, id)
		}
	}
	return ids
}
