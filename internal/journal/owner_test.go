package journal_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// The time from sending a message to its NotAfter.
const (
	startWindow = 3 * time.Second
	leaseWindow = 2 * time.Second
)

// mutation says which safety mechanism a test disables, to prove that the checker detects its
// absence.
type mutation struct {
	sendBeforeDurable        bool // messages are sent before their records are durable
	listWithoutNewEpoch      bool // workers are listed without raising the epoch
	expireLeaseEarly         bool // a lease is declared lapsed although it was just renewed
	countRenewalOnReply      bool // a renewal counts only once it is answered
	acknowledgeBeforeDurable bool // reports are acknowledged before their records are durable
	sendAfterDeposed         bool // a deposed owner sends the messages of a batch that it could not write
	grantBeforeDurable       bool // a grant is sent to the caller before its record is durable
	snapshotBeforeBatch      bool // a snapshot is written before the batch that it includes
	renewUnconfirmed         bool // a deposed owner renews leases without confirming its ownership
	ignoreExpectedRevision   bool // the store ignores the expected revision of a compare-and-swap
}

// owner is one ownership of a partition. It mirrors the owner loop of the product: a ledger, a
// journal and the batch that is being written.
type owner struct {
	sim       *simulation
	partition *simPartition
	id        model.InstanceID
	journal   *journal.Journal
	ledger    *ledger.Ledger
	leases    map[model.WorkerID]*workerLease
	stopped   bool
	// confirmed is the time of the last confirmation of the ownership.
	confirmed time.Time
	// inCall says that the owner is within a store call, in which it may be paused.
	inCall bool

	batch    []byte
	actions  ledger.Actions
	snapshot []byte
	// replies are sent to the callers once the batch is durable; nextReplies belong to the next
	// batch.
	replies, nextReplies []func()
}

// open lets a new instance take the partition over. It returns nil if that fails.
func (p *simPartition) open(sim *simulation) *owner {
	sim.instancesOpened++
	o := &owner{sim: sim, partition: p, id: model.InstanceID(fmt.Sprintf("i%d", sim.instancesOpened)), leases: map[model.WorkerID]*workerLease{}, confirmed: sim.now}
	for _, worker := range p.workers {
		o.leases[worker.worker.ID] = &workerLease{}
	}
	ctx, cancel := sim.context()
	defer cancel()
	j, replay, err := journal.Open(ctx, sim.store, journal.Config{Partition: p.number, Owner: o.id, Slots: 8, RetryDelay: time.Nanosecond})
	if err != nil {
		sim.tracef("%s fails to open p%d", o.id, p.number)
		return nil
	}
	o.journal = j
	o.ledger = sim.load(p.number, replay)
	o.ledger.TakeOwnership(sim.now, o.id, replay.Epoch)
	p.owners = append(p.owners, o)
	return o
}

// load replays a journal and compares the state with that of the durable records.
func (sim *simulation) load(p model.Partition, replay journal.Replay) *ledger.Ledger {
	l, err := ledger.Load(p, replay.Snapshot)
	if err != nil {
		sim.checker.reportViolation("snapshot: %v", err)
		return ledger.New(p)
	}
	for _, e := range replay.Entries {
		records, err := journal.DecodeRecords(e)
		if err != nil {
			sim.checker.reportViolation("entry: %v", err)
		}
		for _, r := range records {
			if err := l.Apply(r); err != nil {
				sim.checker.reportViolation("replay: %v", err)
			}
		}
	}
	sim.compareState(p, l, sim.checker.recordsBefore[ownership{p, replay.Epoch}], "replayed")
	return l
}

// compareState compares a state with that of the first count durable records.
func (sim *simulation) compareState(p model.Partition, l *ledger.Ledger, count int, what string) {
	got, err := l.Marshal()
	if err != nil {
		sim.checker.reportViolation("marshal: %v", err)
	}
	want, _ := sim.checker.replay(p, count).Marshal()
	if !bytes.Equal(got, want) {
		sim.checker.reportViolation("partition %d: the %s state differs from the durable records", p, what)
	}
}

// flush writes one batch and sends the messages and replies that depend on it.
func (o *owner) flush() {
	if o.stopped {
		return
	}
	o.inCall = true
	defer func() { o.inCall = false }()
	if o.batch == nil && !o.formBatch() {
		return
	}
	if o.sim.mutation.sendBeforeDurable {
		o.send()
	}
	ctx, cancel := o.sim.context()
	defer cancel()
	if o.sim.mutation.snapshotBeforeBatch {
		o.saveSnapshot(ctx)
	}
	sentAt := o.sim.now
	err := o.journal.Append(ctx, o.batch)
	if err == nil {
		o.confirmed = sentAt
	}
	o.handleAppend(ctx, err)
}

// formBatch forms the next batch. It reports false if there is nothing to write.
func (o *owner) formBatch() bool {
	records, actions := o.ledger.Take()
	o.actions = actions
	o.replies, o.nextReplies = o.nextReplies, nil
	if len(records) == 0 {
		o.deliver()
		return false
	}
	o.batch, _ = journal.EncodeRecords(records)
	if o.journal.NeedsSnapshot() {
		o.snapshot, _ = o.ledger.Marshal()
	}
	return true
}

// handleAppend processes the result of an append.
func (o *owner) handleAppend(ctx context.Context, err error) {
	var deposed *journal.DeposedError
	var pending *journal.PendingError
	switch {
	case err == nil:
		o.batch = nil
		o.ledger.MarkDurable()
		o.deliver()
		o.saveSnapshot(ctx)
	case errors.As(err, &deposed):
		if deposed.NotWritten {
			o.sim.checker.observeNotWritten(o.id, o.batch)
		}
		o.stop("deposed by " + string(deposed.NewOwner))
		if o.sim.mutation.sendAfterDeposed {
			o.send()
		}
	case errors.As(err, &pending):
		o.sim.tracef("%s does not know whether its batch was written", o.id)
	}
}

// saveSnapshot writes the snapshot that was marshalled with the batch.
func (o *owner) saveSnapshot(ctx context.Context) {
	if o.snapshot == nil {
		return
	}
	err := o.journal.WriteSnapshot(ctx, o.snapshot)
	o.snapshot = nil
	if isDeposed(err) {
		o.stop("deposed while writing a snapshot")
	}
}

// stop ends the ownership. Messages that are already sent still arrive.
func (o *owner) stop(why string) {
	o.sim.tracef("%s stops: %s", o.id, why)
	o.stopped = true
}

// deliver sends the messages and the replies of a durable batch.
func (o *owner) deliver() {
	o.send()
	for _, reply := range o.replies {
		reply()
	}
	o.replies = nil
}

// send puts the messages of the batch on the network.
func (o *owner) send() {
	epoch := o.journal.Epoch()
	for _, s := range o.actions.Starts {
		o.sim.enqueue(fmt.Sprintf("start %s/%d", s.Attempt.Attempt.Job, s.Attempt.Attempt.Number), func() { o.start(epoch, s) })
	}
	for _, s := range o.actions.Signals {
		o.signal(s)
	}
	for _, t := range o.actions.Transfers {
		o.offer(t)
	}
	o.actions = ledger.Actions{}
}

// signal puts a signal on the network.
func (o *owner) signal(s ledger.Signal) {
	epoch := o.journal.Epoch()
	o.sim.enqueue(fmt.Sprintf("%s %s/%d", s.Kind, s.Attempt.Job, s.Attempt.Number), func() {
		o.partition.worker(s.Worker).signal(o.sim.now, epoch, s.Kind, s.Attempt)
	})
}

// start delivers a start message. Its answer reaches the owner unless the owner has stopped.
func (o *owner) start(e model.Epoch, s ledger.Start) {
	err := o.partition.worker(s.Worker).start(o.sim.now, e, s.Attempt)
	if o.stopped || o.sim.lost("start answer") {
		return
	}
	if errors.Is(err, errRefused) {
		o.expectNoError(o.ledger.StartRefused(o.sim.now, s.Attempt.Attempt, "refused by the worker"))
		return
	}
	if err != nil {
		o.stop("stale epoch")
	}
}

// offer sends a transfer to the owner of the other partition, which confirms it once its record
// is durable.
func (o *owner) offer(t ledger.Transfer) {
	o.sim.enqueue(fmt.Sprintf("offer %s transfer=%d", t.Spec.ID, t.Hop), func() {
		receiver := o.sim.partition(t.To).activeOwner()
		if receiver == nil || receiver.ledger.AcceptTransfer(o.sim.now, o.partition.number, t) != nil {
			return
		}
		receiver.nextReplies = append(receiver.nextReplies, func() {
			o.sim.enqueue(fmt.Sprintf("confirm %s transfer=%d", t.Spec.ID, t.Hop), func() {
				if source := o.partition.activeOwner(); source != nil {
					source.expectNoError(source.ledger.TransferConfirmed(o.sim.now, t.Spec.ID, t.Hop))
				}
			})
		})
	})
}

// claim requests a key on behalf of a caller, which receives the grant once its record is durable.
func (o *owner) claim(r ledger.ClaimRequest) {
	if _, err := o.ledger.Claim(o.sim.now, r); err != nil {
		return
	}
	grant := func() {
		o.sim.checker.observeGrant(o.sim.now, r)
		o.sim.grantedClaims = append(o.sim.grantedClaims, r)
	}
	if o.sim.mutation.grantBeforeDurable {
		grant()
		return
	}
	o.nextReplies = append(o.nextReplies, grant)
}

// settle records the verdict of a request.
func (o *owner) settle(r ledger.ClaimRequest, v verdict.Verdict) {
	o.expectNoError(o.ledger.Settle(o.sim.now, r.Key, r.Holder, v))
}

// expectNoError reports an error that no injected fault can cause.
func (o *owner) expectNoError(err error) {
	if err != nil {
		o.sim.checker.reportViolation("%s: %v", o.id, err)
	}
}
