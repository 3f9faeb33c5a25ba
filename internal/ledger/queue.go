package ledger

import (
	"cmp"
	"slices"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// jobQueue holds the queued jobs in order of submission. A job that leaves the queue is not
// removed at once: the next compaction removes its entry, so that each cancellation of a burst
// takes constant time.
type jobQueue struct {
	entries []*job
}

// compareSubmission orders jobs by submission, then by id.
func compareSubmission(a, b *job) int {
	if c := a.submitted.Compare(b.submitted); c != 0 {
		return c
	}
	return cmp.Compare(a.spec.ID, b.spec.ID)
}

// add inserts a job in order, unless the queue still holds an entry of it.
func (q *jobQueue) add(j *job) {
	if j.hasQueueEntry {
		return
	}
	j.hasQueueEntry = true
	last := len(q.entries) - 1
	if last < 0 || compareSubmission(q.entries[last], j) < 0 {
		q.entries = append(q.entries, j)
		return
	}
	at, _ := slices.BinarySearchFunc(q.entries, j, compareSubmission)
	q.entries = slices.Insert(q.entries, at, j)
}

// compact removes the entries of jobs that are no longer queued and returns the others.
func (q *jobQueue) compact() []*job {
	q.entries = slices.DeleteFunc(q.entries, func(j *job) bool {
		j.hasQueueEntry = j.state == model.JobQueued
		return !j.hasQueueEntry
	})
	return q.entries
}
