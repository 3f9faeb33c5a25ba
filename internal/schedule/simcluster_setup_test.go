package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// scenario describes the load, the faults and the scheduled events of one simulated episode.
type scenario struct {
	name string
	// load is the share of the slots of all targets that requests occupy without batch tasks.
	load func(t int) float64
	// noiseFactor multiplies the noise of noisy classes, nil if it is constant.
	noiseFactor func(t int) float64
	// wrongDeclarations makes each class declare a quarter or four times its size.
	wrongDeclarations bool
	// deadWorkers is the number of workers on which every attempt fails.
	deadWorkers int
	// impossibleShare is the share of jobs that cannot finish. One half of them always fail, the
	// other half declare more memory than any worker has.
	impossibleShare float64
	// cancelAt is the second at which jobs are cancelled, outAt and backAt those at which the first
	// data centre goes out of service and returns. 0 means never.
	cancelAt int
	outAt    int
	backAt   int
	// length is the length of the episode, episodeSeconds if 0.
	length int
	// lastSubmit is the second from which on no jobs arrive, 0 if they arrive until the end.
	lastSubmit int
}

// deployment describes the machines, the weights and the job classes of one simulated
// installation.
type deployment struct {
	name         string
	workers      int
	perRack      int
	cores        int64
	memoryGB     int64
	dataCentres  []model.DataCentre
	weights      config.Weights
	demand       float64
	classes      []classBehaviour
	reservedGB   int64
	reservedCore int64
}

// simCluster is a simulated cluster that runs one scenario under one policy.
type simCluster struct {
	deployment deployment
	scenario   scenario
	policy     Policy
	// twoChoices sends each request to the less loaded of two random targets instead of one.
	twoChoices bool
	random     *rand.Rand
	// requests are the random numbers of the requests, separate from all others.
	requests   *rand.Rand
	document   *config.Document
	workers    []*fakeWorker
	classes    []classBehaviour
	jobs       []*fakeJob
	queue      []*fakeJob
	delayed    []delayedSamples
	now        int
	nextArrive float64
	nextJob    float64
	result     result
}

func newSimCluster(d deployment, s scenario, p Policy, twoChoices bool, seed uint64) *simCluster {
	c := &simCluster{
		deployment: d, scenario: s, policy: p, twoChoices: twoChoices,
		random:   rand.New(rand.NewPCG(seed, 1)),
		requests: rand.New(rand.NewPCG(seed, 2)),
		result:   result{latency: hdrhistogram.New(1, 100_000, 3)},
	}
	c.document = &config.Document{Operators: config.Operators{Weights: d.weights}, Teams: map[model.Team]config.TeamSection{}}
	for _, dc := range d.dataCentres {
		c.document.Operators.DataCentres = append(c.document.Operators.DataCentres, config.DataCentre{Name: dc})
	}
	for i := range 8 {
		team := model.Team(fmt.Sprintf("team-%d", i))
		section := config.TeamSection{Team: team}
		if i == 0 {
			section.Services = []config.Service{{Name: "desk", Requests: []config.RequestType{{Path: "/", Deadline: deadline}}}}
		}
		c.document.Teams[team] = section
	}
	c.addWorkers()
	c.drawClasses()
	return c
}

func (c *simCluster) addWorkers() {
	d := c.deployment
	for i := range d.workers {
		rack := i / d.perRack
		c.workers = append(c.workers, &fakeWorker{index: i, inflation: 1, Worker: model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%02d", i)), DataCentre: d.dataCentres[rack%len(d.dataCentres)],
			Rack:     model.Rack(fmt.Sprintf("r%d", rack)),
			Capacity: model.Resources{MilliCPU: (d.cores - d.reservedCore) * 1000, MemoryMB: (d.memoryGB - d.reservedGB) * 1024},
		}})
	}
	for range c.scenario.deadWorkers {
		c.workers[c.random.IntN(len(c.workers))].dead = true
	}
}

func (c *simCluster) drawClasses() {
	c.classes = slices.Clone(c.deployment.classes)
	for i := range c.classes {
		t := &c.classes[i]
		t.cpuFactor = c.logUniform(0.5, 3)
		t.memoryFactor = c.logUniform(0.5, 3)
		if c.scenario.wrongDeclarations {
			t.cpuFactor, t.memoryFactor = c.quarterOrQuadruple(), c.quarterOrQuadruple()
		}
	}
}

func (c *simCluster) logUniform(low, high float64) float64 {
	return low * math.Pow(high/low, c.random.Float64())
}

func (c *simCluster) quarterOrQuadruple() float64 {
	if c.random.IntN(2) == 0 {
		return 0.25
	}
	return 4
}
