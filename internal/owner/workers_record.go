package owner

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// workersRecord lists the workers on which an owner may have started tasks, for its successor to
// read from the store. A worker is recorded before its first start. For an unreachable worker
// the record holds how long its lease lasted when the record was written. Before that lease is renewed
// again, a record without this time has become durable.
//
// The record holds no time of day, since the clocks of two instances may differ by any amount.
type workersRecord struct {
	// leaseEnds holds the end of each worker's lease on this instance's monotonic clock; it is zero while
	// the lease is being renewed.
	leaseEnds map[batch.WorkerID]time.Time
	// durable holds the workers that the stored record contains.
	durable map[batch.WorkerID]bool
	// dirty is set while the record has changes that are in no transaction yet.
	dirty bool
	// firstEnd is the first end of a lease that the newest transaction says to last; zero if there is none.
	firstEnd time.Time
	// checked is when the record was last checked for workers that are no longer in use.
	checked time.Time
}

// unusedCheckInterval is the interval between two checks of the record for workers that are no longer in use.
const unusedCheckInterval = 500 * time.Millisecond

// recordedLease is a worker's lease in the stored record.
type recordedLease struct {
	// Ending is set while the lease is not renewed. Remaining is how long it lasted when the record was
	// written; 0 if it had ended.
	Ending    bool          `cbor:"1,keyasint,omitempty"`
	Remaining time.Duration `cbor:"2,keyasint,omitempty"`
}

func newWorkerRecord() workersRecord {
	return workersRecord{leaseEnds: map[batch.WorkerID]time.Time{}, durable: map[batch.WorkerID]bool{}}
}

// setRenewed adds or updates a worker whose lease is being renewed.
func (r *workersRecord) setRenewed(id batch.WorkerID) { r.set(id, time.Time{}) }

// setLeaseEnd updates a worker whose lease is not renewed and ends at a time.
func (r *workersRecord) setLeaseEnd(id batch.WorkerID, end time.Time) {
	if recorded := r.leaseEnds[id]; recorded.After(end) {
		end = recorded
	}
	r.set(id, end)
}

func (r *workersRecord) set(id batch.WorkerID, end time.Time) {
	if old, ok := r.leaseEnds[id]; !ok || !old.Equal(end) {
		r.leaseEnds[id] = end
		r.dirty = true
	}
}

// contains reports whether the worker is recorded, or will be with the next transaction.
func (r *workersRecord) contains(id batch.WorkerID) bool {
	_, ok := r.leaseEnds[id]
	return ok
}

// noteEndedLeases makes the record be written again once a lease in it has ended.
func (r *workersRecord) noteEndedLeases(now time.Time) {
	if !r.firstEnd.IsZero() && now.After(r.firstEnd) {
		r.dirty = true
	}
}

// noteUnused makes the record be written again if it contains a worker that is no longer in use. A successor
// would wait for the tasks that it may run. inUse returns the workers in use.
func (r *workersRecord) noteUnused(inUse func() map[batch.WorkerID]bool, now time.Time) {
	if r.dirty || now.Sub(r.checked) < unusedCheckInterval {
		return
	}
	r.checked = now
	used := inUse()
	for id := range r.leaseEnds {
		if !used[id] {
			r.dirty = true
			return
		}
	}
}

// addTo adds the record to a transaction, after it has dropped the workers that are no longer in
// use. It returns those.
func (r *workersRecord) addTo(t *recordTxn, inUse map[batch.WorkerID]bool, now time.Time) (dropped []batch.WorkerID) {
	r.firstEnd = time.Time{}
	leases := make(map[batch.WorkerID]recordedLease, len(r.leaseEnds))
	for id, end := range r.leaseEnds {
		if !inUse[id] {
			delete(r.leaseEnds, id)
			delete(r.durable, id)
			dropped = append(dropped, id)
			continue
		}
		t.workers = append(t.workers, id)
		leases[id] = r.lease(end, now)
	}
	t.txn.Set = append(t.txn.Set, kv.Write{Key: workersKey, Value: encode(leases)})
	r.dirty = false
	return dropped
}

// lease returns what the record says of a lease with the given end.
func (r *workersRecord) lease(end, now time.Time) recordedLease {
	if end.IsZero() {
		return recordedLease{}
	}
	if !end.After(now) {
		return recordedLease{Ending: true}
	}
	if r.firstEnd.IsZero() || end.Before(r.firstEnd) {
		r.firstEnd = end
	}
	return recordedLease{Ending: true, Remaining: end.Sub(now)}
}

// unreadableWorkers stands for the workers of a record that cannot be decoded. No worker has this id, so
// tasks that the former owner may have started wait until its last lease has ended.
const unreadableWorkers batch.WorkerID = ""

// restore reads the record of the former owner. It returns, for each worker, the time by which tasks
// started by the former owner have certainly ended if the worker stays unreachable. latest is the time
// by which any lease of a former owner has ended; the result is earlier if the record holds how long the
// worker's lease still lasted. That time counts from now, since the record was written before.
func (r *workersRecord) restore(value []byte, now, latest time.Time) (map[batch.WorkerID]time.Time, error) {
	var leases map[batch.WorkerID]recordedLease
	if err := cbor.Unmarshal(value, &leases); err != nil {
		return map[batch.WorkerID]time.Time{unreadableWorkers: latest}, err
	}
	until := map[batch.WorkerID]time.Time{}
	for id, lease := range leases {
		r.durable[id] = true
		r.leaseEnds[id] = time.Time{}
		until[id] = latest
		if end := now.Add(lease.Remaining); lease.Ending && end.Before(latest) {
			r.leaseEnds[id], until[id] = end, end
		}
	}
	return until, nil
}
