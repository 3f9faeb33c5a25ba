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

// Result is the outcome of a caller's request.
type Result uint8

// The results.
const (
	// Done says that the request took effect.
	Done Result = iota
	// NotFound says that there is no such job.
	NotFound
	// NotRun says that the request took no effect and never will.
	NotRun
	// Unknown says that the request may have taken effect, or may still do so.
	Unknown
	// Forbidden says that the request took no effect and never will, since the job belongs to another tenant.
	Forbidden
	// TooLarge says that a submission took no effect and never will, since the store does not take a job of that size.
	TooLarge
	// Withdrawn says that a submission took no effect and never will, since the job was cancelled before it was stored.
	Withdrawn
)

const (
	// retryInterval is the pause between two attempts of a call.
	retryInterval = 100 * time.Millisecond
	// storeCallTimeout bounds one attempt of a call to the store.
	storeCallTimeout = 1200 * time.Millisecond
	// ownerCallTimeout bounds a query to the owner.
	ownerCallTimeout = 400 * time.Millisecond
	// notifyTimeout bounds a notification to the owner, which also finds the change in the store.
	notifyTimeout = time.Second
)

// SubmittedJob is a job that a caller submits.
type SubmittedJob struct {
	ID    string
	Queue string
	// Tenant is the caller's tenant; empty if the route requires no API key.
	Tenant string
	Spec   batch.Spec
}

// maxSubmissionTime is how long an instance tries to store a submission. A tombstone outlasts all writes that are sent in that time.
const maxSubmissionTime = 10 * time.Second

// Submit stores a job. If a job with this id is stored already, the submission counts as a repetition
// of it and changes nothing. A job that its tenant has cancelled before it was stored is not stored; see owner.TombstoneKey.
func (i *Instance) Submit(ctx context.Context, config *Config, job SubmittedJob) Result {
	submission := owner.Submission{
		Queue: job.Queue, Tenant: job.Tenant, Accepted: time.Now(), Spec: job.Spec,
		QueueConfig: config.Batch.Queues[job.Queue], ConfigVersion: config.Batch.Version,
	}
	key, value := owner.JobKey(job.ID), owner.EncodeSubmission(submission)
	if limit := i.maxValueBytes.Load(); int64(len(value)) > limit {
		i.log.Info().Str("event", "job.submitted").Str("job", job.ID).Str("queue", job.Queue).Int("bytes", len(value)).Int64("limit", limit).
			Str("result", TooLarge.String()).Send()
		return TooLarge
	}
	stored := i.create(ctx, newKey{
		key: key, value: value,
		conditions: []kv.Condition{{Key: key}, {Key: owner.TombstoneKey(job.Tenant, job.ID)}},
		sendUntil:  i.watcher.clock() + maxSubmissionTime,
	})
	existed, result := stored.outcome == creationExisted, stored.result()
	if stored.outcome == creationExcluded && !stored.mayFollow {
		result = Withdrawn
	}
	event := i.log.Info().Str("event", "job.submitted").Str("job", job.ID).Str("queue", job.Queue)
	if job.Tenant != "" {
		event = event.Str("tenant", job.Tenant)
	}
	event.Int64("version", config.Batch.Version).Bool("existed", existed).Str("result", result.String()).Send()
	if result == Done && !existed {
		i.notifySubmitted(job.ID, stored.revision, submission)
	}
	return result
}

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{"done", "missing", "not-run", "unknown", "forbidden", "too-large", "withdrawn"}[r]
}

// Cancel stores a request of a tenant, which is empty for a caller without an API key, to cancel a job; the owner carries it out. If
// there is no such job, none that the tenant has submitted under this id can be stored any more.
func (i *Instance) Cancel(ctx context.Context, id, tenant string) Result {
	submission, err := i.get(ctx, owner.JobKey(id))
	if errors.Is(err, kv.ErrNotFound) {
		result, isStored := i.cancelUnstored(ctx, id, tenant)
		if !isStored {
			return result
		}
		submission, err = i.get(ctx, owner.JobKey(id))
	}
	if err != nil {
		return NotRun
	}
	if !i.mayCancel(submission.Value, tenant) {
		i.log.Info().Str("event", "job.cancel").Str("job", id).Str("tenant", tenant).Str("result", Forbidden.String()).Send()
		return Forbidden
	}
	result := i.cancelStored(ctx, id, submission.Rev)
	i.log.Info().Str("event", "job.cancel").Str("job", id).Str("result", result.String()).Send()
	if result == Done {
		i.notifyCancelled(id, submission.Rev)
	}
	return result
}

// cancelStored stores the cancellation of a job whose submission has a revision. It returns NotFound if the job is gone, as the owner has
// removed its keys since.
func (i *Instance) cancelStored(ctx context.Context, id string, revision int64) Result {
	key := owner.CancelKey(id)
	a := i.create(ctx, newKey{key: key, value: []byte{}, conditions: []kv.Condition{{Key: key}, {Key: owner.JobKey(id), Rev: revision}}})
	if a.outcome == creationExcluded {
		return NotFound
	}
	return a.result()
}

// mayCancel reports whether a tenant may cancel the job of an encoded submission: if it submitted the job, if nobody did by an API
// key, or if the tenant that did is gone, as after a tenant was renamed.
func (i *Instance) mayCancel(submission []byte, tenant string) bool {
	submitter, err := owner.SubmittedTenant(submission)
	if err != nil || submitter == "" || submitter == tenant {
		return true
	}
	_, exists := i.watcher.batchConfig().Tenants[submitter]
	return !exists
}

// exists reports whether the store has a key. It retries until ctx ends.
func (i *Instance) exists(ctx context.Context, key string) (bool, error) {
	_, err := i.get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// get reads a key. It retries failed calls until ctx ends.
func (i *Instance) get(ctx context.Context, key string) (kv.Item, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		item, err := i.store.Get(callCtx, key)
		cancel()
		if err == nil || errors.Is(err, kv.ErrNotFound) {
			return item, err
		}
		if ctx.Err() != nil {
			return kv.Item{}, err
		}
		pause.For(ctx, retryInterval)
	}
}

// JobStatus returns the status of a job as the owner knows it. If the owner does not answer or does
// not know the job yet, it is read from the store.
func (i *Instance) JobStatus(ctx context.Context, id string) (batch.JobStatus, Result) {
	if response, ok := i.queryJobStatus(ctx, id); ok && response.Known {
		return response.Status, Done
	}
	return i.storedStatus(ctx, id)
}

// storedStatus reads the status of a job from the store.
func (i *Instance) storedStatus(ctx context.Context, id string) (batch.JobStatus, Result) {
	item, err := i.get(ctx, owner.RecordKey(id))
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return 0, NotRun
	}
	status := batch.Queued
	if err == nil {
		record, err := owner.DecodeRecord(item.Value)
		if err != nil {
			i.log.Error().Str("event", "store.unreadable").Str("job", id).Err(err).Send()
			return 0, NotRun
		}
		if record.Status.Terminal() {
			return record.Status, Done
		}
		if record.Started {
			status = batch.Active
		}
	}
	return i.storedUnfinishedStatus(ctx, id, status)
}

// storedUnfinishedStatus returns Cancelled for a job whose cancellation is stored, NotFound for one
// that was never submitted, and otherwise the given status.
func (i *Instance) storedUnfinishedStatus(ctx context.Context, id string, status batch.JobStatus) (batch.JobStatus, Result) {
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
	return status, Done
}
