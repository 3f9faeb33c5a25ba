// Package platform defines the interfaces of the systems that the platform provides (the key-value
// store, the workers and the inventory) and implements a client for each.
package platform

import (
	"context"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// LeaseID identifies a lease of the store; zero means no lease.
type LeaseID int64

// KeyValue is one entry of the store.
type KeyValue struct {
	Key   string
	Value []byte
	// ModRevision is the revision of the last write of the key; zero means the key is absent.
	ModRevision int64
	Lease       LeaseID
}

// CompareAndSwapResult is the outcome of a compare-and-swap that the store answered.
type CompareAndSwapResult struct {
	// Applied is set if the value was written.
	Applied bool
	// Revision is the store's revision after the call.
	Revision int64
	// Current is the entry that the store holds if Applied is false.
	Current KeyValue
}

// WatchEvent is a batch of changes, or the end of a watch.
type WatchEvent struct {
	Revision int64
	// Changed holds the new entries; a deleted key has ModRevision zero.
	Changed []KeyValue
	// Err is set on the last event of a watch that ended.
	Err error
}

// Store is the platform's key-value service. Every error is a *StoreError.
type Store interface {
	// Get reads one key. An absent key yields a KeyValue with ModRevision zero. The second
	// result is the store's head revision at the time of the read.
	Get(ctx context.Context, key string) (KeyValue, int64, error)
	// List reads all keys with the prefix, ordered by key, and the head revision.
	List(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// CompareAndSwap writes value if the key's ModRevision equals expected; zero expects absence.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, lease LeaseID) (CompareAndSwapResult, error)
	// Grant creates a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease. A lapsed lease yields a StoreError with Lapsed set.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers changes of keys with the prefix after the revision until ctx ends.
	Watch(ctx context.Context, prefix string, after int64) (<-chan WatchEvent, error)
}

// StoreError describes a failed call to the store and what is known about its effect.
type StoreError struct {
	Op string
	// Unknown is set if a write may have taken effect or may still take effect.
	Unknown bool
	// Lapsed is set if the lease no longer exists.
	Lapsed bool
	// Compacted is set if a watch asked for a revision that the store has compacted.
	Compacted bool
	Cause     error
}

// Error implements error.
func (e *StoreError) Error() string {
	if e.Unknown {
		return "store " + e.Op + ": outcome unknown: " + e.Cause.Error()
	}
	return "store " + e.Op + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Cause }

// Inventory reads the platform's lists of workers and targets, which may be out of date.
type Inventory interface {
	Workers(ctx context.Context) ([]model.Worker, error)
	Targets(ctx context.Context) ([]model.Target, error)
}

// LeaseRequest raises the owner's epoch at a worker and renews the worker's lease. The
// worker refuses an epoch lower than the highest one it has seen. When the lease lapses
// the worker stops every attempt of that lease and reports it as lost.
type LeaseRequest struct {
	Partition model.Partition  `json:"partition"`
	Owner     model.InstanceID `json:"owner"`
	Epoch     model.Epoch      `json:"epoch"`
	TTL       time.Duration    `json:"ttl"`
	// Acknowledged is the highest report sequence that the owner has made durable; the
	// worker forgets ended attempts up to it.
	Acknowledged uint64 `json:"acknowledged"`
	// NotAfter is the time after which the worker refuses the request, so that a delayed
	// one cannot extend the lease.
	NotAfter time.Time `json:"notAfter"`
	// All asks for every attempt that the worker knows, not only changes.
	All bool `json:"all,omitempty"`
}

// AttemptReport is a worker's report on one attempt.
type AttemptReport struct {
	// Sequence orders the worker's reports, from 1; an ended attempt is reported with
	// every lease answer until its sequence is acknowledged.
	Sequence   uint64             `json:"sequence"`
	Attempt    model.AttemptID    `json:"attempt"`
	State      model.AttemptState `json:"state"`
	Checkpoint model.CheckpointID `json:"checkpoint,omitempty"`
	// Progress is the share of the work done, from 0 to 1.
	Progress float64 `json:"progress,omitempty"`
	Error    string  `json:"error,omitempty"`
}

// UsageSample is the resource usage of one attempt in a past window.
type UsageSample struct {
	Attempt model.AttemptID `json:"attempt"`
	From    time.Time       `json:"from"`
	To      time.Time       `json:"to"`
	Used    model.Resources `json:"used"`
}

// ServiceSample is the latency of a target on the worker in a past window.
type ServiceSample struct {
	Service model.Service `json:"service"`
	From    time.Time     `json:"from"`
	To      time.Time     `json:"to"`
	P99     time.Duration `json:"p99"`
	// Load is the share of the target's slots that was busy, from 0 to 1.
	Load  float64 `json:"load"`
	Count int64   `json:"count"`
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	// Epoch is the highest epoch that the worker has seen.
	Epoch model.Epoch `json:"epoch"`
	// Incarnation identifies one run of the worker process. After a restart it differs, and the
	// worker has no attempts.
	Incarnation string `json:"incarnation"`
	// Now is the time on the worker's clock at which it composed the reply.
	Now time.Time `json:"now"`
	// Complete is set if Reports holds every attempt that the worker knows.
	Complete bool            `json:"complete,omitempty"`
	Reports  []AttemptReport `json:"reports"`
	Usage    []UsageSample   `json:"usage,omitempty"`
	Services []ServiceSample `json:"services,omitempty"`
}

// StartRequest asks a worker to execute attempts.
type StartRequest struct {
	Partition model.Partition `json:"partition"`
	Epoch     model.Epoch     `json:"epoch"`
	Attempts  []StartAttempt  `json:"attempts"`
}

// StartAttempt is one attempt to execute. The worker executes an attempt id at most once,
// refuses it after NotAfter on its own clock, and refuses it without a current lease.
type StartAttempt struct {
	Attempt     model.AttemptID    `json:"attempt"`
	Class       model.JobClass     `json:"class"`
	Reservation model.Resources    `json:"reservation"`
	NotAfter    time.Time          `json:"notAfter"`
	Checkpoint  model.CheckpointID `json:"checkpoint,omitempty"`
	DeclaredRun time.Duration      `json:"declaredRun,omitempty"`
	Payload     []byte             `json:"payload,omitempty"`
}

// StartReply holds one result for each attempt of the request, in its order.
type StartReply struct {
	Results []StartResult `json:"results"`
}

// StartResult is the worker's answer for one attempt. An attempt that is not accepted never executes.
type StartResult struct {
	Attempt  model.AttemptID `json:"attempt"`
	Accepted bool            `json:"accepted"`
	Error    string          `json:"error,omitempty"`
}

// SignalKind is an action that a worker is asked to perform on an executing attempt.
type SignalKind string

const (
	// SignalStop ends the attempt without saving its state.
	SignalStop SignalKind = "stop"
	// SignalCheckpoint saves the state of the attempt and ends it.
	SignalCheckpoint SignalKind = "checkpoint"
	// SignalThrottle limits the processor time of the attempt to Share of its reservation.
	SignalThrottle SignalKind = "throttle"
)

// SignalRequest asks a worker to act on one executing attempt.
type SignalRequest struct {
	Partition model.Partition `json:"partition"`
	Epoch     model.Epoch     `json:"epoch"`
	Attempt   model.AttemptID `json:"attempt"`
	Kind      SignalKind      `json:"kind"`
	// Share is the throttle's share, from 0 to 1; 1 removes the limit.
	Share float64 `json:"share,omitempty"`
}

// WorkerClient calls workers. Errors carry a verdict on whether the call may have taken effect.
type WorkerClient interface {
	Lease(ctx context.Context, addr string, r LeaseRequest) (LeaseReply, error)
	Start(ctx context.Context, addr string, r StartRequest) (StartReply, error)
	Signal(ctx context.Context, addr string, r SignalRequest) error
}

// StaleEpochError is returned if the worker has seen a higher epoch, so that the caller no longer owns
// the partition.
type StaleEpochError struct {
	Seen model.Epoch
}

// Error implements error.
func (e *StaleEpochError) Error() string { return "worker has a newer owner" }
