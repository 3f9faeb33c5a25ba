package owner

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// workersRecord lists the workers on which an owner may have started tasks, for its successor to
// read from the store. A worker is recorded before its first start. For an unreachable worker
// the record holds how long its lease lasted when the record was written, and which owner was the last that
// may have renewed it. Before that lease is renewed again, a record without these has become durable.
//
// The record holds no time of day, since the clocks of two instances may differ by any amount.
type workersRecord struct {
	// epoch is that of the owner that writes the record.
	epoch int64
	// maxBytes is the largest value that the store takes.
	maxBytes int
	// leaseEnds holds the end of each worker's lease on this instance's monotonic clock; it is zero while
	// the lease is being renewed.
	leaseEnds map[batch.WorkerID]time.Time
	// lastRenewers holds the epoch of the last owner that may have renewed the lease, for the workers that
	// this owner has not reached yet.
	lastRenewers map[batch.WorkerID]int64
	// lateStarts holds the workers that may carry out a start late, after all leases have ended.
	lateStarts map[batch.WorkerID]bool
	// lateRuns holds what a worker's next incarnation may run late, for the workers that owe answers to starts.
	lateRuns map[batch.WorkerID]*lateRuns
	// renewableAfter holds the number of the transaction that must be durable before a worker's lease may be renewed, for
	// the workers of which a transaction has said that it ends; notWritten until there is one that says that it is renewed.
	renewableAfter map[batch.WorkerID]int64
	// fenced holds the last incarnation of each worker that an owner has fenced. Leases of a worker that is not settled may last
	// by up to unsettledExtra longer.
	fenced         map[batch.WorkerID]batch.FencedIncarnation
	unsettledExtra time.Duration
	// durable holds the workers that the stored record contains.
	durable map[batch.WorkerID]bool
	// dirty is set while the record has changes that are in no transaction yet.
	dirty bool
	// firstEnd is the first end of a lease that the newest transaction says to last; zero if there is none.
	firstEnd time.Time
	// tellsLateRuns is set if the newest transaction names a worker whose next incarnation may run something late.
	tellsLateRuns bool
	// written is when the newest transaction with the record was built.
	written time.Time
	// checked is when the record was last checked for workers that are no longer in use.
	checked time.Time
}

// notWritten stands for a transaction that is not built yet.
const notWritten int64 = math.MaxInt64

// leaseRefreshInterval is the longest time after which a record that says how long a lease lasts is written
// again. A successor counts that time from its take-over, so it waits at most this much too long for it.
const leaseRefreshInterval = 500 * time.Millisecond

// unusedCheckInterval is the interval between two checks of the record for workers that are no longer in use.
const unusedCheckInterval = 500 * time.Millisecond

// recordedLease is a worker's lease in the stored record.
type recordedLease struct {
	// Ending is set while the lease is not renewed. Remaining is how long it lasted when the record was
	// written; 0 if it had ended.
	Ending    bool          `cbor:"1,keyasint,omitempty"`
	Remaining time.Duration `cbor:"2,keyasint,omitempty"`
	// Epoch is that of the last owner that may have renewed the lease, if it is not renewed any more; 0 if
	// that is not known.
	Epoch int64 `cbor:"3,keyasint,omitempty"`
	// LateStart is set if Remaining allows for a start that may be carried out late, so that the end of the
	// leases proves nothing.
	LateStart bool `cbor:"4,keyasint,omitempty"`
	// Fenced and Settled are a batch.FencedIncarnation.
	Fenced  int64 `cbor:"5,keyasint,omitempty"`
	Settled bool  `cbor:"6,keyasint,omitempty"`
	// LateRuns is for how long what the next incarnation carries out late may run; noLateRuns for none, and 0 in records of earlier
	// versions, which don't tell.
	LateRuns time.Duration `cbor:"7,keyasint,omitempty"`
	// LateJobs are the jobs of these tasks; empty if they are too many to name.
	LateJobs []string `cbor:"8,keyasint,omitempty"`
}

func newWorkerRecord(epoch int64, unsettledExtra time.Duration) workersRecord {
	return workersRecord{
		epoch: epoch, unsettledExtra: unsettledExtra, maxBytes: kv.MaxValueBytes,
		leaseEnds:      map[batch.WorkerID]time.Time{},
		lastRenewers:   map[batch.WorkerID]int64{},
		lateStarts:     map[batch.WorkerID]bool{},
		lateRuns:       map[batch.WorkerID]*lateRuns{},
		renewableAfter: map[batch.WorkerID]int64{},
		fenced:         map[batch.WorkerID]batch.FencedIncarnation{},
		durable:        map[batch.WorkerID]bool{},
	}
}

// setRenewed adds or updates a worker whose lease is being renewed by this owner.
func (r *workersRecord) setRenewed(id batch.WorkerID) {
	delete(r.lastRenewers, id)
	delete(r.lateStarts, id)
	r.set(id, time.Time{})
}

// setLeaseEnd updates a worker whose lease is not renewed and ends at a time. lateStart says that the end allows
// for a start that may be carried out late.
func (r *workersRecord) setLeaseEnd(id batch.WorkerID, end time.Time, lateStart bool) {
	if lateStart {
		r.lateStarts[id] = true
	}
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

// noteFenced updates the last incarnation of a worker that was fenced. Before the lease of a worker is renewed that is not settled any
// more, the store must say so: the next owner would expect it to end too early.
func (r *workersRecord) noteFenced(id batch.WorkerID, incarnation batch.FencedIncarnation) {
	was := r.fenced[id]
	if was == incarnation || !r.contains(id) {
		return
	}
	r.fenced[id], r.dirty = incarnation, true
	if was.Settled && !incarnation.Settled {
		r.renewableAfter[id] = notWritten
	}
}

// latestLease returns the time by which a lease of the worker has ended, given that time for a settled worker.
func (r *workersRecord) latestLease(id batch.WorkerID, ifSettled time.Time) time.Time {
	if !r.fenced[id].Settled && !ifSettled.IsZero() {
		return ifSettled.Add(r.unsettledExtra)
	}
	return ifSettled
}

// contains reports whether the worker is recorded, or will be with the next transaction.
func (r *workersRecord) contains(id batch.WorkerID) bool {
	_, ok := r.leaseEnds[id]
	return ok
}

// noteEndedLeases makes the record be written again once a lease in it has ended, and every
// leaseRefreshInterval until then.
func (r *workersRecord) noteEndedLeases(now time.Time) {
	if !r.firstEnd.IsZero() && (now.After(r.firstEnd) || now.Sub(r.written) >= leaseRefreshInterval) {
		r.dirty = true
	}
	if r.tellsLateRuns && now.Sub(r.written) >= lateRunsRefreshInterval {
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
// use. It returns those. If the record is larger than the store takes, it names no jobs, which stands for any.
func (r *workersRecord) addTo(t *recordTxn, inUse map[batch.WorkerID]bool, now time.Time) (dropped []batch.WorkerID) {
	r.firstEnd, r.written, r.tellsLateRuns = time.Time{}, now, false
	leases := make(map[batch.WorkerID]recordedLease, len(r.leaseEnds))
	for id, end := range r.leaseEnds {
		if !inUse[id] {
			delete(r.leaseEnds, id)
			delete(r.durable, id)
			delete(r.lastRenewers, id)
			delete(r.lateStarts, id)
			delete(r.renewableAfter, id)
			dropped = append(dropped, id)
			continue
		}
		t.workers = append(t.workers, id)
		leases[id] = r.lease(id, end, now)
		r.noteWritten(id, leases[id], t.number)
	}
	r.addUnused(leases, now)
	value := encode(leases)
	if len(value) > r.maxBytes {
		value = encode(withoutLateJobs(leases))
	}
	t.txn.Set = append(t.txn.Set, kv.Write{Key: workersKey, Value: value})
	r.dirty = false
	return dropped
}

// withoutLateJobs returns the leases without the names of jobs.
func withoutLateJobs(leases map[batch.WorkerID]recordedLease) map[batch.WorkerID]recordedLease {
	out := make(map[batch.WorkerID]recordedLease, len(leases))
	for id, lease := range leases {
		lease.LateJobs = nil
		out[id] = lease
	}
	return out
}

// noteWritten notes what a transaction says of a worker's lease.
func (r *workersRecord) noteWritten(id batch.WorkerID, lease recordedLease, number int64) {
	switch {
	case lease.Ending:
		r.renewableAfter[id] = notWritten
	case r.renewableAfter[id] == notWritten:
		r.renewableAfter[id] = number
	}
}

// requiredTxn returns the number of the transaction that must be durable before the lease of a worker that is recorded as
// renewed may be renewed: none, 0, if no transaction has said that it ends. next is the number of the next one.
func (r *workersRecord) requiredTxn(id batch.WorkerID, next int64) int64 {
	return min(r.renewableAfter[id], next)
}

// lease returns what the record says of a worker's lease with the given end.
func (r *workersRecord) lease(id batch.WorkerID, end, now time.Time) recordedLease {
	lease := recordedLease{Fenced: r.fenced[id].Number, Settled: r.fenced[id].Settled}
	r.addLateRuns(&lease, id, now)
	if end.IsZero() {
		return lease
	}
	lease.Ending = true
	lease.Epoch = r.epoch
	if former, ok := r.lastRenewers[id]; ok {
		lease.Epoch = former
	}
	if !end.After(now) {
		return lease
	}
	if r.firstEnd.IsZero() || end.Before(r.firstEnd) {
		r.firstEnd = end
	}
	lease.Remaining, lease.LateStart = end.Sub(now), r.lateStarts[id]
	return lease
}

// unreadableWorkers stands for the workers of a record that cannot be decoded. No worker has this id, so
// tasks that the former owner may have started wait until its last lease has ended.
const unreadableWorkers batch.WorkerID = ""

// restore reads the record of the former owner. It returns, for each worker, the time by which tasks
// started by former owners have certainly ended if the worker stays unreachable. latest is the time by which
// any lease of a former owner for a settled worker has ended. The result is earlier if the record holds how long the worker's lease
// still lasted, which counts from now, since the record was written before. It is earlier too if the last owner
// that may have renewed the lease has been replaced longer ago: latestOf returns the time by which any
// lease of the owner with an epoch has ended; the zero time if that is not known. It is later than latest only if a
// start may be carried out late.
func (r *workersRecord) restore(value []byte, now, latest time.Time, latestOf func(epoch int64) time.Time) (map[batch.WorkerID]time.Time, error) {
	var leases map[batch.WorkerID]recordedLease
	if err := cbor.Unmarshal(value, &leases); err != nil {
		return map[batch.WorkerID]time.Time{unreadableWorkers: latest.Add(r.unsettledExtra)}, err
	}
	until := map[batch.WorkerID]time.Time{}
	for id, lease := range leases {
		r.durable[id] = true
		r.fenced[id] = batch.FencedIncarnation{Number: lease.Fenced, Settled: lease.Settled}
		r.restoreLateRuns(id, lease, now, latest.Add(r.unsettledExtra+maxLateness))
		latest := r.latestLease(id, latest)
		r.leaseEnds[id], until[id] = time.Time{}, latest
		r.lastRenewers[id] = r.epoch - 1
		if !lease.Ending {
			continue
		}
		r.renewableAfter[id] = notWritten
		until[id] = now.Add(lease.Remaining)
		if lease.LateStart {
			r.lateStarts[id] = true
		} else {
			until[id] = earliest(until[id], latest)
		}
		if lease.Epoch > 0 {
			r.lastRenewers[id] = lease.Epoch
			if !lease.LateStart {
				until[id] = earliest(until[id], r.latestLease(id, latestOf(lease.Epoch)))
			}
		}
		r.leaseEnds[id] = until[id]
		if until[id].After(now) {
			// The next owner must not count the same time again.
			r.dirty = true
		}
	}
	return until, nil
}

// earliest returns the earliest of the times that are not zero.
func earliest(times ...time.Time) time.Time {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}
