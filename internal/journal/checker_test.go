package journal_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

func sortIDs(ids []model.AttemptID) {
	slices.SortFunc(ids, func(a, b model.AttemptID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
	})
}

// checker verifies a history with a simple reference model. It observes the writes that took
// effect in the store, the attempts that workers executed, and the answers that callers
// received. It does not use the state of the owners.
type checker struct {
	violations []string
	// sequence and records are the last entry and all durable records of each partition.
	sequence map[model.Partition]uint64
	records  map[model.Partition][]ledger.Record
	// recordsBefore is the number of durable records before each ownership entry.
	recordsBefore    map[ownership]int
	payloads         map[string]bool
	started          map[model.AttemptID]ledger.Record
	resumeCheckpoint map[model.AttemptID]model.CheckpointID
	lastCheckpoint   map[model.JobID]model.CheckpointID
	finished         map[model.JobID]bool
	// The following hold the jobs with such a record since their last submission.
	recordedCancelled, recordedTransferred, recordedForgotten map[model.JobID]bool
	// resolved holds the attempts with a durable record of their end or refusal.
	resolved map[model.AttemptID]bool
	// onWorker and executingByJob hold the attempts that execute now; everExecuted holds every
	// attempt that was executed.
	onWorker       map[model.WorkerID]map[model.AttemptID]model.Resources
	everExecuted   map[model.AttemptID]bool
	executingByJob map[model.JobID]model.AttemptID
	// keys holds the grants and outcomes of each request key, as observed by the claim holders.
	keys               map[model.RequestKey]*keyHistory
	reportedNotWritten []string
	trace              func(format string, args ...any)
}

// ownership identifies one ownership entry of a journal.
type ownership struct {
	partition model.Partition
	epoch     model.Epoch
}

// keyHistory is the reference state of one request key.
type keyHistory struct {
	executing bool
	ran       bool
	mayRun    bool
	// retainedUntil is the time until which the key of an at-most-once request is retained.
	retainedUntil time.Time
}

func newChecker() *checker {
	return &checker{
		sequence:         map[model.Partition]uint64{},
		records:          map[model.Partition][]ledger.Record{},
		recordsBefore:    map[ownership]int{},
		payloads:         map[string]bool{},
		started:          map[model.AttemptID]ledger.Record{},
		resumeCheckpoint: map[model.AttemptID]model.CheckpointID{},
		lastCheckpoint:   map[model.JobID]model.CheckpointID{},
		finished:         map[model.JobID]bool{},
		resolved:         map[model.AttemptID]bool{},

		recordedCancelled:   map[model.JobID]bool{},
		recordedTransferred: map[model.JobID]bool{},
		recordedForgotten:   map[model.JobID]bool{},
		onWorker:            map[model.WorkerID]map[model.AttemptID]model.Resources{},
		everExecuted:        map[model.AttemptID]bool{},
		executingByJob:      map[model.JobID]model.AttemptID{},
		keys:                map[model.RequestKey]*keyHistory{},
		trace:               func(string, ...any) {},
	}
}

// reportViolation adds a violated guarantee to the result.
func (c *checker) reportViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.trace("VIOLATION %s", text)
}

// observeWrite is called for each write that took effect in the store.
func (c *checker) observeWrite(key string, value []byte) {
	if strings.HasSuffix(key, "snapshot") {
		return
	}
	var p model.Partition
	var slot int
	if _, err := fmt.Sscanf(key, "journal/%d/%d", &p, &slot); err != nil {
		c.reportViolation("unknown key %q", key)
		return
	}
	e, err := journal.DecodeEntry(value)
	if err != nil {
		c.reportViolation("key %q: %v", key, err)
		return
	}
	if e.Sequence != c.sequence[p]+1 {
		c.reportViolation("journal %d: entry %d follows entry %d", p, e.Sequence, c.sequence[p])
	}
	c.sequence[p] = e.Sequence
	if e.TakesOwnership {
		c.recordsBefore[ownership{p, e.Epoch}] = len(c.records[p])
		c.trace("store  p%d taken by %s with epoch %d", p, e.Owner, e.Epoch)
		return
	}
	c.payloads[string(e.Owner)+string(e.Payload)] = true
	records, err := ledger.DecodeRecords(e.Payload)
	if err != nil {
		c.reportViolation("journal %d entry %d: %v", p, e.Sequence, err)
	}
	for _, r := range records {
		c.trace("store  p%d %s", p, r)
		c.observeRecord(r)
	}
	c.records[p] = append(c.records[p], records...)
}

// observeRecord is called for each durable record.
func (c *checker) observeRecord(r ledger.Record) {
	id := model.AttemptID{Job: r.Job, Number: r.Attempt}
	switch r.Kind {
	case ledger.RecordSubmitted:
		c.resetJob(r.Job)
	case ledger.RecordCancelled:
		c.recordedCancelled[r.Job] = true
	case ledger.RecordTransferred:
		c.recordedTransferred[r.Job] = true
	case ledger.RecordForgotten:
		c.observeForgotten(r.Jobs)
	case ledger.RecordStarted:
		if _, twice := c.started[id]; twice {
			c.reportViolation("attempt %v was created twice", id)
		}
		if c.finished[r.Job] {
			c.reportViolation("job %s was started after it had finished", r.Job)
		}
		c.started[id] = r
		c.resumeCheckpoint[id] = c.lastCheckpoint[r.Job]
	case ledger.RecordRefused:
		c.resolved[id] = true
	case ledger.RecordEnded:
		c.resolved[id] = true
		if r.State == model.AttemptSucceeded {
			c.finished[r.Job] = true
		}
		if r.Checkpoint != "" {
			c.lastCheckpoint[r.Job] = r.Checkpoint
		}
	}
}

// resetJob clears the state of a job id when a job is submitted, since the id may be reused.
func (c *checker) resetJob(id model.JobID) {
	for _, jobs := range []map[model.JobID]bool{c.finished, c.recordedCancelled, c.recordedTransferred, c.recordedForgotten} {
		delete(jobs, id)
	}
	delete(c.lastCheckpoint, id)
}

// observeForgotten checks that only jobs that ended or were transferred are removed by a record of
// the kind RecordForgotten.
func (c *checker) observeForgotten(ids []model.JobID) {
	for _, id := range ids {
		if !c.finished[id] && !c.recordedCancelled[id] && !c.recordedTransferred[id] && !c.recordedForgotten[id] {
			c.reportViolation("job %s was removed before it ended", id)
		}
		c.recordedForgotten[id] = true
	}
}

// observeExecution is called when a worker begins an attempt.
func (c *checker) observeExecution(w model.Worker, a platform.StartAttempt) {
	id := a.Attempt
	c.trace("worker %s executes %s/%d from %q", w.ID, id.Job, id.Number, a.Checkpoint)
	if c.everExecuted[id] {
		c.reportViolation("attempt %v was executed twice", id)
	}
	c.everExecuted[id] = true
	if other, executing := c.executingByJob[id.Job]; executing {
		c.reportViolation("attempts %v and %v execute at the same time", other, id)
	}
	c.executingByJob[id.Job] = id
	r, recorded := c.started[id]
	if !recorded {
		c.reportViolation("attempt %v was executed without a durable record", id)
	}
	if recorded && (r.Worker != w.ID || *r.Reservation != a.Reservation) {
		c.reportViolation("attempt %v was executed on another worker or with another reservation than recorded", id)
	}
	if recorded && c.resumeCheckpoint[id] != a.Checkpoint {
		c.reportViolation("attempt %v resumed from %q, recorded was %q", id, a.Checkpoint, c.resumeCheckpoint[id])
	}
	if c.onWorker[w.ID] == nil {
		c.onWorker[w.ID] = map[model.AttemptID]model.Resources{}
	}
	c.onWorker[w.ID][id] = a.Reservation
	var sum model.Resources
	for _, reserved := range c.onWorker[w.ID] {
		sum = sum.Add(reserved)
	}
	if !sum.Fits(w.Capacity) {
		c.reportViolation("worker %s executes %+v with capacity %+v", w.ID, sum, w.Capacity)
	}
}

// observeEnd is called when a worker ends an attempt.
func (c *checker) observeEnd(w model.Worker, id model.AttemptID) {
	c.trace("worker %s ends %s/%d", w.ID, id.Job, id.Number)
	delete(c.onWorker[w.ID], id)
	if c.executingByJob[id.Job] == id {
		delete(c.executingByJob, id.Job)
	}
}

// observeAcknowledgement is called when a worker drops a report that was acknowledged.
func (c *checker) observeAcknowledgement(r platform.AttemptReport) {
	if !c.resolved[r.Attempt] {
		c.reportViolation("the end of attempt %v was acknowledged but has no durable record", r.Attempt)
	}
}

// observeGrant is called when a caller receives the grant of a key.
func (c *checker) observeGrant(now time.Time, r ledger.ClaimRequest) {
	c.trace("caller %s is granted %s", r.Holder, r.Key)
	k := c.keys[r.Key]
	if k == nil || !r.Exclusive && now.After(k.retainedUntil) {
		k = &keyHistory{}
		c.keys[r.Key] = k
	}
	if k.executing {
		c.reportViolation("key %s was granted while it executes", r.Key)
	}
	if k.mayRun {
		c.reportViolation("key %s was granted although it may have run", r.Key)
	}
	if k.ran && !r.Exclusive {
		c.reportViolation("key %s was granted although it ran", r.Key)
	}
	k.executing = true
	k.retainedUntil = r.Deadline.Add(ledger.ClaimRetention)
}

// observeSettlement is called when a holder ends its execution with a verdict.
func (c *checker) observeSettlement(key model.RequestKey, v verdict.Verdict) {
	k := c.keys[key]
	k.executing = false
	k.ran = k.ran || v == verdict.Ran
	k.mayRun = v == verdict.MayHaveRun
}

// observeNotWritten is called when Append reports that a batch is not in the journal.
func (c *checker) observeNotWritten(owner model.InstanceID, batch []byte) {
	c.reportedNotWritten = append(c.reportedNotWritten, string(owner)+string(batch))
}

// checkNotWritten checks at the end of a history that no batch reported as not written is in the
// journal. A delayed write may arrive until then.
func (c *checker) checkNotWritten() {
	for _, batch := range c.reportedNotWritten {
		if c.payloads[batch] {
			c.reportViolation("a batch that was reported as not written is in the journal")
		}
	}
}

// replay returns the state after the first count durable records of a partition.
func (c *checker) replay(p model.Partition, count int) *ledger.Ledger {
	l := ledger.New(p)
	for _, r := range c.records[p][:count] {
		if err := l.Apply(r); err != nil {
			c.reportViolation("partition %d: %v", p, err)
		}
	}
	return l
}
