package batch

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testTenant is the tenant of the jobs of addTenantJob.
const testTenant = "large"

// newTenantState returns a state with workers of 4 cores each, and a tenant with a cap.
func newTenantState(limit Resources, workers ...WorkerID) (*State, time.Time) {
	s, now := newTestState(workers...)
	setCap(s, limit)
	return s, now
}

// setCap puts a configuration in force in which the tenant of addTenantJob has another cap.
func setCap(s *State, limit Resources) { setCapOf(s, testTenant, limit) }

// setCapOf puts a configuration in force in which a tenant has another cap.
func setCapOf(s *State, tenant string, limit Resources) {
	c := s.config
	c.Version++
	c.Tenants = map[string]Tenant{"small": {Weight: 1}}
	maps.Copy(c.Tenants, s.config.Tenants)
	c.Tenants[tenant] = Tenant{Weight: 1, Cap: limit}
	s.SetConfig(c)
}

// addTenantJob adds a newly accepted job of the tenant.
func addTenantJob(s *State, id string, now time.Time, steps ...Step) *Job {
	return addJobOf(s, testTenant, id, "q", now, steps...)
}

// addJobOf adds a newly accepted job of a tenant.
func addJobOf(s *State, tenant, id, queue string, now time.Time, steps ...Step) *Job {
	j := &Job{ID: id, Queue: queue, Tenant: tenant, QueueConfig: Queue{Service: "svc", MaxAttempts: 3}, Accepted: now, Spec: Spec{Payload: "p", Steps: steps}}
	s.AddJob(j, nil, false, now)
	return j
}

// end reports that a started task has ended, and nothing else of its worker.
func end(s *State, start Action, reason EndReason, now time.Time) {
	w := s.workers[start.Worker]
	r := Report{Incarnation: 1, Clock: 5000, RequestedAt: now, Ended: []EndedAttempt{{Seq: w.countedSeq + 1, Task: start.Task, Run: start.Run, Reason: reason}}}
	for key := range w.attempts {
		if key.task != start.Task {
			r.Running = append(r.Running, RunningAttempt{Task: key.task, Run: key.run})
		}
	}
	reportWithLease(s, start.Worker, r, now)
}

// A tenant that sends more than its cap: what is above it waits, whichever resource binds, and each end admits one more
// task.
func TestATenantStaysBelowItsCap(t *testing.T) {
	bestEffort := bestEffortStep("fill", 8)
	for _, c := range []struct {
		name   string
		limit  Resources
		step   Step
		starts int
	}{
		{"the CPU binds", Resources{CPU: 3500}, taskStep(8, 1000), 3},
		{"the memory binds", Resources{MemoryMB: 500}, taskStep(8, 1000), 5},
		{"best-effort tasks count with the CPU that they ask for", Resources{CPU: 3500}, bestEffort, 3},
		{"nothing binds", Resources{GPU: 1}, taskStep(8, 1000), 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTenantState(c.limit, "a", "b")
			addTenantJob(s, "j", now, c.step)
			starts := startActions(planUntilIdle(s, now))
			is.Equal(len(starts), c.starts)
			if c.starts == 8 {
				return
			}
			is.Equal(held(s, now, "j", 7).task.heldBy(), heldByQuota)
			now = now.Add(time.Second)
			end(s, starts[0], EndDone, now)
			is.Equal(len(startActions(planUntilIdle(s, now))), 1)
		})
	}
}

// What a tenant has in a stop counts until its end is known.
func TestWhatIsBeingStoppedCounts(t *testing.T) {
	is := is.New(t)
	s, now := newTenantState(Resources{CPU: 1000}, "a")
	addTenantJob(s, "first", now, taskStep(1, 1000))
	start := startActions(planUntilIdle(s, now))[0]
	s.Cancel("first", now)
	addTenantJob(s, "second", now, taskStep(1, 1000))
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	end(s, start, EndStopped, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}

// A start without an answer counts until a report shows that it was not carried out.
func TestAStartWithoutAnAnswerCounts(t *testing.T) {
	is := is.New(t)
	s, now := newTenantState(Resources{CPU: 1000}, "a", "b")
	addTenantJob(s, "j", now, taskStep(2, 1000))
	planAll(s, now, func(a Action) {
		s.StartSent(a.Worker, a.Task, a.Run, 1000)
		s.StartAnswered(a.Worker, a.Task, a.Run, AnswerNone, now)
	})
	is.Equal(s.tenants.Account(testTenant).Used, Resources{CPU: 1000, MemoryMB: 100})
	now = now.Add(time.Second)
	for _, id := range []WorkerID{"a", "b"} {
		reportWithLease(s, id, Report{Incarnation: 1, Clock: 2000}, now) // it is too late for the start
	}
	is.Equal(s.tenants.Account(testTenant).Used, Resources{})
}

// A tenant at its cap takes no room from the others and holds up none that needs as much.
func TestATenantAtItsCapHoldsUpNoOther(t *testing.T) {
	is := is.New(t)
	s, now := newTenantState(Resources{CPU: 1000}, "a")
	addTenantJob(s, "j1", now, taskStep(4, 1000))
	addTenantJob(s, "j2", now, taskStep(4, 1000))
	addJobOf(s, "small", "k1", "q", now.Add(time.Millisecond), taskStep(1, 1000))
	addJobOf(s, "", "k2", "q", now.Add(time.Millisecond), taskStep(1, 1000))
	is.Equal(len(startActions(planUntilIdle(s, now))), 3)
	is.Equal(len(s.leftOut), 0)
	addJobOf(s, "small", "k3", "q", now.Add(time.Millisecond), taskStep(1, 1000))
	s.PlanFreshSteps(now)
	s.MarkStored(s.TakeDirty(10))
	is.Equal(len(startActions(s.PlanFreshSteps(now))), 1)
}

// A cap that is lowered below what runs stops nothing, and admits nothing until enough has ended. One that is raised
// admits more once it is in force.
func TestALoweredCapHoldsUpNewStarts(t *testing.T) {
	is := is.New(t)
	s, now := newTenantState(Resources{CPU: 3000}, "a")
	addTenantJob(s, "j", now, taskStep(5, 1000))
	starts := startActions(planUntilIdle(s, now))
	is.Equal(len(starts), 3)
	setCap(s, Resources{CPU: 1500})
	now = now.Add(time.Second)
	end(s, starts[0], EndDone, now)
	is.Equal(len(planUntilIdle(s, now)), 0)
	end(s, starts[1], EndDone, now)
	is.Equal(len(planUntilIdle(s, now)), 0)
	end(s, starts[2], EndDone, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
	setCap(s, Resources{CPU: 2500})
	is.Equal(len(startActions(planUntilIdle(s, now))), 1)
}

// A start that waits for its record is given up if the cap is lowered meanwhile.
func TestALoweredCapHoldsUpARecordedStart(t *testing.T) {
	is := is.New(t)
	s, now := newTenantState(Resources{CPU: 1000}, "a")
	addTenantJob(s, "j", now, taskStep(1, 1000))
	s.Plan(now)
	s.MarkStored(s.TakeDirty(1))
	addSuspicions(s, held(s, now, "j", 0).task, 1)
	s.Plan(now) // reserves the start
	is.Equal(s.tenants.Account(testTenant).Used.CPU, int64(1000))
	setCap(s, Resources{CPU: 500})
	s.MarkStored(s.TakeDirty(1))
	is.Equal(len(startActions(s.Plan(now))), 0)
	is.Equal(s.tenants.Account(testTenant).Used.CPU, int64(0))
}

// A gang is admitted as a whole or not at all.
func TestAGangFitsUnderTheCapAsAWhole(t *testing.T) {
	is := is.New(t)
	s, now := newTenantState(Resources{CPU: 3000}, "a", "b")
	addTenantJob(s, "j", now, taskStep(1, 1000))
	first := startActions(planUntilIdle(s, now))
	gang := taskStep(3, 1000)
	gang.Gang = true
	addTenantJob(s, "gang", now, gang)
	wide := taskStep(4, 1000)
	wide.Gang = true
	addTenantJob(s, "wide", now, wide)
	is.Equal(len(startActions(planUntilIdle(s, now))), 0)
	is.Equal(held(s, now, "gang", 0).task.heldBy(), heldByQuota)
	is.Equal(held(s, now, "wide", 0).task.heldBy(), heldByCap)
	end(s, first[0], EndDone, now)
	is.Equal(len(startActions(planUntilIdle(s, now))), 3)
}

// All tenants at their caps after a take-over: what a former owner may have started counts until each worker has reported
// or its leases have ended, but for no more than the workers in doubt can hold.
func TestTasksInDoubtCountAfterATakeOver(t *testing.T) {
	is := is.New(t)
	s, now := newTenantState(Resources{CPU: 3000}, "a", "b", "c")
	addTenantJob(s, "running", now, taskStep(2, 1000))
	addTenantJob(s, "cancelled", now, taskStep(1, 1000))
	starts := startActions(planUntilIdle(s, now))
	is.Equal(len(starts), 3)
	s.Cancel("cancelled", now)
	next := takeOver(s, now, "a", "b", "c")
	addTenantJob(next, "new", now, taskStep(3, 1000))
	for _, id := range []WorkerID{"a", "b"} {
		reportWithLease(next, id, Report{Incarnation: 1, Clock: 50, Running: runningOn(starts, id)}, now)
	}
	is.Equal(len(startActions(planUntilIdle(next, now))), 0)
	is.Equal(held(next, now, "new", 0).task.heldBy(), heldByQuota)
	now = now.Add(10 * time.Second) // the leases of c have ended
	for _, id := range []WorkerID{"a", "b"} {
		reportWithLease(next, id, Report{Incarnation: 1, Clock: 50, Running: runningOn(starts, id)}, now)
	}
	running := len(next.workers["a"].attempts) + len(next.workers["b"].attempts)
	is.Equal(len(startActions(planUntilIdle(next, now))), 3-running)
}

// What a cancelled job may still have running on a worker that has not answered its new owner counts, too.
func TestWhatAnEndedJobMayHaveRunningCountsAfterATakeOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		reason EndReason // of the task under the former owner; 0 if it is being stopped
		starts int       // before the worker has answered
	}{{"it is being stopped", 0, 0}, {"it is done", EndDone, 1}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTenantState(Resources{CPU: 1000}, "a")
			addTenantJob(s, "old", now, taskStep(1, 1000))
			start := startActions(planUntilIdle(s, now))[0]
			if c.reason != 0 {
				end(s, start, c.reason, now)
			}
			s.Cancel("old", now)
			next := takeOver(s, now, "a")
			addTenantJob(next, "new", now, taskStep(1, 1000))
			addWorker(next, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
			is.Equal(len(startActions(planUntilIdle(next, now))), c.starts)
			reportWithLease(next, "a", Report{Incarnation: 1, Clock: 50}, now)
			is.Equal(len(startActions(planUntilIdle(next, now))), 1-c.starts)
		})
	}
}

// A task in doubt counts on if its job is cancelled under the new owner.
func TestDoubtOutlastsACancellation(t *testing.T) {
	is := is.New(t)
	s, now := newTenantState(Resources{CPU: 1000}, "a")
	addTenantJob(s, "old", now, taskStep(1, 1000))
	planUntilIdle(s, now)
	next := takeOver(s, now, "a")
	next.Cancel("old", now)
	addTenantJob(next, "new", now, taskStep(1, 1000))
	addWorker(next, "b", Resources{CPU: 4000, MemoryMB: 4000}, now)
	is.Equal(len(startActions(planUntilIdle(next, now))), 0)
	reportWithLease(next, "a", Report{Incarnation: 1, Clock: 50}, now)
	is.Equal(len(startActions(planUntilIdle(next, now))), 1)
}

// Guards against a tenant that stands still after a take-over for a worker that is out of contact: its many waiting tasks
// are in doubt, but that worker can hold few of them.
func TestDoubtIsBoundedByTheWorkersInDoubt(t *testing.T) {
	is := is.New(t)
	s, now := newTenantState(Resources{CPU: 20_000}, "a", "b", "c", "d")
	addTenantJob(s, "old", now, taskStep(100, 1000))
	starts := startActions(planUntilIdle(s, now))
	is.Equal(len(starts), 16)
	next := takeOver(s, now, "a", "b", "c", "d")
	addTenantJob(next, "new", now, taskStep(30, 1000))
	for _, id := range []WorkerID{"a", "b", "c"} {
		reportWithLease(next, id, Report{Incarnation: 1, Clock: 50}, now)
	}
	is.True(len(startActions(planUntilIdle(next, now))) >= 8)
}

// benchTenants is the number of tenants at the target size.
const benchTenants = 160

// BenchmarkPlanOfManyTenants measures a decision while thousands of tasks of many tenants wait, half of the tenants at
// their caps.
func BenchmarkPlanOfManyTenants(b *testing.B) {
	for _, workers := range []int{490, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, now := crowdOfTenants(workers, benchTenants, 1000)
			s.Plan(now)
			s.MarkStored(s.TakeDirty(1 << 20))
			planUntilIdle(s, now)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s.Plan(now.Add(time.Duration(i) * time.Millisecond))
				s.Events()
			}
		})
	}
}

// crowdOfTenants returns a state in which jobs of many tenants have been accepted. Each second tenant has a cap.
func crowdOfTenants(workers, tenants, jobs int) (*State, time.Time) {
	s, now := crowdedState(workers, 0)
	c := s.config
	c.Version++
	c.Tenants = map[string]Tenant{}
	for i := range tenants {
		c.Tenants[fmt.Sprintf("t%d", i)] = Tenant{Weight: float64(1 + i%20), Cap: Resources{CPU: int64(i%2) * 20_000}}
	}
	s.SetConfig(c)
	for i := range jobs {
		step := Step{Count: 40, Resources: Resources{CPU: int64(2500 + i%20*100), MemoryMB: 6000}, Estimate: 2 * time.Second}
		addJobOf(s, fmt.Sprintf("t%d", i%benchTenants), fmt.Sprintf("j%d", i), "calc", now, step)
	}
	return s, now
}
