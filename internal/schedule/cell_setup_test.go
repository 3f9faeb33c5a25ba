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

// scenario is one scripted episode.
type scenario struct {
	name     string
	load     func(t int) float64
	wave     func(t int) float64
	wrong    bool
	dead     int
	doomed   float64
	cancelAt int
	outAt    int
	backAt   int
	// length is the length of the episode, episodeSeconds if 0.
	length int
	// lastSubmit is when jobs stop to arrive, never if 0.
	lastSubmit int
}

// deployment is one of the two users' cells.
type deployment struct {
	name         string
	workers      int
	perRack      int
	cores        int64
	memoryGB     int64
	dataCentres  []model.DataCentre
	weights      config.Weights
	demand       float64
	classes      []classTruth
	reservedGB   int64
	reservedCore int64
}

// cell is one run of a scenario under one policy.
type cell struct {
	deployment deployment
	scenario   scenario
	policy     Policy
	twoChoices bool
	random     *rand.Rand
	requests   *rand.Rand
	document   *config.Document
	workers    []*fakeWorker
	classes    []classTruth
	jobs       []*fakeJob
	queue      []*fakeJob
	delayed    []delayedSamples
	now        int
	nextArrive float64
	nextJob    float64
	result     result
}

func newCell(d deployment, s scenario, p Policy, twoChoices bool, seed uint64) *cell {
	c := &cell{
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

func (c *cell) addWorkers() {
	d := c.deployment
	for i := range d.workers {
		rack := i / d.perRack
		c.workers = append(c.workers, &fakeWorker{index: i, inflation: 1, Worker: model.Worker{
			ID: model.WorkerID(fmt.Sprintf("w%02d", i)), DataCentre: d.dataCentres[rack%len(d.dataCentres)],
			Rack:     model.Rack(fmt.Sprintf("r%d", rack)),
			Capacity: model.Resources{MilliCPU: (d.cores - d.reservedCore) * 1000, MemoryMB: (d.memoryGB - d.reservedGB) * 1024},
		}})
	}
	for range c.scenario.dead {
		c.workers[c.random.IntN(len(c.workers))].dead = true
	}
}

func (c *cell) drawClasses() {
	c.classes = slices.Clone(c.deployment.classes)
	for i := range c.classes {
		t := &c.classes[i]
		t.cpuFactor = c.logUniform(0.5, 3)
		t.memoryFactor = c.logUniform(0.5, 3)
		if c.scenario.wrong {
			t.cpuFactor, t.memoryFactor = c.fourfold(), c.fourfold()
		}
	}
}

func (c *cell) logUniform(low, high float64) float64 {
	return low * math.Pow(high/low, c.random.Float64())
}

func (c *cell) fourfold() float64 {
	if c.random.IntN(2) == 0 {
		return 0.25
	}
	return 4
}
