// Package work is what the stand-in workers find in the payload of a job.
package work

import (
	"encoding/json"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Payload describes what a job does: what its attempts really do, unlike what was declared.
type Payload struct {
	// CPUTime is the processor time of the whole job without throttling.
	CPUTime time.Duration `json:"run"`
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

// FromAttempt reads the payload of a start and fills in defaults.
func FromAttempt(s platform.StartAttempt) Payload {
	var w Payload
	// A payload that is not ours leaves the defaults.
	_ = json.Unmarshal(s.Payload, &w)
	if w.CPUTime == 0 {
		w.CPUTime = s.DeclaredRun
	}
	if w.CPUTime == 0 {
		w.CPUTime = defaultRun
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
