package ledger

import (
	"cmp"
	"slices"

	"github.com/geraniumwick/geraniumwick/internal/model"
)

// jobQueue holds jobs in order of submission. A job that stops waiting is not removed at
// once: its entry is skipped and dropped by the next compaction, so that a burst of
// cancellations costs constant time each.
type jobQueue struct {
	entries []*job
}

// before orders jobs by submission, then by id.
func before(a, b *job) int {
	if c := a.submitted.Compare(b.submitted); c != 0 {
		return c
	}
	return cmp.Compare(a.spec.ID, b.spec.ID)
}

// add inserts a job at its place, unless an entry of it is still there.
func (q *jobQueue) add(j *job) {
	if j.listed {
		return
	}
	j.listed = true
	last := len(q.entries) - 1
	if last < 0 || before(q.entries[last], j) < 0 {
		q.entries = append(q.entries, j)
		return
	}
	at, _ := slices.BinarySearchFunc(q.entries, j, before)
	q.entries = slices.Insert(q.entries, at, j)
}

// compact drops the entries of jobs that no longer wait.
func (q *jobQueue) compact() []*job {
	q.entries = slices.DeleteFunc(q.entries, func(j *job) bool {
		j.listed = j.state == model.JobQueued
		return !j.listed
	})
	return q.entries
}
