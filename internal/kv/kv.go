// Package kv defines the operations that the scheduler needs from a shared key-value store:
// reads, watches, leases and conditional transactions.
package kv

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that a store takes, unless it says otherwise.
const MaxValueBytes = 1 << 20

// Errors of calls. All but ErrSilent have a known outcome. A call that returns ErrSilent or any other error has
// an unknown outcome: a transaction may have been executed, or may still be executed later.
var (
	// ErrConflict means that a condition of the transaction does not hold; nothing was changed.
	ErrConflict = errors.New("condition does not hold")
	// ErrUnavailable means that the store refused the call; nothing was changed.
	ErrUnavailable = errors.New("store unavailable")
	// ErrInvalid means that the store refused the call for its content, such as a value that is too large; nothing was changed. The same
	// call would be refused again.
	ErrInvalid = errors.New("refused by the store for its content")
	// ErrNotFound means that there is no such key or lease.
	ErrNotFound = errors.New("not found")
	// ErrSilent means that nothing came in answer to the call for so long that it was given up. Its outcome
	// is unknown.
	ErrSilent = errors.New("no answer from the store")
	// ErrCompacted means that the store no longer keeps the changes after the given revision.
	ErrCompacted = errors.New("revision has been compacted")
)

// ConflictError is an ErrConflict that tells why: Items are the keys of the conditions that existed then.
type ConflictError struct {
	Items []Item
}

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Revision returns the revision of the last change of a key of the conditions; 0 if it did not exist.
func (e *ConflictError) Revision(key string) int64 {
	for _, i := range e.Items {
		if i.Key == key {
			return i.Rev
		}
	}
	return 0
}

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

// Condition holds if the last change of the key has the revision; 0 requires that the key does
// not exist.
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

// Txn is executed atomically if all conditions hold; otherwise it changes nothing.
type Txn struct {
	If     []Condition
	Set    []Write
	Remove []string
}

// MaxTxnEntries is the largest total number of conditions, writes and removals in a transaction.
const MaxTxnEntries = 32

// Store is the shared store.
type Store interface {
	// Get reads a key; ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// List reads all keys with the prefix. Changes after the returned revision may be missing
	// from the result.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits, at most for the given time, for changes after the revision, and returns them
	// with the revision to continue from; ErrCompacted if the store no longer keeps them.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
	// Commit executes a transaction and returns its revision. If a condition does not hold, the error is a ConflictError, or
	// ErrConflict if the state of the keys could not be read.
	Commit(ctx context.Context, t Txn) (int64, error)
	// Grant creates a lease that ends unless it is renewed within ttl.
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	// Renew extends a lease; ErrNotFound if it has ended.
	Renew(ctx context.Context, lease int64) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease int64) error
}
