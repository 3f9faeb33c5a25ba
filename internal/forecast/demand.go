// Package forecast predicts what tasks will need and when they will end, from what was seen of earlier ones. It is pure: it has
// no clock and no I/O, and it keeps a bounded amount of memory.
package forecast

import "slices"

// demandSamples is the number of samples after which Demand forgets the oldest one.
const demandSamples = 120

// Demand follows how much of a resource short tasks need at once, running and waiting ones together. The zero value has seen
// nothing.
type Demand struct {
	samples ring[int64]
}

// Observe adds a sample. The caller adds them at a fixed interval.
func (d *Demand) Observe(amount int64) { d.samples.add(amount, demandSamples) }

// Peak returns the highest amount among the samples; 0 if there is none.
func (d *Demand) Peak() int64 {
	if len(d.samples.values) == 0 {
		return 0
	}
	return slices.Max(d.samples.values)
}

const (
	// sizeSamples is the number of steps after which Sizes forgets the oldest one.
	sizeSamples = 64
	// typicalShare and ampleShare are the shares of the tasks that fit into what Sizes.Typical and Sizes.Ample return.
	typicalShare = 0.5
	ampleShare   = 0.9
)

// Sizes follows how much of a resource single tasks need. The zero value has seen nothing.
type Sizes struct {
	samples ring[int64]
}

// Observe adds the need of the tasks of one step.
func (s *Sizes) Observe(amount int64) { s.samples.add(amount, sizeSamples) }

// Ample returns the amount that suffices for ampleShare of the tasks; 0 if none was seen.
func (s *Sizes) Ample() int64 { return quantile(s.samples.values, ampleShare) }

// Typical returns the amount that suffices for typicalShare of the tasks; 0 if none was seen.
func (s *Sizes) Typical() int64 { return quantile(s.samples.values, typicalShare) }
