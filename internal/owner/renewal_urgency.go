package owner

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/admission"
	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// renewalInterval is the time after which the renewal of a lease is urgent. Most of the lease is left then, since many tries
// may be needed.
func (l *leader) renewalInterval() time.Duration { return l.owner.opts.MaxWorkerLease / 3 }

// admit waits until the next call may be made. The call of a worker with tasks is delayed up to renewalDue at most, and the wait
// of a worker without tasks ends when one is started there. It returns false if ctx ends first.
func (rn *renewer) admit(ctx context.Context) bool {
	for ctx.Err() == nil {
		rn.noteStarts()
		class := rn.class(time.Now())
		if rn.acquire(ctx, class) {
			return true
		}
	}
	return false
}

// acquire waits until a call of a class may be made. It returns false if ctx ends first, or the class has changed.
func (rn *renewer) acquire(ctx context.Context, class admission.Class) bool {
	limiter, request := rn.leader.limiter, admission.Request{Class: class}
	switch class {
	case admission.Report:
		if now := time.Now(); rn.mayKeepTasks(now) {
			request.Due = rn.reportDue(now)
			rn.waitsUntil.Store(request.Due.UnixNano())
			defer rn.waitsUntil.Store(0)
			untilDue, cancel := context.WithDeadline(ctx, rn.renewalDue)
			defer cancel()
			return limiter.AcquireUnless(untilDue, request, rn.started)
		}
	case admission.Look:
		return limiter.AcquireUnless(ctx, request, rn.started)
	}
	return limiter.Acquire(ctx, request)
}

// reportDue returns by when the next report should be asked for: before somebody needs it, and before the lease is urgent. It is
// zero if no lease lasts there, so that workers that are gone do not come before others.
func (rn *renewer) reportDue(now time.Time) time.Time {
	if !rn.mayKeepTasks(now) {
		return time.Time{}
	}
	return earliest(rn.neededBy, rn.renewalDue)
}

// sentStarts are starts that were sent to a worker.
type sentStarts struct {
	lastAt   time.Time // when the newest was sent
	neededBy time.Time // by when the next report is needed since then
}

// startSent tells the renewer that a start was sent to the worker, and by when the next report is needed since then. It is called
// by the loop only.
func (rn *renewer) startSent(now, neededBy time.Time) {
	rn.newStarts.Store(&sentStarts{lastAt: now, neededBy: neededBy})
	if until := rn.waitsUntil.Load(); until != 0 && (neededBy.IsZero() || until <= neededBy.UnixNano()) {
		return // it waits for its report already, which is due no later
	}
	select {
	case rn.started <- struct{}{}:
	default:
	}
}

// noteStarts notes the newest start that was sent to the worker: a task may run there, under the lease that the start grants at
// least.
func (rn *renewer) noteStarts() {
	starts := rn.newStarts.Swap(nil)
	if starts == nil {
		return
	}
	rn.lastStart, rn.runsTasks, rn.neededBy = starts.lastAt, true, earliest(rn.neededBy, starts.neededBy)
	rn.leaseEnd = batch.LaterOf(rn.leaseEnd, starts.lastAt.Add(maxLeaseDuration(startWindow)))
}

// contactDeadline returns until when the worker may be without an answer until it counts as unreachable. If it is known to
// lose answers, or repetitions wait so that few of them are sent in the usual time, it gets until its lease is urgent and a
// while longer: out of contact it would lose the lease, although it may be sound.
func (rn *renewer) contactDeadline(usual time.Time, lossy bool) time.Time {
	if !rn.runsTasks || !lossy && !rn.leader.limiter.IsOverloaded(time.Now()) {
		return usual
	}
	return batch.LaterOf(usual, rn.renewalDue.Add(lossyTimeout))
}

// mayKeepTasks reports whether tasks may run on the worker under a lease that lasts, so that a renewal may still come in time.
func (rn *renewer) mayKeepTasks(now time.Time) bool { return rn.runsTasks && now.Before(rn.leaseEnd) }

// class returns the class of the calls that are made now.
func (rn *renewer) class(now time.Time) admission.Class {
	switch {
	case !rn.runsTasks:
		return admission.Look
	case !now.Before(rn.renewalDue) && rn.mayKeepTasks(now):
		return admission.Lease
	default:
		return admission.Report
	}
}
