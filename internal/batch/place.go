package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/quota"
)

const (
	// checkInterval is the interval between two checks for stalled tasks, expired leases, tasks on
	// draining workers and throttled tasks that can run on another worker.
	checkInterval = 250 * time.Millisecond
)

// Plan decides which tasks to start and stop and which questions to ask the adviser, and returns the
// actions to carry out now. The slice is valid until the next decision.
func (s *State) Plan(now time.Time) []Action {
	s.startsLeft = s.maxStarts
	if now.Sub(s.lastCheck) >= checkInterval {
		s.excusePause(now)
		s.lastCheck = now
		s.updateShortDemand()
		s.reviewReservations(now)
		s.noteCapacity()
		s.interferenceModel.age(checkInterval)
		s.expireLeases(now)
		s.stopStalled(now)
		s.judgeWorkerSpeeds(now)
		s.forgetOldFailures(now)
		s.stopOnDrainingWorkers(now)
		s.stopThrottled(now)
	}
	s.lastPlan = now
	s.evaluations, s.fullSearches = 0, 0
	s.noteDoubtfulCapacity()
	s.noteFairShare()
	s.rateJobs()
	s.openDue(now)
	s.failHopeless(now)
	s.place(now)
	s.sendRecordedStarts(now)
	s.sendStops(now)
	s.sendBars(now)
	s.reportTasksDown(now)
	s.reportTasksWaiting(now)
	s.reportUnconfirmedTasks(now)
	return s.takeActions()
}

// takeActions returns the actions since its last call. The slice is valid until the next call.
func (s *State) takeActions() []Action {
	out := s.actions
	clear(s.takenActions)
	s.actions, s.takenActions = s.takenActions[:0], out
	return out
}

// LimitStarts bounds the starts that each Plan decides from now on. A gang counts as one.
func (s *State) LimitStarts(n int) { s.maxStarts = n }

// openDue opens the steps of the occurrences that have become due.
func (s *State) openDue(now time.Time) {
	for o := range s.scheduled {
		if o.due.After(now) {
			continue
		}
		delete(s.scheduled, o)
		for _, st := range o.steps {
			s.openStep(st, now)
		}
	}
}

// sendStops sends the stops that were decided, and repeats each after StopRetryDelay until its attempt
// is known to be gone. Unreachable workers get none.
func (s *State) sendStops(now time.Time) {
	for a := range s.stops {
		if a.worker.unreachable || now.Sub(a.stopSent) < s.timing.StopRetryDelay {
			continue
		}
		a.stopSent = now
		w := a.worker
		s.actions = append(s.actions, Action{Kind: ActionStop, Worker: w.info.ID, Address: w.info.Address, Incarnation: w.info.Incarnation, Task: a.id(), Run: a.run})
	}
}

// place starts as many waiting tasks as the workers have capacity for, most urgent steps first.
func (s *State) place(now time.Time) {
	clear(s.fresh)
	s.leftOut = s.leftOut[:0]
	s.noteSuspects(now)
	if s.open.len() > 0 {
		s.placeSteps(s.openStepsInOrder(now), now)
	}
}

// placeSteps starts as many waiting tasks of the steps, in their order, as the workers have capacity for.
func (s *State) placeSteps(steps []openStepEntry, now time.Time) {
	clear(s.headrooms)
	s.noteHolders(now)
	defer s.endPlacing()
	workers := s.usable(now)
	lastResorts := s.lastResorts(now)
	if len(workers) == 0 && len(lastResorts) == 0 {
		s.holdAll(heldByNoWorker, now)
		return
	}
	littleUsed := s.littleUsedServices(workers, lastResorts)
	var unplaced unplacedSteps
	var starved unplacedSteps
	recordedAhead := map[*quota.Account]bool{}
	coming := turns{rest: steps}
	afterBestEffort := false
	for entry, ok := coming.next(); ok; entry, ok = coming.next() {
		if s.yieldStep(&coming, entry) {
			continue
		}
		s.beginPlacing(entry, now)
		if entry.step.spec.BestEffort && !afterBestEffort {
			starved = append(starved, s.placeStarved(coming.bestEffortFrom(entry), workers, now)...)
		}
		afterBestEffort = entry.step.spec.BestEffort
		if s.closeIfStarted(entry.step, now) {
			continue
		}
		if s.awaitsConfig(entry.step) {
			s.holdStep(entry.step, 0, heldByConfig, now)
			s.releaseIfHeldUp(entry.step)
			continue
		}
		if s.startsLeft <= 0 {
			s.holdStep(entry.step, 0, heldBySendRate, now)
			s.leftOut = append(s.leftOut, entry)
			continue
		}
		if r := s.quotaWait(entry.step, entry.step.placedTogether()); r != notHeld {
			s.holdStep(entry.step, 0, r, now)
			s.releaseIfHeldUp(entry.step)
			s.recordAhead(entry.step, r, recordedAhead)
			continue
		}
		resorts := s.resortsFor(entry.step, lastResorts, littleUsed)
		hasLastResort := len(resorts) > 0
		maySuitGang := entry.step.spec.Gang && runSuspects(workers)
		if !hasLastResort && slices.Contains(starved, entry.step) {
			s.leftOut = append(s.leftOut, entry) // the search for it has just found no worker
			continue
		}
		if !hasLastResort && !maySuitGang && unplaced.covers(entry.step) {
			s.holdStep(entry.step, 0, heldByLikeStep, now)
			continue
		}
		if entry.step.spec.Gang {
			s.placeGang(entry.step, workers, resorts, now)
		} else {
			if !s.placeTasks(entry.step, s.tasksWithin(entry.level, entry.step), workers, resorts, now) {
				unplaced.add(entry.step)
				s.leftOut = append(s.leftOut, entry)
				continue
			}
			s.releaseIfHeldUp(entry.step)
		}
		if !s.closeIfStarted(entry.step, now) && entry.step.waits.reason == notHeld {
			s.yieldStep(&coming, entry) // its other tasks come after those of tenants with lower shares
		}
	}
}

// closeIfStarted closes a step for placement if none of its tasks waits, and reports whether it did.
func (s *State) closeIfStarted(st *step, now time.Time) bool {
	if st.waiting > 0 {
		return false
	}
	s.endWaits(st, now)
	s.open.remove(st)
	return true
}

// runSuspects reports whether one of the workers runs a suspected task. A gang may join one that no other task may.
func runSuspects(workers []*worker) bool {
	return slices.ContainsFunc(workers, func(w *worker) bool { return w.suspected > 0 })
}

// sortedWorkers returns all workers, ordered by id so that decisions are reproducible.
func (s *State) sortedWorkers() []*worker {
	if len(s.sorted) != len(s.workers) {
		s.sorted = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return s.sorted
}

// usable returns the workers that may get new tasks, ordered by id. The slice is valid until the next call.
func (s *State) usable(now time.Time) []*worker {
	out := s.usableBuffer[:0]
	for _, w := range s.sortedWorkers() {
		if w.usable(s, now) {
			out = append(out, w)
		}
	}
	s.usableBuffer = out
	return out
}

// placeTasks starts at most maxStarts of the waiting tasks of a step, until one finds no worker. Tasks that find none among the
// workers get one of the last resorts, see mayUseLastResort. It returns false if no
// worker has capacity, so that the search can be skipped for steps with the same or larger demands. It
// returns true if the tasks wait for another reason.
func (s *State) placeTasks(st *step, maxStarts int, workers, lastResorts []*worker, now time.Time) bool {
	if st.awaitsStartRecord() {
		s.holdStep(st, 0, heldByStartRecord, now)
		return true
	}
	ranking := s.newRanking(st, workers, now)
	allWorkers := workers
	if len(lastResorts) > 0 {
		allWorkers = slices.Concat(workers, lastResorts)
	}
	var suspect *task // the least suspected task that found no worker
	for i := range st.tasks {
		t, ref := &st.tasks[i], taskRef{st, i}
		if t.done || len(t.attempts) > 0 {
			continue
		}
		switch r := s.holdsBack(st, t, suspect, allWorkers, now); r {
		case notHeld:
		case heldByReserve:
			s.holdStep(st, i, r, now)
			return true
		default:
			s.holdBack(ref, r, now)
			continue
		}
		if s.startsLeft <= 0 {
			s.holdStep(st, i, heldBySendRate, now)
			return true
		}
		if r := s.quotaWait(st, 1); r != notHeld {
			s.holdStep(st, i, r, now)
			return true
		}
		w := ranking.choose(t)
		if w == nil && s.mayUseLastResort(st, workers, lastResorts) {
			w = s.choose(st, t, lastResorts, now)
		}
		if w == nil && t.suspected() {
			suspect = t
			s.hold(ref, cmp.Or(st.advice.wait, heldByIsolation), now)
			continue
		}
		if w == nil {
			mayFindLater := s.askAdviser(st, allWorkers, now)
			reason := s.missing(st, t, allWorkers, now)
			s.holdStep(st, i, reason, now)
			s.seekRoom(st, t, reason, workers, now)
			return mayFindLater || reason == heldByReservation
		}
		if !st.startRecordDurable {
			s.requestStartRecord(st)
			s.holdStep(st, i, heldByStartRecord, now)
			return true
		}
		s.startTask(st, i, s.nextRun(t.lastRun), w, now)
		if maxStarts--; maxStarts == 0 {
			break
		}
	}
	st.waits.reason = notHeld
	if suspect != nil {
		s.askAdviser(st, allWorkers, now)
	}
	return true
}

// unplacedSteps holds the steps for which no worker was found in one Plan. The search is skipped for
// steps with the same constraints that need at least as many resources.
type unplacedSteps []*step

func (u *unplacedSteps) add(st *step) { *u = append(*u, st) }

// covers reports whether the search for one of the unplaced steps shows that no worker can run st.
func (u unplacedSteps) covers(st *step) bool {
	return slices.ContainsFunc(u, func(o *step) bool {
		return o.job.Queue == st.job.Queue && o.spec.BestEffort == st.spec.BestEffort &&
			(o.spec.LongRunning || !st.spec.LongRunning) && // long-running tasks join suspects sooner
			(!st.spec.BestEffort || o.spec.Image == st.spec.Image) &&
			(o.spec.Label == "" || o.spec.Label == st.spec.Label) &&
			o.spec.MaxPerWorker == 0 && o.spec.Resources.Fits(st.spec.Resources)
	})
}

// placeGang starts either all tasks of a gang, with one run number and one checkpoint, or none. A gang that finds no room
// on the workers may get last resorts besides, see mayUseLastResort.
func (s *State) placeGang(st *step, workers, lastResorts []*worker, now time.Time) {
	if st.awaitsStartRecord() {
		s.holdStep(st, 0, heldByStartRecord, now)
		return
	}
	if member, r := s.holdsBackGang(st, now); r != notHeld {
		s.holdBackGang(st, member, r, now)
		return
	}
	if !st.startRecordDurable {
		s.requestStartRecord(st)
		s.holdStep(st, 0, heldByStartRecord, now)
		return
	}
	run := st.gangRun
	for i := range st.tasks {
		run = max(run, st.tasks[i].lastRun)
	}
	run = s.nextRun(run)
	placed, unplaced := s.reserveGang(st, run, workers, now)
	if unplaced >= 0 && s.mayUseLastResort(st, workers, lastResorts) {
		workers = slices.Concat(workers, lastResorts)
		placed, unplaced = s.reserveGang(st, run, workers, now)
	}
	if unplaced >= 0 {
		s.askAdviser(st, workers, now)
		s.holdGang(st, unplaced, s.missing(st, &st.tasks[unplaced], workers, now), now)
		return
	}
	st.gangRun = run
	st.waits.reason = notHeld
	s.startAll(placed, now)
}

// reserveGang reserves workers for all tasks of a gang. If there is none for one of the tasks, it reserves nothing and
// returns the index of that task, otherwise -1.
func (s *State) reserveGang(st *step, run int64, workers []*worker, now time.Time) (placed []*attempt, unplaced int) {
	checkpoint := st.tasks[0].checkpoint
	ranking := s.newRanking(st, workers, now)
	for i := range st.tasks {
		st.tasks[i].checkpoint = checkpoint
		w := ranking.best(&st.tasks[i])
		if w == nil {
			s.releaseReservations(st, placed)
			return nil, i
		}
		placed = append(placed, s.reserve(st, i, run, w, now))
	}
	return placed, -1
}

// releaseReservations undoes reservations for which no start has been sent.
func (s *State) releaseReservations(st *step, placed []*attempt) {
	for _, a := range placed {
		t := a.task()
		a.worker.detach(a)
		a.removeUse()
		st.job.attempts--
		t.attempts = nil
		st.waiting++
	}
}

// nextRun returns a run number above last and above the numbers given by former owners.
func (s *State) nextRun(last int64) int64 {
	return max(last+1, (s.epoch-1)*runsPerEpoch+1)
}

func (s *State) startTask(st *step, index int, run int64, w *worker, now time.Time) {
	s.startAll([]*attempt{s.reserve(st, index, run, w, now)}, now)
}

// reserve registers an attempt whose start is not sent yet. Until sendStart, releaseReservations undoes
// it without a trace. StartSent sets its notAfter when the start is sent.
func (s *State) reserve(st *step, index int, run int64, w *worker, now time.Time) *attempt {
	a := &attempt{step: st, index: index, run: run, worker: w, reserved: st.reserved, requestedAt: now, progressAt: now, cpuLimit: fullPercent}
	a.notAfter = notAfterUnset
	a.startPending = true
	s.takeHeadroom(st, w)
	s.noteReservedStart(st, w, now)
	s.register(a)
	return a
}

// notAfterUnset is the notAfter of an attempt whose start is not sent yet. It lies beyond any clock.
const notAfterUnset = int64(1) << 62

// sendStart requests a worker to start a reserved attempt.
func (s *State) sendStart(a *attempt) {
	w := a.worker
	s.noteRun(a)
	s.startsSinceReport.add(a.step)
	w.extendLease(a.requestedAt.Add(s.timing.StartLeaseTTL), "a start by this owner")
	s.actions = append(s.actions, Action{
		Kind:        ActionStart,
		Worker:      w.info.ID,
		Address:     w.info.Address,
		Incarnation: w.info.Incarnation,
		Task:        a.id(),
		Run:         a.run,
		Payload:     a.step.job.Spec.Payload,
		Checkpoint:  a.task().checkpoint,
		Ticket:      a.step.advice.ticket(w),
		Need:        s.startNeed(a.step, a.requestedAt),
	})
	s.event(Event{Name: "task.start", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: w.info.ID, Incarnation: w.info.Incarnation, Inputs: s.describeFailures(a.step, a.task())})
}

// StartSent sets the time on the worker's clock after which the worker refuses a start that was sent.
func (s *State) StartSent(id WorkerID, task TaskID, run int64, notAfter int64) {
	if w := s.workers[id]; w != nil {
		if a := w.attempts[attemptKey{task, run}]; a != nil {
			a.notAfter = notAfter
		}
	}
}
