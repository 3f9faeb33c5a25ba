package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/admission"
	"github.com/geraniumwick/geraniumwick/internal/batch"
)

// Guards against leases that lapse after a take-over with thousands of workers (issue 45): the first reports, and the renewals that
// follow from them, wait behind all reports that jobs need.
func TestReportsGoByWhatTheirWorkersMayLose(t *testing.T) {
	const least, maxLease = 2, 6 * time.Second
	now := time.Unix(1_000_000, 0)
	need := batch.Need{Priority: 1, By: now.Add(time.Second)}
	for _, c := range []struct {
		name string
		rn   *renewer
		want admission.Request
	}{
		{"after a take-over, a former owner's lease may last", &renewer{began: now.Add(-time.Second), runsTasks: true}, admission.Request{}},
		{"any lease of a former owner has ended", &renewer{began: now.Add(-maxLease), runsTasks: true}, admission.Request{Priority: least}},
		{"its lease has ended, it may be gone", &renewer{began: now.Add(-time.Second), runsTasks: true, need: need, leaseEnd: now}, admission.Request{Priority: least}},
		{"a job needs an end", &renewer{runsTasks: true, need: need, leaseEnd: now.Add(4 * time.Second), renewalDue: now.Add(2 * time.Second)}, admission.Request{Priority: 1, Due: need.By}},
		{"the lease is urgent before", &renewer{runsTasks: true, need: need, leaseEnd: now.Add(4 * time.Second), renewalDue: now.Add(time.Millisecond)}, admission.Request{Priority: 1, Due: now.Add(time.Millisecond)}},
		{"only the lease needs it", &renewer{runsTasks: true, leaseEnd: now.Add(4 * time.Second), renewalDue: now.Add(2 * time.Second)}, admission.Request{Priority: least, Due: now.Add(2 * time.Second)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := confirmedLeader(t)
			l.owner.opts.MaxWorkerLease = maxLease
			l.leastPriority.Store(least)
			c.rn.leader = l
			c.want.Class = admission.Report
			is.Equal(c.rn.reportRequest(now), c.want)
		})
	}
}
