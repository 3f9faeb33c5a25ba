package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against latency figures that are seen seconds apart, since their report waits to be sent and then at the worker (issue 50,
// SHORT): best-effort tasks press the others for as long (HARM).
func TestReportsOfLatenciesWaitNoLongerForHavingWaitedToBeSent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name         string
		showsLatency bool
		maxWait      time.Duration
		since        time.Duration // the last report
		want         time.Duration
	}{
		{"sent at once", true, busyWait, 0, busyWait},
		{"sent after a wait", true, busyWait, 600 * time.Millisecond, 400 * time.Millisecond},
		{"sent after a long wait", true, busyWait, 2 * time.Second, colocatedWait},
		{"a short wait at the worker", true, colocatedWait, 2 * time.Second, colocatedWait},
		{"no lease yet", true, 0, 2 * time.Second, 0},
		{"no latencies are needed", false, busyWait, 2 * time.Second, busyWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := renewalParams{showsLatency: c.showsLatency, maxWait: c.maxWait, reportedAt: now.Add(-c.since)}
			is.Equal(p.reportWait(now), c.want)
		})
	}
}
