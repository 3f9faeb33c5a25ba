package batch

// changedJobs is a queue of the jobs whose records have to be written, in the order of their first
// change since they were last taken. Each has a mark, a number that rises, which lets a caller wait until
// all changes up to a mark are durable while further changes follow.
type changedJobs struct {
	marks map[*Job]uint64
	// queue holds the jobs in the order of their marks. Entries whose mark differs from that in marks
	// were taken out of order; first skips them.
	queue []changedJob
	last  uint64
}

type changedJob struct {
	job  *Job
	mark uint64
}

func newChangedJobs() changedJobs { return changedJobs{marks: map[*Job]uint64{}} }

// add notes that a job has changed. A job that is in the queue keeps its position.
func (c *changedJobs) add(j *Job) {
	if c.has(j) {
		return
	}
	c.last++
	c.marks[j] = c.last
	c.queue = append(c.queue, changedJob{job: j, mark: c.last})
}

func (c *changedJobs) has(j *Job) bool {
	_, ok := c.marks[j]
	return ok
}

func (c *changedJobs) remove(j *Job) { delete(c.marks, j) }

func (c *changedJobs) len() int { return len(c.marks) }

// first returns the job that has waited longest, or nil.
func (c *changedJobs) first() *Job {
	for len(c.queue) > 0 {
		if head := c.queue[0]; c.marks[head.job] == head.mark {
			return head.job
		}
		c.queue = c.queue[1:]
	}
	return nil
}

// oldest returns the mark of the job that has waited longest. If none waits, it returns last plus 1.
func (c *changedJobs) oldest() uint64 {
	if j := c.first(); j != nil {
		return c.marks[j]
	}
	return c.last + 1
}
