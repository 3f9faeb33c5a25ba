package owner

import (
	"context"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// attemptKey identifies an attempt on a worker.
type attemptKey struct {
	worker batch.WorkerID
	task   batch.TaskID
	run    int64
}

func keyOf(a batch.Action) attemptKey { return attemptKey{a.Worker, a.Task, a.Run} }

// attemptCall is a request about an attempt whose copies are still sent.
type attemptCall struct {
	key    attemptKey
	ctx    context.Context
	cancel context.CancelFunc
}

// attemptCalls are the newest requests of one kind about attempts.
type attemptCalls map[attemptKey]*attemptCall

// begin returns a new request, and ends the copies of the former one about the same attempt: they would undo it.
func (c attemptCalls) begin(ctx context.Context, a batch.Action) *attemptCall {
	c.cancel(keyOf(a))
	call := &attemptCall{key: keyOf(a)}
	call.ctx, call.cancel = context.WithCancel(ctx)
	c[call.key] = call
	return call
}

// cancel ends the copies of the request about an attempt, if there is one.
func (c attemptCalls) cancel(key attemptKey) {
	if call := c[key]; call != nil {
		call.cancel()
	}
}

// cancelOn ends the copies of all requests to a worker.
func (c attemptCalls) cancelOn(id batch.WorkerID) {
	for key, call := range c {
		if key.worker == id {
			call.cancel()
		}
	}
}

// end notes the outcome of a request, and reports whether no newer one about the attempt has replaced it.
func (c attemptCalls) end(call *attemptCall) bool {
	call.cancel()
	if c[call.key] != call {
		return false
	}
	delete(c, call.key)
	return true
}
