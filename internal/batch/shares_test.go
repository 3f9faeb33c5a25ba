package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSharesState returns a state with workers of 4 cores each that two tenants without caps share by weights.
func newSharesState(hot, small float64, workers ...WorkerID) (*State, time.Time) {
	s, now := newTestState(workers...)
	c := s.config
	c.Version++
	c.Tenants = map[string]Tenant{"hot": {Weight: hot}, "small": {Weight: small}}
	s.SetConfig(c)
	return s, now
}

// running returns how many attempts a tenant has.
func running(s *State, tenant string) int {
	n := 0
	for _, w := range s.workers {
		for _, a := range w.attempts {
			if a.step.job.Tenant == tenant {
				n++
			}
		}
	}
	return n
}

// A tenant that sends many times as much as the other, whose jobs are older and more urgent: what it sends together in one
// decision gets no more than its share.
func TestAHotTenantLeavesTheOtherItsShare(t *testing.T) {
	for _, c := range []struct {
		name       string
		hot, small float64 // weights
		step       Step
		starts     int // of the small tenant
	}{
		{"equal weights", 1, 1, taskStep(1, 1000), 4},
		{"a weight of three to one", 3, 1, taskStep(1, 1000), 2},
		{"the memory is dominant", 1, 1, Step{Count: 1, Resources: Resources{CPU: 100, MemoryMB: 1000}}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := newSharesState(c.hot, c.small, "a", "b")
			for i := range 40 {
				addJobOf(s, "hot", fmt.Sprintf("h%d", i), "q", now.Add(-time.Second), c.step)
			}
			for i := range 10 {
				addJobOf(s, "small", fmt.Sprintf("s%d", i), "q", now, c.step)
			}
			planUntilIdle(s, now)
			is.Equal(running(s, "hot")+running(s, "small"), 8) // no room is left
			is.Equal(running(s, "small"), c.starts)
		})
	}
}

// A hot tenant fills all workers before the other sends anything: it is not stopped, but once the start record of the other's
// step is durable, each end goes to the other until that has its share.
func TestEachEndGoesToTheTenantBelowItsShare(t *testing.T) {
	is := is.New(t)
	s, now := newSharesState(1, 1, "a", "b")
	for i := range 40 {
		addJobOf(s, "hot", fmt.Sprintf("h%d", i), "q", now, taskStep(1, 1000))
	}
	starts := startActions(planUntilIdle(s, now))
	is.Equal(running(s, "hot"), 8) // idle room is used beyond the share
	addJobOf(s, "small", "s", "q", now.Add(time.Second), taskStep(10, 1000))
	for i := range 5 {
		now = now.Add(time.Second)
		end(s, starts[i], EndDone, now)
		planUntilIdle(s, now)
		is.Equal(running(s, "small"), i)
	}
}

// A hot tenant is held up by its own cap: what it sends within its rate goes before what it has sent beyond that, also under a
// new owner, so that the excess does not delay the rest.
func TestJobsWithinTheRateGoBeforeTheExcess(t *testing.T) {
	for _, takesOver := range []bool{false, true} {
		t.Run(fmt.Sprintf("take-over %t", takesOver), func(t *testing.T) {
			is := is.New(t)
			s, now := newTenantState(Resources{CPU: 1000}, "a")
			for i := range 6 {
				addTenantJob(s, fmt.Sprintf("j%d", i), now, taskStep(1, 1000))
			}
			start := startActions(planUntilIdle(s, now))[0]
			is.Equal(start.Task.Job, "j0") // the others are beyond a rate of one a second
			now = now.Add(2 * time.Second)
			addTenantJob(s, "next", now, taskStep(1, 1000))
			planUntilIdle(s, now) // the record of its step is stored
			if takesOver {
				s = takeOver(s, now, "a")
				reportWithLease(s, "a", Report{Incarnation: 1, Clock: 2000, Running: []RunningAttempt{{Task: start.Task, Run: start.Run}}}, now)
				s.Plan(now)
			}
			end(s, start, EndDone, now)
			is.Equal(startActions(planUntilIdle(s, now))[0].Task.Job, "next")
		})
	}
}

// What a tenant sends beyond its rate uses room that nobody else wants, at once.
func TestTheExcessUsesIdleRoom(t *testing.T) {
	is := is.New(t)
	s, now := newSharesState(1, 1, "a")
	for i := range 4 {
		addJobOf(s, "hot", fmt.Sprintf("h%d", i), "q", now, taskStep(1, 1000))
	}
	is.Equal(len(startActions(planUntilIdle(s, now))), 4)
}

// Room that no other tenant wants is used by whoever has work, also beyond its share and beside tenants at their shares.
func TestIdleRoomIsUsedBeyondTheShare(t *testing.T) {
	is := is.New(t)
	s, now := newSharesState(1, 9, "a", "b")
	addJobOf(s, "small", "s", "q", now, taskStep(1, 1000))
	for i := range 7 {
		addJobOf(s, "hot", fmt.Sprintf("h%d", i), "q", now, taskStep(1, 1000))
	}
	planUntilIdle(s, now)
	is.Equal(running(s, "hot"), 7)
	is.Equal(running(s, "small"), 1)
}

// Steps that go before those of a tenant with more than its share: a more urgent queue of its own, and restarts.
func TestTheOrderOfSharesIsBeneathThePriority(t *testing.T) {
	is := is.New(t)
	base := openStepEntry{step: &step{job: &Job{ID: "a"}, occ: &occurrence{}}, priority: 1, level: 1}
	lower, urgent, restart, early := base, base, base, base
	lower.level, lower.missed = 0, true
	urgent.priority, urgent.level = 0, 3
	restart.restart, restart.level = true, 3
	early.latestStart = time.Unix(1, 0)
	is.True(lower.compare(base) < 0)
	is.True(urgent.compare(lower) < 0)
	is.True(restart.compare(lower) < 0)
	is.True(lower.compare(early) < 0)
	is.True(base.compare(early) < 0)
	early.latestStart = time.Time{}
	is.Equal(base.compare(early), 0)
}

// A fresh step of a tenant below its share doesn't wait for steps of a hot tenant that the last plan could not start.
func TestAFreshStepGoesBeforeWhatAHotTenantHasLeftOut(t *testing.T) {
	is := is.New(t)
	s, now := newSharesState(1, 1, "a", "b")
	for i := range 10 {
		addJobOf(s, "hot", fmt.Sprintf("h%d", i), "q", now, taskStep(1, 1000))
	}
	starts := startActions(planUntilIdle(s, now))
	addJobOf(s, "small", "s", "q", now.Add(time.Second), taskStep(1, 1000))
	s.PlanFreshSteps(now)
	s.MarkStored(s.TakeDirty(10))
	is.Equal(len(startActions(s.PlanFreshSteps(now))), 0) // no room
	end(s, starts[0], EndDone, now)
	fresh := held(s, now, "s", 0).task.step
	fresh.startRecordRequested, fresh.startRecordDurable = true, true
	s.markFresh(fresh)
	is.Equal(startActions(s.PlanFreshSteps(now))[0].Task.Job, "s")
}

// BenchmarkPlanOfAHotTenant measures the decision that meets a thousand jobs of one tenant, which idle workers can run, and a
// hundred of others, and the same without tenants.
func BenchmarkPlanOfAHotTenant(b *testing.B) {
	for _, workers := range []int{490, 1200} {
		for _, tenants := range []int{0, benchTenants} {
			b.Run(fmt.Sprintf("workers=%d/tenants=%d", workers, tenants), func(b *testing.B) {
				for range b.N {
					b.StopTimer()
					s, now := hotTenantState(workers, tenants)
					b.StartTimer()
					s.Plan(now)
				}
			})
		}
	}
}

// hotTenantState returns a state in which a thousand jobs of one tenant and a hundred of all may start.
func hotTenantState(workers, tenants int) (*State, time.Time) {
	s, now := crowdOfTenants(workers, tenants, 100)
	for i := range 1000 {
		addJobOf(s, "t0", fmt.Sprintf("h%d", i), "calc", now, Step{Count: 40, Resources: Resources{CPU: 3000, MemoryMB: 6000}, Estimate: 2 * time.Second})
	}
	s.Plan(now)
	s.MarkStored(s.TakeDirty(1 << 20))
	return s, now
}
