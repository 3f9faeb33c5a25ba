package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The load: some workers turn slow while best-effort tasks run beside services everywhere. Guards against a model that blames the
// best-effort tasks for it, so that they are limited on all workers; and against one that does not learn from a service which is
// really disturbed.
func TestSlowWorkersTeachTheInterferenceModelNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		latency func(limit int) int64 // on the worker, by the CPU limit of the best-effort task there
		learns  bool
	}{
		{"the worker is slow", func(int) int64 { return 2500 }, false},
		{"the best-effort task disturbs the service", func(limit int) int64 { return 30 + 25*int64(limit) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			service := longRunningStep(12, 1000, 0) // two on each worker
			service.LatencyTarget = 50 * time.Millisecond
			w := newUnevenWorld(t, service, func(Action) float64 { return 0 })
			w.s.RestoreInterference([]InterferenceWeight{{Pair: ImagePair{"press", ""}, Mean: 0.2, Variance: 1}})
			usual := func(Action) int64 { return 30 }
			w.measure(2*time.Second, usual) // the load of the service is known then
			addJob(w.s, "fills", "q", w.now, Step{Count: 1, Resources: Resources{CPU: 2000, MemoryMB: 100}, Image: "press", BestEffort: true, Estimate: time.Minute})
			started := startActions(planUntilIdle(w.s, w.now))
			is.Equal(len(started), 1)
			w.starts = append(w.starts, started...)
			disturbed := started[0].Worker
			before := w.s.interferenceModel.weight(ImagePair{"press", ""})
			w.measure(2*time.Second, func(a Action) int64 {
				switch best := w.s.workers[disturbed].attempts[attemptKey{started[0].Task, started[0].Run}]; {
				case a.Task.Job == "fills":
					return 2000
				case a.Worker == disturbed && best != nil:
					return c.latency(best.cpuLimit)
				case a.Worker == disturbed:
					return c.latency(0)
				default:
					return 30
				}
			})
			after := w.s.interferenceModel.weight(ImagePair{"press", ""})
			is.Equal(after.mean > before.mean+0.2, c.learns)
		})
	}
}
