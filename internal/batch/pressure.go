package batch

import (
	"maps"
	"slices"
	"time"
)

// pressure learns how much the fillers of each image raise the tail latency of tasks with a
// latency target beside them. The model is linear: a latency is its base times one plus the
// sum, over the fillers on the worker, of their image's weight times their part of its
// processors. Weights follow measurements by normalised least mean squares.
type pressure struct {
	weights map[string]float64 // of the images of fillers
	bases   map[string]float64 // latency in milliseconds without fillers, by image
}

const (
	// priorWeight is the weight of an image that has not been measured.
	priorWeight = 3.0
	// maxWeight bounds what one odd measurement can teach.
	maxWeight = 40.0
	// learnRate is the part of an error that one measurement corrects.
	learnRate = 0.4
	// learnFloor keeps small shares from moving weights much.
	learnFloor = 0.01
	// baseRate is the part of a difference by which a base follows a measurement.
	baseRate = 0.2
	// quietShare is the part of a worker's processors below which fillers count as none.
	quietShare = 0.02
	// priorBaseShare is the part of its target that an unmeasured latency is taken to be.
	priorBaseShare = 0.35
)

func newPressure() *pressure {
	return &pressure{weights: map[string]float64{}, bases: map[string]float64{}}
}

func (p *pressure) weight(image string) float64 {
	if w, ok := p.weights[image]; ok {
		return w
	}
	return priorWeight
}

// of returns by how much an attempt raises the latencies on its worker now.
func (p *pressure) of(a *attempt) float64 {
	return p.would(a.worker, a.step) * float64(a.paced) / paceFull
}

// would returns by how much a filler of the step would raise the latencies on a worker.
func (p *pressure) would(w *worker, st *step) float64 {
	return p.weight(st.spec.Image) * share(w, st)
}

// share returns the part of the worker's processors that a filler asks for.
func share(w *worker, st *step) float64 {
	return float64(st.spec.Need.CPU) / float64(max(1, w.info.Capacity.CPU))
}

// total returns by how much all fillers raise the latencies on a worker.
func (p *pressure) total(w *worker) float64 {
	sum := 0.0
	for _, a := range w.attempts {
		if a.step.spec.Filler && !a.stopping {
			sum += p.of(a)
		}
	}
	return sum
}

// base returns the latency of a task without fillers, as a part of its target.
func (p *pressure) base(st *step) float64 {
	target := float64(st.spec.LatencyTarget.Milliseconds())
	if b, ok := p.bases[st.spec.Image]; ok && target > 0 {
		return b / target
	}
	return priorBaseShare
}

// tightest returns the largest base on a worker as a part of its target; 0 if no task there
// has a target.
func (p *pressure) tightest(w *worker) float64 {
	largest := 0.0
	for _, a := range w.attempts {
		if a.step.spec.LatencyTarget > 0 && !a.stopping {
			largest = max(largest, p.base(a.step))
		}
	}
	return largest
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
		if now.Sub(a.ordered) < settleTime || now.Sub(a.pacedAt) < settleTime {
			return
		}
		shares[a.step.spec.Image] += share(w, a.step) * float64(a.paced) / paceFull
	}
	for _, a := range w.attempts {
		if a.step.spec.LatencyTarget > 0 && a.listed && a.gauge > 0 && !a.stopping {
			p.measure(a.step.spec.Image, float64(a.gauge), shares)
		}
	}
}

// measure takes in one latency beside the given shares of fillers.
func (p *pressure) measure(image string, latency float64, shares map[string]float64) {
	sum, squares, predicted := 0.0, 0.0, 0.0
	for i, x := range shares {
		sum += x
		squares += x * x
		predicted += p.weight(i) * x
	}
	base, known := p.bases[image]
	if !known {
		base = latency / (1 + predicted)
		p.bases[image] = base
	}
	if sum < quietShare {
		p.bases[image] = base + baseRate*(latency-base)
		return
	}
	off := latency/max(1, base) - 1 - predicted
	for _, i := range slices.Sorted(maps.Keys(shares)) {
		w := p.weight(i) + learnRate*off*shares[i]/(squares+learnFloor)
		p.weights[i] = min(max(w, 0), maxWeight)
	}
}
