package owner

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// committer writes the records of the owner, one transaction after the other.
type committer struct {
	rev int64 // revision of the head
	// number is the number of the newest transaction.
	number int64
	// inFlight is the first of the transactions that are being sent and have no known outcome yet; nil if none.
	inFlight *recordTxn
	// lastSent is when the newest transactions were built.
	lastSent time.Time
	// settled is set once a transaction has said that no lease of an earlier owner lasts any more.
	settled bool
	// interferenceSaved is when the interference weights were last written.
	interferenceSaved time.Time
	timer             <-chan time.Time
	// pending are the renewal parameters that wait for changed records to become durable, the oldest first and at most
	// maxPendingParams of each kind for a renewer.
	pending map[*renewer][]pendingParams
}

// pendingParams are renewal parameters that wait until no stored workers record can say that the lease that they renew
// ends, and if they acknowledge ended attempts, which the worker may then discard, until the changes of jobs are durable.
type pendingParams struct {
	params renewalParams
	// txnNumber is the number of the transaction that must be durable for the renewal, and changes those that must be stored
	// for the acknowledgement.
	txnNumber int64
	changes   batch.Changes
}

// due fires when the next transaction may be sent.
func (c *committer) due() <-chan time.Time { return c.timer }

// setParamsWhenDurable passes the parameters to the renewer once all that they depend on is durable: the changes that follow
// from the ends that they acknowledge, and no others. The lease can be renewed before the ends are acknowledged.
func (l *leader) setParamsWhenDurable(i renewalParams, ended []batch.EndedAttempt, rn *renewer) {
	if i.ackSeq > 0 {
		renewal := i
		renewal.ackSeq, renewal.awaitsAck = 0, true
		l.setOnceDurable(renewal, nil, rn)
	}
	l.setOnceDurable(i, l.state.ChangesBy(ended), rn)
}

// maxPendingParams is how many parameters of one kind may wait for a renewer: the oldest, which become durable first, and
// the newest. A worker reports again and again while it waits.
const maxPendingParams = 2

// setOnceDurable passes the parameters to the renewer at once if all that they depend on is durable, and otherwise lets
// them wait.
func (l *leader) setOnceDurable(i renewalParams, changes batch.Changes, rn *renewer) {
	p := pendingParams{params: i, txnNumber: l.workersRecord.requiredTxn(rn.info.ID, l.commits.number+1), changes: changes}
	if l.isDurable(p) {
		rn.setParams(i)
		return
	}
	l.commits.addPending(rn, p)
}

// addPending adds parameters that wait. They replace those of earlier generations, which the renewer ignores, and the
// newest of their kind if maxPendingParams wait.
func (c *committer) addPending(rn *renewer, p pendingParams) {
	if c.pending == nil {
		c.pending = map[*renewer][]pendingParams{}
	}
	c.pending[rn] = slices.DeleteFunc(c.pending[rn], func(q pendingParams) bool { return q.params.generation < p.params.generation })
	waiting, newest := 0, 0
	for i, q := range c.pending[rn] {
		if q.params.awaitsAck == p.params.awaitsAck {
			waiting, newest = waiting+1, i
		}
	}
	if waiting >= maxPendingParams {
		c.pending[rn][newest] = p
		return
	}
	c.pending[rn] = append(c.pending[rn], p)
}

// passDurable passes the parameters that wait no longer to their renewers.
func (l *leader) passDurable() {
	for rn, pending := range l.commits.pending {
		left := slices.DeleteFunc(pending, func(p pendingParams) bool {
			if !l.isDurable(p) {
				return false
			}
			// The worker may have had to lapse meanwhile.
			p.params.renew = p.params.renew && !l.state.MustLapse(rn.info.ID)
			rn.setParams(p.params)
			return true
		})
		if len(left) == 0 {
			delete(l.commits.pending, rn)
			continue
		}
		l.commits.pending[rn] = left
	}
}

// isDurable reports whether all changes that the parameters wait for are durable.
func (l *leader) isDurable(p pendingParams) bool {
	return p.txnNumber <= l.commits.lastDurable() && p.changes.AreStored()
}

// lastDurable returns the number of the newest durable transaction.
func (c *committer) lastDurable() int64 {
	if c.inFlight != nil {
		return c.inFlight.number - 1
	}
	return c.number
}

// headConditions is the number of conditions of a transaction, that on the head.
const headConditions = 1

// maxRecordsPerTxn is the largest number of job records in a transaction. It reserves entries for the
// condition on the head, the head itself, the workers record and the interference weights.
const maxRecordsPerTxn = kv.MaxTxnEntries - 5

// interferenceInterval is the shortest time between two writes of the interference weights.
const interferenceInterval = 2 * time.Second

// maxTxnsInFlight is the largest number of full transactions that are sent one after the other without a turn of the loop
// in between. Under load a turn takes many times as long as a transaction.
const maxTxnsInFlight = 4

// commit sends the next transactions if there is something to write, none is in flight and the
// interval since the last ones has passed.
func (l *leader) commit(now time.Time) {
	c := &l.commits
	c.timer = nil
	l.workersRecord.noteEndedLeases(now)
	l.workersRecord.noteUnused(l.state.WorkersInUse, now)
	if c.inFlight != nil || l.state.DirtyJobs() == 0 && !l.workersRecord.dirty && len(l.forgotten.unremoved) == 0 && !l.mustRefreshHead(now) {
		return
	}
	interval := commitInterval
	if l.state.HasUrgentRecords() || l.state.DirtyJobs() >= maxRecordsPerTxn {
		interval = urgentInterval
	}
	if wait := interval - now.Sub(c.lastSent); wait > 0 {
		c.timer = time.After(wait)
		return
	}
	built := time.Now()
	t := l.nextTxns(now)
	l.records.built += time.Since(built)
	c.inFlight, c.lastSent = t, now
	go l.writeTxns(t, c.rev)
}

// nextTxns builds the next transaction and, while starts wait for further records and enough wait to fill a transaction,
// those that follow it. Records that starts wait for later would not come before these.
func (l *leader) nextTxns(now time.Time) *recordTxn {
	first := l.nextTxn(now)
	last := first
	for range maxTxnsInFlight - 1 {
		if !l.state.HasUrgentRecords() || l.state.DirtyJobs() < maxRecordsPerTxn {
			break
		}
		last.next = l.nextTxn(now)
		last = last.next
	}
	return first
}

// writeTxns sends transactions in their order. rev is the revision of the head before the first one.
func (l *leader) writeTxns(t *recordTxn, rev int64) {
	for ; t != nil; t = t.next {
		t.txn.If = []kv.Condition{{Key: headKey, Rev: rev}}
		var ok bool
		if rev, ok = l.writeTxn(t); !ok {
			return
		}
		stored, revision := t, rev
		l.post(func(l *leader, _ time.Time) { l.committed(stored, revision) })
	}
}

// mustRefreshHead reports whether the head must be written for what it says of the leases of earlier owners: once they
// have ended, and every leaseRefreshInterval until then.
func (l *leader) mustRefreshHead(now time.Time) bool {
	return !l.commits.settled && (l.isSettled(now) || now.Sub(l.commits.lastSent) >= leaseRefreshInterval)
}

// nextTxn builds the next transaction from the changed records.
func (l *leader) nextTxn(now time.Time) *recordTxn {
	c := &l.commits
	c.number++
	t := &recordTxn{number: c.number}
	urgent := l.state.UrgentRecords()
	t.records = l.state.TakeDirty(maxRecordsPerTxn)
	t.urgent = urgent - l.state.UrgentRecords()
	head := commitHead{
		Epoch: l.epoch, Number: c.number, Owner: l.owner.process(),
		Settled: l.isSettled(now),
	}
	if !head.Settled {
		head.Earlier = l.held.claim.formerOwners()
		// The next owner adds what leases of unsettled workers last longer; 0 would say that nothing is known.
		head.EarlierLeases = max(1, l.earlierLeases(now)-l.workersRecord.unsettledExtra)
	}
	c.settled = head.Settled
	t.txn.Set = []kv.Write{{Key: headKey, Value: encode(head)}}
	for id, r := range t.records {
		t.txn.Set = append(t.txn.Set, kv.Write{Key: RecordKey(id), Value: l.encodeRecord(id, r)})
	}
	if l.workersRecord.dirty {
		l.workersRecord.maxBytes = l.owner.limits.Load().MaxValueBytes
		for _, id := range l.workersRecord.addTo(t, l.state.WorkersInUse(), now) {
			l.state.MarkUnrecorded(id)
		}
	}
	if now.Sub(c.interferenceSaved) > interferenceInterval {
		c.interferenceSaved = now
		t.txn.Set = append(t.txn.Set, kv.Write{Key: interferenceKey, Value: l.encodeInterference()})
	}
	l.removeForgotten(t, kv.MaxTxnEntries-headConditions-len(t.txn.Set))
	return t
}

// encodeInterference encodes the interference weights, as many of those that were measured last as the store takes.
func (l *leader) encodeInterference() []byte {
	weights := l.state.Interference()
	value := encode(weights)
	for len(value) > l.owner.limits.Load().MaxValueBytes && len(weights) > 0 {
		weights = weights[:len(weights)/2]
		value = encode(weights)
	}
	return value
}

// encodeRecord encodes the record of a job, without what can be spared if it is larger than the store takes.
func (l *leader) encodeRecord(id string, r batch.Record) []byte {
	value := encode(r)
	limit := l.owner.limits.Load().MaxValueBytes
	for reduced := range r.Reductions() {
		if len(value) <= limit {
			break
		}
		l.logOversized("record.reduced", RecordKey(id), len(value))
		value = encode(reduced)
	}
	return value
}

// commitOutcome is the outcome of one attempt of a transaction.
type commitOutcome struct {
	rev int64
	err error
}

// writeTxn sends a transaction until its outcome is known, again and again if the answer may be lost, and returns the
// revision of the head. All attempts are identical; their condition on the head prevents a second execution. It returns
// false if the leadership ends first.
func (l *leader) writeTxn(t *recordTxn) (int64, bool) {
	attempts := repetition[commitOutcome]{
		try: func(ctx context.Context, n int) commitOutcome {
			if n == 1 {
				return l.tryTxn(ctx, t, firstCommitTimeout)
			}
			return l.tryTxn(ctx, t, commitTimeout)
		},
		interval:  commitRepeatInterval,
		mayRepeat: func() bool { return true },
	}
	var outcome commitOutcome
	decide := func(o commitOutcome, _ int) bool {
		outcome = o
		return o.err == nil || errors.Is(o.err, errSuperseded) || errors.Is(o.err, kv.ErrInvalid)
	}
	_, decided := attempts.run(l.ctx, decide)
	for decided && errors.Is(outcome.err, kv.ErrInvalid) && l.setAsideLargest(t) {
		_, decided = attempts.run(l.ctx, decide)
	}
	if decided && outcome.err != nil {
		l.stepDown(outcome.err.Error())
	}
	return outcome.rev, decided && outcome.err == nil
}

// setAsideLargest takes the largest value out of a transaction that the store refuses for its content, so that it does not keep the
// others from being stored. It returns false if only the head is left.
func (l *leader) setAsideLargest(t *recordTxn) bool {
	largest := -1
	for i, w := range t.txn.Set {
		if w.Key != headKey && (largest < 0 || len(w.Value) > len(t.txn.Set[largest].Value)) {
			largest = i
		}
	}
	if largest < 0 {
		return false
	}
	w := t.txn.Set[largest]
	t.txn.Set = slices.Delete(t.txn.Set, largest, largest+1)
	if w.Key == workersKey {
		t.workers = nil
	}
	l.logOversized("value.set-aside", w.Key, len(w.Value))
	return true
}

// logOversized logs and counts a value that the store does not take, once for each key and size.
func (l *leader) logOversized(event, key string, size int) {
	l.owner.opts.Scope.Tagged(map[string]string{"event": event}).Counter("oversized_values").Inc(1)
	if l.oversized.New(key, event+strconv.Itoa(size)) {
		l.log.Error().Str("event", event).Str("key", key).Int("bytes", size).Int("limit", l.owner.limits.Load().MaxValueBytes).Send()
	}
}

// tryTxn makes one attempt of a transaction.
func (l *leader) tryTxn(ctx context.Context, t *recordTxn, timeout time.Duration) commitOutcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rev, err := l.owner.store.Commit(ctx, t.txn)
	if errors.Is(err, kv.ErrConflict) {
		rev, err = l.resolveConflict(ctx, t)
	}
	return commitOutcome{rev: rev, err: err}
}

// errSuperseded means that another owner has taken over.
var errSuperseded = errors.New("another owner has written the head")

// resolveConflict finds out whether a conflict was caused by an earlier attempt of the same
// transaction that was executed although its response was lost. It returns errSuperseded if not.
func (l *leader) resolveConflict(ctx context.Context, t *recordTxn) (int64, error) {
	head, rev, err := l.owner.readHead(ctx)
	if err != nil {
		return 0, err
	}
	if head.Epoch == l.epoch && head.Number == t.number {
		return rev, nil
	}
	return 0, errSuperseded
}

// committed updates the state after a transaction has become durable.
func (l *leader) committed(t *recordTxn, rev int64) {
	c := &l.commits
	c.inFlight, c.rev = t.next, rev
	l.records.addTxn(t, time.Since(c.lastSent))
	l.state.MarkStored(t.records)
	l.forgotten.noteRemoved(t.forgotten, rev)
	for _, id := range t.workers {
		l.workersRecord.durable[id] = true
		l.state.MarkRecorded(id)
	}
	l.passDurable()
}

// JobStatus is the owner's view of a job. Known is false if the owner has no such job.
type JobStatus struct {
	Known  bool
	Status batch.JobStatus
}
