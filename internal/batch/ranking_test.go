package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawStep draws a step of any of the kinds that are scored differently.
func drawStep(t *rapid.T) Step {
	st := Step{
		Count:        rapid.IntRange(1, 12).Draw(t, "count"),
		Resources:    Resources{CPU: int64(rapid.IntRange(1, 6).Draw(t, "cpu")) * 500, MemoryMB: 100},
		Estimate:     time.Second,
		RackLocal:    rapid.Bool().Draw(t, "rack local"),
		MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "per worker"),
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		st.BestEffort, st.Image = true, rapid.SampledFrom([]string{"f1", "f2"}).Draw(t, "image")
	case 1:
		st.LongRunning, st.LatencyTarget, st.Image = true, 50*time.Millisecond, rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "image")
	}
	return st
}

// For each task of a step, ranking.best returns the worker that choose finds by scoring all workers.
func TestRankingNamesTheWorkersThatALookAtAllFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s, now := New(1, testLimits), time.Unix(1_000_000, 0)
		s.SetConfig(Config{Version: 1, Queues: map[string]Queue{"q": {Service: "svc", MaxAttempts: 3, Stretch: 2}}})
		for i := range rapid.IntRange(1, 12).Draw(t, "workers") {
			id := WorkerID(fmt.Sprintf("w%02d", i))
			addWorker(s, id, Resources{CPU: int64(rapid.IntRange(1, 4).Draw(t, "size")) * 2000, MemoryMB: 10_000}, now)
			s.workers[id].rack = fmt.Sprintf("r%d", i%3)
		}
		for i := range 4 {
			st := addJob(s, fmt.Sprint(i), "q", now, drawStep(t)).occs[0].steps[0]
			ranking := s.newRanking(st, s.usable(now), now)
			for k := range st.tasks {
				task := &st.tasks[k]
				if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
					task.failed, task.lastWorker = []int64{1}, "w00"
				}
				rack := st.rack
				want := s.choose(st, task, s.usable(now), now)
				st.rack = rack
				got := ranking.best(task)
				is.Equal(got, want)
				if got == nil {
					break
				}
				s.reserve(st, k, 1, got, now)
			}
		}
	})
}
