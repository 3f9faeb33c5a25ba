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

// WorkerMode says how a worker misbehaves.
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
	// WorkerDead refuses every call; going there loses all attempts and their reports.
	WorkerDead WorkerMode = "dead"
)

// tenure is the lease of one partition's owner.
type tenure struct {
	epoch   model.Epoch
	expires time.Time
}

// Worker executes attempts under leases. Its methods are safe for concurrent use.
type Worker struct {
	Model   model.Worker
	record  *ExecutionLog
	samples *sampler

	mu       sync.Mutex
	mode     WorkerMode
	thawed   *sync.Cond
	tenures  map[model.Partition]tenure
	attempts map[model.AttemptID]*attempt
	// decided holds the answers to starts until their not-after time, so that a repeated
	// start gets the same answer.
	decided  map[model.AttemptID]decision
	sequence uint64
	// life counts the process lives of the worker.
	life int
}

// decision is the answer to a start.
type decision struct {
	result platform.StartResult
	until  time.Time
}

// newWorker returns an idle worker.
func newWorker(m model.Worker, r *ExecutionLog) *Worker {
	w := &Worker{
		Model:    m,
		record:   r,
		samples:  newSampler(),
		tenures:  map[model.Partition]tenure{},
		attempts: map[model.AttemptID]*attempt{},
		decided:  map[model.AttemptID]decision{},
	}
	w.thawed = sync.NewCond(&w.mu)
	return w
}

// SetMode changes how the worker misbehaves.
func (w *Worker) SetMode(now time.Time, m WorkerMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mode == WorkerFrozen {
		// A frozen worker did no work meanwhile.
		for _, a := range w.attempts {
			a.updated = now
		}
	}
	w.mode = m
	if m == WorkerDead {
		w.dieLocked()
	}
	w.thawed.Broadcast()
}

// dieLocked loses all that the worker knows.
func (w *Worker) dieLocked() {
	for _, a := range w.attempts {
		if !a.state.Ended() {
			w.record.attemptEnded(a.id, w.Model.ID, model.AttemptLost, "", 0)
		}
	}
	w.record.forgetUnreported(w.Model.ID)
	w.attempts = map[model.AttemptID]*attempt{}
	w.decided = map[model.AttemptID]decision{}
	w.tenures = map[model.Partition]tenure{}
	w.sequence = 0
	w.life++
}

// waitThawed waits while the worker is frozen and returns its mode.
func (w *Worker) waitThawed() WorkerMode {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.mode == WorkerFrozen {
		w.thawed.Wait()
	}
	return w.mode
}

// step lets time pass.
func (w *Worker) step(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.mode {
	case WorkerDead:
	case WorkerFrozen:
		// The platform's watchdog enforces leases on a frozen worker, too.
		w.enforceLeasesLocked(now)
	default:
		w.stepLocked(now)
	}
}

// enforceLeasesLocked ends the attempts whose lease has lapsed.
func (w *Worker) enforceLeasesLocked(now time.Time) {
	for _, a := range w.attempts {
		if !a.state.Ended() && !w.leasedLocked(a.partition, now) {
			w.endLocked(a, model.AttemptLost, "the lease lapsed")
		}
	}
}

// stepLocked ends the attempts whose lease has lapsed and those that are done.
func (w *Worker) stepLocked(now time.Time) {
	w.enforceLeasesLocked(now)
	for _, a := range w.attempts {
		if a.state.Ended() {
			continue
		}
		a.advance(now)
		switch {
		case a.progress < 1:
		case a.work.Fails:
			w.endLocked(a, model.AttemptFailed, "exit status 1")
		default:
			w.endLocked(a, model.AttemptSucceeded, "")
		}
	}
	for id, d := range w.decided {
		if now.After(d.until) {
			delete(w.decided, id)
		}
	}
	w.samples.step(now, w.attempts)
}

// leasedLocked reports whether the partition's lease is current.
func (w *Worker) leasedLocked(p model.Partition, now time.Time) bool {
	t, ok := w.tenures[p]
	return ok && now.Before(t.expires)
}

// endLocked ends an attempt.
func (w *Worker) endLocked(a *attempt, state model.AttemptState, reason string) {
	a.state = state
	a.err = reason
	w.sequence++
	a.sequence = w.sequence
	if state == model.AttemptCheckpointed {
		a.checkpoint = model.CheckpointID(fmt.Sprintf("%s#%d@%s", a.id.Job, a.id.Number, w.Model.ID))
	}
	w.record.attemptEnded(a.id, w.Model.ID, state, a.checkpoint, a.progress)
}

// errTooLate refuses a lease request whose not-after time has passed.
var errTooLate = errors.New("the not-after time has passed")

// Lease raises the epoch and renews the lease, or returns a *platform.StaleEpochError or
// errTooLate.
func (w *Worker) Lease(now time.Time, r platform.LeaseRequest) (platform.LeaseReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stepLocked(now)
	t := w.tenures[r.Partition]
	if r.Epoch < t.epoch {
		return platform.LeaseReply{}, &platform.StaleEpochError{Seen: t.epoch}
	}
	if !now.Before(r.NotAfter) {
		return platform.LeaseReply{}, errTooLate
	}
	w.tenures[r.Partition] = tenure{epoch: r.Epoch, expires: now.Add(r.TTL)}
	w.acknowledgeLocked(r.Partition, r.Acknowledged)
	reply := platform.LeaseReply{
		Epoch:       r.Epoch,
		Incarnation: fmt.Sprintf("%s/%d", w.Model.ID, w.life),
		Now:         now,
		Complete:    r.All,
		Reports:     w.reportsLocked(r),
	}
	reply.Usage, reply.Services = w.samples.take(now)
	return reply, nil
}

// acknowledgeLocked forgets ended attempts that the owner has made durable.
func (w *Worker) acknowledgeLocked(p model.Partition, sequence uint64) {
	for id, a := range w.attempts {
		if a.partition == p && a.state.Ended() && a.sequence <= sequence {
			delete(w.attempts, id)
		}
	}
}

// reportsLocked returns the reports that the owner has not acknowledged, or all.
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
			w.record.checkpointReported(a.id.Job, a.checkpoint)
		}
		reports = append(reports, a.report())
	}
	slices.SortFunc(reports, func(a, b platform.AttemptReport) int { return int(a.Sequence) - int(b.Sequence) })
	return reports
}

// Start executes attempts, each at most once.
func (w *Worker) Start(now time.Time, r platform.StartRequest) (platform.StartReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stepLocked(now)
	t := w.tenures[r.Partition]
	if r.Epoch < t.epoch {
		return platform.StartReply{}, &platform.StaleEpochError{Seen: t.epoch}
	}
	leased := r.Epoch == t.epoch && w.leasedLocked(r.Partition, now)
	var reply platform.StartReply
	for _, s := range r.Attempts {
		reply.Results = append(reply.Results, w.decideLocked(now, r.Partition, s, leased))
	}
	return reply, nil
}

// decideLocked answers one start, or repeats the former answer.
func (w *Worker) decideLocked(now time.Time, p model.Partition, s platform.StartAttempt, leased bool) platform.StartResult {
	if d, ok := w.decided[s.Attempt]; ok {
		return d.result
	}
	result := platform.StartResult{Attempt: s.Attempt}
	switch {
	case !now.Before(s.NotAfter):
		// The time has passed for every later copy of the message, too.
		result.Error = "the not-after time has passed"
		return result
	case !leased:
		result.Error = "no current lease"
	default:
		result.Accepted = true
		w.executeLocked(now, p, s)
	}
	w.decided[s.Attempt] = decision{result: result, until: s.NotAfter}
	return result
}

// executeLocked begins an attempt.
func (w *Worker) executeLocked(now time.Time, p model.Partition, s platform.StartAttempt) {
	progress := w.record.attemptStarted(Start{
		Attempt: s.Attempt, Worker: w.Model.ID, DataCentre: w.Model.DataCentre, At: now, Checkpoint: s.Checkpoint,
	})
	w.sequence++
	a := &attempt{
		id: s.Attempt, partition: p, class: s.Class, reservation: s.Reservation,
		work: work.FromAttempt(s), sequence: w.sequence, checkpoint: s.Checkpoint,
		progress: progress, throttle: 1, updated: now,
	}
	w.attempts[s.Attempt] = a
	w.record.committed(now, w.Model, w.reservedLocked())
	if w.mode == WorkerFailStarts {
		w.endLocked(a, model.AttemptFailed, "exec: input/output error")
	}
}

// reservedLocked sums the reservations of executing attempts.
func (w *Worker) reservedLocked() model.Resources {
	var sum model.Resources
	for _, a := range w.attempts {
		if !a.state.Ended() {
			sum = sum.Add(a.reservation)
		}
	}
	return sum
}

// Signal acts on an executing attempt; an ended or unknown one is left alone.
func (w *Worker) Signal(now time.Time, r platform.SignalRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stepLocked(now)
	if t := w.tenures[r.Partition]; r.Epoch < t.epoch {
		return &platform.StaleEpochError{Seen: t.epoch}
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
		w.record.add(func(c *Counts) { c.Throttles++ })
	}
	return nil
}

// inflation is the factor by which the work on the worker slows its targets.
func (w *Worker) inflation() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	factor := 1.0
	for _, a := range w.attempts {
		if !a.state.Ended() {
			factor += a.work.Noise * float64(a.used().MilliCPU) / 1000
		}
	}
	return factor
}
