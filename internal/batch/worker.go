package batch

import (
	"fmt"
	"iter"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/workerspeed"
)

// worker is what the owner knows of one incarnation of a worker.
type worker struct {
	info              WorkerInfo
	rack              string
	listed            bool // it is in the registry
	described         bool // the registry has shown the entry of its present incarnation, and so its capacity
	recorded          bool // the store holds a record that it may be in use
	reported          bool // it has reported to this owner in its present incarnation
	restarted         bool // this or a former owner may have known a former incarnation of it
	fenced            bool // it refuses requests for its former incarnations and of former owners
	unreachable       bool // the last call to it failed
	leaseConfirmed    bool // it has confirmed a renewal of its lease since it was last unreachable
	runsUnknownTasks  bool // it runs tasks of unknown jobs, whose resources are not known
	lapsing           bool // its lease must not be renewed, see endUnreadable
	renewalsEnded     bool // it has reported without a renewal since it is lapsing
	leaseEnd          time.Time
	leaseBasis        string    // what leaseEnd rests on, for the log
	lastFenced        int64     // the last incarnation that was fenced; 0 if none was
	earlierLeasesEnd  time.Time // when all leases have ended that were granted before it was fenced
	leavesAfter       time.Time // until when a draining worker certainly stays; zero if not known
	used              Resources
	roomRefusals      []roomRefusal // starts that it refused for want of room, unless its capacity has changed since
	highestCPU        int64         // highest CPU of the entries of its present incarnation, in thousandths of a core
	bestEffort        int           // best-effort attempts
	bestEffortCPU     int64         // CPU that they ask for within their CPU limits, in thousandths of a core
	shortCPU          int64         // CPU reserved by short tasks, which are not long-running, in thousandths of a core
	latencySensitive  int           // attempts with a latency target
	longRunning       int           // attempts of long-running tasks
	targetMissedSince time.Time     // since when a latency has been above its target
	// latencyGroups were computed at latencyGroupsAt, which is zero if an attempt, a CPU limit or a
	// measurement on the worker has changed since.
	latencyGroupsAt time.Time
	latencyGroups   []latencyGroup
	// idleCPU is the reserved CPU that latency-sensitive tasks are expected to leave unused, in
	// thousandths of a core, as of latencyGroupsAt.
	idleCPU int64
	// bestEffortEndedAt is when a best-effort attempt with a CPU limit above 0 last ended there.
	bestEffortEndedAt time.Time
	attempts          map[attemptKey]*attempt
	reservation       *reservation // room that is kept for a step; nil if none is
	lateCopies        []lateCopy   // starts and copies of starts without an answer, of the last maxCallDelay
	suspected         int          // attempts of suspected tasks
	suspectsSince     time.Time    // since when it has run such attempts, one after the other, as of suspectsSeen
	suspectsSeen      time.Time    // when it last ran such an attempt
	lastContact       time.Time    // when it last reported or accepted a start
	unreadableSince   time.Time    // since when its reports cannot be read in full; zero if the last one could
	failures          []*step      // the steps of its failures in a row
	failuresEnd       time.Time    // when these are too old to be in a row
	endsChanges       Changes      // the changes that follow from the last report with ends
	countedSeq        int64        // highest Seq of the ends that were counted for or against the worker
	quarantinedUntil  time.Time
	restsUntil        time.Time // until when it does not get long-running tasks without another worker either
	// worksSince is when a task there first made progress after the quarantine had begun; zero if none has.
	worksSince time.Time
	// avoidance is for how long it is avoided since it is slow, and slowness by how much slower than others it counts as now: 0
	// for one that is as fast as others, 1 for one where tasks stand still.
	avoidance workerspeed.Avoidance
	slowness  float64
	// slowSince is when its present or last avoidance began.
	slowSince time.Time
	deferred  []deferredMeasurement
}

// UpdateWorker adds a worker from the registry, or updates it.
func (s *State) UpdateWorker(info WorkerInfo, now time.Time) {
	w := s.workers[info.ID]
	if w == nil {
		w = &worker{attempts: map[attemptKey]*attempt{}, restarted: s.mayHaveFormerIncarnation(info.ID, now)}
		s.workers[info.ID] = w
		s.sorted = nil
		w.info.Incarnation = info.Incarnation
	}
	if info.Incarnation < w.info.Incarnation {
		return
	}
	if info.Incarnation > w.info.Incarnation {
		s.handleRestart(w, info.Incarnation, "the registry", now)
		w.leavesAfter = time.Time{}
	}
	if info.Capacity != w.info.Capacity {
		w.roomRefusals = nil
	}
	if w.reservation != nil && info.Service != w.info.Service {
		s.releaseRoom(w.reservation, "its worker changes its service")
	}
	startsDraining := info.Draining && !w.info.Draining
	w.info, w.listed, w.described = info, true, true
	w.highestCPU = max(w.highestCPU, info.Capacity.CPU)
	w.rack = rackOf(info.Labels)
	w.noteRemaining(now)
	if startsDraining {
		s.event(Event{Name: "worker.draining", Worker: info.ID})
		s.stopForDrain(w, s.newVacancies(now), now)
	}
}

// mayHaveFormerIncarnation reports whether another owner may have known a worker that is new to this one, in a former incarnation whose
// leases may last.
func (s *State) mayHaveFormerIncarnation(id WorkerID, now time.Time) bool {
	return s.formerWorkers[id] || !s.formerRequestsEnd.IsZero() && now.Before(s.formerRequestsEnd.Add(s.longestLeaseTTL()))
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
// still run tasks. The caller may remove workers meanwhile.
func (s *State) Workers() iter.Seq[WorkerInfo] {
	return func(yield func(WorkerInfo) bool) {
		for _, w := range s.workers {
			if w.mustBeRenewed() && !yield(w.info) {
				return
			}
		}
	}
}

// MustBeRenewed reports whether a worker is among Workers.
func (s *State) MustBeRenewed(id WorkerID) bool {
	w := s.workers[id]
	return w != nil && w.mustBeRenewed()
}

func (w *worker) mustBeRenewed() bool { return w.listed || len(w.attempts) > 0 }

// WorkersInUse returns the ids of all workers that may run tasks, started by this or a former owner,
// or may get some, and of those whose reported ends are not recorded. A draining worker gets none.
func (s *State) WorkersInUse() map[WorkerID]bool {
	out := make(map[WorkerID]bool, len(s.workers))
	for id, w := range s.workers {
		if s.isInUse(w) {
			out[id] = true
		}
	}
	for id := range s.unresolvedWorkers {
		out[id] = true
	}
	for id := range s.lateRuns {
		out[id] = true
	}
	return out
}

// InUse reports whether a worker is among WorkersInUse.
func (s *State) InUse(id WorkerID) bool {
	if _, unresolved := s.unresolvedWorkers[id]; unresolved {
		return true
	}
	if _, late := s.lateRuns[id]; late {
		return true
	}
	w := s.workers[id]
	return w != nil && s.isInUse(w)
}

// isInUse reports whether this owner may have tasks on the worker, or may start some there, or whether the next owner
// needs the ends that the worker has reported.
func (s *State) isInUse(w *worker) bool {
	return len(w.attempts) > 0 || w.listed && !w.info.Draining || s.hasUnrecordedEnds(w)
}

// hasUnrecordedEnds reports whether the changes that follow from the worker's reported ends are still to be taken for
// the store.
func (s *State) hasUnrecordedEnds(w *worker) bool { return !w.endsChanges.areTaken() }

// isForgettable reports whether nothing of a worker that the registry does not have matters any more.
func (s *State) isForgettable(w *worker) bool {
	return !w.listed && len(w.attempts) == 0 && !s.hasUnrecordedEnds(w)
}

// MarkRecorded notes that the store holds a record that the worker may be in use. A worker gets no
// tasks before.
func (s *State) MarkRecorded(id WorkerID) {
	if w := s.workers[id]; w != nil {
		w.recorded = true
	}
}

// MarkUnrecorded notes that the store will not hold such a record any more.
func (s *State) MarkUnrecorded(id WorkerID) {
	if w := s.workers[id]; w != nil {
		w.recorded = false
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

// Incarnation returns the newest incarnation of a worker; 0 if none is known.
func (s *State) Incarnation(id WorkerID) int64 {
	if w := s.workers[id]; w != nil {
		return w.info.Incarnation
	}
	return 0
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

// HasAttempts reports whether tasks were started on the worker that are not known to have ended.
func (s *State) HasAttempts(id WorkerID) bool {
	w := s.workers[id]
	return w != nil && len(w.attempts) > 0
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
		mayStartAgain := a.mayRepeatStart(now) || s.mayCarryOutFormerRequests(w.info.ID, now)
		if a.listed && !mayStartAgain {
			s.lose(a, "worker restarted", "", now)
			continue
		}
		unconfirmed++
		if mayStartAgain {
			a.listed, a.acceptedAt = false, time.Time{}
			s.stop(a, "a copy of its start may reach the restarted worker")
		}
		a.restartedAt = now
		a.stopSent, a.stopAnsweredAt = time.Time{}, time.Time{}
	}
	s.barLateCopies(w)
	// The log calls a restarted worker reborn.
	s.event(Event{Name: "worker.reborn", Worker: w.info.ID, Detail: fmt.Sprintf("%s shows incarnation %d after %d; unconfirmed starts: %d", source, incarnation, w.info.Incarnation, unconfirmed)})
	w.info.Incarnation = incarnation
	w.restarted = true
	w.reported, w.fenced, w.described, w.leaseConfirmed, w.failures, w.quarantinedUntil = false, false, false, false, nil, time.Time{}
	w.countedSeq, w.restsUntil, w.worksSince = 0, time.Time{}, time.Time{}
	w.highestCPU, w.roomRefusals = 0, nil
	w.avoidance, w.slowness, w.deferred = workerspeed.Avoidance{}, 0, nil
	w.suspectsSince, w.suspectsSeen = time.Time{}, time.Time{}
}

// lose removes an attempt whose end will never be reported. The caller must know that it does not run any
// more; inputs says for the log what that rests on.
func (s *State) lose(a *attempt, reason, inputs string, now time.Time) {
	if a.worker.info.Draining {
		s.withdrawSuspicions(a.ref(), ofIncarnation(a.run, a.worker.info.Incarnation))
	}
	s.event(Event{Name: "task.lost", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: a.worker.info.ID, Detail: reason, Inputs: inputs})
	s.remove(a, now)
}

// free returns the resources that no attempt reserves.
func (w *worker) free() Resources { return w.info.Capacity.Minus(w.used) }

// attach adds an attempt to the worker and reserves its resources.
func (w *worker) attach(a *attempt) {
	w.attempts[attemptKey{a.id(), a.run}] = a
	w.used = w.used.Plus(a.reserved)
	w.count(a, 1)
	a.countSuspected()
}

// detach removes an attempt from the worker and frees its resources.
func (w *worker) detach(a *attempt) {
	delete(w.attempts, attemptKey{a.id(), a.run})
	w.used = w.used.Minus(a.reserved)
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
	} else {
		w.shortCPU += int64(by) * a.reserved.CPU
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
