package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// learnedWeights returns what an owner has learned of pairs of images.
func learnedWeights(pairs int) []batch.InterferenceWeight {
	var weights []batch.InterferenceWeight
	for i := range pairs {
		weights = append(weights, batch.InterferenceWeight{Pair: batch.ImagePair{BestEffort: fmt.Sprint("fill", i), LatencySensitive: "web"}, Mean: 1, Variance: 1})
	}
	return weights
}

// Guards against an owner that stops for good (review case 7, LOST): the store refuses one value for its size, and the transaction that
// holds it is sent again and again, before all others. It refuses values that are smaller than the settings say, too.
func TestAValueThatTheStoreRefusesHoldsNothingUp(t *testing.T) {
	for _, c := range []struct {
		name           string
		told, accepted int // bytes that the settings name and that the store takes
		setAside       bool
	}{{"as the settings say", 2000, 2000, false}, {"smaller than the settings say", 1 << 20, 2000, true}} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.store.maxValueBytes = c.accepted
				h.store.set(interferenceKey, encode(learnedWeights(500)))
				o := New(Options{Instance: "a", BootClock: h.bootClock, Address: "a", LeaseTTL: testLeaseTTL, MaxWorkerLease: 6 * time.Second, JobRetention: retention, MaxValueBytes: c.told},
					h.store, h.workers, fakeRegistry{}, testConfig, zerolog.New(&h.log))
				go o.Run(h.ctx)
				h.sleep(3 * time.Second)
				for i := range 5 {
					h.submit(fmt.Sprint("j", i), tasks(2))
				}
				h.sleep(5 * time.Second)
				for i := range 5 {
					h.is.Equal(h.storedStatus(fmt.Sprint("j", i)), batch.Completed)
					h.requireStartedOnce(fmt.Sprint("j", i), 1, 2)
				}
				h.is.Equal(h.log.count("value.set-aside", interferenceKey) > 0, c.setAside)
				stored := h.store.item(interferenceKey).Value
				h.is.True(c.setAside || len(stored) > c.accepted/4 && len(stored) <= c.accepted) // what fits is handed on
			}, "w1", "w2")
		})
	}
}

// Guards against a head that cannot be written, so that nothing else is ever tried.
func TestOnlyTheHeadIsNeverSetAside(t *testing.T) {
	is := is.New(t)
	l := newTestLeader()
	txn := &recordTxn{workers: []batch.WorkerID{"w"}, txn: kv.Txn{Set: []kv.Write{
		{Key: headKey, Value: make([]byte, 500)}, {Key: workersKey, Value: make([]byte, 300)}, {Key: RecordKey("j"), Value: make([]byte, 400)},
	}}}
	is.True(l.setAsideLargest(txn))
	is.Equal(len(txn.workers), 1)
	is.True(l.setAsideLargest(txn))
	is.Equal(len(txn.workers), 0) // the store does not hold them
	is.True(!l.setAsideLargest(txn))
	is.Equal(txn.txn.Set[0].Key, headKey)
}

// Guards against a job whose record grows too large to be stored after it was accepted: what can be spared is left out, least first.
func TestLargeRecordsAreReduced(t *testing.T) {
	record := batch.Record{Started: true, Steps: []batch.StepProgress{{Done: []byte{1}, MayHaveStarted: true}}}
	for i := range 1000 {
		record.Steps[0].Tasks = append(record.Steps[0].Tasks, batch.TaskProgress{
			Index: i, Failed: []int64{1, 2}, Checkpoint: strings.Repeat("c", 100), Suspicions: []batch.Suspicion{{Run: 1, Worker: "worker", Address: "10.0.0.1:80"}},
		})
	}
	for _, c := range []struct {
		name                    string
		limit                   int
		checkpoints, suspicions bool
	}{{"it fits", 200_000, true, true}, {"without checkpoints", 60_000, false, true}, {"without suspicions", 20_000, false, false}, {"nothing helps", 1000, false, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLeader()
			l.owner.SetLimits(Limits{MaxValueBytes: c.limit})
			got, err := DecodeRecord(l.encodeRecord("j", record))
			is.NoErr(err)
			is.Equal(len(got.Steps[0].Tasks), 1000)
			first := got.Steps[0].Tasks[0]
			is.Equal(first.Failed, []int64{1, 2})
			is.Equal(first.Checkpoint != "", c.checkpoints)
			is.Equal(len(first.Suspicions) > 0, c.suspicions)
			is.True(got.Steps[0].MayHaveStarted)
		})
	}
	is.New(t).Equal(record.Steps[0].Tasks[0].Checkpoint != "", true) // the record itself is unchanged
}

// Guards against a workers record that is larger than the store takes since it names the jobs of many late starts. A record that names
// none stands for any job.
func TestALargeWorkersRecordNamesNoJobs(t *testing.T) {
	is := is.New(t)
	r, now := newWorkerRecord(1, 0), time.Now()
	used := map[batch.WorkerID]bool{}
	for i := range 100 {
		id := batch.WorkerID(fmt.Sprint("w", i))
		used[id] = true
		r.setRenewed(id)
		r.noteLateRun(id, "5c0e7a21d94b36f8", now, now.Add(time.Minute))
	}
	leases := func(limit int) map[batch.WorkerID]recordedLease {
		var txn recordTxn
		r.maxBytes = limit
		r.addTo(&txn, used, now)
		next := newWorkerRecord(2, 0)
		_, err := next.restore(txn.txn.Set[0].Value, now, now.Add(time.Minute), func(int64) time.Time { return time.Time{} })
		is.NoErr(err)
		out := map[batch.WorkerID]recordedLease{}
		for id, late := range next.lateRuns {
			out[id] = recordedLease{LateRuns: late.until.Sub(now)}
			if late.jobs != nil {
				out[id] = recordedLease{LateJobs: []string{"some"}}
			}
		}
		return out
	}
	is.Equal(len(leases(kv.MaxValueBytes)["w0"].LateJobs), 1)
	reduced := leases(1000)
	is.Equal(len(reduced), 100)
	is.Equal(len(reduced["w0"].LateJobs), 0)
	is.True(reduced["w0"].LateRuns > 0)
}
