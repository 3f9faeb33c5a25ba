package main

import (
	"sync"
	"time"
)

// statusSeconds replaces the status_s of the case, if it is above 0.
var statusSeconds int

const (
	shortStatusS = 12 // status_s of the settings, so that the end of the retention falls into the run
	usualRate    = 37 // jobs a second, as on the sheet of the grown Kochi installation
	burstFactor  = 2.6
	usualTime    = 6 * time.Second // before and after the burst
	burstTime    = 4 * time.Second
	// drops is how often the history is dropped, and dropInterval the time between.
	drops        = 12
	dropInterval = 1300 * time.Millisecond
)

// playRetention submits short jobs, waits until the time for which ended jobs are kept is over, and lets the store forget its
// history then.
func playRetention(w *world) (int, error) {
	w.statusS = shortStatusS
	if statusSeconds > 0 {
		w.statusS = statusSeconds
	}
	w.configure(1, queue{name: "calc", prefix: routePrefix})
	if err := w.addRunners(6); err != nil {
		return 0, err
	}
	if err := w.startInstances(); err != nil {
		return 0, err
	}
	begun := time.Now()
	var group sync.WaitGroup
	submitted := 0
	submitFor := func(d time.Duration, rate float64) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(float64(time.Second) / rate)) {
			id := jobID(submitted)
			submitted++
			group.Go(func() {
				w.submit(routePrefix, id, "ms=40", []step{{"count": 1, "cpu": 500, "mem-mb": 64, "estimate-ms": 40}})
			})
		}
	}
	submitFor(usualTime, usualRate)
	burstAt := time.Since(begun)
	submitFor(burstTime, usualRate*burstFactor)
	submitFor(usualTime, usualRate)
	group.Wait()
	w.rec.note("%d jobs were submitted; keys of jobs in the store: %d", submitted, w.store.count("gw/in/job/"))
	// Ended jobs are known for twice status_s.
	time.Sleep(time.Until(begun.Add(burstAt + 2*time.Duration(w.statusS)*time.Second)))
	for n := range drops {
		if w.trouble {
			w.rec.note("trouble %d: the store has dropped its history and cut the waiting watches; keys of jobs: %d", n+1, w.store.count("gw/in/job/"))
			w.store.dropHistory()
		}
		time.Sleep(dropInterval)
	}
	time.Sleep(5 * time.Second)
	w.rec.note("keys of jobs in the store: %d", w.store.count("gw/in/job/"))
	return w.startsAfterDone(), nil
}

// startsAfterDone counts the starts of tasks after a run of theirs had ended as done, an end that was taken note of (rule TWICE).
func (w *world) startsAfterDone() int {
	broken := 0
	done := map[string]runEvent{}
	for _, e := range w.history.all() {
		if e.how == "done" && *e.noted {
			done[e.run.task] = e
		}
		if first, ok := done[e.run.task]; ok && e.how == "" {
			broken++
			w.rec.note("TWICE: %s started on %s, %.1f s after run %d had ended as done on %s, which was noted", e.run, e.runner, e.at.Sub(first.at).Seconds(), first.run.number, first.runner)
		}
	}
	return broken
}
