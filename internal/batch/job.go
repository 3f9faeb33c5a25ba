package batch

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/forecast"
	"github.com/geraniumwick/geraniumwick/internal/quota"
	"github.com/geraniumwick/geraniumwick/internal/workerspeed"
)

// runsPerEpoch is the distance between the first run numbers of two successive epochs. It lets each
// owner give higher run numbers than all former owners without a stored record of each start.
const runsPerEpoch = 10_000

// Job is an accepted job.
type Job struct {
	ID    string
	Queue string
	// Tenant is the tenant that submitted the job; empty for a job that was submitted without an API key.
	Tenant   string
	Accepted time.Time
	// Revision is the revision of the store at which the job was accepted. If the same id is submitted again after the job was
	// removed, the other job has a higher one.
	Revision int64
	Spec     Spec
	// QueueConfig is the queue as it was configured when the job was accepted, and ConfigVersion the version of that
	// configuration; 0 if it is not known.
	QueueConfig   Queue
	ConfigVersion int64

	account        *quota.Account // of its tenant; nil if it has none
	excess         bool           // its tenant has submitted it beyond its rate
	outcome        JobStatus
	durableOutcome JobStatus // the outcome that the store holds
	started        bool      // a worker has started a task, under any owner
	cancelled      bool
	occs           []*occurrence
	attempts       int       // attempts that may run
	idleSince      time.Time // when the last of them ended
	changedAt      time.Time
	// changedSeq, takenSeq and storedSeq are the sequence numbers of the newest change of the job, of the newest one that was
	// taken for the store, and of the newest one that the store holds. See changedJobs.
	changedSeq, takenSeq, storedSeq uint64
	criticalPath                    time.Duration // longest sum of estimates along dependent steps
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
	image               string // imageKey of the spec's image
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
	// lastFailedOn is the worker on which a task of the step failed last, as far as this owner knows.
	lastFailedOn WorkerID
	// suspect is set if tasks of the step have failed on several workers and nothing shows that it works.
	suspect bool
	waits   stepWaits
	// durations is what was learned of how long such tasks run; nil until it is needed.
	durations *forecast.History
	// peers holds the rates of progress of its attempts.
	peers workerspeed.Peers
	// isOpen and isListed are set if the step is among State.open, and if that holds an entry for it.
	isOpen, isListed bool
}

// task is the state of one task.
type task struct {
	done bool
	// heldBy is why the task waits, unless its step does so as a whole; see taskRef.heldBy.
	heldBy waitReason
	// unresolved is set if a former owner may have started the task on one of the unresolvedWorkers.
	// The task waits until none of these is left, or until a worker reports it.
	unresolved bool
	// doubted is set while the task counts among what its tenant may be using under a former owner.
	doubted  bool
	attempts []*attempt
	failed   []int64 // runs that ended failed; empty for a long-running task
	// recordedFailures is how many of failed, from the first on, the store holds.
	recordedFailures int
	// startableSince is since when the task could run but for the owner's reasons, and heldSince when heldBy last
	// changed, both as State.clock counts. startableSince is 0 if no start is needed.
	startableSince, heldSince time.Duration
	lastRun                   int64
	// downSince is when a long-running task was last known to run; zero if this owner has not seen it run.
	downSince  time.Time
	checkpoint string
	// checkpointRun is the run that saved the checkpoint; 0 if a former owner knew it.
	checkpointRun int64
	lastWorker    WorkerID
	// suspicions are the starts since the task last proved itself after which the worker was or may be lost.
	suspicions []Suspicion
	// lostAt is when the worker of the newest suspicion was last in contact with the task.
	lostAt time.Time
}

// noteCheckpoint notes the checkpoint that a run has saved, unless that of a later run is known. It reports
// whether the checkpoint was noted.
func (t *task) noteCheckpoint(checkpoint string, run int64) bool {
	if run < t.checkpointRun {
		return false
	}
	t.checkpoint, t.checkpointRun = checkpoint, run
	return true
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
			image:               imageKey(spec.Image),
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

// expand creates the steps of all occurrences.
func (j *Job) expand() {
	for k := range j.Spec.Occurrences() {
		j.occs = append(j.occs, newOccurrence(j, k))
	}
}
