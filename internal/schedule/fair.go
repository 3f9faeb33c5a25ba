package schedule

import (
	"container/heap"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/quota"
	"github.com/geraniumwick/geraniumwick/internal/resources"
)

// teamQueue holds the waiting jobs of one team with one priority in order of submission.
type teamQueue struct {
	team  model.Team
	jobs  []*QueuedJob
	share float64
	// order is the position of the team's first job in the queue of the snapshot. It breaks ties.
	order int
}

// teamHeap is a heap.Interface with the lowest weighted dominant share first.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].order < h[j].order
}

func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamQueue)) }

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// priorities lists the priorities in the order in which their jobs are placed.
var priorities = [...]model.Priority{model.PriorityService, model.PriorityUrgent, model.PriorityBatch}

// teamsOf groups the waiting jobs of one priority by team.
func (r *round) teamsOf(p model.Priority) teamHeap {
	byTeam := map[model.Team]*teamQueue{}
	var teams teamHeap
	for i := range r.snapshot.Queue {
		q := &r.snapshot.Queue[i]
		if q.Spec.Priority != p {
			continue
		}
		t := byTeam[q.Spec.Team]
		if t == nil {
			t = &teamQueue{team: q.Spec.Team, share: r.dominantShare(q.Spec.Team), order: i}
			byTeam[q.Spec.Team] = t
			teams = append(teams, t)
		}
		t.jobs = append(t.jobs, q)
	}
	heap.Init(&teams)
	return teams
}

// dominantShare returns the weighted dominant share of the schedulable capacity that the team uses.
func (r *round) dominantShare(team model.Team) float64 {
	weight := r.snapshot.Document.Teams[team].Quota.Share
	return quota.DominantShare(quotaAmount(r.teamUse[team]), quotaAmount(r.capacity), weight)
}

// quotaAmount returns resources as an amount of package quota.
func quotaAmount(r model.Resources) resources.Amount {
	return resources.Amount{CPU: r.MilliCPU, MemoryMB: r.MemoryMB, GPU: r.Accelerators}
}

// ratio returns part / whole, and 0 if the whole is 0.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// placeQueue places waiting jobs by priority, then by the lowest share of the team, then by order
// of submission.
func (r *round) placeQueue(plan *Plan) {
	if r.snapshot.Document == nil {
		return
	}
	for _, p := range priorities {
		r.placePriority(p, plan)
	}
}

func (r *round) placePriority(p model.Priority, plan *Plan) {
	teams := r.teamsOf(p)
	for len(teams) > 0 {
		t := teams[0]
		q := t.jobs[0]
		t.jobs = t.jobs[1:]
		r.placeJob(q, plan)
		if len(t.jobs) == 0 {
			heap.Pop(&teams)
			continue
		}
		t.share = r.dominantShare(t.team)
		heap.Fix(&teams, 0)
	}
}
