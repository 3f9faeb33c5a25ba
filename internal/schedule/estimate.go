package schedule

import (
	"math"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// declaredWeight is the number of attempts that a declaration counts for.
	declaredWeight = 2
	// declaredDeviation is the assumed standard deviation of the logarithm of a size
	// before any attempt was measured.
	declaredDeviation = 0.5
	// retention is the weight of earlier attempts after each new one: about 50 count.
	retention = 0.98
	// memoryQuantile is the number of standard deviations reserved above the mean. A lack of
	// memory kills tasks.
	memoryQuantile = 0.8
	// cpuQuantile is the number of standard deviations reserved above the mean if only the
	// tail latency counts; it falls with that weight. A lack of processor time only slows tasks.
	cpuQuantile = 0.6
	// estimateFloor is the least share of its declaration that a job is given.
	estimateFloor = 0.2
	// estimateHysteresis is the change of the logarithm of an estimate that is acted on.
	estimateHysteresis = 0.12
	// settledAttempts is the number of attempts after which hysteresis applies.
	settledAttempts = 8
	// ownMargin is the factor over a job's own measured peak that it is given next time.
	ownMargin = 1.2
)

// moments are exponentially weighted sums of a logarithm.
type moments struct {
	Weight       float64 `cbor:"1,keyasint"`
	Sum          float64 `cbor:"2,keyasint"`
	SumOfSquares float64 `cbor:"3,keyasint"`
}

func (m *moments) add(x float64) {
	m.Weight = m.Weight*retention + 1
	m.Sum = m.Sum*retention + x
	m.SumOfSquares = m.SumOfSquares*retention + x*x
}

// replace corrects a value that was added before.
func (m *moments) replace(old, new float64) {
	m.Sum += new - old
	m.SumOfSquares += new*new - old*old
}

// posterior returns mean and standard deviation, with the prior counted as declaredWeight
// observations around the prior mean.
func (m *moments) posterior(prior float64) (mean, deviation float64) {
	total := m.Weight + declaredWeight
	mean = (m.Sum + declaredWeight*prior) / total
	if m.Weight < 1 {
		return mean, declaredDeviation
	}
	own := m.Sum / m.Weight
	variance := max(0, m.SumOfSquares/m.Weight-own*own)
	variance = (variance*m.Weight + declaredDeviation*declaredDeviation*declaredWeight) / total
	return mean, math.Sqrt(variance)
}

func (m *moments) variance() float64 {
	if m.Weight < 1 {
		return math.Inf(1)
	}
	own := m.Sum / m.Weight
	return max(0, m.SumOfSquares/m.Weight-own*own)
}

// sizeEstimate learns one dimension of a job class. Some classes use a similar amount
// whatever is declared, others a similar share of the declaration; the one that varies
// less is used.
type sizeEstimate struct {
	Amount moments `cbor:"1,keyasint"`
	Share  moments `cbor:"2,keyasint"`
	// Published holds the moments in use; it follows only when they differ enough.
	Published publishedSize `cbor:"3,keyasint"`
}

// publishedSize is the estimate in use.
type publishedSize struct {
	Relative bool    `cbor:"1,keyasint,omitempty"`
	Moments  moments `cbor:"2,keyasint"`
}

// add learns the amount that one attempt used.
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
	next := publishedSize{Moments: e.Amount}
	if e.Share.variance() < e.Amount.variance() {
		next = publishedSize{Relative: true, Moments: e.Share}
	}
	if next.Relative == e.Published.Relative && e.Published.Moments.Weight >= settledAttempts {
		oldMean, oldDeviation := e.Published.Moments.posterior(0)
		mean, deviation := next.Moments.posterior(0)
		if abs(mean+deviation-oldMean-oldDeviation) < estimateHysteresis {
			return
		}
	}
	e.Published = next
}

// predict returns the amount at the number of standard deviations above the mean. Without
// measured attempts it is the declaration itself.
func (e *sizeEstimate) predict(declared, quantile float64) float64 {
	if e == nil || e.Published.Moments.Weight < 1 {
		return declared
	}
	prior := math.Log(declared)
	scale := 1.0
	if e.Published.Relative {
		prior, scale = 0, declared
	}
	mean, deviation := e.Published.Moments.posterior(prior)
	confidence := e.Published.Moments.Weight / (e.Published.Moments.Weight + declaredWeight)
	return scale * math.Exp(mean+quantile*deviation*confidence)
}

// classEstimate is what is known of a job class.
type classEstimate struct {
	CPU    sizeEstimate `cbor:"1,keyasint"`
	Memory sizeEstimate `cbor:"2,keyasint"`
	// RunTime learns the logarithm of the seconds that a whole run takes.
	RunTime moments `cbor:"3,keyasint"`
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

// reservation returns what a job is given on a worker: the class's estimate between a
// floor and the largest worker, and at least what the job itself was seen to use.
// Accelerators are given as declared.
func (s *Scheduler) reservation(spec *model.JobSpec) model.Resources {
	declared := atLeast(spec.Declared, minimumReservation)
	need := declared
	if c := s.classes[spec.Class]; c != nil {
		need.MilliCPU = int64(c.CPU.predict(float64(declared.MilliCPU), cpuQuantile*s.goals.tail))
		need.MemoryMB = int64(c.Memory.predict(float64(declared.MemoryMB), memoryQuantile))
	}
	if j := s.jobs[spec.ID]; j != nil {
		need.MemoryMB = max(need.MemoryMB, j.memoryFloor)
	}
	floor := model.Resources{
		MilliCPU: int64(estimateFloor * float64(declared.MilliCPU)),
		MemoryMB: int64(estimateFloor * float64(declared.MemoryMB)),
	}
	need = atLeast(atLeast(need, floor), minimumReservation)
	return s.capReservation(need, declared)
}

// capReservation keeps an estimate from making a job unfeasible that its declaration is not.
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
