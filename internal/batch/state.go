package batch

import (
	"iter"
	"math"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/quota"
)

// State is what the owner of the batch jobs knows of jobs and workers, with all decisions on them.
type State struct {
	epoch  int64
	timing Timing
	config Config
	// leastPriority is the priority of the queues of config that go last.
	leastPriority int
	// confirmedVersion is the version up to which the store holds no newer configuration than config, though jobs were accepted
	// under one.
	confirmedVersion int64

	jobs    map[string]*Job
	workers map[WorkerID]*worker
	// sorted caches the workers ordered by id. It is set to nil when a worker is added or removed;
	// usable rebuilds it whenever its length differs from that of workers.
	sorted []*worker
	// usableBuffer is the reused slice for the result of usable.
	usableBuffer []*worker
	// scoredBuffer is the reused slice for the workers of a ranking.
	scoredBuffer scoredWorkers
	// evaluations is the number of workers that the present Plan has rated for tasks, fullSearches that of its searches of
	// all workers for a single task, and nextCandidate where the next search of few of them begins.
	evaluations, fullSearches, nextCandidate int
	// maxStarts is the number of starts that a Plan may decide, and startsLeft how many the present one still may.
	maxStarts, startsLeft int
	// isTrial is set while a worker is chosen for a trial, and lastTrials holds when each service had the last one; see
	// tryStarved.
	isTrial    bool
	lastTrials map[string]time.Time
	// open holds the steps with waiting tasks.
	open openSteps
	// fresh holds the open steps that no Plan has considered since they became startable, and leftOut those that the last one
	// could not start in full.
	fresh   freshSteps
	leftOut leftOutSteps
	// scheduled holds occurrences that are not due yet.
	scheduled map[*occurrence]*Job
	// unresolvedWorkers holds the workers that may run tasks started by a former owner and have not
	// reported to this one, and until when they may if they stay unreachable.
	unresolvedWorkers map[WorkerID]time.Time
	// lateRuns holds what restarted workers may carry out late for former owners, by worker.
	lateRuns map[WorkerID]LateRuns
	// formerIncarnations holds what the former owner knew of the incarnations of workers.
	formerIncarnations map[WorkerID]FencedIncarnation
	// formerRequestsEnd is when the last request of a former owner has been carried out; zero if there was none.
	formerRequestsEnd time.Time
	// formerWorkers holds the workers that a former owner may have known, and those that this one has forgotten.
	formerWorkers map[WorkerID]bool

	// tenants holds what each tenant uses, and doubtfulCapacity how much the unresolvedWorkers can hold.
	tenants          *quota.Book
	doubtfulCapacity Resources
	shares           shares
	// unrated holds the jobs of tenants that were added since the last Plan.
	unrated []*Job

	dirty changedJobs
	// urgentJobs holds the jobs with steps whose start waits for a durable record.
	urgentJobs    map[*Job]bool
	actions       []Action
	takenActions  []Action          // the actions of the last decision, whose memory the next but one uses
	unstartedJobs map[string]int    // number of jobs without a started task, by queue
	stops         map[*attempt]bool // attempts that are being stopped
	barring       map[*worker]bool  // restarted workers that must not carry out late copies of starts
	lateStarts    lateStarts
	// suspects holds the tasks with suspicions by the worker that a suspicion names, and repeatSuspects those with
	// at least crashesToFail suspicions.
	suspects       map[WorkerID]map[taskRef]bool
	repeatSuspects map[taskRef]bool
	recordedStarts []recordedStart // starts that wait for a record
	lastCheck      time.Time       // last check for expired leases and stalled tasks
	lastPlan       time.Time
	lastDownReport time.Time // last report on long-running tasks that are down
	lastWaitReport time.Time // last report on tasks that wait
	// lastUnconfirmedReport is the last report on tasks with starts that are not known to run.
	lastUnconfirmedReport time.Time
	began                 time.Time // where clock counts from; zero before its first call
	startsSinceReport     startCounts
	interferenceModel     *interferenceModel
	lookAhead                 // what placement expects of tasks and workers
	openQuestions         int // questions to the adviser without an answer
	// ownedUntil is the time until which no other owner can have taken over.
	ownedUntil time.Time
	events     []Event
}

// Timing holds the durations that the state machine depends on.
type Timing struct {
	// StopRetryDelay is the pause before a stop is sent again, as long as its attempt is not known to
	// be gone.
	StopRetryDelay time.Duration
	// LeaseTTL is the time after which a lease that this owner has requested has certainly ended, counted from the request.
	LeaseTTL time.Duration
	// StartLeaseTTL is the same for the lease that a start grants.
	StartLeaseTTL time.Duration
	// LongestLeaseTTL is the same for the longest lease that workers grant. A worker that has started again under its id may
	// have granted that to a request that was meant for its former incarnation, whose clock was ahead; an owner that did not
	// see the restart knows nothing of it. It counts as LeaseTTL if it is less.
	LongestLeaseTTL time.Duration
}

// Event is a decision to be logged, with its reason in Detail.
type Event struct {
	Name   string
	Job    string
	Task   TaskID
	Run    int64
	Worker WorkerID
	// Incarnation is the one of the worker that a start is meant for; 0 for other events.
	Incarnation int64
	Detail      string
	Inputs      string // what decided, if Detail does not say it
}

// New returns an empty state for the owner with the given epoch.
func New(epoch int64, timing Timing) *State {
	return &State{
		epoch:              epoch,
		timing:             timing,
		maxStarts:          math.MaxInt,
		jobs:               map[string]*Job{},
		workers:            map[WorkerID]*worker{},
		fresh:              freshSteps{},
		lastTrials:         map[string]time.Time{},
		scheduled:          map[*occurrence]*Job{},
		unresolvedWorkers:  map[WorkerID]time.Time{},
		lateRuns:           map[WorkerID]LateRuns{},
		formerIncarnations: map[WorkerID]FencedIncarnation{},
		formerWorkers:      map[WorkerID]bool{},
		tenants:            quota.NewBook(),
		dirty:              newChangedJobs(),
		urgentJobs:         map[*Job]bool{},
		unstartedJobs:      map[string]int{},
		stops:              map[*attempt]bool{},
		barring:            map[*worker]bool{},
		lateStarts:         lateStarts{byTask: map[lateStartKey][]lateStart{}},
		suspects:           map[WorkerID]map[taskRef]bool{},
		repeatSuspects:     map[taskRef]bool{},
		interferenceModel:  newInterferenceModel(),
		lookAhead:          newLookAhead(),
	}
}

// SetConfig puts a configuration in force. An older version is ignored.
func (s *State) SetConfig(c Config) {
	if c.Version < s.config.Version {
		return
	}
	if c.Version > s.config.Version {
		s.leastPriority = c.leastPriority()
	}
	s.config = c
}

// ConfirmConfig notes that the store holds no newer configuration than the one in force, so that jobs that were accepted under one
// up to a version do not wait for it.
func (s *State) ConfirmConfig(version int64) { s.confirmedVersion = max(s.confirmedVersion, version) }

// AwaitedConfig returns the version of the newest configuration that waiting tasks need and that is not in force; 0 if there is
// none.
func (s *State) AwaitedConfig() int64 {
	var newest int64
	for st := range s.open.all() {
		if s.awaitsConfig(st) {
			newest = max(newest, st.job.ConfigVersion)
		}
	}
	return newest
}

// awaitsConfig reports whether the job of a step was accepted under a newer configuration than the one in force. Its tasks must
// not show that one while this instance still serves the older one.
func (s *State) awaitsConfig(st *step) bool {
	return st.job.ConfigVersion > max(s.config.Version, s.confirmedVersion)
}

// Services returns the services that the configuration in force names, some of them repeatedly.
func (s *State) Services() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, service := range s.config.Services {
			if !yield(service) {
				return
			}
		}
		for _, q := range s.config.Queues {
			if !yield(q.Service) {
				return
			}
		}
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
