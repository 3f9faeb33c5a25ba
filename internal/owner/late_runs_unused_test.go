package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// Guards against a task that runs again after its end was acknowledged (TWICE): a worker drains, so that it has left the record when
// another owner takes over, and its next incarnation may still carry out a start late.
func TestTheRecordTellsOfLateStartsOfWorkersThatAreNotInUse(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newWorkerRecord(2, 0)
	r.setRenewed("drained")
	r.noteFenced("drained", batch.FencedIncarnation{Number: 7, Settled: true})
	r.noteLateRun("drained", "j", now, now.Add(3*time.Second))
	var txn recordTxn
	is.Equal(r.addTo(&txn, nil, now), []batch.WorkerID{"drained"})
	is.Equal(txn.workers, nil) // it must be recorded anew before a start
	is.True(!r.contains("drained"))
	for epoch := int64(3); epoch < 6; epoch++ { // each owner hands on what is not over
		next := newWorkerRecord(epoch, 0)
		until, err := next.restore(txn.txn.Set[0].Value, now, now.Add(time.Minute), unknownEpochs)
		is.NoErr(err)
		is.Equal(next.formerLateStarts(time.Second)["drained"].Jobs, map[string]bool{"j": true})
		is.Equal(next.fenced["drained"].Number, int64(7))
		is.True(!until["drained"].After(now)) // it runs nothing, so that no task waits for it
		txn = recordTxn{}
		next.addTo(&txn, nil, now)
		r = next
	}
	later := now.Add(3*time.Second + lateRunsSlack)
	r.noteEndedLeases(later)
	is.True(r.dirty)
	txn = recordTxn{}
	r.addTo(&txn, nil, later)
	next := newWorkerRecord(6, 0)
	_, err := next.restore(txn.txn.Set[0].Value, later, later.Add(time.Minute), unknownEpochs)
	is.NoErr(err)
	is.Equal(len(next.lateRuns)+len(next.fenced), 0)
	is.Equal(len(r.lateRuns)+len(r.fenced), 0)
}

// Guards against the same from start to end.
func TestACopyOfAStartOfAFormerOwnerIsCarriedOutByAWorkerThatHadDrained(t *testing.T) {
	withHarness(t, func(h *harness) {
		c := &lateCopies{rebornWorkers: newSilentWorkers(h), delay: 11 * time.Second, late: h.ctx}
		c.startOwner(h, "a", c)
		h.sleep(3 * time.Second)
		c.startOwner(h, "b", c)
		h.submit("j", tasks(4))
		h.sleep(2 * time.Second)
		c.off.Store(true)
		h.is.Equal(len(h.workers.firstDone), 4) // otherwise the test shows nothing
		h.is.True(c.keptEnds() > 0)
		h.store.set("w/w0", []byte("draining"))
		h.sleep(1500 * time.Millisecond)
		h.stops["a"]()
		h.sleep(6500 * time.Millisecond)
		h.is.Equal(h.leader(), "b")
		h.loseWorkers([]batch.WorkerID{"w0"})
		c.restart()
		h.sleep(2 * time.Second)
		h.store.set("w/w0", []byte("reborn"))
		h.findWorkers([]batch.WorkerID{"w0"})
		h.sleep(20 * time.Second)
		h.is.Equal(h.workers.overlaps, 0)
		h.is.Equal(h.workers.repeatedEnds, 0)
	}, "w0")
}
