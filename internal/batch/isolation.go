package batch

import "time"

const (
	// suspicionsToIsolate is the number of suspicions from which a task and a new attempt of a suspected one keep apart
	// for provingTime.
	suspicionsToIsolate = 2
	// suspicionsToSeparate is the number from which it and other suspected ones keep apart until they are cleared.
	suspicionsToSeparate = 3

	// isolationPatience and separationPatience are how long an incarnation of a worker may run suspected tasks, one after
	// the other, until long-running tasks without another worker do neither any more: their room must not stand empty
	// for long. If it has been restarted meanwhile, one of them may have crashed it.
	isolationPatience  = provingTime
	separationPatience = 2 * time.Second
	// shortIsolationPatience replaces isolationPatience for other tasks, whose jobs may be given up for losses. They
	// have no separationPatience.
	shortIsolationPatience = 8 * time.Second
	// maxSuspectGap is the longest time between two suspected tasks that follow each other.
	maxSuspectGap = provingTime

	// weightIsolation is the penalty for a suspected task on a worker with unproven attempts, and for any
	// task on a worker with a suspected one.
	weightIsolation = 10.0
	// weightUnproven is the further penalty for each unproven attempt there, and weightSuspected that for
	// each that is suspected: suspected tasks that crash a worker together stay suspected.
	weightUnproven  = 0.5
	weightSuspected = 10.0
)

// mustAvoid reports whether the task must not share the worker with a suspected one. Tasks that are lost together again
// and again can't be told apart, and a task that is suspected repeatedly may crash the worker as well. The tasks of a
// gang are exempt, since they start at the same time.
func (t *task) mustAvoid(st *step, w *worker, now time.Time) bool {
	if w.suspected == 0 || st.spec.Gang {
		return false
	}
	isolates, separates := !w.hasRunSuspectsFor(shortIsolationPatience, now), true
	if st.spec.LongRunning {
		isolates = !w.hasRunSuspectsFor(isolationPatience, now)
		separates = !w.hasRunSuspectsFor(separationPatience, now)
	}
	for _, a := range w.attempts {
		if isolates && t.mustWaitFor(a) || separates && t.mustStayApart(a) {
			return true
		}
	}
	return false
}

// mustStayApart reports whether the task and that of an attempt are both suspected, and one of them so often that a
// further loss must tell which one crashes its workers. An attempt of a job that has ended counts until it has proven itself.
func (t *task) mustStayApart(a *attempt) bool {
	if a.step.job.outcome.Terminal() && a.isProven() {
		return false
	}
	return t.suspected() && a.suspicions > 0 && max(len(t.suspicions), a.suspicions) >= suspicionsToSeparate
}

// mustWaitFor reports whether an attempt may crash its worker any moment, and the task must not be there.
func (t *task) mustWaitFor(a *attempt) bool {
	return a.suspicions > 0 && max(len(t.suspicions), a.suspicions) >= suspicionsToIsolate && a.runtime() < provingTime
}

// noteSuspects notes which workers run suspected tasks. It is called in each Plan.
func (s *State) noteSuspects(now time.Time) {
	for _, w := range s.workers {
		if w.suspected > 0 {
			w.noteSuspects(now)
		}
	}
}

// noteSuspects notes that the worker's incarnation may run suspected tasks, and since when, without regard to gaps of up to
// maxSuspectGap. Starts that have not been sent do not count.
func (w *worker) noteSuspects(now time.Time) {
	var first time.Time
	for _, a := range w.attempts {
		since := LaterOf(a.requestedAt, a.restartedAt)
		if a.suspicions > 0 && !a.unsent && (first.IsZero() || since.Before(first)) {
			first = since
		}
	}
	if first.IsZero() {
		return
	}
	if now.Sub(w.suspectsSeen) > maxSuspectGap {
		w.suspectsSince = first
	}
	w.suspectsSeen = now
}

// hasRunSuspectsFor reports whether the worker's incarnation has run suspected tasks, one after the other, for some time.
func (w *worker) hasRunSuspectsFor(d time.Duration, now time.Time) bool {
	return now.Sub(w.suspectsSeen) <= maxSuspectGap && now.Sub(w.suspectsSince) >= d
}

// isolationPenalty lowers the score of a worker where a crash would not tell whose fault it is.
func (t *task) isolationPenalty(w *worker) float64 {
	if !t.suspected() {
		if w.suspected > 0 {
			return weightIsolation
		}
		return 0
	}
	unproven := 0
	for _, a := range w.attempts {
		if !a.isProven() {
			unproven++
		}
	}
	if unproven == 0 {
		return 0
	}
	return weightIsolation + weightUnproven*float64(unproven) + weightSuspected*float64(w.suspected)
}

// countSuspected counts the attempt among those of suspected tasks on its worker if its task is suspected. A suspicion
// that was noted for its own start does not count.
func (a *attempt) countSuspected() {
	for _, e := range a.task().suspicions {
		if e.Run != a.run {
			a.suspicions++
		}
	}
	if a.suspicions > 0 {
		a.worker.suspected++
	}
}

// uncountSuspected undoes countSuspected.
func (a *attempt) uncountSuspected() {
	if a.suspicions > 0 {
		a.worker.suspected--
	}
	a.suspicions = 0
}
