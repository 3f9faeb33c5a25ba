package owner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// ownersWorld is a random history of three instances and three workers.
type ownersWorld struct {
	*harness
	random    *rand.Rand
	instances []string
	ids       []batch.WorkerID
	views     map[string]*view
	lossy     *lossyWorkers
	jobs      []*worldJob
	history   string
	events    []worldEvent
	// muted holds the instances whose calls of other instances are lost, and calls of which are.
	muted sync.Map
}

// start starts a process of an instance. Its first campaigns may be refused.
func (w *ownersWorld) start(name string) {
	v := &view{refused: w.random.IntN(3), hidden: map[batch.WorkerID]bool{}}
	ctx, cancel := context.WithCancel(w.ctx)
	o := New(Options{Instance: name, BootClock: w.bootClock, Address: name, LeaseTTL: testLeaseTTL, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second, ReportEnd: w.reportEndOf(name, v)},
		viewedStore{w.store, v}, viewedWorkers{w.lossy, v}, fakeRegistry{}, testConfig, zerolog.New(&w.log))
	w.stops[name], w.views[name] = cancel, v
	w.setOwner(name, o)
	go o.Run(ctx)
}

// reportEndOf returns Options.ReportEnd of a process of an instance. What it says is lost if the process has ended, or if
// either instance is muted.
func (w *ownersWorld) reportEndOf(name string, v *view) func(context.Context, Claim, LeadershipEnd) error {
	return func(ctx context.Context, c Claim, end LeadershipEnd) error {
		_, muted := w.muted.Load(name)
		_, deaf := w.muted.Load(c.Instance)
		if muted || deaf || v.isDead() {
			pause.For(ctx, 50*time.Millisecond)
			return errAnswerLost
		}
		return w.reportEnd(ctx, c, end)
	}
}

// drawInstance returns an instance, most often the owner's.
func (w *ownersWorld) drawInstance() string {
	if l := w.leader(); l != "" && w.random.IntN(3) > 0 {
		return l
	}
	return w.instances[w.random.IntN(len(w.instances))]
}

func (w *ownersWorld) kill(name string) {
	w.views[name].change(func(v *view) { v.dead = true })
	w.stops[name]()
	w.sleep(w.upTo(2 * time.Second))
	w.start(name)
}

// killInARow ends the processes of up to three owners in a row, each soon after its take-over, as their claims are
// removed or lapse. They are back in any order.
func (w *ownersWorld) killInARow(string) {
	var down []string
	for range 1 + w.random.IntN(3) {
		name := w.leader()
		if name == "" {
			break
		}
		w.views[name].change(func(v *view) { v.dead = true })
		w.stops[name]()
		down = append(down, name)
		if w.random.IntN(2) == 0 {
			w.removeClaim(w.instances[w.random.IntN(len(w.instances))])
		}
		w.sleep(w.upTo(2 * time.Second))
	}
	w.random.Shuffle(len(down), func(i, j int) { down[i], down[j] = down[j], down[i] })
	for _, name := range down {
		w.start(name)
		w.sleep(w.upTo(2 * time.Second))
	}
}

func (w *ownersWorld) toggleMuted(name string) {
	if _, muted := w.muted.LoadAndDelete(name); !muted {
		w.muted.Store(name, true)
	}
}

func (w *ownersWorld) resign(name string) {
	w.owners[name].Resign()
	w.sleep(w.upTo(1500 * time.Millisecond))
	w.stops[name]()
	w.sleep(100 * time.Millisecond)
	w.start(name)
}

// cutZone cuts off an instance with one worker: it reaches only that one, and the others reach only the others.
func (w *ownersWorld) cutZone(name string) {
	inside := w.ids[w.random.IntN(len(w.ids))]
	for other, v := range w.views {
		v.change(func(v *view) {
			v.cut = v.cut || other == name
			for _, id := range w.ids {
				v.hidden[id] = (id == inside) != (other == name)
			}
		})
	}
}

// removeClaim removes the claim without word of its owner.
func (w *ownersWorld) removeClaim(name string) {
	if c := w.owners[name].Claim(); c != nil {
		go w.owners[name].RevokeClaim(*c, "test")
	}
}

func (w *ownersWorld) takeClaimAway(string) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	if _, held := w.store.items[claimKey]; held {
		w.store.remove(claimKey)
	}
}

func (w *ownersWorld) restoreStore(string) {
	for _, v := range w.views {
		v.change(func(v *view) { v.cut = false })
	}
}

func (w *ownersWorld) restoreAll(string) {
	for _, v := range w.views {
		v.change(func(v *view) { v.cut, v.hidden = false, map[batch.WorkerID]bool{} })
	}
}

func (w *ownersWorld) toggleStore(name string) {
	w.views[name].change(func(v *view) { v.cut = !v.cut })
}

func (w *ownersWorld) toggleWorker(name string) {
	id := w.ids[w.random.IntN(len(w.ids))]
	w.views[name].change(func(v *view) { v.hidden[id] = !v.hidden[id] })
}

func (w *ownersWorld) loseTransactions(name string) {
	w.views[name].change(func(v *view) { v.refused, v.lost = w.random.IntN(2), w.random.IntN(2) })
}

// toggleLoss loses the answers to some of the requests to workers, or to none.
func (w *ownersWorld) toggleLoss(string) {
	if w.lossy.isLossy() {
		w.lossy.setLoss(0, 0)
		return
	}
	kind, name := allCalls, "request"
	if kinds := []callKind{callStart, callStop, callRenewal}; w.random.IntN(2) == 0 {
		kind = kinds[w.random.IntN(len(kinds))]
		name = callKindNames[kind]
	}
	share, resets := w.random.Float64(), w.random.Float64()
	w.note("%.0f %% of each %s get no answer, %.0f %% of these with a reset", 100*share, name, 100*resets)
	w.lossy.setLossOf(kind, share, resets)
}

func (w *ownersWorld) upTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// worldEvent is a kind of event of a history.
type worldEvent struct {
	name   string
	weight int
	act    func(w *ownersWorld, instance string)
}

var worldEvents = []worldEvent{
	{"kill", 1, (*ownersWorld).kill},
	{"owners killed in a row", 2, (*ownersWorld).killInARow},
	{"calls of instances cut or restored", 1, (*ownersWorld).toggleMuted},
	{"resign", 1, (*ownersWorld).resign},
	{"store cut or restored", 3, (*ownersWorld).toggleStore},
	{"worker cut or restored", 3, (*ownersWorld).toggleWorker},
	{"zone cut", 3, (*ownersWorld).cutZone},
	{"transactions lost", 1, (*ownersWorld).loseTransactions},
	{"claim removed", 1, (*ownersWorld).removeClaim},
	{"claim taken away", 1, (*ownersWorld).takeClaimAway},
	{"stores restored", 1, (*ownersWorld).restoreStore},
	{"all restored", 2, (*ownersWorld).restoreAll},
	{"answers of workers lost or not", 4, (*ownersWorld).toggleLoss},
	{"job submitted", 4, (*ownersWorld).submitAny},
	{"job cancelled", 1, (*ownersWorld).cancelAny},
}

func (w *ownersWorld) drawEvent() worldEvent {
	total := 0
	for _, e := range w.events {
		total += e.weight
	}
	n := w.random.IntN(total)
	for _, e := range w.events {
		if n -= e.weight; n < 0 {
			return e
		}
	}
	panic("no event")
}

// withHistory runs a random history of owners, and then test.
func withHistory(t *testing.T, seed uint64, test func(w *ownersWorld)) {
	withHistoryOf(t, worldEvents, seed, test)
}

// withHistoryOf is withHistory with other events.
func withHistoryOf(t *testing.T, events []worldEvent, seed uint64, test func(w *ownersWorld)) {
	withHarness(t, func(h *harness) {
		w := &ownersWorld{
			events:  events,
			harness: h, random: rand.New(rand.NewPCG(seed, 1)), views: map[string]*view{},
			lossy:     &lossyWorkers{workers: h.workers, seed: seed, late: h.ctx},
			instances: []string{"a", "b", "c"}, ids: []batch.WorkerID{"w1", "w2", "w3"},
		}
		h.workers.taskDuration = time.Hour
		for _, name := range w.instances {
			w.start(name)
		}
		h.sleep(time.Second)
		w.submitJob("j", time.Hour, lastingTasks(3))
		h.sleep(2 * time.Second)
		for range historyEvents {
			e, name := w.drawEvent(), w.drawInstance()
			w.note("%s of %s", e.name, name)
			e.act(w, name)
			h.sleep(w.upTo(2500 * time.Millisecond))
		}
		test(w)
		w.checkNothingTwice()
		w.lossy.setLoss(0, 0)
		pause.For(context.Background(), reportEndPeriod) // reports of ends do not stop with the instances
	}, "w1", "w2", "w3")
}

// note adds a line to the history.
func (w *ownersWorld) note(format string, args ...any) {
	w.history += time.Now().UTC().Format("15:04:05.000 ") + fmt.Sprintf(format, args...) + "\n"
}

// checkNothingTwice checks that no task ran twice at the same time, or was started after an end as done that counts.
func (w *ownersWorld) checkNothingTwice() {
	if overlaps := w.workers.overlaps; overlaps > 0 {
		w.t.Errorf("%d starts of a task that ran:\n%s", overlaps, w.history)
	}
	if repeated := w.workers.repeatedEnds; repeated > 0 {
		w.t.Errorf("%d starts after an end as done that was acknowledged:\n%s", repeated, w.history)
	}
}

// The histories that are run, for more by hand.
var (
	histories    = flag.Int("histories", 0, "number of random histories of owners; 0 for that of each test")
	firstHistory = flag.Uint64("first-history", 0, "seed of the first of them")
)

// The default histories have the seeds from 0 on. The first startHistories end with their last event, and livenessHistories
// more with the check of what runs.
const (
	startHistories    = 150
	livenessHistories = 50
	historyEvents     = 40
)

// forHistories runs a test with the seeds of its histories.
func forHistories(t *testing.T, first uint64, count int, test func(t *testing.T, seed uint64)) {
	if *histories > 0 {
		first, count = *firstHistory, *histories
	}
	for seed := first; seed < first+uint64(count); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { test(t, seed) })
	}
}

// Guards against a task that runs twice after any series of kills, hand-overs, cuts and claims that are removed,
// while campaigns are refused or their answers are lost, and requests to workers get no answer.
func TestRandomHistoriesOfOwnersStartNothingTwice(t *testing.T) {
	forHistories(t, 0, startHistories, func(t *testing.T, seed uint64) {
		withHistory(t, seed, func(*ownersWorld) {})
	})
}
