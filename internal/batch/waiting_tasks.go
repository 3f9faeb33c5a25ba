package batch

import (
	"fmt"
	"strings"
	"time"
)

// waitReportInterval is the interval between two lines of the log on tasks that wait, and the time for which the first
// of them must have waited.
const waitReportInterval = 2 * time.Second

// waitingTasks counts the tasks that wait for the same reason.
type waitingTasks struct {
	count int
	first taskRef       // the one that has waited longest
	since time.Duration // since when it can be started, as State.clock counts
}

// add counts a task.
func (c *waitingTasks) add(r taskRef) {
	c.count++
	if since := r.task().startableSince; c.count == 1 || since < c.since {
		c.first, c.since = r, since
	}
}

// countWaiting counts the tasks that wait, by the reason.
func (s *State) countWaiting(now time.Time) [waitReasons]waitingTasks {
	var counts [waitReasons]waitingTasks
	for _, entry := range s.openStepsInOrder(now) {
		for i := range entry.step.tasks {
			if r := (taskRef{entry.step, i}); !r.task().done && len(r.task().attempts) == 0 {
				counts[r.heldBy()].add(r)
			}
		}
	}
	for _, start := range s.recordedStarts {
		for _, a := range start {
			if r := a.ref(); len(r.task().attempts) > 0 && r.task().isWaiting() && !r.step.job.outcome.Terminal() {
				counts[r.heldBy()].add(r)
			}
		}
	}
	return counts
}

// WaitingTasks is how many tasks wait for one reason, and how long the first of them has waited.
type WaitingTasks struct {
	Reason string
	Count  int
	Oldest time.Duration
}

// WaitingTasks returns the tasks that could be started and are not, by the reason. It names each reason.
func (s *State) WaitingTasks(now time.Time) []WaitingTasks {
	var out []WaitingTasks
	for r, c := range s.countWaiting(now) {
		w := WaitingTasks{Reason: waitReasonNames[r], Count: c.count}
		if c.count > 0 {
			w.Oldest = s.clock(now) - c.since
		}
		out = append(out, w)
	}
	return out
}

// reportTasksWaiting logs how many tasks wait for which reasons, if one has waited for long.
func (s *State) reportTasksWaiting(now time.Time) {
	if now.Sub(s.lastWaitReport) < waitReportInterval {
		return
	}
	s.lastWaitReport = now
	counts := s.countWaiting(now)
	var all waitingTasks
	for _, c := range counts {
		if c.count > 0 && (all.count == 0 || c.since < all.since) {
			all.first, all.since = c.first, c.since
		}
		all.count += c.count
	}
	if all.count == 0 || s.clock(now)-all.since < waitReportInterval {
		return
	}
	st, t := all.first.step, all.first.task()
	s.event(Event{
		Name: "tasks.waiting",
		Job:  st.job.ID,
		Task: all.first.id(),
		Run:  t.lastRun,
		Detail: fmt.Sprintf("%d tasks wait: %s; the first for %s, for the last %s since %s",
			all.count, s.describeWaiting(&counts, now), s.age(all.since, now), s.age(all.first.heldSince(), now), all.first.heldBy()),
		Inputs: s.describeWorkers(s.queueOf(st.job).Service) + "; " + s.describeRoom(st, t, now),
	})
}

// describeWaiting lists for the log how many tasks wait for each reason, and the first of them.
func (s *State) describeWaiting(counts *[waitReasons]waitingTasks, now time.Time) string {
	var b strings.Builder
	for r, c := range counts {
		if c.count == 0 {
			continue
		}
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		id := c.first.id()
		fmt.Fprintf(&b, "%d %s (first %s/%d/%d/%d for %s)", c.count, waitReasonNames[r], id.Job, id.Occurrence, id.Step, id.Index, s.age(c.since, now))
	}
	return b.String()
}

// age returns for the log how long ago a time was, which State.clock has counted.
func (s *State) age(since time.Duration, now time.Time) time.Duration {
	return (s.clock(now) - since).Round(time.Millisecond)
}
