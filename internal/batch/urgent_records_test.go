package batch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a record that is not written for as long as steps of other jobs wait for theirs, and with it the
// acknowledgement of all ends since.
func TestUrgentRecordsDoNotHoldUpTheOldestForLong(t *testing.T) {
	is := is.New(t)
	const n = 8
	s, now := newTestState("a")
	addJob(s, "old", "q", now, taskStep(1, 1000))
	s.Cancel("old", now)
	oldest := s.dirty.oldestSeq()
	for i := range 3 {
		for k := range 2 * n {
			addJob(s, fmt.Sprint("urgent", i, "-", k), "q", now, taskStep(1, 1))
		}
		s.Plan(now)
		is.True(s.HasUrgentRecords())
		if s.TakeDirty(n); s.dirty.oldestSeq() > oldest {
			return
		}
	}
	t.Fatal("the oldest record was not taken")
}

// Urgent records come first where all find a place.
func TestUrgentRecordsComeFirst(t *testing.T) {
	is := is.New(t)
	const n = 8
	s, now := newTestState("a")
	for i := range 2 * n {
		addJob(s, fmt.Sprint("old", i), "q", now, taskStep(1, 1000))
		s.Cancel(fmt.Sprint("old", i), now)
	}
	for i := range 4 {
		addJob(s, fmt.Sprint("urgent", i), "q", now, taskStep(1, 1))
	}
	s.Plan(now)
	s.TakeDirty(n)
	is.True(!s.HasUrgentRecords())
}

// Guards against a job that waits for tens of seconds for the record of its start while those of newer jobs are written,
// as more wait than find a place.
func TestUrgentRecordsAreTakenInTheirOrder(t *testing.T) {
	is := is.New(t)
	const n, jobs = 8, 40
	s, now := newTestState("a")
	for i := range jobs {
		addJob(s, fmt.Sprintf("j%02d", i), "q", now, taskStep(1, 1))
		s.Plan(now)
	}
	taken := 0
	for s.HasUrgentRecords() {
		records := s.TakeDirty(n)
		for i := range len(records) {
			_, ok := records[fmt.Sprintf("j%02d", taken+i)]
			is.True(ok)
		}
		taken += len(records)
	}
	is.Equal(taken, jobs)
}

// Guards against a job of high priority that waits for the record of its start behind those of a burst of lower priority, as more
// wait than find a place (issue 50, SHORT: requests to workers waited like that).
func TestUrgentRecordsGoByThePriorityOfTheirQueues(t *testing.T) {
	is := is.New(t)
	const n = 8
	s, now := newTestState("a")
	s.SetConfig(Config{Version: 2, Queues: map[string]Queue{"q": {Service: "svc", MaxAttempts: 3}, "low": {Service: "svc", MaxAttempts: 3, Priority: 2}}})
	for i := range 4 * n {
		addJob(s, fmt.Sprintf("low%02d", i), "low", now, taskStep(1, 1))
	}
	s.Plan(now)
	addJob(s, "high", "q", now, taskStep(1, 1))
	s.Plan(now)
	is.True(s.UrgentRecords() > n)
	_, taken := s.TakeDirty(n)["high"]
	is.True(taken)
}
