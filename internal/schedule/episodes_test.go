package schedule

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

var (
	seedsFlag      = flag.String("seeds", "1,2,3", "seeds of the report")
	episodeFlag    = flag.String("episode", "", "only episodes whose name contains this")
	variantFlag    = flag.String("variant", "", "no-usage, no-latency or no-relief: the scheduler without it")
	deploymentFlag = flag.String("deployment", "", "only the deployment with this name")
)

func constant(x float64) func(int) float64 { return func(int) float64 { return x } }

// between returns high in the given seconds and low otherwise.
func between(low, high float64, from, to int) func(int) float64 {
	return func(t int) float64 {
		if t >= from && t < to {
			return high
		}
		return low
	}
}

// square returns high for half of each period of 300 s.
func square(high float64) func(int) float64 {
	return func(t int) float64 {
		if t%300 >= 150 {
			return high
		}
		return 1
	}
}

func scenarios() []scenario {
	steady := constant(0.35)
	shift := between(0.25, 0.5, 500, 1000)
	return []scenario{
		{name: "steady load", load: steady},
		{name: "load shift", load: shift},
		{name: "noisy waves", load: steady, noiseFactor: square(3)},
		{name: "wrong declarations", load: steady, wrongDeclarations: true},
		{name: "dead workers", load: steady, deadWorkers: 3},
		{name: "impossible jobs", load: steady, impossibleShare: 0.06},
		{name: "cancellation burst", load: steady, cancelAt: 700},
		{name: "data centre out", load: steady, outAt: 600, backAt: 1050},
		{name: "all at once", load: shift, noiseFactor: square(3), wrongDeclarations: true, deadWorkers: 3, impossibleShare: 0.06, cancelAt: 700, outAt: 600, backAt: 1050},
	}
}

func deployments() []deployment {
	return []deployment{
		{
			name: "nilewave", workers: 65, perRack: 10, cores: 30, memoryGB: 125, reservedCore: 8, reservedGB: 12,
			dataCentres: []model.DataCentre{"cairo-a", "cairo-b", "cairo-c"}, demand: 0.8,
			weights: config.Weights{TailLatency: 0.6, Throughput: 0.2, Evictions: 0.2},
			classes: []classBehaviour{
				{name: "extract", cpu: 2, memory: 6, run: 240, noise: 0.3},
				{name: "reconcile", cpu: 4, memory: 16, run: 400, noise: 0.6},
				{name: "archive", cpu: 1, memory: 3, run: 120, noise: 1.5},
				{name: "rating", cpu: 6, memory: 10, run: 300, noise: 0.2},
				{name: "index", cpu: 3, memory: 20, run: 500, noise: 2.5},
				{name: "mail", cpu: 0.5, memory: 1, run: 60, noise: 0.1},
			},
		},
		{
			name: "pallikkara", workers: 50, perRack: 8, cores: 60, memoryGB: 250, reservedCore: 8, reservedGB: 20,
			dataCentres: []model.DataCentre{"kochi", "thrissur", "kollam"}, demand: 1.1,
			weights: config.Weights{TailLatency: 0.2, Throughput: 0.4, Evictions: 0.4},
			classes: []classBehaviour{
				{name: "report", cpu: 6, memory: 24, run: 700, noise: 0.5},
				{name: "statement", cpu: 3, memory: 8, run: 300, noise: 0.3},
				{name: "import", cpu: 2, memory: 6, run: 150, noise: 1.8},
				{name: "forecast", cpu: 10, memory: 20, run: 400, noise: 1.0},
				{name: "export", cpu: 4, memory: 40, run: 250, noise: 2.5},
				{name: "notify", cpu: 1, memory: 2, run: 60, noise: 0.1},
			},
		},
	}
}

// ablated is the scheduler with one kind of input or output disabled.
type ablated struct {
	*Scheduler
	usage, latency, signals bool
}

// Observe drops the usage or the latency samples.
func (w ablated) Observe(s WorkerSamples) {
	if w.usage {
		s.Usage = nil
	}
	if w.latency {
		s.Services = nil
	}
	w.Scheduler.Observe(s)
}

// Plan drops every signal except those that evacuate a data centre.
func (w ablated) Plan(s *Snapshot) Plan {
	plan := w.Scheduler.Plan(s)
	if w.signals {
		dataCentre := map[model.WorkerID]model.DataCentre{}
		for i := range s.Workers {
			dataCentre[s.Workers[i].Worker.ID] = s.Workers[i].Worker.DataCentre
		}
		plan.Signals = slices.DeleteFunc(plan.Signals, func(r Signal) bool { return !s.Document.DataCentreOut(dataCentre[r.Worker]) })
	}
	return plan
}

// variant returns the scheduler that -variant names.
func variant(seed uint64, w config.Weights) Policy {
	s := New(seed, w)
	switch *variantFlag {
	case "no-usage":
		return ablated{Scheduler: s, usage: true}
	case "no-latency":
		return ablated{Scheduler: s, latency: true}
	case "no-relief":
		return ablated{Scheduler: s, signals: true}
	}
	return s
}

// runPair runs one scenario under the naive policy, under the scheduler, and under the scheduler
// with the naive policy's random choice of targets.
func runPair(d deployment, s scenario, seed uint64) (n, ours, oursRandom result) {
	n = newSimCluster(d, s, newNaive(), false, seed).run()
	ours = newSimCluster(d, s, variant(seed, d.weights), true, seed).run()
	oursRandom = newSimCluster(d, s, variant(seed, d.weights), false, seed).run()
	return n, ours, oursRandom
}

func (r *result) p99() float64 { return float64(r.latency.ValueAtQuantile(99)) }

// urgentLate returns the percentage of urgent jobs that waited for more than a second.
func (r *result) urgentLate() float64 {
	if len(r.urgent) == 0 {
		return 0
	}
	late := 0
	for _, delay := range r.urgent {
		if delay > 1 {
			late++
		}
	}
	return 100 * float64(late) / float64(len(r.urgent))
}

// score returns the weighted sum of the logarithms of the ratios between the two policies. It is
// above 0 if the scheduler is better than the naive policy.
func score(w config.Weights, n, o *result) float64 {
	evictions := func(r *result) float64 { return float64(r.evictions+r.forced+r.kills) + 1 }
	return w.TailLatency*math.Log(n.p99()/o.p99()) +
		w.Throughput*math.Log(o.work/n.work) +
		w.Evictions*math.Log(evictions(n)/evictions(o))
}

func reportSeeds(t testing.TB) []uint64 {
	var seeds []uint64
	for _, s := range strings.Split(*seedsFlag, ",") {
		seed, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// BenchmarkReport prints the ratios of each episode to the naive policy. It is a measurement and
// asserts nothing. Run it with -benchtime 1x.
func BenchmarkReport(b *testing.B) {
	for _, d := range deployments() {
		if *deploymentFlag != "" && d.name != *deploymentFlag {
			continue
		}
		fmt.Printf("%s, seeds %s, ratios to naive\n%-20s %6s %6s | %6s %5s %7s %6s | %6s | %s\n", d.name, *seedsFlag,
			"episode", "p99", "random", "work", "out", "evicted", "killed", "score", "counts")
		for _, s := range scenarios() {
			if strings.Contains(s.name, *episodeFlag) {
				reportEpisode(d, s, reportSeeds(b))
			}
		}
	}
}

func reportEpisode(d deployment, s scenario, seeds []uint64) {
	type row struct{ n, o, r result }
	rows := make([]row, len(seeds))
	var wait sync.WaitGroup
	for i, seed := range seeds {
		wait.Add(1)
		go func() {
			defer wait.Done()
			rows[i].n, rows[i].o, rows[i].r = runPair(d, s, seed)
		}()
	}
	wait.Wait()
	var p99, random, work, out, worst float64
	var naiveEvictions, ourEvictions, naiveKills, ourKills int
	worst = math.Inf(1)
	detail := ""
	for i := range rows {
		n, o := &rows[i].n, &rows[i].o
		p99 += math.Log(o.p99() / n.p99())
		random += math.Log(rows[i].r.p99() / n.p99())
		work += math.Log(o.work / n.work)
		if s.outAt > 0 {
			out += math.Log(o.workOut / n.workOut)
		}
		worst = min(worst, score(d.weights, n, o))
		naiveEvictions, ourEvictions = naiveEvictions+n.evictions+n.forced, ourEvictions+o.evictions+o.forced
		naiveKills, ourKills = naiveKills+n.kills, ourKills+o.kills
		if i == 0 {
			detail = fmt.Sprintf("p99 %.0f/%.0f ms, evicted %d+%d/%d+%d, killed %d/%d, work %.0f/%.0f %%, throttles %d (max %d), parked %d, urgent late %.0f/%.0f %%, bad %d %d %d %d",
				o.p99(), n.p99(), o.evictions, o.forced, n.evictions, n.forced, o.kills, n.kills, 100*o.work/o.capacity, 100*n.work/n.capacity, o.throttles, o.maxThrottles,
				o.parked, o.urgentLate(), n.urgentLate(), o.overCommitted, o.startedOutOfService, o.impossibleAccepted, o.failingNotParked)
		}
	}
	k := float64(len(rows))
	fmt.Printf("%-20s %6.2f %6.2f | %6.2f %5.2f %7.2f %6.2f | %6.2f | %s\n", s.name, math.Exp(p99/k), math.Exp(random/k),
		math.Exp(work/k), math.Exp(out/k), float64(ourEvictions+1)/float64(naiveEvictions+1), float64(ourKills+1)/float64(naiveKills+1), worst, detail)
}
