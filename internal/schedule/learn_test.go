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

// TestSizeEstimate allows a deviation of about a third, because the prior and the hysteresis can
// keep an estimate that far from the measured size for some time.
func TestSizeEstimate(t *testing.T) {
	cases := []struct {
		name string
		used func(declared float64) float64
		low  float64
		high float64
	}{
		{"a class that uses a quarter of its declarations is given about a quarter", func(d float64) float64 { return d / 4 }, 200, 340},
		{"a class that uses four times its declarations is given about four times", func(d float64) float64 { return d * 4 }, 3200, 4800},
		{"a class that always uses the same is given that", func(float64) float64 { return 500 }, 450, 600},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
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
	is.Equal(got.MilliCPU, int64(800))  // at least a fifth of the declared size is reserved
	is.Equal(got.MemoryMB, int64(8000)) // the largest worker bounds the estimate
	is.Equal(got.Accelerators, int64(1))
}

// TestInterferenceFindsTheNoisyClass varies the shares of a noisy and a quiet class independently,
// so that only the shares tell their effects apart.
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
	is.True(abs(p.effectOf("noisy").Mean-priorEffect) < abs(learned-priorEffect)/2) // the effect decays towards the prior
}

// TestLateSampleIsAttributedToItsWindow: when a sample arrives, the noisy attempt that caused it
// has ended, and a quiet one has started after the window of the sample.
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

// workerHarness passes usage and latency samples of one worker to Observe and calls Plan.
type workerHarness struct {
	s    *Scheduler
	view WorkerView
	now  time.Time
}

func newWorkerHarness(usedCPU, usedMemory []int64) *workerHarness {
	h := &workerHarness{s: New(1, config.Weights{}), view: testWorker("w", "dc-a", "r"), now: testStart}
	h.view.Services = []model.Service{"desk"}
	for i := range usedCPU {
		spec := model.JobSpec{ID: model.JobID(rune('a' + i)), Team: "free", Class: model.JobClass(rune('a' + i))}
		h.view.Attempts = append(h.view.Attempts, AttemptView{ID: model.AttemptID{Job: spec.ID, Number: 1}, Spec: spec,
			Reservation: model.Resources{MilliCPU: 2000, MemoryMB: 2000}, Started: testStart.Add(-time.Hour), Throttle: 1})
		h.view.Reserved = h.view.Reserved.Add(model.Resources{MilliCPU: 2000, MemoryMB: 2000})
	}
	return h
}

// window reports samples of ten seconds and returns the signals of the plan, which it applies to
// the attempts.
func (h *workerHarness) window(usedCPU, usedMemory []int64, p99 time.Duration) []Signal {
	from := h.now
	h.now = h.now.Add(10 * time.Second)
	samples := WorkerSamples{Worker: "w"}
	for i := range usedCPU {
		samples.Usage = append(samples.Usage, platform.UsageSample{Attempt: h.view.Attempts[i].ID, From: from, To: h.now,
			Used: model.Resources{MilliCPU: usedCPU[i], MemoryMB: usedMemory[i]}})
	}
	samples.Services = []platform.ServiceSample{{Service: "desk", From: from, To: h.now, P99: p99, Load: 0.5, Count: 1000}}
	h.s.Observe(samples)
	doc := testDocument()
	plan := h.s.Plan(&Snapshot{Now: h.now, Document: doc, Workers: []WorkerView{h.view}})
	for _, r := range plan.Signals {
		for i := range h.view.Attempts {
			a := &h.view.Attempts[i]
			if a.ID == r.Attempt && r.Kind == platform.SignalThrottle {
				a.Throttle = r.Share
			} else if a.ID == r.Attempt {
				a.Evicting = true
			}
		}
	}
	return plan.Signals
}

func TestTaskIsEvictedBeforeMemoryIsFull(t *testing.T) {
	is := is.New(t)
	cpu := []int64{1000, 1000}
	h := newWorkerHarness(cpu, cpu)
	is.Equal(len(h.window(cpu, []int64{2000, 6000}, 100*time.Millisecond)), 0)
	signals := h.window(cpu, []int64{2000, 7800}, 100*time.Millisecond)
	is.Equal(len(signals), 1)
	is.Equal(signals[0].Kind, platform.SignalCheckpoint)
	is.Equal(signals[0].Attempt.Job, model.JobID("b"))                         // frees the most memory for its lost work
	is.Equal(len(h.window(cpu, []int64{2000, 7800}, 100*time.Millisecond)), 0) // one eviction is enough
}

// TestOverdueCheckpointIsStopped: a task whose checkpoint takes too long is stopped when the
// memory of the worker is nearly full.
func TestOverdueCheckpointIsStopped(t *testing.T) {
	is := is.New(t)
	cpu, memory := []int64{1000, 1000}, []int64{2000, 8000}
	h := newWorkerHarness(cpu, memory)
	var kinds []platform.SignalKind
	for range 9 {
		for _, r := range h.window(cpu, memory, 100*time.Millisecond) {
			kinds = append(kinds, r.Kind)
		}
	}
	is.Equal(kinds, []platform.SignalKind{platform.SignalCheckpoint, platform.SignalStop})
}

func TestLatencyIsMitigatedByThrottlesFirst(t *testing.T) {
	is := is.New(t)
	cpu, memory := []int64{2000, 2000}, []int64{1000, 1000}
	h := newWorkerHarness(cpu, memory)
	for range 5 {
		is.Equal(len(h.window(cpu, memory, 100*time.Millisecond)), 0)
	}
	var kinds []platform.SignalKind
	for range 20 {
		for _, r := range h.window(cpu, memory, time.Second) {
			kinds = append(kinds, r.Kind)
		}
	}
	is.True(len(kinds) > 2)
	is.Equal(kinds[0], platform.SignalThrottle)
	is.Equal(kinds[len(kinds)-1], platform.SignalCheckpoint) // once no stronger throttle is left
}

// TestRecurringSpikesDoNotOscillate: a latency spike of a minute recurs every two minutes for an
// hour. Each recurrence doubles the throttle time up to maximumThrottleTime, which bounds the
// number of releases.
func TestRecurringSpikesDoNotOscillate(t *testing.T) {
	is := is.New(t)
	cpu, memory := []int64{2000}, []int64{1000}
	h := newWorkerHarness(cpu, memory)
	signals := 0
	for i := range 360 {
		p99 := 100 * time.Millisecond
		if i%12 >= 6 && h.view.Attempts[0].Throttle == 1 {
			p99 = time.Second
		}
		signals += len(h.window(cpu, memory, p99))
	}
	t.Logf("%d signals in an hour of 30 spikes", signals)
	is.True(signals > 0)
	is.True(signals <= 30) // a constant throttle time would give two per spike: 60
}
