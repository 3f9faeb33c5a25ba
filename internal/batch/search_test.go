package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a decision that rates all workers for each of thousands of suspected tasks: it took seconds after many
// workers had been lost together, in which no record was written and no claim confirmed.
func TestManySuspectsAreNotEachRatedOnAllWorkers(t *testing.T) {
	is := is.New(t)
	const workers, jobs, tasksOfJob = 500, 250, 8
	s, now := suspectsState(workers, jobs)
	s.Plan(now)
	started := 0
	for _, j := range s.jobs {
		started += tasksOfJob - j.occs[0].steps[0].waiting
	}
	is.Equal(started, jobs*tasksOfJob)
	is.True(s.evaluations <= 300_000) // 1,000,000 if each of the 2,000 tasks is rated on all 500 workers
}

// A search among few workers finds one whenever a search among all does.
func TestASearchAmongFewFindsAWorkerIfThereIsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s, now := New(1, testLimits), time.Unix(1_000_000, 0)
		s.SetConfig(Config{Version: 1, Queues: map[string]Queue{"q": {Service: "svc", MaxAttempts: 3, Stretch: 2}}})
		for i := range rapid.IntRange(1, 2*maxCandidates).Draw(t, "workers") {
			cpu := int64(rapid.IntRange(1, 4).Draw(t, "size")) * 1000
			addWorker(s, WorkerID(fmt.Sprintf("w%03d", i)), Resources{CPU: cpu, MemoryMB: 10_000}, now)
		}
		workers := s.usable(now)
		s.nextCandidate = rapid.IntRange(0, 3*maxCandidates).Draw(t, "next")
		for i := range 8 {
			st := addJob(s, fmt.Sprint(i), "q", now, drawStep(t)).occs[0].steps[0]
			for k := range st.tasks {
				all := s.choose(st, &st.tasks[k], workers, now)
				few := s.chooseFromFew(st, &st.tasks[k], workers, now)
				is.Equal(few == nil, all == nil)
				if few == nil {
					break
				}
				q := s.queueOf(st.job)
				is.Equal(s.rejects(st, &q, &st.tasks[k], few, now), notRejected)
				s.reserve(st, k, 1, few, now)
			}
		}
	})
}
