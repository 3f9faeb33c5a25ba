package soak

import "time"

const (
	// restartTime is how long after the end of its last run a lasting task may be missing anyway.
	restartTime = 6 * time.Second
	// maxMissingTime is how long a lasting task may be missing then, and calmBefore how long before it there
	// must be no fault.
	maxMissingTime = 3 * time.Second
	calmBefore     = 4 * time.Second
	// roomFactor is how many times a task must fit on a worker that counts as having room for it.
	roomFactor = 2
)

// RecordFaultBegin records that a fault begins, and RecordFaultEnd that it is over.
func (c *Checker) RecordFaultBegin() { c.recordFault(1) }

// RecordFaultEnd records that a fault is over.
func (c *Checker) RecordFaultEnd() { c.recordFault(-1) }

func (c *Checker) recordFault(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults += change
	c.lastFault = time.Now()
}

// CheckLastingTasks checks that lasting tasks run; freeCPU is the free capacity of the worker with the most, in
// milliCPU. LOST is violated if a task that has run is missing for maxMissingTime, beginning restartTime after
// its last run or later, with room for it all the while and no fault since calmBefore before.
func (c *Checker) CheckLastingTasks(now time.Time, freeCPU int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calm := c.activeFaults == 0 && now.Sub(c.lastFault) >= maxMissingTime+calmBefore
	c.eachLastingTask(func(task string, cpu int64) {
		end, hasRun := c.lastEnd[task]
		if !hasRun || len(c.runningOn[task]) > 0 || now.Sub(end) < restartTime || freeCPU < roomFactor*cpu {
			delete(c.missingSince, task)
			return
		}
		if _, ok := c.missingSince[task]; !ok {
			c.missingSince[task] = now
		}
		if calm && now.Sub(c.missingSince[task]) >= maxMissingTime {
			c.addViolation("LOST", "%s lasts, but has not run for %.1f s, and %d milliCPU are free on a worker", task, now.Sub(end).Seconds(), freeCPU)
			delete(c.lastEnd, task) // reported once for each run
		}
	})
}

// LastingTasksMissing reports whether a lasting task is not running.
func (c *Checker) LastingTasksMissing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := false
	c.eachLastingTask(func(task string, _ int64) { missing = missing || len(c.runningOn[task]) == 0 })
	return missing
}

// eachLastingTask calls f with the name and the milliCPU of each long-running task of a job that was accepted,
// has not failed and is not to be cancelled.
func (c *Checker) eachLastingTask(f func(task string, cpu int64)) {
	for _, s := range c.jobs {
		if !s.accepted || s.cancelRequested || s.lastState == "failed" || s.lastState == "cancelled" {
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
