package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a step that waits for two decisions, one for its record and one for its start, while these are rare (issue 50,
// SHORT).
func TestAStepThatBecomesStartableNeedsNoPlan(t *testing.T) {
	is := is.New(t)
	s, now := New(1, testLimits), time.Unix(1_000_000, 0)
	s.SetConfig(Config{Version: 1, Queues: map[string]Queue{"q": {Service: "svc", MaxAttempts: 3, Stretch: 2}}})
	addWorker(s, "w", Resources{CPU: 8000, MemoryMB: 10_000}, now)
	s.Plan(now)
	is.Equal(len(s.PlanFreshSteps(now)), 0)
	addJob(s, "j", "q", now, Step{Count: 2, Resources: Resources{CPU: 1000}, Estimate: time.Second})
	is.Equal(len(s.PlanFreshSteps(now)), 0) // the record is asked for
	is.True(s.HasUrgentRecords())
	s.MarkStored(s.TakeDirty(10))
	is.Equal(len(s.PlanFreshSteps(now)), 2)
	is.Equal(len(s.PlanFreshSteps(now)), 0)
	is.Equal(len(s.Plan(now)), 0)
}

// Guards against a task that is started again before a plan has looked whether it is to be given up (BUDGET).
func TestAStepThatMayHaveRunIsLeftToAPlan(t *testing.T) {
	is := is.New(t)
	s, now := New(1, testLimits), time.Unix(1_000_000, 0)
	s.SetConfig(Config{Version: 1, Queues: map[string]Queue{"q": {Service: "svc", MaxAttempts: 3, Stretch: 2}}})
	addWorker(s, "w", Resources{CPU: 8000, MemoryMB: 10_000}, now)
	st := addJob(s, "j", "q", now, Step{Count: 1, Resources: Resources{CPU: 1000}, Estimate: time.Second}).occs[0].steps[0]
	s.Plan(now)
	s.MarkStored(s.TakeDirty(10))
	s.addSuspicion(taskRef{st, 0}, Suspicion{Run: 1, Worker: "gone"})
	clear(s.fresh)
	s.markFresh(st)
	is.Equal(len(s.fresh), 0)
}

// Guards against a step that is started out of turn: another one that goes before it found no room in the last plan.
func TestAFreshStepDoesNotOvertakeOneThatWaitsForRoom(t *testing.T) {
	for _, c := range []struct {
		name             string
		urgent, waiting  int // priorities of the fresh step's queue and of that which waits
		waitingIsAFiller bool
		starts           int
	}{
		{"the other one goes before it", 1, 0, false, 0},
		{"it goes before the other one", 0, 1, false, 1},
		{"the other one takes no room", 1, 0, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := New(1, testLimits), time.Unix(1_000_000, 0)
			s.SetConfig(Config{Version: 1, Queues: map[string]Queue{
				"fresh":   {Service: "svc", MaxAttempts: 3, Stretch: 2, Priority: c.urgent},
				"waiting": {Service: "svc", MaxAttempts: 3, Stretch: 2, Priority: c.waiting},
			}})
			addWorker(s, "w", Resources{CPU: 8000, MemoryMB: 10_000}, now)
			large := Step{Count: 1, Resources: Resources{CPU: 9000}, Estimate: time.Second, BestEffort: c.waitingIsAFiller, Image: "f"}
			if c.waitingIsAFiller {
				large.Resources = Resources{CPU: 1000, MemoryMB: 20_000}
			}
			addJob(s, "large", "waiting", now, large)
			s.Plan(now)
			addJob(s, "small", "fresh", now, Step{Count: 1, Resources: Resources{CPU: 1000}, Estimate: time.Second})
			s.PlanFreshSteps(now)
			s.MarkStored(s.TakeDirty(10))
			is.Equal(len(s.PlanFreshSteps(now)), c.starts)
		})
	}
}

// Guards against reports that are asked for in an order that has nothing to do with who waits for them.
func TestAnEndIsNeededInTimeForTheObjectiveOfItsJob(t *testing.T) {
	is := is.New(t)
	s, now := New(1, testLimits), time.Unix(1_000_000, 0)
	s.SetConfig(Config{Version: 1, Queues: map[string]Queue{"q": {Service: "svc", MaxAttempts: 3, Stretch: 2, Slack: time.Second, Priority: 1}}})
	addWorker(s, "w", Resources{CPU: 8000, MemoryMB: 10_000}, now)
	is.Equal(s.EndNeed("w", now), Need{})
	is.Equal(s.EndNeed("unknown", now), Need{})
	step := Step{Count: 1, Resources: Resources{CPU: 1000}, Estimate: time.Second}
	later := step
	later.After = []int{0}
	addJob(s, "j", "q", now, step, later)
	s.Plan(now)
	s.MarkStored(s.TakeDirty(10))
	actions := s.Plan(now)
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Need, Need{1, now.Add(3 * time.Second)}) // two seconds of work within five
	is.Equal(s.EndNeed("w", now), Need{1, now.Add(4 * time.Second)})
	late := now.Add(5 * time.Second)
	is.Equal(s.EndNeed("w", late), Need{1, late.Add(testLimits.StartLeaseTTL)}) // missed in any case: after the others
}
