package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	simulatedLeaseTTL    = 6 * time.Second
	simulatedStartWindow = 1500 * time.Millisecond
	// simulatedCallTimeout is how long the owner waits for the answer to a request.
	simulatedCallTimeout = 700 * time.Millisecond
	// budgetCrashes is the number of crashes after which a deadly task may be started budgetStarts - 1 times more.
	budgetCrashes = 3
	budgetStarts  = 3
	// minCrashPause is the time between the next starts of a deadly task that is long-running and so never given up.
	minCrashPause = 3 * time.Second
	// crashesToGiveUp is the number of crashes after which a deadly task may be given up.
	crashesToGiveUp = 2
	// maxUnrelatedCrashes is the number of crashes for other reasons that a task outlasts in any case. No
	// evidence tells a task that meets one on each of its starts from a deadly one.
	maxUnrelatedCrashes = 2
	// maxOwnersKilled bounds the owners that are killed just as a worker crashes. Each may leave a start of which
	// no record tells, or the record of a start that was not carried out.
	maxOwnersKilled = 2
	// simulatedWorkers is the number of workers at the start.
	simulatedWorkers = 4
	// simulatedMaxEnds is the largest number of ended attempts in a report.
	simulatedMaxEnds = 2
)

// simulation simulates workers, the store and one owner at a time. Its checks look at what the workers
// execute, not at the owner's state.
type simulation struct {
	t                    *rapid.T
	now                  time.Time
	epoch                int64
	owner                *State
	jobs                 map[string]*Job   // as the store holds them
	records              map[string]Record // as the store holds them
	cancels              map[string]bool   // as the store holds them
	recordedWorkers      map[WorkerID]bool // workers in use, as the store holds them
	workers              map[WorkerID]*simulatedWorker
	lastID               int // number of the worker that was named last
	requests             []sentRequest
	begun                map[string]bool                     // jobs of which a worker has started a task
	clocks               map[WorkerID]simulatedClock         // the owner's readings
	pending              map[string]Record                   // taken from the owner, not yet durable
	acks                 []pendingAck                        // wait until pending is durable
	done                 map[TaskID]bool                     // done, whether the end has been reported or not
	startedAfterDone     map[*simulatedWorker]map[int64]bool // ends after which their task was started again
	acknowledgedDone     map[TaskID]bool                     // done, and the end was acknowledged
	acknowledgedFailures map[TaskID]int                      // number of acknowledged failures
	failedEnds           map[TaskID][]simulatedFailure       // all failed ends, the oldest first
	failedEndsAtStart    map[TaskID]int                      // how many of them there were at the last start of the task
	maxAttempts          int                                 // of the queue
	faulty               map[TaskID]bool                     // tasks that fail on each worker
	failuresOnly         bool                                // all tasks are faulty, and no worker crashes, is resized or refuses starts
	failedRuns           map[attemptKey]bool                 // runs that ended failed, whether reported or not
	deadly               map[TaskID]bool                     // tasks that crash each worker that starts them
	crashes              map[TaskID]int                      // workers that have crashed under a deadly task
	startsAfterCrashes   map[TaskID]int                      // its starts by the present owner after budgetCrashes
	lastDeadlyStart      map[TaskID]sentRequest              // the last request that started a deadly task
	lostAnswers          map[TaskID]int                      // starts without an answer, but for those that crashed the worker
	ownersKilled         int                                 // owners killed just as a worker crashed under a task
	unrelatedCrashes     map[TaskID]int                      // crashes for other reasons of workers that had or were to start it
	later                []laterEvent
	storeDown            bool   // no record becomes durable, and nothing is acknowledged
	evacuated            string // the evacuated data centre; "" for none
	configVersion        int64
	percent              int                               // progress in the reports of all running tasks
	lastFault            time.Time                         // when a fault last began or ended
	lastActive           map[TaskID]time.Time              // when a long-running task that has run last ran or was being started
	roomSince            map[TaskID]map[WorkerID]time.Time // since when a worker has had room for such a task that is down
}

// fullCapacity is the largest capacity of a worker.
var fullCapacity = Resources{CPU: 4000, MemoryMB: 4000}

// simulatedClock is a reading of a worker's clock.
type simulatedClock struct {
	clock int64
	at    time.Time
}

type simulatedWorker struct {
	info  WorkerInfo
	entry WorkerInfo // in the registry, where a restart shows late
	// formerCapacities were in force. Starts that were sent before their ends count against the largest.
	formerCapacities []formerCapacity
	clockOffset      time.Duration // of its clock, which starts anew with each incarnation
	maxEpoch         int64
	lease            time.Time
	disconnected     bool
	refuses          bool // it refuses all starts
	running          map[attemptKey]bool
	ended            []EndedAttempt
	nextSeq          int64
	// lapsedSeq is the number of the last end before the lease last ended. A task may start again after such
	// an end, as the owner could not know of it in time.
	lapsedSeq   int64
	maxEndedRun map[TaskID]int64 // highest run that was stopped or ended
}

// simulatedFailure is a failed end on one incarnation of a worker.
type simulatedFailure struct {
	worker       *simulatedWorker
	incarnation  int64
	seq          int64
	acknowledged bool
}

// formerCapacity is a capacity that a worker had until it was resized.
type formerCapacity struct {
	capacity Resources
	until    time.Time
}

// sentRequest is an action that has been sent to a worker and not executed yet.
type sentRequest struct {
	action     Action
	epoch      int64
	sentAt     time.Time
	notAfter   int64 // on the worker's clock
	answerLost bool  // its answer is lost
}

type pendingAck struct {
	worker      WorkerID
	incarnation int64
	seq         int64
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: time.Unix(1_000_000, 0), epoch: 1,
		jobs: map[string]*Job{}, records: map[string]Record{}, cancels: map[string]bool{},
		recordedWorkers: map[WorkerID]bool{}, workers: map[WorkerID]*simulatedWorker{},
		begun: map[string]bool{}, done: map[TaskID]bool{}, startedAfterDone: map[*simulatedWorker]map[int64]bool{}, acknowledgedDone: map[TaskID]bool{}, acknowledgedFailures: map[TaskID]int{},
		failedRuns: map[attemptKey]bool{}, deadly: map[TaskID]bool{}, crashes: map[TaskID]int{}, startsAfterCrashes: map[TaskID]int{}, lastDeadlyStart: map[TaskID]sentRequest{}, lostAnswers: map[TaskID]int{}, unrelatedCrashes: map[TaskID]int{},
		failedEnds: map[TaskID][]simulatedFailure{}, failedEndsAtStart: map[TaskID]int{}, faulty: map[TaskID]bool{},
		maxAttempts: rapid.IntRange(2, 3).Draw(t, "max attempts"), failuresOnly: rapid.IntRange(0, 2).Draw(t, "failures only") == 0,
		percent: 50, lastActive: map[TaskID]time.Time{}, roomSince: map[TaskID]map[WorkerID]time.Time{},
	}
	for range simulatedWorkers {
		w.newWorker()
	}
	w.replaceOwner(t)
	return w
}

func (w *simulation) newID() WorkerID {
	w.lastID++
	return WorkerID(fmt.Sprintf("w%d", w.lastID))
}

// newWorker starts a worker, of which the owner does not know yet.
func (w *simulation) newWorker() *simulatedWorker {
	id := w.newID()
	n := &simulatedWorker{
		info:    WorkerInfo{ID: id, Incarnation: 1, Service: "svc", Address: string(id), DataCentre: dataCentres[w.lastID%len(dataCentres)], Capacity: fullCapacity},
		running: map[attemptKey]bool{}, maxEndedRun: map[TaskID]int64{}, nextSeq: 1,
	}
	if w.lastID%2 == 1 {
		n.info.Labels = []string{oddLabel}
	}
	n.entry = n.info
	w.workers[id] = n
	w.startedAfterDone[n] = map[int64]bool{}
	return n
}

// clock returns the time on a worker's clock.
func (w *simulation) clock(n *simulatedWorker) int64 { return w.now.Add(n.clockOffset).UnixMilli() }

// replaceOwner replaces the owner by a new one, which starts from the contents of the store.
func (w *simulation) replaceOwner(*rapid.T) {
	w.epoch++
	w.lastFault = w.now
	w.pending, w.acks = nil, nil
	w.clocks = map[WorkerID]simulatedClock{}
	s := keepOwnership(New(w.epoch, testLimits))
	until := map[WorkerID]time.Time{}
	for id := range w.recordedWorkers {
		until[id] = w.now.Add(simulatedLeaseTTL + 500*time.Millisecond)
	}
	s.SetUnresolvedWorkers(until)
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		var r *Record
		if stored, ok := w.records[id]; ok {
			r = &stored
		}
		s.AddJob(&Job{ID: j.ID, Queue: j.Queue, QueueConfig: j.QueueConfig, Accepted: j.Accepted, Spec: j.Spec}, r, true, w.now)
	}
	for id := range w.cancels {
		s.Cancel(id, w.now)
	}
	w.owner = s
	w.configure()
	for _, id := range w.ids() {
		w.enlist(w.workers[id])
	}
}

// enlist shows the owner a worker's entry in the registry and records that the worker may be in use.
func (w *simulation) enlist(n *simulatedWorker) {
	w.owner.UpdateWorker(n.entry, w.now)
	w.recordedWorkers[n.info.ID] = true
	w.owner.MarkRecorded(n.info.ID)
}

func (w *simulation) ids() []WorkerID { return slices.Sorted(maps.Keys(w.workers)) }

func (w *simulation) drawWorker(t *rapid.T) *simulatedWorker {
	return w.workers[rapid.SampledFrom(w.ids()).Draw(t, "worker")]
}

func (w *simulation) submit(t *rapid.T) {
	if len(w.jobs) > 8 {
		return
	}
	spec := Spec{Payload: "p"}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		step := Step{
			Count:       rapid.IntRange(1, 4).Draw(t, "count"),
			Resources:   Resources{CPU: int64(rapid.IntRange(1, 3).Draw(t, "cpu")) * 1000, MemoryMB: 500},
			Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
			LongRunning: rapid.IntRange(0, 9).Draw(t, "lasts") == 0,
			Estimate:    time.Second,
		}
		if i > 0 && rapid.Bool().Draw(t, "after") {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	id := fmt.Sprintf("j%d", len(w.jobs))
	j := &Job{ID: id, Queue: "q", QueueConfig: Queue{Service: "svc", MaxAttempts: w.maxAttempts}, Accepted: w.now, Spec: spec}
	switch kind := rapid.IntRange(0, 4).Draw(t, "kind"); {
	case w.failuresOnly:
		for i := range spec.Steps[0].Count {
			w.faulty[TaskID{Job: id, Index: i}] = true
		}
	case kind == 0:
		w.deadly[drawTask(t, id, spec, "deadly")] = true
	case kind == 1:
		w.faulty[drawTask(t, id, spec, "faulty")] = true
	}
	w.addJob(j)
}

// drawTask draws a task of a job. kind is what it is drawn for.
func drawTask(t *rapid.T, job string, spec Spec, kind string) TaskID {
	step := rapid.IntRange(0, len(spec.Steps)-1).Draw(t, kind+" step")
	return TaskID{Job: job, Step: step, Index: rapid.IntRange(0, spec.Steps[step].Count-1).Draw(t, kind+" task")}
}

// addJob adds a new job to the store, and passes a copy of it to the owner.
func (w *simulation) addJob(j *Job) {
	w.jobs[j.ID] = j
	known := *j
	w.owner.AddJob(&known, nil, false, w.now)
}

func (w *simulation) cancel(t *rapid.T) {
	if len(w.jobs) == 0 || rapid.IntRange(0, 5).Draw(t, "seldom") > 0 {
		return
	}
	w.cancelJob(rapid.SampledFrom(slices.Sorted(maps.Keys(w.jobs))).Draw(t, "job"))
}

func (w *simulation) cancelJob(id string) {
	w.cancels[id] = true
	w.owner.Cancel(id, w.now)
}

// plan calls Plan of the owner and sends the requests.
func (w *simulation) plan(*rapid.T) {
	for _, a := range w.owner.Plan(w.now) {
		reading := w.clocks[a.Worker]
		notAfter := reading.clock + w.now.Sub(reading.at).Milliseconds() + simulatedStartWindow.Milliseconds()
		if a.Kind == ActionStart {
			w.owner.StartSent(a.Worker, a.Task, a.Run, notAfter)
		}
		w.requests = append(w.requests, sentRequest{action: a, epoch: w.epoch, sentAt: w.now, notAfter: notAfter})
	}
}

// loseAnswer loses the answer to a request. The request may still be executed at any later time.
func (w *simulation) loseAnswer(t *rapid.T) {
	if len(w.requests) == 0 {
		return
	}
	w.giveUp(&w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(t, "order")])
}

// giveUp lets the owner go on without the answer to a request.
func (w *simulation) giveUp(r *sentRequest) {
	if r.answerLost {
		return
	}
	r.answerLost = true
	w.lastFault = w.now
	w.extendActive(*r, r.sentAt.Add(maxCallDelay))
	if r.action.Kind == ActionStart {
		w.lostAnswers[r.action.Task]++
	}
	if r.action.Kind == ActionStart && r.epoch == w.epoch {
		w.owner.StartAnswered(r.action.Worker, r.action.Task, r.action.Run, AnswerNone, w.now)
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
	answer := w.execute(n, r)
	if r.action.Kind == ActionStart && w.deadly[r.action.Task] && answer == AnswerNone {
		w.giveUp(&r) // the worker has crashed before it answered
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
	if r.epoch < n.maxEpoch {
		return AnswerFenced
	}
	n.maxEpoch = r.epoch
	a := r.action
	key := attemptKey{a.Task, a.Run}
	switch a.Kind {
	case ActionStart:
		if n.running[key] {
			return AnswerOK
		}
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
	w.begun[a.Task.Job] = true
	granted := min(time.Duration(r.notAfter-w.clock(n))*time.Millisecond, simulatedLeaseTTL)
	n.lease = laterOf(n.lease, w.now.Add(granted))
	var used Resources
	for key := range n.running {
		used = used.plus(w.jobs[key.task.Job].Spec.Steps[key.task.Step].reserved())
	}
	capacity := n.info.Capacity
	if a.Incarnation < n.info.Incarnation {
		capacity = fullCapacity // the start was meant for the former incarnation
	}
	for _, f := range n.formerCapacities {
		if r.sentAt.Before(f.until) {
			capacity = capacity.max(f.capacity)
		}
	}
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

// checkMaxAttempts checks that a task has not been started after as many acknowledged failures as its queue allows,
// whether they were acknowledged before the start or later.
func (w *simulation) checkMaxAttempts(id TaskID) {
	failures := 0
	for _, e := range w.failedEnds[id][:w.failedEndsAtStart[id]] {
		if e.acknowledged {
			failures++
		}
	}
	if failures >= w.maxAttempts {
		w.t.Fatalf("%v was started after %d runs that have failed", id, failures)
	}
}

// noteAcknowledgedFailure notes that a failed end was acknowledged before the lease of its worker has ended.
func (w *simulation) noteAcknowledgedFailure(n *simulatedWorker, e EndedAttempt) {
	ends := w.failedEnds[e.Task]
	for i := range ends {
		if f := &ends[i]; f.worker == n && f.incarnation == n.info.Incarnation && f.seq == e.Seq {
			f.acknowledged = true
		}
	}
	w.checkMaxAttempts(e.Task)
}

func (w *simulation) endAttempt(n *simulatedWorker, key attemptKey, how EndReason) {
	delete(n.running, key)
	switch how {
	case EndDone:
		w.done[key.task] = true
	case EndFailed:
		w.failedRuns[key] = true
		w.failedEnds[key.task] = append(w.failedEnds[key.task], simulatedFailure{worker: n, incarnation: n.info.Incarnation, seq: n.nextSeq})
	}
	n.maxEndedRun[key.task] = max(n.maxEndedRun[key.task], key.run)
	n.ended = append(n.ended, EndedAttempt{Seq: n.nextSeq, Task: key.task, Run: key.run, Reason: how})
	n.nextSeq++
}

// expireLease ends the attempts on a worker whose lease has ended.
func (w *simulation) expireLease(n *simulatedWorker) {
	if !w.now.After(n.lease) {
		return
	}
	for _, key := range sortedKeys(n.running) {
		w.endAttempt(n, key, EndLeaseExpired)
	}
	n.lapsedSeq = n.nextSeq - 1
}

func sortedKeys(m map[attemptKey]bool) []attemptKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b attemptKey) int {
		return compareStrings(fmt.Sprint(a), fmt.Sprint(b))
	})
}

// max returns the larger amount of each kind of resource.
func (r Resources) max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.MemoryMB, o.MemoryMB), max(r.GPU, o.GPU)}
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// endOne ends one running task as done or failed.
func (w *simulation) endOne(t *rapid.T) {
	n := w.drawWorker(t)
	w.expireLease(n)
	keys := sortedKeys(n.running)
	if len(keys) == 0 {
		return
	}
	key := rapid.SampledFrom(keys).Draw(t, "task")
	how := EndDone
	if w.faulty[key.task] || rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
		how = EndFailed
	}
	w.endAttempt(n, key, how)
}

// endAll ends all running tasks on a worker, except long-running ones. Those that are not faulty are done.
func (w *simulation) endAll(n *simulatedWorker) {
	w.expireLease(n)
	for _, key := range sortedKeys(n.running) {
		switch {
		case w.jobs[key.task.Job].Spec.Steps[key.task.Step].LongRunning:
		case w.faulty[key.task]:
			w.endAttempt(n, key, EndFailed)
		default:
			w.endAttempt(n, key, EndDone)
		}
	}
}

// report passes a report of a worker to the owner, with or without a renewal of the lease.
func (w *simulation) report(t *rapid.T) { w.reportOf(w.drawWorker(t), rapid.Bool().Draw(t, "renews")) }

// reportOf passes a report of the worker to the owner. If renew is set, it renews the lease first.
func (w *simulation) reportOf(n *simulatedWorker, renew bool) {
	if n.disconnected {
		return
	}
	w.expireLease(n)
	if n.maxEpoch > w.epoch {
		return
	}
	n.maxEpoch = w.epoch
	if renew {
		n.lease = w.now.Add(simulatedLeaseTTL)
		w.owner.LeaseRenewed(n.info.ID, w.now.Add(simulatedLeaseTTL+100*time.Millisecond), true)
	}
	w.clocks[n.info.ID] = simulatedClock{clock: w.clock(n), at: w.now}
	r := Report{Incarnation: n.info.Incarnation, RequestedAt: w.now, Clock: w.clock(n)}
	for _, key := range sortedKeys(n.running) {
		r.Running = append(r.Running, RunningAttempt{Task: key.task, Run: key.run, Percent: w.percent})
	}
	r.Ended = slices.Clone(n.ended[:min(len(n.ended), simulatedMaxEnds)])
	r.Incomplete = len(r.Ended) == simulatedMaxEnds
	if last := w.owner.ApplyReport(n.info.ID, r, w.now); last > 0 {
		w.acks = append(w.acks, pendingAck{n.info.ID, n.info.Incarnation, last})
	}
}

// commit makes the owner's records and the list of the workers in use durable, then acknowledges the reported ends.
func (w *simulation) commit(*rapid.T) {
	if w.storeDown {
		return
	}
	records := w.owner.TakeDirty(100)
	maps.Copy(w.records, records)
	w.recordWorkers()
	w.owner.MarkStored(records)
	for _, a := range w.acks {
		w.acknowledge(a)
	}
	w.acks = nil
}

// recordWorkers makes the list of the workers in use durable.
func (w *simulation) recordWorkers() {
	inUse := w.owner.WorkersInUse()
	for id := range w.recordedWorkers {
		if !inUse[id] {
			w.owner.MarkUnrecorded(id)
		}
	}
	for id := range inUse {
		w.owner.MarkRecorded(id)
	}
	w.recordedWorkers = inUse
}

// acknowledge deletes the acknowledged ends on a worker.
func (w *simulation) acknowledge(a pendingAck) {
	n := w.workers[a.worker]
	if n == nil || n.info.Incarnation != a.incarnation || n.disconnected {
		return
	}
	n.ended = slices.DeleteFunc(n.ended, func(e EndedAttempt) bool {
		if e.Seq > a.seq {
			return false
		}
		switch e.Reason {
		case EndDone:
			if w.startedAfterDone[n][e.Seq] && e.Seq > n.lapsedSeq {
				w.t.Fatalf("%v run %d is acknowledged as done on %s, but the task was started again after it", e.Task, e.Run, n.info.ID)
			}
			w.acknowledgedDone[e.Task] = true
		case EndFailed:
			w.acknowledgedFailures[e.Task]++
			if e.Seq > n.lapsedSeq {
				w.noteAcknowledgedFailure(n, e)
			}
		}
		return true
	})
}
