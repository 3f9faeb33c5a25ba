package schedule

import (
	"math"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

const (
	// loadBands is the number of bands into which a target's load is divided.
	loadBands = 3
	// priorEffect is the assumed growth of the logarithm of a service's latency if one
	// job class used the whole worker.
	priorEffect = 0.7
	// priorVariance says how uncertain priorEffect is.
	priorVariance = 0.5
	// baseVariance says how uncertain a service's first measured latency is as its latency alone.
	baseVariance = 0.5
	// sampleVariance is the noise of the logarithm of one measured latency.
	sampleVariance = 0.04
	// forgetting is the share of the prior's variance that an effect regains per minute, while
	// its mean returns to the prior by the same share.
	forgetting = 0.01
)

// effect is a normal distribution of the growth of the logarithm of a latency.
type effect struct {
	Mean     float64 `cbor:"1,keyasint"`
	Variance float64 `cbor:"2,keyasint"`
}

// pairEffects holds the effects of the job classes on one service in one load band.
type pairEffects struct {
	// Base is the logarithm of the service's latency in seconds without batch tasks.
	Base  effect                    `cbor:"1,keyasint"`
	Known bool                      `cbor:"2,keyasint"`
	Class map[model.JobClass]effect `cbor:"3,keyasint"`
	// Updated is the end of the last window learned from.
	Updated time.Time `cbor:"4,keyasint"`
	// index is the position in the scheduler's pairs.
	index int
}

// serviceEffects holds the effects on one service in all load bands.
type serviceEffects [loadBands]pairEffects

// band returns the load band of a target's load.
func band(load float64) int {
	return min(loadBands-1, max(0, int(load*loadBands)))
}

// presence is the share of a worker's processors that a job class used in a window.
type presence struct {
	class model.JobClass
	share float64
}

// effectOf returns the effect of the class, the prior if nothing was learned.
func (p *pairEffects) effectOf(class model.JobClass) effect {
	if e, ok := p.Class[class]; ok {
		return e
	}
	return effect{priorEffect, priorVariance}
}

// growth returns the predicted growth of the logarithm of the latency. A class is never
// predicted to improve a latency.
func (p *pairEffects) growth(present []presence) float64 {
	total := 0.0
	for _, c := range present {
		total += max(0, p.effectOf(c.class).Mean) * c.share
	}
	return total
}

// learn updates the effects from one measured latency by a Kalman filter with a diagonal
// covariance. Effects with little data stay near the prior.
func (p *pairEffects) learn(logLatency float64, present []presence, at time.Time) {
	if p.Class == nil {
		p.Class = map[model.JobClass]effect{}
	}
	p.forget(at)
	if !p.Known {
		p.Base = effect{logLatency - p.growth(present), baseVariance}
		p.Known = true
		return
	}
	predicted := p.Base.Mean
	uncertainty := sampleVariance + p.Base.Variance
	for _, c := range present {
		e := p.effectOf(c.class)
		predicted += e.Mean * c.share
		uncertainty += e.Variance * c.share * c.share
	}
	surprise := logLatency - predicted
	p.Base = p.Base.corrected(1, surprise, uncertainty)
	for _, c := range present {
		p.Class[c.class] = p.effectOf(c.class).corrected(c.share, surprise, uncertainty)
	}
}

func (e effect) corrected(share, surprise, uncertainty float64) effect {
	gain := e.Variance * share / uncertainty
	return effect{e.Mean + gain*surprise, e.Variance * (1 - gain*share)}
}

// forget returns every effect towards the prior by the time since the last update.
func (p *pairEffects) forget(at time.Time) {
	if p.Updated.IsZero() {
		p.Updated = at
		return
	}
	minutes := at.Sub(p.Updated).Minutes()
	if minutes <= 0 {
		return
	}
	p.Updated = at
	keep := math.Exp(-forgetting * minutes)
	for class, e := range p.Class {
		p.Class[class] = effect{
			Mean:     priorEffect + (e.Mean-priorEffect)*keep,
			Variance: priorVariance + (e.Variance-priorVariance)*keep,
		}
	}
	p.Base.Variance = baseVariance + (p.Base.Variance-baseVariance)*keep
}

// effects returns the effects on a service in a load band, and creates them if needed.
func (s *Scheduler) effects(service model.Service, load float64) *pairEffects {
	e := s.services[service]
	if e == nil {
		e = &serviceEffects{}
		s.services[service] = e
		for i := range e {
			e[i].index = len(s.pairs)
			s.pairs = append(s.pairs, &e[i])
		}
	}
	return &e[band(load)]
}
