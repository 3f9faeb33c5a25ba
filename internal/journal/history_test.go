package journal_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// TestMain sets a fixed rapid seed, so that every run without flags has the same result. Longer
// runs: go test ./internal/journal -run TestHistories -rapid.checks=10000 -rapid.seed=N
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20260102")
	}
	os.Exit(m.Run())
}

// faultMix holds the faults that can be injected into a store call.
var faultMix = []fault{notSent, lostBefore, lostAfter, delayedByOneCall, delayedUntilReleased, staleRead,
	cancelBefore, cancelAfter, cancelDelayed, frozenBefore, frozenAfter}

// actions are the steps of a history. An action that is listed several times is chosen more often.
// Some have short names: "repeat" delivers a message that stays on the network, "visit" renews a
// lease, "tick" is a full round of an owner, "give up" declares a lease lapsed, "land" applies the
// held writes of the store, "forget" removes expired jobs and claims, "quarter" and "day" advance
// the time by more than ledger.MaxUnconfirmedOwnership and ledger.JobRetention.
var actions = []string{"submit", "submit", "place", "place", "place", "flush", "flush", "flush",
	"deliver", "deliver", "deliver", "repeat", "drop", "visit", "visit", "advance", "advance", "advance",
	"tick", "tick", "tick", "tick", "give up", "give up", "finish", "finish", "evict", "resignal", "cancel", "transfer", "offer",
	"claim", "claim", "settle", "settle", "open", "release", "kill", "land", "outage", "park", "forget", "quarter", "day"}

// history runs random actions on a simulation of two partitions.
type history struct {
	*simulation
	t *rapid.T
	// freezeDepth is the number of callers that are paused within a store call.
	freezeDepth int
	// outage makes every store call fail.
	outage     bool
	claimCount int
	// callsPerFault is the average number of calls per injected fault.
	callsPerFault int
}

// runHistory runs a random history and returns the simulation at its end.
func runHistory(t *rapid.T, active mutation) *simulation {
	h := &history{simulation: newSimulation(), t: t}
	h.mutation = active
	h.store.fault = h.pickFault
	h.store.whileFrozen = h.actWhileFrozen
	h.store.ignoreExpected = active.ignoreExpectedRevision
	h.callsPerFault = rapid.SampledFrom([]int{2, 8, 40}).Draw(t, "calm")
	h.simulation.lost = func(string) bool { return rapid.IntRange(1, h.callsPerFault).Draw(t, "lost") == 1 }
	h.simulation.slow = func(string) bool { return rapid.IntRange(1, h.callsPerFault).Draw(t, "slow") == 1 }
	if testing.Verbose() && os.Getenv("TRACE") != "" {
		h.trace = func(format string, args ...any) { t.Logf(format, args...) }
	}
	for _, p := range h.partitions {
		p.open(h.simulation)
	}
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		h.step()
		if len(h.checker.violations) > 0 {
			return h.simulation
		}
	}
	h.runToCompletion()
	return h.simulation
}

// pickFault returns a random fault for a call. A call made while another is paused is not paused.
func (h *history) pickFault(int) fault {
	if h.outage {
		return rapid.SampledFrom([]fault{cancelBefore, cancelAfter, cancelDelayed}).Draw(h.t, "outage fault")
	}
	if rapid.IntRange(1, h.callsPerFault).Draw(h.t, "faulty") != 1 {
		return noFault
	}
	f := rapid.SampledFrom(faultMix).Draw(h.t, "fault")
	if h.freezeDepth > 0 && f >= frozenBefore {
		return noFault
	}
	return f
}

// actWhileFrozen runs takeovers and random steps while a caller is paused within a store call.
func (h *history) actWhileFrozen() {
	h.freezeDepth++
	defer func() { h.freezeDepth-- }()
	for _, p := range h.partitions {
		if rapid.Bool().Draw(h.t, "takes over") {
			p.open(h.simulation)
		}
	}
	for range rapid.IntRange(0, 12).Draw(h.t, "steps while frozen") {
		h.step()
	}
}

// step performs one random action.
func (h *history) step() {
	action := rapid.SampledFrom(actions).Draw(h.t, "action")
	switch action {
	case "advance":
		h.advance(time.Duration(rapid.IntRange(1, 4).Draw(h.t, "seconds")) * time.Second)
	case "quarter":
		h.advance(16 * time.Minute)
	case "day":
		h.advance(25 * time.Hour)
	case "outage":
		h.outage = !h.outage && rapid.Bool().Draw(h.t, "outage")
	case "land":
		h.store.applyHeld()
	case "deliver", "repeat", "drop":
		h.transmit(action)
	case "open":
		p := rapid.SampledFrom(h.partitions).Draw(h.t, "part")
		p.open(h.simulation)
	case "finish":
		h.finish()
	case "settle":
		h.settle()
	default:
		h.actOnOwner(action)
	}
}

// transmit delivers, repeats or drops a message.
func (h *history) transmit(action string) {
	if len(h.network) == 0 {
		return
	}
	i := 0
	if rapid.Bool().Draw(h.t, "out of order") {
		i = rapid.IntRange(0, len(h.network)-1).Draw(h.t, "message")
	}
	h.tracef("network %s %s", action, h.network[i].name)
	if action == "drop" {
		h.network = append(h.network[:i:i], h.network[i+1:]...)
		return
	}
	h.deliver(i, action == "repeat")
}

// finish ends an executing attempt at its worker.
func (h *history) finish() {
	worker := rapid.SampledFrom(rapid.SampledFrom(h.partitions).Draw(h.t, "part").workers).Draw(h.t, "worker")
	state := rapid.SampledFrom([]model.AttemptState{model.AttemptSucceeded, model.AttemptFailed}).Draw(h.t, "end")
	if ids := worker.executing(); len(ids) > 0 {
		worker.end(rapid.SampledFrom(ids).Draw(h.t, "attempt"), state)
	}
}

// settle ends a granted request at its caller and sends the verdict to the owner.
func (h *history) settle() {
	if len(h.grantedClaims) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.grantedClaims)-1).Draw(h.t, "held")
	r := h.grantedClaims[i]
	h.grantedClaims = append(h.grantedClaims[:i:i], h.grantedClaims[i+1:]...)
	v := rapid.SampledFrom(verdicts).Draw(h.t, "verdict")
	h.checker.observeSettlement(r.Key, v)
	p := h.partitions[0]
	h.enqueue("settle "+string(r.Key), func() {
		if o := p.activeOwner(); o != nil {
			o.settle(r, v)
		}
	})
}

// actOnOwner performs an action of a random owner that has not noticed that it was deposed.
func (h *history) actOnOwner(action string) {
	var activeOwners []*owner
	for _, p := range h.partitions {
		for _, o := range p.owners {
			if !o.stopped && !o.inCall {
				activeOwners = append(activeOwners, o)
			}
		}
	}
	if len(activeOwners) == 0 {
		return
	}
	o := rapid.SampledFrom(activeOwners).Draw(h.t, "owner")
	worker := rapid.SampledFrom(o.partition.workers).Draw(h.t, "worker")
	h.tracef("%s %s", o.id, action)
	switch action {
	case "submit":
		o.submit(model.JobID(fmt.Sprintf("p%d-j%d", o.partition.number, rapid.IntRange(0, 4).Draw(h.t, "job"))))
	case "flush":
		o.flush()
	case "visit":
		o.renewLease(worker)
	case "tick":
		h.runFullRound(o)
	case "give up":
		o.expireLease(worker)
	case "claim":
		h.claim()
	case "release":
		o.release()
	case "kill":
		o.stop("killed")
	case "forget":
		o.ledger.Expire(h.now)
	case "resignal":
		o.resend()
	case "offer":
		for _, t := range o.ledger.PendingTransfers() {
			o.offer(t)
		}
	default:
		h.actOnJob(action, o, worker)
	}
}

// runFullRound performs one full round of an owner: it renews the leases of its workers, places
// the queued jobs, writes a batch and delivers the messages.
func (h *history) runFullRound(o *owner) {
	for _, worker := range o.partition.workers {
		o.renewLease(worker)
	}
	for _, q := range o.ledger.Queue() {
		o.place(q.Spec.ID, rapid.SampledFrom(o.partition.workers).Draw(h.t, "worker"), int64(rapid.IntRange(2, 7).Draw(h.t, "size")))
	}
	o.flush()
	for range len(h.network) {
		h.deliver(0, false)
	}
}

// claim requests a random key from the owner of partition 0.
func (h *history) claim() {
	o := h.partitions[0].activeOwner()
	if o == nil {
		return
	}
	h.claimCount++
	n := rapid.IntRange(0, 3).Draw(h.t, "key")
	o.claim(ledger.ClaimRequest{Key: model.RequestKey(fmt.Sprintf("k%d", n)), Holder: model.InstanceID(fmt.Sprintf("caller/%d", h.claimCount)),
		Exclusive: n%2 == 1, Deadline: h.now.Add(time.Minute)})
}

// actOnJob applies an action to a random job of an owner.
func (h *history) actOnJob(action string, o *owner, worker *fakeWorker) {
	wanted := map[string]model.JobState{"place": model.JobQueued, "evict": model.JobRunning, "transfer": model.JobQueued}
	var jobs []ledger.JobStatus
	for _, s := range o.ledger.Jobs() {
		if state, only := wanted[action]; !only || s.State == state {
			jobs = append(jobs, s)
		}
	}
	if len(jobs) == 0 {
		return
	}
	job := rapid.SampledFrom(jobs).Draw(h.t, "job")
	id := job.Spec.ID
	switch action {
	case "place":
		o.place(id, worker, int64(rapid.IntRange(2, 7).Draw(h.t, "size")))
	case "evict":
		kind := rapid.SampledFrom([]platform.SignalKind{platform.SignalCheckpoint, platform.SignalStop}).Draw(h.t, "signal")
		_ = o.ledger.Evict(h.now, model.AttemptID{Job: id, Number: job.Attempt}, kind, "relief")
	case "cancel":
		o.cancel(id)
	case "park":
		_ = o.ledger.Park(h.now, id, "failed everywhere")
	case "transfer":
		_ = o.ledger.TransferOut(h.now, id, 1-o.partition.number, "full")
	}
}

func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := runHistory(t, mutation{})
		if len(sim.checker.violations) > 0 {
			t.Fatalf("violations:\n%s", strings.Join(sim.checker.violations, "\n"))
		}
	})
}
