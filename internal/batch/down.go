package batch

import (
	"fmt"
	"time"
)

// downReportInterval is the interval between two lines of the log on long-running tasks that are down, and the time
// for which the first of them must have been down.
const downReportInterval = 2 * time.Second

// startCounts counts starts by the kind of the tasks.
type startCounts struct{ longRunning, bestEffort, other int }

func (c *startCounts) add(st *step) {
	switch {
	case st.spec.LongRunning:
		c.longRunning++
	case st.spec.BestEffort:
		c.bestEffort++
	default:
		c.other++
	}
}

// downTasks counts long-running tasks that have run before and have no attempt now.
type downTasks struct {
	all, unresolved, suspected int
	first                      taskRef   // the one that is down for longest, as far as this owner knows
	since                      time.Time // since when; zero if it knows of none
}

// reportTasksDown logs how many long-running tasks are down and what was started meanwhile, if one is down for long.
func (s *State) reportTasksDown(now time.Time) {
	if now.Sub(s.lastDownReport) < downReportInterval {
		return
	}
	starts := s.startsSinceReport
	s.lastDownReport, s.startsSinceReport = now, startCounts{}
	d := s.countTasksDown(now)
	if d.since.IsZero() || now.Sub(d.since) < downReportInterval {
		return
	}
	st := d.first.step
	s.event(Event{
		Name: "tasks.down",
		Job:  st.job.ID,
		Task: d.first.id(),
		Detail: fmt.Sprintf("%d long-running tasks are down, %d of them in doubt and %d suspected; the first for %s and startable for %s, since %s; %d more run on silent workers until their leases have ended",
			d.all, d.unresolved, d.suspected, now.Sub(d.since).Round(time.Millisecond), s.age(d.first.task().startableSince, now), d.first.heldBy(), s.countOnSilentWorkers()),
		Inputs: fmt.Sprintf("started meanwhile: %d long-running, %d best-effort, %d other tasks; %s",
			starts.longRunning, starts.bestEffort, starts.other, s.describeRoom(st, d.first.task(), now)),
	})
}

func (s *State) countTasksDown(now time.Time) downTasks {
	var d downTasks
	for _, entry := range s.openStepsInOrder(now) {
		if !entry.step.spec.LongRunning {
			continue
		}
		for i := range entry.step.tasks {
			if r := (taskRef{entry.step, i}); r.isDown() {
				s.countDown(&d, r)
			}
		}
	}
	return d
}

// countOnSilentWorkers counts the attempts of long-running tasks on unreachable workers.
func (s *State) countOnSilentWorkers() int {
	n := 0
	for _, w := range s.workers {
		if w.unreachable {
			n += w.longRunning
		}
	}
	return n
}

func (s *State) countDown(d *downTasks, r taskRef) {
	t := r.task()
	d.all++
	switch {
	case s.isInDoubt(r.step, t):
		d.unresolved++
	case t.suspected():
		d.suspected++
	}
	if !t.downSince.IsZero() && (d.since.IsZero() || t.downSince.Before(d.since)) {
		d.first, d.since = r, t.downSince
	}
}

// isDown reports whether a long-running task has run before, or may have under a former owner, and has no attempt.
func (r taskRef) isDown() bool {
	t := r.task()
	return len(t.attempts) == 0 && (t.lastRun > 0 || r.step.startedByFormerOwner)
}
