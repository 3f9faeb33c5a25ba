package workerspeed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// The load: workers that are several times slower than others, or let their tasks stand still, beside tasks that are several times
// longer than their peers.
func TestASlowWorkerIsToldFromALongTask(t *testing.T) {
	for _, c := range []struct {
		name  string
		rates []float64 // of the tasks on the worker; the typical one is 50
		slow  bool
	}{
		{"no task shows anything", nil, false},
		{"one long task alone", []float64{7}, false},
		{"one long task beside a normal one", []float64{7, 50}, false},
		{"two long tasks beside two normal ones", []float64{7, 7, 50, 50}, false},
		{"two slow tasks", []float64{7, 6}, true},
		{"two tasks without progress", []float64{0, 0}, true},
		{"three slow tasks beside a short one", []float64{7, 7, 7, 60}, true},
		{"tasks at half the speed, far from their data", []float64{25, 25, 25}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var e Evidence
			for _, r := range c.rates {
				e.Add(Rate{PercentPerSecond: r, Measured: time.Second}, 50)
			}
			is.Equal(e.Probability() >= ConfirmedSlow, c.slow)
		})
	}
}

// Guards against a worker that counts as sound since its only task had made progress before it stood still.
func TestATaskThatStandsStillPointsToItsWorker(t *testing.T) {
	is := is.New(t)
	for still, slow := range map[time.Duration]bool{500 * time.Millisecond: false, time.Second: true} {
		var e Evidence
		e.Add(Rate{PercentPerSecond: 30, Measured: 2 * time.Second, Still: still}, 50)
		is.Equal(e.Probability() >= ConfirmedSlow, slow)
		e.Add(Rate{PercentPerSecond: 50, Measured: 2 * time.Second}, 50)
		is.True(e.Probability() < ConfirmedSlow) // another task there runs as usual
	}
}

// The load: services on a slow worker miss their targets many times over although nothing is beside them. Guards against workers
// that count as slow since a service has a peak, which its peers elsewhere have too, or since one of several services is in trouble.
func TestLatenciesPointToAWorker(t *testing.T) {
	const target, usual, late = 50 * time.Millisecond, 30 * time.Millisecond, 2500 * time.Millisecond
	for _, c := range []struct {
		name      string
		typical   time.Duration
		latencies []time.Duration
		slow      bool
	}{
		{"within the target", usual, []time.Duration{usual}, false},
		{"above the target", usual, []time.Duration{3 * target}, false},
		{"far above target and peers", usual, []time.Duration{late}, true},
		{"several of them", usual, []time.Duration{late, late, late}, true},
		{"its peers are as late", late, []time.Duration{late}, false},
		{"three late, two within the target", usual, []time.Duration{late, late, late, usual, usual}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var e Evidence
			for _, l := range c.latencies {
				e.AddLatency(l, c.typical, target)
			}
			is.Equal(e.Probability() >= ConfirmedSlow, c.slow)
		})
	}
}

// Guards against verdicts on tasks that have hardly had time to show progress.
func TestATaskIsNotJudgedBeforeItShouldHaveComeFar(t *testing.T) {
	is := is.New(t)
	var e Evidence
	e.Add(Rate{Measured: time.Second}, 20)
	is.Equal(e.Slow, 0)
	e.Add(Rate{Measured: 2 * time.Second}, 20)
	is.Equal(e.Slow, 1)
}

// Guards against a slow worker that shows late, as its tasks had made progress before.
func TestTheRateIsThatOfTheLastSeconds(t *testing.T) {
	is := is.New(t)
	var p Progress
	_, ok := p.Rate(start)
	is.True(!ok)
	at := start
	for i := range 10 { // 10 percent each 0.5 s
		p.Observe(10*i, at)
		at = at.Add(500 * time.Millisecond)
	}
	rate, ok := p.Rate(at)
	is.True(ok)
	is.Equal(rate.PercentPerSecond, 20.0)
	for range 7 { // and then none
		p.Observe(90, at)
		at = at.Add(500 * time.Millisecond)
	}
	rate, ok = p.Rate(at)
	is.True(ok)
	is.True(rate.PercentPerSecond < 20.0/3)
	is.Equal(rate.Still, 3*time.Second+500*time.Millisecond)
	_, ok = p.Rate(at.Add(2 * time.Second)) // nothing was heard since
	is.True(!ok)
}

// Guards against a comparison with peers most of which are not known.
func TestTheTypicalRateIsTheMedianOfAtLeastThree(t *testing.T) {
	is := is.New(t)
	var p Peers
	p.Add(50)
	p.Add(0)
	_, ok := p.Typical()
	is.True(!ok)
	p.Finish(40)
	p.Begin()
	p.Add(50)
	p.Add(0)
	typical, ok := p.Typical()
	is.True(ok)
	is.Equal(typical, 40.0)
	p.Begin()
	_, ok = p.Typical()
	is.True(!ok) // one finished run is left
}

// The load: a straggler keeps its step from completing. Guards against moves that take longer than they save, or throw away more.
func TestATaskMovesOnlyWhereItPays(t *testing.T) {
	for _, c := range []struct {
		name string
		run  Run
		want bool
	}{
		{"it stands still", Run{Percent: 90, Rate: Rate{PercentPerSecond: 0, Measured: time.Second}, Typical: 50}, true},
		{"it has stood still for as long as its peers take", Run{Percent: 90, Rate: Rate{PercentPerSecond: 30, Measured: 3 * time.Second, Still: 2 * time.Second}, Typical: 50}, true},
		{"slow from the beginning", Run{Percent: 10, Rate: Rate{PercentPerSecond: 7, Measured: time.Second}, Typical: 50}, true},
		{"nearly done, it would begin anew", Run{Percent: 90, Rate: Rate{PercentPerSecond: 7, Measured: time.Second}, Typical: 50}, false},
		{"nearly done, a stop saves its progress", Run{Percent: 85, Rate: Rate{PercentPerSecond: 7, Measured: time.Second}, Typical: 50, SavedAtStop: true}, true},
		{"done sooner than a move takes", Run{Percent: 97, Rate: Rate{PercentPerSecond: 7, Measured: time.Second}, Typical: 50, SavedAtStop: true}, false},
		{"as fast as its peers", Run{Percent: 10, Rate: Rate{PercentPerSecond: 45, Measured: time.Second}, Typical: 50}, false},
		{"half done at a third of the speed, it would begin anew", Run{Percent: 50, Rate: Rate{PercentPerSecond: 17, Measured: time.Second}, Typical: 50}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Move(c.run), c.want)
		})
	}
}

// Guards against workers that are slow by turns and get tasks each time, and against workers that are avoided for good.
func TestAvoidanceGrowsDuringProbationAndIsForgottenAfterIt(t *testing.T) {
	is := is.New(t)
	var a Avoidance
	is.Equal(a.Speed(start), 1.0)
	until := a.Begin(0.1, start)
	is.Equal(until, start.Add(firstAvoidance))
	is.True(a.Active(start.Add(time.Second)))
	is.Equal(a.Begin(0.1, start.Add(time.Second)), until) // the same trouble
	is.Equal(a.Speed(start.Add(time.Second)), 0.1)
	is.True(a.OnProbation(until))
	is.True(a.Speed(until.Add(probation/2)) > 0.5)
	second := a.Begin(0.1, until.Add(time.Second))
	is.Equal(second, until.Add(time.Second+2*firstAvoidance))
	third := a.Begin(0.1, second)
	is.Equal(third.Sub(second), longestAvoidance)
	is.Equal(a.Begin(0.1, third).Sub(third), longestAvoidance)
	later := third.Add(longestAvoidance + probation)
	is.Equal(a.Speed(later), 1.0)
	is.Equal(a.Begin(0.1, later).Sub(later), firstAvoidance)
}
