package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// testDocument has the data centres dc-a (in service) and dc-b (out), team t with a quota
// of 8 processors, and team free without a quota.
func testDocument() *config.Document {
	return &config.Document{
		Operators: config.Operators{DataCentres: []config.DataCentre{{Name: "dc-a"}, {Name: "dc-b", Out: true}}},
		Teams: map[model.Team]config.TeamSection{
			"t":    {Team: "t", Quota: config.Quota{Resources: model.Resources{MilliCPU: 8000, MemoryMB: 8000}}},
			"free": {Team: "free"},
		},
	}
}

func testWorker(id model.WorkerID, dc model.DataCentre, rack model.Rack) WorkerView {
	return WorkerView{
		Worker:    model.Worker{ID: id, DataCentre: dc, Rack: rack, Capacity: model.Resources{MilliCPU: 10000, MemoryMB: 10000}},
		Reachable: true,
	}
}

func testJob(id model.JobID, team model.Team, milliCPU int64) QueuedJob {
	return QueuedJob{Attempt: 1, Submitted: testStart, Spec: model.JobSpec{
		ID: id, Team: team, Class: "c", Declared: model.Resources{MilliCPU: milliCPU, MemoryMB: 100}}}
}

func TestFeasibility(t *testing.T) {
	elsewhere := testJob("j", "free", 1000)
	elsewhere.Spec.DataCentres = []model.DataCentre{"dc-b"}
	leaving := testWorker("w", "dc-a", "r")
	leaving.Worker.Leaving = true
	unreachable := testWorker("w", "dc-a", "r")
	unreachable.Reachable = false
	full := testWorker("w", "dc-a", "r")
	full.Reserved = model.Resources{MilliCPU: 9500}
	cases := []struct {
		name   string
		worker WorkerView
		job    QueuedJob
		placed bool
	}{
		{"a job that fits is placed", testWorker("w", "dc-a", "r"), testJob("j", "free", 1000), true},
		{"a data centre that is out receives nothing", testWorker("w", "dc-b", "r"), testJob("j", "free", 1000), false},
		{"an unknown data centre receives nothing", testWorker("w", "dc-x", "r"), testJob("j", "free", 1000), false},
		{"a leaving worker receives nothing", leaving, testJob("j", "free", 1000), false},
		{"an unreachable worker receives nothing", unreachable, testJob("j", "free", 1000), false},
		{"a full worker receives nothing", full, testJob("j", "free", 1000), false},
		{"a job stays in its data centres", testWorker("w", "dc-a", "r"), elsewhere, false},
		{"a job above the quota waits", testWorker("w", "dc-a", "r"), testJob("j", "t", 9000), false},
		{"a team without a section places nothing", testWorker("w", "dc-a", "r"), testJob("j", "x", 1000), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &Snapshot{Now: testStart, Document: testDocument(), Workers: []WorkerView{c.worker}, Queue: []QueuedJob{c.job}}
			plan := New(1, config.Weights{}).Plan(s)
			is.New(t).Equal(len(plan.Placements) == 1, c.placed)
		})
	}
}

func TestPlacementsOfOnePlanAddUp(t *testing.T) {
	is := is.New(t)
	s := &Snapshot{Now: testStart, Document: testDocument(), Workers: []WorkerView{testWorker("w", "dc-a", "r")}}
	for _, id := range []model.JobID{"a", "b", "c"} {
		s.Queue = append(s.Queue, testJob(id, "free", 4000))
	}
	plan := New(1, config.Weights{}).Plan(s)
	is.Equal(len(plan.Placements), 2) // 3 x 4 processors exceed the worker's 10
}

func TestUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	urgent := testJob("urgent", "free", 8000)
	urgent.Spec.Priority = model.PriorityUrgent
	s := &Snapshot{Now: testStart, Document: testDocument(), Workers: []WorkerView{testWorker("w", "dc-a", "r")},
		Queue: []QueuedJob{testJob("batch", "free", 8000), urgent}}
	plan := New(1, config.Weights{}).Plan(s)
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Job, model.JobID("urgent"))
}

func TestTeamWithTheLowestShareGoesFirst(t *testing.T) {
	is := is.New(t)
	s := &Snapshot{Now: testStart, Document: testDocument(), Workers: []WorkerView{testWorker("w", "dc-a", "r")},
		Queue:   []QueuedJob{testJob("a", "free", 6000), testJob("b", "t", 6000)},
		TeamUse: map[model.Team]model.Resources{"free": {MilliCPU: 2000}}}
	plan := New(1, config.Weights{}).Plan(s)
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Job, model.JobID("b"))
}

func TestServiceTasksSpreadOverRacks(t *testing.T) {
	is := is.New(t)
	s := &Snapshot{Now: testStart, Document: testDocument(),
		Workers: []WorkerView{testWorker("w1", "dc-a", "r1"), testWorker("w2", "dc-a", "r2")}}
	for _, id := range []model.JobID{"a", "b", "c", "d"} {
		q := testJob(id, "free", 1000)
		q.Spec.Priority = model.PriorityService
		s.Queue = append(s.Queue, q)
	}
	plan := New(1, config.Weights{}).Plan(s)
	count := map[model.WorkerID]int{}
	for _, p := range plan.Placements {
		count[p.Worker]++
	}
	is.Equal(count["w1"], 2)
	is.Equal(count["w2"], 2)
}

func TestEvacuation(t *testing.T) {
	leaving := testWorker("w", "dc-a", "r")
	leaving.Worker.Leaving = true
	cases := []struct {
		name    string
		worker  WorkerView
		signals int
	}{
		{"attempts in a data centre that is out are checkpointed", testWorker("w", "dc-b", "r"), 1},
		{"attempts on a leaving worker are checkpointed", leaving, 1},
		{"attempts elsewhere stay", testWorker("w", "dc-a", "r"), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			c.worker.Attempts = []AttemptView{{ID: model.AttemptID{Job: "j", Number: 1}, Throttle: 1},
				{ID: model.AttemptID{Job: "k", Number: 1}, Throttle: 1, Evicting: true}}
			plan := New(1, config.Weights{}).Plan(&Snapshot{Now: testStart, Document: testDocument(), Workers: []WorkerView{c.worker}})
			is.Equal(len(plan.Signals), c.signals)
			for _, r := range plan.Signals {
				is.Equal(r.Kind, platform.SignalCheckpoint)
				is.Equal(r.Attempt.Job, model.JobID("j"))
				is.True(r.Reason != "")
			}
		})
	}
}

func TestUnfeasible(t *testing.T) {
	workers := []model.Worker{
		{ID: "cpu", DataCentre: "dc-a", Capacity: model.Resources{MilliCPU: 10000, MemoryMB: 1000}},
		{ID: "memory", DataCentre: "dc-b", Capacity: model.Resources{MilliCPU: 1000, MemoryMB: 10000}},
	}
	spec := func(team model.Team, r model.Resources, dcs ...model.DataCentre) model.JobSpec {
		return model.JobSpec{ID: "j", Team: team, Declared: r, DataCentres: dcs}
	}
	cases := []struct {
		name string
		spec model.JobSpec
		want string
	}{
		{"a job that fits is feasible", spec("free", model.Resources{MilliCPU: 5000, MemoryMB: 500}), ""},
		{"a data centre that is out makes no job unfeasible", spec("free", model.Resources{MemoryMB: 5000}, "dc-b"), ""},
		{"processors bind", spec("free", model.Resources{MilliCPU: 20000}), "needs 20000 milliCPU but the largest allowed worker has 10000"},
		{"accelerators bind", spec("free", model.Resources{Accelerators: 1}), "needs 1 accelerators but the largest allowed worker has 0"},
		{"no worker has both", spec("free", model.Resources{MilliCPU: 5000, MemoryMB: 5000}), "no single worker has 5000 milliCPU, 5000 MB and 0 accelerators together"},
		{"the quota binds", spec("t", model.Resources{MilliCPU: 9000}), `needs 9000 milliCPU but the quota of team "t" is 8000`},
		{"the team is unknown", spec("x", model.Resources{}), `team "x" has no section in the configuration`},
		{"the data centre is unknown", spec("free", model.Resources{}, "dc-x"), "none of its data centres [dc-x] is in the configuration"},
		{"the size is negative", spec("free", model.Resources{MilliCPU: -1}), "declared size is negative"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(New(1, config.Weights{}).Unfeasible(c.spec, testDocument(), workers), c.want)
		})
	}
}
