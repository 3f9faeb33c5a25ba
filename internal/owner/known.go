package owner

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// clockSkew bounds the difference between the times of day of two instances.
const clockSkew = 2500 * time.Millisecond

// knownWorkers are the workers on which an owner may have started tasks, as its successor
// finds them in the store. A worker is recorded before its first start. The record of a
// worker out of contact says when its lease has ended; it is withdrawn before the lease is
// renewed again.
type knownWorkers struct {
	// leaseEnds holds Unix milliseconds, or 0 while leases are renewed.
	leaseEnds map[batch.WorkerID]int64
	// stored holds the workers that a durable record names.
	stored map[batch.WorkerID]bool
	dirty  bool
}

func newKnownWorkers() knownWorkers {
	return knownWorkers{leaseEnds: map[batch.WorkerID]int64{}, stored: map[batch.WorkerID]bool{}}
}

// set records a worker with the end of its lease.
func (k *knownWorkers) set(id batch.WorkerID, leaseEnd int64) {
	if old, ok := k.leaseEnds[id]; !ok || old != leaseEnd {
		k.leaseEnds[id] = leaseEnd
		k.dirty = true
	}
}

// has reports whether the worker is recorded, or will be with the next transaction.
func (k *knownWorkers) has(id batch.WorkerID) bool {
	_, ok := k.leaseEnds[id]
	return ok
}

// write adds the record to a transaction and leaves out workers that are of no more use.
func (k *knownWorkers) write(t *batchTxn, used map[batch.WorkerID]bool) {
	for id := range k.leaseEnds {
		if used[id] {
			t.known = append(t.known, id)
		} else {
			delete(k.leaseEnds, id)
			delete(k.stored, id)
		}
	}
	t.txn.Set = append(t.txn.Set, kv.Write{Key: knownKey, Value: encode(k.leaseEnds)})
	k.dirty = false
}

// read takes in the record of the former owner, and returns until when each worker may run
// tasks that nobody lists; at most until latest.
func (k *knownWorkers) read(value []byte, latest time.Time) (map[batch.WorkerID]time.Time, error) {
	if err := cbor.Unmarshal(value, &k.leaseEnds); err != nil {
		return nil, err
	}
	until := map[batch.WorkerID]time.Time{}
	for id, end := range k.leaseEnds {
		until[id] = latest
		k.stored[id] = true
		if end == 0 {
			continue
		}
		if t := time.UnixMilli(end).Add(clockSkew); t.Before(latest) {
			until[id] = t
		}
	}
	return until, nil
}
