// Package workerspeed tells slow and hanging workers from tasks that take long by their own nature.
//
// The load: some workers run everything several times slower than others, or let their tasks stand still, while their health
// is good; and some tasks are several times longer than the others of their step wherever they run. What is known is how far
// each task has come. Rate is the progress of a task, Typical that of its peers, Slow the probability that the worker is the
// cause when several tasks there are slow, and Move whether a task is done sooner elsewhere.
package workerspeed

import (
	"slices"
	"time"
)

const (
	// windowLength is the time over which progress is measured. A worker that turns slow shows within it.
	windowLength = 1500 * time.Millisecond
	// minMeasured is the shortest time that gives a rate.
	minMeasured = 500 * time.Millisecond
	// stillExpected is the progress in percent that peers make while a task makes none, from which it stands still.
	stillExpected = 50
)

// sample is the progress of a task, in percent, at a time.
type sample struct {
	percent int
	at      time.Time
}

// Progress is the recent progress of one run of a task. The zero value has seen none.
type Progress struct {
	older, newer, last sample
	roseAt             time.Time // when the progress last rose
}

// Observe adds the progress in percent at a time.
func (p *Progress) Observe(percent int, at time.Time) {
	s := sample{percent, at}
	if p.older.at.IsZero() {
		*p = Progress{older: s, newer: s, last: s, roseAt: at}
		return
	}
	if percent != p.last.percent {
		p.roseAt = at
	}
	if at.Sub(p.newer.at) >= windowLength {
		p.older, p.newer = p.newer, s
	}
	p.last = s
}

// Reset forgets all progress, since the task did not run as usual.
func (p *Progress) Reset() { *p = Progress{} }

// Rate is the measured progress of a task.
type Rate struct {
	PercentPerSecond float64
	// Measured is the time over which it was measured, and Still how long there was no progress at its end.
	Measured, Still time.Duration
}

// Rate returns the recent rate; ok is false if it was measured for too short a time or too long ago.
func (p *Progress) Rate(now time.Time) (r Rate, ok bool) {
	r.Measured, r.Still = p.last.at.Sub(p.older.at), p.last.at.Sub(p.roseAt)
	if r.Measured < minMeasured || now.Sub(p.last.at) > windowLength {
		return Rate{}, false
	}
	r.PercentPerSecond = float64(p.last.percent-p.older.percent) / r.Measured.Seconds()
	return r, true
}

// standsStill reports whether a task has made no progress while its peers do half of theirs. Tasks that are merely long make some.
func (r Rate) standsStill(typical float64) bool { return typical*r.Still.Seconds() >= stillExpected }

// present returns the progress in percent a second that is to be expected from now on.
func (r Rate) present(typical float64) float64 {
	if r.standsStill(typical) {
		return 0
	}
	return r.PercentPerSecond
}

const (
	// minPeers is the number of rates that a typical one needs.
	minPeers = 3
	// maxFinished is the number of finished runs that are kept of a step.
	maxFinished = 15
)

// Peers holds the rates of the runs of one step. The zero value holds none.
type Peers struct {
	finished []float64
	// rates are those of the runs that are not done and, once merged is set, the finished ones.
	rates   []float64
	merged  bool
	typical float64 // the median; 0 if it is not known
}

// Finish adds the rate of a run that is done, from the next Begin on.
func (p *Peers) Finish(rate float64) {
	if len(p.finished) < maxFinished {
		p.finished = append(p.finished, rate)
	}
}

// Begin forgets the rates of runs that were not done.
func (p *Peers) Begin() { p.rates, p.merged, p.typical = p.rates[:0], false, 0 }

// Add adds the rate of a run that is not done.
func (p *Peers) Add(rate float64) { p.rates, p.typical = append(p.rates, rate), 0 }

// Typical returns the median rate; ok is false if too few are known. The median is that of the sound workers as long as they are
// the majority.
func (p *Peers) Typical() (rate float64, ok bool) {
	if !p.merged {
		p.rates, p.merged = append(p.rates, p.finished...), true
	}
	if len(p.rates) < minPeers {
		return 0, false
	}
	if p.typical == 0 {
		slices.Sort(p.rates)
		p.typical = p.rates[len(p.rates)/2]
	}
	return p.typical, p.typical > 0
}
