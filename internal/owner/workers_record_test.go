package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// The former owner's record of workers is damaged. Its tasks may run on workers that nobody knows, so they
// wait until the last lease that it can have sent has ended.
func TestUnreadableRecordHoldsBackAllFormerTasks(t *testing.T) {
	is := is.New(t)
	latest := time.Unix(1_000_010, 0)
	r := newWorkerRecord()
	until, err := r.restore([]byte{0xa1, 0x61}, latest.Add(-10*time.Second), latest) // a map whose first entry is cut off
	is.True(err != nil)
	is.Equal(until, map[batch.WorkerID]time.Time{unreadableWorkers: latest})
	is.Equal(len(r.leaseEnds), 0)
	r.setRenewed("w1")
	is.True(r.dirty) // the next transaction replaces the damaged record
}

// stored writes the record as the transaction of an owner does, and returns its value.
func (r *workersRecord) stored(now time.Time) []byte {
	var t recordTxn
	r.addTo(&t, map[batch.WorkerID]bool{"renewed": true, "silent": true, "ended": true}, now)
	return t.txn.Set[0].Value
}

// Guards against a task that runs twice because the clocks of an owner and its successor differ: the record
// says how long a lease lasts, not at which time of day it ends.
func TestTheRecordOfLeasesHoldsNoTimeOfDay(t *testing.T) {
	is := is.New(t)
	former := time.Unix(1_000_000, 0)
	r := newWorkerRecord()
	r.setRenewed("renewed")
	r.setLeaseEnd("silent", former.Add(4*time.Second))
	r.setLeaseEnd("ended", former.Add(-time.Second))
	for _, ahead := range []time.Duration{-time.Hour, 0, 5 * time.Second, time.Hour} {
		now := former.Add(ahead)
		latest := now.Add(10 * time.Second)
		next := newWorkerRecord()
		until, err := next.restore(r.stored(former), now, latest)
		is.NoErr(err)
		is.Equal(until, map[batch.WorkerID]time.Time{"renewed": latest, "silent": now.Add(4 * time.Second), "ended": now})
	}
}

// A lease that lasted when the record was written has ended since. The record is written again, so that a
// successor does not wait for it.
func TestEndedLeasesAreRecorded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newWorkerRecord()
	r.setLeaseEnd("silent", now.Add(4*time.Second))
	r.stored(now)
	r.noteEndedLeases(now.Add(4 * time.Second))
	is.True(!r.dirty)
	r.noteEndedLeases(now.Add(5 * time.Second))
	is.True(r.dirty)
	r.stored(now.Add(5 * time.Second))
	r.noteEndedLeases(now.Add(time.Hour))
	is.True(!r.dirty) // once is enough
}
