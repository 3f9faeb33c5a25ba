package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// randomStream separates the random numbers of the scheduler from those of other users of the same
// seed.
const randomStream = 0x5ced

// Scheduler is the Policy of one partition. It is not safe for concurrent use.
type Scheduler struct {
	random  *rand.Rand
	weights config.Weights

	classes  map[model.JobClass]*classEstimate
	services map[model.Service]*serviceEffects
	// allBands lists the entries of services in order of creation.
	allBands   []*bandEffects
	workers    map[model.WorkerID]*workerState
	jobs       map[model.JobID]*jobState
	budget     evictionBudget
	objectives objectives
	urgent     urgentDemand
	dedicated  []dedicatedWorker
	// out tells for each data centre of the last snapshot whether it was out of service.
	out map[model.DataCentre]bool
	// largest is the largest capacity of any worker, separately for each resource.
	largest model.Resources

	// pending holds the samples that no call of Plan has learned from yet, pendingOrder the workers
	// with such samples, the longest waiting first.
	pending        map[model.WorkerID]*WorkerSamples
	pendingOrder   []model.WorkerID
	staleDroppedAt time.Time

	// deadlines caches the shortest deadline of each service in the document deadlinesDocument.
	deadlines         map[model.Service]time.Duration
	deadlinesDocument *config.Document
}

var _ Policy = (*Scheduler)(nil)

// New returns a Scheduler without learned state. The weights w apply to snapshots whose document
// sets no weights.
func New(seed uint64, w config.Weights) *Scheduler {
	return &Scheduler{
		random:     rand.New(rand.NewPCG(seed, randomStream)),
		weights:    w,
		objectives: newObjectives(w),
		classes:    map[model.JobClass]*classEstimate{},
		services:   map[model.Service]*serviceEffects{},
		workers:    map[model.WorkerID]*workerState{},
		jobs:       map[model.JobID]*jobState{},
		pending:    map[model.WorkerID]*WorkerSamples{},
	}
}

// Plan implements Policy. It returns an empty plan if the snapshot has no document.
func (s *Scheduler) Plan(snapshot *Snapshot) Plan {
	var plan Plan
	if snapshot.Document == nil {
		return plan
	}
	s.objectives = newObjectives(s.weightsFor(snapshot.Document))
	s.urgent.observe(s, snapshot)
	r := newRound(s, snapshot)
	r.refreshDedicated()
	r.evacuate(&plan)
	r.anticipate(&plan)
	r.mitigate(r.learnFromSamples(), &plan)
	r.park(&plan)
	r.placeQueue(&plan)
	s.dropStale(snapshot.Now)
	return plan
}

// weightsFor returns the weights of the document, or those given to New if it has none.
func (s *Scheduler) weightsFor(doc *config.Document) config.Weights {
	if doc.Operators.Weights == (config.Weights{}) {
		return s.weights
	}
	return doc.Operators.Weights
}
