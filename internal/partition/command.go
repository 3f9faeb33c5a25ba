package partition

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// The phases of a command. Only one side can leave phasePending.
const (
	phasePending int32 = iota
	phaseExecuted
	phaseAbandoned
)

// command is one change asked of the ledger. Its reply waits until every record that the
// ledger held at that moment is durable.
type command struct {
	phase atomic.Int32
	// deferrable says that the caller does not wait for the reply, so that the records need
	// not cause an append of their own.
	deferrable bool
	// read says that the command changes nothing, so it is answered after readPatience even
	// if what it saw is not durable.
	read bool
	// at is when the command was executed.
	at time.Time
	// replied says that the reply went out; unsettled that it was given early.
	replied, unsettled bool
	run                func(l *ledger.Ledger, now time.Time) error
	err                error
	done               chan error
}

// execute runs the command unless its caller has given up.
func (c *command) execute(l *ledger.Ledger, now time.Time) bool {
	if !c.phase.CompareAndSwap(phasePending, phaseExecuted) {
		return false
	}
	c.at = now
	c.err = c.run(l, now)
	return true
}

// reply gives the command its answer, once.
func (c *command) reply(err error) {
	if c.replied {
		return
	}
	c.replied = true
	c.done <- err
}

// do passes a change to the loop and waits until it is durable. The error says by its
// verdict whether the change may take effect.
func (o *Owner) do(ctx context.Context, run func(l *ledger.Ledger, now time.Time) error) error {
	return o.pass(ctx, &command{run: run, done: make(chan error, 1)})
}

// readPatience is how long a read waits for what it saw to become durable.
const readPatience = 500 * time.Millisecond

// change is do for a change with a value. The loop may execute it after its caller has given
// up, so the value is handed over whole.
func change[T any](ctx context.Context, o *Owner, run func(*ledger.Ledger, time.Time) (T, error)) (T, error) {
	var value atomic.Pointer[T]
	err := o.do(ctx, func(l *ledger.Ledger, now time.Time) error {
		v, err := run(l, now)
		value.Store(&v)
		return err
	})
	return loaded(&value), err
}

// look reads a value. It reports whether all that it saw is durable.
func look[T any](ctx context.Context, o *Owner, run func(*ledger.Ledger) (T, error)) (found T, settled bool, err error) {
	var value atomic.Pointer[T]
	c := &command{read: true, done: make(chan error, 1)}
	c.run = func(l *ledger.Ledger, _ time.Time) error {
		v, err := run(l)
		value.Store(&v)
		return err
	}
	if err := o.pass(ctx, c); err != nil {
		return loaded(&value), false, err
	}
	return loaded(&value), !c.unsettled, nil
}

// loaded returns the value, or the zero value if none was stored.
func loaded[T any](value *atomic.Pointer[T]) T {
	if v := value.Load(); v != nil {
		return *v
	}
	var none T
	return none
}

// doDeferrable is do for a change that need not cause an append of its own.
func (o *Owner) doDeferrable(ctx context.Context, run func(l *ledger.Ledger, now time.Time) error) error {
	return o.pass(ctx, &command{run: run, deferrable: true, done: make(chan error, 1)})
}

// pass hands the command to the loop and waits for its reply.
func (o *Owner) pass(ctx context.Context, c *command) error {
	select {
	case o.commands <- c:
	case <-o.stopped:
		return errNotOwner(o.cfg.Partition)
	default:
		return verdict.New(verdict.NotRun, verdict.ReasonOverload,
			"partition %d has %d commands waiting", o.cfg.Partition, commandBound)
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return o.abandon(c, verdict.New(verdict.NotRun, verdict.ReasonDeadline,
			"partition %d did not get to the command in time", o.cfg.Partition))
	case <-o.stopped:
		return o.abandon(c, errNotOwner(o.cfg.Partition))
	}
}

// abandon withdraws the command if the loop has not executed it, which proves notRun.
func (o *Owner) abandon(c *command, notRun *verdict.Error) error {
	if c.phase.CompareAndSwap(phasePending, phaseAbandoned) {
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
	return change(ctx, o, func(l *ledger.Ledger, now time.Time) (ledger.JobStatus, error) {
		return l.Submit(now, spec)
	})
}

// Cancel withdraws a job.
func (o *Owner) Cancel(ctx context.Context, id model.JobID, reason string) (ledger.JobStatus, error) {
	return change(ctx, o, func(l *ledger.Ledger, now time.Time) (ledger.JobStatus, error) {
		return l.Cancel(now, id, reason)
	})
}

// Resume queues a parked job again.
func (o *Owner) Resume(ctx context.Context, id model.JobID) (ledger.JobStatus, error) {
	return change(ctx, o, func(l *ledger.Ledger, now time.Time) (ledger.JobStatus, error) {
		if err := l.Resume(now, id); err != nil {
			return ledger.JobStatus{}, err
		}
		status, _ := l.Job(id)
		return status, nil
	})
}

// AcceptTransfer takes a job over from another partition. It is idempotent.
func (o *Owner) AcceptTransfer(ctx context.Context, from model.Partition, t ledger.Transfer) error {
	return o.do(ctx, func(l *ledger.Ledger, now time.Time) error {
		return l.AcceptTransfer(now, from, t)
	})
}

// Claim takes a request key. The claim that holds the key already comes with the refusal.
func (o *Owner) Claim(ctx context.Context, c ledger.ClaimRequest) (ledger.Claim, error) {
	return change(ctx, o, func(l *ledger.Ledger, now time.Time) (ledger.Claim, error) {
		return l.Claim(now, c)
	})
}

// Settle ends a claim with a verdict.
func (o *Owner) Settle(ctx context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error {
	return o.doDeferrable(ctx, func(l *ledger.Ledger, now time.Time) error {
		return l.Settle(now, key, holder, v)
	})
}

// JobView is a job as the ledger knows it.
type JobView struct {
	Status  ledger.JobStatus
	History []ledger.HistoryEntry
	// Durable says that everything in the view is durable. Otherwise a new owner may know
	// an earlier state.
	Durable bool
}

// Job returns what the ledger knows of a job.
func (o *Owner) Job(ctx context.Context, id model.JobID) (JobView, error) {
	view, settled, err := look(ctx, o, func(l *ledger.Ledger) (JobView, error) {
		status, found := l.Job(id)
		if !found {
			return JobView{}, verdict.New(verdict.NotRun, verdict.ReasonUnknownID, "no job %s", id)
		}
		return JobView{Status: status, History: l.History(id)}, nil
	})
	view.Durable = settled
	return view, err
}

// Jobs returns the jobs of a team, or of all teams if team is empty.
func (o *Owner) Jobs(ctx context.Context, team model.Team) ([]ledger.JobStatus, error) {
	found, _, err := look(ctx, o, func(l *ledger.Ledger) ([]ledger.JobStatus, error) {
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

// claimView is what the ledger knows of a request key.
type claimView struct {
	claim ledger.Claim
	found bool
}

// LookupClaim returns what the ledger knows of a request key.
func (o *Owner) LookupClaim(ctx context.Context, key model.RequestKey) (ledger.Claim, bool, error) {
	view, _, err := look(ctx, o, func(l *ledger.Ledger) (claimView, error) {
		claim, found := l.LookupClaim(key)
		return claimView{claim: claim, found: found}, nil
	})
	return view.claim, view.found, err
}
