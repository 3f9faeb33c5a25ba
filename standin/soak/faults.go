package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// fault begins a trouble and returns what it did and how to end it.
type fault func(w *world, rng *rand.Rand) (what string, heal func(w *world))

// injectFaults begins a fault every now and then; several may last at once.
func (w *world) injectFaults(ctx context.Context, rng *rand.Rand) {
	all := []fault{
		onInstance(killInstance), onInstance(killInstance), onInstance(freezeInstance), onInstance(freezeInstance),
		onInstance(stopInstance), cutFromStore, cutFromStore,
		storeDown, storeLoses, historyDropped, newConfiguration,
		cutWorker, cutWorker, crashWorker, greyWorker, lateWorker, drainWorker,
	}
	for {
		pause.For(ctx, time.Duration(200+rng.IntN(1100))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		what, heal := all[rng.IntN(len(all))](w, rng)
		lasts := time.Duration(300+rng.IntN(4000)) * time.Millisecond
		if what == "" {
			continue
		}
		w.mu.Lock()
		w.faults = append(w.faults, fmt.Sprintf("%.2f s: %s for %s", time.Since(w.begun).Seconds(), what, lasts))
		w.mu.Unlock()
		w.healing.Go(func() {
			pause.For(context.Background(), lasts)
			heal(w)
		})
	}
}

// pickInstance returns an instance that may be taken away, or nil if it is the last one.
func (w *world) pickInstance(rng *rand.Rand) *instance {
	var up []*instance
	for _, i := range w.instances {
		if i.up() {
			up = append(up, i)
		}
	}
	if len(up) < 2 {
		return nil
	}
	return up[rng.IntN(len(up))]
}

// onInstance is a fault of an instance that may be taken away.
func onInstance(act func(i *instance) (what string, heal func(*world))) fault {
	return func(w *world, rng *rand.Rand) (string, func(*world)) {
		w.mu.Lock()
		defer w.mu.Unlock()
		i := w.pickInstance(rng)
		if i == nil {
			return "", nil
		}
		return act(i)
	}
}

func killInstance(i *instance) (string, func(*world)) {
	i.kill()
	return "kill " + i.name, func(w *world) { w.restart(i) }
}

func stopInstance(i *instance) (string, func(*world)) {
	wait := i.stop()
	return "stop " + i.name, func(w *world) {
		if err := wait(); err != nil {
			w.judge.RecordViolation("STOP", "%v", err)
		}
		w.restart(i)
	}
}

func freezeInstance(i *instance) (string, func(*world)) {
	if i.freeze(true) != nil {
		return "", nil // it has ended meanwhile
	}
	return "freeze " + i.name, func(w *world) {
		w.mu.Lock()
		defer w.mu.Unlock()
		_ = i.freeze(false) // it was killed meanwhile if this fails
	}
}

// restart starts the process of an instance again if it is gone.
func (w *world) restart(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !i.ended() {
		return
	}
	if !i.ending {
		w.judge.RecordViolation("EXIT", "%s ended by itself; see %s", i.name, i.proc.LogFile)
	}
	if err := i.start(); err != nil {
		w.judge.RecordViolation("START", "%s: %v", i.name, err)
	}
}

func cutFromStore(w *world, rng *rand.Rand) (string, func(*world)) {
	i := w.instances[rng.IntN(len(w.instances))]
	mode := Silent + Mode(rng.IntN(4))
	i.store.SetMode(mode)
	return fmt.Sprintf("%s to the store: %s", i.name, mode), func(*world) { i.store.SetMode(Pass) }
}

func storeDown(w *world, _ *rand.Rand) (string, func(*world)) {
	w.store.SetDown(true)
	return "store down", func(w *world) { w.store.SetDown(false) }
}

func storeLoses(w *world, _ *rand.Rand) (string, func(*world)) {
	const share = 0.3
	w.store.SetLostAnswerShare(share)
	return "store loses answers", func(w *world) { w.store.SetLostAnswerShare(0) }
}

func historyDropped(w *world, _ *rand.Rand) (string, func(*world)) {
	w.store.Compact()
	return "history dropped", func(*world) {}
}

func newConfiguration(w *world, _ *rand.Rand) (string, func(*world)) {
	w.store.Put("op/config", config(time.Now().UnixMilli()))
	return "configuration", func(*world) {}
}

func (w *world) pickWorker(rng *rand.Rand) *Worker { return w.workers[rng.IntN(len(w.workers))] }

func cutWorker(w *world, rng *rand.Rand) (string, func(*world)) {
	worker := w.pickWorker(rng)
	mode := Silent + Mode(rng.IntN(4))
	worker.link.SetMode(mode)
	return fmt.Sprintf("%s: %s", worker.ID, mode), func(*world) { worker.link.SetMode(Pass) }
}

func crashWorker(w *world, rng *rand.Rand) (string, func(*world)) {
	worker := w.pickWorker(rng)
	worker.Crash()
	return "crash " + worker.ID, func(w *world) {
		worker.Restart()
		w.store.Put("servers/"+worker.ID, worker.Entry("ready"))
	}
}

func greyWorker(w *world, rng *rand.Rand) (string, func(*world)) {
	const share = 0.5
	worker := w.pickWorker(rng)
	worker.SetTaskFailureShare(share)
	return "grey " + worker.ID, func(*world) { worker.SetTaskFailureShare(0) }
}

func lateWorker(w *world, rng *rand.Rand) (string, func(*world)) {
	const share = 0.3
	worker := w.pickWorker(rng)
	worker.SetDelayedRequestShare(share)
	return "late orders at " + worker.ID, func(*world) { worker.SetDelayedRequestShare(0) }
}

// drainWorker lets a worker leave, and come back as another life of the same machine.
func drainWorker(w *world, rng *rand.Rand) (string, func(*world)) {
	worker := w.pickWorker(rng)
	w.store.Put("servers/"+worker.ID, worker.Entry("draining"))
	return "drain " + worker.ID, func(w *world) {
		worker.Crash()
		w.store.Delete("servers/" + worker.ID)
		pause.For(context.Background(), time.Second)
		worker.Restart()
		w.store.Put("servers/"+worker.ID, worker.Entry("ready"))
	}
}
