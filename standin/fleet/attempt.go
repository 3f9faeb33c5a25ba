// Package fleet holds stand-ins of the platform's workers, of the targets that run on them
// and of the inventory that lists both, in one process, with faults on demand and a record
// of its own of what was executed.
package fleet

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/standin/fleet/work"
)

// attempt is one attempt that the worker knows.
type attempt struct {
	id          model.AttemptID
	partition   model.Partition
	class       model.JobClass
	reservation model.Resources
	work        work.Payload
	state       model.AttemptState
	sequence    uint64
	checkpoint  model.CheckpointID
	progress    float64
	throttle    float64
	updated     time.Time
	err         string
}

// advance adds the progress since the last call.
func (a *attempt) advance(now time.Time) {
	if a.state.Ended() {
		return
	}
	elapsed := now.Sub(a.updated)
	a.updated = now
	a.progress += a.throttle * elapsed.Seconds() / a.work.CPUTime.Seconds()
}

// used returns what the attempt uses at present.
func (a *attempt) used() model.Resources {
	return model.Resources{
		MilliCPU:     int64(a.throttle * float64(a.work.UsedMilliCPU)),
		MemoryMB:     a.work.UsedMemoryMB,
		Accelerators: a.reservation.Accelerators,
	}
}

// report returns what the worker says of the attempt.
func (a *attempt) report() platform.AttemptReport {
	return platform.AttemptReport{
		Sequence:   a.sequence,
		Attempt:    a.id,
		State:      a.state,
		Checkpoint: a.checkpoint,
		Progress:   min(a.progress, 1),
		Error:      a.err,
	}
}
