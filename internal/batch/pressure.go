package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// pressure learns how much the fillers of one image press on the tasks of another image that
// have a latency target, beside them. A tail latency is taken to be that of a queue: the latency of an idle task
// over one minus the utilisation. The utilisation is the own load of the task's job times one plus
// the sum, over the fillers, of the two images' weight times their part of the worker's processors.
//
// A measurement corrects the load and the weights by their shares in the uncertainty, as in a
// Kalman filter that neglects the covariances between them.
type pressure struct {
	weights map[ImagePair]estimate
	loads   map[*Job]*load
}

// ImagePair is a filler's image beside the image of a task with a latency target.
type ImagePair struct {
	BestEffort       string `cbor:"1,keyasint"`
	LatencySensitive string `cbor:"2,keyasint"`
}

// estimate is a weight with its variance.
type estimate struct {
	mean     float64
	variance float64
}

// InterferenceWeight is a weight of a pair as it is passed on to a later owner.
type InterferenceWeight struct {
	Pair     ImagePair `cbor:"1,keyasint"`
	Mean     float64   `cbor:"2,keyasint"`
	Variance float64   `cbor:"3,keyasint"`
}

// Interference returns the weights of all pairs that were measured.
func (s *State) Interference() []InterferenceWeight {
	out := make([]InterferenceWeight, 0, len(s.press.weights))
	for pair, e := range s.press.weights {
		out = append(out, InterferenceWeight{Pair: pair, Mean: e.mean, Variance: e.variance})
	}
	return out
}

// RestoreInterference takes in what a former owner has learned.
func (s *State) RestoreInterference(all []InterferenceWeight) {
	for _, l := range all {
		s.press.weights[l.Pair] = estimate{mean: l.Mean, variance: l.Variance}
	}
}

const (
	// priorWeight and priorVariance are those of a pair that has not been measured.
	priorWeight   = 2.0
	priorVariance = 4.0
	// driftVariance is added to a variance each second, since weights change.
	driftVariance = 0.02
	// minVariance keeps a weight from being taken for certain.
	minVariance = 0.02
	// faintWeight is the weight below which measurements cannot tell a pair from one that does
	// not press at all. Many such pairs together would otherwise keep fillers away.
	faintWeight = 0.5
	// maxWeight bounds what odd measurements can teach.
	maxWeight = 12.0
	// idleShare is the part of its target that the latency of an idle task is taken to be.
	idleShare = 0.2
	// minLoad is the least load that budgets are reckoned with.
	minLoad = 0.1
	// maxReadable is the utilisation above which a latency shows a backlog, which outlasts its cause.
	maxReadable = 0.90
)

func newPressure() *pressure {
	return &pressure{weights: map[ImagePair]estimate{}, loads: map[*Job]*load{}}
}

func (p *pressure) estimate(pair ImagePair) estimate {
	if e, ok := p.weights[pair]; ok {
		return e
	}
	return estimate{mean: priorWeight, variance: priorVariance}
}

// adds returns what a filler of the step adds to the factor on the loads of an image.
func (p *pressure) adds(w *worker, st *step, target string) float64 {
	return p.presses(w, st, target, false)
}

// presses is adds, but if there are doubts, with the error of the weight on top, and faint
// weights count too.
func (p *pressure) presses(w *worker, st *step, target string, doubts bool) float64 {
	e := p.estimate(ImagePair{st.spec.Image, target})
	switch {
	case doubts:
		return (e.mean + math.Sqrt(e.variance)) * share(w, st)
	case e.mean < faintWeight:
		return 0
	default:
		return e.mean * share(w, st)
	}
}

// share returns the part of the worker's processors that a filler asks for.
func share(w *worker, st *step) float64 {
	return float64(st.spec.Resources.CPU) / float64(max(1, w.info.Capacity.CPU))
}

// utilisation returns the utilisation that a task with a latency target feels, from 0 to 1.
func (a *attempt) utilisation() float64 {
	idle := idleShare * float64(a.step.spec.LatencyTarget.Milliseconds())
	if float64(a.gauge) <= idle {
		return 0
	}
	return 1 - idle/float64(a.gauge)
}

// learn takes in the latencies of a worker, unless a filler has just left.
func (p *pressure) learn(w *worker, now time.Time) {
	if w.serving == 0 || now.Sub(w.fillerLeft) < settleTime {
		return
	}
	shares := map[string]float64{}
	for _, a := range w.attempts {
		if !a.step.spec.BestEffort {
			continue
		}
		if pace := a.recentPace(now); pace > 0 {
			shares[a.step.spec.Image] += share(w, a.step) * pace / paceFull
		}
	}
	for _, m := range w.measurements() {
		p.measure(m, shares, now.Add(-gaugeLag))
	}
}

// measurement is what the tasks of one job feel on a worker.
type measurement struct {
	job         *Job
	image       string
	utilisation float64 // mean over the tasks
	tasks       int
}

// measurements returns what was listed of the tasks with a latency target, an entry a job.
func (w *worker) measurements() []measurement {
	var out []measurement
	for _, a := range w.attempts {
		if a.step.spec.LatencyTarget == 0 || !a.listed || a.stopping || a.gauge <= 0 || a.percent < paceFull {
			continue
		}
		i := slices.IndexFunc(out, func(m measurement) bool { return m.job == a.step.job && m.image == a.step.spec.Image })
		if i < 0 {
			i = len(out)
			out = append(out, measurement{job: a.step.job, image: a.step.spec.Image})
		}
		out[i].utilisation += a.utilisation()
		out[i].tasks++
	}
	for i := range out {
		out[i].utilisation /= float64(out[i].tasks)
	}
	slices.SortFunc(out, func(a, b measurement) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.image, b.image))
	})
	return out
}

// measure corrects the load of a job and the weights of the fillers beside its tasks.
func (p *pressure) measure(m measurement, shares map[string]float64, at time.Time) {
	factor, doubt := 1.0, 0.0
	for image, x := range shares {
		e := p.estimate(ImagePair{image, m.image})
		factor += e.mean * x
		doubt += e.variance * x * x
	}
	l := p.loads[m.job]
	if l == nil || at.Sub(l.at) > loadAge {
		if m.utilisation > maxReadable {
			return
		}
		level := m.utilisation / factor
		p.loads[m.job] = newLoad(level, level*level*doubt/(factor*factor), at)
		return
	}
	l.pass(at)
	off := m.utilisation - l.level*factor
	if m.utilisation > maxReadable && off < 0 {
		return
	}
	level, known := l.level, factor*factor*l.levelVar
	noise := gaugeNoise*gaugeNoise + level*level*doubt
	for image, x := range shares {
		pair := ImagePair{image, m.image}
		e := p.estimate(pair)
		gain := e.variance * x * level / (known + noise)
		e.mean = min(max(e.mean+gain*off, 0), maxWeight)
		e.variance = max(e.variance*(1-gain*x*level), minVariance)
		p.weights[pair] = e
	}
	l.correct(off, factor, noise)
}

// drift makes the weights less certain as time passes, since they change.
func (p *pressure) drift(elapsed time.Duration) {
	for pair, e := range p.weights {
		e.variance = min(e.variance+driftVariance*elapsed.Seconds(), priorVariance)
		p.weights[pair] = e
	}
}

// forget drops what is kept of a job.
func (p *pressure) forget(j *Job) { delete(p.loads, j) }
