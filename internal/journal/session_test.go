package journal_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

var update = flag.Bool("update", false, "write the golden files")

// session is a scripted history with a golden transcript.
type session struct {
	name string
	run  func(w *simulation)
}

// sessions are the scripted histories. Each golden file lists the durable records, the messages
// and the executions of the workers.
var sessions = []session{
	{"evict-twice", runEvictTwice},
	{"lost-start-answer", runLostStartAnswer},
	{"cancel-burst", runCancelBurst},
	{"transfer-there-and-back", runTransfer},
	{"deposed-owner-wakes", runDeposedOwner},
	{"renewed-lease", runRenewedLease},
	{"unreached-worker", runUnreachedWorker},
	{"slow-renewal", runSlowRenewal},
}

// runRound renews the leases of the workers, writes a batch and delivers all messages.
func (o *owner) runRound() {
	for _, worker := range o.partition.workers {
		o.renewLease(worker)
	}
	o.flush()
	o.sim.deliverAll()
}

// deliverAll delivers every message on the network.
func (sim *simulation) deliverAll() {
	for len(sim.network) > 0 {
		sim.deliver(0, false)
	}
}

// startJob opens partition 0 and runs job "j" on its first worker.
func startJob(sim *simulation) *owner {
	o := sim.partitions[0].open(sim)
	o.submit("j")
	o.runRound()
	o.place("j", o.partition.workers[0], 4)
	o.runRound()
	return o
}

// evict evicts the last attempt of job "j" with a checkpoint.
func (o *owner) evict() {
	status, _ := o.ledger.Job("j")
	o.expectNoError(o.ledger.Evict(o.sim.now, model.AttemptID{Job: "j", Number: status.Attempt}, platform.SignalCheckpoint, "relief"))
}

// runEvictTwice kills the owner after the checkpoint of the first eviction, before the worker has
// reported it. The next owner evicts the resumed attempt again.
func runEvictTwice(sim *simulation) {
	o := startJob(sim)
	sim.advance(time.Second)
	o.evict()
	o.flush()
	sim.deliverAll()
	o.stop("killed")
	o = sim.partitions[0].open(sim)
	sim.advance(time.Second)
	o.runRound()
	o.place("j", o.partition.workers[1], 4)
	o.runRound()
	sim.advance(time.Second)
	o.evict()
	o.runRound()
	o.runRound()
	o.place("j", o.partition.workers[0], 4)
	o.runRound()
	sim.runToCompletion()
}

// runLostStartAnswer loses the start of the first job and the answer to the start of the second.
func runLostStartAnswer(sim *simulation) {
	o := sim.partitions[0].open(sim)
	o.submit("j")
	o.submit("k")
	o.runRound()
	o.place("j", o.partition.workers[0], 4)
	o.place("k", o.partition.workers[0], 4)
	sim.lost = func(what string) bool { return what == "start answer" }
	o.flush()
	sim.deliver(1, false)
	sim.network = nil
	o.runRound()
	for range 3 {
		sim.advance(2 * time.Second)
		o.runRound()
	}
	sim.runToCompletion()
}

// runCancelBurst cancels jobs that are queued, running, or about to be started.
func runCancelBurst(sim *simulation) {
	o := sim.partitions[0].open(sim)
	for i := range 6 {
		o.submit(model.JobID(fmt.Sprint("j", i)))
	}
	o.runRound()
	o.place("j0", o.partition.workers[0], 4)
	o.runRound()
	o.place("j1", o.partition.workers[0], 4)
	for i := range 6 {
		o.cancel(model.JobID(fmt.Sprint("j", i)))
	}
	o.runRound()
	sim.advance(time.Second)
	o.runRound()
	sim.runToCompletion()
}

// runTransfer transfers a job to the other partition and back. A late duplicate of the first offer
// arrives at the end.
func runTransfer(sim *simulation) {
	origin, destination := sim.partitions[0].open(sim), sim.partitions[1].open(sim)
	origin.submit("j")
	origin.flush()
	origin.expectNoError(origin.ledger.TransferOut(sim.now, "j", 1, "full"))
	origin.flush()
	duplicate := sim.network[0]
	sim.deliverAll()
	destination.flush()
	sim.deliverAll()
	origin.flush()
	sim.advance(time.Second)
	destination.expectNoError(destination.ledger.TransferOut(sim.now, "j", 0, "data centre out"))
	destination.flush()
	sim.deliverAll()
	origin.flush()
	sim.deliverAll()
	duplicate.deliver()
	sim.runToCompletion()
}

// runDeposedOwner pauses an owner with a start in transit and a batch not yet written, while
// another instance takes the partition over.
func runDeposedOwner(sim *simulation) {
	former := startJob(sim)
	former.submit("k")
	former.flush()
	former.place("k", former.partition.workers[1], 4)
	former.flush()
	delayed := sim.network
	sim.network = nil
	former.evict()
	next := sim.partitions[0].open(sim)
	next.runRound()
	next.place("k", next.partition.workers[0], 4)
	next.runRound()
	former.flush()
	sim.network = delayed
	sim.deliverAll()
	sim.runToCompletion()
}

// runRenewedLease checks that a worker whose lease was just renewed is not declared lost.
func runRenewedLease(sim *simulation) {
	o := startJob(sim)
	sim.advance(4 * time.Second)
	o.runRound()
	sim.advance(2 * time.Second)
	o.expireLease(o.partition.workers[0])
	o.place("j", o.partition.workers[1], 4)
	o.runRound()
	sim.runToCompletion()
}

// runUnreachedWorker lets only a deposed owner reach a worker. It may renew the lease of the worker
// until it has to confirm its ownership.
func runUnreachedWorker(sim *simulation) {
	former := startJob(sim)
	next := sim.partitions[0].open(sim)
	next.renewLease(next.partition.workers[1])
	unreached := next.partition.workers[0]
	for range 16 * 60 / 4 {
		sim.advance(4 * time.Second)
		former.renewLease(unreached)
		next.renewLease(next.partition.workers[1])
	}
	next.expireLease(unreached)
	next.place("j", next.partition.workers[1], 4)
	next.flush()
	sim.deliverAll()
	sim.runToCompletion()
}

// runSlowRenewal delays a renewal and loses its answer. The owner must still count the renewal
// when it decides whether the lease has lapsed.
func runSlowRenewal(sim *simulation) {
	o := startJob(sim)
	sim.slow = func(what string) bool { return what == "lease request" }
	sim.advance(5 * time.Second)
	o.renewLease(o.partition.workers[0])
	sim.slow = func(string) bool { return false }
	sim.lost = func(what string) bool { return what == "lease answer" }
	sim.advance(900 * time.Millisecond)
	sim.deliverAll()
	sim.lost = func(string) bool { return false }
	for range 3 { // the lease lapses at 11.9 s; the owner may declare it lapsed after 15 s
		sim.advance(4400 * time.Millisecond)
		o.renewLease(o.partition.workers[1])
		o.expireLease(o.partition.workers[0])
		o.place("j", o.partition.workers[1], 4)
		o.flush()
		sim.deliverAll()
	}
	sim.runToCompletion()
}

func TestSessions(t *testing.T) {
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			var transcript strings.Builder
			sim := newSimulation()
			startTime := sim.now
			sim.trace = func(format string, args ...any) {
				fmt.Fprintf(&transcript, "%4.0fs %s\n", sim.now.Sub(startTime).Seconds(), fmt.Sprintf(format, args...))
			}
			s.run(sim)
			is.Equal(sim.checker.violations, nil)
			path := filepath.Join("testdata", s.name+".golden")
			if *update {
				is.NoErr(os.MkdirAll("testdata", 0o755))
				is.NoErr(os.WriteFile(path, []byte(transcript.String()), 0o644))
			}
			want, err := os.ReadFile(path)
			is.NoErr(err)
			is.Equal(transcript.String(), string(want))
		})
	}
}
