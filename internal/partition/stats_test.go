package partition_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

func TestSummaryCountsQuarantinedWorkers(t *testing.T) {
	runWithOwner(t, func(is *is.I, s *fixture, r *runningOwner) {
		for _, id := range []model.JobID{"a", "b"} {
			is.NoErr(r.submit(id))
		}
		time.Sleep(3 * time.Second)
		is.Equal(r.Summary().Running, 2)
		is.Equal(r.Summary().Quarantined, 0)
		w := s.workers["w1"]
		w.mu.Lock()
		for _, a := range w.attempts {
			w.finish(a, model.AttemptFailed)
		}
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		is.Equal(r.Summary().Quarantined, 1) // two jobs failed on it and nowhere else
		is.Equal(r.Summary().Workers, 1)
	}, "w1")
}
