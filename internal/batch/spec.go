// Package batch implements the state machine and the placement policy of batch jobs. A job is a graph
// of steps; the tasks of a step run on workers, which hold leases from the owner of the jobs.
//
// The package is pure: it has no clock and no I/O. The caller passes in the time, the reports of the
// workers and the answers to requests, and carries out the actions that Plan returns.
//
// Three kinds of tasks matter to placement. Long-running tasks run until their job is cancelled;
// all others are short. Latency-sensitive tasks are those of steps with a latency target, mostly
// long-running services. Best-effort tasks reserve no CPU and use what other tasks leave, within CPU
// limits that keep the latency targets on the same worker; see interferenceModel.
package batch

import (
	"errors"
	"fmt"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/resources"
)

// The limits of a specification. They bound the memory that one job takes of an instance.
const (
	MaxSteps   = 64
	MaxTasks   = 20_000
	MaxPayload = 4_000 // bytes
	MaxRepeats = 10_000
	// MaxAmount bounds each resource of a task. It lies beyond any worker, so that a job that can never be
	// placed is accepted, but sums of such amounts do not overflow.
	MaxAmount = 1 << 40
	// MaxTime bounds estimates, latency targets and the time from the first to the last occurrence.
	MaxTime = 10 * 365 * 24 * time.Hour
)

// Resources is an amount of each kind of resource.
type Resources = resources.Amount

// Step is a set of identical tasks.
type Step struct {
	Count     int           `cbor:"1,keyasint"`
	Resources Resources     `cbor:"2,keyasint"`
	Estimate  time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps that this step depends on. All their tasks must be done before a
	// task of this step starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set if the tasks save their progress and can resume from it.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set if all tasks must run at the same time. They start, restart and complete together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// RackLocal is set if the tasks are slower when spread over more than one rack.
	RackLocal bool `cbor:"7,keyasint,omitempty"`
	// DataRack is the rack that holds the data; the tasks are slower on other racks.
	DataRack string `cbor:"8,keyasint,omitempty"`
	// Label is a label that the worker must have; empty for none.
	Label string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative allows copies of a task to run in parallel.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled. They are restarted whenever they
	// end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// MaxDisrupted bounds the tasks that the scheduler may make unavailable at once; 0 is no bound.
	MaxDisrupted int    `cbor:"13,keyasint,omitempty"`
	Image        string `cbor:"14,keyasint,omitempty"`
	// LatencyTarget is the highest acceptable tail latency of the requests that a task serves; 0 for
	// no target.
	LatencyTarget time.Duration `cbor:"15,keyasint,omitempty"`
	// BestEffort is set if the tasks use only CPU that other tasks leave. Their CPU is not reserved.
	BestEffort bool `cbor:"16,keyasint,omitempty"`
}

// reserved returns the resources that a task of the step reserves on its worker.
func (s *Step) reserved() Resources {
	need := s.Resources
	if s.BestEffort {
		need.CPU = 0
	}
	return need
}

// Spec is the specification of a job as a caller submits it.
type Spec struct {
	// Payload is passed to each task unchanged.
	Payload string `cbor:"1,keyasint"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repeats is the number of scheduled occurrences; 0 for a job that runs once, without a schedule.
	Repeats    int           `cbor:"3,keyasint,omitempty"`
	FirstStart time.Time     `cbor:"4,keyasint,omitempty"`
	Interval   time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeats) }

// Due returns the time from which an occurrence may start. The zero time means immediately.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Repeats == 0 {
		return time.Time{}
	}
	return s.FirstStart.Add(time.Duration(occurrence) * s.Interval)
}

// LongRunning reports whether any step runs until the job is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Validate returns an error that describes the first fault of the specification to its author, or nil.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayload {
		return fmt.Errorf("spec has %d bytes, at most %d are allowed", len(s.Payload), MaxPayload)
	}
	if len(s.Steps) == 0 {
		return errors.New("the specification has no steps")
	}
	if len(s.Steps) > MaxSteps {
		return fmt.Errorf("%d steps, at most %d are allowed", len(s.Steps), MaxSteps)
	}
	if s.Repeats < 0 || s.Repeats > MaxRepeats {
		return fmt.Errorf("%d repeats, 0 to %d are allowed", s.Repeats, MaxRepeats)
	}
	if s.Interval < 0 || s.Interval > MaxTime/time.Duration(s.Occurrences()) {
		return fmt.Errorf("an interval of %s between %d occurrences, from 0 to %s in all are allowed", s.Interval, s.Repeats, MaxTime)
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
	for _, amount := range []int64{s.Resources.CPU, s.Resources.MemoryMB, s.Resources.GPU} {
		if amount < 0 || amount > MaxAmount {
			return fmt.Errorf("the amount of a resource is %d, 0 to %d are allowed", amount, int64(MaxAmount))
		}
	}
	if s.Estimate > MaxTime || s.LatencyTarget > MaxTime {
		return fmt.Errorf("estimate or latency target is above %s", MaxTime)
	}
	if s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxDisrupted < 0 || s.LatencyTarget < 0 {
		return errors.New("estimate, maximum per worker, maximum disrupted or latency target is negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return fmt.Errorf("after refers to step %d, which is not an earlier step", before)
		}
	}
	return nil
}
