package schedule

import (
	"math"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// loadBands is the number of bands into which a target's load, its share of busy slots, is
	// divided. The effect of batch tasks on the latency differs between them.
	loadBands = 3
	// priorEffect is the assumed growth of the logarithm of a service's latency if one job class
	// used all processors of the worker.
	priorEffect = 0.7
	// priorVariance is the variance of priorEffect.
	priorVariance = 0.5
	// baseVariance is the variance of a service's base latency after its first measurement.
	baseVariance = 0.5
	// sampleVariance is the variance of the logarithm of one measured latency.
	sampleVariance = 0.04
	// decayPerMinute is the rate per minute at which a learned effect returns to the prior, in its
	// mean and its variance.
	decayPerMinute = 0.01
)

// effect is a normal distribution of the growth of the logarithm of a latency per share of a
// worker's processors.
type effect struct {
	Mean     float64 `cbor:"1,keyasint"`
	Variance float64 `cbor:"2,keyasint"`
}

// bandEffects holds the effects of the job classes on one service in one load band.
type bandEffects struct {
	// Base is the logarithm of the service's latency in seconds without batch tasks.
	Base effect `cbor:"1,keyasint"`
	// Known says that Base was measured.
	Known bool                      `cbor:"2,keyasint"`
	Class map[model.JobClass]effect `cbor:"3,keyasint"`
	// Updated is the end of the last window learned from.
	Updated time.Time `cbor:"4,keyasint"`
	// index is the position in allBands of the scheduler.
	index int
}

// serviceEffects holds the effects on one service in all load bands.
type serviceEffects [loadBands]bandEffects

// band returns the index of the load band that contains the load.
func band(load float64) int {
	return min(loadBands-1, max(0, int(load*loadBands)))
}

// classShare is the share of a worker's processors that a job class used in a window.
type classShare struct {
	class model.JobClass
	share float64
}

// effectOf returns the effect of the class, or the prior if none was learned.
func (p *bandEffects) effectOf(class model.JobClass) effect {
	if e, ok := p.Class[class]; ok {
		return e
	}
	return effect{priorEffect, priorVariance}
}

// growth returns the predicted growth of the logarithm of the latency. Negative effects count as
// 0, so that no class is predicted to improve a latency.
func (p *bandEffects) growth(byClass []classShare) float64 {
	total := 0.0
	for _, c := range byClass {
		total += max(0, p.effectOf(c.class).Mean) * c.share
	}
	return total
}

// learn updates the effects from one measured latency by a Kalman filter with a diagonal
// covariance. Effects with few measurements stay near the prior.
func (p *bandEffects) learn(logLatency float64, byClass []classShare, at time.Time) {
	if p.Class == nil {
		p.Class = map[model.JobClass]effect{}
	}
	p.decay(at)
	if !p.Known {
		p.Base = effect{logLatency - p.growth(byClass), baseVariance}
		p.Known = true
		return
	}
	predicted := p.Base.Mean
	innovationVariance := sampleVariance + p.Base.Variance
	for _, c := range byClass {
		e := p.effectOf(c.class)
		predicted += e.Mean * c.share
		innovationVariance += e.Variance * c.share * c.share
	}
	innovation := logLatency - predicted
	p.Base = p.Base.corrected(1, innovation, innovationVariance)
	for _, c := range byClass {
		p.Class[c.class] = p.effectOf(c.class).corrected(c.share, innovation, innovationVariance)
	}
}

func (e effect) corrected(share, innovation, innovationVariance float64) effect {
	gain := e.Variance * share / innovationVariance
	return effect{e.Mean + gain*innovation, e.Variance * (1 - gain*share)}
}

// decay moves every effect towards the prior according to the time since the last update.
func (p *bandEffects) decay(at time.Time) {
	if p.Updated.IsZero() {
		p.Updated = at
		return
	}
	minutes := at.Sub(p.Updated).Minutes()
	if minutes <= 0 {
		return
	}
	p.Updated = at
	retained := math.Exp(-decayPerMinute * minutes)
	for class, e := range p.Class {
		p.Class[class] = effect{
			Mean:     priorEffect + (e.Mean-priorEffect)*retained,
			Variance: priorVariance + (e.Variance-priorVariance)*retained,
		}
	}
	p.Base.Variance = baseVariance + (p.Base.Variance-baseVariance)*retained
}

// effects returns the effects on a service in a load band, and creates them if needed.
func (s *Scheduler) effects(service model.Service, load float64) *bandEffects {
	e := s.services[service]
	if e == nil {
		e = &serviceEffects{}
		s.services[service] = e
		for i := range e {
			e[i].index = len(s.allBands)
			s.allBands = append(s.allBands, &e[i])
		}
	}
	return &e[band(load)]
}
