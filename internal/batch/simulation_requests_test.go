package batch

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// sentRequest is an action that has been sent to a worker and not executed yet.
type sentRequest struct {
	action     Action
	epoch      int64
	token      fencingToken
	sentAt     time.Time
	notAfter   int64 // on the worker's clock
	answerLost bool  // its answer is lost
	repeated   bool  // an identical request was sent before, whose answer is lost
	// carriedOutAt is when it is executed at the latest if its answer is lost and its worker is in contact.
	carriedOutAt time.Time
}

// plan calls Plan of the owner and sends the requests.
func (w *simulation) plan(t *rapid.T) {
	actions := w.owner.Plan(w.now)
	w.checkWaitReasons(t)
	w.sendActions(actions)
}

// planFreshSteps calls PlanFreshSteps of the owner, as between two plans, and sends the requests.
func (w *simulation) planFreshSteps(*rapid.T) { w.sendActions(w.owner.PlanFreshSteps(w.now)) }

// sendActions sends the requests of actions.
func (w *simulation) sendActions(actions []Action) {
	for _, a := range actions {
		reading := w.clocks[a.Worker]
		notAfter := reading.clock + w.now.Sub(reading.at).Milliseconds() + simulatedStartWindow.Milliseconds()
		if a.Kind == ActionStart {
			w.owner.StartSent(a.Worker, a.Task, a.Run, notAfter)
		}
		w.leased[a.Worker] = true
		w.requests = append(w.requests, sentRequest{action: a, epoch: w.epoch, token: w.token(a.Worker, a.Incarnation), sentAt: w.now, notAfter: notAfter})
	}
}

// loseAnswer loses the answer to a request. The request may still be executed at any later time.
func (w *simulation) loseAnswer(t *rapid.T) {
	if len(w.requests) == 0 {
		return
	}
	w.giveUp(&w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(t, "order")])
}

// repeat sends a request again whose answer is lost. The owner waits for the answer to the copy; the first one may still
// be executed at any later time.
func (w *simulation) repeat(t *rapid.T) {
	if len(w.requests) == 0 {
		return
	}
	r := &w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(t, "order")]
	if r.answerLost || r.epoch != w.epoch {
		return
	}
	again := *r
	again.repeated = true
	w.loseAnswerTo(r)
	w.requests = append(w.requests, again)
}

// answerOf returns what the owner takes the answer to a request for.
func (r sentRequest) answerOf(answer Answer) Answer {
	switch {
	case !r.repeated:
		return answer
	case answer == AnswerOK:
		return AnswerOKRepeated
	case answer == AnswerFenced:
		return answer
	default:
		return AnswerNone
	}
}

// giveUp lets the owner go on without the answer to a request.
func (w *simulation) giveUp(r *sentRequest) {
	if r.answerLost {
		return
	}
	w.loseAnswerTo(r)
	if r.action.Kind == ActionStart {
		w.lostAnswers[r.action.Task]++
	}
	if r.action.Kind == ActionStart && r.epoch == w.epoch {
		w.owner.StartAnswered(r.action.Worker, r.action.Task, r.action.Run, AnswerNone, w.now)
	}
}

// loseAnswerTo loses the answer to a request, which is executed up to maxCallDelay late.
func (w *simulation) loseAnswerTo(r *sentRequest) {
	r.answerLost = true
	r.carriedOutAt = r.sentAt.Add(time.Duration(rapid.IntRange(0, int(maxCallDelay/time.Second)).Draw(w.t, "seconds late")) * time.Second)
	w.noteFault()
	w.extendActive(*r, r.sentAt.Add(maxCallDelay+simulatedLeaseTTL+livenessWait))
	if r.action.Kind == ActionStart {
		w.noteActiveUntil(r.action.Task, r.sentAt.Add(maxCallDelay+simulatedLeaseTTL+livenessWait))
	}
}

// deliver executes one of the requests that were sent.
func (w *simulation) deliver(t *rapid.T) {
	if len(w.requests) == 0 {
		return
	}
	w.deliverOne(rapid.IntRange(0, len(w.requests)-1).Draw(t, "order"))
}

// deliverOne executes a request, unless its worker is out of contact, and reports whether it did.
func (w *simulation) deliverOne(i int) bool {
	r := w.requests[i]
	n := w.workers[r.action.Worker]
	if n == nil || n.disconnected {
		return false
	}
	w.requests = slices.Delete(w.requests, i, i+1)
	answer := r.answerOf(w.execute(n, r))
	if r.action.Kind == ActionStart && w.deadly[r.action.Task] && answer == AnswerNone {
		w.noteOwnFault(func() { w.giveUp(&r) }) // the worker has crashed before it answered
		w.lostAnswers[r.action.Task]--
	}
	if r.answerLost || r.epoch != w.epoch {
		return true
	}
	switch r.action.Kind {
	case ActionStart:
		w.owner.StartAnswered(r.action.Worker, r.action.Task, r.action.Run, answer, w.now)
	case ActionStop:
		w.owner.StopAnswered(r.action.Worker, r.action.Incarnation, r.action.Task, r.action.Run, answer, w.now)
	}
	return true
}

// execute executes a request as a worker does, and returns the answer.
func (w *simulation) execute(n *simulatedWorker, r sentRequest) Answer {
	w.expireLease(n)
	if r.token.lessThan(n.maxToken) {
		if r.epoch == w.epoch {
			return AnswerInvalid // the worker has seen this owner's token for its newer incarnation
		}
		return AnswerFenced
	}
	n.maxToken = r.token
	a := r.action
	key := attemptKey{a.Task, a.Run}
	switch a.Kind {
	case ActionStart:
		if n.running[key] {
			return AnswerOK
		}
		w.grantLease(n, r.notAfter)
		if w.clock(n) > r.notAfter {
			return AnswerExpired
		}
		if a.Run <= n.maxEndedRun[a.Task] {
			return AnswerStale
		}
		if n.refuses {
			return AnswerRefused
		}
		w.checkStart(n, r)
		if w.deadly[a.Task] {
			w.crashUnder(n, r)
			return AnswerNone
		}
	case ActionStop:
		if n.running[key] {
			w.endAttempt(n, key, EndStopped)
		}
		n.maxEndedRun[a.Task] = max(n.maxEndedRun[a.Task], a.Run)
	}
	return AnswerOK
}

// checkStart starts a task on a worker and checks the invariants of a start.
func (w *simulation) checkStart(n *simulatedWorker, r sentRequest) {
	a := r.action
	j := w.jobs[a.Task.Job]
	if j == nil {
		w.t.Fatalf("start of %v, which nobody submitted", a.Task)
	}
	for _, other := range w.workers {
		w.expireLease(other)
		for key := range other.running {
			if key.task == a.Task {
				w.t.Fatalf("%v run %d starts on %s while run %d is on %s", a.Task, a.Run, n.info.ID, key.run, other.info.ID)
			}
		}
	}
	step := &j.Spec.Steps[a.Task.Step]
	if !step.LongRunning && w.acknowledgedDone[a.Task] {
		w.t.Fatalf("%v starts again after its end was acknowledged", a.Task)
	}
	if !step.LongRunning && w.acknowledgedFailures[a.Task] >= w.maxAttempts {
		w.t.Fatalf("%v starts after %d failures", a.Task, w.acknowledgedFailures[a.Task])
	}
	if !step.LongRunning { // a long-running task restarts however it ends
		w.noteRepetition(a.Task)
		w.failedEndsAtStart[a.Task] = len(w.failedEnds[a.Task])
		w.checkMaxAttempts(a.Task)
	}
	for _, before := range step.After {
		for i := range j.Spec.Steps[before].Count {
			if !w.done[TaskID{Job: j.ID, Step: before, Index: i}] {
				w.t.Fatalf("%v starts before step %d is done", a.Task, before)
			}
		}
	}
	n.running[attemptKey{a.Task, a.Run}] = true
	w.noteActiveUntil(a.Task, w.now)
	w.startTimes[attemptKey{a.Task, a.Run}] = w.now
	w.begun[a.Task.Job] = true
	var used Resources
	for key := range n.running {
		used = used.Plus(w.jobs[key.task.Job].Spec.Steps[key.task.Step].reserved())
	}
	capacity := n.info.Capacity
	if a.Incarnation < n.info.Incarnation {
		capacity = fullCapacity // the start was meant for the former incarnation
	}
	for _, f := range n.formerCapacities {
		if r.sentAt.Before(f.until) {
			capacity = maxResources(capacity, f.capacity)
		}
	}
	w.checkQuota(r)
	if !used.Fits(capacity) {
		w.t.Fatalf("%s is over its capacity of %+v: %+v", n.info.ID, capacity, used)
	}
}

// noteRepetition notes the ends after which a task is started again. None of them may be acknowledged.
func (w *simulation) noteRepetition(id TaskID) {
	for _, n := range w.workers {
		for _, e := range n.ended {
			if e.Task == id && e.Reason == EndDone && e.Seq > n.lapsedSeq {
				w.startedAfterDone[n][e.Seq] = true
			}
		}
	}
}

// maxResources returns the larger amount of each kind of resource.
func maxResources(r, o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemoryMB: max(r.MemoryMB, o.MemoryMB), GPU: max(r.GPU, o.GPU)}
}
