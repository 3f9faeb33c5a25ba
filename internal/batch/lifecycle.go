package batch

import (
	"time"
)

// AddJob adds a job with its stored record, which may be nil. It does nothing if the job is known.
// loaded is set if the job was accepted by a former owner, which may have started its tasks.
func (s *State) AddJob(j *Job, r *Record, loaded bool, now time.Time) {
	if s.jobs[j.ID] != nil {
		return
	}
	s.jobs[j.ID] = j
	j.changedAt = now
	s.openAccount(j)
	if r != nil && r.Status.Terminal() {
		j.outcome, j.durableOutcome, j.started = r.Status, r.Status, true
		j.doubtEndedJob()
		return
	}
	j.expand()
	if r != nil {
		r.restore(j)
		s.registerSuspicions(j, now)
	}
	if !j.started {
		s.unstartedJobs[j.Queue]++
	}
	for _, o := range j.occs {
		s.openOccurrence(j, o, loaded, now)
	}
	s.completeIfDone(j, now)
}

// openOccurrence opens the steps of an occurrence for placement, or schedules the occurrence if it is
// not due yet.
func (s *State) openOccurrence(j *Job, o *occurrence, loaded bool, now time.Time) {
	if loaded {
		s.markUnresolved(o)
	}
	if o.due.After(now) {
		s.scheduled[o] = j
		return
	}
	for _, st := range o.steps {
		s.openStep(st, now)
	}
}

// markUnresolved marks the tasks that a former owner may have started. A step has none unless its
// start record was requested.
func (s *State) markUnresolved(o *occurrence) {
	for _, st := range o.steps {
		if !st.startRecordRequested {
			continue
		}
		for i := range st.tasks {
			if !st.tasks[i].done {
				st.tasks[i].unresolved = true
				st.doubtTask(&st.tasks[i])
			}
		}
	}
}

// openStep opens a step for placement if it has waiting tasks and all its dependencies are done.
func (s *State) openStep(st *step, now time.Time) {
	if st.pendingDependencies > 0 || st.waiting == 0 || st.job.outcome.Terminal() {
		return
	}
	if !st.isOpen {
		s.open.add(st)
		s.noteShortSize(st)
		s.markFresh(st)
		st.ready = now
		s.markStartable(st, now)
	}
}

// Cancel ends a job at the request of a caller.
func (s *State) Cancel(id string, now time.Time) {
	j := s.jobs[id]
	if j == nil || j.outcome.Terminal() {
		return
	}
	j.cancelled = true
	s.event(Event{Name: "job.cancelled", Job: id})
	s.end(j, Cancelled, now)
}

// end sets the outcome of a job and stops its attempts.
func (s *State) end(j *Job, o JobStatus, now time.Time) {
	if !j.started {
		s.unstartedJobs[j.Queue]--
		j.started = true
	}
	j.outcome = o
	j.changedAt = now
	s.interferenceModel.removeJob(j)
	s.dirty.add(j)
	for _, occ := range j.occs {
		delete(s.scheduled, occ)
		for _, st := range occ.steps {
			s.open.remove(st)
			s.forgetFailuresOf(st)
			for i := range st.tasks {
				s.endTask(&st.tasks[i])
				s.endSuspicions(taskRef{st, i})
			}
		}
	}
}

// endTask stops the attempts of a task whose job has ended.
func (s *State) endTask(t *task) {
	t.unresolved = false
	for _, a := range t.attempts {
		s.stop(a, "job ended")
	}
}

// completeIfDone completes a job if all its steps are done.
func (s *State) completeIfDone(j *Job, now time.Time) {
	if j.outcome.Terminal() {
		return
	}
	for _, o := range j.occs {
		if o.remainingSteps > 0 {
			return
		}
	}
	s.event(Event{Name: "job.completed", Job: j.ID})
	s.end(j, Completed, now)
}

// PrunedJob is a job that the state knows no longer.
type PrunedJob struct {
	ID string
	// Revision is the revision of the store at which the job was accepted.
	Revision int64
}

// PruneJobs deletes the jobs that ended more than keep ago, and returns them. Jobs whose attempts
// may still run or whose records are not written yet are kept.
func (s *State) PruneJobs(now time.Time, keep time.Duration) []PrunedJob {
	var pruned []PrunedJob
	for id, j := range s.jobs {
		if j.outcome.Terminal() && j.attempts == 0 && !s.dirty.has(j) && now.Sub(j.changedAt) > keep {
			pruned = append(pruned, PrunedJob{ID: id, Revision: j.Revision})
			delete(s.jobs, id)
		}
	}
	return pruned
}
