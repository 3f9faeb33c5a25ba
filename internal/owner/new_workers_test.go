package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// rewriteEntries writes the entries of the workers again and again, as workers do while they run, one each interval.
func (h *harness) rewriteEntries(interval time.Duration, ids ...batch.WorkerID) {
	for i := 0; h.ctx.Err() == nil; i++ {
		pause.For(h.ctx, interval)
		h.store.set("w/"+string(ids[i%len(ids)]), []byte("ok"))
	}
}

// addWorker lets a worker start and write its entry.
func (h *harness) addWorker(id batch.WorkerID) {
	h.workers.mu.Lock()
	h.workers.workers[id] = newFakeWorker(h.workers, 1)
	h.workers.mu.Unlock()
	h.store.set("w/"+string(id), []byte("ok"))
}

// Guards against room that stays empty while tasks wait for it (issue 53, LOST): a new worker was known up to 0.35 s late, since the
// entries of the others change all the time and each change was followed by a pause of the watch.
func TestANewWorkerGetsWaitingTasksSoon(t *testing.T) {
	const soon = 200 * time.Millisecond
	withHarness(t, func(h *harness) {
		h.workers.taskDuration = time.Hour
		go h.rewriteEntries(7*time.Millisecond, "w0", "w1")
		h.startInstance("a")
		h.sleep(3 * time.Second)
		const perWorker, added = 8, 20
		h.submit("j", longRunning(perWorker*(2+added)))
		h.sleep(2 * time.Second)
		for n := range added {
			id := batch.WorkerID(fmt.Sprintf("new%d", n))
			h.addWorker(id)
			h.sleep(soon)
			if got := len(h.runningOn([]batch.WorkerID{id})); got != perWorker {
				t.Errorf("%s runs %d tasks %s after it has written its entry", id, got, soon)
			}
			h.sleep(time.Second + time.Duration(n)*17*time.Millisecond) // another phase of the watch
		}
	}, "w0", "w1")
}

// Guards against a worker that is not asked for its first report while a decision that took long is followed by a long pause.
func TestANewWorkerIsCalledBetweenDecisions(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		is := is.New(t)
		o := New(Options{Instance: "a"}, newMemoryStore(), newFakeWorkers("new"), fakeRegistry{}, testConfig, zerolog.Nop())
		l := newLeader(o, heldClaim{claim: Claim{Epoch: 1}, commitRev: 1}, func(error) {})
		l.ctx = t.Context()
		l.state.SetConfig(testConfig())
		l.noteServices(time.Now())
		l.cooldown.start(time.Now().Add(-time.Second), time.Now(), false) // the decision took a second
		l.applyWorkerEvents([]kv.Event{{Item: kv.Item{Key: "w/new", Value: []byte("ok")}}})
		l.react(time.Now())
		is.True(!l.cooldown.elapsed(time.Now()))
		is.True(l.renewers["new"] != nil)
	})
}
