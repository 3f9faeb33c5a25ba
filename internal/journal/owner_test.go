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

// The time from a message to its NotAfter.
const (
	startWindow = 3 * time.Second
	leaseWindow = 2 * time.Second
)

// breakage is a mechanism that a test switches off to see the checker fail.
type breakage struct {
	sendEarly      bool // messages go out before their records are durable
	listUnfenced   bool // workers are listed without raising the epoch
	goneEarly      bool // a lease is taken for lapsed although it was just renewed
	lateExpiry     bool // a renewal counts only once it is answered
	ackEarly       bool // reports are acknowledged before their records are durable
	noDeposal      bool // a deposed owner goes on sending what it could not write
	forgetClaim    bool // a grant is told before its record is durable
	earlySnapshot  bool // a snapshot is written before the batch that it includes
	endlessRenewal bool // a deposed owner renews leases without confirming its ownership
	blindWrites    bool // the store ignores the expected version of a compare-and-swap
}

// owner is one ownership of a partition, as the owner loop holds it: a ledger, a journal
// and the batch that is being written.
type owner struct {
	world    *world
	part     *part
	id       model.InstanceID
	journal  *journal.Journal
	ledger   *ledger.Ledger
	contacts map[model.WorkerID]*contact
	dead     bool
	// confirmed is when the ownership was last confirmed.
	confirmed time.Time
	// busy says that the owner is frozen within a call.
	busy bool

	batch    []byte
	actions  ledger.Actions
	snapshot []byte
	// replies are told once the batch is durable; queued ones belong to the next batch.
	replies, queued []func()
}

// open makes a new instance take the partition over.
func (p *part) open(w *world) *owner {
	w.instances++
	o := &owner{world: w, part: p, id: model.InstanceID(fmt.Sprintf("i%d", w.instances)), contacts: map[model.WorkerID]*contact{}, confirmed: w.now}
	for _, worker := range p.workers {
		o.contacts[worker.worker.ID] = &contact{}
	}
	ctx, cancel := w.context()
	defer cancel()
	j, replay, err := journal.Open(ctx, w.store, journal.Config{Partition: p.number, Owner: o.id, Slots: 8, RetryDelay: time.Nanosecond})
	if err != nil {
		w.tracef("%s fails to open p%d", o.id, p.number)
		return nil
	}
	o.journal = j
	o.ledger = w.load(p.number, replay)
	o.ledger.TakeOwnership(w.now, o.id, replay.Epoch)
	p.owners = append(p.owners, o)
	return o
}

// load replays a journal and compares the state with that of all durable records.
func (w *world) load(p model.Partition, replay journal.Replay) *ledger.Ledger {
	l, err := ledger.Load(p, replay.Snapshot)
	if err != nil {
		w.check.violate("snapshot: %v", err)
		return ledger.New(p)
	}
	for _, e := range replay.Entries {
		records, err := journal.DecodeRecords(e)
		if err != nil {
			w.check.violate("entry: %v", err)
		}
		for _, r := range records {
			if err := l.Apply(r); err != nil {
				w.check.violate("replay: %v", err)
			}
		}
	}
	w.compare(p, l, w.check.taken[ownership{p, replay.Epoch}], "replayed")
	return l
}

// compare checks a state against that of the first durable records.
func (w *world) compare(p model.Partition, l *ledger.Ledger, count int, what string) {
	got, err := l.Marshal()
	if err != nil {
		w.check.violate("marshal: %v", err)
	}
	want, _ := w.check.replay(p, count).Marshal()
	if !bytes.Equal(got, want) {
		w.check.violate("partition %d: the %s state differs from the durable records", p, what)
	}
}

// flush writes one batch and sends what depended on it.
func (o *owner) flush() {
	if o.dead {
		return
	}
	o.busy = true
	defer func() { o.busy = false }()
	if o.batch == nil && !o.take() {
		return
	}
	if o.world.broken.sendEarly {
		o.send()
	}
	ctx, cancel := o.world.context()
	defer cancel()
	if o.world.broken.earlySnapshot {
		o.saveSnapshot(ctx)
	}
	asked := o.world.now
	err := o.journal.Append(ctx, o.batch)
	if err == nil {
		o.confirmed = asked
	}
	o.appended(ctx, err)
}

// take forms the next batch. It reports false if there is nothing to write.
func (o *owner) take() bool {
	records, actions := o.ledger.Take()
	o.actions = actions
	o.replies, o.queued = o.queued, nil
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

// appended acts on the result of an append.
func (o *owner) appended(ctx context.Context, err error) {
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
			o.world.check.notWritten(o.id, o.batch)
		}
		o.die("deposed by " + string(deposed.NewOwner))
		if o.world.broken.noDeposal {
			o.send()
		}
	case errors.As(err, &pending):
		o.world.tracef("%s does not know whether its batch was written", o.id)
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
		o.die("deposed while writing a snapshot")
	}
}

// die ends the ownership; its messages on the way still arrive.
func (o *owner) die(why string) {
	o.world.tracef("%s stops: %s", o.id, why)
	o.dead = true
}

// deliver sends the messages and tells the callers of a durable batch.
func (o *owner) deliver() {
	o.send()
	for _, reply := range o.replies {
		reply()
	}
	o.replies = nil
}

// send puts the messages on the network.
func (o *owner) send() {
	epoch := o.journal.Epoch()
	for _, s := range o.actions.Starts {
		o.world.post(fmt.Sprintf("start %s/%d", s.Attempt.Attempt.Job, s.Attempt.Attempt.Number), func() { o.start(epoch, s) })
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
	o.world.post(fmt.Sprintf("%s %s/%d", s.Kind, s.Attempt.Job, s.Attempt.Number), func() {
		o.part.worker(s.Worker).signal(o.world.now, epoch, s.Kind, s.Attempt)
	})
}

// start delivers a start message; its answer reaches the owner unless that is dead.
func (o *owner) start(e model.Epoch, s ledger.Start) {
	err := o.part.worker(s.Worker).start(o.world.now, e, s.Attempt)
	if o.dead || o.world.lost("start answer") {
		return
	}
	if errors.Is(err, errRefused) {
		o.must(o.ledger.StartRefused(o.world.now, s.Attempt.Attempt, "refused by the worker"))
		return
	}
	if err != nil {
		o.die("stale epoch")
	}
}

// offer sends a transfer to the owner of the other partition.
func (o *owner) offer(t ledger.Transfer) {
	o.world.post(fmt.Sprintf("offer %s transfer=%d", t.Spec.ID, t.Hop), func() {
		receiver := o.world.part(t.To).alive()
		if receiver == nil || receiver.ledger.AcceptTransfer(o.world.now, o.part.number, t) != nil {
			return
		}
		receiver.queued = append(receiver.queued, func() {
			o.world.post(fmt.Sprintf("confirm %s transfer=%d", t.Spec.ID, t.Hop), func() {
				if source := o.part.alive(); source != nil {
					source.must(source.ledger.TransferConfirmed(o.world.now, t.Spec.ID, t.Hop))
				}
			})
		})
	})
}

// claim asks for a key on behalf of a caller, which is told once the record is durable.
func (o *owner) claim(r ledger.ClaimRequest) {
	if _, err := o.ledger.Claim(o.world.now, r); err != nil {
		return
	}
	grant := func() {
		o.world.check.granted(o.world.now, r)
		o.world.held = append(o.world.held, r)
	}
	if o.world.broken.forgetClaim {
		grant()
		return
	}
	o.queued = append(o.queued, grant)
}

// settle tells the owner how a request ended.
func (o *owner) settle(r ledger.ClaimRequest, v verdict.Verdict) {
	o.must(o.ledger.Settle(o.world.now, r.Key, r.Holder, v))
}

// must notes an error that no fault explains.
func (o *owner) must(err error) {
	if err != nil {
		o.world.check.violate("%s: %v", o.id, err)
	}
}
