package batch

import "slices"

// Changes are changes of jobs. They tell when the store holds all of them.
type Changes []jobChange

// jobChange is a change of a job, with the sequence number of the entry of changedJobs that holds it.
type jobChange struct {
	job *Job
	seq uint64
}

// ChangesBy returns the changes that follow from reported ends, which ApplyReport has processed. It holds each job once.
func (s *State) ChangesBy(ended []EndedAttempt) Changes {
	var out Changes
	for _, e := range ended {
		j := s.jobs[e.Task.Job]
		if j == nil || slices.ContainsFunc(out, func(c jobChange) bool { return c.job == j }) {
			continue
		}
		out = append(out, jobChange{job: j, seq: j.changedSeq})
	}
	return out
}

// AreStored reports whether the store holds all changes. Changes that follow them do not matter.
func (c Changes) AreStored() bool {
	return !slices.ContainsFunc(c, func(c jobChange) bool { return c.job.storedSeq < c.seq })
}

// areTaken reports whether all changes were taken for the store.
func (c Changes) areTaken() bool {
	return !slices.ContainsFunc(c, func(c jobChange) bool { return c.job.takenSeq < c.seq })
}
