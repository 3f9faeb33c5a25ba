// Package fleet holds stand-ins of the platform's workers, of the targets that run on them
// and of the inventory that lists both, in one process, with faults on demand and a record
// of its own of what was executed.
package fleet

import (
	"encoding/json"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Work is the payload of a job: what its attempts really do, unlike what was declared.
type Work struct {
	// Run is the processor time of the whole job without throttling.
	Run time.Duration `json:"run"`
	// UsedMilliCPU and UsedMemoryMB are what an attempt really uses; zero means the
	// reservation.
	UsedMilliCPU int64 `json:"usedMilliCPU,omitempty"`
	UsedMemoryMB int64 `json:"usedMemoryMB,omitempty"`
	// Noise is the inflation of the latency of targets on the same worker that one
	// processor of this work causes.
	Noise float64 `json:"noise,omitempty"`
	// Fails makes every attempt fail at the end.
	Fails bool `json:"fails,omitempty"`
}

// Defaults of Work.
const (
	defaultRun   = 1 * time.Second
	defaultNoise = 0.02
)

// workOf reads the payload of a start and fills in defaults.
func workOf(s platform.StartAttempt) Work {
	var w Work
	// A payload that is not ours leaves the defaults.
	_ = json.Unmarshal(s.Payload, &w)
	if w.Run == 0 {
		w.Run = s.DeclaredRun
	}
	if w.Run == 0 {
		w.Run = defaultRun
	}
	if w.UsedMilliCPU == 0 {
		w.UsedMilliCPU = s.Reservation.MilliCPU
	}
	if w.UsedMemoryMB == 0 {
		w.UsedMemoryMB = s.Reservation.MemoryMB
	}
	if w.Noise == 0 {
		w.Noise = defaultNoise
	}
	return w
}

// attempt is one attempt that the worker knows.
type attempt struct {
	id          model.AttemptID
	partition   model.Partition
	class       model.JobClass
	reservation model.Resources
	work        Work
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
	a.progress += a.throttle * elapsed.Seconds() / a.work.Run.Seconds()
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
