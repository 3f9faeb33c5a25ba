package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	// simulatedTick is the time between two contacts with each worker while no request is late.
	simulatedTick = 200 * time.Millisecond
	// maxLossSeries is the largest number of losses in a series, and maxAbsence the longest time until other workers
	// come or the lost ones are back.
	maxLossSeries = 3
	maxAbsence    = 12 * time.Second
	// maxEntryAge is the longest time for which the registry shows a worker that is gone for good.
	maxEntryAge = 5 * time.Second
	// ticksAfterLosses is how long the workers stay after the last loss and the last arrival.
	ticksAfterLosses = 100
	// oddLabel is a label of every second worker.
	oddLabel = "odd"
)

// dataCentres are those of the workers, in turn.
var dataCentres = []string{"a", "b", "c"}

// laterEvent happens at its time.
type laterEvent struct {
	at time.Time
	do func()
}

func (w *simulation) after(d time.Duration, do func()) {
	w.later = append(w.later, laterEvent{w.now.Add(d), do})
}

// runLater lets happen what is due.
func (w *simulation) runLater() {
	var due, left []laterEvent
	for _, e := range w.later {
		if e.at.After(w.now) {
			left = append(left, e)
		} else {
			due = append(due, e)
		}
	}
	w.later = left
	for _, e := range due {
		e.do()
	}
}

// loss is how a worker is lost.
type loss int

const (
	leavesForGood loss = iota // another worker comes instead
	isCut                     // its connection is interrupted for a while
	crashesUnseen             // it is started again, and in contact a while later
)

// drawAbsence draws for how long lost workers are missing.
func drawAbsence(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, int(maxAbsence/time.Second)).Draw(t, "seconds away")) * time.Second
}

// loseTogether loses some of the workers at the same moment, but for keep of them.
func (w *simulation) loseTogether(t *rapid.T, keep int) {
	how := loss(rapid.IntRange(int(leavesForGood), int(crashesUnseen)).Draw(t, "loss"))
	away := drawAbsence(t)
	spared := keep
	if rapid.Bool().Draw(t, "spares more") {
		spared = rapid.IntRange(keep, max(keep, len(w.workers)-1)).Draw(t, "spared")
	}
	for _, id := range w.ids()[min(spared, len(w.workers)):] {
		w.lose(t, w.workers[id], how, away)
	}
}

func (w *simulation) lose(t *rapid.T, n *simulatedWorker, how loss, away time.Duration) {
	w.noteFault()
	for id := range w.tasksUnder(n) {
		w.unrelatedCrashes[id]++ // a connection that is cut for long looks alike
	}
	if how == leavesForGood {
		w.leave(t, n)
		w.after(away, func() { w.enlist(w.newWorker()) })
		return
	}
	w.owner.MarkUnreachable(n.info.ID)
	if how == crashesUnseen {
		w.restart(t, n)
		w.owner.MarkUnreachable(n.info.ID)
	}
	n.disconnected = true
	w.after(away, func() {
		w.noteFault()
		n.disconnected = false
	})
}

// leave removes a worker for good. Requests that are on their way to it get no answer.
func (w *simulation) leave(t *rapid.T, n *simulatedWorker) {
	id := n.info.ID
	n.disconnected = true
	delete(w.workers, id)
	w.loseRunning(n)
	w.leftEntries[id] = n.entry
	w.owner.MarkUnreachable(id)
	age := time.Duration(rapid.IntRange(0, int(maxEntryAge/time.Second)).Draw(t, "age of the entry")) * time.Second
	w.after(age, func() {
		delete(w.leftEntries, id)
		w.owner.RemoveWorker(id)
	})
}

// loseSome loses some workers, so that one is left.
func (w *simulation) loseSome(t *rapid.T) {
	if !w.failuresOnly && len(w.workers) > 1 && rapid.IntRange(0, 5).Draw(t, "seldom") == 0 {
		w.loseTogether(t, 1)
	}
}

// loseStore lets the store take no records for a while.
func (w *simulation) loseStore(away time.Duration) {
	w.noteFault()
	w.storeDown = true
	w.after(away, func() {
		w.noteFault()
		w.storeDown = false
	})
}

// evacuate evacuates one of the data centres, or takes back all evacuations.
func (w *simulation) evacuate(t *rapid.T) {
	w.noteFault()
	w.evacuated = rapid.SampledFrom(append([]string{""}, dataCentres...)).Draw(t, "evacuated")
	w.configure()
}

// configure passes the present configuration to the owner.
func (w *simulation) configure() {
	w.configVersion++
	w.owner.SetConfig(Config{
		Version: w.configVersion, Evacuated: map[string]bool{w.evacuated: true},
		Queues:  map[string]Queue{"q": {Service: "svc", MaxAttempts: w.maxAttempts, Stretch: 2}},
		Tenants: w.tenantConfig(),
	})
}

// drainSome lets some workers drain, or end their draining.
func (w *simulation) drainSome(t *rapid.T) {
	w.noteFault()
	for _, id := range w.ids() {
		if n := w.workers[id]; rapid.Bool().Draw(t, "changes") {
			w.setDraining(n, !n.info.Draining)
		}
	}
}

// failSome lets all tasks on some workers fail.
func (w *simulation) failSome(t *rapid.T) {
	w.noteFault()
	for _, id := range w.ids() {
		n := w.workers[id]
		w.expireLease(n)
		if !rapid.Bool().Draw(t, "fails") {
			continue
		}
		for _, key := range sortedKeys(n.running) {
			if n.running[key] {
				w.endAttempt(n, key, EndFailed)
			}
		}
	}
}

// submitLasting submits a job with one step of long-running tasks.
func (w *simulation) submitLasting(t *rapid.T) {
	id := fmt.Sprintf("lasting%d", len(w.jobs))
	step := Step{
		Count:       rapid.IntRange(1, 8).Draw(t, "count"),
		Resources:   Resources{CPU: int64(rapid.IntRange(1, 3).Draw(t, "half cores")) * 500, MemoryMB: 250},
		LongRunning: true, Estimate: time.Second,
		MaxPerWorker: rapid.SampledFrom([]int{0, 0, 0, 2, 4}).Draw(t, "on a worker"),
		Label:        rapid.SampledFrom([]string{"", "", "", oddLabel}).Draw(t, "label"),
	}
	w.addJob(&Job{ID: id, Queue: "q", QueueConfig: Queue{Service: "svc", MaxAttempts: w.maxAttempts}, Accepted: w.now, Spec: Spec{Payload: "p", Steps: []Step{step}}})
}

// loseInSeries fills the workers with long-running tasks, and loses many workers at once, several times in succession
// and a few seconds apart. After that, long-running tasks must get the room that exists, see checkLasting. Jobs with
// deadly tasks are cancelled before: their crashes would be faults at any time.
func (w *simulation) loseInSeries(t *rapid.T) {
	w.endFaults()
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		if w.isDeadly(id) {
			w.cancelJob(id)
		}
	}
	for range rapid.IntRange(1, 4).Draw(t, "lasting jobs") {
		w.submitLasting(t)
	}
	w.runTicks(t, rapid.IntRange(5, 40).Draw(t, "ticks before the losses"))
	for range rapid.IntRange(1, maxLossSeries).Draw(t, "losses") {
		w.loseTogether(t, 0)
		switch rapid.IntRange(0, 9).Draw(t, "what else happens") {
		case 0, 1:
			w.replaceOwner(t)
		case 2:
			w.loseStore(drawAbsence(t))
		case 3:
			w.evacuate(t)
		case 4:
			w.drainSome(t)
		case 5:
			w.failSome(t)
		case 6:
			if len(w.workers) > 0 {
				w.toggleReadable(t)
			}
			w.replaceOwner(t)
		}
		w.runTicks(t, rapid.IntRange(1, 50).Draw(t, "ticks after the loss"))
	}
	for len(w.later) > 0 {
		w.tick(t)
	}
	for _, n := range w.workers {
		n.unreadable = false
	}
	w.runTicks(t, ticksAfterLosses)
}

// isDeadly reports whether a task of the job crashes each worker that starts it.
func (w *simulation) isDeadly(job string) bool {
	for id := range w.deadly {
		if id.Job == job {
			return true
		}
	}
	return false
}

// endFaults restores connections and the store, ends evacuations and draining, and lets workers accept starts.
func (w *simulation) endFaults() {
	w.noteFault()
	w.storeDown, w.evacuated = false, ""
	w.endCaps()
	w.configure()
	for _, n := range w.workers {
		n.disconnected, n.refuses, n.unreadable, n.info.Draining = false, false, false, false
	}
}

func (w *simulation) runTicks(t *rapid.T, n int) {
	for range n {
		w.tick(t)
	}
}

// tick lets time pass, in which all workers in contact report and make progress, no request to them is late and finite
// tasks end.
func (w *simulation) tick(t *rapid.T) {
	w.now = w.now.Add(simulatedTick)
	w.percent = 101 - w.percent
	if w.storeDown || w.anyUnreadable() {
		w.noteFault()
	}
	w.expireRequests()
	w.runLater()
	for id := range w.leftEntries {
		w.owner.MarkUnreachable(id)
	}
	for _, id := range w.ids() {
		n := w.workers[id]
		w.setCapacity(n, fullCapacity)
		w.reportOf(n, true)
	}
	w.commitAtOnce()
	w.plan(t)
	w.deliverAll(t)
	w.checkLiveness(t) // while finite tasks that have been started still take room
	for _, id := range w.ids() {
		w.endAll(w.workers[id])
	}
	w.checkLasting(t)
}

// deliverAll delivers all requests to workers in contact, in any order. Those whose answers are lost may come late.
func (w *simulation) deliverAll(t *rapid.T) {
	for {
		var deliverable []int
		for i, r := range w.requests {
			if n := w.workers[r.action.Worker]; n != nil && !n.disconnected && (!r.answerLost || r.carriedOutAt.Before(w.now)) {
				deliverable = append(deliverable, i)
			}
		}
		if len(deliverable) == 0 {
			return
		}
		w.deliverOne(rapid.SampledFrom(deliverable).Draw(t, "order"))
	}
}
