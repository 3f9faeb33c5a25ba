package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// Guards against two runs of a task (TWICE), and against tasks that stay down (LOST): the record of workers names those whose next incarnation
// may carry out a start late, for how long, and the jobs. Records of earlier versions do not tell, so all workers may.
func TestTheRecordTellsForHowLongLateStartsMayRun(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	latest := now.Add(10 * time.Second)
	const unsettled = 4 * time.Second
	unknown := latest.Add(unsettled + maxLateness)
	some := now.Add(15 * time.Second)
	for _, c := range []struct {
		name     string
		until    time.Time
		jobs     []string
		restored *lateRuns
	}{
		{name: "none"},
		{name: "over", until: now.Add(-time.Minute), jobs: []string{"j"}},
		{name: "two jobs", until: some, jobs: []string{"k", "j", "k"}, restored: &lateRuns{until: some.Add(lateRunsSlack), jobs: map[string]bool{"j": true, "k": true}}},
		{name: "jobs with long names", until: some, jobs: []string{strings.Repeat("j", maxLateJobBytes+1), "k"}, restored: &lateRuns{until: some.Add(lateRunsSlack)}},
		{name: "not beyond what former owners may have sent", until: now.Add(time.Hour), jobs: []string{"j"}, restored: &lateRuns{until: unknown, jobs: map[string]bool{"j": true}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newWorkerRecord(2, unsettled)
			r.setRenewed("renewed")
			for _, job := range c.jobs {
				r.noteLateRun("renewed", job, c.until.Add(-time.Hour), c.until)
			}
			next := newWorkerRecord(3, unsettled)
			_, err := next.restore(r.stored(now), now, latest, unknownEpochs)
			is.NoErr(err)
			is.Equal(next.lateRuns["renewed"], c.restored)
		})
	}
	is := is.New(t)
	next := newWorkerRecord(3, unsettled)
	_, err := next.restore(encode(map[batch.WorkerID]recordedLease{"renewed": {}}), now, latest, unknownEpochs)
	is.NoErr(err)
	is.Equal(next.lateRuns["renewed"], &lateRuns{until: unknown, assumed: true}) // of an earlier version
}

// Guards against tasks that stay down (LOST): the record tells of late starts of long ago, and of their jobs.
func TestTheRecordTellsOfLateStartsAnewUntilTheyAreOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newWorkerRecord(2, 0)
	r.setRenewed("renewed")
	r.noteLateRun("renewed", "j", now, now.Add(3*time.Second))
	var left []time.Duration
	for range 20 {
		if r.noteEndedLeases(now); r.dirty {
			r.stored(now)
			var lease recordedLease
			r.addLateRuns(&lease, "renewed", now)
			left = append(left, lease.LateRuns)
		}
		now = now.Add(500 * time.Millisecond)
	}
	is.Equal(left, []time.Duration{5 * time.Second, 3 * time.Second, time.Second, noLateRuns})
	r.noteLateRun("renewed", "k", now, now.Add(time.Second))
	is.Equal(r.lateRuns["renewed"].jobs, map[string]bool{"k": true})
}

// Guards against a record that is written for each start, and against one that is behind what may happen.
func TestTheRecordIsWrittenForLateStartsFromTimeToTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newWorkerRecord(2, 0)
	r.noteLateRun("renewed", "j", now, now)
	is.True(!r.contains("renewed")) // nothing is started on a worker that is not recorded
	r.setRenewed("renewed")
	r.stored(now)
	writes := 0
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(10 * time.Millisecond) {
		r.noteLateRun("renewed", "j", at, at)
		is.True(!r.lateRuns["renewed"].until.Before(at))
		if r.dirty {
			writes++
			r.stored(at)
		}
	}
	is.Equal(writes, 5) // once each lateRunsSlack
	r.noteLateRun("renewed", "k", now, now)
	is.True(r.dirty) // another job
}

// Guards against a record that the store does not take.
func TestTheRecordOfManyLateStartsIsSmall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newWorkerRecord(2, 0)
	used := map[batch.WorkerID]bool{}
	const workers, maxValueBytes = 3000, 1 << 20
	for i := range workers {
		id := batch.WorkerID(fmt.Sprintf("i-%010d", i))
		used[id] = true
		r.setRenewed(id)
		for job := range 10 {
			r.noteLateRun(id, fmt.Sprintf("%016d", job), now, now.Add(time.Minute))
		}
	}
	var txn recordTxn
	r.addTo(&txn, used, now)
	is.True(len(txn.txn.Set[0].Value)*4/3 < maxValueBytes)
}
