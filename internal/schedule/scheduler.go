package schedule

import (
	"math/rand/v2"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// randomStream separates the scheduler's random numbers from other users of the same seed.
const randomStream = 0x5ced

// Scheduler is the Policy of one partition. It is not safe for concurrent use.
type Scheduler struct {
	random  *rand.Rand
	weights config.Weights
}

var _ Policy = (*Scheduler)(nil)

// New returns a Scheduler without learned state. The weights apply while the document of
// a snapshot sets none.
func New(seed uint64, w config.Weights) *Scheduler {
	return &Scheduler{
		random:  rand.New(rand.NewPCG(seed, randomStream)),
		weights: w,
	}
}

// Plan implements Policy.
func (s *Scheduler) Plan(snapshot *Snapshot) Plan {
	r := newRound(s, snapshot)
	var plan Plan
	r.evacuate(&plan)
	r.placeQueue(&plan)
	return plan
}

// Observe implements Policy.
func (s *Scheduler) Observe(WorkerSamples) {}

// Ended implements Policy.
func (s *Scheduler) Ended(AttemptEnd) {}

// weightsFor returns the weights of the document, or those given to New if it has none.
func (s *Scheduler) weightsFor(doc *config.Document) config.Weights {
	if doc == nil || doc.Operators.Weights == (config.Weights{}) {
		return s.weights
	}
	return doc.Operators.Weights
}

// reservation returns what a job is given on a worker.
func (s *Scheduler) reservation(spec *model.JobSpec) model.Resources {
	return atLeast(spec.Declared, minimumReservation)
}
