package batch

const (
	// suspicionsToIsolate is the number of suspicions from which a task shares no worker with a suspected one.
	suspicionsToIsolate = 2

	// weightIsolation is the penalty for a suspected task on a worker with unproven attempts, and for any
	// task on a worker with a suspected one.
	weightIsolation = 10.0
	// weightUnproven is the further penalty for each unproven attempt there, and weightSuspected that for
	// each that is suspected: suspected tasks that crash a worker together stay suspected.
	weightUnproven  = 0.5
	weightSuspected = 10.0
)

// mustAvoid reports whether the task must not share the worker with a suspected one: tasks that were lost together
// again and again could not be told apart. The tasks of a gang are exempt, since they start at the same time.
func (t *task) mustAvoid(st *step, w *worker) bool {
	if !t.suspected() || w.suspected == 0 || st.spec.Gang {
		return false
	}
	return len(t.suspicions) >= suspicionsToIsolate || w.repeatSuspected > 0
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

// countSuspected counts the attempt among the suspected ones on its worker if its task is suspected.
func (a *attempt) countSuspected() {
	n := len(a.task().suspicions)
	a.suspected, a.repeatSuspected = n > 0, n >= suspicionsToIsolate
	if a.suspected {
		a.worker.suspected++
	}
	if a.repeatSuspected {
		a.worker.repeatSuspected++
	}
}

// uncountSuspected undoes countSuspected.
func (a *attempt) uncountSuspected() {
	if a.suspected {
		a.worker.suspected--
	}
	if a.repeatSuspected {
		a.worker.repeatSuspected--
	}
	a.suspected, a.repeatSuspected = false, false
}
