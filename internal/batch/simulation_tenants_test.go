package batch

import (
	"time"

	"pgregory.net/rapid"
)

// simulatedTenants are the tenants of the jobs; the first one stands for a job without a tenant.
var simulatedTenants = []string{"", "ta", "tb"}

// ampleCap is a cap under which each step of a job fits as a whole.
var ampleCap = Resources{CPU: maxGang * 2000, MemoryMB: 4000}

// formerCap is a cap that a tenant had until it was changed.
type formerCap struct {
	limit Resources
	until time.Time
}

// changeCap draws another cap for a tenant.
func (w *simulation) changeCap(t *rapid.T) {
	w.noteFault()
	tenant := rapid.SampledFrom(simulatedTenants[1:]).Draw(t, "tenant")
	w.setCap(tenant, Resources{CPU: int64(rapid.IntRange(0, 6).Draw(t, "cap")) * 1000, MemoryMB: int64(rapid.IntRange(0, 8).Draw(t, "memory cap")) * 500})
	w.configure()
}

func (w *simulation) setCap(tenant string, limit Resources) {
	// A start that was sent in the same instant was sent before.
	w.formerCaps[tenant] = append(w.formerCaps[tenant], formerCap{w.caps[tenant], w.now.Add(time.Nanosecond)})
	w.caps[tenant] = limit
}

// endCaps gives all tenants caps under which each of their jobs can run.
func (w *simulation) endCaps() {
	for _, tenant := range simulatedTenants[1:] {
		w.setCap(tenant, ampleCap)
	}
}

// tenantConfig returns the tenants of the configuration.
func (w *simulation) tenantConfig() map[string]Tenant {
	out := map[string]Tenant{}
	for tenant, limit := range w.caps {
		out[tenant] = Tenant{Weight: 1, Cap: limit}
	}
	return out
}

// tenantUse returns what a tenant has running on all workers. All that the tasks ask for counts.
func (w *simulation) tenantUse(tenant string) Resources {
	var used Resources
	for _, n := range w.workers {
		for key := range n.running {
			if w.jobs[key.task.Job].Tenant == tenant {
				used = used.Plus(w.jobs[key.task.Job].Spec.Steps[key.task.Step].Resources)
			}
		}
	}
	return used
}

// checkQuota checks that a start keeps the tenant of its job below the highest cap that was in force since it was sent.
func (w *simulation) checkQuota(r sentRequest) {
	tenant := w.jobs[r.action.Task.Job].Tenant
	if tenant == "" {
		return
	}
	limit := unlimited(w.caps[tenant])
	for _, f := range w.formerCaps[tenant] {
		if r.sentAt.Before(f.until) {
			limit = maxResources(limit, unlimited(f.limit))
		}
	}
	if used := w.tenantUse(tenant); !used.Fits(limit) {
		w.t.Fatalf("%v run %d brings tenant %s to %s, above its cap of %s", r.action.Task, r.action.Run, tenant, used, limit)
	}
}

// unlimited returns a cap with the largest amount in place of 0, which stands for no limit.
func unlimited(limit Resources) Resources {
	for _, amount := range []*int64{&limit.CPU, &limit.MemoryMB, &limit.GPU} {
		if *amount == 0 {
			*amount = MaxAmount
		}
	}
	return limit
}

// possibleTenantUse returns what a tenant has running, and what the owner cannot know to have ended or not to have been
// started, as it was on a worker that is lost.
func (w *simulation) possibleTenantUse(tenant string) Resources {
	used := w.tenantUse(tenant)
	for id, until := range w.activeUntil {
		if w.jobs[id.Job].Tenant == tenant && until.After(w.now) {
			used = used.Plus(w.jobs[id.Job].Spec.Steps[id.Step].Resources)
		}
	}
	return used
}

// hasQuota reports whether less than half of the cap of a job's tenant may be in use, and its step fits there lastingRoom times.
func (w *simulation) hasQuota(job string, step *Step) bool {
	tenant := w.jobs[job].Tenant
	if tenant == "" {
		return true
	}
	used, limit := w.possibleTenantUse(tenant), unlimited(w.caps[tenant])
	together := lastingRoom
	if step.Gang {
		together *= step.Count
	}
	left := limit.Minus(used)
	for range together {
		left = left.Minus(step.Resources)
	}
	return used.Plus(used).Fits(limit) && Resources{}.Fits(left)
}
