package owner

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// nextRequest returns the request of the next call. It renews the lease if the parameters allow that: a renewal may take
// effect even if its response is lost. An unreachable worker is sent none, since the recorded end of its lease would become
// wrong.
func (rn *renewer) nextRequest(now time.Time) RenewRequest {
	incarnation, token := rn.leader.incarnations.newest(rn.info.ID)
	r := RenewRequest{Recipient: Recipient{Worker: rn.info.ID, Address: rn.info.Address, FencingToken: token}}
	if incarnation != rn.incarnation {
		return r // the parameters are for a former one
	}
	r.AckSeq, r.MaxWait = rn.params.ackSeq, rn.params.reportWait(now)
	if rn.params.renew {
		r.LeaseEnd = rn.nextLeaseEnd(now)
	}
	if r.LeaseEnd != 0 {
		rn.leaseEnd = now.Add(rn.leader.workerLeaseExpiry())
	}
	if r.LeaseEnd != 0 || r.AckSeq != 0 {
		r.Incarnation = incarnation
	}
	return r
}

// nextLeaseEnd returns the end of the lease to request, on the worker's clock in milliseconds; 0 while the
// owner may not act.
func (rn *renewer) nextLeaseEnd(now time.Time) int64 {
	if !rn.leader.mayAct() {
		return 0
	}
	return rn.clock.now(now) + rn.leader.owner.opts.MaxWorkerLease.Milliseconds()
}

// repetition returns the request that follows one without an answer. It has the same end of the lease, so it does nothing
// that the first one may not still do. It acknowledges nothing, since the worker may have been restarted meanwhile. If a
// connection broke, that is likely, and it renews nothing either: the clock of the lease's end has begun anew.
func (r RenewRequest) repetition(broken bool) RenewRequest {
	r.AckSeq, r.MaxWait = 0, 0
	if broken {
		r.LeaseEnd = 0
	}
	return r
}

// request makes one request.
func (rn *renewer) request(ctx context.Context, r RenewRequest, timeout time.Duration) renewal {
	ctx, cancel := withTimeout(ctx, timeout)
	defer cancel()
	now, kind := time.Now(), callLook
	if r.LeaseEnd != 0 {
		kind = callRenewal
	}
	rn.leader.beginCall()
	report, answer := rn.leader.owner.workers.RenewLease(ctx, r)
	rn.leader.endCall(kind, rn.requests, answer)
	report.RequestedAt = now
	if answer == batch.AnswerOK {
		rn.leader.incarnations.note(rn.info.ID, report.Incarnation)
	}
	_, token := rn.leader.incarnations.newest(rn.info.ID)
	report.Unfenced = r.FencingToken != token
	if answer == batch.AnswerFenced && report.Unfenced {
		answer = batch.AnswerNone // the worker has seen this owner's token for its newer incarnation
	}
	return renewal{
		report: report, answer: answer, request: r, broken: answer == batch.AnswerNone && !hasPassed(ctx),
		renewed: r.LeaseEnd != 0 && (answer != batch.AnswerOK || report.Incarnation == 0 || report.Incarnation == r.Incarnation),
	}
}

// isOfFormerIncarnation reports whether a report is that of another incarnation than the newest one that is known.
func (rn *renewer) isOfFormerIncarnation(r batch.Report) bool {
	newest, _ := rn.leader.incarnations.newest(rn.info.ID)
	return r.Incarnation != 0 && r.Incarnation < newest
}

// followIncarnation drops what the renewer knows of a former incarnation if a report is that of another one. A report that does not
// say which one has made it is taken for one of the same.
func (rn *renewer) followIncarnation(outcome renewal) {
	incarnation := outcome.report.Incarnation
	if incarnation == 0 || incarnation == rn.incarnation {
		return
	}
	rn.logOtherIncarnation(outcome)
	rn.incarnation, rn.params, rn.clock = incarnation, renewalParams{}, workerClock{}
	rn.generation++
}

// logOtherIncarnation logs that another incarnation has answered than the one that the request was meant for, with what the
// request held. Times on the former one's clock, and its sequence numbers, mean nothing to it.
func (rn *renewer) logOtherIncarnation(outcome renewal) {
	if rn.incarnation == 0 {
		return // the first report
	}
	rn.leader.log.Info().Str("event", "worker.other-incarnation").Str("worker", string(rn.info.ID)).
		Int64("meant", rn.incarnation).Int64("answered", outcome.report.Incarnation).
		Bool("renewed", outcome.request.LeaseEnd != 0).Int64("acknowledged", outcome.request.AckSeq).Send()
}
