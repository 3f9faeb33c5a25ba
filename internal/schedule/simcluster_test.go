package schedule

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// The simulated cluster is described in docs/POLICY.md. Times are seconds since testStart, sizes
// are cores and gigabytes.
const (
	// slots is the number of requests that a target executes at once, waitingPlaces the number of
	// connections whose requests wait.
	slots         = 8
	waitingPlaces = 52
	// serviceMean is the mean execution time of a request without batch tasks, serviceSigma the
	// standard deviation of its logarithm.
	serviceMean  = 0.2
	serviceSigma = 0.5
	// windowSeconds is the length of a measurement window, whose samples arrive lagSeconds after
	// its end.
	windowSeconds = 10
	lagSeconds    = 15
	// memoryRamp is the time in which the memory use of an attempt grows to its full size.
	memoryRamp = 60.0
	// warmUp is the time at the start of an episode in which latencies are not recorded.
	warmUp         = 120
	episodeSeconds = 1500
	// powerOffSeconds is the time from taking a data centre out of service to its loss of power.
	powerOffSeconds = 90
	// resumeSeconds is the time in which an attempt that resumes from a checkpoint makes no progress.
	resumeSeconds = 5
	settleSeconds = 150
	// deadline is the deadline of every request.
	deadline = 2 * time.Second
)

// classBehaviour is the actual behaviour of a job class. A policy can only learn it from samples.
type classBehaviour struct {
	name model.JobClass
	// cpu is in cores, memory in gigabytes and run, the run time, in seconds.
	cpu, memory, run float64
	// noise is the weight with which the processor use of the class prolongs requests, see step.
	noise float64
	// cpuFactor and memoryFactor are the ratios of the declared size to the actual one.
	cpuFactor, memoryFactor float64
}

type fakeJob struct {
	spec                      model.JobSpec
	behaviour                 *classBehaviour
	cpu, memory, work         float64
	progress, saved           float64
	alwaysFails, done, parked bool
	cancelled, running        bool
	attempt                   uint32
	submitted                 int
}

type fakeAttempt struct {
	job         *fakeJob
	id          model.AttemptID
	reservation model.Resources
	started     float64
	share       float64
	// evicting is the kind of the eviction under way, which ends at evictEnd. It is empty if there
	// is none.
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
	// slotFree is the time at which each slot becomes free.
	slotFree [slots]float64
	// inflation is the factor by which batch tasks prolong the execution of requests now.
	inflation float64
	busy      float64
	busyTime  float64
	latencies []float64
	// assigned is the work of accepted requests that is not yet counted as busy time.
	assigned float64
	load     float64
}

// delayedSamples are samples that reach the policy at the given second.
type delayedSamples struct {
	at      int
	samples WorkerSamples
}

// result holds the measurements of one run.
type result struct {
	latency        *hdrhistogram.Histogram
	work, capacity float64
	// workOut is the work done from the time at which a data centre goes out of service until
	// settleSeconds after its return.
	workOut                            float64
	evictions, forced, kills           int
	throttles, maxThrottles            int
	finished, parked                   int
	overCommitted, startedOutOfService int
	urgent                             []float64
	failingNotParked, unfinished       int
	impossibleAccepted                 int
}

func (c *simCluster) at(second float64) time.Time {
	return testStart.Add(time.Duration(second * float64(time.Second)))
}

// run simulates the whole episode in steps of one second.
func (c *simCluster) run() result {
	length := episodeSeconds
	if c.scenario.length > 0 {
		length = c.scenario.length
	}
	for c.now = 0; c.now < length; c.now++ {
		c.applyEvents()
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

// applyEvents takes the data centre out of service and back, and cancels jobs, when the scenario
// says so.
func (c *simCluster) applyEvents() {
	s := c.scenario
	if s.outAt > 0 && (c.now == s.outAt || c.now == s.backAt) {
		if c.now == s.outAt {
			c.result.workOut = -c.usefulWork()
		}
		doc := *c.document
		doc.Operators.DataCentres = slices.Clone(doc.Operators.DataCentres)
		doc.Operators.DataCentres[0].Out = c.now == s.outAt
		c.document = &doc
	}
	if s.outAt > 0 && c.now == s.backAt+settleSeconds {
		c.result.workOut += c.usefulWork()
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
func (c *simCluster) submit() {
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

func (c *simCluster) newJob() {
	t := &c.classes[c.random.IntN(len(c.classes))]
	spread := func() float64 { return math.Exp(0.15 * c.random.NormFloat64()) }
	j := &fakeJob{behaviour: t, cpu: t.cpu * spread(), memory: t.memory * spread(), submitted: c.now}
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
	j.alwaysFails = kind < c.scenario.impossibleShare/2
	if kind >= c.scenario.impossibleShare/2 && kind < c.scenario.impossibleShare {
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

// deliver passes the samples whose delay has passed to the policy.
func (c *simCluster) deliver() {
	for len(c.delayed) > 0 && c.delayed[0].at <= c.now {
		c.policy.Observe(c.delayed[0].samples)
		c.delayed = c.delayed[1:]
	}
}

func (c *simCluster) snapshot() *Snapshot {
	s := &Snapshot{Now: c.at(float64(c.now)), Document: c.document, TeamUse: map[model.Team]model.Resources{}}
	for _, w := range c.workers {
		view := WorkerView{Worker: w.Worker, Services: []model.Service{"desk"}, Reachable: !w.off}
		for _, a := range w.attempts {
			view.Reserved = view.Reserved.Add(a.reservation)
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

// decide calls the policy and executes its plan, in place of the ledger and the workers.
func (c *simCluster) decide() {
	plan := c.policy.Plan(c.snapshot())
	for _, r := range plan.Signals {
		c.applySignal(r)
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

func (c *simCluster) place(p Placement) {
	w := c.workers[slices.IndexFunc(c.workers, func(w *fakeWorker) bool { return w.ID == p.Worker })]
	j := c.queue[slices.IndexFunc(c.queue, func(j *fakeJob) bool { return j.spec.ID == p.Job })]
	reserved := p.Reservation
	for _, a := range w.attempts {
		reserved = reserved.Add(a.reservation)
	}
	if !reserved.Fits(w.Capacity) {
		c.result.overCommitted++
	}
	if w.off || c.document.DataCentreOut(w.DataCentre) {
		c.result.startedOutOfService++
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

func (c *simCluster) applySignal(r Signal) {
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

// end ends an attempt and queues its job again if there is work left.
func (c *simCluster) end(w *fakeWorker, a *fakeAttempt, state model.AttemptState, reason string) {
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
		RunTime: time.Duration((float64(c.now) - a.started) * float64(time.Second)), Error: reason})
}
