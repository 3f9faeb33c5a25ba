package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// TestLoadOfALeavingDataCentreIsAnticipated: two of the three targets of a service go out of
// service with their data centre. Batch work next to the third is throttled by the next call of
// Plan, without any new measurement.
func TestLoadOfALeavingDataCentreIsAnticipated(t *testing.T) {
	cases := []struct {
		name      string
		load      float64
		throttled bool
	}{
		{"batch work is throttled where targets will have too few idle slots", 0.4, true},
		{"batch work is not throttled where targets will have enough idle slots", 0.2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cpu := []int64{2000}
			h := newWorkerHarness(cpu, cpu)
			h.window(cpu, cpu, 100*time.Millisecond)
			h.s.worker("w").load["desk"] = c.load
			doc := &config.Document{Teams: testDocument().Teams}
			doc.Operators.DataCentres = []config.DataCentre{{Name: "dc-a"}, {Name: "dc-b"}}
			workers := []WorkerView{h.view, testWorker("w2", "dc-b", "r2"), testWorker("w3", "dc-b", "r3")}
			for i := range workers {
				workers[i].Services = []model.Service{"desk"}
			}
			before := h.s.Plan(&Snapshot{Now: h.now, Document: doc, Workers: workers})
			is.Equal(len(before.Signals), 0)
			out := *doc
			out.Operators.DataCentres = []config.DataCentre{{Name: "dc-a"}, {Name: "dc-b", Out: true}}
			after := h.s.Plan(&Snapshot{Now: h.now.Add(time.Second), Document: &out, Workers: workers})
			is.Equal(len(after.Signals) == 1, c.throttled)
			for _, r := range after.Signals {
				is.Equal(r.Kind, platform.SignalThrottle)
			}
		})
	}
}

// TestNoisyJobIsAdmittedAfterAWait: a job whose predicted interference exceeds the admission limit
// on every worker is placed once the limit has risen with its waiting time.
func TestNoisyJobIsAdmittedAfterAWait(t *testing.T) {
	is := is.New(t)
	s := New(1, config.Weights{TailLatency: 6, Throughput: 2, Evictions: 2})
	view := testWorker("w", "dc-a", "r")
	view.Services = []model.Service{"desk"}
	for i := range s.effects("desk", unknownLoad).index + 1 {
		s.allBands[i].Class = map[model.JobClass]effect{"c": {Mean: 1, Variance: 0.01}}
	}
	job := testJob("j", "free", 4000)
	is.Equal(len(planFor(s, testStart, []WorkerView{view}, job).Placements), 0)
	is.Equal(len(planFor(s, testStart.Add(admissionRelaxTime), []WorkerView{view}, job).Placements), 1)
}
