package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// pressure learns how much the fillers of one image press on the tasks of another image that
// have a latency target, beside them. A tail latency is taken to be that of a queue: the latency of an idle task
// over one minus the utilisation. The utilisation is the task's own load times one plus the
// sum, over the fillers, of the two images' weight times their part of the worker's processors.
//
// Weights follow the ratio of two measurements of the same task, so that the task's own
// load, which moves slowly, mostly drops out. Each weight has a variance, as in a Kalman
// filter that neglects the covariances.
type pressure struct {
	weights map[ImagePair]estimate
	last    map[*attempt]sample
}

// ImagePair is a filler's image beside the image of a task with a latency target.
type ImagePair struct {
	Filler string `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
}

// estimate is a weight with its variance.
type estimate struct {
	mean     float64
	variance float64
}

// Learned is a weight of a pair as it is passed on to a later owner.
type Learned struct {
	Pair     ImagePair `cbor:"1,keyasint"`
	Mean     float64   `cbor:"2,keyasint"`
	Variance float64   `cbor:"3,keyasint"`
}

// Learned returns the weights of all pairs that were measured.
func (s *State) Learned() []Learned {
	out := make([]Learned, 0, len(s.press.weights))
	for pair, e := range s.press.weights {
		out = append(out, Learned{Pair: pair, Mean: e.mean, Variance: e.variance})
	}
	return out
}

// Learn takes in what a former owner has learned.
func (s *State) Learn(all []Learned) {
	for _, l := range all {
		s.press.weights[l.Pair] = estimate{mean: l.Mean, variance: l.Variance}
	}
}

// sample is a measurement of one task.
type sample struct {
	at          time.Time
	utilisation float64
	shares      map[string]float64 // of the worker's processors, by image of fillers
}

const (
	// priorWeight and priorVariance are those of a pair that has not been measured.
	priorWeight   = 2.0
	priorVariance = 4.0
	// driftVariance is added to a variance each second, since weights change.
	driftVariance = 0.005
	// loadSlope is how fast the logarithm of a task's own load moves, per second, and
	// sampleNoise the error of that of a measured utilisation.
	loadSlope   = 0.15
	sampleNoise = 0.12
	// maxWeight bounds what odd measurements can teach.
	maxWeight = 12.0
	// changeFloor is the least change of a share that is learned from.
	changeFloor = 0.01
	// sampleAge is the longest time between two measurements that are compared.
	sampleAge = 2500 * time.Millisecond
	// idleShare is the part of its target that the latency of an idle task is taken to be.
	idleShare = 0.2
	// readable bounds the utilisations that tell a load: below, a latency is too coarse, and
	// above, it shows a backlog, which outlasts its cause.
	minReadable = 0.15
	maxReadable = 0.88
)

func newPressure() *pressure {
	return &pressure{weights: map[ImagePair]estimate{}, last: map[*attempt]sample{}}
}

func (p *pressure) estimate(pair ImagePair) estimate {
	if e, ok := p.weights[pair]; ok {
		return e
	}
	return estimate{mean: priorWeight, variance: priorVariance}
}

// adds returns what a filler of the step adds to the factor on the loads of an image.
func (p *pressure) adds(w *worker, st *step, target string) float64 {
	return p.estimate(ImagePair{st.spec.Image, target}).mean * share(w, st)
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

// felt is what the tasks of one image with a latency target feel on a worker.
type felt struct {
	image string
	// utilisation is the largest that was measured.
	utilisation float64
	// seen is the factor on the loads that the measurement shows, and now that of all fillers
	// that work there.
	seen float64
	now  float64
}

const (
	// usualLoad is the load that a task comes to by itself now and then.
	usualLoad = 0.55
	// unseenTime is how old a filler is before measurements include it.
	unseenTime = 1000 * time.Millisecond
)

// feel returns what is felt on a worker, an entry an image.
func (p *pressure) feel(w *worker, now time.Time) []felt {
	if w.serving == 0 {
		return nil
	}
	var out []felt
	for _, a := range w.attempts {
		if a.step.spec.LatencyTarget == 0 || a.stopping {
			continue
		}
		i := slices.IndexFunc(out, func(f felt) bool { return f.image == a.step.spec.Image })
		if i < 0 {
			i = len(out)
			out = append(out, felt{image: a.step.spec.Image, seen: 1, now: 1})
		}
		out[i].utilisation = max(out[i].utilisation, a.utilisation())
	}
	for _, a := range w.attempts {
		if !a.step.spec.Filler || a.stopping || a.paced == 0 {
			continue
		}
		seen := now.Sub(laterOf(a.ordered, a.pacedAt)) > unseenTime
		for i := range out {
			adds := p.adds(w, a.step, out[i].image) * float64(a.paced) / paceFull
			out[i].now += adds
			if seen {
				out[i].seen += adds
			}
		}
	}
	slices.SortFunc(out, func(a, b felt) int { return cmp.Compare(a.image, b.image) })
	return out
}

// with returns the utilisation that is predicted once fillers add more to the factor.
func (f felt) with(more float64) float64 {
	load := max(f.utilisation/f.seen, usualLoad)
	return load * (f.now + more)
}

// worst returns the largest utilisation predicted with one filler of the step more.
func (p *pressure) worst(w *worker, st *step, felts []felt) float64 {
	worst := 0.0
	for _, f := range felts {
		worst = max(worst, f.with(p.adds(w, st, f.image)))
	}
	return worst
}

// most returns the most that a filler of the step adds to the factor on any load.
func (p *pressure) most(w *worker, st *step, felts []felt) float64 {
	most := 0.0
	for _, f := range felts {
		most = max(most, p.adds(w, st, f.image))
	}
	return most
}

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
		if now.Sub(laterOf(a.ordered, a.pacedAt)) < settleTime {
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
	elapsed := s.at.Sub(before.at)
	if !ok || elapsed > sampleAge || before.utilisation < minReadable || before.utilisation > maxReadable {
		return
	}
	target := a.step.spec.Image
	changes := changedShares(before.shares, s.shares)
	if len(changes) == 0 {
		return
	}
	factorBefore, factorNow := p.factor(before.shares, target), p.factor(s.shares, target)
	off := math.Log(max(s.utilisation, minReadable)/before.utilisation) - math.Log(factorNow/factorBefore)
	if s.utilisation > maxReadable && off < 0 {
		return
	}
	noise := sampleNoise + loadSlope*elapsed.Seconds()
	spread := noise * noise
	for i := range changes {
		c := &changes[i]
		c.slope = s.shares[c.image]/factorNow - before.shares[c.image]/factorBefore
		spread += p.estimate(ImagePair{c.image, target}).variance * c.slope * c.slope
	}
	for _, c := range changes {
		pair := ImagePair{c.image, target}
		e := p.estimate(pair)
		gain := e.variance * c.slope / spread
		e.mean = min(max(e.mean+gain*off, 0), maxWeight)
		e.variance = min(e.variance*(1-gain*c.slope)+driftVariance*elapsed.Seconds(), priorVariance)
		p.weights[pair] = e
	}
}

// factor returns the factor on the loads of an image beside the given shares of fillers.
func (p *pressure) factor(shares map[string]float64, target string) float64 {
	sum := 1.0
	for image, x := range shares {
		sum += p.estimate(ImagePair{image, target}).mean * x
	}
	return sum
}

// change is an image whose fillers' share has changed, and how the logarithm of the
// utilisation depends on its weight.
type change struct {
	image string
	slope float64
}

func changedShares(before, now map[string]float64) []change {
	var out []change
	for i, x := range now {
		if by := x - before[i]; by > changeFloor || by < -changeFloor {
			out = append(out, change{image: i})
		}
	}
	for i, x := range before {
		if _, ok := now[i]; !ok && x > changeFloor {
			out = append(out, change{image: i})
		}
	}
	slices.SortFunc(out, func(a, b change) int { return cmp.Compare(a.image, b.image) })
	return out
}

// forget drops what is kept of an attempt.
func (p *pressure) forget(a *attempt) { delete(p.last, a) }
