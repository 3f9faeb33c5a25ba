package batch

import (
	"fmt"
	"slices"
	"time"
)

const (
	// failuresToQuarantine is the number of consecutive failed tasks after which a worker gets no new
	// tasks.
	failuresToQuarantine = 2
	// quarantineTime is how long such a worker gets no new tasks. After that, a single failure
	// quarantines it again, unless a task has been done there meanwhile.
	quarantineTime = 8 * time.Second
	// refusalQuarantineTime is the quarantine of a worker that refused a start as unhealthy.
	refusalQuarantineTime = time.Second
)

// worker is what the owner knows of one incarnation of a worker.
type worker struct {
	info              WorkerInfo
	rack              string
	listed            bool // it is in the registry
	described         bool // the registry has shown the entry of its present incarnation, and so its capacity
	recorded          bool // the store holds a record that it may be in use
	reported          bool // it has reported to this owner in its present incarnation
	unreachable       bool // the last call to it failed
	leaseConfirmed    bool // it has confirmed a renewal of its lease since it was last unreachable
	runsUnknownTasks  bool // it runs tasks of unknown jobs, whose resources are not known
	leaseEnd          time.Time
	used              Resources
	bestEffort        int       // best-effort attempts
	bestEffortCPU     int64     // CPU that they ask for within their CPU limits, in thousandths of a core
	latencySensitive  int       // attempts with a latency target
	longRunning       int       // attempts of long-running tasks
	targetMissedSince time.Time // since when a latency has been above its target
	// latencyGroups were computed at latencyGroupsAt, which is zero if an attempt, a CPU limit or a
	// measurement on the worker has changed since.
	latencyGroupsAt time.Time
	latencyGroups   []latencyGroup
	// idleCPU is the reserved CPU that latency-sensitive tasks are expected to leave unused, in
	// thousandths of a core, as of latencyGroupsAt.
	idleCPU int64
	// bestEffortEndedAt is when a best-effort attempt with a CPU limit above 0 last ended there.
	bestEffortEndedAt   time.Time
	attempts            map[attemptKey]*attempt
	suspected           int       // attempts of suspected tasks
	repeatSuspected     int       // those of tasks with at least suspicionsToIsolate suspicions
	lastContact         time.Time // when it last reported or accepted a start
	consecutiveFailures int       // failed attempts since a task was last done there
	quarantinedUntil    time.Time
}

// UpdateWorker adds a worker from the registry, or updates it.
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
		s.handleRestart(w, info.Incarnation, "the registry", now)
	}
	startsDraining := info.Draining && !w.info.Draining
	w.info, w.listed, w.described = info, true, true
	w.rack = rackOf(info.Labels)
	if startsDraining {
		s.event(Event{Name: "worker.draining", Worker: info.ID})
		s.stopForDrain(w, now)
	}
}

// RemoveWorker marks a worker as removed from the registry. It gets no new tasks; its attempts stay
// until they end or the worker's lease has ended.
func (s *State) RemoveWorker(id WorkerID) {
	if w := s.workers[id]; w != nil && w.listed {
		w.listed = false
		s.event(Event{Name: "worker.unlisted", Worker: id})
	}
}

// Workers returns the workers whose leases must be renewed: those in the registry and those that may
// still run tasks.
func (s *State) Workers() []WorkerInfo {
	var out []WorkerInfo
	for _, w := range s.workers {
		if w.listed || len(w.attempts) > 0 {
			out = append(out, w.info)
		}
	}
	return out
}

// WorkersInUse returns the ids of all workers that may run tasks, started by this or a former owner,
// or may get some.
func (s *State) WorkersInUse() map[WorkerID]bool {
	out := map[WorkerID]bool{}
	for _, info := range s.Workers() {
		out[info.ID] = true
	}
	for id := range s.unresolvedWorkers {
		out[id] = true
	}
	return out
}

// SetUnresolvedWorkers sets the workers on which a former owner may have started tasks, and for each
// the time until which these may run if the worker stays unreachable.
func (s *State) SetUnresolvedWorkers(until map[WorkerID]time.Time) {
	for id, t := range until {
		s.unresolvedWorkers[id] = t
	}
}

// MarkRecorded notes that the store holds a record that the worker may be in use. A worker gets no
// tasks before.
func (s *State) MarkRecorded(id WorkerID) {
	if w := s.workers[id]; w != nil {
		w.recorded = true
	}
}

// MarkUnreachable notes that a call to the worker failed or timed out.
func (s *State) MarkUnreachable(id WorkerID) {
	if w := s.workers[id]; w != nil && !w.unreachable {
		w.unreachable, w.leaseConfirmed = true, false
		s.suspectAttempts(w)
		// The log calls an unreachable worker silent.
		s.event(Event{Name: "worker.silent", Worker: id, Detail: w.contents()})
	}
}

// LeaseRenewed notes that a lease was sent to the worker, which has certainly ended at leaseEnd.
// confirmed says that the worker has responded to the renewal; it may get tasks from then on.
func (s *State) LeaseRenewed(id WorkerID, leaseEnd time.Time, confirmed bool) {
	w := s.workers[id]
	if w == nil {
		return
	}
	w.leaseEnd = laterOf(w.leaseEnd, leaseEnd)
	w.leaseConfirmed = w.leaseConfirmed || confirmed
}

// LeaseEnd returns the time by which everything on a worker has ended if it stays out of contact. It is zero
// if the worker has no lease.
func (s *State) LeaseEnd(id WorkerID) time.Time {
	w := s.workers[id]
	if w == nil {
		return time.Time{}
	}
	end := w.leaseEnd
	for _, a := range w.attempts {
		end = laterOf(end, s.leaseEnd(a))
	}
	return end
}

// HasLease reports whether the worker has confirmed a renewal since it was last unreachable.
func (s *State) HasLease(id WorkerID) bool {
	w := s.workers[id]
	return w != nil && w.leaseConfirmed
}

// HasColocatedTasks reports whether the worker runs both best-effort and latency-sensitive tasks.
func (s *State) HasColocatedTasks(id WorkerID) bool {
	w := s.workers[id]
	return w != nil && w.bestEffort > 0 && w.latencySensitive > 0
}

// HasFiniteTasks reports whether the worker runs tasks that are not long-running.
func (s *State) HasFiniteTasks(id WorkerID) bool {
	w := s.workers[id]
	return w != nil && len(w.attempts) > w.longRunning
}

// rackOf returns the first label that names a rack, which begins with r and a digit, or "".
func rackOf(labels []string) string {
	for _, l := range labels {
		if len(l) > 1 && l[0] == 'r' && l[1] >= '0' && l[1] <= '9' {
			return l
		}
	}
	return ""
}

// handleRestart removes the attempts that the worker's former incarnation has listed, and resets the state
// of the worker for the new one. An attempt that no report has listed yet stays: the restart is seen late, and
// the start may have reached the new incarnation. A later report of that incarnation tells.
func (s *State) handleRestart(w *worker, incarnation int64, source string, now time.Time) {
	if !w.unreachable {
		s.suspectAttempts(w)
	}
	unconfirmed := 0
	for _, a := range w.attempts {
		if a.listed {
			s.lose(a, "worker restarted", now)
			continue
		}
		unconfirmed++
		a.restartedAt = now
		a.stopSent, a.stopAnsweredAt = time.Time{}, time.Time{}
	}
	// The log calls a restarted worker reborn.
	s.event(Event{Name: "worker.reborn", Worker: w.info.ID, Detail: fmt.Sprintf("%s shows incarnation %d after %d; unconfirmed starts: %d", source, incarnation, w.info.Incarnation, unconfirmed)})
	w.info.Incarnation = incarnation
	w.described = false
	w.reported, w.leaseConfirmed, w.consecutiveFailures, w.quarantinedUntil = false, false, 0, time.Time{}
}

// lose removes an attempt whose end will never be reported. The caller must know that it does not run any
// more.
func (s *State) lose(a *attempt, reason string, now time.Time) {
	if a.worker.info.Draining {
		s.withdrawSuspicion(a.ref(), a.run)
	}
	s.event(Event{Name: "task.lost", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: a.worker.info.ID, Detail: reason})
	s.remove(a, now)
}

// maxCallDelay is the longest time after which a worker may still carry out a request that got no answer.
const maxCallDelay = 12 * time.Second

// leaseEnd returns the time by which an attempt has certainly ended if its worker stays out of contact. An
// attempt that no report has listed may run in an incarnation that has seen no renewal, only the start: there
// the start grants up to a whole lease, and the time until which the start is valid means nothing, since it is
// on the clock of the former incarnation.
func (s *State) leaseEnd(a *attempt) time.Time {
	switch {
	case a.listed:
		return a.worker.leaseEnd
	case !a.acceptedAt.IsZero():
		return laterOf(a.worker.leaseEnd, a.acceptedAt.Add(s.timing.LeaseTTL))
	case !a.restartedAt.IsZero():
		return laterOf(a.worker.leaseEnd, a.restartedAt.Add(maxCallDelay+s.timing.LeaseTTL))
	default:
		return laterOf(a.worker.leaseEnd, a.requestedAt.Add(s.timing.StartLeaseTTL+s.timing.LeaseTTL))
	}
}

// ExtendOwnership sets the time until which no other owner can have taken over. After it, a successor
// may renew the leases of workers that this owner cannot reach, so this owner must not treat them
// as ended.
func (s *State) ExtendOwnership(until time.Time) { s.ownedUntil = laterOf(s.ownedUntil, until) }

// expireLeases removes the attempts on unreachable workers whose leases have ended, if no other owner
// can have renewed the leases. It also deletes idle workers that the registry no longer has, and
// deletes the unresolved workers whose leases from the former owner have ended.
func (s *State) expireLeases(now time.Time) {
	for id, w := range s.workers {
		if !w.listed && len(w.attempts) == 0 && !now.Before(w.quarantinedUntil) {
			delete(s.workers, id)
			s.sorted = nil
			continue
		}
		if !w.unreachable || !s.leaseHasEnded(w.leaseEnd, now) {
			continue
		}
		for _, a := range w.attempts {
			if s.leaseHasEnded(s.leaseEnd(a), now) {
				s.lose(a, "lease ended out of contact", now)
			}
		}
		if !w.listed && len(w.attempts) == 0 {
			delete(s.workers, id)
			s.sorted = nil
		}
	}
	for id, until := range s.unresolvedWorkers {
		if w := s.workers[id]; w != nil && w.reported {
			// Its reports so far were incomplete, and its lease has been renewed.
			if !w.unreachable {
				continue
			}
			until = laterOf(until, w.leaseEnd)
		}
		if now.After(until) && s.ownedUntil.After(until) {
			s.event(Event{Name: "takeover.resolved", Worker: id, Detail: "its lease has ended out of contact"})
			delete(s.unresolvedWorkers, id)
		}
	}
}

// leaseHasEnded reports whether a lease with the given end has ended, without another owner that can have
// renewed it.
func (s *State) leaseHasEnded(end, now time.Time) bool {
	return !now.Before(end) && !s.ownedUntil.Before(end)
}

// stopForDrain stops the tasks on a draining worker that should restart elsewhere at once: long-running
// tasks, as far as MaxDisrupted allows, and tasks that would not be done before the worker leaves.
func (s *State) stopForDrain(w *worker, now time.Time) {
	for _, a := range w.attempts {
		switch {
		case a.step.spec.LongRunning && s.mayDisrupt(a):
			s.stop(a, "worker drains")
		case !a.step.spec.LongRunning && !a.step.spec.Gang && w.info.MinRemaining > 0 && a.remainingTime(now) > w.info.MinRemaining:
			s.stop(a, "worker leaves before the task would be done")
		}
	}
}

// minPercentForPrediction is the progress in percent from which the remaining time is extrapolated
// from the progress instead of being taken from the estimate.
const minPercentForPrediction = 10

// remainingTime estimates the time until an attempt is done.
func (a *attempt) remainingTime(now time.Time) time.Duration {
	left := time.Duration(fullPercent - a.percent)
	if a.percent >= minPercentForPrediction {
		return now.Sub(a.requestedAt) * left / time.Duration(a.percent)
	}
	return a.step.spec.Estimate * left / fullPercent
}

// mayDisrupt reports whether MaxDisrupted of the step allows one more task to be unavailable.
func (s *State) mayDisrupt(a *attempt) bool {
	bound := a.step.spec.MaxDisrupted
	if bound == 0 {
		return true
	}
	return a.step.unavailable() < bound
}

// unavailable counts the tasks of a long-running step that are not available.
func (st *step) unavailable() int {
	n := 0
	for i := range st.tasks {
		if !st.tasks[i].available() {
			n++
		}
	}
	return n
}

// available reports whether a long-running task has an attempt that is ready, which the worker lists
// with 100 percent, and is not being stopped.
func (t *task) available() bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool {
		return a.listed && !a.stopping && a.percent >= 100
	})
}

// usable reports whether the worker may get new tasks.
func (w *worker) usable(s *State, now time.Time) bool {
	return w.listed && w.described && w.recorded && w.reported && w.leaseConfirmed && !w.unreachable && !w.runsUnknownTasks && !w.info.Draining &&
		!s.config.Evacuated[w.info.DataCentre] && !now.Before(w.quarantinedUntil)
}

// free returns the resources that no attempt reserves.
func (w *worker) free() Resources { return w.info.Capacity.minus(w.used) }

// attach adds an attempt to the worker and reserves its resources.
func (w *worker) attach(a *attempt) {
	w.attempts[attemptKey{a.id(), a.run}] = a
	w.used = w.used.plus(a.reserved)
	w.count(a, 1)
	a.countSuspected()
}

// detach removes an attempt from the worker and frees its resources.
func (w *worker) detach(a *attempt) {
	delete(w.attempts, attemptKey{a.id(), a.run})
	w.used = w.used.minus(a.reserved)
	w.count(a, -1)
	a.uncountSuspected()
}

// count adds by, which is 1 or -1, to the worker's counter of each kind of task that the attempt
// belongs to.
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

// limitedCPU returns the CPU that a best-effort attempt asks for within its CPU limit, in thousandths
// of a core.
func (a *attempt) limitedCPU() int64 {
	return a.step.spec.Resources.CPU * int64(a.cpuLimit) / fullPercent
}
