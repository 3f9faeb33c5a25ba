package schedule

import (
	"fmt"
	"sort"
	"testing"

	"pgregory.net/rapid"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/model"
)

// drawSnapshot draws a small cluster in which each placement rule sometimes excludes a worker or a
// job.
func drawSnapshot(t *rapid.T) *Snapshot {
	size := func(label string, most int) model.Resources {
		return model.Resources{
			MilliCPU:     int64(rapid.IntRange(1, most).Draw(t, label+" cpu")) * 1000,
			MemoryMB:     int64(rapid.IntRange(1, most).Draw(t, label+" memory")) * 1000,
			Accelerators: int64(rapid.IntRange(0, 1).Draw(t, label+" accelerators")),
		}
	}
	s := &Snapshot{Now: testStart, Document: &config.Document{Teams: map[model.Team]config.TeamSection{}}, TeamUse: map[model.Team]model.Resources{}}
	for i := range 2 {
		dc := config.DataCentre{Name: model.DataCentre(fmt.Sprintf("dc%d", i)), Out: rapid.IntRange(0, 4).Draw(t, "out") == 0}
		s.Document.Operators.DataCentres = append(s.Document.Operators.DataCentres, dc)
	}
	for i := range 3 {
		team := model.Team(fmt.Sprintf("t%d", i))
		section := config.TeamSection{Team: team}
		if rapid.Bool().Draw(t, "quota") {
			section.Quota.Resources = size("quota", 8)
		}
		section.Quota.Share = float64(rapid.IntRange(0, 2).Draw(t, "share"))
		s.Document.Teams[team] = section
	}
	for i := range rapid.IntRange(1, 9).Draw(t, "workers") {
		w := testWorker(model.WorkerID(fmt.Sprintf("w%d", i)), model.DataCentre(fmt.Sprintf("dc%d", i/4)), model.Rack(fmt.Sprintf("r%d", i%3)))
		w.Worker.Capacity = size("capacity", 12)
		w.Reserved = model.Resources{MilliCPU: int64(rapid.IntRange(0, 4).Draw(t, "committed")) * 1000}
		w.Reachable = rapid.IntRange(0, 8).Draw(t, "reachable") > 0
		w.Worker.Leaving = rapid.IntRange(0, 8).Draw(t, "leaving") == 0
		s.Workers = append(s.Workers, w)
	}
	for i := range rapid.IntRange(0, 20).Draw(t, "queue") {
		q := testJob(model.JobID(fmt.Sprintf("j%02d", i)), model.Team(fmt.Sprintf("t%d", rapid.IntRange(0, 9).Draw(t, "team")%4)), 0)
		q.Spec.Declared = size("declared", 4)
		q.Spec.Priority = model.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
		if rapid.IntRange(0, 5).Draw(t, "bound") == 0 {
			q.Spec.DataCentres = []model.DataCentre{"dc1"}
		}
		s.Queue = append(s.Queue, q)
	}
	return s
}

// referencePlanner is a slow and simple implementation of the placement rules. It recomputes
// everything from the placements so far.
type referencePlanner struct {
	s      *Snapshot
	placed []Placement
}

func (ref *referencePlanner) job(id model.JobID) *QueuedJob {
	for i := range ref.s.Queue {
		if ref.s.Queue[i].Spec.ID == id {
			return &ref.s.Queue[i]
		}
	}
	return nil
}

func (ref *referencePlanner) teamUse(team model.Team) model.Resources {
	use := ref.s.TeamUse[team]
	for _, p := range ref.placed {
		if ref.job(p.Job).Spec.Team == team {
			use = use.Add(p.Reservation)
		}
	}
	return use
}

func (ref *referencePlanner) open(w *WorkerView) bool {
	return w.Reachable && !w.Worker.Leaving && !ref.s.Document.DataCentreOut(w.Worker.DataCentre)
}

// fits reports whether the job can start on the worker after the placements so far.
func (ref *referencePlanner) fits(q *QueuedJob, w *WorkerView) bool {
	reserved := w.Reserved.Add(q.Spec.Declared)
	for _, p := range ref.placed {
		if p.Worker == w.Worker.ID {
			reserved = reserved.Add(p.Reservation)
		}
	}
	return ref.open(w) && reserved.Fits(w.Worker.Capacity) && ref.inPlace(q, w) && ref.inQuota(q) && ref.spread(q, w)
}

func (ref *referencePlanner) inPlace(q *QueuedJob, w *WorkerView) bool {
	for _, dc := range q.Spec.DataCentres {
		if dc == w.Worker.DataCentre {
			return true
		}
	}
	return len(q.Spec.DataCentres) == 0
}

func (ref *referencePlanner) inQuota(q *QueuedJob) bool {
	section, ok := ref.s.Document.Teams[q.Spec.Team]
	quota := section.Quota.Resources
	return ok && (quota == model.Resources{} || ref.teamUse(q.Spec.Team).Add(q.Spec.Declared).Fits(quota))
}

// spread reports whether the rack would run at most half of the tasks of a team's latency-critical
// class.
func (ref *referencePlanner) spread(q *QueuedJob, w *WorkerView) bool {
	if q.Spec.Priority != model.PriorityService {
		return true
	}
	racks := map[model.Rack]bool{}
	rackOf := map[model.WorkerID]model.Rack{}
	for i := range ref.s.Workers {
		v := &ref.s.Workers[i]
		rackOf[v.Worker.ID] = v.Worker.Rack
		if ref.open(v) {
			racks[v.Worker.Rack] = true
		}
	}
	total, here := 1, 1
	for _, p := range ref.placed {
		other := ref.job(p.Job)
		if other.Spec.Priority == model.PriorityService && other.Spec.Team == q.Spec.Team && other.Spec.Class == q.Spec.Class {
			total++
			if rackOf[p.Worker] == w.Worker.Rack {
				here++
			}
		}
	}
	return len(racks) < 2 || here <= max(1, (total+1)/2)
}

// order sorts the waiting jobs by highest priority, then lowest share of the team, then order of
// submission, and returns the first.
func (ref *referencePlanner) order(left []*QueuedJob) *QueuedJob {
	var capacity model.Resources
	for i := range ref.s.Workers {
		if ref.open(&ref.s.Workers[i]) {
			capacity = capacity.Add(ref.s.Workers[i].Worker.Capacity)
		}
	}
	share := func(q *QueuedJob) float64 {
		use := ref.teamUse(q.Spec.Team)
		weight := ref.s.Document.Teams[q.Spec.Team].Quota.Share
		if weight == 0 {
			weight = 1
		}
		largest := 0.0
		for _, d := range [][2]int64{{use.MilliCPU, capacity.MilliCPU}, {use.MemoryMB, capacity.MemoryMB}, {use.Accelerators, capacity.Accelerators}} {
			if d[1] > 0 {
				largest = max(largest, float64(d[0])/float64(d[1]))
			}
		}
		return largest / weight
	}
	first := func(team model.Team, p model.Priority) int {
		for i := range ref.s.Queue {
			if ref.s.Queue[i].Spec.Team == team && ref.s.Queue[i].Spec.Priority == p {
				return i
			}
		}
		return -1
	}
	sort.SliceStable(left, func(i, j int) bool {
		a, b := left[i], left[j]
		if a.Spec.Priority != b.Spec.Priority {
			return a.Spec.Priority > b.Spec.Priority
		}
		if share(a) != share(b) {
			return share(a) < share(b)
		}
		if a.Spec.Team != b.Spec.Team {
			return first(a.Spec.Team, a.Spec.Priority) < first(b.Spec.Team, b.Spec.Priority)
		}
		return a.Spec.ID < b.Spec.ID
	})
	return left[0]
}

// TestPlanAgreesWithReference checks a plan job by job. The reference determines which job is next
// and on which workers it fits, and the plan has to agree. Urgent jobs become service jobs, so
// that no headroom is kept for them.
func TestPlanAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		for i := range s.Queue {
			if s.Queue[i].Spec.Priority == model.PriorityUrgent {
				s.Queue[i].Spec.Priority = model.PriorityService
			}
		}
		plan := New(rapid.Uint64().Draw(t, "seed"), config.Weights{}).Plan(s)
		checkPlan(t, s, plan.Placements)
	})
}

func checkPlan(t *rapid.T, s *Snapshot, placements []Placement) {
	ref := &referencePlanner{s: s}
	var left []*QueuedJob
	for i := range s.Queue {
		left = append(left, &s.Queue[i])
	}
	for len(left) > 0 {
		q := ref.order(left)
		left = left[1:]
		fits := map[model.WorkerID]bool{}
		for i := range s.Workers {
			if ref.fits(q, &s.Workers[i]) {
				fits[s.Workers[i].Worker.ID] = true
			}
		}
		next := len(ref.placed) < len(placements) && placements[len(ref.placed)].Job == q.Spec.ID
		if next != (len(fits) > 0) {
			t.Fatalf("job %s: placed %v, fits on %v", q.Spec.ID, next, fits)
		}
		if !next {
			continue
		}
		p := placements[len(ref.placed)]
		if !fits[p.Worker] {
			t.Fatalf("job %s was placed on %s, fits on %v", p.Job, p.Worker, fits)
		}
		if p.Reservation != q.Spec.Declared {
			t.Fatalf("job %s: reservation %v without measurements, declared %v", p.Job, p.Reservation, q.Spec.Declared)
		}
		ref.placed = append(ref.placed, p)
	}
	if len(ref.placed) != len(placements) {
		t.Fatalf("%d placements that the reference does not make", len(placements)-len(ref.placed))
	}
}

// TestUrgentPlansStayWithinCapacity includes urgent jobs, whose headroom the reference does not
// model. Every placement has to fit and no job may be placed twice.
func TestUrgentPlansStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		p := New(1, config.Weights{})
		p.Plan(s)
		ref := &referencePlanner{s: s}
		seen := map[model.JobID]bool{}
		for _, placed := range p.Plan(s).Placements {
			for i := range s.Workers {
				if s.Workers[i].Worker.ID == placed.Worker && !ref.fits(ref.job(placed.Job), &s.Workers[i]) {
					t.Fatalf("job %s does not fit on %s", placed.Job, placed.Worker)
				}
			}
			if seen[placed.Job] {
				t.Fatalf("job %s is placed twice", placed.Job)
			}
			seen[placed.Job] = true
			ref.placed = append(ref.placed, placed)
		}
	})
}

// TestUnfeasibleAgreesWithReference: a job is unfeasible if and only if no single worker of an
// empty cluster with every data centre in service could run it.
func TestUnfeasibleAgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		var workers []model.Worker
		empty := *s
		empty.Document = &config.Document{Teams: s.Document.Teams, Operators: config.Operators{
			DataCentres: []config.DataCentre{{Name: "dc0"}, {Name: "dc1"}, {Name: "dc2"}}}}
		empty.Workers = nil
		for _, w := range s.Workers {
			workers = append(workers, w.Worker)
			w.Reserved, w.Reachable, w.Worker.Leaving = model.Resources{}, true, false
			empty.Workers = append(empty.Workers, w)
		}
		ref := &referencePlanner{s: &empty}
		for i := range s.Queue {
			q := &s.Queue[i]
			possible := false
			for j := range empty.Workers {
				possible = possible || ref.fits(q, &empty.Workers[j])
			}
			reason := New(1, config.Weights{}).Unfeasible(q.Spec, empty.Document, workers)
			if possible != (reason == "") {
				t.Fatalf("job %s: possible %v, reason %q", q.Spec.ID, possible, reason)
			}
		}
	})
}
