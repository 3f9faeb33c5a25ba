package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	adviceJobs  = 6
	bothServe   = 5 * time.Second // how long the advice service serves at both addresses
	settleAfter = 5 * time.Second // from the change of the settings to the next jobs
)

// playAdvice moves the advice service to another address, which the settings files of all instances name from then on, and hands in
// jobs of a queue that needs its tickets.
func playAdvice(w *world) (int, error) {
	p := &policy{tickets: map[string]time.Time{}}
	first, err := newAdviser("first", w.address(200), p, w.rec)
	if err != nil {
		return 0, err
	}
	w.advice = first.address
	w.configure(1, queue{name: "calc", prefix: routePrefix, advice: map[string]int{
		"decide-ms": int(decideTime.Milliseconds()), "each-ms": int(eachTime.Milliseconds()), "valid-ms": int(ticketValid.Milliseconds()),
	}})
	if err := w.addRunners(6); err != nil {
		return 0, err
	}
	for _, r := range w.runners {
		r.needsTicket = p.accepts
	}
	if err := w.startInstances(); err != nil {
		return 0, err
	}
	before := w.submitAdviceJobs()
	time.Sleep(2 * time.Second)
	if broken := w.neverStarted(before); broken > 0 {
		return 0, fmt.Errorf("%d jobs did not start before the disruption", broken)
	}
	w.rec.note("all %d jobs before have run", len(before))
	if w.trouble {
		if err := w.moveAdvice(first, p); err != nil {
			return 0, err
		}
	} else {
		time.Sleep(bothServe)
	}
	time.Sleep(settleAfter)
	accepted := w.submitAdviceJobs()
	w.rec.note("%d of %d further jobs were accepted", len(accepted), adviceJobs)
	time.Sleep(finishTime + idleBound + time.Second)
	return w.neverStarted(accepted), nil
}

// moveAdvice serves advice at a second address, writes that into all settings files, and ends the first one.
func (w *world) moveAdvice(first *adviser, p *policy) error {
	second, err := newAdviser("second", w.address(201), p, w.rec)
	if err != nil {
		return err
	}
	w.advice = second.address
	for _, i := range w.instances {
		if err := w.writeSettings(i); err != nil {
			return err
		}
		if err := i.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return err
		}
		w.rec.note("trouble: %s has a new settings file, with another address under advice, and got SIGHUP", i.name)
	}
	time.Sleep(bothServe)
	w.rec.note("the advice service has left its first address")
	return first.server.Close()
}

func (w *world) submitAdviceJobs() map[string]time.Time {
	accepted := map[string]time.Time{}
	for range adviceJobs {
		id := fmt.Sprintf("%016x", rand.Uint64())
		if w.submit(routePrefix, id, "ms=300", []step{{"count": 2, "cpu": 500, "mem-mb": 64, "estimate-ms": 300}}) {
			accepted[id] = time.Now()
		}
	}
	return accepted
}
