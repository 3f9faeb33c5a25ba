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
		now := time.Now()
		request = rn.reportRequest(now)
		if rn.mayKeepTasks(now) {
			rn.waitsFor.Store(&batch.Need{Priority: request.Priority, By: request.Due})
			defer rn.waitsFor.Store(nil)
			untilDue, cancel := withDeadline(ctx, rn.renewalDue)
			defer cancel()
			return limiter.AcquireUnless(untilDue, request, rn.started)
		}
	case admission.Look:
		return limiter.AcquireUnless(ctx, request, rn.started)
	}
	return limiter.Acquire(ctx, request)
}

// reportRequest returns the request to ask for the next report: before somebody needs it, and before the lease is urgent. It goes
// first while tasks may run there under the lease of a former owner, of which it is not known how long it lasts. It is due when it
// is made if no lease lasts there, so that workers that are gone do not come before others.
func (rn *renewer) reportRequest(now time.Time) admission.Request {
	if rn.mayHaveFormerLease(now) {
		return admission.Request{Class: admission.Report}
	}
	r := admission.Request{Class: admission.Report, Priority: int(rn.leader.leastPriority.Load())}
	if !rn.mayKeepTasks(now) {
		return r
	}
	r.Due = earliest(rn.need.By, rn.renewalDue)
	if !rn.need.By.IsZero() {
		r.Priority = rn.need.Priority
	}
	return r
}

// repeatedRequest returns the request to repeat a call.
func (rn *renewer) repeatedRequest(now time.Time) admission.Request {
	if class := rn.class(now); class != admission.Report {
		return admission.Request{Class: class, Repeated: true} // a lease that ends soon concerns all tasks there
	}
	r := rn.reportRequest(now)
	r.Repeated = true
	return r
}

// sentStarts are starts that were sent to a worker.
type sentStarts struct {
	lastAt time.Time  // when the newest was sent
	need   batch.Need // how soon the next report is needed since then
}

// startSent tells the renewer that a start was sent to the worker, and how soon the next report is needed since then. It is called
// by the loop only.
func (rn *renewer) startSent(now time.Time, need batch.Need) {
	rn.newStarts.Store(&sentStarts{lastAt: now, need: need})
	if waits := rn.waitsFor.Load(); waits != nil && !need.Before(*waits) {
		return // it waits for its report already, which goes no later
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
	rn.lastStart, rn.runsTasks, rn.need = starts.lastAt, true, batch.FirstNeed(rn.need, starts.need)
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

// mayHaveFormerLease reports whether tasks may run on the worker under the lease of a former owner, which this owner has not renewed.
func (rn *renewer) mayHaveFormerLease(now time.Time) bool {
	return rn.runsTasks && rn.leaseEnd.IsZero() && now.Sub(rn.began) < rn.leader.owner.opts.MaxWorkerLease
}

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
