package batch

import (
	"time"
)

// runsPerEpoch is the distance between the first run numbers of two epochs, so that each owner
// gives higher numbers than all before it without a record of each start.
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
	started        bool      // a task has been started at any time
	cancelled      bool
	occs           []*occurrence
	attempts       int // attempts that are not over
	changed        time.Time
	criticalPath   time.Duration // longest sum of estimates along the steps
}

// Status returns the outcome that may be shown: an end only once it is durable.
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

// occurrence is one execution of the steps.
type occurrence struct {
	number         int
	due            time.Time
	steps          []*step
	remainingSteps int // steps that are not done
}

// step is the state of the tasks of one step of an occurrence.
type step struct {
	job            *Job
	occ            *occurrence
	number         int
	spec           *Step
	reserved       Resources
	tasks          []task
	remainingTasks int           // tasks that are not done
	waiting        int           // tasks without an attempt that are not done
	blocked        int           // steps before it that are not done
	remainingPath  time.Duration // longest sum of estimates from this step to the end
	rack           string
	// startAnnounced says that the next record tells that tasks of the step may have been started,
	// and durable that the store has such a record. No task is started before.
	startAnnounced bool
	startDurable   bool
	// startedByFormerOwner says that a former owner may have started tasks of the step.
	startedByFormerOwner bool
	// gangRun is the run number that the members share.
	gangRun int64
	ready   time.Time
	advice  advice
	// waitReason is the last reason for which the step waited.
	waitReason string
}

// task is the state of one task.
type task struct {
	done       bool
	unresolved bool // it may be running where no list has been seen yet
	attempts   []*attempt
	failed     []int64 // runs that ended failed
	lastRun    int64
	checkpoint string
	lastWorker WorkerID
}

// attempt is one start of a task that is not known to be over.
type attempt struct {
	step      *step
	index     int
	run       int64
	worker    *worker
	reserved  Resources
	orderedAt time.Time
	// notAfter is the worker's clock after which the order is refused; 0 if the attempt was
	// found in a list.
	notAfter        int64
	startAnsweredAt int64 // worker's clock of the answer that accepted the start
	listed          bool
	ended           bool // the worker has listed its end
	stopping        bool
	stopSent        time.Time
	stopAnsweredAt  int64 // worker's clock of the answer to the stop
	percent         int
	progress        time.Time // last time that percent rose
	measured        int64
	cpuLimit        int // percent that it may work at
	cpuLimitAt      time.Time
	// previousCPULimit is the percent before that, and throttleUnconfirmed says that the order may not have arrived.
	previousCPULimit    int
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

// State is all that the owner knows of jobs and workers.
type State struct {
	epoch  int64
	timing Timing
	config Config

	jobs    map[string]*Job
	workers map[WorkerID]*worker
	// sorted holds the workers by their ids; it is empty after one has come or gone.
	sorted []*worker
	// usableBuffer is the room for the list of usable workers.
	usableBuffer []*worker
	// open holds the steps with waiting tasks.
	open map[*step]bool
	// scheduled holds occurrences that are not due yet.
	scheduled map[*occurrence]*Job
	// unresolved holds the workers that may run tasks of a former owner, and until when.
	unresolved map[WorkerID]time.Time

	dirty changedJobs
	// urgent holds the jobs with steps that wait for their record.
	urgent            map[*Job]bool
	actions           []Action
	unstartedJobs     map[string]int    // jobs without a start, a queue
	stops             map[*attempt]bool // attempts that are to end
	lastCheck         time.Time         // last search for lapsed leases and stuck tasks
	interferenceModel *interferenceModel
	// shortCPU is what tasks that end by themselves reserve, and meanShortCPU its running mean.
	shortCPU      int64
	meanShortCPU  float64
	openQuestions int // questions to the adviser without an answer
	// ownedUntil is until when no other owner can have taken over.
	ownedUntil time.Time
	events     []Event
}

// Timing are the times that the state machine reckons with.
type Timing struct {
	// StopRetryDelay is the pause before an unanswered stop is sent again.
	StopRetryDelay time.Duration
	// LeaseTTL is the time after which a lease that was just granted has surely ended. A former
	// owner may have granted one up to the moment at which a worker first answers.
	LeaseTTL time.Duration
	// StartLeaseTTL is the same for the lease that comes with a start.
	StartLeaseTTL time.Duration
}

// Event is a line for the log: a decision with what it rested on.
type Event struct {
	Name   string
	Job    string
	Task   TaskID
	Run    int64
	Worker WorkerID
	Detail string
}

// New returns an empty state of the owner with the epoch.
func New(epoch int64, limits Timing) *State {
	return &State{
		epoch:             epoch,
		timing:            limits,
		jobs:              map[string]*Job{},
		workers:           map[WorkerID]*worker{},
		open:              map[*step]bool{},
		scheduled:         map[*occurrence]*Job{},
		unresolved:        map[WorkerID]time.Time{},
		dirty:             newChangedJobs(),
		urgent:            map[*Job]bool{},
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

// QueuedJobs returns the number of accepted jobs of the queue without a start.
func (s *State) QueuedJobs(queue string) int { return s.unstartedJobs[queue] }

// Counts returns the number of jobs that are not over, and of known jobs.
func (s *State) Counts() (live, known int) {
	for _, j := range s.jobs {
		if !j.outcome.Terminal() {
			live++
		}
	}
	return live, len(s.jobs)
}

// queueOf returns the queue of the job as it is configured now, or as it was when the job
// was accepted if it has been removed since.
func (s *State) queueOf(j *Job) Queue {
	if q, ok := s.config.Queues[j.Queue]; ok {
		return q
	}
	return j.QueueConfig
}

// AddJob takes a job in. A job that is known stays as it is. loaded says that the job was
// accepted under a former owner, which may have started its tasks.
func (s *State) AddJob(j *Job, r *Record, loaded bool, now time.Time) {
	if s.jobs[j.ID] != nil {
		return
	}
	s.jobs[j.ID] = j
	j.changed = now
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

// openOccurrence makes the ready steps of an occurrence available for placement.
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

func (s *State) markUnresolved(o *occurrence) {
	for _, st := range o.steps {
		if !st.startAnnounced {
			continue
		}
		for i := range st.tasks {
			if !st.tasks[i].done {
				st.tasks[i].unresolved = true
			}
		}
	}
}

// openStep lists the step for placement if tasks of it wait and nothing is before it.
func (s *State) openStep(st *step, now time.Time) {
	if st.blocked > 0 || st.waiting == 0 || st.job.outcome.Terminal() {
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
			job:            j,
			occ:            o,
			number:         i,
			spec:           spec,
			reserved:       spec.reserved(),
			tasks:          make([]task, spec.Count),
			remainingTasks: spec.Count,
			waiting:        spec.Count,
			blocked:        len(spec.After),
			remainingPath:  j.Spec.criticalPathFrom(i),
		})
	}
	return o
}

// Cancel ends a job on its caller's wish.
func (s *State) Cancel(id string, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.outcome.Terminal() {
		return
	}
	j.cancelled = true
	s.event(Event{Name: "job.cancelled", Job: id})
	s.end(j, Cancelled, now)
}

// end closes a job and stops what still runs.
func (s *State) end(j *Job, o JobStatus, now time.Time) {
	if !j.started {
		s.unstartedJobs[j.Queue]--
		j.started = true
	}
	j.outcome = o
	j.changed = now
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

func (s *State) endTask(t *task) {
	t.unresolved = false
	for _, a := range t.attempts {
		s.stop(a, "job over")
	}
}

// completeIfDone closes the job if all its steps are done.
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

// stop orders the end of an attempt; the next Plan sends it.
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

// Events returns what has been decided since the last call.
func (s *State) Events() []Event {
	out := s.events
	s.events = nil
	return out
}

// PruneJobs drops jobs that have been over for longer than keep, and returns their ids.
func (s *State) PruneJobs(now time.Time, keep time.Duration) []string {
	var ids []string
	for id, j := range s.jobs {
		if j.outcome.Terminal() && j.attempts == 0 && !s.dirty.has(j) && now.Sub(j.changed) > keep {
			ids = append(ids, id)
			delete(s.jobs, id)
		}
	}
	return ids
}
