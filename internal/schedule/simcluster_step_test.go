package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

func (a *fakeAttempt) memoryNow(now float64) float64 {
	return a.job.memory * min(1, 0.3+0.7*(now-a.started)/memoryRamp)
}

// cpuNow returns the number of cores that the attempt would use without contention.
func (a *fakeAttempt) cpuNow() float64 {
	if a.share >= 1 {
		return a.job.cpu
	}
	return min(a.job.cpu, a.share*float64(a.reservation.MilliCPU)/1000)
}

// step advances the attempts of one worker by a second.
func (c *simCluster) step(w *fakeWorker) {
	now := float64(c.now)
	cores := float64(c.deployment.cores)
	demand, memory, noise := 0.0, float64(c.deployment.reservedGB), 0.0
	for _, a := range w.attempts {
		demand += a.cpuNow()
		memory += a.memoryNow(now)
		noise += a.job.behaviour.noise * c.noiseFactor(a.job.behaviour) * a.cpuNow() / cores
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

// noiseFactor returns the factor by which the noise of the class is multiplied now. It applies to
// noisy classes only.
func (c *simCluster) noiseFactor(t *classBehaviour) float64 {
	if c.scenario.noiseFactor == nil || t.noise < 1 {
		return 1
	}
	return c.scenario.noiseFactor(c.now)
}

func (c *simCluster) advance(w *fakeWorker, a *fakeAttempt, scale float64) {
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
	case a.job.alwaysFails && ran >= 20:
		c.end(w, a, model.AttemptFailed, "bad input")
	case a.job.saved > 0 && ran < resumeSeconds:
	default:
		a.job.progress = min(1, a.job.progress+a.cpuNow()*scale/a.job.work)
		if a.job.progress >= 1 {
			c.end(w, a, model.AttemptSucceeded, "")
		}
	}
}

// killLargest kills the attempt that exceeds its reservation most, as an out-of-memory killer
// does.
func (c *simCluster) killLargest(w *fakeWorker) {
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

// serve simulates the requests that arrive in this second.
func (c *simCluster) serve() {
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

// backlog returns the number of busy slots of the target, plus the wait for its first free slot
// expressed as a number of requests.
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

// request executes one request and returns its latency. A request that finds all connections in
// use is not executed and counts with a latency of twice the deadline.
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

// report ends the measurement window of the worker and queues its samples. Different workers
// report at different seconds.
func (c *simCluster) report(w *fakeWorker) {
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

// usefulWork returns the work that is done and not lost, summed over the jobs that can finish and
// were not cancelled.
func (c *simCluster) usefulWork() float64 {
	work := 0.0
	for _, j := range c.jobs {
		if !j.alwaysFails && !j.cancelled {
			work += j.progress * j.work
		}
	}
	return work
}

func (c *simCluster) summary() result {
	c.result.capacity = float64(len(c.workers)) * float64(c.workers[0].Capacity.MilliCPU) / 1000 * episodeSeconds
	c.result.work = c.usefulWork()
	for _, j := range c.jobs {
		switch {
		case j.cancelled:
		case j.alwaysFails && !j.parked && c.now-j.submitted > 900:
			c.result.failingNotParked++
		case !j.alwaysFails && !j.done:
			c.result.unfinished++
		}
	}
	return c.result
}
