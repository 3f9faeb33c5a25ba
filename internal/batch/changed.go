package batch

// changedJobs are the jobs whose records are to be written, in the order in which they
// changed first. Each change has a mark, so that one can wait until all changes up to a mark
// are durable while jobs go on changing.
type changedJobs struct {
	marks map[*Job]uint64
	// queue holds the jobs by their marks, with some that were taken meanwhile.
	queue []changedJob
	last  uint64
}

type changedJob struct {
	job  *Job
	mark uint64
}

func newChangedJobs() changedJobs { return changedJobs{marks: map[*Job]uint64{}} }

// add notes that a job has changed. One that waits already keeps its place.
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

// first returns the job that has waited longest; nil if none waits.
func (c *changedJobs) first() *Job {
	for len(c.queue) > 0 {
		if head := c.queue[0]; c.marks[head.job] == head.mark {
			return head.job
		}
		c.queue = c.queue[1:]
	}
	return nil
}

// oldest returns the mark of the change that has waited longest, or one that is above all
// given so far.
func (c *changedJobs) oldest() uint64 {
	if j := c.first(); j != nil {
		return c.marks[j]
	}
	return c.last + 1
}
