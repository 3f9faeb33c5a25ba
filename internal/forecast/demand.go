// Package forecast predicts what tasks will need and when they will end, from what was seen of earlier ones. It is pure: it has
// no clock and no I/O, and it keeps a bounded amount of memory.
package forecast

const (
	// demandSamples is the number of samples after which Demand forgets the oldest one.
	demandSamples = 120
	// highShare is the share of the time in which no more is needed than Demand.High returns.
	highShare = 0.9
)

// Demand follows how much of a resource short tasks need at once, running and waiting ones together. The zero value has seen
// nothing.
type Demand struct {
	samples ring[int64]
}

// Observe adds a sample. The caller adds them at a fixed interval.
func (d *Demand) Observe(amount int64) { d.samples.add(amount, demandSamples) }

// High returns the amount that suffices for highShare of the samples; 0 if there is none.
func (d *Demand) High() int64 { return quantile(d.samples.values, highShare) }

const (
	// sizeSamples is the number of steps after which Sizes forgets the oldest one.
	sizeSamples = 64
	// typicalShare is the share of the tasks that fit into what Sizes.Typical returns.
	typicalShare = 0.5
)

// Sizes follows how much of a resource single tasks need. The zero value has seen nothing.
type Sizes struct {
	samples ring[int64]
}

// Observe adds the need of the tasks of one step.
func (s *Sizes) Observe(amount int64) { s.samples.add(amount, sizeSamples) }

// Typical returns the amount that suffices for typicalShare of the tasks; 0 if none was seen.
func (s *Sizes) Typical() int64 { return quantile(s.samples.values, typicalShare) }
