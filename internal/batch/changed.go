package batch

// changedJobs is a queue of the jobs whose records have to be written, in the order of their first
// change since they were last taken. Each entry has a sequence number, which its job keeps as its
// changedSeq; this lets a caller wait for the changes made so far while further changes follow.
type changedJobs struct {
	seqs map[*Job]uint64
	// queue holds the jobs by rising sequence number. Entries whose number differs from that in seqs
	// were taken out of order; oldestJob skips them.
	queue   []changedJob
	lastSeq uint64 // sequence number given last
}

type changedJob struct {
	job *Job
	seq uint64
}

func newChangedJobs() changedJobs { return changedJobs{seqs: map[*Job]uint64{}} }

// add notes that a job has changed. A job that is in the queue keeps its position.
func (c *changedJobs) add(j *Job) {
	if c.has(j) {
		return
	}
	c.lastSeq++
	c.seqs[j], j.changedSeq = c.lastSeq, c.lastSeq
	c.queue = append(c.queue, changedJob{job: j, seq: c.lastSeq})
}

func (c *changedJobs) has(j *Job) bool {
	_, ok := c.seqs[j]
	return ok
}

// take removes a job, whose changes are taken for the store.
func (c *changedJobs) take(j *Job) {
	j.takenSeq = j.changedSeq
	delete(c.seqs, j)
}

func (c *changedJobs) len() int { return len(c.seqs) }

// oldestJob returns the job that has waited longest, or nil.
func (c *changedJobs) oldestJob() *Job {
	for len(c.queue) > 0 {
		if head := c.queue[0]; c.seqs[head.job] == head.seq {
			return head.job
		}
		c.queue = c.queue[1:]
	}
	return nil
}

// oldestSeq returns the sequence number of the job that has waited longest. If none waits, it returns
// lastSeq plus 1.
func (c *changedJobs) oldestSeq() uint64 {
	if j := c.oldestJob(); j != nil {
		return c.seqs[j]
	}
	return c.lastSeq + 1
}
