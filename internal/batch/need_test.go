package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests of urgent jobs that go after those of a queue of lower priority which are overdue (issue 50, SHORT).
func TestNeedsGoByPriorityThenByTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	soon, later := now.Add(time.Second), now.Add(time.Minute)
	for _, c := range []struct {
		name  string
		a, b  Need
		first Need
	}{
		{"the higher priority goes first, however late it is needed", Need{2, now}, Need{0, later}, Need{0, later}},
		{"within a priority, the earlier time goes first", Need{1, later}, Need{1, soon}, Need{1, soon}},
		{"what nobody needs goes last", Need{}, Need{2, later}, Need{2, later}},
		{"the first of two equal ones stays", Need{1, soon}, Need{1, soon}, Need{1, soon}},
		{"nobody needs either", Need{}, Need{}, Need{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(FirstNeed(c.a, c.b), c.first)
			is.Equal(FirstNeed(c.b, c.a), c.first)
		})
	}
}

// Guards against a worker whose next end is needed by two jobs and that is asked in the order of the less urgent one.
func TestAWorkerIsAskedForItsMostUrgentEnd(t *testing.T) {
	is := is.New(t)
	s, now := New(1, testLimits), time.Unix(1_000_000, 0)
	s.SetConfig(Config{Version: 1, Queues: map[string]Queue{
		"urgent": {Service: "svc", MaxAttempts: 3, Stretch: 2, Slack: time.Second},
		"later":  {Service: "svc", MaxAttempts: 3, Stretch: 1, Slack: time.Second, Priority: 2},
	}})
	is.Equal(s.LeastPriority(), 2)
	addWorker(s, "w", Resources{CPU: 8000, MemoryMB: 10_000}, now)
	step := Step{Count: 1, Resources: Resources{CPU: 1000}, Estimate: time.Second}
	addJob(s, "l", "later", now, step)
	addJob(s, "u", "urgent", now, step)
	s.Plan(now)
	s.MarkStored(s.TakeDirty(10))
	is.Equal(len(s.Plan(now)), 2)
	is.Equal(s.EndNeed("w", now), Need{0, now.Add(3 * time.Second)}) // that of l is needed after two seconds
}
