package batch

import "time"

const (
	// suspicionsToIsolate is the number of suspicions from which a task shares no worker with a suspected one.
	suspicionsToIsolate = 2

	// isolationPatience is how long a worker may run suspected tasks, one after the other, until long-running tasks
	// without another worker join them in any case: their room must not stand empty for long.
	isolationPatience = provingTime

	// weightIsolation is the penalty for a suspected task on a worker with unproven attempts, and for any
	// task on a worker with a suspected one.
	weightIsolation = 10.0
	// weightUnproven is the further penalty for each unproven attempt there, and weightSuspected that for
	// each that is suspected: suspected tasks that crash a worker together stay suspected.
	weightUnproven  = 0.5
	weightSuspected = 10.0
)

// mustAvoid reports whether the task must not share the worker with a suspected one that may crash it any moment: tasks
// that were lost together again and again could not be told apart. No task joins one that is suspected repeatedly,
// since it may crash the worker as well. The tasks of a gang are exempt, since they start at the same time.
func (t *task) mustAvoid(st *step, w *worker, now time.Time) bool {
	if w.suspected == 0 || st.spec.Gang {
		return false
	}
	if st.spec.LongRunning && now.Sub(w.suspectedSince) >= isolationPatience {
		return false
	}
	for _, a := range w.attempts {
		if a.suspected && (a.repeatSuspected || t.repeatedlySuspected()) && a.runtime() < provingTime {
			return true
		}
	}
	return false
}

// repeatedlySuspected reports whether the task shares no worker with a suspected one.
func (t *task) repeatedlySuspected() bool { return len(t.suspicions) >= suspicionsToIsolate }

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

// countSuspected counts the attempt among the suspected ones on its worker if its task is suspected.
func (a *attempt) countSuspected() {
	t := a.task()
	a.suspected, a.repeatSuspected = t.suspected(), t.repeatedlySuspected()
	if !a.suspected {
		return
	}
	if a.worker.suspected == 0 {
		a.worker.suspectedSince = a.requestedAt
	}
	a.worker.suspected++
}

// uncountSuspected undoes countSuspected.
func (a *attempt) uncountSuspected() {
	if a.suspected {
		a.worker.suspected--
	}
	a.suspected, a.repeatSuspected = false, false
}
