package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// committer writes the records of the owner, one transaction at a time.
type committer struct {
	rev    int64 // revision of the head
	number int64
	flying *batchTxn
	last   time.Time
	// learned is when what the policy has learned was written last.
	learned time.Time
	timer   <-chan time.Time
	// acks wait for the records that are dirty or in flight.
	acks []ack
}

// ack is an acknowledgement that waits until all that changed before it is durable.
type ack struct {
	next instruction
	to   *holder
	// after is the number of the transaction with the list of workers, and mark the last
	// change of a job.
	after int64
	mark  uint64
}

// due fires when the next transaction may be sent.
func (c *committer) due() <-chan time.Time { return c.timer }

// whenDurable sends the instruction once all that is changed or in flight now is durable.
// What changes later does not hold it up.
func (l *leader) whenDurable(next instruction, to *holder) {
	a := ack{next: next, to: to, after: l.commits.number, mark: l.state.LastChange()}
	if l.known.dirty {
		a.after++
	}
	if l.isDurable(a) {
		to.instruct(next)
		return
	}
	l.commits.acks = append(l.commits.acks, a)
}

// isDurable reports whether all that an acknowledgement waits for is durable.
func (l *leader) isDurable(a ack) bool {
	c := &l.commits
	return a.after <= c.durable() && a.mark < l.state.OldestChange() && (c.flying == nil || a.mark < c.flying.oldest)
}

// durable returns the number of the last transaction that is durable.
func (c *committer) durable() int64 {
	if c.flying != nil {
		return c.number - 1
	}
	return c.number
}

// maxRecords is the number of records in one transaction, which also holds the head and
// the list of workers and names the head as a condition.
const maxRecords = kv.MaxTxnEntries - 5

// learnedInterval is the pause between two writes of what the policy has learned.
const learnedInterval = 2 * time.Second

// commit sends the next transaction if there is something to write.
func (l *leader) commit(now time.Time) {
	c := &l.commits
	c.timer = nil
	if c.flying != nil || l.state.DirtyJobs() == 0 && !l.known.dirty && len(l.erased) == 0 {
		return
	}
	interval := commitInterval
	if l.state.HasUrgentRecords() {
		interval = urgentInterval
	}
	if wait := interval - now.Sub(c.last); wait > 0 {
		c.timer = time.After(wait)
		return
	}
	t := l.nextTxn(now)
	c.flying, c.last = t, now
	go l.write(t)
}

func (l *leader) nextTxn(now time.Time) *batchTxn {
	c := &l.commits
	c.number++
	t := &batchTxn{number: c.number, oldest: l.state.OldestChange(), records: l.state.TakeDirty(maxRecords)}
	t.txn.If = []kv.Condition{{Key: headKey, Rev: c.rev}}
	t.txn.Set = []kv.Write{{Key: headKey, Value: encode(commitHead{Epoch: l.epoch, Number: c.number})}}
	for id, r := range t.records {
		t.txn.Set = append(t.txn.Set, kv.Write{Key: RecordKey(id), Value: encode(r)})
	}
	if l.known.dirty {
		l.known.write(t, l.state.WorkersInUse())
	}
	if now.Sub(c.learned) > learnedInterval {
		c.learned = now
		t.txn.Set = append(t.txn.Set, kv.Write{Key: learnedKey, Value: encode(l.state.Interference())})
	}
	l.erase(t, kv.MaxTxnEntries-len(t.txn.If)-len(t.txn.Set))
	return t
}

// write sends a transaction until its outcome is known. A retry is the identical
// transaction: the head admits it once.
func (l *leader) write(t *batchTxn) {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, commitTimeout)
		rev, err := l.owner.store.Commit(ctx, t.txn)
		if errors.Is(err, kv.ErrConflict) {
			rev, err = l.resolve(ctx, t)
		}
		cancel()
		if err == nil {
			l.post(func(l *leader, _ time.Time) { l.committed(t, rev) })
			return
		}
		if errors.Is(err, errDeposed) {
			l.end("another owner wrote the head")
			return
		}
		pause.For(l.ctx, storeRetry)
	}
}

var errDeposed = errors.New("another owner wrote the head")

// resolve finds out whether a transaction that conflicts is our own earlier try.
func (l *leader) resolve(ctx context.Context, t *batchTxn) (int64, error) {
	head, rev, err := l.owner.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if head.Epoch == l.epoch && head.Number == t.number {
		return rev, nil
	}
	return 0, errDeposed
}

// committed takes in that a transaction is durable.
func (l *leader) committed(t *batchTxn, rev int64) {
	c := &l.commits
	c.flying, c.rev = nil, rev
	l.state.MarkStored(t.records)
	for _, id := range t.known {
		l.known.stored[id] = true
		l.state.MarkRecorded(id)
	}
	c.acks = slices.DeleteFunc(c.acks, func(a ack) bool {
		if !l.isDurable(a) {
			return false
		}
		a.to.instruct(a.next)
		return true
	})
}

// JobStatus is what an owner says of a job.
type JobStatus struct {
	Known  bool
	Status batch.JobStatus
}
