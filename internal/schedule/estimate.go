package schedule

import (
	"math"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// priorWeight is the number of measured attempts that the declared size counts for.
	priorWeight = 2
	// priorDeviation is the assumed standard deviation of the logarithm of a size before any
	// attempt was measured.
	priorDeviation = 0.5
	// decayFactor is the factor by which each new attempt reduces the weight of earlier ones,
	// which gives an effective number of about 50 attempts.
	decayFactor = 0.98
	// memorySigmas is the number of standard deviations above the mean that is reserved for
	// memory, because tasks are killed when memory runs out.
	memorySigmas = 0.8
	// cpuSigmas is the number of standard deviations above the mean that is reserved for processor
	// time if only the tail latency has weight. It is scaled by that weight, because a lack of
	// processor time only slows tasks down.
	cpuSigmas = 0.6
	// minimumDeclaredShare is the least share of its declared size that is reserved for a job.
	minimumDeclaredShare = 0.2
	// estimateHysteresis is the change of the logarithm of an estimate below which the estimate in
	// use is kept.
	estimateHysteresis = 0.12
	// hysteresisAttempts is the number of attempts after which estimateHysteresis applies.
	hysteresisAttempts = 8
	// measuredPeakMargin is the factor by which the memory reserved for a job exceeds the peak
	// measured in its earlier attempt.
	measuredPeakMargin = 1.2
)

// logStats holds exponentially weighted sums of the logarithm of a quantity.
type logStats struct {
	Weight       float64 `cbor:"1,keyasint"`
	Sum          float64 `cbor:"2,keyasint"`
	SumOfSquares float64 `cbor:"3,keyasint"`
}

func (m *logStats) add(x float64) {
	m.Weight = m.Weight*decayFactor + 1
	m.Sum = m.Sum*decayFactor + x
	m.SumOfSquares = m.SumOfSquares*decayFactor + x*x
}

// replace corrects a value that was added before.
func (m *logStats) replace(old, new float64) {
	m.Sum += new - old
	m.SumOfSquares += new*new - old*old
}

// posterior returns the mean and standard deviation. The prior mean counts as priorWeight
// observations.
func (m *logStats) posterior(prior float64) (mean, deviation float64) {
	total := m.Weight + priorWeight
	mean = (m.Sum + priorWeight*prior) / total
	if m.Weight < 1 {
		return mean, priorDeviation
	}
	ownMean := m.Sum / m.Weight
	variance := max(0, m.SumOfSquares/m.Weight-ownMean*ownMean)
	variance = (variance*m.Weight + priorDeviation*priorDeviation*priorWeight) / total
	return mean, math.Sqrt(variance)
}

func (m *logStats) variance() float64 {
	if m.Weight < 1 {
		return math.Inf(1)
	}
	ownMean := m.Sum / m.Weight
	return max(0, m.SumOfSquares/m.Weight-ownMean*ownMean)
}

// sizeEstimate is the estimate of one resource of a job class. Some classes use a similar amount
// regardless of the declared size, others a similar share of it. The estimate uses whichever
// varies less.
type sizeEstimate struct {
	Amount logStats `cbor:"1,keyasint"`
	Share  logStats `cbor:"2,keyasint"`
	// Published is the estimate in use. It is replaced only when the new one differs enough.
	Published publishedSize `cbor:"3,keyasint"`
}

// publishedSize is an estimate in use. Relative says that Stats describes shares of the declared
// size.
type publishedSize struct {
	Relative bool     `cbor:"1,keyasint,omitempty"`
	Stats    logStats `cbor:"2,keyasint"`
}

// add includes the amount that one attempt used.
func (e *sizeEstimate) add(used, declared float64) {
	e.Amount.add(math.Log(used))
	e.Share.add(math.Log(used / declared))
	e.publish()
}

// replace corrects the amount of an attempt that was added before.
func (e *sizeEstimate) replace(old, used, declared float64) {
	e.Amount.replace(math.Log(old), math.Log(used))
	e.Share.replace(math.Log(old/declared), math.Log(used/declared))
	e.publish()
}

func (e *sizeEstimate) publish() {
	next := publishedSize{Stats: e.Amount}
	if e.Share.variance() < e.Amount.variance() {
		next = publishedSize{Relative: true, Stats: e.Share}
	}
	if next.Relative == e.Published.Relative && e.Published.Stats.Weight >= hysteresisAttempts {
		oldMean, oldDeviation := e.Published.Stats.posterior(0)
		mean, deviation := next.Stats.posterior(0)
		if abs(mean+deviation-oldMean-oldDeviation) < estimateHysteresis {
			return
		}
	}
	e.Published = next
}

// predict returns the amount that lies the given number of standard deviations above the mean.
// Without measured attempts it is the declared amount.
func (e *sizeEstimate) predict(declared, sigmas float64) float64 {
	if e == nil || e.Published.Stats.Weight < 1 {
		return declared
	}
	prior := math.Log(declared)
	scale := 1.0
	if e.Published.Relative {
		prior, scale = 0, declared
	}
	mean, deviation := e.Published.Stats.posterior(prior)
	confidence := e.Published.Stats.Weight / (e.Published.Stats.Weight + priorWeight)
	return scale * math.Exp(mean+sigmas*deviation*confidence)
}

// classEstimate holds the estimates of a job class.
type classEstimate struct {
	CPU    sizeEstimate `cbor:"1,keyasint"`
	Memory sizeEstimate `cbor:"2,keyasint"`
	// RunTime holds the statistics of the run time of whole runs in seconds.
	RunTime logStats `cbor:"3,keyasint"`
}

// expected returns what an attempt of the class is expected to use, without a margin.
func (c *classEstimate) expected(declared model.Resources) model.Resources {
	d := atLeast(declared, minimumReservation)
	return model.Resources{
		MilliCPU:     int64(c.CPU.predict(float64(d.MilliCPU), 0)),
		MemoryMB:     int64(c.Memory.predict(float64(d.MemoryMB), 0)),
		Accelerators: d.Accelerators,
	}
}

// reservation returns what is reserved for a job on a worker. It is the estimate of the class, at
// least a share of the declared size and the memory that earlier attempts of the job needed, and
// at most the largest worker. Accelerators are reserved as declared.
func (s *Scheduler) reservation(spec *model.JobSpec) model.Resources {
	declared := atLeast(spec.Declared, minimumReservation)
	need := declared
	if c := s.classes[spec.Class]; c != nil {
		need.MilliCPU = int64(c.CPU.predict(float64(declared.MilliCPU), cpuSigmas*s.objectives.tail))
		need.MemoryMB = int64(c.Memory.predict(float64(declared.MemoryMB), memorySigmas))
	}
	if j := s.jobs[spec.ID]; j != nil {
		need.MemoryMB = max(need.MemoryMB, j.minimumMemory)
	}
	minimum := model.Resources{
		MilliCPU: int64(minimumDeclaredShare * float64(declared.MilliCPU)),
		MemoryMB: int64(minimumDeclaredShare * float64(declared.MemoryMB)),
	}
	need = atLeast(atLeast(need, minimum), minimumReservation)
	return s.capReservation(need, declared)
}

// capReservation limits the reservation to the largest worker, unless the declared size is larger.
// An estimate then cannot make a job unfeasible whose declared size is feasible.
func (s *Scheduler) capReservation(need, declared model.Resources) model.Resources {
	if s.largest == (model.Resources{}) {
		return need
	}
	need.MilliCPU = min(need.MilliCPU, max(s.largest.MilliCPU, declared.MilliCPU))
	need.MemoryMB = min(need.MemoryMB, max(s.largest.MemoryMB, declared.MemoryMB))
	return need
}

// class returns the estimate of the class, and creates it if needed.
func (s *Scheduler) class(name model.JobClass) *classEstimate {
	c := s.classes[name]
	if c == nil {
		c = &classEstimate{}
		s.classes[name] = c
	}
	return c
}
