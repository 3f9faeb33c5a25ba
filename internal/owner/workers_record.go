package owner

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// clockSkew bounds the difference between the clocks of two instances.
const clockSkew = 2500 * time.Millisecond

// workersRecord lists the workers on which an owner may have started tasks, for its successor to
// read from the store. A worker is recorded before its first start. For an unreachable worker
// the record holds the end of its lease. Before that lease is renewed again, the end is set to 0 and
// this change has become durable.
type workersRecord struct {
	// leaseEnds holds the end of each worker's lease in Unix milliseconds, or 0 while leases are
	// being renewed.
	leaseEnds map[batch.WorkerID]int64
	// durable holds the workers that the stored record contains.
	durable map[batch.WorkerID]bool
	// dirty is set while the record has changes that are in no transaction yet.
	dirty bool
}

func newWorkerRecord() workersRecord {
	return workersRecord{leaseEnds: map[batch.WorkerID]int64{}, durable: map[batch.WorkerID]bool{}}
}

// set adds or updates a worker with the end of its lease.
func (r *workersRecord) set(id batch.WorkerID, leaseEnd int64) {
	if old, ok := r.leaseEnds[id]; !ok || old != leaseEnd {
		r.leaseEnds[id] = leaseEnd
		r.dirty = true
	}
}

// contains reports whether the worker is recorded, or will be with the next transaction.
func (r *workersRecord) contains(id batch.WorkerID) bool {
	_, ok := r.leaseEnds[id]
	return ok
}

// addTo adds the record to a transaction, after it has dropped the workers that are no longer in
// use.
func (r *workersRecord) addTo(t *recordTxn, inUse map[batch.WorkerID]bool) {
	for id := range r.leaseEnds {
		if inUse[id] {
			t.workers = append(t.workers, id)
		} else {
			delete(r.leaseEnds, id)
			delete(r.durable, id)
		}
	}
	t.txn.Set = append(t.txn.Set, kv.Write{Key: workersKey, Value: encode(r.leaseEnds)})
	r.dirty = false
}

// unreadableWorkers stands for the workers of a record that cannot be decoded. No worker has this id, so
// tasks that the former owner may have started wait until its last lease has ended.
const unreadableWorkers batch.WorkerID = ""

// restore reads the record of the former owner. It returns, for each worker, the time by which tasks
// started by the former owner have certainly ended if the worker stays unreachable. latest is the time
// by which any lease of a former owner has ended; the result is earlier if the record holds the end
// of the worker's lease.
func (r *workersRecord) restore(value []byte, latest time.Time) (map[batch.WorkerID]time.Time, error) {
	if err := cbor.Unmarshal(value, &r.leaseEnds); err != nil {
		r.leaseEnds = map[batch.WorkerID]int64{}
		return map[batch.WorkerID]time.Time{unreadableWorkers: latest}, err
	}
	until := map[batch.WorkerID]time.Time{}
	for id, end := range r.leaseEnds {
		until[id] = latest
		r.durable[id] = true
		if end == 0 {
			continue
		}
		if t := time.UnixMilli(end).Add(clockSkew); t.Before(latest) {
			until[id] = t
		}
	}
	return until, nil
}
