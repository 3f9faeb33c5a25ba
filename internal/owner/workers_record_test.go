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
	until, err := r.restore([]byte{0xa1, 0x61}, latest) // a map whose first entry is cut off
	is.True(err != nil)
	is.Equal(until, map[batch.WorkerID]time.Time{unreadableWorkers: latest})
	is.Equal(len(r.leaseEnds), 0)
	r.set("w1", 0)
	is.True(r.dirty) // the next transaction replaces the damaged record
}
