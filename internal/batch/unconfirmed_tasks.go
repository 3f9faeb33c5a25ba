package batch

import (
	"fmt"
	"strings"
	"time"
)

// unconfirmedPhase says how far the start of an attempt has come that no report has listed yet.
type unconfirmedPhase uint8

// The phases.
const (
	startOnItsWay      unconfirmedPhase = iota // the start may still be answered
	startAccepted                              // the worker has accepted it, and its next report is awaited
	startNotAnswered                           // it got no answer, and neither did its stop
	startStopped                               // it got no answer, its stop did, and a report that lacks it is awaited
	workerOutOfContact                         // its worker does not report
	unconfirmedPhases
)

// unconfirmedPhaseNames are the phases in the log and in the metrics.
var unconfirmedPhaseNames = [unconfirmedPhases]string{
	startOnItsWay: "start-sent", startAccepted: "start-accepted", startNotAnswered: "start-not-answered", startStopped: "stop-answered",
	workerOutOfContact: "out-of-contact",
}

// unconfirmedPhase returns the phase of an attempt that was sent and is not listed.
func (a *attempt) unconfirmedPhase() unconfirmedPhase {
	switch {
	case a.worker.unreachable:
		return workerOutOfContact
	case a.startPending:
		return startOnItsWay
	case !a.acceptedAt.IsZero():
		return startAccepted
	case a.stopAnsweredAt.IsZero():
		return startNotAnswered
	default:
		return startStopped
	}
}

// unconfirmedTasks counts the tasks whose only attempts are in one phase.
type unconfirmedTasks struct {
	count int
	first *attempt // the one that was decided first
}

// countUnconfirmed counts the tasks that have attempts of which none is known to run, by the phase of the newest.
func (s *State) countUnconfirmed() [unconfirmedPhases]unconfirmedTasks {
	var counts [unconfirmedPhases]unconfirmedTasks
	for _, w := range s.workers {
		for _, a := range w.attempts {
			if a.listed || a.unsent || a.run != a.task().lastRun || a.step.job.outcome.Terminal() {
				continue
			}
			c := &counts[a.unconfirmedPhase()]
			if c.count++; c.first == nil || a.requestedAt.Before(c.first.requestedAt) {
				c.first = a
			}
		}
	}
	return counts
}

// UnconfirmedTasks is how many tasks have attempts of which none is known to run, for one phase of the newest, and for
// how long the first of these has been so.
type UnconfirmedTasks struct {
	Phase  string
	Count  int
	Oldest time.Duration
}

// UnconfirmedTasks returns the tasks of which no attempt is known to run, by the phase. It names each phase.
func (s *State) UnconfirmedTasks(now time.Time) []UnconfirmedTasks {
	var out []UnconfirmedTasks
	for p, c := range s.countUnconfirmed() {
		u := UnconfirmedTasks{Phase: unconfirmedPhaseNames[p], Count: c.count}
		if c.first != nil {
			u.Oldest = now.Sub(c.first.requestedAt)
		}
		out = append(out, u)
	}
	return out
}

// reportUnconfirmedTasks logs how many tasks have attempts of which none is known to run, if that is so for long.
func (s *State) reportUnconfirmedTasks(now time.Time) {
	if now.Sub(s.lastUnconfirmedReport) < waitReportInterval {
		return
	}
	s.lastUnconfirmedReport = now
	counts := s.countUnconfirmed()
	var oldest *attempt
	var b strings.Builder
	for p, c := range counts {
		if c.first == nil {
			continue
		}
		if oldest == nil || c.first.requestedAt.Before(oldest.requestedAt) {
			oldest = c.first
		}
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%d %s (first for %s)", c.count, unconfirmedPhaseNames[p], now.Sub(c.first.requestedAt).Round(time.Millisecond))
	}
	if oldest == nil || now.Sub(oldest.requestedAt) < waitReportInterval {
		return
	}
	s.event(Event{
		Name: "tasks.unconfirmed", Job: oldest.step.job.ID, Task: oldest.id(), Run: oldest.run, Worker: oldest.worker.info.ID,
		Detail: "tasks with starts that are not known to run: " + b.String(),
	})
}
