package batch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTurnOfAFullFleet measures a turn of the owner's loop on workers that are full of short tasks: the reports of some workers
// with the ends of tasks, and a decision while short tasks of three sizes and new long-running tasks wait for room.
func BenchmarkTurnOfAFullFleet(b *testing.B) {
	const openSteps, reports = 200, 40
	for _, workers := range []int{490, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s, now := lastingState(workers)
			ids := s.sortedWorkers()
			jobs := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(20 * time.Millisecond)
				for k := range reports {
					reportAll(s, ids[(i*reports+k)%len(ids)], now)
				}
				for ; s.open.len() < openSteps; jobs++ {
					addMixedJob(s, jobs, now)
				}
				for _, a := range startActions(s.Plan(now)) {
					s.StartAnswered(a.Worker, a.Task, a.Run, AnswerOK, now)
				}
				s.Events()
				s.MarkStored(s.TakeDirty(1 << 20))
			}
		})
	}
}

// addMixedJob adds a job of small, middle or large short tasks or of long-running ones, in turn.
func addMixedJob(s *State, i int, now time.Time) {
	step := Step{Count: 9, Resources: Resources{CPU: 3000, MemoryMB: 4000}, Estimate: time.Second, Image: fmt.Sprintf("f%d", i%9)}
	switch i % 4 {
	case 1:
		step.Resources.CPU = 7000
	case 2:
		step.Resources.CPU, step.Count = 24_000, 4
	case 3:
		step.LongRunning, step.Estimate, step.Count = true, 0, 2
	}
	addJob(s, fmt.Sprintf("m%d", i), "calc", now, step)
}
