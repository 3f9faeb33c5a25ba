package soak

import "slices"

// UnfinishedJobs returns the jobs that were accepted, or may have been, and that no caller has been
// told to have ended.
func (c *Checker) UnfinishedJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, s := range c.jobs {
		if (s.accepted || s.outcomeUnknown && !s.reportedMissing) && !s.hasEnded() {
			out = append(out, id)
		}
	}
	return out
}

// Ended reports whether a caller has been told that a job has ended.
func (c *Checker) Ended(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id].hasEnded()
}

// LongRunning reports whether a job runs until it is cancelled.
func (c *Checker) LongRunning(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.jobs[id].spec.Steps, func(s stepSpec) bool { return s.LongRunning })
}

// Crashes reports whether a job has a task that crashes the workers that start it.
func (c *Checker) Crashes(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.jobs[id].spec.Steps, func(s stepSpec) bool { return s.crashes })
}

// Counts returns the numbers of accepted jobs and of starts.
func (c *Checker) Counts() (accepted, starts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.jobs {
		if s.accepted {
			accepted++
		}
	}
	return accepted, c.starts
}
