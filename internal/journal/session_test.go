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

// session is a scripted history.
type session struct {
	name string
	play func(w *world)
}

// sessions are the golden ones. Each file holds records, messages and what workers did.
var sessions = []session{
	{"evict-twice", playEvictTwice},
	{"lost-start-answer", playLostStartAnswer},
	{"cancel-burst", playCancelBurst},
	{"transfer-there-and-back", playTransfer},
	{"deposed-owner-wakes", playDeposedOwner},
	{"renewed-lease", playRenewedLease},
	{"unreached-worker", playUnreachedWorker},
	{"slow-renewal", playSlowRenewal},
}

// round lets an owner visit its workers, write, and have its messages delivered.
func (o *owner) round() {
	for _, worker := range o.part.workers {
		o.visit(worker)
	}
	o.flush()
	o.world.deliverAll()
}

// deliverAll delivers every message on the network.
func (w *world) deliverAll() {
	for len(w.network) > 0 {
		w.deliver(0, false)
	}
}

// begin lets a new owner run job "j" on the first worker of partition 0.
func begin(w *world) *owner {
	o := w.parts[0].open(w)
	o.submit("j")
	o.round()
	o.place("j", o.part.workers[0], 4)
	o.round()
	return o
}

// evict asks for a checkpoint of the last attempt of job "j".
func (o *owner) evict() {
	status, _ := o.ledger.Job("j")
	o.must(o.ledger.Evict(o.world.now, model.AttemptID{Job: "j", Number: status.Attempt}, platform.SignalCheckpoint, "relief"))
}

// The owner dies after the checkpoint of the first eviction, before it has heard of it.
func playEvictTwice(w *world) {
	o := begin(w)
	w.advance(time.Second)
	o.evict()
	o.flush()
	w.deliverAll()
	o.die("killed")
	o = w.parts[0].open(w)
	w.advance(time.Second)
	o.round()
	o.place("j", o.part.workers[1], 4)
	o.round()
	w.advance(time.Second)
	o.evict()
	o.round()
	o.round()
	o.place("j", o.part.workers[0], 4)
	o.round()
	w.drain()
}

// The answer to a start is lost, and so is the start of the second job.
func playLostStartAnswer(w *world) {
	o := w.parts[0].open(w)
	o.submit("j")
	o.submit("k")
	o.round()
	o.place("j", o.part.workers[0], 4)
	o.place("k", o.part.workers[0], 4)
	w.lost = func(what string) bool { return what == "start answer" }
	o.flush()
	w.deliver(1, false)
	w.network = nil
	o.round()
	for range 3 {
		w.advance(2 * time.Second)
		o.round()
	}
	w.drain()
}

// Jobs are cancelled while queued, while running and while their start is on its way.
func playCancelBurst(w *world) {
	o := w.parts[0].open(w)
	for i := range 6 {
		o.submit(model.JobID(fmt.Sprint("j", i)))
	}
	o.round()
	o.place("j0", o.part.workers[0], 4)
	o.round()
	o.place("j1", o.part.workers[0], 4)
	for i := range 6 {
		o.cancel(model.JobID(fmt.Sprint("j", i)))
	}
	o.round()
	w.advance(time.Second)
	o.round()
	w.drain()
}

// A job moves to the other partition and back; a late copy of the first offer arrives.
func playTransfer(w *world) {
	home, away := w.parts[0].open(w), w.parts[1].open(w)
	home.submit("j")
	home.flush()
	home.must(home.ledger.TransferOut(w.now, "j", 1, "full"))
	home.flush()
	late := w.network[0]
	w.deliverAll()
	away.flush()
	w.deliverAll()
	home.flush()
	w.advance(time.Second)
	away.must(away.ledger.TransferOut(w.now, "j", 0, "data centre out"))
	away.flush()
	w.deliverAll()
	home.flush()
	w.deliverAll()
	late.deliver()
	w.drain()
}

// An owner is frozen with a start on its way and a batch half written.
func playDeposedOwner(w *world) {
	former := begin(w)
	former.submit("k")
	former.flush()
	former.place("k", former.part.workers[1], 4)
	former.flush()
	late := w.network
	w.network = nil
	former.evict()
	next := w.parts[0].open(w)
	next.round()
	next.place("k", next.part.workers[0], 4)
	next.round()
	former.flush()
	w.network = late
	w.deliverAll()
	w.drain()
}

// A worker whose lease was just renewed is not gone.
func playRenewedLease(w *world) {
	o := begin(w)
	w.advance(4 * time.Second)
	o.round()
	w.advance(2 * time.Second)
	o.giveUp(o.part.workers[0])
	o.place("j", o.part.workers[1], 4)
	o.round()
	w.drain()
}

// A deposed owner alone reaches a worker and renews its lease without knowing that.
func playUnreachedWorker(w *world) {
	former := begin(w)
	next := w.parts[0].open(w)
	next.visit(next.part.workers[1])
	unreached := next.part.workers[0]
	for range 16 * 60 / 4 {
		w.advance(4 * time.Second)
		former.visit(unreached)
		next.visit(next.part.workers[1])
	}
	next.giveUp(unreached)
	next.place("j", next.part.workers[1], 4)
	next.flush()
	w.deliverAll()
	w.drain()
}

// A renewal is on its way while the owner judges from the renewals before it.
func playSlowRenewal(w *world) {
	o := begin(w)
	w.slow = func(what string) bool { return what == "lease request" }
	w.advance(5 * time.Second)
	o.visit(o.part.workers[0])
	w.slow = func(string) bool { return false }
	w.lost = func(what string) bool { return what == "lease answer" }
	w.advance(900 * time.Millisecond)
	w.deliverAll()
	w.lost = func(string) bool { return false }
	for range 3 { // the lease lapses at 11.9 s, and the owner may say so after 15 s
		w.advance(4400 * time.Millisecond)
		o.visit(o.part.workers[1])
		o.giveUp(o.part.workers[0])
		o.place("j", o.part.workers[1], 4)
		o.flush()
		w.deliverAll()
	}
	w.drain()
}

func TestSessions(t *testing.T) {
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			var transcript strings.Builder
			w := newWorld()
			begin := w.now
			w.trace = func(format string, args ...any) {
				fmt.Fprintf(&transcript, "%4.0fs %s\n", w.now.Sub(begin).Seconds(), fmt.Sprintf(format, args...))
			}
			s.play(w)
			is.Equal(w.check.violations, nil)
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
