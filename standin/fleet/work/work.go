// Package work defines the payload by which a job tells the stand-in workers what to simulate.
package work

import (
	"encoding/json"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// Payload describes what the attempts of a job actually do, which may differ from what the job
// declares to the scheduler.
type Payload struct {
	// CPUTime is the time that the whole job takes without throttling.
	CPUTime time.Duration `json:"run"`
	// UsedMilliCPU and UsedMemoryMB are what an attempt actually uses; zero means as much as
	// its reservation.
	UsedMilliCPU int64 `json:"usedMilliCPU,omitempty"`
	UsedMemoryMB int64 `json:"usedMemoryMB,omitempty"`
	// Noise is the relative increase of the latency of targets on the same worker for each
	// core that this job uses.
	Noise float64 `json:"noise,omitempty"`
	// Fails makes every attempt fail once its CPU time is used up.
	Fails bool `json:"fails,omitempty"`
}

// Defaults of Payload.
const (
	defaultCPUTime = 1 * time.Second
	defaultNoise   = 0.02
)

// FromAttempt reads the payload of a start and fills in defaults.
func FromAttempt(s platform.StartAttempt) Payload {
	var p Payload
	// A payload of another format leaves all fields at their defaults.
	_ = json.Unmarshal(s.Payload, &p)
	if p.CPUTime == 0 {
		p.CPUTime = s.DeclaredRun
	}
	if p.CPUTime == 0 {
		p.CPUTime = defaultCPUTime
	}
	if p.UsedMilliCPU == 0 {
		p.UsedMilliCPU = s.Reservation.MilliCPU
	}
	if p.UsedMemoryMB == 0 {
		p.UsedMemoryMB = s.Reservation.MemoryMB
	}
	if p.Noise == 0 {
		p.Noise = defaultNoise
	}
	return p
}
