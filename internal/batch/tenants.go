package batch

import (
	"fmt"
	"maps"
	"slices"

	"github.com/geraniumwick/geraniumwick/internal/quota"
)

// demand returns what so many tasks of the step count under their tenant's cap: all that they ask for. Best-effort tasks
// reserve no CPU on their worker, but use what is left there, up to what they ask for.
func (st *step) demand(tasks int) Resources { return st.spec.Resources.Times(tasks) }

// placedTogether returns how many tasks of the step start together.
func (st *step) placedTogether() int {
	if st.spec.Gang {
		return len(st.tasks)
	}
	return 1
}

// openAccount joins a job to the account of its tenant.
func (s *State) openAccount(j *Job) {
	if j.Tenant != "" {
		j.account = s.tenants.Account(j.Tenant)
		s.unrated = append(s.unrated, j)
	}
}

// addUse counts an attempt, which may run from now on, for its tenant.
func (a *attempt) addUse() {
	if account := a.step.job.account; account != nil {
		account.Add(a.step.demand(1))
	}
}

// removeUse ends what addUse began: the attempt certainly does not run any more.
func (a *attempt) removeUse() {
	if account := a.step.job.account; account != nil {
		account.Remove(a.step.demand(1))
	}
}

// quotaWait returns why a number of further tasks of a step must not start under the cap of their tenant; notHeld if they may.
func (s *State) quotaWait(st *step, tasks int) waitReason {
	account := st.job.account
	if account == nil {
		return notHeld
	}
	limit, need := s.config.Tenants[st.job.Tenant].Cap, st.demand(tasks)
	switch {
	case quota.Admits(need, account.Bound(s.doubtfulCapacity), limit):
		return notHeld
	case !quota.Admits(need, Resources{}, limit):
		return heldByCap
	default:
		return heldByQuota
	}
}

// recordAhead requests the start record of the first step of each tenant that its quota holds up, which done notes, so that what
// becomes free does not go to a later step whose record is durable already.
func (s *State) recordAhead(st *step, reason waitReason, done map[*quota.Account]bool) {
	if reason != heldByQuota || done[st.job.account] {
		return
	}
	done[st.job.account] = true
	if !st.startRecordRequested {
		s.requestStartRecord(st)
	}
}

// keepsQuota reports whether the use of a job's tenant, which an attempt of the step is part of, is within its cap.
func (s *State) keepsQuota(st *step) bool {
	account := st.job.account
	if account == nil {
		return true
	}
	own := st.demand(1)
	return quota.Admits(own, account.Bound(s.doubtfulCapacity).Minus(own), s.config.Tenants[st.job.Tenant].Cap)
}

// describeQuota describes for the log what so many tasks of a step need, and what their tenant uses of its cap.
func (s *State) describeQuota(st *step, tasks int) string {
	account, limit := st.job.account, s.config.Tenants[st.job.Tenant].Cap
	bound := account.Bound(s.doubtfulCapacity)
	return fmt.Sprintf("tenant %s: %d tasks need %s, %s are in use and %s in doubt; the cap is %s (0: none)", st.job.Tenant, tasks,
		Resources(st.demand(tasks)), Resources(account.Used), Resources(bound.Minus(account.Used)), limit)
}

// doubtTask notes that a former owner may have started a task, so that its tenant may be using what it needs.
func (st *step) doubtTask(t *task) {
	if account := st.job.account; account != nil && !t.doubted {
		t.doubted = true
		account.AddDoubt(st.demand(1))
	}
}

// settleTask ends what doubtTask began: the task is done, or its attempt is known.
func (st *step) settleTask(t *task) {
	if t.doubted {
		t.doubted = false
		st.job.account.RemoveDoubt(st.demand(1))
	}
}

// doubtEndedJob notes that tasks of a job that had ended under a former owner without being done may still be running. Its
// record does not say which.
func (j *Job) doubtEndedJob() {
	if j.account == nil || j.outcome == Completed {
		return
	}
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		j.account.AddDoubt(step.Resources.Times(step.Count * j.Spec.Occurrences()))
	}
}

// noteDoubtfulCapacity notes how much the workers can hold that may run tasks of a former owner. Capacities may have changed
// since, and those of workers that the registry does not have are not known, so each counts as the largest one.
func (s *State) noteDoubtfulCapacity() {
	s.doubtfulCapacity = Resources{}
	if len(s.unresolvedWorkers) == 0 {
		return
	}
	var largest Resources
	for _, w := range s.workers {
		largest = largest.Max(w.info.Capacity)
	}
	largest.CPU += int64((1 + bestEffortOvercommit) * float64(largest.CPU)) // what best-effort tasks may ask for beside the others
	s.doubtfulCapacity = largest.Times(len(s.unresolvedWorkers))
}

// TenantUse is what a tenant uses of all workers, and its cap.
type TenantUse struct {
	Tenant    string
	Used, Cap Resources
}

// TenantUses returns the tenants of the configuration by name, with what is in doubt counted as used.
func (s *State) TenantUses() []TenantUse {
	var out []TenantUse
	for _, name := range slices.Sorted(maps.Keys(s.config.Tenants)) {
		used := s.tenants.Account(name).Bound(s.doubtfulCapacity)
		out = append(out, TenantUse{Tenant: name, Used: Resources(used), Cap: s.config.Tenants[name].Cap})
	}
	return out
}
