package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	// simulatedLeaseTTL is the lease that owners ask for, and simulatedLongestLeaseTTL the longest that workers grant.
	simulatedLeaseTTL        = 6 * time.Second
	simulatedLongestLeaseTTL = 10 * time.Second
	simulatedStartWindow     = 1500 * time.Millisecond
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
	// maxGang is the largest number of tasks of a gang.
	maxGang = 3
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
	jobs                 map[string]*Job                // as the store holds them
	records              map[string]Record              // as the store holds them
	cancels              map[string]bool                // as the store holds them
	recordedWorkers      map[WorkerID]bool              // workers in use, as the store holds them
	recordedFenced       map[WorkerID]FencedIncarnation // State.FencedIncarnation of each worker, as the store holds it
	workers              map[WorkerID]*simulatedWorker
	lastID               int // number of the worker that was named last
	requests             []sentRequest
	begun                map[string]bool              // jobs of which a worker has started a task
	clocks               map[WorkerID]simulatedClock  // the owner's readings
	incarnations         map[WorkerID]seenIncarnation // that the owner has seen
	lateRenewals         []lateRenewal
	formerLease          time.Duration           // the longest lease of a former owner that the present one may have to wait for
	leased               map[WorkerID]bool       // workers to which a renewal or a start was sent
	ownerSince           time.Time               // when the present owner took over; zero for the first one
	lastAcks             map[WorkerID]pendingAck // the last acknowledgement to each worker
	inFlight             *simulatedTxn
	recordsPerTxn        int                                 // the largest number of records in a transaction
	acks                 []pendingAck                        // wait until their changes are durable
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
	leftEntries          map[WorkerID]WorkerInfo  // entries in the registry of workers that are gone for good
	startTimes           map[attemptKey]time.Time // when attempts were started
	storeDown            bool                     // no record becomes durable, and nothing is acknowledged
	evacuated            string                   // the evacuated data centre; "" for none
	configVersion        int64
	caps                 map[string]Resources              // of the tenants
	formerCaps           map[string][]formerCap            // by tenant
	percent              int                               // progress in the reports of all running tasks
	lastFault            time.Time                         // when a fault last began or ended
	lastOutsideFault     time.Time                         // the same without the crashes under deadly tasks
	activeUntil          map[TaskID]time.Time              // when a task was last started, or until when a start without an answer may be executed
	listedDone           map[TaskID]int64                  // the last epoch in which a worker has listed that a task is done
	standstills          map[TaskID]*standstill            // see checkLiveness
	allDoneSince         map[string]time.Time              // since when all tasks of a job are known to be done
	lastActive           map[TaskID]time.Time              // when a long-running task that has run last ran or was being started
	lastLease            map[TaskID]time.Duration          // how long the lease may last under which such a task last ran
	roomSince            map[TaskID]map[WorkerID]time.Time // since when a worker has had room for such a task that is down
}

// runtimes are those of finite tasks without faults.
var runtimes = []time.Duration{0, 0, 0, time.Second, 3 * time.Second}

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
	maxToken         fencingToken
	startedAt        time.Time // of its incarnation
	lease            time.Time
	disconnected     bool
	refuses          bool // it refuses all starts
	unreadable       bool // the ends in its reports cannot be read
	running          map[attemptKey]bool
	ended            []EndedAttempt
	nextSeq          int64
	// lapsedSeq is the number of the last end before the lease last ended. A task may start again after such
	// an end, as the owner could not know of it in time.
	lapsedSeq   int64
	maxEndedRun map[TaskID]int64 // highest run that was stopped or ended
}

// formerCapacity is a capacity that a worker had until it was resized.
type formerCapacity struct {
	capacity Resources
	until    time.Time
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: time.Unix(1_000_000, 0), epoch: 1,
		jobs: map[string]*Job{}, records: map[string]Record{}, leased: map[WorkerID]bool{}, lastAcks: map[WorkerID]pendingAck{}, cancels: map[string]bool{},
		recordedWorkers: map[WorkerID]bool{}, workers: map[WorkerID]*simulatedWorker{},
		begun: map[string]bool{}, done: map[TaskID]bool{}, startedAfterDone: map[*simulatedWorker]map[int64]bool{}, acknowledgedDone: map[TaskID]bool{}, acknowledgedFailures: map[TaskID]int{},
		failedRuns: map[attemptKey]bool{}, deadly: map[TaskID]bool{}, crashes: map[TaskID]int{}, startsAfterCrashes: map[TaskID]int{}, lastDeadlyStart: map[TaskID]sentRequest{}, lostAnswers: map[TaskID]int{}, unrelatedCrashes: map[TaskID]int{},
		failedEnds: map[TaskID][]simulatedFailure{}, failedEndsAtStart: map[TaskID]int{}, faulty: map[TaskID]bool{},
		maxAttempts: rapid.IntRange(2, 3).Draw(t, "max attempts"), failuresOnly: rapid.IntRange(0, 2).Draw(t, "failures only") == 0,
		recordsPerTxn: rapid.SampledFrom([]int{1, 3, 100}).Draw(t, "records a transaction"), leftEntries: map[WorkerID]WorkerInfo{}, startTimes: map[attemptKey]time.Time{},
		percent: 50, lastActive: map[TaskID]time.Time{}, lastLease: map[TaskID]time.Duration{}, roomSince: map[TaskID]map[WorkerID]time.Time{},
		activeUntil: map[TaskID]time.Time{}, listedDone: map[TaskID]int64{}, standstills: map[TaskID]*standstill{}, allDoneSince: map[string]time.Time{},
	}
	w.caps, w.formerCaps = map[string]Resources{}, map[string][]formerCap{}
	w.endCaps()
	for range simulatedWorkers {
		w.newWorker()
	}
	w.replaceOwner(t)
	return w
}

// noteFault notes that a fault begins or ends.
func (w *simulation) noteFault() { w.lastFault, w.lastOutsideFault = w.now, w.now }

// noteOwnFault does something that is a fault only because of a deadly task.
func (w *simulation) noteOwnFault(do func()) {
	before := w.lastOutsideFault
	do()
	w.lastOutsideFault = before
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
		running: map[attemptKey]bool{}, maxEndedRun: map[TaskID]int64{}, nextSeq: 1, startedAt: w.now,
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
func (w *simulation) replaceOwner(t *rapid.T) {
	w.epoch++
	w.noteFault()
	w.dropTxn(t)
	w.clocks, w.incarnations = map[WorkerID]simulatedClock{}, map[WorkerID]seenIncarnation{}
	s := keepOwnership(New(w.epoch, simulatedTiming()))
	until := map[WorkerID]time.Time{}
	w.formerLease = 0
	for id := range w.recordedWorkers {
		lease := simulatedLongestLeaseTTL
		if w.recordedFenced[id].Settled || !w.leased[id] {
			lease = simulatedLeaseTTL
		}
		w.formerLease = max(w.formerLease, lease)
		until[id] = w.now.Add(lease + 500*time.Millisecond)
	}
	s.SetFormerIncarnations(w.recordedFenced)
	if w.owner != nil {
		w.ownerSince = w.now
		w.noteFormerWorkers(s)
		s.SetFormerOwnersEnd(w.now)
	}
	s.SetUnresolvedWorkers(until)
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		j := w.jobs[id]
		var r *Record
		if stored, ok := w.records[id]; ok {
			r = &stored
		}
		s.AddJob(&Job{ID: j.ID, Queue: j.Queue, Tenant: j.Tenant, QueueConfig: j.QueueConfig, Accepted: j.Accepted, Spec: j.Spec}, r, true, w.now)
	}
	for id := range w.cancels {
		s.Cancel(id, w.now)
	}
	w.owner = s
	w.configure()
	for _, id := range w.ids() {
		w.enlist(w.workers[id])
	}
	for _, id := range slices.Sorted(maps.Keys(w.leftEntries)) {
		w.showEntry(w.leftEntries[id])
	}
}

// enlist shows the owner a worker's entry in the registry and records that the worker may be in use.
func (w *simulation) enlist(n *simulatedWorker) {
	w.showEntry(n.entry)
	w.recordedWorkers[n.info.ID] = true
	if w.inFlight != nil {
		w.inFlight.workers[n.info.ID] = true
	}
	w.owner.MarkRecorded(n.info.ID)
}

func (w *simulation) ids() []WorkerID { return slices.Sorted(maps.Keys(w.workers)) }

func (w *simulation) drawWorker(t *rapid.T) *simulatedWorker {
	return w.workers[rapid.SampledFrom(w.ids()).Draw(t, "worker")]
}

func (w *simulation) submit(t *rapid.T) {
	if len(w.jobs) <= 8 {
		w.submitNext(t, true)
	}
}

// submitNext submits a job. Unless mayBeDeadly is set, none of its tasks crashes workers.
func (w *simulation) submitNext(t *rapid.T, mayBeDeadly bool) {
	spec := Spec{Payload: "p"}
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		step := Step{
			Count:       rapid.IntRange(1, 4).Draw(t, "count"),
			Resources:   Resources{CPU: int64(rapid.IntRange(1, 3).Draw(t, "cpu")) * 1000, MemoryMB: 500},
			Checkpoints: rapid.Bool().Draw(t, "checkpoints"),
			LongRunning: rapid.IntRange(0, 9).Draw(t, "lasts") == 0,
			Estimate:    rapid.SampledFrom(runtimes).Draw(t, "runtime"),
		}
		drawKind(t, &step)
		if i > 0 && rapid.Bool().Draw(t, "after") {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	id := fmt.Sprintf("j%d", len(w.jobs))
	j := &Job{ID: id, Queue: "q", Tenant: rapid.SampledFrom(simulatedTenants).Draw(t, "tenant"), QueueConfig: Queue{Service: "svc", MaxAttempts: w.maxAttempts}, Accepted: w.now, Spec: spec}
	firstKind := 0
	if !mayBeDeadly {
		firstKind = 1
	}
	switch kind := rapid.IntRange(firstKind, 4).Draw(t, "kind"); {
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

// drawKind makes a step a gang or best-effort, or binds it to some of the workers; most steps are neither.
func drawKind(t *rapid.T, step *Step) {
	switch rapid.IntRange(0, 11).Draw(t, "kind of step") {
	case 0, 1:
		step.Gang, step.LongRunning = true, false
		step.Count = min(step.Count, maxGang)
		step.Resources.CPU = min(step.Resources.CPU, 2000)
	case 2:
		step.BestEffort, step.Image = true, "image"
	case 3:
		step.Label = oddLabel
	case 4:
		step.MaxPerWorker = 1
	}
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
