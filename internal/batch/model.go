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
	// Advised says that a policy allows only some workers to run a step, which an adviser tells.
	Advised bool `cbor:"6,keyasint,omitempty"`
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
	ID         WorkerID
	Born       int64 // Unix milliseconds; identifies the life of the worker
	Service    string
	Address    string
	DataCentre string
	Labels     []string
	Capacity   Resources
	Draining   bool
	// Remaining is the least time that a draining worker stays; 0 if it does not say.
	Remaining time.Duration
	// Cold says how much longer the worker is slow after its start.
	Cold time.Duration
}

// Ending says how an attempt ended.
type Ending uint8

// The endings.
const (
	EndDone    Ending = iota + 1
	EndFailed         // through its own fault or the worker's
	EndStopped        // on our order
	EndLapsed         // its lease ended
	EndBroken         // another member of its gang ended
	EndAlone          // the other members of its gang did not come
)

// Running is an attempt that a worker lists as running.
type Running struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	Percent    int
	// Gauge is the tail latency in milliseconds of a task with a latency target, else the
	// thousandths of a core in use.
	Gauge int64
}

// Ended is an attempt that a worker lists as ended.
type Ended struct {
	Number     int64 // counts from 1 in each life of the worker
	Task       TaskID
	Run        int64
	How        Ending
	Checkpoint string
}

// Report is a worker's complete list of what runs there, and of the ends not yet acknowledged.
type Report struct {
	Born    int64
	Clock   int64 // the worker's clock in milliseconds when the list was made
	Running []Running
	Ended   []Ended
}

// Answer is the outcome of an order to a worker.
type Answer uint8

// The answers.
const (
	AnswerNone     Answer = iota // none arrived: the order may be executed, also later
	AnswerOK                     // executed
	AnswerRefused                // certainly not executed, the worker is unwell
	AnswerLate                   // certainly not executed, its time had passed
	AnswerOld                    // the run or a later one was stopped or has ended there
	AnswerNoRoom                 // certainly not executed, it does not fit
	AnswerFenced                 // another owner has a higher epoch
	AnswerOther                  // certainly not executed: the worker has another life, or the order is invalid
	AnswerNoTicket               // certainly not executed, the ticket is missing or no longer valid
)

// ActionKind is what is to be ordered.
type ActionKind uint8

// The kinds of actions.
const (
	ActionStart ActionKind = iota + 1
	ActionStop
	ActionPace
	// ActionAdvise asks the adviser which of some workers may run a step.
	ActionAdvise
)

// Action is an order to a worker.
type Action struct {
	Kind    ActionKind
	Worker  WorkerID
	Address string
	Born    int64
	Task    TaskID
	Run     int64
	// Payload and Checkpoint belong to a start.
	Payload    string
	Checkpoint string
	Ticket     string
	// Workers are those that the adviser is asked about.
	Workers []WorkerID
	// Percent belongs to a pace.
	Percent int
	Reason  string
}

// Outcome is what is shown of a job.
type Outcome uint8

// The outcomes.
const (
	Queued Outcome = iota
	Active
	Completed
	Failed
	Cancelled
)

// Terminal reports whether the job is over.
func (o Outcome) Terminal() bool { return o >= Completed }

// String returns the name that logs use.
func (o Outcome) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[o]
}
