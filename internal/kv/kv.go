// Package kv is what the scheduler needs of a shared key-value store: reads, watches, leases
// and transactions under conditions.
package kv

import (
	"context"
	"errors"
	"time"
)

// The failures of calls. A call that returns any other error has an unknown outcome: a
// transaction may have been executed, or may still be.
var (
	// ErrConflict says that a condition does not hold; nothing was changed.
	ErrConflict = errors.New("condition does not hold")
	// ErrUnavailable says that the store refused the call; nothing was changed.
	ErrUnavailable = errors.New("store unavailable")
	// ErrNotFound says that there is no such key or lease.
	ErrNotFound = errors.New("not found")
	// ErrCompacted says that the history after the given revision is gone.
	ErrCompacted = errors.New("history is gone")
)

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Rev is the revision of the last change.
	Rev   int64
	Lease int64
}

// Event is a change of a key.
type Event struct {
	Item
	Deleted bool
}

// Condition holds if the last change of the key has the revision; 0 says that the key does not exist.
type Condition struct {
	Key string
	Rev int64
}

// Write sets a key. A key with a lease is removed when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is executed as a whole if all conditions hold.
type Txn struct {
	If     []Condition
	Set    []Write
	Remove []string
}

// MaxTxnEntries bounds the conditions, writes and removals of a transaction together.
const MaxTxnEntries = 32

// Store is the shared store.
type Store interface {
	// Get reads a key; ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// List reads all keys with the prefix. Changes after the returned revision may be missing.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits for changes after the revision, at most for the given time, and returns the
	// revision to continue from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit executes a transaction and returns its revision.
	Commit(ctx context.Context, t Txn) (int64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew extends a lease; ErrNotFound if it has ended.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease int64) error
}
