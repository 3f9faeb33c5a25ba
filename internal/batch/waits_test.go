package batch

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// eventsNamed returns the events of one name since the last call of Events.
func eventsNamed(s *State, name string) []Event {
	var out []Event
	for _, e := range s.Events() {
		if e.Name == name {
			out = append(out, e)
		}
	}
	return out
}

// The log tells room that other tasks have taken from room that is withheld.
func TestTheLogSaysWhatTheWorkersLack(t *testing.T) {
	for _, c := range []struct {
		name  string
		step  Step
		wants string
	}{
		{"CPU", Step{Count: 1, Resources: Resources{CPU: 3000, MemoryMB: 100}}, "it needs 3000/1000 CPU, 100 MB, 2 lack CPU"},
		{"memory", Step{Count: 1, Resources: Resources{CPU: 100, MemoryMB: 3950}}, "2 lack memory"},
		{"a label", Step{Count: 1, Resources: Resources{CPU: 100}, Label: "no"}, "2 lack the label"},
		{"GPUs", Step{Count: 1, Resources: Resources{GPU: 1}}, "2 lack GPUs"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a", "b")
			addJob(s, "short", "q", now, taskStep(2, 2000), taskStep(2, 1000))
			planUntilIdle(s, now)
			addJob(s, "waits", "q", now, c.step)
			planUntilIdle(s, now)
			waits := eventsNamed(s, "step.waits")
			is.Equal(len(waits), 1)
			is.Equal(waits[0].Detail, waitsForRoom)
			is.True(strings.Contains(waits[0].Inputs, "2 may get tasks")) // how many workers there are
			is.True(strings.Contains(waits[0].Inputs, c.wants))           // and what they lack
		})
	}
}

// The log says every two seconds how long long-running tasks are down, and what was started meanwhile.
func TestTheLogSaysHowLongTasksAreDown(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	full := s.workers["a"].info.Capacity.CPU
	addJob(s, "lasts", "q", now, longRunningStep(2, full, 0))
	starts := startActions(planUntilIdle(s, now))
	is.Equal(len(starts), 2)
	now = now.Add(time.Second)
	shrunken := s.workers["a"].info
	shrunken.Capacity.CPU = full / 2
	s.UpdateWorker(shrunken, now)
	first := starts[slices.IndexFunc(starts, func(a Action) bool { return a.Worker == "a" })]
	reportWithLease(s, "a", Report{Incarnation: 1, Clock: 50, Ended: []EndedAttempt{{Seq: 1, Task: first.Task, Run: first.Run, Reason: EndStopped}}}, now)
	planUntilIdle(s, now)
	planEvery(s, now, time.Second)
	is.Equal(len(eventsNamed(s, "tasks.down")), 0) // not for long yet
	addJob(s, "short", "q", now, taskStep(1, 1000))
	for range 20 {
		now = now.Add(checkInterval)
		planUntilIdle(s, now)
	}
	lines := eventsNamed(s, "tasks.down")
	is.Equal(len(lines), 2)
	is.True(strings.HasPrefix(lines[0].Detail, "1 long-running tasks are down, 0 of them in doubt"))
	is.True(strings.Contains(lines[0].Inputs, "0 long-running, 0 best-effort, 1 other tasks"))
	is.True(strings.Contains(lines[1].Inputs, "2 lack CPU"))
}
