package batch

import (
	"maps"
	"slices"
	"time"
)

// pressure learns how much the fillers of each image add to the utilisation that tasks with
// a latency target feel beside them. A tail latency is taken to be that of a queue: the
// latency of an idle task over one minus the utilisation. What a filler adds is its image's
// weight times its part of the worker's processors. Weights follow the changes between two
// measurements of the same task by normalised least mean squares, so that the task's own
// load, which moves slowly, drops out.
type pressure struct {
	weights map[string]float64 // of the images of fillers
	last    map[*attempt]sample
}

// sample is a measurement of one task.
type sample struct {
	at          time.Time
	utilisation float64
	shares      map[string]float64 // of the worker's processors, by image of fillers
}

const (
	// priorWeight is the weight of an image that has not been measured.
	priorWeight = 0.6
	// maxWeight bounds what odd measurements can teach.
	maxWeight = 4.0
	// learnRate is the part of an error that one measurement corrects.
	learnRate = 0.15
	// learnFloor keeps small changes from moving weights much.
	learnFloor = 0.01
	// changeFloor is the least change of a share that is learned from.
	changeFloor = 0.01
	// sampleAge is the longest time between two measurements that are compared.
	sampleAge = 2500 * time.Millisecond
	// idleShare is the part of its target that the latency of an idle task is taken to be.
	idleShare = 0.2
)

func newPressure() *pressure {
	return &pressure{weights: map[string]float64{}, last: map[*attempt]sample{}}
}

func (p *pressure) weight(image string) float64 {
	if w, ok := p.weights[image]; ok {
		return w
	}
	return priorWeight
}

// of returns what an attempt adds to the utilisation on its worker now.
func (p *pressure) of(a *attempt) float64 {
	return p.would(a.worker, a.step) * float64(a.paced) / paceFull
}

// would returns what a filler of the step would add on a worker.
func (p *pressure) would(w *worker, st *step) float64 {
	return p.weight(st.spec.Image) * share(w, st)
}

// share returns the part of the worker's processors that a filler asks for.
func share(w *worker, st *step) float64 {
	return float64(st.spec.Need.CPU) / float64(max(1, w.info.Capacity.CPU))
}

// utilisation returns the utilisation that a task with a latency target feels, from 0 to 1.
func (a *attempt) utilisation() float64 {
	idle := idleShare * float64(a.step.spec.LatencyTarget.Milliseconds())
	if float64(a.gauge) <= idle {
		return 0
	}
	return 1 - idle/float64(a.gauge)
}

// tightest returns the largest utilisation that a task on the worker feels; a task that has
// not been measured counts as half loaded. It is 0 if no task there has a target.
func (w *worker) tightestNow() float64 {
	largest := 0.0
	for _, a := range w.attempts {
		if a.step.spec.LatencyTarget == 0 || a.stopping {
			continue
		}
		u := unmeasured
		if a.gauge > 0 {
			u = a.utilisation()
		}
		largest = max(largest, u)
	}
	return largest
}

// unmeasured is the utilisation of a task of which no latency is known yet.
const unmeasured = 0.5

// learn takes in the latencies of a worker, unless its fillers have just changed.
func (p *pressure) learn(w *worker, now time.Time) {
	if w.serving == 0 {
		return
	}
	shares := map[string]float64{}
	for _, a := range w.attempts {
		if !a.step.spec.Filler {
			continue
		}
		if now.Sub(a.ordered) < settleTime || now.Sub(a.pacedAt) < settleTime {
			return
		}
		shares[a.step.spec.Image] += share(w, a.step) * float64(a.paced) / paceFull
	}
	for _, a := range w.attempts {
		if a.step.spec.LatencyTarget > 0 && a.listed && a.gauge > 0 && !a.stopping {
			p.measure(a, sample{at: now, utilisation: a.utilisation(), shares: shares})
		}
	}
}

// measure compares a measurement of a task with the one before it.
func (p *pressure) measure(a *attempt, s sample) {
	before, ok := p.last[a]
	p.last[a] = s
	if !ok || s.at.Sub(before.at) > sampleAge {
		return
	}
	images := map[string]bool{}
	for i := range s.shares {
		images[i] = true
	}
	for i := range before.shares {
		images[i] = true
	}
	off, squares := s.utilisation-before.utilisation, 0.0
	for i := range images {
		change := s.shares[i] - before.shares[i]
		off -= p.weight(i) * change
		squares += change * change
	}
	if squares < changeFloor*changeFloor {
		return
	}
	for _, i := range slices.Sorted(maps.Keys(images)) {
		change := s.shares[i] - before.shares[i]
		w := p.weight(i) + learnRate*off*change/(squares+learnFloor)
		p.weights[i] = min(max(w, 0), maxWeight)
	}
}

// unseen returns what the fillers add whose effect is not in the last measurements yet.
func (p *pressure) unseen(w *worker, now time.Time) float64 {
	sum := 0.0
	for _, a := range w.attempts {
		if a.step.spec.Filler && !a.stopping && now.Sub(a.ordered) < unseenTime {
			sum += p.of(a)
		}
	}
	return sum
}

// unseenTime is how old a filler is before measurements include it.
const unseenTime = 2 * time.Second

// preference keeps fillers that press less than others for workers with latency targets, and
// the others for workers without.
func (p *pressure) preference(w *worker, st *step) float64 {
	lighter := (p.average() - p.weight(st.spec.Image)) * weightPreference
	if w.serving > 0 {
		return lighter
	}
	return -lighter
}

// weightPreference converts a difference of weights into parts of a worker's processors.
const weightPreference = 0.5

// average returns the mean weight of the images that were measured.
func (p *pressure) average() float64 {
	if len(p.weights) == 0 {
		return priorWeight
	}
	sum := 0.0
	for _, w := range p.weights {
		sum += w
	}
	return sum / float64(len(p.weights))
}

// forget drops what is kept of an attempt.
func (p *pressure) forget(a *attempt) { delete(p.last, a) }
