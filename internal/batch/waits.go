package batch

import (
	"fmt"
	"strings"
	"time"
)

// The reasons for which a step waits, as they appear in the log. Room is free capacity.
const (
	waitsForRoom        = "no worker that may run it has room"
	waitsForIsolation   = "no worker without other suspected tasks has room"
	waitsForReserve     = "room is kept for short tasks"
	waitsForFormerOwner = "a former owner may have started it on a worker that has not answered"
)

// recordWait logs why a step waits, once each time the reason changes. If t is given, the line says what the workers
// lack for that task.
func (s *State) recordWait(st *step, reason string, t *task, now time.Time) {
	if st.waitReason == reason {
		return
	}
	st.waitReason = reason
	e := Event{Name: "step.waits", Job: st.job.ID, Task: TaskID{Job: st.job.ID, Occurrence: st.occ.number, Step: st.number}, Detail: reason}
	if t != nil {
		e.Inputs = s.describeWorkers(s.queueOf(st.job).Service) + "; " + s.describeRoom(st, t, now)
	}
	s.event(e)
}

// describeWorkers describes for the log how many workers of a service may get new tasks, and why the others
// may not. The log calls a quarantined worker shunned.
func (s *State) describeWorkers(service string) string {
	usable, quarantined, draining, silent, other := 0, 0, 0, 0, 0
	for _, w := range s.workers {
		switch {
		case !w.listed || w.info.Service != service:
		case w.usable(s, s.lastPlan):
			usable++
		case s.lastPlan.Before(w.quarantinedUntil):
			quarantined++
		case w.info.Draining:
			draining++
		case w.unreachable:
			silent++
		default:
			other++
		}
	}
	return fmt.Sprintf("%d may get tasks, %d are shunned, %d drain, %d are silent, %d wait for a report, a lease or a record", usable, quarantined, draining, silent, other)
}

// describeRoom describes for the log what a task of the step needs, and what the workers lack that may get tasks.
func (s *State) describeRoom(st *step, t *task, now time.Time) string {
	var counts [rejections]int
	var roomiest *worker
	for _, w := range s.sortedWorkers() {
		if !w.usable(s, now) {
			continue
		}
		counts[s.rejects(st, t, w, now)]++
		if roomiest == nil || w.free().CPU > roomiest.free().CPU {
			roomiest = w
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "it needs %s", st.reserved)
	for r, n := range counts {
		if n > 0 {
			fmt.Fprintf(&b, ", %d %s", n, rejectionNames[r])
		}
	}
	if roomiest != nil {
		fmt.Fprintf(&b, "; the most free CPU is on %s: %s with %d attempts, %d of suspected tasks", roomiest.info.ID, roomiest.free(), len(roomiest.attempts), roomiest.suspected)
	}
	return b.String()
}

// firstWaiting returns the first task of the step without an attempt, or the first task if there is none.
func (st *step) firstWaiting() *task {
	for i := range st.tasks {
		if t := &st.tasks[i]; !t.done && len(t.attempts) == 0 {
			return t
		}
	}
	return &st.tasks[0]
}

// String describes resources for the log.
func (r Resources) String() string {
	text := fmt.Sprintf("%d/1000 CPU, %d MB", r.CPU, r.MemoryMB)
	if r.GPU > 0 {
		text += fmt.Sprintf(", %d GPU", r.GPU)
	}
	return text
}
