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

// checker judges a history naively. It sees the writes of the store, what the workers
// executed, and what callers were told; it knows nothing of owners.
type checker struct {
	violations []string
	// sequence and records are the durable history of each partition.
	sequence map[model.Partition]uint64
	records  map[model.Partition][]ledger.Record
	// taken is the number of records before each ownership.
	recordsBefore    map[ownership]int
	payloads         map[string]bool
	started          map[model.AttemptID]ledger.Record
	resumeCheckpoint map[model.AttemptID]model.CheckpointID
	lastCheckpoint   map[model.JobID]model.CheckpointID
	finished         map[model.JobID]bool
	// withdrawn, moved and forgotten hold the jobs with such a record since their submission.
	recordedCancelled, recordedTransferred, recordedForgotten map[model.JobID]bool
	// resolved holds the attempts whose end is on record.
	resolved map[model.AttemptID]bool
	// onWorker is what executes now, and ever what was executed at any time.
	onWorker       map[model.WorkerID]map[model.AttemptID]model.Resources
	everExecuted   map[model.AttemptID]bool
	executingByJob map[model.JobID]model.AttemptID
	// keys is what the holders of claims were told and did.
	keys               map[model.RequestKey]*keyHistory
	reportedNotWritten []string
	trace              func(format string, args ...any)
}

// ownership is one ownership entry of a journal.
type ownership struct {
	partition model.Partition
	epoch     model.Epoch
}

// keyHistory is the naive view of one request key.
type keyHistory struct {
	executing bool
	ran       bool
	mayRun    bool
	// remembered is how long the key of a request that runs at most once is remembered.
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

// violate notes a broken promise.
func (c *checker) reportViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.trace("VIOLATION %s", text)
}

// written sees a write that took effect in the store.
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

// recorded sees one durable record.
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

// resubmitted begins the life of a job, perhaps under the id of a former one.
func (c *checker) resetJob(id model.JobID) {
	for _, marks := range []map[model.JobID]bool{c.finished, c.recordedCancelled, c.recordedTransferred, c.recordedForgotten} {
		delete(marks, id)
	}
	delete(c.lastCheckpoint, id)
}

// forget checks that only jobs that ended or moved are forgotten.
func (c *checker) observeForgotten(ids []model.JobID) {
	for _, id := range ids {
		if !c.finished[id] && !c.recordedCancelled[id] && !c.recordedTransferred[id] && !c.recordedForgotten[id] {
			c.reportViolation("job %s was forgotten before it ended", id)
		}
		c.recordedForgotten[id] = true
	}
}

// executed sees a worker begin an attempt.
func (c *checker) observeExecution(w model.Worker, a platform.StartAttempt) {
	id := a.Attempt
	c.trace("worker %s executes %s/%d from %q", w.ID, id.Job, id.Number, a.Checkpoint)
	if c.everExecuted[id] {
		c.reportViolation("attempt %v was executed twice", id)
	}
	c.everExecuted[id] = true
	if other, inCall := c.executingByJob[id.Job]; inCall {
		c.reportViolation("attempts %v and %v execute at the same time", other, id)
	}
	c.executingByJob[id.Job] = id
	r, recorded := c.started[id]
	if !recorded {
		c.reportViolation("attempt %v was executed without a durable record", id)
	}
	if recorded && (r.Worker != w.ID || *r.Reservation != a.Reservation) {
		c.reportViolation("attempt %v was executed otherwise than recorded", id)
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

// ended sees a worker end an attempt.
func (c *checker) ended(w model.Worker, id model.AttemptID) {
	c.trace("worker %s ends %s/%d", w.ID, id.Job, id.Number)
	delete(c.onWorker[w.ID], id)
	if c.executingByJob[id.Job] == id {
		delete(c.executingByJob, id.Job)
	}
}

// acknowledged sees a worker forget a report.
func (c *checker) observeAcknowledgement(r platform.AttemptReport) {
	if !c.resolved[r.Attempt] {
		c.reportViolation("the end of attempt %v was acknowledged but is not on record", r.Attempt)
	}
}

// granted sees a caller being told that it may execute a key.
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

// settled sees a holder end its execution with a verdict.
func (c *checker) observeSettlement(key model.RequestKey, v verdict.Verdict) {
	k := c.keys[key]
	k.executing = false
	k.ran = k.ran || v == verdict.Ran
	k.mayRun = v == verdict.MayHaveRun
}

// notWritten sees an owner being told that a batch is not in the journal.
func (c *checker) observeNotWritten(owner model.InstanceID, batch []byte) {
	c.reportedNotWritten = append(c.reportedNotWritten, string(owner)+string(batch))
}

// conclude checks what can be judged only at the end.
func (c *checker) checkNotWritten() {
	for _, batch := range c.reportedNotWritten {
		if c.payloads[batch] {
			c.reportViolation("a batch that was said not to be written is in the journal")
		}
	}
}

// replay returns the state that the first durable records of a partition amount to.
func (c *checker) replay(p model.Partition, count int) *ledger.Ledger {
	l := ledger.New(p)
	for _, r := range c.records[p][:count] {
		if err := l.Apply(r); err != nil {
			c.reportViolation("partition %d: %v", p, err)
		}
	}
	return l
}
