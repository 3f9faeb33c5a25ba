package ledger

import (
	"fmt"
	"strings"
)

// String returns the record as one line of text for logs and tests, without its time.
func (r Record) String() string {
	var b strings.Builder
	b.WriteString(r.Kind.String())
	add := func(set bool, format string, args ...any) {
		if set {
			fmt.Fprintf(&b, " "+format, args...)
		}
	}
	add(r.Job != "", "job=%s", r.Job)
	add(r.Attempt != 0, "attempt=%d", r.Attempt)
	add(r.Worker != "", "worker=%s", r.Worker)
	add(r.Kind == RecordEnded, "state=%s", r.State)
	add(r.Signal != "", "signal=%s", r.Signal)
	add(r.Checkpoint != "", "checkpoint=%s progress=%g", r.Checkpoint, r.Progress)
	add(r.Hop != 0, "partition=%d transfer=%d", r.Partition, r.Hop)
	add(r.Key != "", "key=%s", r.Key)
	add(r.Owner != "", "owner=%s", r.Owner)
	add(r.Kind == RecordOwner, "epoch=%d", r.Epoch)
	add(r.Kind == RecordSettled, "verdict=%s", r.Verdict)
	add(len(r.Jobs) > 0, "jobs=%v", r.Jobs)
	add(len(r.Keys) > 0, "keys=%v", r.Keys)
	add(r.Reason != "", "reason=%q", r.Reason)
	return b.String()
}
