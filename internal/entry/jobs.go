package entry

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// Result is what a call came to.
type Result uint8

// The results.
const (
	// Done says that the call took effect.
	Done Result = iota
	// NotFound says that there is no such job.
	NotFound
	// NotRun says that the call took no effect and never will.
	NotRun
	// Unknown says that the call may have taken effect, or may still.
	Unknown
)

const (
	// refuseAfter is how long a call is tried against a store that refuses it.
	refuseAfter = 300 * time.Millisecond
	// retryPause is the pause between two tries.
	retryPause = 100 * time.Millisecond
	// storeTimeout bounds one call of the store for a caller.
	storeTimeout = 1200 * time.Millisecond
	// ownerTimeout bounds a question to the owner.
	ownerTimeout = 400 * time.Millisecond
	// notifyTimeout bounds a message to the owner that it also finds in the store.
	notifyTimeout = time.Second
)

// Submit stores a job. An id that is stored already is the same job.
func (i *Instance) Submit(ctx context.Context, t *Config, id, queue string, spec batch.Spec) Result {
	s := owner.Submission{Queue: queue, Accepted: time.Now(), Spec: spec, QueueConfig: t.Batch.Queues[queue]}
	key := owner.JobKey(id)
	txn := kv.Txn{
		If:  []kv.Condition{{Key: key}},
		Set: []kv.Write{{Key: key, Value: owner.EncodeSubmission(s)}},
	}
	result, existed := i.commit(ctx, txn)
	i.log.Info().Str("event", "job.submitted").Str("job", id).Str("queue", queue).
		Int64("version", t.Batch.Version).Bool("existed", existed).Str("result", result.String()).Send()
	if result == Done && !existed {
		i.notifySubmitted(id, s)
	}
	return result
}

// String returns the name that logs use.
func (r Result) String() string {
	return [...]string{"done", "missing", "not-run", "unknown"}[r]
}

// commit executes a transaction until its outcome is known or ctx ends. Once one try has
// had an unknown outcome, a refusal of a later one proves nothing.
func (i *Instance) commit(ctx context.Context, txn kv.Txn) (result Result, existed bool) {
	begun := time.Now()
	unknown := false
	for {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		_, err := i.store.Commit(call, txn)
		cancel()
		switch {
		case err == nil:
			return Done, false
		case errors.Is(err, kv.ErrConflict):
			return Done, true
		case errors.Is(err, kv.ErrUnavailable):
			if !unknown && time.Since(begun) > refuseAfter {
				return NotRun, false
			}
		default:
			unknown = true
		}
		if ctx.Err() != nil {
			break
		}
		pause.For(ctx, retryPause)
	}
	if unknown {
		return Unknown, false
	}
	return NotRun, false
}

// Cancel stores the wish to end a job.
func (i *Instance) Cancel(ctx context.Context, id string) Result {
	found, err := i.exists(ctx, owner.JobKey(id))
	if err != nil {
		return NotRun
	}
	if !found {
		return NotFound
	}
	key := owner.CancelKey(id)
	txn := kv.Txn{If: []kv.Condition{{Key: key}}, Set: []kv.Write{{Key: key, Value: []byte{}}}}
	result, _ := i.commit(ctx, txn)
	i.log.Info().Str("event", "job.cancel").Str("job", id).Str("result", result.String()).Send()
	if result == Done {
		i.notifyCancelled(id)
	}
	return result
}

// exists reads whether the store has a key, for as long as ctx allows.
func (i *Instance) exists(ctx context.Context, key string) (bool, error) {
	_, err := i.get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// get reads a key, and tries again while the store does not answer.
func (i *Instance) get(ctx context.Context, key string) (kv.Item, error) {
	for {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		item, err := i.store.Get(call, key)
		cancel()
		if err == nil || errors.Is(err, kv.ErrNotFound) {
			return item, err
		}
		if ctx.Err() != nil {
			return kv.Item{}, err
		}
		pause.For(ctx, retryPause)
	}
}

// JobStatus returns what is known of a job: from the owner, or from the store if the owner
// does not answer or does not know it yet.
func (i *Instance) JobStatus(ctx context.Context, id string) (batch.JobStatus, Result) {
	if o, ok := i.askOutcome(ctx, id); ok && o.Known {
		return o.Status, Done
	}
	return i.storedOutcome(ctx, id)
}

// storedOutcome reads a job from the store.
func (i *Instance) storedOutcome(ctx context.Context, id string) (batch.JobStatus, Result) {
	item, err := i.get(ctx, owner.RecordKey(id))
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return 0, NotRun
	}
	outcome := batch.Queued
	if err == nil {
		r, err := owner.DecodeRecord(item.Value)
		if err != nil {
			i.log.Error().Str("event", "store.unreadable").Str("job", id).Err(err).Send()
			return 0, NotRun
		}
		if r.Status.Terminal() {
			return r.Status, Done
		}
		if r.Started {
			outcome = batch.Active
		}
	}
	return i.storedPending(ctx, id, outcome)
}

// storedPending reads whether a job that is not over exists and whether it is cancelled.
func (i *Instance) storedPending(ctx context.Context, id string, outcome batch.JobStatus) (batch.JobStatus, Result) {
	cancelled, err := i.exists(ctx, owner.CancelKey(id))
	if err != nil {
		return 0, NotRun
	}
	if cancelled {
		return batch.Cancelled, Done
	}
	accepted, err := i.exists(ctx, owner.JobKey(id))
	if err != nil {
		return 0, NotRun
	}
	if !accepted {
		return 0, NotFound
	}
	return outcome, Done
}
