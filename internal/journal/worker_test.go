package journal_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// leaseTTL is the duration of the lease of a fake worker.
const leaseTTL = 6 * time.Second

// fakeWorker implements only the rules that the comments of internal/platform state.
type fakeWorker struct {
	worker model.Worker
	// offset is the deviation of the worker's clock from the simulated time.
	offset     time.Duration
	epoch      model.Epoch
	leaseUntil time.Time
	running    map[model.AttemptID]platform.StartAttempt
	// known holds every attempt id that was executed (true) or refused (false).
	known    map[model.AttemptID]bool
	reports  []platform.AttemptReport
	sequence uint64
	checker  *checker
}

func newFakeWorker(w model.Worker, offset time.Duration, c *checker) *fakeWorker {
	return &fakeWorker{worker: w, offset: offset, checker: c,
		running: map[model.AttemptID]platform.StartAttempt{}, known: map[model.AttemptID]bool{}}
}

// lease renews the lease and returns the complete list of attempts.
func (w *fakeWorker) lease(now time.Time, r platform.LeaseRequest) (platform.LeaseReply, error) {
	w.expireAttempts(now)
	if r.Epoch < w.epoch {
		return platform.LeaseReply{}, &platform.StaleEpochError{Seen: w.epoch}
	}
	if now.Add(w.offset).After(r.NotAfter) {
		return platform.LeaseReply{}, errRefused
	}
	w.epoch = r.Epoch
	w.leaseUntil = now.Add(r.TTL)
	var kept []platform.AttemptReport
	for _, report := range w.reports {
		if report.Sequence > r.Acknowledged {
			kept = append(kept, report)
			continue
		}
		w.checker.observeAcknowledgement(report)
	}
	w.reports = kept
	reply := platform.LeaseReply{Epoch: w.epoch, Reports: append([]platform.AttemptReport(nil), kept...)}
	for id := range w.running {
		reply.Reports = append(reply.Reports, platform.AttemptReport{Attempt: id, State: model.AttemptRunning, Progress: 0.1})
	}
	return reply, nil
}

var errRefused = errors.New("refused")

// start executes an attempt unless a rule forbids it. errRefused proves that the attempt was not
// executed and never will be.
func (w *fakeWorker) start(now time.Time, e model.Epoch, a platform.StartAttempt) error {
	w.expireAttempts(now)
	if e < w.epoch {
		return &platform.StaleEpochError{Seen: w.epoch}
	}
	accepted, known := w.known[a.Attempt]
	if !known {
		accepted = !now.Add(w.offset).After(a.NotAfter) && now.Before(w.leaseUntil)
		w.known[a.Attempt] = accepted
	}
	if !accepted {
		return errRefused
	}
	if known {
		return nil
	}
	w.running[a.Attempt] = a
	w.checker.observeExecution(w.worker, a)
	return nil
}

// signal checkpoints or stops an executing attempt.
func (w *fakeWorker) signal(now time.Time, e model.Epoch, s platform.SignalKind, id model.AttemptID) {
	w.expireAttempts(now)
	if e < w.epoch {
		return
	}
	if s == platform.SignalCheckpoint {
		w.end(id, model.AttemptCheckpointed)
		return
	}
	w.end(id, model.AttemptStopped)
}

// end ends an executing attempt. Its report is repeated until it is acknowledged.
func (w *fakeWorker) end(id model.AttemptID, state model.AttemptState) {
	if _, found := w.running[id]; !found {
		return
	}
	delete(w.running, id)
	w.sequence++
	report := platform.AttemptReport{Sequence: w.sequence, Attempt: id, State: state}
	if state == model.AttemptCheckpointed {
		report.Checkpoint = model.CheckpointID(fmt.Sprintf("cp-%s-%d", id.Job, id.Number))
		report.Progress = 0.5
	}
	w.reports = append(w.reports, report)
	w.checker.observeEnd(w.worker, id)
}

// expireAttempts ends every attempt if the lease has lapsed.
func (w *fakeWorker) expireAttempts(now time.Time) {
	if now.Before(w.leaseUntil) {
		return
	}
	for _, id := range w.executing() {
		w.end(id, model.AttemptLost)
	}
}

// executing returns the ids of the executing attempts, in order.
func (w *fakeWorker) executing() []model.AttemptID {
	ids := make([]model.AttemptID, 0, len(w.running))
	for id := range w.running {
		ids = append(ids, id)
	}
	sortIDs(ids)
	return ids
}
