package batch

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/workerspeed"
)

// noteStart notes that an attempt has begun from 0. Where one that resumes begins is not known before it is listed.
func (a *attempt) noteStart(now time.Time) {
	if !a.listed && a.task().checkpoint == "" && a.showsSpeed() {
		a.progress.Observe(0, now)
	}
}

// noteProgress notes the progress that a report shows.
func (a *attempt) noteProgress(percent int, now time.Time) {
	if !a.showsSpeed() {
		a.progress.Reset()
		return
	}
	a.progress.Observe(percent, now)
}

// noteFinish adds the rate of an attempt that is done, if it has run from 0 without a CPU limit, to those of its peers. a may be nil.
func (a *attempt) noteFinish(now time.Time) {
	if a == nil || a.acceptedAt.IsZero() || a.mayHaveResumed() || !a.showsSpeed() || !a.cpuLimitAt.IsZero() {
		return
	}
	if took := now.Sub(a.acceptedAt); took > 0 {
		a.step.peers.Finish(fullPercent / took.Seconds())
	}
}

// mayHaveResumed reports whether the attempt may have begun from the checkpoint of another run.
func (a *attempt) mayHaveResumed() bool {
	t := a.task()
	return t.checkpoint != "" && t.checkpointRun != a.run
}

// showsSpeed reports whether the progress of the attempt tells something of the speed of its worker: it ends by itself, and neither a
// CPU limit nor the start of its worker slows it down.
func (a *attempt) showsSpeed() bool {
	return !a.step.spec.LongRunning && a.cpuLimit == fullPercent && a.worker.info.WarmUp == 0
}

// rate returns the recent progress of an attempt, if it tells something of its worker.
func (a *attempt) rate(now time.Time) (workerspeed.Rate, bool) {
	if a.stopping || !a.listed || a.worker.unreachable || !a.showsSpeed() {
		return workerspeed.Rate{}, false
	}
	return a.progress.Rate(now)
}

// latency returns the tail latency of an attempt with a latency target that is ready.
func (a *attempt) latency() (time.Duration, bool) {
	if a.stopping || !a.listed || a.worker.unreachable || a.step.spec.LatencyTarget == 0 || a.percent < fullPercent || a.lastMeasurement <= 0 {
		return 0, false
	}
	return time.Duration(a.lastMeasurement) * time.Millisecond, true
}
