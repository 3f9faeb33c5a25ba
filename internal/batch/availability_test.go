package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// unavailable makes a worker unavailable for each reason.
var unavailable = map[unavailability]func(s *State, w *worker, now time.Time){
	available:           func(*State, *worker, time.Time) {},
	unavailableUnlisted: func(_ *State, w *worker, _ time.Time) { w.listed = false },
	unavailableDraining: func(_ *State, w *worker, _ time.Time) { w.info.Draining = true },
	unavailableEvacuated: func(s *State, w *worker, _ time.Time) {
		w.info.DataCentre = "out"
		s.config.Evacuated = map[string]bool{"out": true}
	},
	unavailableSilent:      func(s *State, w *worker, _ time.Time) { s.MarkUnreachable(w.info.ID) },
	unavailableUndescribed: func(_ *State, w *worker, _ time.Time) { w.described = false },
	unavailableUnrecorded:  func(s *State, w *worker, _ time.Time) { s.MarkUnrecorded(w.info.ID) },
	unavailableUnreported:  func(_ *State, w *worker, _ time.Time) { w.reported = false },
	unavailableUnleased:    func(_ *State, w *worker, _ time.Time) { w.leaseConfirmed = false },
	unavailableLapsing:     func(_ *State, w *worker, _ time.Time) { w.lapsing = true },
	unavailableUnknown:     func(_ *State, w *worker, _ time.Time) { w.runsUnknownTasks = true },
	unavailableShunned:     func(_ *State, w *worker, now time.Time) { w.quarantine(now, quarantineTime, quarantineTime) },
}

// Guards against a worker that gets no tasks for a reason that the log counts among others, such as an evacuated one
// that was said to wait for a report, a lease or a record.
func TestTheLogSaysWhyAWorkerGetsNoTasks(t *testing.T) {
	for reason := range unavailabilities {
		t.Run(unavailabilityNames[reason], func(t *testing.T) {
			is := is.New(t)
			s, now := newTestState("a", "b")
			w := s.workers["b"]
			unavailable[reason](s, w, now)
			addJob(s, "j", "q", now, taskStep(8, 1000))
			started := 0
			for _, a := range startActions(planUntilIdle(s, now)) {
				if a.Worker == "b" {
					started++
				}
			}
			is.Equal(started > 0, reason == available)
			is.Equal(w.unavailability(s, now), reason)
			switch reason {
			case available:
				is.Equal(s.describeWorkers("svc"), "2 may get tasks")
			case unavailableUnlisted:
				is.Equal(s.describeWorkers("svc"), "1 may get tasks")
			default:
				is.Equal(s.describeWorkers("svc"), "1 may get tasks, 1 "+unavailabilityNames[reason])
			}
		})
	}
}
