// Package fleet holds stand-ins for the platform's workers, for the targets that run on them
// and for the inventory that lists both, in one process. Tests can inject faults and read an
// independent log of what was executed.
package fleet

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/standin/fleet/work"
)

// attempt is an attempt that the worker has accepted and whose end the owner has not acknowledged.
type attempt struct {
	id          model.AttemptID
	partition   model.Partition
	class       model.JobClass
	reservation model.Resources
	payload     work.Payload
	state       model.AttemptState
	sequence    uint64
	checkpoint  model.CheckpointID
	progress    float64
	throttle    float64
	updated     time.Time
	err         string
}

// advance adds the progress made since the last call.
func (a *attempt) advance(now time.Time) {
	if a.state.Ended() {
		return
	}
	elapsed := now.Sub(a.updated)
	a.updated = now
	a.progress += a.throttle * elapsed.Seconds() / a.payload.CPUTime.Seconds()
}

// used returns the resources that the attempt uses at present.
func (a *attempt) used() model.Resources {
	return model.Resources{
		MilliCPU:     int64(a.throttle * float64(a.payload.UsedMilliCPU)),
		MemoryMB:     a.payload.UsedMemoryMB,
		Accelerators: a.reservation.Accelerators,
	}
}

// report returns the worker's report about the attempt.
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
