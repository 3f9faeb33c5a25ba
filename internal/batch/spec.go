// Package batch is the pure state machine of batch jobs: graphs of steps whose tasks run on
// workers under leases. It has no clock and no I/O; its caller passes the time, what the
// workers reported and what was answered, and carries out the actions that Plan returns.
package batch

import (
	"errors"
	"fmt"
	"time"
)

// The bounds of a specification. They keep one job from filling an instance's memory.
const (
	MaxSteps   = 64
	MaxTasks   = 20_000
	MaxPayload = 4_000 // bytes
	MaxRepeats = 10_000
)

// Resources is an amount of what a worker has.
type Resources struct {
	CPU      int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPU      int64 `cbor:"3,keyasint,omitempty"`
}

// Fits reports whether r is at most room in each resource.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.MemoryMB <= room.MemoryMB && r.GPU <= room.GPU
}

func (r Resources) plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

func (r Resources) minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Step is a set of equal tasks.
type Step struct {
	Count     int           `cbor:"1,keyasint"`
	Resources Resources     `cbor:"2,keyasint"`
	Estimate  time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps, all of whose tasks must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints says that the tasks save their progress and can resume from it.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang says that the tasks work only together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// RackLocal says that the tasks are slower on more than one rack.
	RackLocal bool `cbor:"7,keyasint,omitempty"`
	// DataRack is the rack that the data is on; elsewhere the tasks are slower.
	DataRack string `cbor:"8,keyasint,omitempty"`
	// Label must be among the labels of the worker.
	Label string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative allows copies of a task to run in parallel.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted however they end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// MaxDisrupted bounds the tasks that the scheduler may make unavailable at once; 0 is no bound.
	MaxDisrupted int    `cbor:"13,keyasint,omitempty"`
	Image        string `cbor:"14,keyasint,omitempty"`
	// LatencyTarget bounds the tail latency of the users of a long-running task.
	LatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// BestEffort tasks use the processors that others leave; their CPU is not reserved.
	BestEffort bool `cbor:"16,keyasint,omitempty"`
}

// reserved returns what a task of the step takes of a worker's capacity.
func (s *Step) reserved() Resources {
	need := s.Resources
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// Spec is what a caller submits.
type Spec struct {
	// Payload is passed to each task unchanged.
	Payload string `cbor:"1,keyasint"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repeats is the number of scheduled occurrences; 0 is a job that runs once, at once.
	Repeats    int           `cbor:"3,keyasint,omitempty"`
	FirstStart time.Time     `cbor:"4,keyasint,omitempty"`
	Interval   time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeats) }

// Due returns when an occurrence may start; the zero time is at once.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeats == 0 {
		return time.Time{}
	}
	return s.FirstStart.Add(time.Duration(occurrence) * s.Interval)
}

// LongRunning reports whether any step lasts until the job is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Validate returns the first fault of the specification in words for its author.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayload {
		return fmt.Errorf("spec has %d bytes, at most %d are allowed", len(s.Payload), MaxPayload)
	}
	if len(s.Steps) == 0 {
		return errors.New("steps is empty")
	}
	if len(s.Steps) > MaxSteps {
		return fmt.Errorf("%d steps, at most %d are allowed", len(s.Steps), MaxSteps)
	}
	if s.Repeats < 0 || s.Repeats > MaxRepeats {
		return fmt.Errorf("%d repeats, 0 to %d are allowed", s.Repeats, MaxRepeats)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Steps[i].Count
	}
	if tasks*s.Occurrences() > MaxTasks {
		return fmt.Errorf("%d tasks, at most %d are allowed", tasks*s.Occurrences(), MaxTasks)
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("count is %d, 1 to %d are allowed", s.Count, MaxTasks)
	}
	if s.Resources.CPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.GPU < 0 {
		return errors.New("a resource is negative")
	}
	if s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxDisrupted < 0 || s.LatencyTarget < 0 {
		return errors.New("a bound or time is negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return fmt.Errorf("after names step %d, which is not an earlier one", before)
		}
	}
	return nil
}
