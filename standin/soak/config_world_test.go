package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/connlimit"
	"github.com/geraniumwick/geraniumwick/internal/entry"
	"github.com/geraniumwick/geraniumwick/internal/owner"
	"github.com/geraniumwick/geraniumwick/internal/pause"
	"github.com/geraniumwick/geraniumwick/platform"
)

const (
	// configCheckInterval is the time between two looks at the configurations in force.
	configCheckInterval = 20 * time.Millisecond
	// claimTTL is how long the store keeps a claim that is not renewed.
	claimTTL = 1200 * time.Millisecond
	// storeLatency is how long the store takes for a call.
	storeLatency = 4 * time.Millisecond
	// worldLength is how long changes and faults go on in one history.
	worldLength = 25 * time.Second
)

// operatorState is what the operators have written: the version of the configuration and the evacuated data
// centre, if there is one. No two states of a history are equal.
type operatorState struct {
	version   int64
	evacuated string
}

// configWorld has instances that follow the configuration in a store, under faults and under synthetic time.
type configWorld struct {
	t         *testing.T
	rng       *rand.Rand
	store     *Store
	listener  *pipeListener
	server    *http.Server
	instances []*followingInstance

	mu       sync.Mutex
	slow     time.Duration   // added to storeLatency
	history  []operatorState // each with the time of its acknowledgement in ackedAt
	ackedAt  []time.Time
	faults   int       // in force now
	calmFrom time.Time // when the last fault ended
	trace    []string
	begun    time.Time
	over     bool
}

// followingInstance is an instance that is not the owner, with its connections to the store.
type followingInstance struct {
	name     string
	pipes    *pipes
	store    *platform.Store
	instance *entry.Instance
	stop     context.CancelFunc
	// newest is the index of the newest state that it has had in force since its start, -1 before the first.
	newest int
}

func newConfigWorld(t *testing.T, seed uint64, instances int) *configWorld {
	w := &configWorld{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), store: NewStore(seed), begun: time.Now(),
		listener: &pipeListener{accepted: make(chan net.Conn, 1000), closed: make(chan struct{})},
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(w.listener) }()
	w.claimForAnother()
	w.newVersion(1)
	for n := range instances {
		f := &followingInstance{name: fmt.Sprintf("i%d", n), pipes: &pipes{accepted: w.listener.accepted}}
		w.start(f)
		w.instances = append(w.instances, f)
	}
	return w
}

// ServeHTTP implements http.Handler.
func (w *configWorld) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	delay := storeLatency + w.slow
	w.mu.Unlock()
	time.Sleep(delay)
	w.store.ServeHTTP(rw, r)
}

// claimForAnother stores the claim of an owner, so that no instance of this world leads.
func (w *configWorld) claimForAnother() {
	claim, err := cbor.Marshal(owner.Claim{Epoch: 1, Instance: "other", Address: "127.0.0.1:1"})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.PutText(claimKey, claim)
}

// evacuationPrefix is the prefix of the keys of evacuated data centres.
const evacuationPrefix = "op/evacuate/"

// newVersion writes a version of the configuration as the operators do.
func (w *configWorld) newVersion(version int64) {
	w.operate(func(s *operatorState) {
		s.version = version
		w.store.Put("op/config", config(version))
	})
}

// evacuate writes that a data centre is evacuated, and endEvacuation that it no longer is.
func (w *configWorld) evacuate(dataCentre string) {
	w.operate(func(s *operatorState) {
		s.evacuated = dataCentre
		w.store.PutText(evacuationPrefix+dataCentre, []byte("{}"))
	})
}

func (w *configWorld) endEvacuation() {
	w.operate(func(s *operatorState) {
		w.store.Delete(evacuationPrefix + s.evacuated)
		s.evacuated = ""
	})
}

// operate makes one change of what the operators have written.
func (w *configWorld) operate(change func(s *operatorState)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var s operatorState
	if len(w.history) > 0 {
		s = w.history[len(w.history)-1]
	}
	change(&s)
	w.history, w.ackedAt = append(w.history, s), append(w.ackedAt, time.Now())
	w.note("state %d: %+v", len(w.history)-1, s)
}

// note adds a line to the trace of the history. The caller must hold w.mu.
func (w *configWorld) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%.3f s: ", time.Since(w.begun).Seconds())+fmt.Sprintf(format, args...))
}

// start starts an instance without any knowledge.
func (w *configWorld) start(f *followingInstance) {
	ctx, cancel := context.WithCancel(context.Background())
	f.newest, f.stop = -1, cancel
	f.store = platform.NewStoreWithDialer("store", f.pipes.dial, zerolog.Nop())
	options := entry.Options{Name: f.name, Owner: owner.Options{LeaseTTL: claimTTL, MaxWorkerLease: longMaxLease, JobRetention: time.Minute}}
	f.instance = entry.New(options, f.store, platform.ConfigDecoder{}, platform.NewWorkerClient(connlimit.New(0), zerolog.Nop()), platform.Registry{}, zerolog.Nop())
	go f.instance.Run(ctx)
}

// beginFault notes a fault. The returned function notes its end, from which on the world may become calm.
func (w *configWorld) beginFault(format string, args ...any) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults++
	w.note(format, args...)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faults--
		w.calmFrom = time.Now()
		w.note("end of: "+format, args...)
	}
}

// check fails the test if an instance has a state in force that it may not have.
func (w *configWorld) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	calm := w.faults == 0 && time.Since(w.calmFrom) >= contactTime
	due := -1 // the newest state that must be in force
	for n, at := range w.ackedAt {
		if time.Since(at) > maxConfigDelay {
			due = n
		}
	}
	for _, f := range w.instances {
		n := w.stateOf(f)
		switch {
		case n < f.newest:
			w.fail("%s goes back from state %d to %d", f.name, f.newest, n)
		case calm && n < due:
			w.fail("%s has state %d, and %d was acknowledged %s ago", f.name, n, due, time.Since(w.ackedAt[due]))
		}
		f.newest = max(f.newest, n)
	}
}

// stateOf returns the index of the state that an instance has in force; -1 if it knows none. The caller must
// hold w.mu.
func (w *configWorld) stateOf(f *followingInstance) int {
	config := f.instance.Config()
	if config == nil {
		return -1
	}
	s := operatorState{version: config.Batch.Version}
	for zone := range config.Batch.Evacuated {
		s.evacuated += zone
	}
	for n := range w.history {
		if w.history[n] == s {
			return n
		}
	}
	w.fail("%s has %+v in force, which the operators never wrote", f.name, s)
	return -1
}

// fail reports a violation with the trace, once for each history. The caller must hold w.mu.
func (w *configWorld) fail(format string, args ...any) {
	if w.over {
		return
	}
	w.over = true
	w.note(format, args...)
	for _, line := range w.trace {
		w.t.Log(line)
	}
	w.t.Fail()
}

// useStore makes calls of a number of callers at once, which leaves as many connections open.
func (w *configWorld) useStore(f *followingInstance, callers int) {
	store := f.store
	for range callers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = store.Get(ctx, "key") // what it answers is of no interest here
		}()
	}
}

// watch checks the instances until ctx ends.
func (w *configWorld) watch(ctx context.Context) {
	for ; ctx.Err() == nil; pause.For(ctx, configCheckInterval) {
		w.check()
	}
}

// close ends all instances and the server, and waits until their goroutines have ended.
func (w *configWorld) close() {
	for _, f := range w.instances {
		f.stop()
		f.pipes.mu.Lock()
		conns := f.pipes.conns
		f.pipes.mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	}
	_ = w.server.Close()
	time.Sleep(time.Minute) // calls that are still waiting give up
}

// silenceAll makes the open connections of all instances, or of one, silent.
func (w *configWorld) silenceAll(f *followingInstance) {
	defer w.beginFault("open connections silent (%s)", nameOr(f, "all"))()
	for _, i := range w.instances {
		if f == nil || i == f {
			i.pipes.silence()
		}
	}
}

func nameOr(f *followingInstance, name string) string {
	if f != nil {
		return f.name
	}
	return name
}

// dropHistory lets watches hear nothing for a second, and drops the history at its end.
func (w *configWorld) dropHistory() {
	defer w.beginFault("watches hear nothing, then the history is dropped")()
	w.store.SetMuted(true)
	time.Sleep(time.Second)
	w.store.SetMuted(false)
	w.store.Compact()
}

// forAWhile applies a fault and reverts it after a random time.
func (w *configWorld) forAWhile(name string, set func(on bool)) {
	d := time.Duration(300+w.random(4200)) * time.Millisecond
	defer w.beginFault("%s for %s", name, d)()
	set(true)
	time.Sleep(d)
	set(false)
}

// cutOff takes the path to the store from an instance for a while.
func (w *configWorld) cutOff(f *followingInstance) {
	w.forAWhile(f.name+" cut off from the store", func(on bool) {
		f.pipes.setCut(on)
		if on {
			f.pipes.silence()
		}
	})
}

// restart starts an instance anew.
func (w *configWorld) restart(f *followingInstance) {
	end := w.beginFault("%s restarted", f.name)
	w.mu.Lock()
	f.stop()
	w.start(f)
	w.mu.Unlock()
	end()
}

func (w *configWorld) setSlow(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow = 0
	if on {
		w.slow = 300 * time.Millisecond
	}
}

// random returns a random number below n. Several goroutines use it, whose order synthetic time decides.
func (w *configWorld) random(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// randomFault injects a random fault and waits for its end.
func (w *configWorld) randomFault() {
	f := w.instances[w.random(len(w.instances))]
	switch w.random(9) {
	case 0, 1:
		w.silenceAll(nil)
	case 2:
		w.silenceAll(f)
	case 3:
		w.dropHistory()
	case 4:
		w.forAWhile("store refuses", w.store.SetDown)
	case 5:
		w.forAWhile("store silent", w.store.SetSilent)
	case 6:
		w.cutOff(f)
	case 7:
		w.restart(f)
	default:
		w.forAWhile("store slow", w.setSlow)
	}
}

// randomChange makes a random change. An evacuation ends together with a new version, so that no state comes twice.
func (w *configWorld) randomChange() {
	w.mu.Lock()
	s, n := w.history[len(w.history)-1], len(w.history)+1
	w.mu.Unlock()
	switch {
	case w.random(3) > 0:
		w.newVersion(int64(n))
	case s.evacuated == "":
		w.evacuate(fmt.Sprintf("z%d", n))
	default:
		w.newVersion(int64(n))
		w.endEvacuation()
	}
}

var configHistories = flag.Uint64("config-histories", 60, "number of histories of TestChangesAreInForceInTime")

// Guards against a change that is not in force in time, or that is taken back, when connections go silent for good,
// the history is dropped, or the store is slow, refuses, or can't be reached, also together and one after the other.
func TestChangesAreInForceInTime(t *testing.T) {
	for seed := range *configHistories {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				w := newConfigWorld(t, seed, 1+int(seed%3))
				defer w.close()
				ctx, cancel := context.WithTimeout(t.Context(), worldLength)
				defer cancel()
				var group sync.WaitGroup
				group.Go(func() { w.watch(ctx) })
				group.Go(func() {
					for pause.For(ctx, 3*time.Second); ctx.Err() == nil; pause.For(ctx, time.Duration(w.random(5000))*time.Millisecond) {
						w.randomFault()
					}
				})
				group.Go(func() {
					for ; ctx.Err() == nil; pause.For(ctx, time.Duration(50+w.random(900))*time.Millisecond) {
						w.randomChange()
					}
				})
				group.Go(func() {
					for ; ctx.Err() == nil; pause.For(ctx, time.Duration(w.random(12000))*time.Millisecond) {
						w.useStore(w.instances[w.random(len(w.instances))], 1+w.random(8))
					}
				})
				group.Wait()
			})
		})
	}
}

// Guards against a watch that waits on one silent connection after the other, as connections that few callers use
// stay open for long.
func TestOneSilentConnectionDelaysAChangeAtMost(t *testing.T) {
	for _, unused := range []int{0, 1, 3, 8} {
		t.Run(fmt.Sprint(unused), func(t *testing.T) {
			atEachPhaseOfAWatch(t, func(w *configWorld, phase time.Duration) {
				w.silenceAfterUse(unused, phase)
				w.newVersion(2)
			}, (*configWorld).hasVersion2)
		})
	}
}

// Guards against an owner whose end is noticed late, since the watches of the claim wait on silent connections.
func TestOneSilentConnectionDelaysACampaignAtMost(t *testing.T) {
	for _, unused := range []int{0, 8} {
		t.Run(fmt.Sprint(unused), func(t *testing.T) {
			atEachPhaseOfAWatch(t, func(w *configWorld, phase time.Duration) {
				w.silenceAfterUse(unused, phase)
				w.store.Delete(claimKey)
			}, (*configWorld).hasOwner)
		})
	}
}

// silenceAfterUse lets an instance have unused connections and makes all of its connections silent, some time later.
func (w *configWorld) silenceAfterUse(unused int, phase time.Duration) {
	time.Sleep(time.Second)
	w.useStore(w.instances[0], unused)
	time.Sleep(3*time.Second + phase)
	w.silenceAll(nil)
}

func (w *configWorld) hasVersion2() bool { return w.instances[0].instance.Config().Batch.Version == 2 }

func (w *configWorld) hasOwner() bool {
	return bytes.Contains(w.store.Value(claimKey), []byte(w.instances[0].name))
}

// atEachPhaseOfAWatch checks that what a scenario changes at its end has its effect in time, whenever in the course of a
// watch the scenario comes.
func atEachPhaseOfAWatch(t *testing.T, scenario func(w *configWorld, phase time.Duration), effect func(*configWorld) bool) {
	const phases, step = 20, 100 * time.Millisecond
	for n := range time.Duration(phases) {
		t.Run((n * step).String(), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				w := newConfigWorld(t, 1, 1)
				defer w.close()
				scenario(w, n*step)
				time.Sleep(maxConfigDelay)
				is.True(effect(w))
			})
		})
	}
}

// Guards against a change that is not read before the store answers a watch again, although it answers all else.
func TestAChangeIsReadWhenWatchesHearNothing(t *testing.T) {
	atEachPhaseOfAWatch(t, func(w *configWorld, phase time.Duration) {
		time.Sleep(3*time.Second + phase)
		go w.dropHistory()
		time.Sleep(10 * time.Millisecond)
		w.newVersion(2)
	}, (*configWorld).hasVersion2)
}
