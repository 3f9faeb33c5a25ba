package batch

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/forecast"
	"github.com/geraniumwick/geraniumwick/internal/placement"
)

const (
	// likelyShare and safeShare are the shares of tasks that end within the durations that the room to come, and the room that a
	// task may use in the meantime, are predicted from.
	likelyShare = 0.5
	safeShare   = 0.9
	// stopTime is how long a task is expected to need until it has stopped.
	stopTime = 500 * time.Millisecond
)

// durationsOf returns what was learned of how long tasks like those of a step run.
func (s *State) durationsOf(st *step) *forecast.History {
	if st.durations == nil {
		st.durations = s.durations.Of(st.kind())
	}
	return st.durations
}

// kind returns the kind of the tasks of a step, by which durations are learned.
func (st *step) kind() forecast.Kind {
	return forecast.Kind{Queue: st.job.Queue, Image: st.image, Size: forecast.SizeClass(st.spec.Resources.CPU, st.spec.Estimate)}
}

// learnDuration learns from an attempt that is done. One that resumed from a checkpoint tells nothing.
func (s *State) learnDuration(st *step, a *attempt, now time.Time) {
	if a == nil || st.spec.LongRunning || a.task().checkpointRun != 0 && a.task().checkpointRun != a.run {
		return
	}
	s.durationsOf(st).Observe(now.Sub(a.startedAt()))
}

// startedAt returns when an attempt began to run, as far as it is known.
func (a *attempt) startedAt() time.Time {
	if a.listedSince.IsZero() {
		return a.requestedAt
	}
	return a.listedSince
}

// expectedDuration returns how long most tasks of a step run: a share of them, or their estimate if too few have ended. It is 0 if
// nothing tells.
func (s *State) expectedDuration(st *step, share float64) time.Duration {
	if d, known := s.durationsOf(st).Quantile(share); known {
		return d
	}
	return st.spec.Estimate
}

// expectedEnd returns by when a task of the step would end that starts now; zero if that is not known.
func (s *State) expectedEnd(st *step, now time.Time) time.Time {
	if st.spec.LongRunning {
		return time.Time{}
	}
	if d := s.expectedDuration(st, safeShare); d > 0 {
		return now.Add(d)
	}
	return time.Time{}
}

// endsOn returns the room that attempts on a worker are expected to give back, in the order of time. The slice is valid until the
// next call.
func (s *State) endsOn(w *worker, now time.Time) []placement.End {
	ends := s.endsBuffer[:0]
	for _, a := range w.attempts {
		if at, known := s.endOf(a, now); known {
			ends = append(ends, placement.End{At: at, Room: a.reserved})
		}
	}
	placement.SortEnds(ends)
	s.endsBuffer = ends
	return ends
}

// endOf returns when an attempt is expected to end, and whether anything tells.
func (s *State) endOf(a *attempt, now time.Time) (time.Time, bool) {
	if a.stopping {
		return now.Add(stopTime), true
	}
	if a.step.spec.LongRunning {
		return time.Time{}, false
	}
	run := forecast.Run{Started: a.startedAt(), Seen: now, FirstPercent: a.firstPercent, Percent: a.percent, Expected: s.expectedDuration(a.step, likelyShare)}
	if a.listed && a.worker.lastContact.After(run.Started) {
		run.Seen = a.worker.lastContact
	}
	return run.End(now)
}
