package batch

import "time"

// WorkerID names a worker; it may be reborn under the same id.
type WorkerID string

// TaskID names a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Queue is how the configuration treats the jobs of one queue.
type Queue struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Priority orders queues; 0 comes first.
	Priority    int `cbor:"2,keyasint,omitempty"`
	MaxAttempts int `cbor:"3,keyasint,omitempty"`
	// Stretch and Slack give the objective of a job: Stretch times its longest chain, and Slack more.
	Stretch float64       `cbor:"4,keyasint,omitempty"`
	Slack   time.Duration `cbor:"5,keyasint,omitempty"`
	// RequiresTicket says that a policy allows only some workers to run a step, which an adviser tells.
	RequiresTicket bool `cbor:"6,keyasint,omitempty"`
}

// Config is what the operators want, in one version.
type Config struct {
	Version int64
	Queues  map[string]Queue
	// Evacuated data centres get no new tasks.
	Evacuated map[string]bool
}

// WorkerInfo is what the registry says of a worker.
type WorkerInfo struct {
	ID          WorkerID
	Incarnation int64 // Unix milliseconds; identifies the life of the worker
	Service     string
	Address     string
	DataCentre  string
	Labels      []string
	Capacity    Resources
	Draining    bool
	// MinRemaining is the least time that a draining worker stays; 0 if it does not say.
	MinRemaining time.Duration
	// WarmUp says how much longer the worker is slow after its start.
	WarmUp time.Duration
}

// EndReason says how an attempt ended.
type EndReason uint8

// The endings.
const (
	EndDone           EndReason = iota + 1
	EndFailed                   // through its own fault or the worker's
	EndStopped                  // on our order
	EndLeaseExpired             // its lease ended
	EndGangBroken               // another member of its gang ended
	EndGangIncomplete           // the other members of its gang did not come
)

// RunningAttempt is an attempt that a worker lists as running.
type RunningAttempt struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	Percent    int
	// Measurement is the tail latency in milliseconds of a task with a latency target, else the
	// thousandths of a core in use.
	Measurement int64
}

// EndedAttempt is an attempt that a worker lists as ended.
type EndedAttempt struct {
	Seq        int64 // counts from 1 in each life of the worker
	Task       TaskID
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// Report is a worker's complete list of what runs there, and of the ends not yet acknowledged.
type Report struct {
	Incarnation int64
	Clock       int64 // the worker's clock in milliseconds when the list was made
	Running     []RunningAttempt
	Ended       []EndedAttempt
}

// Answer is the outcome of an order to a worker.
type Answer uint8

// The answers.
const (
	AnswerNone       Answer = iota // none arrived: the order may be executed, also later
	AnswerOK                       // executed
	AnswerRefused                  // certainly not executed, the worker is unwell
	AnswerExpired                  // certainly not executed, its time had passed
	AnswerStale                    // the run or a later one was stopped or has ended there
	AnswerNoCapacity               // certainly not executed, it does not fit
	AnswerFenced                   // another owner has a higher epoch
	AnswerInvalid                  // certainly not executed: the worker has another life, or the order is invalid
	AnswerNoTicket                 // certainly not executed, the ticket is missing or no longer valid
)

// ActionKind is what is to be ordered.
type ActionKind uint8

// The kinds of actions.
const (
	ActionStart ActionKind = iota + 1
	ActionStop
	ActionThrottle
	// ActionAdvise asks the adviser which of some workers may run a step.
	ActionAdvise
)

// Action is an order to a worker.
type Action struct {
	Kind        ActionKind
	Worker      WorkerID
	Address     string
	Incarnation int64
	Task        TaskID
	Run         int64
	// Payload and Checkpoint belong to a start.
	Payload    string
	Checkpoint string
	Ticket     string
	// Workers are those that the adviser is asked about.
	Workers []WorkerID
	// Percent belongs to a throttle.
	Percent int
	Reason  string
}

// JobStatus is what is shown of a job.
type JobStatus uint8

// The outcomes.
const (
	Queued JobStatus = iota
	Active
	Completed
	Failed
	Cancelled
)

// Terminal reports whether the job is over.
func (o JobStatus) Terminal() bool { return o >= Completed }

// String returns the name that logs use.
func (o JobStatus) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[o]
}
