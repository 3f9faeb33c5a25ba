package batch

import (
	"fmt"
	"strings"
	"time"
)

// waitReason is the reason for which a task is not started that could be: its job has not ended, its occurrence is due,
// the steps before are done, and it neither is done nor has an attempt whose start was sent.
type waitReason uint8

// The reasons. The first group needs no look at the workers.
const (
	notHeld             waitReason = iota // no plan has considered the task yet
	heldByStartRecord                     // the store must hold that tasks of the step may have been started
	heldByPause                           // the long-running task pauses since it may crash its workers
	heldByFormerOwner                     // a former owner may have started it
	heldByFailureRecord                   // the store must hold more of its failed runs
	heldByFormerEnds                      // a worker may hold the end of a failed run under a former owner
	heldByConfig                          // the configuration under which its job was accepted is not in force here yet
	heldByOwnRecord                       // its start is decided, and sent once the store holds it
	heldByNewPlan                         // its start was decided, but cannot be sent any more
	heldBySendRate                        // as many starts are decided as can be sent while they are valid

	heldByCap   // it, or its gang, needs more than the cap of its tenant
	heldByQuota // its tenant's attempts leave too little of the cap

	heldByWorseSuspect   // a task of the step that is suspected no more often has found no worker
	heldByReserve        // new long-running tasks leave room to short ones
	heldByReservation    // workers have room, but it is reserved for steps before
	heldByNoWorker       // no worker of its service may get tasks
	heldByRoom           // none of the workers that may get tasks has room for it
	heldByShare          // the same, and its tenant has more than its fair share of the workers or has sent it beyond its rate, so that others go first
	heldByLikeStep       // another step that needs no more than its own has found no worker
	heldByWithheldRoom   // workers have room, but run suspected tasks that it must not join
	heldByInterference   // workers have room, but leave a best-effort task no CPU, or it would disturb tasks with targets
	heldByIsolation      // it is suspected, and no worker has room where it may run
	heldByAdviser        // the adviser is asked which workers may run its step
	heldByQuestions      // the adviser cannot be asked yet
	heldByRefusedTickets // the adviser allows none of the workers that have room
	heldByGang           // its gang starts as one, and another task of it is held up or has not ended
	waitReasons
)

// Texts of the log that existed before there was a waitReason for each.
const (
	waitsForRoom        = "no worker that may run it has room"
	waitsForIsolation   = "no worker without other suspected tasks has room"
	waitsForReserve     = "room is kept for short tasks"
	waitsForReservation = "workers that may run it have room, but it is reserved for steps before it"
	waitsForFormerOwner = "a former owner may have started it on a worker that has not answered"
)

// waitReasonTexts are the reasons in the log, and waitReasonNames in the metrics and in counts.
var (
	waitReasonTexts = [waitReasons]string{
		notHeld:              "no plan has considered it yet",
		heldByStartRecord:    "the record that its step may have been started is not stored yet",
		heldByPause:          "it pauses, since workers were lost after its last starts",
		heldByFormerOwner:    waitsForFormerOwner,
		heldByFailureRecord:  "its failed runs are not recorded yet",
		heldByFormerEnds:     "a worker that has not answered may hold the end of a failed run",
		heldByConfig:         "the configuration under which its job was accepted is not in force here yet",
		heldByOwnRecord:      "the record of its start is not stored yet",
		heldByNewPlan:        "its start was decided, but could not be sent any more",
		heldBySendRate:       "as many starts are decided as can be sent while they are valid",
		heldByCap:            "it, or its gang, needs more than its tenant's cap",
		heldByQuota:          "its tenant has too little left of its cap",
		heldByWorseSuspect:   "a task of its step that is suspected no more often found no worker",
		heldByReserve:        waitsForReserve,
		heldByReservation:    waitsForReservation,
		heldByNoWorker:       "no worker of its service may get tasks",
		heldByRoom:           waitsForRoom,
		heldByShare:          "no worker that may run it has room, and its tenant has or sends more than its share, so others go first",
		heldByLikeStep:       "a step before it that needs no more found no worker",
		heldByWithheldRoom:   "workers that may run it have room, but run suspected tasks that it must not join",
		heldByInterference:   "workers that may run it have room, but no CPU is left there, or it would disturb tasks with targets",
		heldByIsolation:      waitsForIsolation,
		heldByAdviser:        "the adviser has not answered yet",
		heldByQuestions:      "the adviser has too many open questions, or has just failed to answer",
		heldByRefusedTickets: "the adviser allows none of the workers that have room",
		heldByGang:           "another task of its gang is held up or has not ended",
	}
	waitReasonNames = [waitReasons]string{
		notHeld: "new", heldByStartRecord: "start-record", heldByPause: "pause", heldByFormerOwner: "former-owner",
		heldByFailureRecord: "failure-record", heldByFormerEnds: "former-ends", heldByConfig: "config", heldByOwnRecord: "own-record", heldByNewPlan: "new-plan", heldBySendRate: "send-rate",
		heldByCap: "cap", heldByQuota: "quota",
		heldByWorseSuspect: "worse-suspect", heldByReserve: "reserve", heldByReservation: "reservation", heldByNoWorker: "no-worker", heldByRoom: "room", heldByShare: "share",
		heldByLikeStep: "like-step", heldByWithheldRoom: "withheld-room", heldByInterference: "interference", heldByIsolation: "isolation", heldByAdviser: "adviser", heldByQuestions: "questions",
		heldByRefusedTickets: "refused-tickets", heldByGang: "gang",
	}
)

// String returns the text of the log.
func (r waitReason) String() string { return waitReasonTexts[r] }

// routineReasons are the reasons that tasks meet in the normal course, for a short time.
const routineReasons = 1<<heldByStartRecord | 1<<heldByConfig | 1<<heldByOwnRecord | 1<<heldByNewPlan | 1<<heldBySendRate | 1<<heldByFailureRecord |
	1<<heldByAdviser | 1<<heldByQuestions | 1<<heldByNoWorker | 1<<heldByGang

// isRoutine reports whether step.waits tells the reason only once it has held for routineWait.
func (r waitReason) isRoutine() bool { return routineReasons&(1<<r) != 0 }

// describesRoom reports whether step.waits says for the reason what the workers lack.
func (r waitReason) describesRoom() bool {
	switch r {
	case heldByRoom, heldByShare, heldByLikeStep, heldByReservation, heldByWithheldRoom, heldByInterference, heldByIsolation, heldByRefusedTickets:
		return true
	default:
		return false
	}
}

// kind returns the reason under which step.waits counts it. Whether a step or a like one is looked at first may change
// with each plan.
func (r waitReason) kind() waitReason {
	if r == heldByLikeStep {
		return heldByRoom
	}
	return r
}

const (
	// routineWait is the time from which on a routine reason is logged.
	routineWait = time.Second
	// waitLogPause is the shortest time between two lines of the log on the same reason of a step, if all its tasks were
	// started in between.
	waitLogPause = 10 * time.Second
)

// stepWaits holds why tasks of a step wait.
type stepWaits struct {
	// reason is that of all waiting tasks from the index from on, and since when it holds; notHeld if each has its own.
	reason waitReason
	from   int
	since  time.Duration
	// logged holds the kinds that were logged, as bits, lastOfStep the last one of the step, and loggedAt is when.
	logged     uint32
	lastOfStep waitReason
	loggedAt   time.Duration
	// withheldSince is when reservations first kept a task from room that it fits into; zero if none has.
	withheldSince time.Time
}

// clock returns the time since its first call, plus 1 ns: it is never 0.
func (s *State) clock(now time.Time) time.Duration {
	if s.began.IsZero() {
		s.began = now
	}
	return max(1, now.Sub(s.began)+1)
}

// markStartable notes since when the waiting tasks of a step that has been opened can be started.
func (s *State) markStartable(st *step, now time.Time) {
	at := s.clock(now)
	for i := range st.tasks {
		if t := &st.tasks[i]; !t.done && len(t.attempts) == 0 {
			t.markStartable(at)
		}
	}
}

// markStartable notes since when the task can be started, unless a former start was given up before it was sent.
func (t *task) markStartable(at time.Duration) {
	if t.startableSince == 0 {
		t.heldBy, t.startableSince = notHeld, at
	}
}

// isWaiting reports whether the task needs a start, and none was sent.
func (t *task) isWaiting() bool {
	for _, a := range t.attempts {
		if !a.unsent {
			return false
		}
	}
	return !t.done
}

// isHeldWithStep reports whether the reason of the step holds for the task.
func (r taskRef) isHeldWithStep() bool {
	return r.step.waits.reason != notHeld && r.index >= r.step.waits.from && len(r.task().attempts) == 0
}

// heldBy returns why a waiting task was not started by the last plan.
func (r taskRef) heldBy() waitReason {
	if r.isHeldWithStep() {
		return r.step.waits.reason
	}
	return r.task().heldBy
}

// heldSince returns since when the reason holds, as State.clock counts.
func (r taskRef) heldSince() time.Duration {
	t := r.task()
	since := max(t.startableSince, t.heldSince)
	if r.isHeldWithStep() {
		since = max(since, r.step.waits.since)
	}
	return since
}

// awaitsStartRecord reports whether the record is on its way that must be durable before a task of the step starts.
func (st *step) awaitsStartRecord() bool { return st.startRecordRequested && !st.startRecordDurable }

// holdsBack returns why a waiting task is not started now whatever room the workers have; notHeld if it may be.
// suspect is the least suspected task of the step that found no worker before, or nil.
func (s *State) holdsBack(st *step, t, suspect *task, workers []*worker, now time.Time) waitReason {
	switch {
	case st.isPaused(t, now):
		return heldByPause
	case suspect != nil && len(t.suspicions) >= len(suspect.suspicions):
		return heldByWorseSuspect
	case s.isInDoubt(st, t):
		return heldByFormerOwner
	}
	if r := s.retryWait(st, t); r != notHeld {
		return r
	}
	if st.spec.LongRunning && t.lastRun == 0 && !st.startedByFormerOwner && !s.keepsHeadroom(st, workers, now) {
		return heldByReserve
	}
	return notHeld
}

// holdsBackGang returns the first task that keeps its gang from being started now whatever room the workers have, and
// why; notHeld if the gang may be started.
func (s *State) holdsBackGang(st *step, now time.Time) (int, waitReason) {
	for i := range st.tasks {
		t := &st.tasks[i]
		switch {
		case t.done || len(t.attempts) > 0:
			return i, heldByGang
		case st.isPaused(t, now):
			return i, heldByPause
		case s.isInDoubt(st, t):
			return i, heldByFormerOwner
		}
	}
	return 0, s.retryWait(st, &st.tasks[0]) // the failures of a gang count together
}

// missing returns what a task of a step lacks for which no worker was found.
func (s *State) missing(st *step, t *task, workers []*worker, now time.Time) waitReason {
	if st.advice.wait != notHeld {
		return st.advice.wait
	}
	q := s.queueOf(st.job)
	reason := heldByNoWorker
	for _, w := range workers {
		if w.info.Service != q.Service {
			continue
		}
		if s.reservesFrom(st, w, now) && st.suits(w, &q, now) {
			return heldByReservation
		}
		if w.suspected > 0 && st.suits(w, &q, now) && t.mustAvoid(st, w, now) {
			return heldByWithheldRoom
		}
		if st.spec.BestEffort && st.suits(w, &q, now) {
			reason = heldByInterference
		} else if reason != heldByInterference {
			reason = heldByRoom
		}
	}
	if reason == heldByRoom && s.shareLevel(st) > 0 {
		return heldByShare
	}
	return reason
}

// hold notes why one task is not started, and logs it.
func (s *State) hold(r taskRef, reason waitReason, now time.Time) {
	t := r.task()
	if t.heldBy != reason {
		t.heldBy, t.heldSince = reason, s.clock(now)
		if reason == heldByFailureRecord || reason == heldByFormerEnds {
			s.event(Event{Name: "task.waits", Job: r.step.job.ID, Task: r.id(), Run: t.lastRun, Detail: reason.String(), Inputs: s.describeFailures(r.step, t)})
		}
	}
	s.logWait(r, reason, t.heldSince, now)
}

// holdStep notes why the waiting tasks of a step from an index on are not started, and logs it.
func (s *State) holdStep(st *step, from int, reason waitReason, now time.Time) {
	w := &st.waits
	if t := &st.tasks[from]; t.heldBy != notHeld && len(t.attempts) == 0 {
		t.heldBy, t.heldSince = notHeld, s.clock(now)
	}
	w.from = from
	if w.reason != reason {
		w.reason, w.since = reason, s.clock(now)
		if w.lastOfStep != reason.kind() {
			w.logged &^= 1 << reason.kind()
		}
	}
	if w.logged&(1<<reason.kind()) == 0 && s.logWait(st.firstWaiting(from), reason, w.since, now) {
		w.lastOfStep = reason.kind()
	}
}

// holdGang notes that one task of a gang holds up the others.
func (s *State) holdGang(st *step, member int, reason waitReason, now time.Time) {
	st.waits.reason = notHeld
	for i := range st.tasks {
		switch t := &st.tasks[i]; {
		case t.done || len(t.attempts) > 0:
		case i == member:
			s.hold(taskRef{st, i}, reason, now)
		case reason == heldByGang:
			s.hold(taskRef{st, i}, heldByGang, now)
		case t.heldBy != heldByGang:
			t.heldBy, t.heldSince = heldByGang, s.clock(now)
		}
	}
}

// holdAll notes that the tasks of all open steps wait for the same reason.
func (s *State) holdAll(reason waitReason, now time.Time) {
	for st := range s.open.all() {
		s.holdStep(st, 0, reason, now)
	}
}

// endWaits notes that all tasks of a step have been started.
func (s *State) endWaits(st *step, now time.Time) {
	w := &st.waits
	w.reason, w.withheldSince = notHeld, time.Time{}
	if w.logged != 0 && s.clock(now)-w.loggedAt >= waitLogPause {
		w.logged, w.lastOfStep = 0, notHeld
	}
}

// logWait logs why tasks of a step wait, the first of them r, once for each reason. It reports whether it did.
func (s *State) logWait(r taskRef, reason waitReason, since time.Duration, now time.Time) bool {
	w := &r.step.waits
	if w.logged&(1<<reason.kind()) != 0 || reason.isRoutine() && s.clock(now)-since < routineWait {
		return false
	}
	w.logged |= 1 << reason.kind()
	w.loggedAt = s.clock(now)
	st := r.step
	e := Event{Name: "step.waits", Job: st.job.ID, Task: TaskID{Job: st.job.ID, Occurrence: st.occ.number, Step: st.number}, Detail: reason.String()}
	if reason.describesRoom() {
		e.Inputs = s.describeWorkers(s.queueOf(st.job).Service) + "; " + s.describeRoom(st, r.task(), now)
	}
	if reason == heldByCap || reason == heldByQuota {
		e.Inputs = s.describeQuota(st, st.placedTogether())
	}
	if reason == heldByReservation {
		e.Inputs += "; " + s.describeReservation(st, now)
	}
	s.event(e)
	return true
}

// describeRoom describes for the log what a task of the step needs, and what the workers lack that may get tasks.
func (s *State) describeRoom(st *step, t *task, now time.Time) string {
	var counts [rejections]int
	var roomiest *worker
	q := s.queueOf(st.job)
	for _, w := range s.sortedWorkers() {
		if !w.usable(s, now) {
			continue
		}
		counts[s.rejects(st, &q, t, w, now)]++
		if roomiest == nil || w.free().CPU > roomiest.free().CPU {
			roomiest = w
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "it needs %s", st.reserved)
	for r, n := range counts {
		if n > 0 {
			fmt.Fprintf(&b, ", %d %s", n, rejectionNames[r])
		}
	}
	if roomiest != nil {
		fmt.Fprintf(&b, "; the most free CPU is on %s: %s with %d attempts, %d of suspected tasks", roomiest.info.ID, roomiest.free(), len(roomiest.attempts), roomiest.suspected)
	}
	return b.String()
}

// firstWaiting returns the first task from an index on without an attempt, or that of the index if there is none.
func (st *step) firstWaiting(from int) taskRef {
	for i := from; i < len(st.tasks); i++ {
		if t := &st.tasks[i]; !t.done && len(t.attempts) == 0 {
			return taskRef{st, i}
		}
	}
	return taskRef{st, from}
}
