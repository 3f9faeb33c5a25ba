package batch

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"math"
	"slices"
	"time"
)

// interferenceModel estimates from measured tail latencies how much best-effort tasks slow down the
// latency-sensitive tasks on the same worker. It has three parts:
//
//   - A latency-sensitive task is modelled as a queue: its tail latency is its latency when idle
//     divided by (1 - utilisation). A measured latency therefore gives a utilisation from 0 to 1.
//   - The utilisation is the base load of the task's job, which is the utilisation without any
//     best-effort task on the worker, times an interference factor.
//   - The interference factor is 1 plus the sum of weight times share over the best-effort tasks on
//     the worker. The share is the part of the worker's CPU that a task asks for, scaled by its
//     present CPU limit. The weight depends on the two images only; a weight of 0 means that they
//     do not interfere.
//
// Each measurement corrects the estimates of the base load and of the weights, each in proportion
// to its part of the prediction's variance. This is a Kalman filter that neglects the covariances
// between the load and the weights.
type interferenceModel struct {
	weights map[ImagePair]weightEstimate
	loads   map[*Job]*loadFilter
}

// ImagePair is the image of a best-effort task and that of a latency-sensitive task on the same
// worker; see imageKey.
type ImagePair struct {
	BestEffort       string `cbor:"1,keyasint"`
	LatencySensitive string `cbor:"2,keyasint"`
}

// weightEstimate is the estimate of an interference weight with its variance.
type weightEstimate struct {
	mean     float64
	variance float64
	// idle is how long the pair has not been measured.
	idle time.Duration
}

// InterferenceWeight is the estimated weight of a pair of images, in the form that is handed to the
// next owner.
type InterferenceWeight struct {
	Pair     ImagePair `cbor:"1,keyasint"`
	Mean     float64   `cbor:"2,keyasint"`
	Variance float64   `cbor:"3,keyasint"`
}

// Interference returns the weights to hand to the next owner: those of the pairs that were measured last, at most maxStoredWeights.
func (s *State) Interference() []InterferenceWeight {
	im := s.interferenceModel
	pairs := im.pairsByUse()
	pairs = pairs[:min(len(pairs), maxStoredWeights)]
	out := make([]InterferenceWeight, 0, len(pairs))
	for _, pair := range pairs {
		e := im.weights[pair]
		out = append(out, InterferenceWeight{Pair: pair, Mean: e.mean, Variance: e.variance})
	}
	return out
}

// RestoreInterference sets the weights that a former owner has estimated.
func (s *State) RestoreInterference(all []InterferenceWeight) {
	for _, l := range all {
		s.interferenceModel.weights[l.Pair] = weightEstimate{mean: l.Mean, variance: l.Variance}
	}
}

const (
	// priorWeight and priorVariance are the weight and variance of a pair without measurements.
	priorWeight   = 2.0
	priorVariance = 4.0
	// weightVarianceGrowth is added to the variance of each weight every second, since the
	// behaviour of images changes.
	weightVarianceGrowth = 0.02
	// minVariance is the lower bound of the variance of a measured weight, so that the weight keeps
	// following measurements.
	minVariance = 0.02
	// negligibleWeight is the weight below which a pair counts as free of interference. Measurements
	// cannot tell such weights from 0, and many of them together would keep best-effort tasks away.
	negligibleWeight = 0.9
	// maxWeight bounds the effect of outlying measurements.
	maxWeight = 12.0
	// maxWeights is the largest number of weights that are kept, and maxStoredWeights the largest number that is handed to the next owner,
	// about 60 bytes each with names of 20 bytes and 290 at most. The pairs that have not been measured for longest go first.
	maxWeights, maxStoredWeights = 4096, 512
	// maxWeightIdle is how long the weight of a pair that is not measured any more is kept.
	maxWeightIdle = 10 * time.Minute
	// maxImageBytes is the length up to which an image is kept by its name.
	maxImageBytes = 128
	// idleLatencyShare is the assumed latency of an idle task, as a part of its latency target.
	idleLatencyShare = 0.2
	// minBaseLoad is the lowest base load used to compute factor budgets.
	minBaseLoad = 0.1
	// backlogUtilisation is the utilisation above which a latency is dominated by a backlog of
	// requests, which persists after its cause has ended.
	backlogUtilisation = 0.90
)

func newInterferenceModel() *interferenceModel {
	return &interferenceModel{weights: map[ImagePair]weightEstimate{}, loads: map[*Job]*loadFilter{}}
}

// weight returns the estimate for a pair of images.
func (im *interferenceModel) weight(pair ImagePair) weightEstimate {
	if e, ok := im.weights[pair]; ok {
		return e
	}
	return weightEstimate{mean: priorWeight, variance: priorVariance}
}

// addedFactor returns by how much one best-effort task of the step raises the interference factor
// of an image's tasks on the worker.
func (im *interferenceModel) addedFactor(w *worker, st *step, target string) float64 {
	return im.addedFactorWith(w, st, target, false)
}

// addedFactorWith is addedFactor with an option: if pessimistic is set, it adds one standard
// deviation to the weight and includes negligible weights.
func (im *interferenceModel) addedFactorWith(w *worker, st *step, target string, pessimistic bool) float64 {
	e := im.weight(ImagePair{st.image, target})
	switch {
	case pessimistic:
		return (e.mean + math.Sqrt(e.variance)) * cpuShare(w, st)
	case e.mean < negligibleWeight:
		return 0
	default:
		return e.mean * cpuShare(w, st)
	}
}

// cpuShare returns the part of the worker's CPU that a best-effort task of the step asks for.
func cpuShare(w *worker, st *step) float64 {
	return float64(st.spec.Resources.CPU) / float64(max(1, w.info.Capacity.CPU))
}

// utilisation returns the utilisation of a latency-sensitive task, from 0 to 1, derived from its
// last measured tail latency.
func (a *attempt) utilisation() float64 {
	idle := idleLatencyShare * float64(a.step.spec.LatencyTarget.Milliseconds())
	if float64(a.lastMeasurement) <= idle {
		return 0
	}
	return 1 - idle/float64(a.lastMeasurement)
}

// hasShrunk reports whether the worker says that it has less CPU than before, or than its tasks reserve. What its
// tasks use is then not known as a part of what they share.
func (w *worker) hasShrunk() bool {
	return w.info.Capacity.CPU < max(1, w.highestCPU, w.used.CPU)
}

// learn updates the model with the latencies of a worker, unless its capacity has shrunk or a best-effort task
// has ended there within stabilisationTime.
func (im *interferenceModel) learn(w *worker, now time.Time) {
	if w.latencySensitive == 0 || w.hasShrunk() || now.Sub(w.bestEffortEndedAt) < stabilisationTime {
		return
	}
	shares := map[string]float64{}
	for _, a := range w.attempts {
		if !a.step.spec.BestEffort {
			continue
		}
		if limit := a.recentCPULimit(now); limit > 0 {
			shares[a.step.image] += cpuShare(w, a.step) * limit / fullPercent
		}
	}
	for _, m := range w.measurements() {
		if w.defers(m, shares, now) {
			continue
		}
		im.applyMeasurement(m, shares, now.Add(-measurementLag))
	}
}

// measurement is the mean utilisation of the tasks of one job and image on a worker.
type measurement struct {
	job         *Job
	image       string
	utilisation float64 // mean over the tasks
	tasks       int
	// peersMeetTarget is set if the median latency of the tasks of the same step meets the target.
	peersMeetTarget bool
}

// measurements returns the measurements from the worker's last report. They are ordered by job and
// image, since each changes the model and the result must be reproducible.
func (w *worker) measurements() []measurement {
	var out []measurement
	for _, a := range w.attempts {
		if a.step.spec.LatencyTarget == 0 || !a.listed || a.stopping || a.lastMeasurement <= 0 || a.percent < fullPercent {
			continue
		}
		i := slices.IndexFunc(out, func(m measurement) bool { return m.job == a.step.job && m.image == a.step.image })
		if i < 0 {
			i = len(out)
			out = append(out, measurement{job: a.step.job, image: a.step.image, peersMeetTarget: a.step.meetsTarget()})
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

// applyMeasurement corrects the base load of a job and the weights of the best-effort images on the
// same worker. shares holds the CPU share of each of these images. Measurements above
// backlogUtilisation are ignored unless they exceed the prediction of an existing estimate.
func (im *interferenceModel) applyMeasurement(m measurement, shares map[string]float64, at time.Time) {
	factor, factorVar := 1.0, 0.0
	for image, x := range shares {
		e := im.weight(ImagePair{image, m.image})
		factor += e.mean * x
		factorVar += e.variance * x * x
	}
	l := im.loads[m.job]
	if l == nil || at.Sub(l.at) > maxLoadAge {
		if m.utilisation > backlogUtilisation {
			return
		}
		level := m.utilisation / factor
		im.loads[m.job] = newLoadFilter(level, level*level*factorVar/(factor*factor), at)
		return
	}
	l.advance(at)
	innovation := m.utilisation - l.level*factor
	if m.utilisation > backlogUtilisation && innovation < 0 {
		return
	}
	level, loadVar := l.level, factor*factor*l.levelVar
	noise := utilisationNoise*utilisationNoise + level*level*factorVar
	for image, x := range shares {
		pair := ImagePair{image, m.image}
		e := im.weight(pair)
		gain := e.variance * x * level / (loadVar + noise)
		e.mean = min(max(e.mean+gain*innovation, 0), maxWeight)
		e.variance = max(e.variance*(1-gain*x*level), minVariance)
		e.idle = 0
		im.weights[pair] = e
	}
	l.correct(innovation, factor, noise)
}

// age raises the variances of the weights for the time that has passed, up to
// priorVariance, and forgets pairs that have not been measured for long.
func (im *interferenceModel) age(elapsed time.Duration) {
	for pair, e := range im.weights {
		e.variance = min(e.variance+weightVarianceGrowth*elapsed.Seconds(), priorVariance)
		e.idle += elapsed
		im.weights[pair] = e
		if e.idle > maxWeightIdle {
			delete(im.weights, pair)
		}
	}
	if len(im.weights) > maxWeights {
		for _, pair := range im.pairsByUse()[maxWeights:] {
			delete(im.weights, pair)
		}
	}
}

// pairsByUse returns all pairs with a weight: those that were measured last come first, and of these the most certain.
func (im *interferenceModel) pairsByUse() []ImagePair {
	return slices.SortedFunc(maps.Keys(im.weights), func(a, b ImagePair) int {
		x, y := im.weights[a], im.weights[b]
		return cmp.Or(
			cmp.Compare(x.idle, y.idle), cmp.Compare(x.variance, y.variance),
			cmp.Compare(a.BestEffort, b.BestEffort), cmp.Compare(a.LatencySensitive, b.LatencySensitive),
		)
	})
}

// imageKey returns the key by which an image is learned: its name, or a hash of a name that is longer than maxImageBytes.
func imageKey(image string) string {
	if len(image) <= maxImageBytes {
		return image
	}
	sum := sha256.Sum256([]byte(image))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// removeJob deletes the base load of a job.
func (im *interferenceModel) removeJob(j *Job) { delete(im.loads, j) }
