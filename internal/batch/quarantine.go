package batch

import (
	"slices"
	"time"
)

const (
	// failuresToQuarantine is the number of failed tasks in a row after which a worker gets no new tasks.
	failuresToQuarantine = 2
	// quarantineTime is how long such a worker gets no new tasks. A failure within the maximum age of the
	// failures after that quarantines it again, unless a task has been done there meanwhile.
	quarantineTime = 8 * time.Second
	// refusalQuarantineTime is the quarantine of a worker that refused a start as unhealthy.
	refusalQuarantineTime = time.Second
	// lastResortDelay is the pause after a failure, or after the first progress that follows a stall, from which a
	// quarantined worker is a last resort, see mayUseLastResort.
	lastResortDelay = 2 * time.Second
	// maxFailureAge and maxLongRunningFailureAge are the times after the last failure of a finite or of a
	// long-running task, not counting the quarantine, after which a worker's failures are not in a row any
	// more. Only finite tasks can be done, which ends a row too.
	maxFailureAge            = 30 * time.Second
	maxLongRunningFailureAge = 10 * time.Second
)

// quarantine keeps new tasks away from a worker for a while. During rest, this includes the long-running
// tasks that find no other worker; it ends sooner if a task there makes progress.
func (w *worker) quarantine(now time.Time, during, rest time.Duration) {
	w.worksSince = time.Time{}
	w.quarantinedUntil = LaterOf(w.quarantinedUntil, now.Add(during))
	w.restsUntil = LaterOf(w.restsUntil, now.Add(rest))
}

// countsAnew reports whether the end with the given Seq has not been counted yet, and notes that it is.
// An end is reported again until it is acknowledged.
func (w *worker) countsAnew(seq int64) bool {
	if seq <= w.countedSeq {
		return false
	}
	w.countedSeq = seq
	return true
}

// countDone counts a task of the step that was done on the worker. It shows that both work.
func (s *State) countDone(w *worker, st *step, seq int64, now time.Time) {
	if !w.countsAnew(seq) {
		return
	}
	w.failures = nil
	if st.suspect {
		st.suspect = false
		s.judgeFailuresOf(st, now)
	}
}

// countFailure counts a failed attempt of t against the worker. It does not if earlier runs of the task failed
// too, which points to the task as the cause, unless the whole step is suspect: then it is not known yet whom the
// failure counts against.
func (s *State) countFailure(w *worker, st *step, t *task, seq int64, now time.Time) {
	if !w.countsAnew(seq) {
		return
	}
	failedElsewhere := st.lastFailedOn != "" && st.lastFailedOn != w.info.ID
	st.lastFailedOn = w.info.ID
	wasSuspect := st.suspect
	st.suspect = (wasSuspect || failedElsewhere) && !st.works()
	if len(t.failed) > 1 && !st.suspect {
		return
	}
	w.failures = append(w.failures, st)
	switch {
	case st.suspect || wasSuspect:
		s.judgeFailuresOf(st, now)
	case w.countedFailures() >= failuresToQuarantine:
		w.quarantine(now, quarantineTime, lastResortDelay)
	}
	age := maxFailureAge
	if st.spec.LongRunning {
		age = maxLongRunningFailureAge
	}
	w.failuresEnd = LaterOf(w.failuresEnd, LaterOf(now, w.quarantinedUntil).Add(age))
}

// judgeFailuresOf begins or ends the quarantines of the workers on which a step has failed that is suspect or was
// so until now. Failures of a suspect step do not count.
func (s *State) judgeFailuresOf(st *step, now time.Time) {
	for _, w := range s.workers {
		if !slices.Contains(w.failures, st) {
			continue
		}
		if w.countedFailures() < failuresToQuarantine {
			w.quarantinedUntil = w.restsUntil
		} else if !st.suspect {
			w.quarantine(now, quarantineTime, lastResortDelay)
		}
	}
}

// countedFailures returns the number of the worker's failures in a row, without those of suspect steps.
func (w *worker) countedFailures() int {
	n := 0
	for _, st := range w.failures {
		if !st.suspect {
			n++
		}
	}
	return n
}

// forgetFailuresOf removes the failures of a suspect step whose job has ended.
func (s *State) forgetFailuresOf(st *step) {
	if !st.suspect {
		return
	}
	for _, w := range s.workers {
		w.failures = slices.DeleteFunc(w.failures, func(o *step) bool { return o == st })
	}
}

// works reports whether a task of the step is done, or another one seems able to run. The members of a gang
// start together, so that some of them run says nothing about the one that fails.
func (st *step) works() bool {
	if st.remainingTasks < len(st.tasks) {
		return true
	}
	return slices.ContainsFunc(st.tasks, func(t task) bool {
		if st.spec.LongRunning {
			return t.available()
		}
		return !st.spec.Gang && len(t.failed) == 0 && len(t.attempts) > 0
	})
}

// forgetOldFailures ends the rows of failures that are too old.
func (s *State) forgetOldFailures(now time.Time) {
	for _, w := range s.workers {
		if len(w.failures) > 0 && !now.Before(w.failuresEnd) {
			w.failures = nil
		}
	}
}

// mayUseLastResort reports whether tasks of a step for which no worker has room may get a last resort: those of a
// long-running step, and finite ones while less than half of the CPU of their service is reserved. They wait for the
// constraints of their step then, not for work ahead of them, and a quarantine is too long to stand still. Otherwise
// they wait for a healthy worker, as each failure brings a finite task closer to its last attempt.
func (s *State) mayUseLastResort(st *step, workers, lastResorts []*worker) bool {
	if st.spec.LongRunning || len(lastResorts) == 0 {
		return len(lastResorts) > 0
	}
	return isLittleUsed(s.queueOf(st.job).Service, workers, lastResorts)
}

// resortsFor returns the last resorts that tasks of a step may get if no worker has room, before the tasks that go first
// are placed. littleUsed holds the services of which less than half of the CPU is reserved.
func (s *State) resortsFor(st *step, lastResorts []*worker, littleUsed map[string]bool) []*worker {
	if st.spec.LongRunning || littleUsed[s.queueOf(st.job).Service] {
		return lastResorts
	}
	return nil
}

// littleUsedServices returns the services of the last resorts of which less than half of the CPU is reserved.
func (s *State) littleUsedServices(workers, lastResorts []*worker) map[string]bool {
	out := map[string]bool{}
	for _, w := range lastResorts {
		if _, known := out[w.info.Service]; !known {
			out[w.info.Service] = isLittleUsed(w.info.Service, workers, lastResorts)
		}
	}
	return out
}

// isLittleUsed reports whether less than half of the CPU of the workers that belong to a service is reserved.
func isLittleUsed(service string, workers, lastResorts []*worker) bool {
	var used, capacity int64
	for _, list := range [][]*worker{workers, lastResorts} {
		for _, w := range list {
			if w.info.Service == service {
				used += w.used.CPU
				capacity += w.info.Capacity.CPU
			}
		}
	}
	return 2*used < capacity
}

// lastResorts returns the workers, ordered by id, that may get tasks for which no other worker has room, see
// mayUseLastResort: those in quarantine for failures, or for a stall of a task while others make progress, after a pause.
func (s *State) lastResorts(now time.Time) []*worker {
	var out []*worker
	for _, w := range s.sorted {
		if w.isLastResort(s, now) {
			out = append(out, w)
		}
	}
	return out
}

// isLastResort reports whether the worker may get tasks for which no other worker has room, see mayUseLastResort.
func (w *worker) isLastResort(s *State, now time.Time) bool {
	return now.Before(w.quarantinedUntil) && (!now.Before(w.restsUntil) || w.works(now)) && w.usableButForQuarantine(s)
}

// works reports whether a task on a worker in quarantine has made progress since it began, lastResortDelay ago or earlier.
func (w *worker) works(now time.Time) bool {
	return !w.worksSince.IsZero() && now.Sub(w.worksSince) >= lastResortDelay
}
