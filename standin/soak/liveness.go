package soak

import "time"

const (
	// restartTime is how long after the end of its last run a lasting task may be missing anyway.
	restartTime = 6 * time.Second
	// maxIdleTime is how long a job may have nothing running although a task could run, and how long a lasting task
	// may be missing beyond restartTime. calmBefore is how long before that there must be no fault.
	maxIdleTime = 3 * time.Second
	calmBefore  = 4 * time.Second
	// roomFactor is how many times a task must fit on a worker that counts as having room for it.
	roomFactor = 2
	// A job whose tasks end may have nothing running while 1/maxUsedPart of the capacity or more is in use.
	maxUsedPart = 2
)

// room is what the workers have left, in milliCPU.
type room struct {
	free           int64 // on the worker with the most
	used, capacity int64 // of all workers that take tasks
}

// add adds a worker.
func (r *room) add(w *Worker) {
	if !w.takesTasks() {
		return
	}
	r.free = max(r.free, w.freeCPU())
	r.used += w.totalUsedCPU()
	r.capacity += w.capacity
}

// fits reports whether there is room for a task of the given milliCPU.
func (r room) fits(cpu int64) bool { return r.free >= roomFactor*cpu }

// RecordFaultBegin records that a fault begins, and RecordFaultEnd that it is over. Requests to workers that lose their
// answers are no such fault: work must go on.
func (c *Checker) RecordFaultBegin() { c.recordFault(1) }

// RecordFaultEnd records that a fault is over.
func (c *Checker) RecordFaultEnd() { c.recordFault(-1) }

func (c *Checker) recordFault(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults += change
	c.lastFault = time.Now()
}

// CheckLiveness checks that what could run does. LOST is violated if, for maxIdleTime and with no fault since calmBefore
// before, there is room, less than half of the quota is in use and
//
//   - a job has nothing running, though the turn of one of its tasks has come and less than 1/maxUsedPart of the
//     capacity is in use, or
//   - a lasting task that has run is missing, beginning restartTime after its last run or later.
func (c *Checker) CheckLiveness(now time.Time, r room) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkIdleJobs(now, r)
	c.checkLastingTasks(now, r)
}

func (c *Checker) checkIdleJobs(now time.Time, r room) {
	for _, s := range c.jobs {
		task, due := "", false
		if s.mustGoOn() && s.running == 0 && maxUsedPart*r.used < r.capacity && c.isWithinHalfQuota() {
			task, due = c.dueTask(s, r, now)
		}
		if c.isIdleTooLong(s.id, due, now) {
			c.addViolation("LOST", "job %s has nothing running for %.1f s, though %s could run: of %d milliCPU %d are in use, and %d are free on a worker",
				s.id, maxIdleTime.Seconds(), task, r.capacity, r.used, r.free)
			delete(c.idleSince, s.id) // reported again if it goes on
		}
	}
}

func (c *Checker) checkLastingTasks(now time.Time, r room) {
	c.eachLastingTask(func(task string, cpu int64) {
		end, hasRun := c.lastEnd[task]
		missing := hasRun && len(c.runningOn[task]) == 0 && !c.mayBeMissing(task, now) && r.fits(cpu) && c.isWithinHalfQuota()
		if c.isIdleTooLong(task, missing, now) {
			c.addViolation("LOST", "%s lasts, but has not run for %.1f s, and %d milliCPU are free on a worker", task, now.Sub(end).Seconds(), r.free)
			delete(c.lastEnd, task) // reported once for each run
		}
	})
}

// isWithinHalfQuota reports whether less than half of the quota is in use, or there is none.
func (c *Checker) isWithinHalfQuota() bool { return c.quota == 0 || 2*c.reserved < c.quota }

// isIdleTooLong records whether a job or task that could run is idle now, and reports whether it has been for
// maxIdleTime, without a fault since calmBefore before.
func (c *Checker) isIdleTooLong(name string, idle bool, now time.Time) bool {
	if !idle {
		delete(c.idleSince, name)
		return false
	}
	if _, ok := c.idleSince[name]; !ok {
		c.idleSince[name] = now
	}
	calm := c.activeFaults == 0 && now.Sub(c.lastFault) >= maxIdleTime+calmBefore
	return calm && now.Sub(c.idleSince[name]) >= maxIdleTime
}

// LastingTasksMissing reports whether a lasting task is not running.
func (c *Checker) LastingTasksMissing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := false
	c.eachLastingTask(func(task string, _ int64) { missing = missing || len(c.runningOn[task]) == 0 })
	return missing
}

// mustGoOn reports whether a job was accepted, has not ended and is not to be cancelled.
func (s *jobState) mustGoOn() bool {
	return s.accepted && !s.cancelRequested && !s.hasEnded()
}

// eachLastingTask calls f with the name and the milliCPU of each long-running task of a job that must go on.
func (c *Checker) eachLastingTask(f func(task string, cpu int64)) {
	for _, s := range c.jobs {
		if !s.mustGoOn() {
			continue
		}
		for step, spec := range s.spec.Steps {
			for i := range spec.Count {
				if spec.LongRunning {
					f(taskName(s.id, step, i), spec.CPU)
				}
			}
		}
	}
}

// mayBeMissing reports whether a lasting task ended its last run so recently that it need not run again yet.
func (c *Checker) mayBeMissing(task string, now time.Time) bool {
	end, hasRun := c.lastEnd[task]
	return hasRun && now.Sub(end) < restartTime
}

// dueTask returns a task of the job whose turn has come and for which there is room. There is none in a job that may
// fail, since its end may not be known yet.
func (c *Checker) dueTask(s *jobState, r room, now time.Time) (task string, ok bool) {
	if c.mayFail(s) {
		return "", false
	}
	for step, spec := range s.spec.Steps {
		if !r.fits(spec.CPU) || !c.dependenciesDone(s, spec) {
			continue
		}
		for i := range spec.Count {
			task := taskName(s.id, step, i)
			if !c.done[task] && !(spec.LongRunning && c.mayBeMissing(task, now)) {
				return task, true
			}
		}
	}
	return "", false
}
