package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// randomStream separates the scheduler's random numbers from other users of the same seed.
const randomStream = 0x5ced

// Scheduler is the Policy of one partition. It is not safe for concurrent use.
type Scheduler struct {
	random  *rand.Rand
	weights config.Weights

	classes  map[model.JobClass]*classEstimate
	services map[model.Service]*serviceEffects
	// pairs lists the entries of services in order of creation.
	pairs   []*pairEffects
	workers map[model.WorkerID]*workerState
	jobs    map[model.JobID]*jobState
	budget  evictionBudget
	goals   goals
	urgent  urgentDemand
	holds   []hold
	// out holds the data centres of the last snapshot and whether they are out of service.
	out map[model.DataCentre]bool
	// largest is the largest amount of each resource on any worker.
	largest model.Resources

	pending      map[model.WorkerID]*WorkerSamples
	pendingOrder []model.WorkerID
	forgotAt     time.Time

	// deadlines holds the shortest deadline of each service in the document deadlinesOf.
	deadlines   map[model.Service]time.Duration
	deadlinesOf *config.Document
}

var _ Policy = (*Scheduler)(nil)

// New returns a Scheduler without learned state. The weights apply while the document of
// a snapshot sets none.
func New(seed uint64, w config.Weights) *Scheduler {
	return &Scheduler{
		random:   rand.New(rand.NewPCG(seed, randomStream)),
		weights:  w,
		goals:    goalsOf(w),
		classes:  map[model.JobClass]*classEstimate{},
		services: map[model.Service]*serviceEffects{},
		workers:  map[model.WorkerID]*workerState{},
		jobs:     map[model.JobID]*jobState{},
		pending:  map[model.WorkerID]*WorkerSamples{},
	}
}

// Plan implements Policy. Without a document nothing is decided.
func (s *Scheduler) Plan(snapshot *Snapshot) Plan {
	var plan Plan
	if snapshot.Document == nil {
		return plan
	}
	s.goals = goalsOf(s.weightsFor(snapshot.Document))
	s.urgent.observe(s, snapshot)
	r := newRound(s, snapshot)
	r.refreshHolds()
	r.evacuate(&plan)
	r.anticipate(&plan)
	r.relieve(r.digest(), &plan)
	r.park(&plan)
	r.placeQueue(&plan)
	s.forget(snapshot.Now)
	return plan
}

// weightsFor returns the weights of the document, or those given to New if it has none.
func (s *Scheduler) weightsFor(doc *config.Document) config.Weights {
	if doc.Operators.Weights == (config.Weights{}) {
		return s.weights
	}
	return doc.Operators.Weights
}
