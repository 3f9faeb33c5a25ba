package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// fault injects a fault. It returns a description, which is empty if the fault could not be
// injected, and a function that reverts the fault.
type fault func(tb *testbed, rng *rand.Rand) (description string, revert func(tb *testbed))

// Faults that are listed twice are injected twice as often.
var (
	// faultKinds keeps its order, so that a seed goes on to inject the same faults.
	faultKinds = []fault{
		onInstance(killInstance), onInstance(killInstance), onInstance(freezeInstance), onInstance(freezeInstance),
		onInstance(stopInstance), degradeStoreConnection, degradeStoreConnection,
		refuseStoreCalls, loseStoreAnswers, compactStore, changeConfiguration,
		degradeWorkerConnection, degradeWorkerConnection, crashWorker, failWorkerTasks, loseWorkerAnswers, drainWorker,
		silenceStore, restartAllWhileSilent, refuseStarts, crashWorkerUnseen, writeOddEntry, writeOddEntry,
	}
	// workerChanges are injected besides, with random numbers of their own.
	workerChanges = []fault{changeCapacity, changeCapacity, changeCapacity, failLastingTasks, leaveForGood}
	// connectionFaults are injected besides, with random numbers of their own, at most at every third opportunity.
	connectionFaults = []fault{silenceConnections, noFault, noFault}
	// workerLosses end lasting tasks.
	workerLosses = []fault{crashWorker, failLastingTasks, leaveForGood}
)

// injectFaults injects random faults at random intervals until ctx ends. Several faults may be in force at once.
func (tb *testbed) injectFaults(ctx context.Context, rng *rand.Rand, kinds []fault) {
	for {
		pause.For(ctx, time.Duration(200+rng.IntN(1100))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		tb.inject(rng, kinds[rng.IntN(len(kinds))], 300, 4300)
	}
}

// inject injects a fault and reverts it after a random time from minMS to maxMS milliseconds, without waiting for it.
func (tb *testbed) inject(rng *rand.Rand, f fault, minMS, maxMS int) {
	tb.checker.RecordFaultBegin()
	description, revert := f(tb, rng)
	duration := time.Duration(minMS+rng.IntN(maxMS-minMS)) * time.Millisecond
	if description == "" {
		tb.checker.RecordFaultEnd()
		return
	}
	tb.mu.Lock()
	tb.faults = append(tb.faults, fmt.Sprintf("%.2f s: %s for %s", time.Since(tb.startedAt).Seconds(), description, duration))
	tb.mu.Unlock()
	tb.pendingReverts.Go(func() {
		pause.For(context.Background(), duration)
		revert(tb)
		tb.checker.RecordFaultEnd()
	})
}

// pickInstance returns a random running instance, or nil if fewer than two are running, so that
// one always remains.
func (tb *testbed) pickInstance(rng *rand.Rand) *instance {
	var candidates []*instance
	for _, i := range tb.instances {
		if i.up() {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) < 2 {
		return nil
	}
	return candidates[rng.IntN(len(candidates))]
}

// onInstance returns a fault that acts on an instance chosen by pickInstance.
func onInstance(inject func(i *instance) (description string, revert func(*testbed))) fault {
	return func(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		i := tb.pickInstance(rng)
		if i == nil {
			return "", nil
		}
		return inject(i)
	}
}

func killInstance(i *instance) (string, func(*testbed)) {
	i.kill()
	return "kill " + i.name, func(tb *testbed) { tb.restart(i) }
}

func stopInstance(i *instance) (string, func(*testbed)) {
	wait := i.stop()
	return "stop " + i.name, func(tb *testbed) {
		if err := wait(); err != nil {
			tb.checker.RecordViolation("STOP", "%v", err)
		}
		tb.restart(i)
	}
}

func freezeInstance(i *instance) (string, func(*testbed)) {
	if i.setFrozen(true) != nil {
		return "", nil // the process has exited meanwhile
	}
	return "freeze " + i.name, func(tb *testbed) {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		_ = i.setFrozen(false) // fails only if the process was killed meanwhile
	}
}

// restart starts the process of an instance again if it has exited.
func (tb *testbed) restart(i *instance) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if !i.exited() {
		return
	}
	if !i.exitExpected {
		tb.checker.RecordViolation("EXIT", "%s exited without a signal from the soak; see %s", i.name, i.proc.LogFile)
	}
	if err := i.start(); err != nil {
		tb.checker.RecordViolation("START", "%s: %v", i.name, err)
	}
}

func degradeStoreConnection(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	i := tb.instances[rng.IntN(len(tb.instances))]
	mode := Silent + Mode(rng.IntN(4))
	i.storeProxy.SetMode(mode)
	return fmt.Sprintf("%s to the store: %s", i.name, mode), func(*testbed) { i.storeProxy.SetMode(Pass) }
}

func refuseStoreCalls(tb *testbed, _ *rand.Rand) (string, func(*testbed)) {
	tb.store.SetDown(true)
	return "store down", func(tb *testbed) { tb.store.SetDown(false) }
}

func silenceStore(tb *testbed, _ *rand.Rand) (string, func(*testbed)) {
	tb.store.SetSilent(true)
	return "store silent", func(tb *testbed) { tb.store.SetSilent(false) }
}

// restartAllWhileSilent kills all instances and starts them again while the store gives no answer.
func restartAllWhileSilent(tb *testbed, _ *rand.Rand) (string, func(*testbed)) {
	tb.store.SetSilent(true)
	tb.mu.Lock()
	for _, i := range tb.instances {
		if !i.exited() {
			i.kill()
			_ = i.proc.Wait(graceTime) // it has been killed
		}
	}
	tb.mu.Unlock()
	for _, i := range tb.instances {
		tb.restart(i)
	}
	return "all instances restarted, store silent", func(tb *testbed) { tb.store.SetSilent(false) }
}

func loseStoreAnswers(tb *testbed, _ *rand.Rand) (string, func(*testbed)) {
	const share = 0.3
	tb.store.SetLostAnswerShare(share)
	return "store loses answers", func(tb *testbed) { tb.store.SetLostAnswerShare(0) }
}

func compactStore(tb *testbed, _ *rand.Rand) (string, func(*testbed)) {
	tb.store.Compact()
	return "history dropped", func(*testbed) {}
}

func changeConfiguration(tb *testbed, _ *rand.Rand) (string, func(*testbed)) {
	tb.operators.changeVersion()
	return "configuration", func(*testbed) {}
}

// noFault leaves out an opportunity.
func noFault(*testbed, *rand.Rand) (string, func(*testbed)) { return "", nil }

// silenceConnections makes all open connections to the store and to workers silent for good. New ones work.
func silenceConnections(tb *testbed, _ *rand.Rand) (string, func(*testbed)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, i := range tb.instances {
		i.storeProxy.SilenceOpen()
	}
	for _, w := range tb.workers {
		w.proxy.SilenceOpen()
	}
	return "open connections silent", func(*testbed) {}
}

func (tb *testbed) pickWorker(rng *rand.Rand) *Worker {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.workers[rng.IntN(len(tb.workers))]
}

func degradeWorkerConnection(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	worker := tb.pickWorker(rng)
	mode := Silent + Mode(rng.IntN(4))
	worker.proxy.SetMode(mode)
	return fmt.Sprintf("%s: %s", worker.ID, mode), func(*testbed) { worker.proxy.SetMode(Pass) }
}

func crashWorker(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	worker := tb.pickWorker(rng)
	worker.Crash()
	return "crash " + worker.ID, func(tb *testbed) {
		worker.Restart()
		worker.Announce("ready")
	}
}

// crashWorkerUnseen restarts a worker under its id after a short time. The registry shows the restart late.
func crashWorkerUnseen(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	worker := tb.pickWorker(rng)
	dark, unseen := time.Duration(rng.IntN(1200))*time.Millisecond, time.Duration(rng.IntN(900))*time.Millisecond
	worker.Crash()
	pause.For(context.Background(), dark)
	worker.Restart()
	return fmt.Sprintf("crash %s, restarted after %s and shown after %s", worker.ID, dark, unseen), func(tb *testbed) {
		pause.For(context.Background(), unseen)
		worker.Announce("ready")
	}
}

func refuseStarts(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	worker := tb.pickWorker(rng)
	worker.SetRefusesStarts(true)
	return "refused starts at " + worker.ID, func(*testbed) { worker.SetRefusesStarts(false) }
}

// oddEntries are values that another program may leave among the workers' entries.
var oddEntries = []string{
	"", "\xff\xfe", strings.Repeat("[", 100_000), `{"a":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "}",
	`{"service":"svc","address":"127.0.0.1:99999","zone":"a","state":"ready","capacity":{"cpu":4000,"mem-mb":100000}}`,
	`{"service":"svc","address":"127.0.0.1:80","zone":"a","state":"ready","capacity":{"cpu":1e400}}`,
	`{"service":"svc","address":"127.0.0.1:80","zone":"a","state":"ready","capacity":{"cpu":9223372036854775807,"mem-mb":-5}}`,
	`{"service":"svc","address":"127.0.0.1:80","zone":"a","state":"ready","capacity":{"cpu":4000},"born":9223372036854775807}`,
}

// writeOddEntry writes an odd entry among those of the workers, in every second case in the place of a worker's own.
func writeOddEntry(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	worker, n := tb.pickWorker(rng), rng.IntN(len(oddEntries))
	if rng.IntN(2) == 0 {
		key := fmt.Sprintf("servers/odd-%d", rng.IntN(4))
		tb.store.PutText(key, []byte(oddEntries[n]))
		return fmt.Sprintf("odd entry %d", n), func(tb *testbed) { tb.store.Delete(key) }
	}
	tb.store.PutText(worker.key(), []byte(oddEntries[n]))
	return fmt.Sprintf("odd entry %d in the place of %s", n, worker.ID), func(tb *testbed) {
		worker.Announce("ready")
	}
}

func failWorkerTasks(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	const share = 0.5
	worker := tb.pickWorker(rng)
	worker.SetTaskFailureShare(share)
	return "failing tasks at " + worker.ID, func(*testbed) { worker.SetTaskFailureShare(0) }
}

// drainWorker sets a worker to draining. The revert stops it, removes its entry from the store, and
// after 1 s registers it again under the same id as a new incarnation.
func drainWorker(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	worker := tb.pickWorker(rng)
	worker.Announce("draining")
	return "drain " + worker.ID, func(tb *testbed) {
		worker.Crash()
		tb.store.Delete(worker.key())
		pause.For(context.Background(), time.Second)
		worker.Restart()
		worker.Announce("ready")
	}
}

// changeCapacity sets a worker's capacity to a small part of the full one, until it has counted for a while.
func changeCapacity(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	worker, cpu := tb.pickWorker(rng), int64(workerCapacity*(1+rng.IntN(4))/10)
	longer := maxCapacityDelay + time.Duration(rng.Int64N(int64(maxCapacityDelay)))
	worker.SetCapacity(cpu)
	return fmt.Sprintf("capacity of %s is %d, %s longer,", worker.ID, cpu, longer), func(*testbed) {
		pause.For(context.Background(), longer)
		worker.SetCapacity(workerCapacity)
	}
}

func failLastingTasks(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	worker := tb.pickWorker(rng)
	worker.FailLastingRuns()
	return "lasting tasks fail at " + worker.ID, func(*testbed) {}
}

// leaveForGood removes a worker, whose entry goes at once or after missedHeartbeats, and adds another one.
func leaveForGood(tb *testbed, rng *rand.Rand) (string, func(*testbed)) {
	worker, entryRemovedAfter := tb.pickWorker(rng), time.Duration(rng.IntN(2))*missedHeartbeats*heartbeat
	worker.Leave(entryRemovedAfter)
	if err := tb.replaceWorker(worker); err != nil {
		tb.checker.RecordViolation("START", "the worker in the place of %s: %v", worker.ID, err)
	}
	return fmt.Sprintf("%s leaves, its entry %s later", worker.ID, entryRemovedAfter), func(*testbed) {}
}

// claimKey is the key of the owner's claim.
const claimKey = "gw/claim"

// ownerIP returns the IP address of the owner that a claim names; empty if there is none.
func ownerIP(claim []byte) string {
	var c owner.Claim
	if cbor.Unmarshal(claim, &c) != nil {
		return "" // nobody has the claim
	}
	ip, _, err := net.SplitHostPort(c.Address)
	if err != nil {
		return ""
	}
	return ip
}

// killOwner kills the instance that has the claim and starts it again.
func killOwner(tb *testbed, _ *rand.Rand) (string, func(*testbed)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	ip := ownerIP(tb.store.Value(claimKey))
	for _, i := range tb.instances {
		if i.up() && i.ip == ip {
			i.kill()
			return "kill the owner " + i.name, func(tb *testbed) { tb.restart(i) }
		}
	}
	return "", nil
}

// killOwnersInSeries kills two or three owners in a row. Workers are lost before and between the kills. All
// that comes back does so within a second, so that little else delays the lasting tasks.
func (tb *testbed) killOwnersInSeries(ctx context.Context, rng *rand.Rand) {
	const minMS, maxMS = 300, 1000
	loseWorker := func() { tb.inject(rng, workerLosses[rng.IntN(len(workerLosses))], minMS, maxMS) }
	for range 2 + rng.IntN(2) {
		loseWorker()
		pause.For(ctx, time.Duration(rng.IntN(500))*time.Millisecond)
		tb.inject(rng, killOwner, minMS, maxMS)
		pause.For(ctx, time.Duration(rng.IntN(200))*time.Millisecond)
		loseWorker()
		pause.For(ctx, time.Duration(1000+rng.IntN(3000))*time.Millisecond)
	}
	tb.pendingReverts.Wait()
}
