package batch

import (
	"slices"
	"time"
)

const (
	// failuresToQuarantine is the number of failed tasks in a row after which a worker gets no more.
	failuresToQuarantine = 2
	// quarantineTime is how long such a worker gets nothing; then a single failure shuns it again.
	quarantineTime = 8 * time.Second
	// refusalQuarantineTime is the same after a worker refused a start as unwell.
	refusalQuarantineTime = time.Second
)

// worker is what the owner knows of one life of a worker.
type worker struct {
	info              WorkerInfo
	rack              string
	listed            bool // the registry names it
	recorded          bool // the store knows that it may be in use
	synced            bool // it has listed what runs there under our epoch
	unreachable       bool // the last call to it failed
	leased            bool // it has confirmed a renewal of its lease since contact was lost
	runsUnknownTasks  bool // it runs tasks of unknown jobs, whose size nobody knows
	leaseEnd          time.Time
	used              Resources
	bestEffort        int       // attempts of filler tasks
	bestEffortCPU     int64     // what they ask for at their pace
	latencySensitive  int       // attempts with a latency target
	longRunning       int       // attempts of tasks that last
	targetMissedSince time.Time // since when a latency is near its target
	// felts is what tasks with a latency target feel there as of latencyGroupsAt, which is zero after
	// a change on the worker.
	latencyGroupsAt time.Time
	latencyGroups   []latencyGroup
	// idleCPU is what tasks with a latency target leave of their processors as of latencyGroupsAt, in
	// thousandths of a core.
	idleCPU int64
	// bestEffortEndedAt is when a filler that worked ended there last.
	bestEffortEndedAt time.Time
	attempts          map[attemptKey]*attempt
	failures          int // failed attempts since the last one that was done
	quarantinedUntil  time.Time
}

// UpdateWorker takes in what the registry says of a worker.
func (s *State) UpdateWorker(info WorkerInfo, now time.Time) {
	w := s.workers[info.ID]
	if w == nil {
		w = &worker{attempts: map[attemptKey]*attempt{}}
		s.workers[info.ID] = w
		s.sorted = nil
		w.info.Incarnation = info.Incarnation
	}
	if info.Incarnation < w.info.Incarnation {
		return
	}
	if info.Incarnation > w.info.Incarnation {
		s.handleRestart(w, info.Incarnation, now)
	}
	drains := info.Draining && !w.info.Draining
	w.info, w.listed = info, true
	w.rack = rackOf(info.Labels)
	if drains {
		s.event(Event{Name: "worker.draining", Worker: info.ID})
		s.stopForDrain(w, now)
	}
}

// RemoveWorker takes in that the registry no longer names the worker. What runs there is
// given up only when its lease has ended.
func (s *State) RemoveWorker(id WorkerID) {
	if w := s.workers[id]; w != nil && w.listed {
		w.listed = false
		s.event(Event{Name: "worker.unlisted", Worker: id})
	}
}

// Workers returns the ids of all workers that must be held: those listed, and those that
// may still run something.
func (s *State) Workers() []WorkerInfo {
	var out []WorkerInfo
	for _, w := range s.workers {
		if w.listed || len(w.attempts) > 0 {
			out = append(out, w.info)
		}
	}
	return out
}

// WorkersInUse returns the ids of all workers that run tasks, may run some, or may get some.
func (s *State) WorkersInUse() map[WorkerID]bool {
	out := map[WorkerID]bool{}
	for _, info := range s.Workers() {
		out[info.ID] = true
	}
	for id := range s.unresolved {
		out[id] = true
	}
	return out
}

// SetUnresolved names the workers on which a former owner may have started tasks, and until when
// these may run if the worker stays out of contact.
func (s *State) SetUnresolved(until map[WorkerID]time.Time) {
	for id, t := range until {
		s.unresolved[id] = t
	}
}

// MarkRecorded tells that the store knows that the worker may be in use.
func (s *State) MarkRecorded(id WorkerID) {
	if w := s.workers[id]; w != nil {
		w.recorded = true
	}
}

// MarkUnreachable tells that a call to the worker failed or timed out.
func (s *State) MarkUnreachable(id WorkerID) {
	if w := s.workers[id]; w != nil && !w.unreachable {
		w.unreachable, w.leased = true, false
		s.event(Event{Name: "worker.silent", Worker: id})
	}
}

// LeaseRenewed tells that a lease was sent to the worker, and when it has surely ended. The worker
// may get tasks once it has confirmed one.
func (s *State) LeaseRenewed(id WorkerID, leaseEnd time.Time, confirmed bool) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.leaseEnd = laterOf(w.leaseEnd, leaseEnd)
	w.leased = w.leased || confirmed
}

// HasLease reports whether the worker has confirmed a renewal since contact was lost.
func (s *State) HasLease(id WorkerID) bool {
	w := s.workers[id]
	return w != nil && w.leased
}

// HasColocatedTasks reports whether fillers share the worker with tasks that have a latency target.
func (s *State) HasColocatedTasks(id WorkerID) bool {
	w := s.workers[id]
	return w != nil && w.bestEffort > 0 && w.latencySensitive > 0
}

// HasFiniteTasks reports whether the worker runs tasks that end by themselves.
func (s *State) HasFiniteTasks(id WorkerID) bool {
	w := s.workers[id]
	return w != nil && len(w.attempts) > w.longRunning
}

// rackOf returns the label that names the rack: it begins with r and a digit.
func rackOf(labels []string) string {
	for _, l := range labels {
		if len(l) > 1 && l[0] == 'r' && l[1] >= '0' && l[1] <= '9' {
			return l
		}
	}
	return ""
}

// handleRestart drops all that ran in the former life of the worker.
func (s *State) handleRestart(w *worker, born int64, now time.Time) {
	s.event(Event{Name: "worker.reborn", Worker: w.info.ID})
	s.removeAllAttempts(w, "worker restarted", now)
	w.info.Incarnation = born
	w.synced, w.leased, w.failures, w.quarantinedUntil = false, false, 0, time.Time{}
	delete(s.unresolved, w.info.ID)
}

// removeAllAttempts drops the attempts of a worker that certainly run no more.
func (s *State) removeAllAttempts(w *worker, reason string, now time.Time) {
	for _, a := range w.attempts {
		s.event(Event{Name: "task.lost", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: w.info.ID, Detail: reason})
		s.remove(a, now)
	}
}

// ExtendOwnership tells until when no other owner can have taken over: a successor might renew the
// leases of workers that this owner does not reach.
func (s *State) ExtendOwnership(until time.Time) { s.ownedUntil = laterOf(s.ownedUntil, until) }

// expireLeases gives up what ran on workers out of contact whose lease has ended, if nobody else can
// have renewed it.
func (s *State) expireLeases(now time.Time) {
	for id, w := range s.workers {
		if !w.unreachable || now.Before(w.leaseEnd) || s.ownedUntil.Before(w.leaseEnd) {
			continue
		}
		if len(w.attempts) > 0 {
			s.removeAllAttempts(w, "lease ended out of contact", now)
		}
		if !w.listed {
			delete(s.workers, id)
			s.sorted = nil
		}
	}
	for id, until := range s.unresolved {
		if now.After(until) && s.ownedUntil.After(until) {
			s.event(Event{Name: "takeover.resolved", Worker: id, Detail: "its lease has ended out of contact"})
			delete(s.unresolved, id)
		}
	}
}

// stopForDrain moves what should not end with a worker that drains: tasks that last, and tasks that
// it would cut off before they are done.
func (s *State) stopForDrain(w *worker, now time.Time) {
	for _, a := range w.attempts {
		switch {
		case a.step.spec.LongRunning && s.mayDisrupt(a):
			s.stop(a, "worker drains")
		case !a.step.spec.LongRunning && !a.step.spec.Gang && w.info.MinRemaining > 0 && a.remainingTime(now) > w.info.MinRemaining:
			s.stop(a, "worker leaves before it would be done")
		}
	}
}

// minPercentForPrediction is the percent from which a task's own progress tells how long it takes.
const minPercentForPrediction = 10

// remainingTime estimates how long an attempt takes until it is done.
func (a *attempt) remainingTime(now time.Time) time.Duration {
	left := time.Duration(fullPercent - a.percent)
	if a.percent >= minPercentForPrediction {
		return now.Sub(a.orderedAt) * left / time.Duration(a.percent)
	}
	return a.step.spec.Estimate * left / fullPercent
}

// mayDisrupt reports whether the step allows one more task to be away.
func (s *State) mayDisrupt(a *attempt) bool {
	bound := a.step.spec.MaxDisrupted
	if bound == 0 {
		return true
	}
	return a.step.unavailable() < bound
}

// unavailable counts the tasks of a long-running step that are not at work.
func (st *step) unavailable() int {
	n := 0
	for i := range st.tasks {
		if !st.tasks[i].available() {
			n++
		}
	}
	return n
}

func (t *task) available() bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool {
		return a.listed && !a.stopping && a.percent >= 100
	})
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(s *State, now time.Time) bool {
	return w.listed && w.recorded && w.synced && w.leased && !w.unreachable && !w.runsUnknownTasks && !w.info.Draining &&
		!s.config.Evacuated[w.info.DataCentre] && !now.Before(w.quarantinedUntil)
}

func (w *worker) free() Resources { return w.info.Capacity.minus(w.used) }

// attach reserves the worker for an attempt.
func (w *worker) attach(a *attempt) {
	w.attempts[attemptKey{a.id(), a.run}] = a
	w.used = w.used.plus(a.reserved)
	w.count(a, 1)
}

func (w *worker) detach(a *attempt) {
	delete(w.attempts, attemptKey{a.id(), a.run})
	w.used = w.used.minus(a.reserved)
	w.count(a, -1)
}

func (w *worker) count(a *attempt, by int) {
	w.latencyGroupsAt = time.Time{}
	if a.step.spec.BestEffort {
		w.bestEffort += by
		w.bestEffortCPU += int64(by) * a.limitedCPU()
	}
	if a.step.spec.LongRunning {
		w.longRunning += by
	}
	if a.step.spec.LatencyTarget > 0 {
		w.latencySensitive += by
	}
}

// limitedCPU returns the processors that a filler asks for at its pace, in thousandths.
func (a *attempt) limitedCPU() int64 {
	return a.step.spec.Resources.CPU * int64(a.cpuLimit) / fullPercent
}

// countFailure counts a failure against the worker, unless the task is known to fail elsewhere.
func (w *worker) countFailure(t *task, now time.Time) {
	if len(t.failed) > 1 {
		return
	}
	w.failures++
	if w.failures >= failuresToQuarantine {
		w.quarantinedUntil = now.Add(quarantineTime)
	}
}
