package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The doses of the disruption, and the bounds of the rule, as the pages give them.
const (
	lostShare       = 0.35                    // of the writes, done and not answered
	lostFor         = 4500 * time.Millisecond // how long answers are lost
	minLate         = time.Second             // "late": done 1 to 6 s later
	maxLate         = 6 * time.Second
	leavingShare    = 0.25 // of the consumers leave before their time budget
	leavesAfter     = 125 * time.Millisecond
	cancelBound     = 3000 * time.Millisecond // cancel_ms
	stopBound       = 400 * time.Millisecond  // stop-ms
	contactTime     = 3000 * time.Millisecond // contact-ms
	withdrawnRate   = 12                      // jobs a second
	withdrawnBefore = 3 * time.Second         // of calm traffic before and after the disruption
)

// withdrawal is a cancelled job, with the time at which its cancelling was acknowledged.
type withdrawal struct {
	job      string
	status   int
	ackedAt  time.Time
	answered bool // the submission had an answer
}

// playWithdrawn lets consumers leave without an answer to their submission and cancel the job, while the store loses answers and
// carries the writes out late.
func playWithdrawn(w *world) (int, error) {
	w.configure(1, queue{name: "calc", prefix: routePrefix})
	if err := w.addRunners(6); err != nil {
		return 0, err
	}
	if err := w.startInstances(); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var withdrawals []withdrawal
	var group sync.WaitGroup
	n := 0
	submitFor := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / withdrawnRate) {
			id := jobID(n)
			n++
			leaves := rand.Float64() < leavingShare
			group.Go(func() {
				if !leaves {
					w.submit(routePrefix, id, "ms=300", []step{{"count": 1, "cpu": 500, "mem-mb": 64, "estimate-ms": 300}})
					return
				}
				if c, ok := w.submitAndLeave(id); ok {
					mu.Lock()
					defer mu.Unlock()
					withdrawals = append(withdrawals, c)
				}
			})
		}
	}
	submitFor(withdrawnBefore)
	begun := time.Now()
	ended := begun.Add(lostFor)
	if w.trouble {
		w.rec.note("trouble: for %s, %.2f of the writes get no answer and are carried out %s to %s later", lostFor, lostShare, minLate, maxLate)
		w.store.setLoseWrite(func(t txn) (time.Duration, bool) {
			if time.Now().After(ended) || rand.Float64() >= lostShare {
				return 0, false
			}
			delay := minLate + rand.N(maxLate-minLate)
			for _, set := range t.Set {
				if id, ok := strings.CutPrefix(set.Key, "gw/in/job/"); ok {
					w.rec.line("late   the write of job %s gets no answer and is carried out in %s", id, delay.Round(time.Millisecond))
				}
			}
			return delay, true
		})
	}
	submitFor(lostFor)
	w.rec.note("the store answers all calls again")
	submitFor(withdrawnBefore)
	group.Wait()
	time.Sleep(maxLate + cancelBound + 2*time.Second)
	return w.runsAfterCancel(withdrawals, ended), nil
}

// submitAndLeave submits a job of one long task, waits for the answer for leavesAfter at most, and cancels the job. It returns false if
// no cancelling was acknowledged.
func (w *world) submitAndLeave(id string) (withdrawal, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leavesAfter)
	defer cancel()
	job := map[string]any{"spec": "ms=30000", "steps": []step{{"count": 1, "cpu": 500, "mem-mb": 64, "estimate-ms": 30000}}}
	status, _ := w.call(ctx, w.any(), http.MethodPost, routePrefix+id, job)
	for range 5 {
		if deleted, _ := w.call(context.Background(), w.any(), http.MethodDelete, routePrefix+id, nil); deleted/100 == 2 || deleted == http.StatusGone {
			return withdrawal{job: id, status: deleted, ackedAt: time.Now(), answered: status != 0}, true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return withdrawal{}, false
}

// runsAfterCancel counts the cancelled jobs of which a task is started later than cancelBound after the acknowledgement, or runs on for
// stopBound after that, with the store sound for contactTime (rule UNASKED).
func (w *world) runsAfterCancel(withdrawals []withdrawal, storeSound time.Time) int {
	started, ended := map[string]time.Time{}, map[string]time.Time{}
	for _, e := range w.history.all() {
		if e.how == "" {
			started[jobOf(e.run.task)] = e.at
		} else {
			ended[jobOf(e.run.task)] = e.at
		}
	}
	broken, unanswered, gone := 0, 0, 0
	inTouch := storeSound.Add(contactTime)
	for _, c := range withdrawals {
		if !c.answered {
			unanswered++
		}
		if c.status == http.StatusGone {
			gone++
		}
		at, ok := started[c.job]
		if !ok {
			continue
		}
		startBound, runBound := later(c.ackedAt.Add(cancelBound), inTouch), later(c.ackedAt.Add(cancelBound+stopBound), inTouch)
		end, hasEnded := ended[c.job]
		if !hasEnded {
			end = time.Now()
		}
		switch {
		case at.After(startBound):
			broken++
			w.rec.note("UNASKED: job %s started %.1f s after its cancelling had been acknowledged with %d", c.job, at.Sub(c.ackedAt).Seconds(), c.status)
		case end.After(runBound):
			broken++
			w.rec.note("UNASKED: job %s started %.1f s after its cancelling had been acknowledged with %d, and ran on for %.1f s", c.job, at.Sub(c.ackedAt).Seconds(), c.status, end.Sub(at).Seconds())
		}
	}
	w.rec.note("cancelled jobs: %d; without an answer to the submission: %d; cancelling acknowledged with 410: %d", len(withdrawals), unanswered, gone)
	return broken
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
