package batch

import (
	"cmp"
	"slices"
	"sort"

	"github.com/geraniumwick/geraniumwick/internal/quota"
)

// shares holds what decides on the turns of tenants in one Plan.
type shares struct {
	// capacity is that of the workers that may get tasks.
	capacity Resources
	// fair is the weighted dominant share that each tenant has if those who want resources share them by their weights.
	fair float64
}

// noteCapacity notes the capacity that the tenants share.
func (s *State) noteCapacity() {
	s.shares.capacity = Resources{}
	if len(s.config.Tenants) == 0 {
		return
	}
	for _, w := range s.workers {
		if w.usableButForQuarantine(s) {
			s.shares.capacity = s.shares.capacity.Plus(w.info.Capacity)
		}
	}
}

// noteFairShare notes the fair share among the tenants that use workers or have waiting tasks.
func (s *State) noteFairShare() {
	s.shares.fair = 0
	if len(s.config.Tenants) == 0 {
		return
	}
	waiting := map[string]bool{}
	for st := range s.open.all() {
		waiting[st.job.Tenant] = true
	}
	var weights []float64
	for name, tenant := range s.config.Tenants {
		if waiting[name] || s.tenants.Account(name).Used != (Resources{}) {
			weights = append(weights, tenant.Weight)
		}
	}
	s.shares.fair = quota.FairShare(weights)
}

// rateJobs decides which of the jobs that were added since are beyond the rates of their tenants, in the order in which they were
// accepted. A new owner has all that are kept, and so decides as the former one did, but for jobs that are no longer kept.
func (s *State) rateJobs() {
	slices.SortFunc(s.unrated, func(a, b *Job) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID)) })
	for _, j := range s.unrated {
		tenant, known := s.config.Tenants[j.Tenant]
		j.excess = known && !j.account.Rate.Admit(tenant.Weight, j.Accepted)
	}
	clear(s.unrated)
	s.unrated = s.unrated[:0]
}

// jobLevel returns the level of the share that a job's tenant has now; 0 for a job without a tenant.
func (s *State) jobLevel(j *Job) int { return s.levelWith(j, Resources{}) }

// shareLevel returns the level of the share that a step's tenant would have with its next task, or with its gang. Of two steps
// with the same priority, that of the lower level goes first.
func (s *State) shareLevel(st *step) int { return s.levelWith(st.job, st.demand(st.placedTogether())) }

// levelWith returns the level of the share that a job's tenant would have if it used so much more. Jobs beyond the rates of their
// tenants have levels of their own, above all others.
func (s *State) levelWith(j *Job, more Resources) int {
	if j.account == nil || s.shares.fair == 0 {
		return 0
	}
	used := j.account.Used.Plus(more)
	level := quota.Level(quota.DominantShare(used, s.shares.capacity, s.config.Tenants[j.Tenant].Weight), s.shares.fair)
	if j.excess {
		level += quota.MaxLevel + 1
	}
	return level
}

// tasksWithin returns how many tasks of a step, one at least, may start until the share of its tenant leaves a level.
func (s *State) tasksWithin(level int, st *step) int {
	if st.job.account == nil || s.shares.fair == 0 {
		return len(st.tasks)
	}
	return 1 + sort.Search(len(st.tasks)-1, func(i int) bool { return s.levelWith(st.job, st.demand(i+2)) > level })
}

// yieldStep puts a step back whose turn has come if the share of its tenant has risen to a higher level since, by starts of the same
// Plan. It reports whether it did.
func (s *State) yieldStep(coming *turns, entry openStepEntry) bool {
	before := entry.level
	if entry.level = s.shareLevel(entry.step); entry.level <= before {
		return false
	}
	coming.yield(entry)
	return true
}
