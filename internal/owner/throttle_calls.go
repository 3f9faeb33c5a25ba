package owner

import (
	"context"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// throttledRun identifies an attempt on a worker.
type throttledRun struct {
	worker batch.WorkerID
	task   batch.TaskID
	run    int64
}

// throttleCall is a throttle request whose copies are still sent.
type throttleCall struct {
	run    throttledRun
	ctx    context.Context
	cancel context.CancelFunc
}

// throttleCalls are the newest throttle requests of all attempts.
type throttleCalls map[throttledRun]*throttleCall

// begin returns a new request, and ends the copies of the former one for the same attempt: they would undo it.
func (t throttleCalls) begin(ctx context.Context, a batch.Action) *throttleCall {
	call := &throttleCall{run: throttledRun{a.Worker, a.Task, a.Run}}
	if former := t[call.run]; former != nil {
		former.cancel()
	}
	call.ctx, call.cancel = context.WithCancel(ctx)
	t[call.run] = call
	return call
}

// end notes the outcome of a request, and reports whether no newer one for the attempt has replaced it.
func (t throttleCalls) end(call *throttleCall) bool {
	call.cancel()
	if t[call.run] != call {
		return false
	}
	delete(t, call.run)
	return true
}
