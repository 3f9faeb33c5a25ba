package fleet

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/standin/fleet/work"
)

// WorkerMode is the fault that a worker shows.
type WorkerMode string

// The modes of a worker.
const (
	WorkerHealthy WorkerMode = ""
	// WorkerFailStarts makes every attempt fail right after its start.
	WorkerFailStarts WorkerMode = "fail-starts"
	// WorkerLoseAnswers starts the attempts and closes the connection without an answer.
	WorkerLoseAnswers WorkerMode = "lose-answers"
	// WorkerFrozen holds every call and does no work, until the mode changes.
	WorkerFrozen WorkerMode = "frozen"
	// WorkerDead closes the connection of every call; on entering this mode the worker loses all
	// attempts and their reports.
	WorkerDead WorkerMode = "dead"
)

// partitionLease is the lease that the owner of a partition holds at the worker.
type partitionLease struct {
	epoch   model.Epoch
	expires time.Time
}

// Worker executes attempts under leases. Its methods are safe for concurrent use.
type Worker struct {
	Model   model.Worker
	log     *ExecutionLog
	samples *sampler

	mu          sync.Mutex
	mode        WorkerMode
	modeChanged *sync.Cond
	leases      map[model.Partition]partitionLease
	attempts    map[model.AttemptID]*attempt
	// startDecisions holds the answers to starts until their not-after time, so that a repeated
	// start gets the same answer.
	startDecisions map[model.AttemptID]startDecision
	sequence       uint64
	// incarnation counts the restarts of the worker.
	incarnation int
}

// startDecision is the answer to a start.
type startDecision struct {
	result platform.StartResult
	until  time.Time
}

// newWorker returns an idle worker.
func newWorker(m model.Worker, log *ExecutionLog) *Worker {
	w := &Worker{
		Model:          m,
		log:            log,
		samples:        newSampler(),
		leases:         map[model.Partition]partitionLease{},
		attempts:       map[model.AttemptID]*attempt{},
		startDecisions: map[model.AttemptID]startDecision{},
	}
	w.modeChanged = sync.NewCond(&w.mu)
	return w
}

// SetMode changes the fault that the worker shows.
func (w *Worker) SetMode(now time.Time, m WorkerMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mode == WorkerFrozen {
		// The attempts made no progress while the worker was frozen.
		for _, a := range w.attempts {
			a.updated = now
		}
	}
	w.mode = m
	if m == WorkerDead {
		w.resetLocked()
	}
	w.modeChanged.Broadcast()
}

// resetLocked drops all state of the worker, as a crash does.
func (w *Worker) resetLocked() {
	for _, a := range w.attempts {
		if !a.state.Ended() {
			w.log.attemptEnded(a.id, w.Model.ID, model.AttemptLost, "", 0)
		}
	}
	w.log.dropUnreportedCheckpoints(w.Model.ID)
	w.attempts = map[model.AttemptID]*attempt{}
	w.startDecisions = map[model.AttemptID]startDecision{}
	w.leases = map[model.Partition]partitionLease{}
	w.sequence = 0
	w.incarnation++
}

// waitWhileFrozen waits while the worker is frozen and returns its mode.
func (w *Worker) waitWhileFrozen() WorkerMode {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.mode == WorkerFrozen {
		w.modeChanged.Wait()
	}
	return w.mode
}

// step advances the simulation of the worker to the given time.
func (w *Worker) step(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.mode {
	case WorkerDead:
	case WorkerFrozen:
		// The platform's watchdog ends attempts without a lease on a frozen worker, too.
		w.enforceLeasesLocked(now)
	default:
		w.stepLocked(now)
	}
}

// enforceLeasesLocked ends the attempts whose lease has lapsed.
func (w *Worker) enforceLeasesLocked(now time.Time) {
	for _, a := range w.attempts {
		if !a.state.Ended() && !w.leaseValidLocked(a.partition, now) {
			w.endLocked(a, model.AttemptLost, "the lease lapsed")
		}
	}
}

// stepLocked advances all attempts and ends those whose lease has lapsed or that are done.
func (w *Worker) stepLocked(now time.Time) {
	w.enforceLeasesLocked(now)
	for _, a := range w.attempts {
		if a.state.Ended() {
			continue
		}
		a.advance(now)
		switch {
		case a.progress < 1:
		case a.payload.Fails:
			w.endLocked(a, model.AttemptFailed, "exit status 1")
		default:
			w.endLocked(a, model.AttemptSucceeded, "")
		}
	}
	for id, d := range w.startDecisions {
		if now.After(d.until) {
			delete(w.startDecisions, id)
		}
	}
	w.samples.step(now, w.attempts)
}

// leaseValidLocked reports whether the partition's lease is current.
func (w *Worker) leaseValidLocked(p model.Partition, now time.Time) bool {
	lease, ok := w.leases[p]
	return ok && now.Before(lease.expires)
}

// endLocked ends an attempt with a final state and gives its report a new sequence number.
func (w *Worker) endLocked(a *attempt, state model.AttemptState, reason string) {
	a.state = state
	a.err = reason
	w.sequence++
	a.sequence = w.sequence
	if state == model.AttemptCheckpointed {
		a.checkpoint = model.CheckpointID(fmt.Sprintf("%s#%d@%s", a.id.Job, a.id.Number, w.Model.ID))
	}
	w.log.attemptEnded(a.id, w.Model.ID, state, a.checkpoint, a.progress)
}

// errNotAfterPassed refuses a lease request that arrives after its not-after time, so that a delayed
// request cannot extend the lease.
var errNotAfterPassed = errors.New("the not-after time has passed")

// Lease raises the epoch, renews the lease and returns reports and samples. It returns a
// *platform.StaleEpochError or errNotAfterPassed if it refuses the request.
func (w *Worker) Lease(now time.Time, r platform.LeaseRequest) (platform.LeaseReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stepLocked(now)
	lease := w.leases[r.Partition]
	if r.Epoch < lease.epoch {
		return platform.LeaseReply{}, &platform.StaleEpochError{Seen: lease.epoch}
	}
	if !now.Before(r.NotAfter) {
		return platform.LeaseReply{}, errNotAfterPassed
	}
	w.leases[r.Partition] = partitionLease{epoch: r.Epoch, expires: now.Add(r.TTL)}
	w.acknowledgeLocked(r.Partition, r.Acknowledged)
	reply := platform.LeaseReply{
		Epoch:       r.Epoch,
		Incarnation: fmt.Sprintf("%s/%d", w.Model.ID, w.incarnation),
		Now:         now,
		Complete:    r.All,
		Reports:     w.reportsLocked(r),
	}
	reply.Usage, reply.Services = w.samples.takeReady(now)
	return reply, nil
}

// acknowledgeLocked drops the ended attempts whose reports the owner has made durable.
func (w *Worker) acknowledgeLocked(p model.Partition, sequence uint64) {
	for id, a := range w.attempts {
		if a.partition == p && a.state.Ended() && a.sequence <= sequence {
			delete(w.attempts, id)
		}
	}
}

// reportsLocked returns the reports that the owner has not acknowledged, or all if it asks for all.
func (w *Worker) reportsLocked(r platform.LeaseRequest) []platform.AttemptReport {
	reports := []platform.AttemptReport{}
	for _, a := range w.attempts {
		if a.partition != r.Partition {
			continue
		}
		if a.sequence <= r.Acknowledged && !r.All {
			continue
		}
		if a.state == model.AttemptCheckpointed {
			w.log.checkpointReported(a.id.Job, a.checkpoint)
		}
		reports = append(reports, a.report())
	}
	slices.SortFunc(reports, func(a, b platform.AttemptReport) int { return int(a.Sequence) - int(b.Sequence) })
	return reports
}

// Start decides on each requested start and executes the accepted attempts, each at most once.
func (w *Worker) Start(now time.Time, r platform.StartRequest) (platform.StartReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stepLocked(now)
	lease := w.leases[r.Partition]
	if r.Epoch < lease.epoch {
		return platform.StartReply{}, &platform.StaleEpochError{Seen: lease.epoch}
	}
	leased := r.Epoch == lease.epoch && w.leaseValidLocked(r.Partition, now)
	var reply platform.StartReply
	for _, s := range r.Attempts {
		reply.Results = append(reply.Results, w.decideLocked(now, r.Partition, s, leased))
	}
	return reply, nil
}

// decideLocked accepts or refuses one start; a repeated start gets the same answer again.
func (w *Worker) decideLocked(now time.Time, p model.Partition, s platform.StartAttempt, leased bool) platform.StartResult {
	if d, ok := w.startDecisions[s.Attempt]; ok {
		return d.result
	}
	result := platform.StartResult{Attempt: s.Attempt}
	switch {
	case !now.Before(s.NotAfter):
		// The decision is not kept: a later copy of the message is refused for the same reason.
		result.Error = "the not-after time has passed"
		return result
	case !leased:
		result.Error = "no current lease"
	default:
		result.Accepted = true
		w.executeLocked(now, p, s)
	}
	w.startDecisions[s.Attempt] = startDecision{result: result, until: s.NotAfter}
	return result
}

// executeLocked starts the execution of an attempt.
func (w *Worker) executeLocked(now time.Time, p model.Partition, s platform.StartAttempt) {
	progress := w.log.attemptStarted(Start{
		Attempt: s.Attempt, Worker: w.Model.ID, DataCentre: w.Model.DataCentre, At: now, Checkpoint: s.Checkpoint,
	})
	w.sequence++
	a := &attempt{
		id: s.Attempt, partition: p, class: s.Class, reservation: s.Reservation,
		payload: work.FromAttempt(s), sequence: w.sequence, checkpoint: s.Checkpoint,
		progress: progress, throttle: 1, updated: now,
	}
	w.attempts[s.Attempt] = a
	w.log.checkCapacity(now, w.Model, w.reservedLocked())
	if w.mode == WorkerFailStarts {
		w.endLocked(a, model.AttemptFailed, "exec: input/output error")
	}
}

// reservedLocked returns the sum of the reservations of executing attempts.
func (w *Worker) reservedLocked() model.Resources {
	var sum model.Resources
	for _, a := range w.attempts {
		if !a.state.Ended() {
			sum = sum.Add(a.reservation)
		}
	}
	return sum
}

// Signal stops, checkpoints or throttles an executing attempt; an ended or unknown one is ignored.
func (w *Worker) Signal(now time.Time, r platform.SignalRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stepLocked(now)
	if lease := w.leases[r.Partition]; r.Epoch < lease.epoch {
		return &platform.StaleEpochError{Seen: lease.epoch}
	}
	a, ok := w.attempts[r.Attempt]
	if !ok || a.state.Ended() {
		return nil
	}
	switch r.Kind {
	case platform.SignalStop:
		w.endLocked(a, model.AttemptStopped, "")
	case platform.SignalCheckpoint:
		w.endLocked(a, model.AttemptCheckpointed, "")
	case platform.SignalThrottle:
		a.throttle = min(max(r.Share, 0), 1)
		w.log.updateCounts(func(c *Counts) { c.Throttles++ })
	}
	return nil
}

// latencyFactor returns the factor by which executing attempts lengthen the requests of the worker's
// targets.
func (w *Worker) latencyFactor() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	factor := 1.0
	for _, a := range w.attempts {
		if !a.state.Ended() {
			factor += a.payload.Noise * float64(a.used().MilliCPU) / 1000
		}
	}
	return factor
}
