package batch

import (
	"cmp"
	"slices"
	"time"
)

// felt is what the tasks of one job with a latency target feel on a worker.
type felt struct {
	job   *Job
	image string
	// cpu is what the tasks reserve, in thousandths of a core.
	cpu int64
	// utilisation is the largest that was measured.
	utilisation float64
	// seen is the factor on the load that the measurement shows, and now that of all fillers
	// that work there.
	seen float64
	now  float64
	// own is the load that the tasks bring by themselves: what it will be at most within the horizon.
	own float64
}

const (
	// usualLoad is the load that a task comes to by itself now and then, if it is not known.
	usualLoad = 0.55
	// unexplained is how far a task below its target may feel more than the load of its job
	// explains.
	unexplained = 0.06
	// horizon is how far ahead a load is predicted for what a filler may do.
	horizon = 400 * time.Millisecond
)

// feel returns what is felt on a worker, an entry a job.
func (p *pressure) feel(w *worker, now time.Time) []felt {
	if w.serving == 0 {
		return nil
	}
	var out []felt
	for _, a := range w.attempts {
		if a.step.spec.LatencyTarget == 0 || a.stopping {
			continue
		}
		i := slices.IndexFunc(out, func(f felt) bool { return f.job == a.step.job && f.image == a.step.spec.Image })
		if i < 0 {
			i = len(out)
			out = append(out, felt{job: a.step.job, image: a.step.spec.Image, seen: 1, now: 1})
		}
		out[i].cpu += a.reserved.CPU
		out[i].utilisation = max(out[i].utilisation, a.utilisation())
	}
	for _, a := range w.attempts {
		if !a.step.spec.BestEffort || a.stopping {
			continue
		}
		recent := a.recentPace(now.Add(-gaugeLag))
		for i := range out {
			adds := p.adds(w, a.step, out[i].image)
			out[i].now += adds * float64(a.paced) / paceFull
			out[i].seen += adds * recent / paceFull
		}
	}
	for i := range out {
		out[i].own = p.own(out[i], now)
	}
	slices.SortFunc(out, func(a, b felt) int {
		return cmp.Or(cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.image, b.image))
	})
	return out
}

// own returns the load that the tasks bring by themselves.
func (p *pressure) own(f felt, now time.Time) float64 {
	measured := f.utilisation / f.seen
	if l := p.loads[f.job]; l.known(now) {
		if f.utilisation <= targetUtilisation {
			measured -= unexplained
		}
		return max(l.ahead(now.Add(horizon)), measured)
	}
	return max(measured, usualLoad)
}

// idle returns how much of the processors that tasks with a latency target reserve they are
// expected to leave to fillers, in thousandths of a core.
func (p *pressure) idle(felts []felt, now time.Time) int64 {
	idle := 0.0
	for _, f := range felts {
		use := servingUse
		if p.loads[f.job].known(now) {
			use = f.own
		}
		idle += (1 - use) * float64(f.cpu)
	}
	return int64(idle)
}

// with returns the utilisation that is predicted once fillers add more to the factor.
func (f felt) with(more float64) float64 { return f.own * (f.now + more) }

// worst returns the largest utilisation predicted with one filler of the step more.
func (p *pressure) worst(w *worker, st *step, felts []felt) float64 {
	worst := 0.0
	for _, f := range felts {
		worst = max(worst, f.with(p.adds(w, st, f.image)))
	}
	return worst
}
