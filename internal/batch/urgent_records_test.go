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
	oldest := s.OldestChange()
	for i := range 3 {
		for k := range 2 * n {
			addJob(s, fmt.Sprint("urgent", i, "-", k), "q", now, taskStep(1, 1))
		}
		s.Plan(now)
		is.True(s.HasUrgentRecords())
		if s.TakeDirty(n); s.OldestChange() > oldest {
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
