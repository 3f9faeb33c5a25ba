package route

import (
	"context"
	"net/http"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// flight is one request from its arrival to its answer.
type flight struct {
	d    *Dispatcher
	r    Request
	pool *pool
	// sends is the number of attempts that were handed to a target.
	sends uint32
	// mayHaveRun says that an earlier attempt may have been executed.
	mayHaveRun bool
	// tried lists the targets of the attempts so far.
	tried []model.TargetID
}

// execute sends the request, and again to another target where the class, the verdict and
// the retry budget allow it.
func (f *flight) execute(ctx context.Context) (Response, *verdict.Error) {
	ctx, cancel := context.WithDeadline(ctx, f.r.Deadline)
	defer cancel()
	f.pool.budget.deposit()
	for {
		resp, err := f.attempt(ctx)
		if !f.retry(ctx, resp, err) {
			return resp, f.final(err)
		}
		f.d.meters.retried(f.r)
	}
}

// retry reports whether the request is sent again.
func (f *flight) retry(ctx context.Context, resp Response, err *verdict.Error) bool {
	if !f.retryable(resp, err) || ctx.Err() != nil {
		return false
	}
	return len(f.tried) < MaxAttempts && f.pool.hasOther(f.tried) && f.pool.budget.withdraw()
}

// retryable reports whether the outcome of the last attempt allows another one. Only the
// proof that it was not executed allows it for a class that is not idempotent.
func (f *flight) retryable(resp Response, err *verdict.Error) bool {
	if err == nil {
		return f.r.Class == model.Idempotent && isTemporary(resp.Status)
	}
	switch err.Reason {
	case verdict.ReasonTargetFailed, verdict.ReasonTruncated:
		return err.Verdict == verdict.NotRun || f.r.Class == model.Idempotent
	default:
		return false
	}
}

// isTemporary reports whether another target may well answer better.
func isTemporary(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// final returns the error for the caller: the request may have run if any attempt may.
func (f *flight) final(err *verdict.Error) *verdict.Error {
	if err == nil || err.Verdict != verdict.NotRun || !f.mayHaveRun {
		return err
	}
	return verdict.New(verdict.MayHaveRun, err.Reason, "an earlier attempt may have run; the last one: %s", err.Message)
}

// attempt waits for a slot and sends the request once. A target that is leaving by the
// time of the send does not count.
func (f *flight) attempt(ctx context.Context) (Response, *verdict.Error) {
	for {
		t, err := f.pool.acquire(ctx, f.r.Deadline, f.tried)
		if err != nil {
			return Response{}, err
		}
		resp, err := f.sendTo(ctx, t)
		if err == nil || err.Reason != reasonWithdrawn {
			f.tried = append(f.tried, t.ID)
			return resp, err
		}
	}
}

// sendTo sends the request to the target whose slot it holds, and frees the slot.
func (f *flight) sendTo(ctx context.Context, t *target) (Response, *verdict.Error) {
	f.sends++
	f.record("request.sent", entryDetail{target: t.ID, worker: t.Worker, attempt: f.sends})
	started := f.d.clock.Now()
	resp, err := f.d.sender.send(ctx, t, f.r, func() bool { return f.pool.isUsable(t) })
	f.pool.release(t, outcomeOf(err, f.d.clock.Now().Sub(started)))
	if err == nil || err.Verdict != verdict.NotRun {
		f.mayHaveRun = true
	}
	if err != nil {
		f.record("request.failed", entryDetail{target: t.ID, worker: t.Worker, attempt: f.sends, reason: err.Message, verdict: err.Verdict.String()})
	}
	return resp, err
}

// outcome is what an attempt tells about its target.
type outcome struct {
	answered bool
	took     time.Duration
	// failed says that the target did not give a whole answer by itself.
	failed bool
	// timedOut says that the deadline or the caller's departure ended the attempt.
	timedOut bool
}

// outcomeOf returns the outcome of an attempt.
func outcomeOf(err *verdict.Error, took time.Duration) outcome {
	if err == nil {
		return outcome{answered: true, took: took}
	}
	switch err.Reason {
	case verdict.ReasonTargetFailed, verdict.ReasonTruncated:
		return outcome{took: took, failed: true}
	case verdict.ReasonDeadline, verdict.ReasonCancelled:
		return outcome{took: took, timedOut: true}
	}
	return outcome{took: took}
}
