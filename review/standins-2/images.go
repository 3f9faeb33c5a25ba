package main

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	learnedKey   = "gw/out/learned" // where the owner keeps what it has learned of pairs of images; read for the record only
	imagesRate   = 6.25             // jobs a second of each of the two classes
	imagesFactor = 2.6              // of a burst
	imagesTime   = 4 * time.Second  // of the usual traffic, and then of the burst
	probes       = 6
	finishTime   = 14 * time.Second // finish_s
	idleBound    = 3 * time.Second
)

// imageName returns the name of an image by its digest, as registries give it.
func imageName(kind string, n int) string {
	name := fmt.Sprintf("registry.nilewave.example/levy-desk/%s-%03d", kind, n)
	return fmt.Sprintf("%s@sha256:%x", name, sha256.Sum256([]byte(name)))
}

// playImages runs tasks that serve beside tasks that fill, each job with an image of its own. In the burst, 2.6 times as many jobs
// come. Then it hands in jobs that must run.
func playImages(w *world) (int, error) {
	var mu sync.Mutex
	refused := map[string]int{}
	w.store.onTooLarge = func(key string, size int) {
		mu.Lock()
		defer mu.Unlock()
		if refused[key]++; refused[key] == 1 {
			w.rec.note("the store refuses the value of %s: %d bytes, value-bytes is %d", key, size, maxValueBytes)
		}
	}
	w.configure(1, queue{name: "watch", prefix: "/watch/"}, queue{name: "calc", prefix: routePrefix, priority: 2})
	if err := w.addRunners(3); err != nil {
		return 0, err
	}
	if err := w.startInstances(); err != nil {
		return 0, err
	}
	image := 0
	submitFor := func(rate float64) {
		begun := time.Now()
		for ; time.Since(begun) < imagesTime; image++ {
			w.submit("/watch/", jobID(2*image), "serves", []step{{"count": 3, "cpu": 100, "mem-mb": 64, "estimate-ms": 500, "long-running": true, "anti-affinity": 1, "image": imageName("recipe-watch", image), "target-ms": 1000}})
			w.submit(routePrefix, jobID(2*image+1), "ms=110000", []step{{"count": 3, "cpu": 50, "mem-mb": 64, "estimate-ms": 110000, "fills": true, "anti-affinity": 1, "image": imageName("return-prep", image)}})
			time.Sleep(time.Duration(float64(time.Second) / rate))
		}
	}
	submitFor(imagesRate)
	w.rec.note("usual traffic: %d jobs", 2*image)
	rate := imagesRate
	if w.trouble {
		w.rec.note("trouble: %.1f times the traffic for %s", imagesFactor, imagesTime)
		rate *= imagesFactor
	}
	submitFor(rate)
	time.Sleep(6 * time.Second)
	w.rec.note("%d jobs; %s has %d bytes", 2*image, learnedKey, w.store.valueBytes(learnedKey))
	accepted := map[string]time.Time{}
	for range probes {
		id := fmt.Sprintf("%016x", rand.Uint64())
		if w.submit(routePrefix, id, "ms=300", []step{{"count": 1, "cpu": 500, "mem-mb": 64, "estimate-ms": 300}}) {
			accepted[id] = time.Now()
		}
	}
	w.rec.note("%d of %d further jobs were accepted", len(accepted), probes)
	time.Sleep(finishTime + idleBound + time.Second)
	return w.neverStarted(accepted), nil
}

// neverStarted counts the accepted jobs that nothing has run of (rule LOST: there is room, their turn has come, and nothing runs for
// idleBound, finishTime after the end of the traffic).
func (w *world) neverStarted(accepted map[string]time.Time) int {
	started := map[string]bool{}
	for _, e := range w.history.all() {
		started[jobOf(e.run.task)] = true
	}
	broken := 0
	for id, at := range accepted {
		if !started[id] {
			broken++
			w.rec.note("LOST: job %s was accepted %.1f s ago and nothing of it has run; its state is shown as %q", id, time.Since(at).Seconds(), w.state(routePrefix, id))
		}
	}
	return broken
}
