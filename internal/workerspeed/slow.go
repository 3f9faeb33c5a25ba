package workerspeed

import (
	"math"
	"time"
)

const (
	// slowRatio and normalRatio are the parts of the typical rate below which a task is slow and from which it is normal.
	slowRatio   = 1.0 / 3
	normalRatio = 2.0 / 3
	// minExpected is the progress in percent that a task must have been expected to make to be judged.
	minExpected = 25
	// longTaskShare is the share of tasks that are slow for a reason of their own.
	longTaskShare = 0.04
	// stillTaskShare is the share of tasks that stand still for a reason of their own.
	stillTaskShare = 0.002
	// lateTaskShare is the share of tasks with a latency far beyond their target and their peers' for a reason of their own, while
	// no best-effort task disturbs them.
	lateTaskShare = 0.002
	// lateRatio is the part of its latency at which that of its peers must lie, and lateFactor the multiple of its target that it
	// exceeds, for a task to be late.
	lateRatio  = 1.0 / 4
	lateFactor = 4
	// slowWorkerShare is the share of workers that are slow at a time, before anything is known of one.
	slowWorkerShare = 0.02
	// normalOnSlow is the probability that a task on a slow worker looks normal.
	normalOnSlow = 0.05
	// ConfirmedSlow is the probability from which a worker counts as slow.
	ConfirmedSlow = 0.9
)

// Evidence is what the tasks on one worker show of it.
type Evidence struct {
	Slow, Still, Late, Normal int
	ratios                    float64 // sum of the ratios of all of them
}

// Add judges a task by its rate and the typical one of its peers, in percent a second.
func (e *Evidence) Add(r Rate, typical float64) {
	if typical*r.Measured.Seconds() < minExpected {
		return
	}
	switch ratio := r.PercentPerSecond / typical; {
	case r.standsStill(typical):
		e.Still++
	case ratio < slowRatio:
		e.Slow++
		e.ratios += ratio
	case ratio >= normalRatio:
		e.Normal++
		e.ratios += min(ratio, 1)
	}
}

// AddLatency judges a task with a latency target, which no best-effort task disturbs, by its latency and the typical one of its peers.
func (e *Evidence) AddLatency(latency, typical, target time.Duration) {
	switch {
	case latency > lateFactor*target && float64(typical) < lateRatio*float64(latency):
		e.Late++
		e.ratios += float64(typical) / float64(latency)
	case latency <= target:
		e.Normal++
		e.ratios++
	}
}

// Probability returns the probability that the worker is slow. Tasks are long by their own nature independently of each other, so
// two slow tasks without a normal one point to the worker, and a single one does not. One that stands still or is late does; but
// what makes one task late may make others there late, so that only one counts.
func (e Evidence) Probability() float64 {
	odds := slowWorkerShare / (1 - slowWorkerShare)
	odds *= math.Pow((1-normalOnSlow)/longTaskShare, float64(e.Slow))
	odds *= math.Pow((1-normalOnSlow)/stillTaskShare, float64(e.Still))
	odds *= math.Pow((1-normalOnSlow)/lateTaskShare, float64(min(e.Late, 1)))
	odds *= math.Pow(normalOnSlow/(1-longTaskShare), float64(e.Normal))
	return odds / (1 + odds)
}

// Speed returns the mean rate of the tasks as a part of the typical one.
func (e Evidence) Speed() float64 {
	n := e.Slow + e.Still + e.Late + e.Normal
	if n == 0 {
		return 1
	}
	return e.ratios / float64(n)
}

const (
	// firstAvoidance is how long a slow worker gets no new tasks. It doubles up to longestAvoidance whenever the worker is slow
	// again within probation after it.
	firstAvoidance   = 4 * time.Second
	longestAvoidance = 16 * time.Second
	probation        = 8 * time.Second
)

// Avoidance is for how long a worker is avoided. The zero value has not been slow.
type Avoidance struct {
	until  time.Time
	length time.Duration
	speed  float64
}

// Begin notes that the worker is slow, and returns until when it is avoided.
func (a *Avoidance) Begin(speed float64, now time.Time) time.Time {
	switch {
	case now.Before(a.until):
		return a.until
	case a.OnProbation(now):
		a.length = min(2*a.length, longestAvoidance)
	default:
		a.length = firstAvoidance
	}
	a.until, a.speed = now.Add(a.length), speed
	return a.until
}

// Active reports whether the worker is avoided.
func (a *Avoidance) Active(now time.Time) bool { return now.Before(a.until) }

// OnProbation reports whether the worker was avoided until lately.
func (a *Avoidance) OnProbation(now time.Time) bool {
	return !a.until.IsZero() && !now.Before(a.until) && now.Sub(a.until) < probation
}

// Speed returns the learned speed of the worker as a part of that of others. It goes back to 1 during probation.
func (a *Avoidance) Speed(now time.Time) float64 {
	switch {
	case a.Active(now):
		return a.speed
	case a.OnProbation(now):
		return a.speed + (1-a.speed)*now.Sub(a.until).Seconds()/probation.Seconds()
	default:
		return 1
	}
}
