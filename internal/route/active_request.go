package route

import (
	"context"
	"net/http"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// activeRequest is the state of one request from its arrival to its response.
type activeRequest struct {
	dispatcher *Dispatcher
	request    Request
	pool       *pool
	// sends is the number of attempts, including those withdrawn before anything was sent.
	sends uint32
	// mayHaveRun is set once an attempt may have been executed.
	mayHaveRun bool
	// tried lists the targets of the attempts so far.
	tried []model.TargetID
}

// execute sends the request. It retries at another target if the class, the verdict and the retry
// budget allow it.
func (a *activeRequest) execute(ctx context.Context) (Response, *verdict.Error) {
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	a.pool.budget.deposit()
	for {
		resp, err := a.attempt(ctx)
		if !a.shouldRetry(ctx, resp, err) {
			return resp, a.finalError(err)
		}
		a.dispatcher.metrics.countRetry(a.request)
	}
}

// shouldRetry reports whether to send the request again, and takes a retry from the budget if so.
func (a *activeRequest) shouldRetry(ctx context.Context, resp Response, err *verdict.Error) bool {
	if !a.retryable(resp, err) || ctx.Err() != nil {
		return false
	}
	return len(a.tried) < MaxAttempts && a.pool.hasUntried(a.tried) && a.pool.budget.tryWithdraw()
}

// retryable reports whether the outcome of the last attempt allows another one. A request that is
// not idempotent may be retried only if the verdict proves that it was not executed.
func (a *activeRequest) retryable(resp Response, err *verdict.Error) bool {
	if err == nil {
		return a.request.Class == model.Idempotent && isTemporary(resp.Status)
	}
	switch err.Reason {
	case verdict.ReasonTargetFailed, verdict.ReasonTruncated:
		return err.Verdict == verdict.NotRun || a.request.Class == model.Idempotent
	default:
		return false
	}
}

// isTemporary reports whether another target may answer with a better status.
func isTemporary(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// finalError returns the error for the caller. Its verdict is MayHaveRun if any attempt may have run.
func (a *activeRequest) finalError(err *verdict.Error) *verdict.Error {
	if err == nil || err.Verdict != verdict.NotRun || !a.mayHaveRun {
		return err
	}
	return verdict.New(verdict.MayHaveRun, err.Reason, "an earlier attempt may have run; the last one: %s", err.Message)
}

// attempt waits for a slot and sends the request once. If the target has become unusable before
// the request is written, it waits for a slot of another one.
func (a *activeRequest) attempt(ctx context.Context) (Response, *verdict.Error) {
	for {
		t, err := a.pool.acquire(ctx, a.request.Deadline, a.tried)
		if err != nil {
			return Response{}, err
		}
		resp, err := a.sendTo(ctx, t)
		if err == nil || err.Reason != reasonWithdrawn {
			a.tried = append(a.tried, t.ID)
			return resp, err
		}
	}
}

// sendTo sends the request to the target whose slot it holds, and frees the slot.
func (a *activeRequest) sendTo(ctx context.Context, t *target) (Response, *verdict.Error) {
	a.sends++
	a.record("request.sent", auditDetail{target: t.ID, worker: t.Worker, attempt: a.sends})
	started := a.dispatcher.clock.Now()
	resp, err := a.dispatcher.sender.send(ctx, t, a.request, func() bool { return a.pool.isUsable(t) })
	a.pool.release(t, outcomeOf(err, a.dispatcher.clock.Now().Sub(started)))
	if err == nil || err.Verdict != verdict.NotRun {
		a.mayHaveRun = true
	}
	if err != nil {
		a.record("request.failed", auditDetail{target: t.ID, worker: t.Worker, attempt: a.sends, reason: err.Message, verdict: err.Verdict.String()})
	}
	return resp, err
}

// outcome is the result of an attempt as far as it concerns the health of the target.
type outcome struct {
	answered bool
	took     time.Duration
	// failed means that the connection or the target failed before a valid response was received.
	failed bool
	// timedOut means that the deadline or a cancellation by the caller ended the attempt.
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
