package schedule

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// TestSizeEstimate allows a third: the prior and the hysteresis keep an estimate that far from
// the measured size for some time.
func TestSizeEstimate(t *testing.T) {
	cases := []struct {
		sentence string
		used     func(declared float64) float64
		low      float64
		high     float64
	}{
		{"a class that uses a quarter of its declarations is given about a quarter", func(d float64) float64 { return d / 4 }, 200, 340},
		{"a class that uses four times its declarations is given about four times", func(d float64) float64 { return d * 4 }, 3200, 4800},
		{"a class that always uses the same is given that", func(float64) float64 { return 500 }, 450, 600},
	}
	for _, c := range cases {
		t.Run(c.sentence, func(t *testing.T) {
			is := is.New(t)
			var e sizeEstimate
			is.Equal(e.predict(1000, memorySigmas), 1000.0) // nothing is known yet
			for i := range 50 {
				declared := float64(500 + 40*(i%20))
				e.add(c.used(declared), declared)
			}
			got := e.predict(1000, memorySigmas)
			is.True(got >= c.low)
			is.True(got <= c.high)
		})
	}
}

func TestEstimateHysteresis(t *testing.T) {
	is := is.New(t)
	var e sizeEstimate
	for range 60 {
		e.add(1000, 1000)
	}
	before := e.predict(1000, 0)
	e.add(1100, 1000)
	is.Equal(e.predict(1000, 0), before) // a small change is not acted on
	for range 60 {
		e.add(2000, 1000)
	}
	is.True(e.predict(1000, 0) > 1.5*before) // a lasting one is
}

func TestReservationBounds(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	s.largest = model.Resources{MilliCPU: 8000, MemoryMB: 8000}
	spec := &model.JobSpec{ID: "j", Class: "c", Declared: model.Resources{MilliCPU: 4000, MemoryMB: 4000, Accelerators: 1}}
	for range 100 {
		s.class("c").CPU.add(10, 4000)
		s.class("c").Memory.add(90000, 4000)
	}
	got := s.reservation(spec)
	is.Equal(got.MilliCPU, int64(800))  // the floor is a fifth of the declaration
	is.Equal(got.MemoryMB, int64(8000)) // the largest worker bounds the estimate
	is.Equal(got.Accelerators, int64(1))
}

// TestInterferenceFindsTheNoisyClass mixes a noisy and a quiet class at random, so that
// only attribution by share can tell them apart.
func TestInterferenceFindsTheNoisyClass(t *testing.T) {
	is := is.New(t)
	var p bandEffects
	at := testStart
	for i := range 200 {
		noisy, quiet := float64(i%7)/10, float64(i%5)/10
		p.learn(math.Log(0.1)+2*noisy, []classShare{{"noisy", noisy}, {"quiet", quiet}}, at)
		at = at.Add(10 * time.Second)
	}
	is.True(abs(p.effectOf("noisy").Mean-2) < 0.3)
	is.True(abs(p.effectOf("quiet").Mean) < 0.3)
	is.Equal(p.effectOf("unknown").Mean, priorEffect)
	learned := p.effectOf("noisy").Mean
	p.decay(at.Add(24 * time.Hour))
	is.True(abs(p.effectOf("noisy").Mean-priorEffect) < abs(learned-priorEffect)/2) // it forgets
}

// TestLateSampleIsAttributedToItsWindow: the noisy attempt had ended before the sample
// arrived, and the quiet one started after its window.
func TestLateSampleIsAttributedToItsWindow(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{})
	w := s.worker("w")
	w.capacity = model.Resources{MilliCPU: 10000}
	add := func(id model.JobID, class model.JobClass, from, until time.Time) {
		w.attempts = append(w.attempts, &trackedAttempt{id: model.AttemptID{Job: id, Number: 1}, spec: &model.JobSpec{ID: id, Class: class},
			started: from, ended: until, samples: 1, cpu: 5000})
	}
	second := func(n int) time.Time { return testStart.Add(time.Duration(n) * time.Second) }
	add("a", "noisy", second(0), second(15))
	add("b", "quiet", second(20), time.Time{})
	is.Equal(w.classSharesIn(s, second(5), second(15)), []classShare{{"noisy", 0.5}})
	is.Equal(w.classSharesIn(s, second(10), second(20)), []classShare{{"noisy", 0.25}})
	is.Equal(w.classSharesIn(s, second(20), second(30)), []classShare{{"quiet", 0.5}})
}

// observed plays usage and latency samples of one worker through Observe and Plan.
type observed struct {
	s    *Scheduler
	view WorkerView
	now  time.Time
}

func newObserved(usedCPU, usedMemory []int64) *observed {
	o := &observed{s: New(1, config.Weights{}), view: testWorker("w", "dc-a", "r"), now: testStart}
	o.view.Services = []model.Service{"desk"}
	for i := range usedCPU {
		spec := model.JobSpec{ID: model.JobID(rune('a' + i)), Team: "free", Class: model.JobClass(rune('a' + i))}
		o.view.Attempts = append(o.view.Attempts, AttemptView{ID: model.AttemptID{Job: spec.ID, Number: 1}, Spec: spec,
			Reservation: model.Resources{MilliCPU: 2000, MemoryMB: 2000}, Started: testStart.Add(-time.Hour), Throttle: 1})
		o.view.Committed = o.view.Committed.Add(model.Resources{MilliCPU: 2000, MemoryMB: 2000})
	}
	return o
}

// window reports ten seconds and returns the reliefs, which it carries out.
func (o *observed) window(usedCPU, usedMemory []int64, p99 time.Duration) []Signal {
	from := o.now
	o.now = o.now.Add(10 * time.Second)
	samples := WorkerSamples{Worker: "w"}
	for i := range usedCPU {
		samples.Usage = append(samples.Usage, platform.UsageSample{Attempt: o.view.Attempts[i].ID, From: from, To: o.now,
			Used: model.Resources{MilliCPU: usedCPU[i], MemoryMB: usedMemory[i]}})
	}
	samples.Services = []platform.ServiceSample{{Service: "desk", From: from, To: o.now, P99: p99, Load: 0.5, Count: 1000}}
	o.s.Observe(samples)
	doc := testDocument()
	plan := o.s.Plan(&Snapshot{Now: o.now, Document: doc, Workers: []WorkerView{o.view}})
	for _, r := range plan.Signals {
		for i := range o.view.Attempts {
			a := &o.view.Attempts[i]
			if a.ID == r.Attempt && r.Kind == platform.SignalThrottle {
				a.Throttle = r.Share
			} else if a.ID == r.Attempt {
				a.Evicting = true
			}
		}
	}
	return plan.Signals
}

func TestMemoryReliefComesBeforeTheWorkerIsFull(t *testing.T) {
	is := is.New(t)
	cpu := []int64{1000, 1000}
	o := newObserved(cpu, cpu)
	is.Equal(len(o.window(cpu, []int64{2000, 6000}, 100*time.Millisecond)), 0)
	reliefs := o.window(cpu, []int64{2000, 7800}, 100*time.Millisecond)
	is.Equal(len(reliefs), 1)
	is.Equal(reliefs[0].Kind, platform.SignalCheckpoint)
	is.Equal(reliefs[0].Attempt.Job, model.JobID("b"))                         // most relief for its lost work
	is.Equal(len(o.window(cpu, []int64{2000, 7800}, 100*time.Millisecond)), 0) // one eviction is enough
}

// TestLateCheckpointIsStopped is the last step of relief.
func TestLateCheckpointIsStopped(t *testing.T) {
	is := is.New(t)
	cpu, memory := []int64{1000, 1000}, []int64{2000, 8000}
	o := newObserved(cpu, memory)
	var kinds []platform.SignalKind
	for range 9 {
		for _, r := range o.window(cpu, memory, 100*time.Millisecond) {
			kinds = append(kinds, r.Kind)
		}
	}
	is.Equal(kinds, []platform.SignalKind{platform.SignalCheckpoint, platform.SignalStop})
}

func TestLatencyReliefThrottlesFirst(t *testing.T) {
	is := is.New(t)
	cpu, memory := []int64{2000, 2000}, []int64{1000, 1000}
	o := newObserved(cpu, memory)
	for range 5 {
		is.Equal(len(o.window(cpu, memory, 100*time.Millisecond)), 0)
	}
	var kinds []platform.SignalKind
	for range 20 {
		for _, r := range o.window(cpu, memory, time.Second) {
			kinds = append(kinds, r.Kind)
		}
	}
	is.True(len(kinds) > 2)
	is.Equal(kinds[0], platform.SignalThrottle)
	is.Equal(kinds[len(kinds)-1], platform.SignalCheckpoint) // once throttles are used up
}

// TestWavesDoNotOscillate: a wave of a minute comes every two minutes for an hour. Each
// relapse doubles the hold up to maximumThrottleTime, which bounds the releases.
func TestWavesDoNotOscillate(t *testing.T) {
	is := is.New(t)
	cpu, memory := []int64{2000}, []int64{1000}
	o := newObserved(cpu, memory)
	signals := 0
	for i := range 360 {
		p99 := 100 * time.Millisecond
		if i%12 >= 6 && o.view.Attempts[0].Throttle == 1 {
			p99 = time.Second
		}
		signals += len(o.window(cpu, memory, p99))
	}
	t.Logf("%d signals in an hour of 30 waves", signals)
	is.True(signals > 0)
	is.True(signals <= 30) // without a growing hold it is two a wave: 60
}
