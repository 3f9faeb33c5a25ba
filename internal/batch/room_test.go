package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerStarts calls Plan each 40 ms for a while and answers each start by what answer returns. It returns the
// number of starts by worker.
func answerStarts(s *State, now time.Time, during time.Duration, answer func(Action) Answer) map[WorkerID]int {
	starts := map[WorkerID]int{}
	const interval = 40 * time.Millisecond
	for passed := interval; passed <= during; passed += interval {
		for _, a := range startActions(s.Plan(now.Add(passed))) {
			starts[a.Worker]++
			s.StartSent(a.Worker, a.Task, a.Run, 1000)
			s.StartAnswered(a.Worker, a.Task, a.Run, answer(a), now.Add(passed))
		}
		s.MarkStored(s.TakeDirty(1 << 20))
	}
	return starts
}

func refuseAll(Action) Answer { return AnswerNoCapacity }

// Regression: a worker's capacity shrank before its entry told, and it refused a task for want of room. The same
// start was sent to it in each plan, 250 times in 10 s, and a free worker was never tried.
func TestAStartRefusedForRoomIsTriedElsewhere(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a", "b")
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
	starts := answerStarts(s, now, time.Second, func(a Action) Answer {
		if a.Worker == "a" {
			return AnswerNoCapacity
		}
		return AnswerOK
	})
	is.Equal(starts, map[WorkerID]int{"a": 1, "b": 1})
}

// Regression: no worker has room for a task, whatever their entries say. Each plan sent the start again; now they
// are tried after pauses that grow up to maxRoomPause.
func TestStartsRefusedForRoomAreRepeatedAfterGrowingPauses(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, longRunningStep(1, 1000, 0))
	starts := answerStarts(s, now, 10*time.Second, refuseAll)["a"]
	is.True(starts <= 8) // pauses of 0.25, 0.5, 1 s, then 2 s each
	is.True(starts >= int(10*time.Second/maxRoomPause))
}

// Several starts on one worker are refused together. That is one refusal, after which the pause is the shortest.
func TestStartsRefusedTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	addJob(s, "j", "q", now, taskStep(4, 1000))
	s.Plan(now)
	s.MarkStored(s.TakeDirty(1))
	starts := startActions(s.Plan(now))
	is.Equal(len(starts), 4)
	for _, a := range starts {
		s.StartAnswered(a.Worker, a.Task, a.Run, AnswerNoCapacity, now)
	}
	is.Equal(len(startActions(s.Plan(now.Add(minRoomPause-time.Millisecond)))), 0)
	is.Equal(len(startActions(s.Plan(now.Add(minRoomPause)))), 4)
}

// What ends the pause of a worker that refused a start for want of room, or lies outside of it.
func TestRoomRefusalsHoldForWhatTheyShow(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *State, now time.Time)
		step   Step
		starts int
	}{
		"the same task waits":                        {step: taskStep(1, 2000)},
		"a larger task waits":                        {step: taskStep(1, 3000)},
		"a smaller task starts":                      {step: taskStep(1, 1000), starts: 1},
		"an entry with the same capacity is no news": {step: taskStep(1, 2000), change: func(s *State, now time.Time) { s.UpdateWorker(s.workers["a"].info, now) }},
		"an entry with another capacity is": {step: taskStep(1, 2000), starts: 1, change: func(s *State, now time.Time) {
			info := s.workers["a"].info
			info.Capacity.CPU += 1000
			s.UpdateWorker(info, now)
		}},
		"a restarted worker has room": {step: taskStep(1, 2000), starts: 1, change: func(s *State, now time.Time) {
			reportWithLease(s, "a", Report{Incarnation: 2, Clock: 5}, now)
			reportWithLease(s, "a", Report{Incarnation: 2, Clock: 6}, now)
			s.UpdateWorker(restartedAs(s, "a", 2), now)
		}},
		"a larger start was accepted meanwhile": {step: taskStep(1, 2000), starts: 1, change: func(s *State, _ time.Time) {
			s.workers["a"].noteRoom(Resources{CPU: 3000, MemoryMB: 100})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			addJob(s, "refused", "q", now, taskStep(1, 2000))
			s.Plan(now)
			s.MarkStored(s.TakeDirty(1))
			a := startActions(s.Plan(now))[0]
			s.StartAnswered(a.Worker, a.Task, a.Run, AnswerNoCapacity, now)
			s.Cancel("refused", now)
			if c.change != nil {
				c.change(s, now)
			}
			addJob(s, "next", "q", now, c.step)
			is.Equal(len(startActions(planUntilIdle(s, now))), c.starts)
		})
	}
}
