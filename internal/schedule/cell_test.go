package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// The fake cell is described in docs/POLICY.md. Times are seconds since testStart, sizes
// are cores and gigabytes.
const (
	slots           = 8
	waitingPlaces   = 52
	serviceMean     = 0.2
	serviceSigma    = 0.5
	windowSeconds   = 10
	lagSeconds      = 15
	memoryRamp      = 60.0
	warmUp          = 120
	episodeSeconds  = 1500
	powerOffSeconds = 90
	resumeSeconds   = 5
	deadline        = 2 * time.Second
)

// classTruth is what a policy does not see of a job class.
type classTruth struct {
	name                    model.JobClass
	cpu, memory, run        float64
	noise                   float64
	cpuFactor, memoryFactor float64
}

type fakeJob struct {
	spec                 model.JobSpec
	truth                *classTruth
	cpu, memory, work    float64
	progress, saved      float64
	doomed, done, parked bool
	cancelled, running   bool
	attempt              uint32
	submitted            int
}

type fakeAttempt struct {
	job         *fakeJob
	id          model.AttemptID
	reservation model.Resources
	started     float64
	share       float64
	// evicting is the kind of eviction under way, which ends at evictEnd.
	evicting  platform.SignalKind
	evictEnd  float64
	cpuSum    float64
	throttles int
}

type fakeWorker struct {
	model.Worker
	index     int
	dead, off bool
	attempts  []*fakeAttempt
	slotFree  [slots]float64
	inflation float64
	busy      float64
	busyTime  float64
	latencies []float64
	// assigned is the work of accepted requests that was not counted as busy yet.
	assigned float64
	load     float64
}

// delayedSamples arrive at the policy at the given second.
type delayedSamples struct {
	at      int
	samples WorkerSamples
}

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

// result is what one run measured.
type result struct {
	latency                   *hdrhistogram.Histogram
	work, capacity            float64
	evictions, forced, kills  int
	throttles, maxThrottles   int
	finished, parked          int
	overCommitted, startedOut int
	urgent                    []float64
	doomedLeft, unfinished    int
	impossibleAccepted        int
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

func (c *cell) at(second float64) time.Time {
	return testStart.Add(time.Duration(second * float64(time.Second)))
}

// run plays the whole episode in steps of one second.
func (c *cell) run() result {
	length := episodeSeconds
	if c.scenario.length > 0 {
		length = c.scenario.length
	}
	for c.now = 0; c.now < length; c.now++ {
		c.script()
		c.submit()
		c.deliver()
		c.decide()
		for _, w := range c.workers {
			c.step(w)
		}
		c.serve()
		for _, w := range c.workers {
			c.report(w)
		}
	}
	return c.summary()
}

// script takes the data centre out and back and cancels jobs.
func (c *cell) script() {
	s := c.scenario
	if s.outAt > 0 && (c.now == s.outAt || c.now == s.backAt) {
		doc := *c.document
		doc.Operators.DataCentres = slices.Clone(doc.Operators.DataCentres)
		doc.Operators.DataCentres[0].Out = c.now == s.outAt
		c.document = &doc
	}
	for _, w := range c.workers {
		if s.outAt > 0 && w.DataCentre == c.deployment.dataCentres[0] {
			w.off = c.now >= s.outAt+powerOffSeconds && c.now < s.backAt
		}
		for w.off && len(w.attempts) > 0 {
			c.end(w, w.attempts[0], model.AttemptLost, "power off")
		}
	}
	if s.cancelAt == 0 || c.now != s.cancelAt {
		return
	}
	for _, j := range c.jobs {
		if !j.done && c.random.Float64() < 0.3 {
			j.cancelled = true
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(j *fakeJob) bool { return j.cancelled })
	for _, w := range c.workers {
		for _, a := range slices.Clone(w.attempts) {
			if a.job.cancelled {
				c.end(w, a, model.AttemptStopped, "cancelled")
			}
		}
	}
}

// submit adds the jobs that arrive in this second.
func (c *cell) submit() {
	if c.scenario.lastSubmit > 0 && c.now >= c.scenario.lastSubmit {
		return
	}
	cores, memory := 0.0, 0.0
	for _, t := range c.classes {
		cores += t.cpu * t.run / float64(len(c.classes))
		memory += t.memory * t.run / float64(len(c.classes))
	}
	capacity := c.workers[0].Capacity
	n := float64(len(c.workers))
	perSecond := c.deployment.demand / max(cores/(n*float64(capacity.MilliCPU)/1000), memory/(n*float64(capacity.MemoryMB)/1024))
	for ; c.nextJob < float64(c.now+1); c.nextJob += c.random.ExpFloat64() / perSecond {
		c.newJob()
	}
}

func (c *cell) newJob() {
	t := &c.classes[c.random.IntN(len(c.classes))]
	spread := func() float64 { return math.Exp(0.15 * c.random.NormFloat64()) }
	j := &fakeJob{truth: t, cpu: t.cpu * spread(), memory: t.memory * spread(), submitted: c.now}
	j.work = j.cpu * t.run * spread()
	capacity := c.workers[0].Capacity
	j.spec = model.JobSpec{
		ID: model.JobID(fmt.Sprintf("j%05d", len(c.jobs))), Class: t.name,
		Team: model.Team(fmt.Sprintf("team-%d", c.random.IntN(8))),
		Declared: model.Resources{
			MilliCPU: min(capacity.MilliCPU, int64(1000*t.cpu*t.cpuFactor)),
			MemoryMB: min(capacity.MemoryMB, int64(1024*t.memory*t.memoryFactor)),
		},
		DeclaredRun: time.Duration(t.run) * time.Second,
	}
	if c.random.Float64() < 0.05 {
		j.spec.Priority = model.PriorityUrgent
	}
	kind := c.random.Float64()
	j.doomed = kind < c.scenario.doomed/2
	if kind >= c.scenario.doomed/2 && kind < c.scenario.doomed {
		j.spec.Declared.MemoryMB = 4 * capacity.MemoryMB
		var workers []model.Worker
		for _, w := range c.workers {
			workers = append(workers, w.Worker)
		}
		if c.policy.Unfeasible(j.spec, c.document, workers) == "" {
			c.result.impossibleAccepted++
		}
		return
	}
	c.jobs = append(c.jobs, j)
	c.queue = append(c.queue, j)
}

// deliver hands over the samples whose lag has passed.
func (c *cell) deliver() {
	for len(c.delayed) > 0 && c.delayed[0].at <= c.now {
		c.policy.Observe(c.delayed[0].samples)
		c.delayed = c.delayed[1:]
	}
}

func (c *cell) snapshot() *Snapshot {
	s := &Snapshot{Now: c.at(float64(c.now)), Document: c.document, TeamUse: map[model.Team]model.Resources{}}
	for _, w := range c.workers {
		view := WorkerView{Worker: w.Worker, Services: []model.Service{"desk"}, Reachable: !w.off}
		for _, a := range w.attempts {
			view.Committed = view.Committed.Add(a.reservation)
			s.TeamUse[a.job.spec.Team] = s.TeamUse[a.job.spec.Team].Add(a.reservation)
			view.Attempts = append(view.Attempts, AttemptView{ID: a.id, Spec: a.job.spec, Reservation: a.reservation,
				Started: c.at(a.started), Progress: a.job.progress, Evicting: a.evicting != "", Throttle: a.share})
		}
		s.Workers = append(s.Workers, view)
	}
	for _, j := range c.queue {
		s.Queue = append(s.Queue, QueuedJob{Spec: j.spec, Submitted: c.at(float64(j.submitted)), Attempt: j.attempt + 1, Progress: j.saved})
	}
	return s
}

// decide asks the policy and carries the plan out, as the ledger and the workers would.
func (c *cell) decide() {
	plan := c.policy.Plan(c.snapshot())
	for _, r := range plan.Reliefs {
		c.relieve(r)
	}
	gone := map[model.JobID]bool{}
	for _, p := range plan.Parked {
		for _, j := range c.queue {
			if j.spec.ID == p.Job {
				j.parked = true
				gone[p.Job] = true
				c.result.parked++
			}
		}
	}
	for _, p := range plan.Placements {
		c.place(p)
		gone[p.Job] = true
	}
	c.queue = slices.DeleteFunc(c.queue, func(j *fakeJob) bool { return gone[j.spec.ID] })
}

func (c *cell) place(p Placement) {
	w := c.workers[slices.IndexFunc(c.workers, func(w *fakeWorker) bool { return w.ID == p.Worker })]
	j := c.queue[slices.IndexFunc(c.queue, func(j *fakeJob) bool { return j.spec.ID == p.Job })]
	committed := p.Reservation
	for _, a := range w.attempts {
		committed = committed.Add(a.reservation)
	}
	if !committed.Fits(w.Capacity) {
		c.result.overCommitted++
	}
	if w.off || c.document.DataCentreOut(w.DataCentre) {
		c.result.startedOut++
	}
	if j.attempt == 0 && j.spec.Priority == model.PriorityUrgent {
		c.result.urgent = append(c.result.urgent, float64(c.now-j.submitted))
	}
	j.attempt++
	j.running = true
	j.progress = j.saved
	w.attempts = append(w.attempts, &fakeAttempt{job: j, id: model.AttemptID{Job: p.Job, Number: j.attempt},
		reservation: p.Reservation, started: float64(c.now), share: 1})
}

func (c *cell) relieve(r Relief) {
	for _, w := range c.workers {
		for _, a := range w.attempts {
			if w.ID != r.Worker || a.id != r.Attempt {
				continue
			}
			switch r.Kind {
			case platform.SignalThrottle:
				a.share = r.Share
				a.throttles++
				c.result.throttles++
				c.result.maxThrottles = max(c.result.maxThrottles, a.throttles)
			case platform.SignalCheckpoint:
				a.evicting, a.evictEnd = r.Kind, float64(c.now)+3+0.2*a.job.memory
			case platform.SignalStop:
				a.evicting, a.evictEnd = r.Kind, float64(c.now)+1
			}
			if r.Kind == platform.SignalThrottle {
				continue
			}
			if c.document.DataCentreOut(w.DataCentre) {
				c.result.forced++
			} else {
				c.result.evictions++
			}
		}
	}
}

// end finishes an attempt and queues its job again if there is work left.
func (c *cell) end(w *fakeWorker, a *fakeAttempt, state model.AttemptState, reason string) {
	w.attempts = slices.DeleteFunc(w.attempts, func(o *fakeAttempt) bool { return o == a })
	j := a.job
	j.running = false
	switch state {
	case model.AttemptSucceeded:
		j.done = true
		c.result.finished++
	case model.AttemptCheckpointed:
		j.saved = j.progress
	default:
		j.progress = j.saved
	}
	if !j.done && !j.cancelled {
		at, _ := slices.BinarySearchFunc(c.queue, j, func(q, j *fakeJob) int { return q.submitted - j.submitted })
		c.queue = slices.Insert(c.queue, at, j)
	}
	c.policy.Ended(AttemptEnd{ID: a.id, Spec: j.spec, Worker: w.ID, State: state, At: c.at(float64(c.now)),
		Ran: time.Duration((float64(c.now) - a.started) * float64(time.Second)), Error: reason})
}

func (a *fakeAttempt) memoryNow(now float64) float64 {
	return a.job.memory * min(1, 0.3+0.7*(now-a.started)/memoryRamp)
}

// cpuNow is the processor time that the attempt would use alone.
func (a *fakeAttempt) cpuNow() float64 {
	if a.share >= 1 {
		return a.job.cpu
	}
	return min(a.job.cpu, a.share*float64(a.reservation.MilliCPU)/1000)
}

// step advances the attempts of one worker by a second.
func (c *cell) step(w *fakeWorker) {
	now := float64(c.now)
	cores := float64(c.deployment.cores)
	demand, memory, noise := 0.0, float64(c.deployment.reservedGB), 0.0
	for _, a := range w.attempts {
		demand += a.cpuNow()
		memory += a.memoryNow(now)
		noise += a.job.truth.noise * c.wave(a.job.truth) * a.cpuNow() / cores
	}
	scale := 1.0
	if demand > cores-w.busy {
		scale = (cores - w.busy) / demand
	}
	w.inflation = 1 + (0.5+w.load)*noise
	w.inflation *= math.Pow(max(1, (demand+w.busy)/cores), 1.5)
	if memory > 0.97*float64(c.deployment.memoryGB) {
		w.inflation *= 1.5
	}
	for _, a := range slices.Clone(w.attempts) {
		c.advance(w, a, scale)
	}
	if memory > float64(c.deployment.memoryGB) {
		c.killLargest(w)
	}
}

// wave multiplies the noise of noisy classes while a wave lasts.
func (c *cell) wave(t *classTruth) float64 {
	if c.scenario.wave == nil || t.noise < 1 {
		return 1
	}
	return c.scenario.wave(c.now)
}

func (c *cell) advance(w *fakeWorker, a *fakeAttempt, scale float64) {
	now := float64(c.now)
	ran := now - a.started
	a.cpuSum += a.cpuNow() * scale
	switch {
	case a.evicting != "":
		if now >= a.evictEnd {
			state := model.AttemptCheckpointed
			if a.evicting == platform.SignalStop {
				state = model.AttemptStopped
			}
			c.end(w, a, state, "")
		}
	case w.dead && ran >= 2:
		c.end(w, a, model.AttemptFailed, "exec: no such device")
	case a.job.doomed && ran >= 20:
		c.end(w, a, model.AttemptFailed, "bad input")
	case a.job.saved > 0 && ran < resumeSeconds:
	default:
		a.job.progress = min(1, a.job.progress+a.cpuNow()*scale/a.job.work)
		if a.job.progress >= 1 {
			c.end(w, a, model.AttemptSucceeded, "")
		}
	}
}

// killLargest kills the attempt that exceeds its reservation most, as a memory killer does.
func (c *cell) killLargest(w *fakeWorker) {
	var victim *fakeAttempt
	most := math.Inf(-1)
	for _, a := range w.attempts {
		if over := a.memoryNow(float64(c.now)) - float64(a.reservation.MemoryMB)/1024; over > most {
			victim, most = a, over
		}
	}
	if victim != nil {
		c.result.kills++
		c.end(w, victim, model.AttemptFailed, "killed: out of memory")
	}
}

// serve plays the requests of this second one by one.
func (c *cell) serve() {
	var open []*fakeWorker
	for _, w := range c.workers {
		w.busy = min(slots, w.assigned)
		w.assigned -= w.busy
		w.busyTime += w.busy
		w.load = 0.9*w.load + 0.1*w.busy/slots
		if !c.document.DataCentreOut(w.DataCentre) {
			open = append(open, w)
		}
	}
	rate := c.scenario.load(c.now) * slots / serviceMean * float64(len(c.workers))
	for ; c.nextArrive < float64(c.now+1); c.nextArrive += c.requests.ExpFloat64() / rate {
		w := open[c.requests.IntN(len(open))]
		if other := open[c.requests.IntN(len(open))]; c.twoChoices && other.backlog(c.nextArrive) < w.backlog(c.nextArrive) {
			w = other
		}
		base := serviceMean * math.Exp(serviceSigma*c.requests.NormFloat64()-serviceSigma*serviceSigma/2)
		latency := w.request(c.nextArrive, base)
		w.latencies = append(w.latencies, latency)
		if c.now >= warmUp {
			c.result.latency.RecordValue(int64(min(latency, 60) * 1000))
		}
	}
}

// backlog is the work in front of the runner: the busy slots and the wait for the first.
func (w *fakeWorker) backlog(now float64) float64 {
	busy, first := 0.0, math.Inf(1)
	for _, free := range w.slotFree {
		if free > now {
			busy++
		}
		first = min(first, free)
	}
	return busy + slots*max(0, first-now)/serviceMean
}

// request executes one request and returns its latency. A request that finds all
// connections taken waits for its deadline and is counted with twice the deadline.
func (w *fakeWorker) request(now, base float64) float64 {
	first := 0
	for i := range w.slotFree {
		if w.slotFree[i] < w.slotFree[first] {
			first = i
		}
	}
	start := max(now, w.slotFree[first])
	if start-now > waitingPlaces/slots*serviceMean*w.inflation {
		return 2 * deadline.Seconds()
	}
	w.slotFree[first] = start + base*w.inflation
	w.assigned += base * w.inflation
	return w.slotFree[first] - now
}

// report closes the worker's window; the workers report at different seconds.
func (c *cell) report(w *fakeWorker) {
	if (c.now+w.index)%windowSeconds != windowSeconds-1 {
		return
	}
	from, to := c.at(float64(c.now+1-windowSeconds)), c.at(float64(c.now+1))
	samples := WorkerSamples{Worker: w.ID}
	for _, a := range w.attempts {
		seconds := min(windowSeconds, float64(c.now+1)-a.started)
		samples.Usage = append(samples.Usage, platform.UsageSample{Attempt: a.id, From: from, To: to, Used: model.Resources{
			MilliCPU: int64(1000 * a.cpuSum / seconds), MemoryMB: int64(1024 * a.memoryNow(float64(c.now)))}})
		a.cpuSum = 0
	}
	if len(w.latencies) > 0 {
		slices.Sort(w.latencies)
		p99 := w.latencies[len(w.latencies)*99/100]
		samples.Services = []platform.ServiceSample{{Service: "desk", From: from, To: to, Count: int64(len(w.latencies)),
			P99: time.Duration(p99 * float64(time.Second)), Load: min(1, w.busyTime/(slots*windowSeconds))}}
	}
	w.latencies, w.busyTime = w.latencies[:0], 0
	c.delayed = append(c.delayed, delayedSamples{c.now + lagSeconds, samples})
}

func (c *cell) summary() result {
	c.result.capacity = float64(len(c.workers)) * float64(c.workers[0].Capacity.MilliCPU) / 1000 * episodeSeconds
	for _, j := range c.jobs {
		if j.doomed {
			if !j.parked && !j.cancelled && c.now-j.submitted > 900 {
				c.result.doomedLeft++
			}
			continue
		}
		if !j.cancelled {
			if !j.done {
				c.result.unfinished++
			}
			c.result.work += j.progress * j.work
		}
	}
	return c.result
}
