package journal_test

import (
	"context"
	"fmt"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// message is a message in transit between two processes.
type message struct {
	name    string
	deliver func()
}

// simPartition is one partition with its workers and all owners that it has had.
type simPartition struct {
	number  model.Partition
	workers []*fakeWorker
	owners  []*owner
}

// simulation holds a store, and workers and owners of two partitions, with simulated time.
type simulation struct {
	now             time.Time
	store           *fakeStore
	checker         *checker
	partitions      []*simPartition
	network         []message
	grantedClaims   []ledger.ClaimRequest
	instancesOpened int
	mutation        mutation
	// lost decides whether a message between an owner and a worker is lost.
	lost func(what string) bool
	// slow decides whether such a message is delayed; it is then put on the network.
	slow func(what string) bool
	// accepted holds the jobs whose submission was acknowledged, cancelled those whose
	// cancellation was acknowledged as final.
	accepted, cancelled map[model.JobID]bool
	trace               func(format string, args ...any)
}

// newSimulation returns two partitions with two workers each, whose clocks are 1 s slow and 1 s
// fast.
func newSimulation() *simulation {
	sim := &simulation{
		now:       time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		store:     newFakeStore(),
		checker:   newChecker(),
		lost:      func(string) bool { return false },
		slow:      func(string) bool { return false },
		accepted:  map[model.JobID]bool{},
		cancelled: map[model.JobID]bool{},
		trace:     func(string, ...any) {},
	}
	sim.store.onWrite = sim.checker.observeWrite
	sim.checker.trace = sim.tracef
	for number := range model.Partition(2) {
		p := &simPartition{number: number}
		for i, offset := range []time.Duration{-time.Second, time.Second} {
			worker := model.Worker{ID: model.WorkerID(fmt.Sprintf("w%d%d", number, i)), DataCentre: "kochi",
				Capacity: model.Resources{MilliCPU: 10, MemoryMB: 10}}
			p.workers = append(p.workers, newFakeWorker(worker, offset, sim.checker))
		}
		sim.partitions = append(sim.partitions, p)
	}
	return sim
}

func (sim *simulation) tracef(format string, args ...any) { sim.trace(format, args...) }

// context returns the context of one call, which the store may cancel as a fault.
func (sim *simulation) context() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	previousCancel := sim.store.cancel
	sim.store.cancel = cancel
	return ctx, func() {
		cancel()
		sim.store.cancel = previousCancel
	}
}

func (sim *simulation) partition(p model.Partition) *simPartition { return sim.partitions[p] }

// enqueue puts a message on the network.
func (sim *simulation) enqueue(name string, deliver func()) {
	sim.tracef("send   %s", name)
	sim.network = append(sim.network, message{name, deliver})
}

// deliverOrEnqueue delivers a message at once, or puts it on the network if it is slow.
func (sim *simulation) deliverOrEnqueue(name string, deliver func()) {
	if sim.slow(name) {
		sim.enqueue(name, deliver)
		return
	}
	deliver()
}

// deliver delivers a message. If repeat is set, the message stays on the network to be delivered
// again.
func (sim *simulation) deliver(i int, repeat bool) {
	m := sim.network[i]
	if !repeat {
		sim.network = append(sim.network[:i:i], sim.network[i+1:]...)
	}
	m.deliver()
}

// advance moves the time forward and ends the attempts of workers whose lease has lapsed.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, p := range sim.partitions {
		for _, worker := range p.workers {
			worker.expireAttempts(sim.now)
		}
	}
}

// activeOwner returns the latest owner of the partition that has not stopped, or nil.
func (p *simPartition) activeOwner() *owner {
	for i := len(p.owners) - 1; i >= 0; i-- {
		if !p.owners[i].stopped {
			return p.owners[i]
		}
	}
	return nil
}

func (p *simPartition) worker(id model.WorkerID) *fakeWorker {
	for _, w := range p.workers {
		if w.worker.ID == id {
			return w
		}
	}
	panic("unknown worker")
}

// submit submits a job. The caller receives the answer once the record is durable.
func (o *owner) submit(id model.JobID) {
	spec := model.JobSpec{ID: id, Team: "reports", Class: "monthly", Declared: model.Resources{MilliCPU: 4, MemoryMB: 4}}
	if _, err := o.ledger.Submit(o.sim.now, spec); err != nil {
		o.expectNoError(err)
		return
	}
	o.nextReplies = append(o.nextReplies, func() {
		o.sim.accepted[id] = true
		delete(o.sim.cancelled, id)
	})
}

// place starts a queued job on a worker if the ledger allows it.
func (o *owner) place(id model.JobID, w *fakeWorker, size int64) {
	_ = o.ledger.Place(o.sim.now, ledger.Placement{Job: id, Worker: w.worker, NotAfter: o.sim.now.Add(startWindow),
		Reservation: model.Resources{MilliCPU: size, MemoryMB: size}, Reason: "fits"})
}

// cancel cancels a job. If that is final, the caller receives the answer once the record is durable.
func (o *owner) cancel(id model.JobID) {
	status, err := o.ledger.Cancel(o.sim.now, id, "not needed")
	if err != nil || status.State != model.JobCancelled {
		return
	}
	o.nextReplies = append(o.nextReplies, func() { o.sim.cancelled[id] = true })
}

// runToCompletion stops all faults, runs new owners until the jobs have ended, and checks that
// every accepted job ended as it should.
func (sim *simulation) runToCompletion() {
	sim.store.fault = nil
	sim.store.applyHeld()
	sim.lost = func(string) bool { return false }
	sim.slow = sim.lost
	var last []*owner
	for _, p := range sim.partitions {
		o := p.open(sim)
		if o == nil {
			sim.checker.reportViolation("partition %d cannot be opened", p.number)
			return
		}
		last = append(last, o)
	}
	for range 30 {
		for _, o := range last {
			o.runFaultFreeRound()
		}
		for len(sim.network) > 0 {
			sim.deliver(0, false)
		}
		sim.advance(2 * time.Second)
	}
	for _, o := range last {
		o.flush()
		sim.compareState(o.partition.number, o.ledger, len(sim.checker.records[o.partition.number]), "live")
	}
	sim.verifyJobs(last)
	sim.checker.checkNotWritten()
}

// runFaultFreeRound runs one round of an owner without faults.
func (o *owner) runFaultFreeRound() {
	for _, worker := range o.partition.workers {
		o.renewLease(worker)
		for _, id := range worker.executing() {
			worker.end(id, model.AttemptSucceeded)
		}
		o.renewLease(worker)
	}
	for _, t := range o.ledger.PendingTransfers() {
		o.offer(t)
	}
	for _, s := range o.ledger.Jobs() {
		if s.State == model.JobParked {
			o.expectNoError(o.ledger.Resume(o.sim.now, s.Spec.ID))
		}
	}
	for _, q := range o.ledger.Queue() {
		o.place(q.Spec.ID, o.partition.workers[0], 4)
		o.place(q.Spec.ID, o.partition.workers[1], 4)
	}
	o.flush()
}

// verifyJobs checks the final state of every accepted job.
func (sim *simulation) verifyJobs(last []*owner) {
	ended := map[model.JobID]model.JobState{}
	for _, o := range last {
		for _, s := range o.ledger.Jobs() {
			if s.State == model.JobTransferred {
				continue
			}
			if _, twice := ended[s.Spec.ID]; twice {
				sim.checker.reportViolation("job %s is in both partitions", s.Spec.ID)
			}
			ended[s.Spec.ID] = s.State
		}
	}
	for id := range sim.accepted {
		state, found := ended[id]
		if !found && sim.checker.recordedForgotten[id] {
			continue
		}
		if !found || state != model.JobFinished && state != model.JobCancelled {
			sim.checker.reportViolation("accepted job %s ended as %s (found: %v)", id, state, found)
		}
		if sim.checker.finished[id] != (state == model.JobFinished) {
			sim.checker.reportViolation("job %s is %s, its success is recorded: %v", id, state, sim.checker.finished[id])
		}
		if sim.cancelled[id] && sim.checker.recordedCancelled[id] && state != model.JobCancelled {
			sim.checker.reportViolation("cancelled job %s ended as %s", id, state)
		}
	}
}

// verdicts are the verdicts with which a request can end.
var verdicts = []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}
