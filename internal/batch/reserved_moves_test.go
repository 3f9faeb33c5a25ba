package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/placement"
)

// The only worker with room for the tasks of a slow one has it reserved for a step that goes before them: they would be stopped and
// find no room there.
func TestTasksDoNotLeaveASlowWorkerForReservedRoom(t *testing.T) {
	for _, reserved := range []bool{false, true} {
		is := is.New(t)
		slow := taskStep(12, 1000)
		slow.Estimate = 5 * time.Second // it ends too late to run there until then
		w := newUnevenWorld(t, slow, func(a Action) float64 {
			if a.Worker == "a" {
				return 5
			}
			return 40
		})
		is.Equal(len(w.starts), 12) // two on each worker, no more may run there
		s := w.s
		addWorker(s, "g", Resources{CPU: 8000, MemoryMB: 4000}, w.now)
		busy := taskStep(1, 5000)
		busy.Estimate = 10 * time.Second
		addJob(s, "busy", "q", w.now, busy)
		for _, a := range startActions(planUntilIdle(s, w.now)) {
			is.Equal(a.Worker, WorkerID("g"))
			w.starts = append(w.starts, a)
		}
		holder := addJob(s, "large", "q", w.now.Add(-100*time.Millisecond), taskStep(1, 8000)).occs[0].steps[0]
		if reserved {
			g := s.workers["g"]
			r := s.reservationsOf("svc").Reserve(holder, g, holder.reserved, placement.Outlook{Ready: w.now.Add(time.Second)}, w.now)
			g.reservation, r.Until = r, w.now.Add(time.Hour)
		}
		w.run(1500 * time.Millisecond)
		is.True(len(eventsNamed(s, "worker.slow")) > 0)
		is.Equal(w.stoppedOn("a") > 0, !reserved)
	}
}
