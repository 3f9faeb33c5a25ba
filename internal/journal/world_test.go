package journal_test

import (
	"context"
	"fmt"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// message is on its way between two processes.
type message struct {
	name    string
	deliver func()
}

// part is one partition with its workers and all owners that it ever had.
type part struct {
	number  model.Partition
	workers []*fakeWorker
	owners  []*owner
}

// world is a store, workers, and owners of two partitions under synthetic time.
type world struct {
	now       time.Time
	store     *fakeStore
	check     *checker
	parts     []*part
	network   []message
	held      []ledger.ClaimRequest
	instances int
	broken    breakage
	// lost decides whether a message between an owner and a worker is lost.
	lost func(what string) bool
	// slow decides whether it arrives later, at its own time.
	slow func(what string) bool
	// accepted holds the jobs whose submission was acknowledged, and those whose
	// cancellation was acknowledged as final.
	accepted, cancelled map[model.JobID]bool
	trace               func(format string, args ...any)
}

// newWorld returns two partitions with two workers each, whose clocks differ.
func newWorld() *world {
	w := &world{
		now:       time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		store:     newFakeStore(),
		check:     newChecker(),
		lost:      func(string) bool { return false },
		slow:      func(string) bool { return false },
		accepted:  map[model.JobID]bool{},
		cancelled: map[model.JobID]bool{},
		trace:     func(string, ...any) {},
	}
	w.store.applied = w.check.written
	w.check.trace = w.tracef
	for number := range model.Partition(2) {
		p := &part{number: number}
		for i, offset := range []time.Duration{-time.Second, time.Second} {
			worker := model.Worker{ID: model.WorkerID(fmt.Sprintf("w%d%d", number, i)), DataCentre: "kochi",
				Capacity: model.Resources{MilliCPU: 10, MemoryMB: 10}}
			p.workers = append(p.workers, newFakeWorker(worker, offset, w.check))
		}
		w.parts = append(w.parts, p)
	}
	return w
}

func (w *world) tracef(format string, args ...any) { w.trace(format, args...) }

// context returns the context of one call; the store may cancel it as a fault.
func (w *world) context() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	former := w.store.cancel
	w.store.cancel = cancel
	return ctx, func() {
		cancel()
		w.store.cancel = former
	}
}

func (w *world) part(p model.Partition) *part { return w.parts[p] }

// post puts a message on the network.
func (w *world) post(name string, deliver func()) {
	w.tracef("send   %s", name)
	w.network = append(w.network, message{name, deliver})
}

// pass delivers a message at once or puts it on the network.
func (w *world) pass(name string, deliver func()) {
	if w.slow(name) {
		w.post(name, deliver)
		return
	}
	deliver()
}

// deliver delivers a message, and keeps a copy of it on the way if repeat is set.
func (w *world) deliver(i int, repeat bool) {
	m := w.network[i]
	if !repeat {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
	}
	m.deliver()
}

// advance lets time pass at the workers.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.parts {
		for _, worker := range p.workers {
			worker.lapse(w.now)
		}
	}
}

// alive returns the last owner of the partition that does not know itself deposed.
func (p *part) alive() *owner {
	for i := len(p.owners) - 1; i >= 0; i-- {
		if !p.owners[i].dead {
			return p.owners[i]
		}
	}
	return nil
}

func (p *part) worker(id model.WorkerID) *fakeWorker {
	for _, w := range p.workers {
		if w.worker.ID == id {
			return w
		}
	}
	panic("unknown worker")
}

// submit submits a job; the caller is told once the record is durable.
func (o *owner) submit(id model.JobID) {
	spec := model.JobSpec{ID: id, Team: "reports", Class: "monthly", Declared: model.Resources{MilliCPU: 4, MemoryMB: 4}}
	if _, err := o.ledger.Submit(o.world.now, spec); err != nil {
		o.must(err)
		return
	}
	o.queued = append(o.queued, func() {
		o.world.accepted[id] = true
		delete(o.world.cancelled, id)
	})
}

// place starts a queued job on a worker if the ledger allows it.
func (o *owner) place(id model.JobID, w *fakeWorker, size int64) {
	_ = o.ledger.Place(o.world.now, ledger.Placement{Job: id, Worker: w.worker, NotAfter: o.world.now.Add(startWindow),
		Reservation: model.Resources{MilliCPU: size, MemoryMB: size}, Reason: "fits"})
}

// cancel withdraws a job; the caller is told if that is final once the record is durable.
func (o *owner) cancel(id model.JobID) {
	status, err := o.ledger.Cancel(o.world.now, id, "not needed")
	if err != nil || status.State != model.JobCancelled {
		return
	}
	o.queued = append(o.queued, func() { o.world.cancelled[id] = true })
}

// drain ends all faults and checks that the partitions finish what was accepted.
func (w *world) drain() {
	w.store.fault = nil
	w.store.releaseHeld()
	w.lost = func(string) bool { return false }
	w.slow = w.lost
	var last []*owner
	for _, p := range w.parts {
		o := p.open(w)
		if o == nil {
			w.check.violate("partition %d cannot be opened", p.number)
			return
		}
		last = append(last, o)
	}
	for range 30 {
		for _, o := range last {
			o.settleDown()
		}
		for len(w.network) > 0 {
			w.deliver(0, false)
		}
		w.advance(2 * time.Second)
	}
	for _, o := range last {
		o.flush()
		w.compare(o.part.number, o.ledger, len(w.check.records[o.part.number]), "live")
	}
	w.verify(last)
	w.check.conclude()
}

// settleDown is one round of an owner that meets no fault.
func (o *owner) settleDown() {
	for _, worker := range o.part.workers {
		o.visit(worker)
		for _, id := range worker.executing() {
			worker.end(id, model.AttemptSucceeded)
		}
		o.visit(worker)
	}
	for _, t := range o.ledger.PendingTransfers() {
		o.offer(t)
	}
	for _, s := range o.ledger.Jobs() {
		if s.State == model.JobParked {
			o.must(o.ledger.Resume(o.world.now, s.Spec.ID))
		}
	}
	for _, q := range o.ledger.Queue() {
		o.place(q.Spec.ID, o.part.workers[0], 4)
		o.place(q.Spec.ID, o.part.workers[1], 4)
	}
	o.flush()
}

// verify checks the outcome of every accepted job after the drain.
func (w *world) verify(last []*owner) {
	ended := map[model.JobID]model.JobState{}
	for _, o := range last {
		for _, s := range o.ledger.Jobs() {
			if s.State == model.JobTransferred {
				continue
			}
			if _, twice := ended[s.Spec.ID]; twice {
				w.check.violate("job %s lives in both partitions", s.Spec.ID)
			}
			ended[s.Spec.ID] = s.State
		}
	}
	for id := range w.accepted {
		state, found := ended[id]
		if !found && w.check.forgotten[id] {
			continue
		}
		if !found || state != model.JobFinished && state != model.JobCancelled {
			w.check.violate("accepted job %s ended as %s (found: %v)", id, state, found)
		}
		if w.check.finished[id] != (state == model.JobFinished) {
			w.check.violate("job %s is %s, its success is on record: %v", id, state, w.check.finished[id])
		}
		if w.cancelled[id] && w.check.withdrawn[id] && state != model.JobCancelled {
			w.check.violate("cancelled job %s ended as %s", id, state)
		}
	}
}

// verdicts are the verdicts a request can end with.
var verdicts = []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}
