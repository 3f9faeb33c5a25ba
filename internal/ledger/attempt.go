package ledger

import (
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// attempt is an attempt that may be executing.
type attempt struct {
	id          model.AttemptID
	worker      model.WorkerID
	dataCentre  model.DataCentre
	reservation model.Resources
	started     time.Time
	// notAfter is the time after which the worker refuses the start message.
	notAfter time.Time
	// epoch is the epoch of the owner that recorded the start.
	epoch model.Epoch
	// evictionSignal is the last signal recorded for an eviction, or empty if there was none.
	evictionSignal platform.SignalKind
	// reportedProgress is the last reported progress; it is not durable.
	reportedProgress float64
}

// workerReservations holds the attempts that may be executing on one worker, and the sum of their
// reservations.
type workerReservations struct {
	total    model.Resources
	attempts map[model.AttemptID]*attempt
}

// Place starts the next attempt of a queued job. It refuses a placement that would make the
// reservations on the worker exceed its capacity.
func (l *Ledger) Place(now time.Time, p Placement) error {
	j, found := l.jobs[p.Job]
	if !found {
		return refuse(verdict.ReasonUnknownID, "no job %q", p.Job)
	}
	if j.state != model.JobQueued {
		return refuse(verdict.ReasonInvalid, "job %q is %s", p.Job, j.state)
	}
	if err := l.checkPlacement(now, p); err != nil {
		return err
	}
	r := Record{Kind: RecordStarted, At: now, Job: p.Job, Attempt: j.attempt + 1, Worker: p.Worker.ID,
		DataCentre: p.Worker.DataCentre, Reservation: &p.Reservation, NotAfter: p.NotAfter, Reason: p.Reason}
	if err := l.commit(r); err != nil {
		return err
	}
	l.actions.Starts = append(l.actions.Starts, j.start())
	return nil
}

// checkPlacement refuses a placement on a worker that takes no new work or has too little free
// capacity, and one whose start the worker would refuse already.
func (l *Ledger) checkPlacement(now time.Time, p Placement) error {
	if p.Worker.ID == "" || p.Worker.Leaving {
		return refuse(verdict.ReasonWorkerFailed, "worker %q takes no new work", p.Worker.ID)
	}
	if !p.NotAfter.After(now) {
		return refuse(verdict.ReasonDeadline, "start of %q expires before it is recorded", p.Job)
	}
	if !(model.Resources{}).Fits(p.Reservation) {
		return refuse(verdict.ReasonInvalid, "reservation of %q is negative", p.Job)
	}
	reserved := l.Reserved(p.Worker.ID).Add(p.Reservation)
	if !reserved.Fits(p.Worker.Capacity) {
		return refuse(verdict.ReasonUnfeasible, "reservations on worker %q would be %+v, above its capacity of %+v", p.Worker.ID, reserved, p.Worker.Capacity)
	}
	return l.admit()
}

func (l *Ledger) applyStarted(j *job, r *Record) error {
	if j.state != model.JobQueued {
		return r.applyError("job is %s", j.state)
	}
	if r.Attempt != j.attempt+1 || r.Reservation == nil {
		return r.applyError("attempt %d does not follow attempt %d", r.Attempt, j.attempt)
	}
	a := &attempt{
		id:               model.AttemptID{Job: r.Job, Number: r.Attempt},
		worker:           r.Worker,
		dataCentre:       r.DataCentre,
		reservation:      *r.Reservation,
		started:          r.At,
		notAfter:         r.NotAfter,
		epoch:            l.epoch,
		reportedProgress: j.progress,
	}
	j.attempt = r.Attempt
	j.current = a
	j.state = model.JobRunning
	j.reason = r.Reason
	l.reserve(a)
	l.appendHistory(j, r, "")
	return nil
}

// start returns the start message of the current attempt.
func (j *job) start() Start {
	a := j.current
	return Start{Worker: a.worker, DataCentre: a.dataCentre, Attempt: platform.StartAttempt{
		Attempt:     a.id,
		Class:       j.spec.Class,
		Reservation: a.reservation,
		NotAfter:    a.notAfter,
		Checkpoint:  j.checkpoint,
		DeclaredRun: j.spec.DeclaredRun,
		Payload:     j.spec.Payload,
	}}
}

// Evict asks an executing attempt to checkpoint or stop, so that its job is queued again.
// Repeating it sends the signal again; SignalStop after SignalCheckpoint is recorded as an
// escalation. A throttle is not an eviction and is refused.
func (l *Ledger) Evict(now time.Time, a model.AttemptID, kind platform.SignalKind, reason string) error {
	if kind != platform.SignalStop && kind != platform.SignalCheckpoint {
		return refuse(verdict.ReasonInvalid, "signal %q cannot evict an attempt", kind)
	}
	j := l.executing(a)
	if j == nil {
		return refuse(verdict.ReasonUnknownID, "attempt %d of %q is not executing", a.Number, a.Job)
	}
	if j.cancelling {
		return nil
	}
	if evicting := j.current.evictionSignal; evicting == kind || evicting == platform.SignalStop {
		l.signal(j, evicting)
		return nil
	}
	r := Record{Kind: RecordEvicting, At: now, Job: a.Job, Attempt: a.Number, Worker: j.current.worker, Signal: kind, Reason: reason}
	if err := l.commit(r); err != nil {
		return err
	}
	l.signal(j, kind)
	return nil
}

func (l *Ledger) applyEvicting(j *job, r *Record) error {
	if j.current == nil || j.current.id.Number != r.Attempt {
		return r.applyError("attempt %d is not executing", r.Attempt)
	}
	if j.current.evictionSignal == "" {
		j.evictions++
	}
	j.current.evictionSignal = r.Signal
	j.state = model.JobEvicting
	j.reason = r.Reason
	l.appendHistory(j, r, string(r.Signal))
	return nil
}

// signal queues a message to the current attempt of the job.
func (l *Ledger) signal(j *job, kind platform.SignalKind) {
	s := Signal{Worker: j.current.worker, Attempt: j.current.id, Kind: kind}
	l.actions.Signals = append(l.actions.Signals, s)
}

// StartRefused ends an attempt that certainly never executes, because its start was refused or
// not sent, and queues its job again.
func (l *Ledger) StartRefused(now time.Time, a model.AttemptID, reason string) error {
	j := l.executing(a)
	if j == nil {
		return nil
	}
	return l.commit(Record{Kind: RecordRefused, At: now, Job: a.Job, Attempt: a.Number, Worker: j.current.worker, Reason: reason})
}

func (l *Ledger) applyRefused(j *job, r *Record) error {
	if j.current == nil || j.current.id.Number != r.Attempt {
		return r.applyError("attempt %d is not executing", r.Attempt)
	}
	l.release(j)
	j.reason = r.Reason
	l.appendHistory(j, r, "")
	l.requeue(j, r.At)
	return nil
}

// executing returns the job whose current attempt is a, or nil.
func (l *Ledger) executing(a model.AttemptID) *job {
	j, found := l.jobs[a.Job]
	if !found || j.current == nil || j.current.id.Number != a.Number {
		return nil
	}
	return j
}

// reserve adds the reservation of an attempt to those of its worker.
func (l *Ledger) reserve(a *attempt) {
	c, found := l.workers[a.worker]
	if !found {
		c = &workerReservations{attempts: map[model.AttemptID]*attempt{}}
		l.workers[a.worker] = c
	}
	c.total = c.total.Add(a.reservation)
	c.attempts[a.id] = a
}

// release frees the reservation of the current attempt. It may be called only if it is proved
// that the attempt no longer executes.
func (l *Ledger) release(j *job) {
	a := j.current
	j.current = nil
	c := l.workers[a.worker]
	c.total = c.total.Sub(a.reservation)
	delete(c.attempts, a.id)
	if len(c.attempts) == 0 {
		delete(l.workers, a.worker)
	}
}

// requeue queues a job without an attempt again, or ends it if it is being cancelled.
func (l *Ledger) requeue(j *job, at time.Time) {
	if j.cancelling {
		l.finish(j, model.JobCancelled, at)
		return
	}
	l.enqueue(j)
}
