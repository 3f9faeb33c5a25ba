package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Regression: a worker said that it has no CPU, or less. The model took the shares of its tasks for as much larger,
// and within 1.5 s believed that a pair of images that interferes does not, on all workers.
func TestNothingIsLearnedOnAWorkerThatHasShrunk(t *testing.T) {
	for _, cpu := range []int64{0, 1000, 3000} { // its tasks reserve 2,000
		t.Run(fmt.Sprint(cpu, " of 4,000"), func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a")
			addJob(s, "fill", "q", now, Step{Count: 1, Resources: Resources{CPU: 2000, MemoryMB: 100}, Estimate: time.Minute, BestEffort: true, Image: "fill"})
			all := planUntilIdle(s, now)
			web := latencySensitiveStep("web", 1)
			web.Resources.CPU, web.LatencyTarget = 2000, 100*time.Millisecond
			addJob(s, "web", "q", now, web)
			list := runningOn(append(all, planUntilIdle(s, now)...), "a")
			is.Equal(len(list), 2)
			for i := range list {
				if list[i].Task.Job == "web" {
					list[i].Percent, list[i].Measurement = fullPercent, 40
				}
			}
			report := func(times int) weightEstimate {
				for range times {
					now = now.Add(300 * time.Millisecond)
					reportWithLease(s, "a", Report{Incarnation: 1, Clock: 5000, Running: list}, now)
				}
				return s.interferenceModel.weight(ImagePair{"fill", "web"})
			}
			learned := report(20)
			is.True(learned.variance < priorVariance)
			info := s.workers["a"].info
			info.Capacity.CPU = cpu
			s.UpdateWorker(info, now)
			is.Equal(report(5), learned)
			info.Capacity.CPU = 4000
			s.UpdateWorker(info, now)
			is.True(report(5) != learned) // it goes on where the capacity is back
		})
	}
}

// A worker restarts with less CPU, as another kind of machine. That is its full capacity; the model learns there.
func TestASmallerIncarnationHasNotShrunk(t *testing.T) {
	is := is.New(t)
	s, now := newTestState("a")
	info := s.workers["a"].info
	info.Incarnation, info.Capacity.CPU = 2, 1000
	s.UpdateWorker(info, now)
	is.True(!s.workers["a"].hasShrunk())
}
