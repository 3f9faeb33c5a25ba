package partition

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// The phases of a command. The loop sets phaseExecuted and the caller phaseWithdrawn, each only if
// the phase is still phasePending.
const (
	phasePending int32 = iota
	phaseExecuted
	phaseWithdrawn
)

// command is one call of the ledger. Its reply is sent once every record that the ledger had
// queued when it was executed is durable.
type command struct {
	phase atomic.Int32
	// deferrable says that the append of the command's records may be delayed by up to
	// maxAppendDeferral, so that it carries other records too.
	deferrable bool
	// readOnly says that the command changes nothing. It is answered after readDurabilityTimeout
	// even if what it read is not durable.
	readOnly bool
	// executedAt is when the command was executed.
	executedAt time.Time
	// replied says that the reply was sent, repliedEarly that it was sent before what the command
	// read was durable.
	replied, repliedEarly bool
	call                  func(l *ledger.Ledger, now time.Time) error
	err                   error
	done                  chan error
}

// execute runs the command unless its caller has withdrawn it. It reports whether it ran it.
func (c *command) execute(l *ledger.Ledger, now time.Time) bool {
	if !c.phase.CompareAndSwap(phasePending, phaseExecuted) {
		return false
	}
	c.executedAt = now
	c.err = c.call(l, now)
	return true
}

// reply sends the reply to the caller, unless one was sent before.
func (c *command) reply(err error) {
	if c.replied {
		return
	}
	c.replied = true
	c.done <- err
}

// do passes a change to the loop and waits until it is durable. The verdict of the error tells
// whether the change may take effect.
func (o *Owner) do(ctx context.Context, run func(l *ledger.Ledger, now time.Time) error) error {
	return o.enqueueAndWait(ctx, &command{call: run, done: make(chan error, 1)})
}

// readDurabilityTimeout is how long a read waits for what it read to become durable.
const readDurabilityTimeout = 500 * time.Millisecond

// update is do for a change that returns a value. The loop may execute the change while its
// caller gives up, so the value is passed by an atomic pointer.
func update[T any](ctx context.Context, o *Owner, run func(*ledger.Ledger, time.Time) (T, error)) (T, error) {
	var value atomic.Pointer[T]
	err := o.do(ctx, func(l *ledger.Ledger, now time.Time) error {
		v, err := run(l, now)
		value.Store(&v)
		return err
	})
	return loaded(&value), err
}

// query reads a value from the ledger. durable says that everything it read is durable.
func query[T any](ctx context.Context, o *Owner, run func(*ledger.Ledger) (T, error)) (found T, durable bool, err error) {
	var value atomic.Pointer[T]
	c := &command{readOnly: true, done: make(chan error, 1)}
	c.call = func(l *ledger.Ledger, _ time.Time) error {
		v, err := run(l)
		value.Store(&v)
		return err
	}
	if err := o.enqueueAndWait(ctx, c); err != nil {
		return loaded(&value), false, err
	}
	return loaded(&value), !c.repliedEarly, nil
}

// loaded returns the stored value, or the zero value if there is none.
func loaded[T any](value *atomic.Pointer[T]) T {
	if v := value.Load(); v != nil {
		return *v
	}
	var zero T
	return zero
}

// doDeferrable is do for a change whose append may be delayed, see command.deferrable.
func (o *Owner) doDeferrable(ctx context.Context, run func(l *ledger.Ledger, now time.Time) error) error {
	return o.enqueueAndWait(ctx, &command{call: run, deferrable: true, done: make(chan error, 1)})
}

// enqueueAndWait hands the command to the loop and waits for its reply.
func (o *Owner) enqueueAndWait(ctx context.Context, c *command) error {
	select {
	case o.commands <- c:
	case <-o.stopped:
		return errNotOwner(o.cfg.Partition)
	default:
		return verdict.New(verdict.NotRun, verdict.ReasonOverload,
			"partition %d has %d commands waiting", o.cfg.Partition, commandQueueSize)
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return o.withdraw(c, verdict.New(verdict.NotRun, verdict.ReasonDeadline,
			"partition %d did not execute the command in time", o.cfg.Partition))
	case <-o.stopped:
		return o.withdraw(c, errNotOwner(o.cfg.Partition))
	}
}

// withdraw withdraws the command and returns notRun if the loop has not executed it. Otherwise it
// returns the reply, or an error with the verdict MayHaveRun if there is none yet.
func (o *Owner) withdraw(c *command, notRun *verdict.Error) error {
	if c.phase.CompareAndSwap(phasePending, phaseWithdrawn) {
		return notRun
	}
	select {
	case err := <-c.done:
		return err
	default:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable,
			"partition %d could not make the change durable in time", o.cfg.Partition)
	}
}

// errNotOwner refuses a call because this instance does not own the partition.
func errNotOwner(p model.Partition) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonNotOwner, "this instance does not own partition %d", p)
}

// Submit accepts a job. It is idempotent by the job's id.
func (o *Owner) Submit(ctx context.Context, spec model.JobSpec) (ledger.JobStatus, error) {
	return update(ctx, o, func(l *ledger.Ledger, now time.Time) (ledger.JobStatus, error) {
		return l.Submit(now, spec)
	})
}

// Cancel cancels a job, see ledger.Ledger.Cancel.
func (o *Owner) Cancel(ctx context.Context, id model.JobID, reason string) (ledger.JobStatus, error) {
	return update(ctx, o, func(l *ledger.Ledger, now time.Time) (ledger.JobStatus, error) {
		return l.Cancel(now, id, reason)
	})
}

// Resume queues a parked job again.
func (o *Owner) Resume(ctx context.Context, id model.JobID) (ledger.JobStatus, error) {
	return update(ctx, o, func(l *ledger.Ledger, now time.Time) (ledger.JobStatus, error) {
		if err := l.Resume(now, id); err != nil {
			return ledger.JobStatus{}, err
		}
		status, _ := l.Job(id)
		return status, nil
	})
}

// AcceptTransfer accepts a job from another partition. It is idempotent.
func (o *Owner) AcceptTransfer(ctx context.Context, from model.Partition, t ledger.Transfer) error {
	return o.do(ctx, func(l *ledger.Ledger, now time.Time) error {
		return l.AcceptTransfer(now, from, t)
	})
}

// Claim claims a request key. If it is refused because the key is claimed already, it returns the
// existing claim together with the error.
func (o *Owner) Claim(ctx context.Context, c ledger.ClaimRequest) (ledger.Claim, error) {
	return update(ctx, o, func(l *ledger.Ledger, now time.Time) (ledger.Claim, error) {
		return l.Claim(now, c)
	})
}

// Settle records the outcome of a claimed request, see ledger.Ledger.Settle.
func (o *Owner) Settle(ctx context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error {
	return o.doDeferrable(ctx, func(l *ledger.Ledger, now time.Time) error {
		return l.Settle(now, key, holder, v)
	})
}

// JobView is the state of a job in the ledger.
type JobView struct {
	Status  ledger.JobStatus
	History []ledger.HistoryEntry
	// Durable says that everything in the view is durable. Otherwise a new owner may load an
	// earlier state.
	Durable bool
}

// Job returns the status and the history of a job.
func (o *Owner) Job(ctx context.Context, id model.JobID) (JobView, error) {
	view, durable, err := query(ctx, o, func(l *ledger.Ledger) (JobView, error) {
		status, found := l.Job(id)
		if !found {
			return JobView{}, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "no job %s", id)
		}
		return JobView{Status: status, History: l.History(id)}, nil
	})
	view.Durable = durable
	return view, err
}

// Jobs returns the jobs of a team, or of all teams if team is empty.
func (o *Owner) Jobs(ctx context.Context, team model.Team) ([]ledger.JobStatus, error) {
	found, _, err := query(ctx, o, func(l *ledger.Ledger) ([]ledger.JobStatus, error) {
		var found []ledger.JobStatus
		for _, status := range l.Jobs() {
			if team == "" || status.Spec.Team == team {
				found = append(found, status)
			}
		}
		return found, nil
	})
	return found, err
}

// claimView is the claim of a request key, if there is one.
type claimView struct {
	claim ledger.Claim
	found bool
}

// LookupClaim returns the claim of a request key, and whether there is one.
func (o *Owner) LookupClaim(ctx context.Context, key model.RequestKey) (ledger.Claim, bool, error) {
	view, _, err := query(ctx, o, func(l *ledger.Ledger) (claimView, error) {
		claim, found := l.LookupClaim(key)
		return claimView{claim: claim, found: found}, nil
	})
	return view.claim, view.found, err
}
