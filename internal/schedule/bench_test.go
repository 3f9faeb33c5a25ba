package schedule

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// benchmarkCluster returns a scheduler that has learned from a cluster, and a snapshot of the
// cluster. It has the density that the scheduler is required to handle: 16 batch tasks and 2
// latency-critical tasks a worker, 160 teams, 12 data centres.
func benchmarkCluster(workers, queued int) (*Scheduler, *Snapshot) {
	const attempts = 18
	doc := &config.Document{Teams: map[model.Team]config.TeamSection{}}
	for i := range 12 {
		doc.Operators.DataCentres = append(doc.Operators.DataCentres, config.DataCentre{Name: model.DataCentre(fmt.Sprintf("dc%d", i))})
	}
	team := func(i int) model.Team { return model.Team(fmt.Sprintf("team-%d", i%160)) }
	for i := range 160 {
		section := config.TeamSection{Team: team(i), Quota: config.Quota{Resources: model.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 20}}}
		section.Services = []config.Service{{Name: model.Service(fmt.Sprintf("service-%d", i)), Requests: []config.RequestType{{Path: "/", Deadline: time.Second}}}}
		doc.Teams[team(i)] = section
	}
	s := &Snapshot{Now: testStart, Document: doc, TeamUse: map[model.Team]model.Resources{}}
	spec := func(id string, i int) model.JobSpec {
		return model.JobSpec{ID: model.JobID(id), Team: team(i), Class: model.JobClass(fmt.Sprintf("class-%d", i%40)),
			Declared: model.Resources{MilliCPU: 1000, MemoryMB: 2000}}
	}
	for i := range workers {
		view := WorkerView{Reachable: true, Worker: model.Worker{
			ID: model.WorkerID(fmt.Sprintf("worker-%d", i)), DataCentre: model.DataCentre(fmt.Sprintf("dc%d", i/10%12)),
			Rack: model.Rack(fmt.Sprintf("rack-%d", i/10)), Capacity: model.Resources{MilliCPU: 30000, MemoryMB: 60000, Accelerators: 2}}}
		for j := range 2 {
			view.Services = append(view.Services, model.Service(fmt.Sprintf("service-%d", (i+j)%160)))
		}
		for j := range attempts {
			a := AttemptView{Spec: spec(fmt.Sprintf("job-%d-%d", i, j), i+j), Started: testStart.Add(-time.Minute), Throttle: 1}
			a.ID = model.AttemptID{Job: a.Spec.ID, Number: 1}
			a.Reservation = a.Spec.Declared
			view.Reserved = view.Reserved.Add(a.Reservation)
			view.Attempts = append(view.Attempts, a)
		}
		s.Workers = append(s.Workers, view)
	}
	p := New(1, config.Weights{TailLatency: 1, Throughput: 1, Evictions: 1})
	for i := range s.Workers {
		p.Observe(benchmarkSamples(&s.Workers[i]))
	}
	for range workers/learnedWorkersPerPlan + 1 {
		p.Plan(s)
	}
	for i := range queued {
		s.Queue = append(s.Queue, QueuedJob{Spec: spec(fmt.Sprintf("queued-%d", i), i), Submitted: testStart, Attempt: 1})
	}
	return p, s
}

func benchmarkSamples(view *WorkerView) WorkerSamples {
	samples := WorkerSamples{Worker: view.Worker.ID}
	from, to := testStart.Add(-20*time.Second), testStart.Add(-10*time.Second)
	for i := range view.Attempts {
		a := &view.Attempts[i]
		samples.Usage = append(samples.Usage, platform.UsageSample{Attempt: a.ID, From: from, To: to, Used: a.Reservation})
	}
	for _, service := range view.Services {
		samples.Services = append(samples.Services, platform.ServiceSample{Service: service, From: from, To: to, P99: 100 * time.Millisecond, Load: 0.5, Count: 200})
	}
	return samples
}

// benchmarkPlan measures Plan on an unchanged snapshot. The placements of each call are removed
// from the tracked attempts before the next one, so that attempts do not accumulate.
func benchmarkPlan(b *testing.B, workers, queued, reports int) {
	p, s := benchmarkCluster(workers, queued)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		for i := range reports {
			p.Observe(benchmarkSamples(&s.Workers[i%len(s.Workers)]))
		}
		plan := p.Plan(s)
		b.StopTimer()
		for _, placed := range plan.Placements {
			w := p.worker(placed.Worker)
			w.attempts = w.attempts[:len(s.Workers[0].Attempts)]
			w.refresh(p)
		}
		b.StartTimer()
	}
}

// BenchmarkDecision measures one queued job.
func BenchmarkDecision(b *testing.B) {
	for _, workers := range []int{19, 100, 300, 600, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkPlan(b, workers, 1, 0) })
	}
}

// BenchmarkDecisionWithReports measures one queued job together with as many reports as one call
// of Plan learns from.
func BenchmarkDecisionWithReports(b *testing.B) {
	for _, workers := range []int{19, 100, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkPlan(b, workers, 1, learnedWorkersPerPlan) })
	}
}

// BenchmarkState reports the memory that a scheduler holds a worker and the size of its
// marshalled state.
func BenchmarkState(b *testing.B) {
	for _, workers := range []int{19, 100, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				p, s := benchmarkCluster(workers, 0)
				data, err := p.Marshal()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data)), "marshalled-B")
				b.ReportMetric(heapOf(func() { p = nil; _ = s })/float64(workers), "B/worker")
				runtime.KeepAlive(s)
			}
		})
	}
}

// heapOf returns the number of heap bytes that are freed by calling release.
func heapOf(release func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	release()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(before.HeapAlloc) - float64(after.HeapAlloc)
}

// BenchmarkTick measures one call of Plan that places as many jobs as start in a peak second.
func BenchmarkTick(b *testing.B) {
	for _, c := range []struct{ workers, queued int }{{19, 10}, {100, 52}, {1200, 620}} {
		b.Run(fmt.Sprintf("workers=%d/queued=%d", c.workers, c.queued), func(b *testing.B) { benchmarkPlan(b, c.workers, c.queued, 0) })
	}
}
