package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// TestLoadOfALeavingDataCentreIsAnticipated: two of three targets leave, and the third is
// relieved in the same decision, without any new measurement.
func TestLoadOfALeavingDataCentreIsAnticipated(t *testing.T) {
	cases := []struct {
		sentence string
		load     float64
		relieved bool
	}{
		{"targets that will have too few idle slots are relieved", 0.4, true},
		{"targets that will have enough are not", 0.2, false},
	}
	for _, c := range cases {
		t.Run(c.sentence, func(t *testing.T) {
			is := is.New(t)
			cpu := []int64{2000}
			o := newObserved(cpu, cpu)
			o.window(cpu, cpu, 100*time.Millisecond)
			o.s.worker("w").load["desk"] = c.load
			doc := &config.Document{Teams: testDocument().Teams}
			doc.Operators.DataCentres = []config.DataCentre{{Name: "dc-a"}, {Name: "dc-b"}}
			workers := []WorkerView{o.view, testWorker("w2", "dc-b", "r2"), testWorker("w3", "dc-b", "r3")}
			for i := range workers {
				workers[i].Services = []model.Service{"desk"}
			}
			before := o.s.Plan(&Snapshot{Now: o.now, Document: doc, Workers: workers})
			is.Equal(len(before.Signals), 0)
			out := *doc
			out.Operators.DataCentres = []config.DataCentre{{Name: "dc-a"}, {Name: "dc-b", Out: true}}
			after := o.s.Plan(&Snapshot{Now: o.now.Add(time.Second), Document: &out, Workers: workers})
			is.Equal(len(after.Signals) == 1, c.relieved)
			for _, r := range after.Signals {
				is.Equal(r.Kind, platform.SignalThrottle)
			}
		})
	}
}

// TestNoisyJobIsAdmittedAfterAWait: it exceeds the limit of admission on an empty worker.
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
