package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// Guards against two runs of a task (TWICE), and against tasks that stay down (LOST): the record of workers names those whose next incarnation
// may carry out a start late, for how long, and no others. Records of earlier versions do not tell, so all workers may.
func TestTheRecordTellsForHowLongLateStartsMayRun(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	latest := now.Add(10 * time.Second)
	const unsettled = 4 * time.Second
	unknown := latest.Add(unsettled + maxLateness)
	for _, c := range []struct {
		name     string
		lateRuns time.Time
		earlier  bool
		restored time.Time
	}{
		{name: "none"},
		{name: "over", lateRuns: now.Add(-time.Second)},
		{name: "some", lateRuns: now.Add(15 * time.Second), restored: now.Add(15*time.Second + lateRunsSlack)},
		{name: "not beyond what former owners may have sent", lateRuns: now.Add(time.Hour), restored: unknown},
		{name: "of an earlier version", earlier: true, restored: unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newWorkerRecord(2, unsettled)
			r.setRenewed("renewed")
			if !c.lateRuns.IsZero() {
				r.noteLateRuns("renewed", c.lateRuns)
			}
			stored := r.stored(now.Add(lateRunsSlack))
			if c.lateRuns.After(now) || c.lateRuns.IsZero() {
				stored = r.stored(now)
			}
			if c.earlier {
				stored = encode(map[batch.WorkerID]recordedLease{"renewed": {}})
			}
			next := newWorkerRecord(3, unsettled)
			_, err := next.restore(stored, now, latest, unknownEpochs)
			is.NoErr(err)
			is.Equal(next.lateRuns["renewed"], c.restored)
		})
	}
}

// Guards against tasks that stay down (LOST): the record tells of late starts of long ago.
func TestTheRecordTellsOfLateStartsAnewUntilTheyAreOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newWorkerRecord(2, 0)
	r.setRenewed("renewed")
	r.noteLateRuns("renewed", now.Add(3*time.Second))
	var left []time.Duration
	for range 20 {
		if r.noteEndedLeases(now); r.dirty {
			r.stored(now)
			left = append(left, r.remainingLateRuns("renewed", now))
		}
		now = now.Add(500 * time.Millisecond)
	}
	is.Equal(left, []time.Duration{5 * time.Second, 3 * time.Second, time.Second, noLateRuns})
}

// Guards against a record that is written for each start, and against one that is behind what may happen.
func TestTheRecordIsWrittenForLateStartsFromTimeToTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := newWorkerRecord(2, 0)
	r.noteLateRuns("renewed", now)
	is.True(!r.contains("renewed")) // nothing is started on a worker that is not recorded
	r.setRenewed("renewed")
	r.stored(now)
	writes := 0
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(10 * time.Millisecond) {
		r.noteLateRuns("renewed", at)
		is.True(!r.lateRuns["renewed"].Before(at))
		if r.dirty {
			writes++
			r.stored(at)
		}
	}
	is.Equal(writes, 5) // once each lateRunsSlack
}
