package batch

import (
	"fmt"
	"slices"
	"time"
)

const (
	// provingTime is how long an attempt must have been listed until its task is no longer suspected of
	// crashing workers.
	provingTime = 500 * time.Millisecond
	// maxSuspectRuntime bounds the time for which an attempt may have run when its worker crashed to be
	// suspected, if no attempt there was started within provingTime.
	maxSuspectRuntime = 5 * time.Second
	// survivalFactor times the longest runtime after which a worker has crashed under a task, up to
	// maxSuspectRuntime, replaces provingTime for that task.
	survivalFactor = 2

	// isolatedCrashesToFail is the number of crashes, with the task as the only suspect, after which the
	// task is given up, if crashesToFail workers have been lost under it in all.
	isolatedCrashesToFail = 2
	crashesToFail         = 3
	// sharedCrashesToFail is the same number of workers if too few of them had no other suspect.
	sharedCrashesToFail = 4
	// confirmedCrashesToFail is how many of these losses must be known to be crashes: a later incarnation
	// runs at the worker's address.
	confirmedCrashesToFail = 2
	// lossesToFail is the number of lost workers after which a task is given up without any such evidence.
	lossesToFail = 5

	// crashesToPause is the number of lost workers in succession from which a long-running task is paused, which is
	// never given up: for firstCrashPause, and twice as long after each further one, for at most maxCrashPause.
	// The first two pauses are not longer than a lease, for which the task waits anyway, since workers may be lost
	// in succession for other reasons.
	crashesToPause  = 3
	firstCrashPause = 3 * time.Second
	maxCrashPause   = 60 * time.Second
	// maxSuspicions is the number of suspicions of a task that are kept, the newest ones. More would not change
	// the pause.
	maxSuspicions = 8
)

// Suspicion is a start of a task after which an incarnation of its worker was lost, or may be lost: the task may have
// crashed it. It is deleted when the same incarnation reports that the attempt is gone. That of a recorded start is noted
// before the start is sent; see recordedStart. A start has a second one if a copy of it may have reached the next incarnation
// and that may have been lost, too.
type Suspicion struct {
	Run         int64         `cbor:"1,keyasint"`
	Worker      WorkerID      `cbor:"2,keyasint"`
	Address     string        `cbor:"3,keyasint,omitempty"`
	Incarnation int64         `cbor:"4,keyasint,omitempty"`
	Runtime     time.Duration `cbor:"5,keyasint,omitempty"` // how long the attempt was seen to run
	// Isolated is set if no other attempt on the worker was suspected. Until the worker is lost, it says whether
	// that was so when the start was recorded.
	Isolated bool `cbor:"6,keyasint,omitempty"`
}

// suspected reports whether workers may have crashed under the task.
func (t *task) suspected() bool { return len(t.suspicions) > 0 }

// provingTime returns how long an attempt of the task must have run to clear the task.
func (t *task) provingTime() time.Duration {
	longest := provingTime
	for _, e := range t.suspicions {
		longest = max(longest, survivalFactor*min(e.Runtime, maxSuspectRuntime))
	}
	return longest
}

// runtime returns for how long the attempt seems to have run. It is too long by the time for which the last answer of the
// worker has waited to be read.
func (a *attempt) runtime() time.Duration {
	since := a.runsSince()
	if since.IsZero() {
		return 0
	}
	return max(0, a.worker.lastContact.Sub(since))
}

// runsSince returns when the attempt was first known to run; zero if it is not.
func (a *attempt) runsSince() time.Time {
	if !a.acceptedAt.IsZero() && a.restartedAt.IsZero() {
		return a.acceptedAt
	}
	return a.listedSince
}

// certainRuntime returns for how long the attempt has run at least according to a report that lists it, however late the
// report was read: until the report was requested, or from the first report that listed it, by the worker's clock.
func (a *attempt) certainRuntime(r Report) time.Duration {
	untilRequest := r.RequestedAt.Sub(a.runsSince())
	betweenReports := time.Duration(r.Clock-a.listedClock) * time.Millisecond
	return max(untilRequest, min(betweenReports, a.runtime()))
}

// isProven reports whether the attempt has run for so long that it will not crash its worker. The tasks of
// a gang begin to work only when all are present.
func (a *attempt) isProven() bool {
	return a.listed && a.runtime() >= a.task().provingTime() && (!a.step.spec.Gang || a.percent > 0)
}

// isIsolated reports whether all other attempts on the worker have proven themselves.
func (a *attempt) isIsolated() bool {
	for _, b := range a.worker.attempts {
		if b != a && !b.isProven() {
			return false
		}
	}
	return true
}

// unproven returns the attempts on the worker that have not proven themselves.
func (w *worker) unproven() []*attempt {
	var out []*attempt
	for _, a := range w.attempts {
		if !a.unsent && !a.isProven() {
			out = append(out, a)
		}
	}
	return out
}

// contents describes what the worker may run, for the log: the attempt that was started last is the first to
// look at if the worker has crashed.
func (w *worker) contents() string {
	var last *attempt
	unlisted := 0
	for _, a := range w.attempts {
		if !a.listed {
			unlisted++
		}
		if last == nil || a.requestedAt.After(last.requestedAt) {
			last = a
		}
	}
	if last == nil {
		return "no attempts there"
	}
	return fmt.Sprintf("attempts there: %d, of which no report has listed %d; started last: %+v run %d", len(w.attempts), unlisted, last.id(), last.run)
}

// suspectAttempts notes that the worker may have crashed. The attempts that have not proven themselves are
// suspected; if there are none, those that have run for at most maxSuspectRuntime.
func (s *State) suspectAttempts(w *worker) {
	if w.info.Draining {
		return // it may just have left
	}
	suspects := w.unproven()
	if len(suspects) == 0 {
		for _, a := range w.attempts {
			if !a.unsent && a.runtime() <= maxSuspectRuntime {
				suspects = append(suspects, a)
			}
		}
	}
	slices.SortFunc(suspects, (*attempt).compare)
	for _, a := range suspects {
		if a.step.job.outcome.Terminal() || a.task().done {
			continue
		}
		s.suspect(a, len(suspects) == 1)
	}
}

// suspect notes a suspicion for an attempt on the present incarnation of its worker, or completes the one that was noted
// before its start.
func (s *State) suspect(a *attempt, isolated bool) {
	e := newSuspicion(a)
	t := a.task()
	if a.absentIn == e.Incarnation && slices.ContainsFunc(t.suspicions, ofFormerIncarnation(a.run, e.Incarnation)) {
		return // that one may have run it, and this one has not
	}
	e.Runtime, e.Isolated = a.runtime(), isolated
	s.dropSuspicions(a.ref(), ofIncarnation(a.run, e.Incarnation))
	s.addSuspicion(a.ref(), e)
	t.lostAt = LaterOf(a.requestedAt, a.worker.lastContact)
	s.dirty.add(a.step.job)
	s.event(Event{Name: "task.suspected", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: a.worker.info.ID,
		Detail: fmt.Sprintf("the worker may have crashed after %s; only suspect: %t; suspicions: %d", e.Runtime, isolated, len(t.suspicions))})
	if pause := t.crashPause(); a.step.spec.LongRunning && pause > 0 {
		s.event(Event{Name: "task.paused", Job: a.step.job.ID, Task: a.id(), Run: a.run, Worker: a.worker.info.ID,
			Detail: fmt.Sprintf("%s; it waits %s", t.lossesInSuccession(), pause)})
	}
}

func newSuspicion(a *attempt) Suspicion {
	info := a.worker.info
	return Suspicion{Run: a.run, Worker: info.ID, Address: info.Address, Incarnation: info.Incarnation}
}

// ofRun matches the suspicions of a run.
func ofRun(run int64) func(Suspicion) bool {
	return func(e Suspicion) bool { return e.Run == run }
}

// ofIncarnation matches the suspicion of a run on an incarnation of its worker.
func ofIncarnation(run, incarnation int64) func(Suspicion) bool {
	return func(e Suspicion) bool { return e.Run == run && e.Incarnation == incarnation }
}

// ofFormerIncarnation matches the suspicions of a run on the incarnations of its worker before one.
func ofFormerIncarnation(run, incarnation int64) func(Suspicion) bool {
	return func(e Suspicion) bool { return e.Run == run && e.Incarnation < incarnation }
}

// taskRef is the place of a task in its step.
type taskRef struct {
	step  *step
	index int
}

func (r taskRef) id() TaskID {
	return TaskID{Job: r.step.job.ID, Occurrence: r.step.occ.number, Step: r.step.number, Index: r.index}
}

func (r taskRef) task() *task { return &r.step.tasks[r.index] }

// addSuspicion adds a suspicion of a task. The oldest is dropped if it has maxSuspicions already.
func (s *State) addSuspicion(r taskRef, e Suspicion) {
	t := r.task()
	if len(t.suspicions) >= maxSuspicions {
		s.dropSuspicions(r, ofIncarnation(t.suspicions[0].Run, t.suspicions[0].Incarnation))
	}
	t.suspicions = append(t.suspicions, e)
	s.indexSuspicion(r, e)
}

// indexSuspicion adds a suspicion to the indexes of suspected tasks.
func (s *State) indexSuspicion(r taskRef, e Suspicion) {
	if s.suspects[e.Worker] == nil {
		s.suspects[e.Worker] = map[taskRef]bool{}
	}
	s.suspects[e.Worker][r] = true
	if len(r.task().suspicions) >= crashesToFail {
		s.repeatSuspects[r] = true
	}
}

// dropSuspicions deletes the suspicions of a task that match, and reports whether there were any.
func (s *State) dropSuspicions(r taskRef, match func(Suspicion) bool) bool {
	t := r.task()
	var workers []WorkerID
	t.suspicions = slices.DeleteFunc(t.suspicions, func(e Suspicion) bool {
		if match(e) {
			workers = append(workers, e.Worker)
			return true
		}
		return false
	})
	for _, id := range workers {
		if slices.ContainsFunc(t.suspicions, func(e Suspicion) bool { return e.Worker == id }) {
			continue
		}
		if delete(s.suspects[id], r); len(s.suspects[id]) == 0 {
			delete(s.suspects, id)
		}
	}
	if len(t.suspicions) < crashesToFail {
		delete(s.repeatSuspects, r)
	}
	return len(workers) > 0
}

// withdrawSuspicions deletes the suspicions of a task that match, whose workers it has not crashed.
func (s *State) withdrawSuspicions(r taskRef, match func(Suspicion) bool) {
	if !s.dropSuspicions(r, match) {
		return
	}
	s.dirty.add(r.step.job)
	if t := r.task(); !t.suspected() {
		for _, a := range t.attempts {
			a.uncountSuspected()
		}
	}
}

// clearTask deletes all suspicions of a task that has proven itself.
func (s *State) clearTask(r taskRef) {
	t := r.task()
	if !t.suspected() {
		return
	}
	if slices.ContainsFunc(t.suspicions, func(e Suspicion) bool { return e.Run != t.lastRun }) {
		s.event(Event{Name: "task.cleared", Job: r.step.job.ID, Task: r.id(), Run: t.lastRun, Detail: "it did not crash its worker"})
	}
	s.endSuspicions(r)
	for _, a := range t.attempts {
		a.uncountSuspected()
	}
	s.dirty.add(r.step.job)
}

// endSuspicions forgets all suspicions of a task. Its attempts still count as suspected: if its job has ended, they may
// crash their workers until they are gone.
func (s *State) endSuspicions(r taskRef) {
	s.dropSuspicions(r, func(Suspicion) bool { return true })
}

// registerSuspicions indexes the suspicions in the record of a job that was loaded. The record does not say when
// the last worker was lost: of a pause, firstCrashPause is left.
func (s *State) registerSuspicions(j *Job, now time.Time) {
	for _, o := range j.occs {
		for _, st := range o.steps {
			for i := range st.tasks {
				t := &st.tasks[i]
				if !t.suspected() {
					continue
				}
				for _, e := range t.suspicions {
					s.indexSuspicion(taskRef{st, i}, e)
				}
				t.lostAt = now.Add(-max(0, t.crashPause()-firstCrashPause))
			}
		}
	}
}

// followAttempt notes that an attempt is listed by a later incarnation of its worker than the one to which
// the start was sent. If that one had listed it as well, its suspicion stays.
func (s *State) followAttempt(a *attempt) {
	t, incarnation := a.task(), a.worker.info.Incarnation
	if !a.listedSince.IsZero() || slices.ContainsFunc(t.suspicions, ofIncarnation(a.run, incarnation)) {
		return
	}
	if i := slices.IndexFunc(t.suspicions, ofRun(a.run)); i >= 0 {
		e := &t.suspicions[i]
		e.Incarnation, e.Runtime, e.Isolated = incarnation, 0, false
		s.dirty.add(a.step.job)
	}
}

// reviewSuspicions deletes the suspicions that a complete report of the worker refutes, and clears tasks
// that have proven themselves there.
func (s *State) reviewSuspicions(w *worker, r Report) {
	for ref := range s.suspects[w.info.ID] {
		t := ref.task()
		for _, e := range slices.Clone(t.suspicions) {
			a := w.attempts[attemptKey{ref.id(), e.Run}]
			switch {
			case e.Worker != w.info.ID:
			case a == nil && !r.Incomplete && e.Incarnation == w.info.Incarnation:
				s.withdrawSuspicions(ref, ofIncarnation(e.Run, e.Incarnation))
			case a != nil && a.isProven() && a.certainRuntime(r) >= t.provingTime():
				s.clearTask(ref)
			}
		}
	}
}

// isHopeless reports whether a task without attempts is given up, since workers have crashed under it.
func (s *State) isHopeless(t *task) bool {
	losses := len(t.suspicions)
	if losses < crashesToFail {
		return false
	}
	isolated, confirmed := 0, 0
	for _, e := range t.suspicions {
		if e.Isolated {
			isolated++
		}
		if s.isConfirmed(e) {
			confirmed++
		}
	}
	switch {
	case losses >= lossesToFail:
		return true
	case confirmed < confirmedCrashesToFail:
		return false
	default:
		return isolated >= isolatedCrashesToFail || losses >= sharedCrashesToFail
	}
}

// isConfirmed reports whether a later incarnation runs at the address of the lost worker, so that this
// has ended and was not just out of contact.
func (s *State) isConfirmed(e Suspicion) bool {
	for id, w := range s.workers {
		if (id == e.Worker || w.info.Address == e.Address) && w.info.Incarnation > e.Incarnation {
			return true
		}
	}
	return false
}

// failHopeless fails the jobs of which a waiting task is hopeless. Long-running tasks have no limit of attempts: they
// are paused instead.
func (s *State) failHopeless(now time.Time) {
	for ref := range s.repeatSuspects {
		t, job := ref.task(), ref.step.job
		if ref.step.spec.LongRunning || len(t.attempts) > 0 || s.isInDoubt(ref.step, t) || !s.isHopeless(t) {
			continue
		}
		s.event(Event{Name: "job.failed", Job: job.ID, Task: ref.id(), Run: t.suspicions[len(t.suspicions)-1].Run, Detail: t.lossesInSuccession()})
		s.end(job, Failed, now)
	}
}

// lossesInSuccession describes for the log why the task is given up or paused.
func (t *task) lossesInSuccession() string {
	return fmt.Sprintf("%d workers in succession were lost after they had started the task", len(t.suspicions))
}

// isPaused reports whether a long-running task of the step waits since workers were lost after its last starts.
func (st *step) isPaused(t *task, now time.Time) bool {
	return st.spec.LongRunning && now.Before(t.lostAt.Add(t.crashPause()))
}

// crashPause returns how long a long-running task waits after its last loss.
func (t *task) crashPause() time.Duration {
	if len(t.suspicions) < crashesToPause {
		return 0
	}
	pause := firstCrashPause
	for range len(t.suspicions) - crashesToPause {
		pause = min(2*pause, maxCrashPause)
	}
	return pause
}
