package batch

import "time"

// WorkerID identifies a worker. A worker keeps its id when it restarts; see WorkerInfo.Incarnation.
type WorkerID string

// TaskID identifies a task.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// Queue is the configuration for the jobs of one queue.
type Queue struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Priority orders the queues; 0 is the most urgent.
	Priority    int `cbor:"2,keyasint,omitempty"`
	MaxAttempts int `cbor:"3,keyasint,omitempty"`
	// Stretch and Slack give the time within which a job should complete: Stretch times the length of
	// its critical path, plus Slack.
	Stretch float64       `cbor:"4,keyasint,omitempty"`
	Slack   time.Duration `cbor:"5,keyasint,omitempty"`
	// RequiresTicket is set if a policy allows only some workers to run a step. An adviser, which is
	// an external service, then grants a ticket for each allowed worker.
	RequiresTicket bool `cbor:"6,keyasint,omitempty"`
}

// Tenant is the configuration of a tenant, whose jobs share the workers with those of the others.
type Tenant struct {
	// Weight is the tenant's share of the workers, relative to the other weights, while all are full, and the number of
	// jobs a second that are not put behind those of others then. Weights of 0 or less count as 1.
	Weight float64
	// Cap bounds the resources of the tenant's tasks on all workers together. A resource whose cap is 0 is not bounded.
	Cap Resources
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Queues  map[string]Queue
	// Services are the services of workers, besides those that queues name.
	Services []string
	// Tenants are the tenants by name; empty if the deployment has none.
	Tenants map[string]Tenant
	// Evacuated data centres get no new tasks.
	Evacuated map[string]bool
}

// WorkerInfo is the registry's entry of a worker.
type WorkerInfo struct {
	ID          WorkerID
	Incarnation int64 // Unix milliseconds; start time of the worker, which tells its restarts apart
	Service     string
	Address     string
	DataCentre  string
	Labels      []string
	Capacity    Resources
	Draining    bool
	// MinRemaining is the least time for which a draining worker keeps running; 0 if not known.
	MinRemaining time.Duration
	// WarmUp is how much longer the worker will be slow after its start.
	WarmUp time.Duration
}

// EndReason is the reason for the end of an attempt.
type EndReason uint8

// The reasons for the end of an attempt.
const (
	EndDone           EndReason = iota + 1
	EndFailed                   // through a fault of the task or of the worker
	EndStopped                  // requested by the owner
	EndLeaseExpired             // the worker's lease ended
	EndGangBroken               // another task of its gang ended
	EndGangIncomplete           // the other tasks of its gang did not start
	EndUnknown                  // the worker's reason cannot be read
)

// RunningAttempt is an attempt that a worker reports as running.
type RunningAttempt struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	Percent    int
	// Measurement is the tail latency in milliseconds if the task has a latency target, otherwise
	// the CPU in use in thousandths of a core.
	Measurement int64
}

// EndedAttempt is an attempt that a worker reports as ended.
type EndedAttempt struct {
	Seq        int64 // counts from 1 in each incarnation of the worker
	Task       TaskID
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// Report is a worker's list of its running attempts and of the ended attempts that the owner has not
// acknowledged yet.
type Report struct {
	Incarnation int64
	// RequestedAt is when the owner sent the request for the report, on the owner's clock.
	RequestedAt time.Time
	Clock       int64 // time on the worker's clock when the report was made, in milliseconds
	Running     []RunningAttempt
	Ended       []EndedAttempt
	// Incomplete is set if attempts that the worker knows of may be missing, so that absence proves
	// nothing. The next reports bring them, unless Unreadable is set: the report names attempts in a form that
	// cannot be read.
	Incomplete bool
	Unreadable bool
	// Unfenced is set if the request showed no higher fencing token than requests for former incarnations of the worker, which
	// it carries out until it has seen one, also seconds after they were sent.
	Unfenced bool
}

// Answer is the outcome of a request to a worker.
type Answer uint8

// The answers.
const (
	AnswerNone       Answer = iota // no answer arrived: the request may have been executed or may be executed later
	AnswerOK                       // executed
	AnswerRefused                  // certainly not executed: the worker is unhealthy
	AnswerExpired                  // certainly not executed: it arrived after its last valid time
	AnswerStale                    // the run or a later one of the task was stopped or has ended there
	AnswerNoCapacity               // certainly not executed: the task's resources are not free
	AnswerFenced                   // another owner has a higher epoch
	AnswerInvalid                  // certainly not executed: the worker has another incarnation, or the request is invalid
	AnswerNoTicket                 // certainly not executed: the ticket is missing or no longer valid
	AnswerOKRepeated               // executed, but a copy of the request got no answer and may be executed later
	AnswerUnsent                   // certainly not executed: it was not sent, for a reason that is not the worker's
	// AnswerNoneToOne is AnswerNone for a start of which only one copy was sent.
	AnswerNoneToOne
)

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions.
const (
	ActionStart ActionKind = iota + 1
	ActionStop
	ActionThrottle
	// ActionAdvise asks the adviser which of some workers may run a step.
	ActionAdvise
)

// Action is a request to a worker, or a question to the adviser.
type Action struct {
	Kind        ActionKind
	Worker      WorkerID
	Address     string
	Incarnation int64
	Task        TaskID
	Run         int64
	// Payload, Checkpoint, Ticket and Need are set for ActionStart.
	Payload    string
	Checkpoint string
	Ticket     string
	// Need is how soon a start should be sent for the objective of its job.
	Need Need
	// Workers are the workers to ask the adviser about, for ActionAdvise.
	Workers []WorkerID
	// Percent is the CPU limit, for ActionThrottle.
	Percent int
	Reason  string
}

// JobStatus is the status of a job as shown to callers.
type JobStatus uint8

// The statuses of a job. Those from Completed on are final.
const (
	Queued JobStatus = iota
	Active
	Completed
	Failed
	Cancelled
)

// Terminal reports whether the job has ended.
func (o JobStatus) Terminal() bool { return o >= Completed }

// String returns the name used in logs.
func (o JobStatus) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[o]
}
