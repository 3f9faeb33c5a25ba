package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// unknownEpochs is the argument of restore on an instance that has seen no former owner.
func unknownEpochs(int64) time.Time { return time.Time{} }

// The former owner's record of workers is damaged. Its tasks may run on workers that nobody knows, so they
// wait until the last lease that it can have sent has ended.
func TestUnreadableRecordHoldsBackAllFormerTasks(t *testing.T) {
	is := is.New(t)
	latest := time.Unix(1_000_010, 0)
	r := newWorkerRecord(2)
	until, err := r.restore([]byte{0xa1, 0x61}, latest.Add(-10*time.Second), latest, unknownEpochs) // a map whose first entry is cut off
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
	r := newWorkerRecord(2)
	r.setRenewed("renewed")
	r.setLeaseEnd("silent", former.Add(4*time.Second), false)
	r.setLeaseEnd("ended", former.Add(-time.Second), false)
	for _, ahead := range []time.Duration{-time.Hour, 0, 5 * time.Second, time.Hour} {
		now := former.Add(ahead)
		latest := now.Add(10 * time.Second)
		next := newWorkerRecord(2)
		until, err := next.restore(r.stored(former), now, latest, unknownEpochs)
		is.NoErr(err)
		is.Equal(until, map[batch.WorkerID]time.Time{"renewed": latest, "silent": now.Add(4 * time.Second), "ended": now})
	}
}

// A lease that lasts when the record is written is shorter later, and has ended at last. The record is written
// again, so that a successor does not wait for what has passed, until there is nothing more to say.
func TestEndedLeasesAreRecorded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newWorkerRecord(2)
	r.setLeaseEnd("silent", now.Add(4*time.Second), false)
	r.stored(now)
	r.noteEndedLeases(now.Add(leaseRefreshInterval - time.Millisecond))
	is.True(!r.dirty)
	at := now.Add(leaseRefreshInterval)
	r.noteEndedLeases(at)
	is.True(r.dirty)
	next := newWorkerRecord(3)
	until, err := next.restore(r.stored(at), at, at.Add(10*time.Second), unknownEpochs)
	is.NoErr(err)
	is.Equal(until["silent"], now.Add(4*time.Second)) // not counted anew from the take-over
	r.stored(now.Add(4 * time.Second))
	is.True(!r.dirty)
	r.noteEndedLeases(now.Add(time.Hour))
	is.True(!r.dirty) // once is enough
}

// A record is written just before a lease in it ends. It is written again at once when the lease has ended, not
// after leaseRefreshInterval.
func TestTheEndOfALeaseIsRecordedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newWorkerRecord(2)
	r.setLeaseEnd("silent", now.Add(leaseRefreshInterval/2), false)
	r.stored(now)
	r.noteEndedLeases(now.Add(leaseRefreshInterval / 2))
	is.True(!r.dirty)
	r.noteEndedLeases(now.Add(leaseRefreshInterval/2 + time.Millisecond))
	is.True(r.dirty)
}

// Guards against a task that runs twice because a successor expects a lease to end too early. Owners follow each
// other; each may reach the worker or not, renews its lease until up to claimGrace after it was replaced, and
// stores what it knows at any time before it is replaced. Instances see a replacement late.
func TestNoSuccessorExpectsALeaseToEndTooEarly(t *testing.T) {
	const (
		ttl   = 1200 * time.Millisecond
		lease = 6380 * time.Millisecond
		id    = batch.WorkerID("silent")
	)
	rapid.Check(t, func(t *rapid.T) {
		pass := func(label string, upTo time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, upTo.Milliseconds()).Draw(t, label)) * time.Millisecond
		}
		now := time.Unix(1_000_000, 0)
		var leaseEnd time.Time // of the worker, by the most generous clock
		first := newWorkerRecord(1)
		first.setRenewed(id)
		stored := first.stored(now)
		var seen seenClaims // by an instance that is always up and sees each claim late
		seen.add(1, now)
		former := true // the owner that was replaced last renews the lease after it
		for epoch := int64(2); epoch < 8; epoch++ {
			replaced := now
			seen.add(epoch, replaced.Add(pass("seen late", time.Second)))
			if former {
				leaseEnd = laterTime(leaseEnd, replaced.Add(ttl+pass("acts on", claimGrace)+lease))
			}
			now = now.Add(pass("load", 2*time.Second))
			r := newWorkerRecord(epoch)
			latest := replaced.Add(ttl + claimGrace + lease)
			until, err := r.restore(stored, replaced, latest, func(epoch int64) time.Time {
				if at := seen.replaced(epoch); !at.IsZero() {
					return at.Add(ttl + claimGrace + lease)
				}
				return time.Time{}
			})
			if err != nil {
				t.Fatal(err)
			}
			if now.Before(leaseEnd) && until[id].Before(leaseEnd) {
				t.Fatalf("owner %d expects the lease to end at %s, it ends at %s", epoch, until[id], leaseEnd)
			}
			former = rapid.Bool().Draw(t, "reaches the worker")
			r.setLeaseEnd(id, until[id], false)
			if former {
				if fenced := now.Add(lease); leaseEnd.After(fenced) {
					leaseEnd = fenced // the worker refuses what the former owner sends from now on
				}
				r.setRenewed(id)
				stored = r.stored(now)
				now = now.Add(pass("renews", 8*time.Second))
				leaseEnd = laterTime(leaseEnd, now.Add(lease))
				if rapid.Bool().Draw(t, "loses it") {
					former = false
					r.setLeaseEnd(id, now.Add(lease), false)
				}
			}
			if rapid.Bool().Draw(t, "stores") {
				now = now.Add(pass("until stored", time.Second))
				stored = r.stored(now)
			} else if !former {
				now = now.Add(pass("until replaced", time.Second))
			}
			now = now.Add(pass("leads on", 8*time.Second))
			if former {
				leaseEnd = laterTime(leaseEnd, now.Add(lease))
			}
		}
	})
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against a task that runs twice because a successor shortens the wait for a start that may be carried out
// late to the longest lease, or does so once the owner that sent it has been replaced for long.
func TestTheWaitForALateStartIsNotShortened(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newWorkerRecord(2)
	r.setLeaseEnd("silent", now.Add(18*time.Second), true)
	stored := r.stored(now)
	for epoch := int64(3); epoch < 6; epoch++ {
		next := newWorkerRecord(epoch)
		until, err := next.restore(stored, now, now.Add(10*time.Second), func(int64) time.Time { return now })
		is.NoErr(err)
		is.Equal(until["silent"], now.Add(18*time.Second))
		stored = next.stored(now) // handed on by an owner that does not reach the worker either
	}
}
