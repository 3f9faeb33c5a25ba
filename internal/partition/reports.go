package partition

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/schedule"
)

// setWorkers applies a newer list of the inventory: it opens sessions for new workers and sets
// removed for the workers that are no longer listed.
func (p *loop) setWorkers(ctx context.Context, workers []model.Worker) {
	now := p.cfg.Clock.Now()
	listed := map[model.WorkerID]bool{}
	for _, w := range workers {
		listed[w.ID] = true
		p.updateWorker(ctx, w, now)
	}
	p.workersKnown = true
	for _, session := range p.sessions.ordered() {
		if listed[session.worker.ID] || session.removed {
			continue
		}
		session.removed = true
	}
	p.trackUnlistedWorkers(ctx, now)
}

// updateWorker opens a session for a worker that is new or has another address, and otherwise
// updates the description of the worker.
func (p *loop) updateWorker(ctx context.Context, w model.Worker, now time.Time) {
	session, ok := p.sessions.get(w.ID)
	if ok && session.worker.Addr == w.Addr {
		session.worker = w
		session.removed = false
		return
	}
	if ok {
		p.sessions.close(w.ID)
	}
	p.sessions.open(ctx, w, now)
}

// trackUnlistedWorkers opens a session for each worker that the inventory does not list although it
// may still execute attempts, so that these attempts are ended once its lease has lapsed.
func (p *loop) trackUnlistedWorkers(ctx context.Context, now time.Time) {
	for _, id := range p.ledger.WorkersWithAttempts() {
		if _, ok := p.sessions.get(id); ok {
			continue
		}
		p.sessions.open(ctx, model.Worker{ID: id}, now)
		session, _ := p.sessions.get(id)
		session.removed = true
		session.renewalsPaused.Store(true)
	}
}

// endLapsedAttempts ends the attempts of workers whose lease has certainly lapsed. The renewals of
// an unresponsive worker are paused first, because each one that is sent could extend its lease.
func (p *loop) endLapsedAttempts(now time.Time) {
	if !p.workersKnown {
		return
	}
	for _, session := range p.sessions.ordered() {
		if !session.unresponsive(now, p.cfg.Timing) {
			continue
		}
		session.renewalsPaused.Store(session.removed || len(p.ledger.Attempts(session.worker.ID)) > 0)
		if session.leaseLapsed(now, p.cfg.Timing) && now.After(session.nextLapseCheck) {
			p.handleLapsedLease(now, session)
		}
	}
}

// handleLapsedLease ends the attempts of a worker whose lease has lapsed. Then it resumes the
// renewals, or closes the session if the worker was removed.
func (p *loop) handleLapsedLease(now time.Time, session *workerSession) {
	session.nextLapseCheck = now.Add(workerCheckInterval)
	if session.removed {
		p.endAttempts(now, session, p.ledger.WorkerRemoved)
		p.sessions.close(session.worker.ID)
		return
	}
	// The ledger refuses the change while a former owner may still renew the worker's lease.
	p.endAttempts(now, session, p.ledger.WorkerLeaseExpired)
	session.renewalsPaused.Store(false)
	session.listRequested.Store(true)
}

// endAttempts ends the attempts of the worker by a ledger call and handles those that ended.
func (p *loop) endAttempts(now time.Time, session *workerSession, end func(time.Time, model.WorkerID) error) {
	before := p.ledger.Attempts(session.worker.ID)
	if len(before) == 0 {
		return
	}
	p.logError("worker lost", end(now, session.worker.ID))
	p.handleEndedAttempts(now, session, before, nil)
}

// handleEndedAttempts removes the loop's state of the attempts in before that the ledger has ended
// since, and notifies the policy. Attempts whose end was not reported count as lost.
func (p *loop) handleEndedAttempts(now time.Time, session *workerSession, before []schedule.AttemptView, reports map[model.AttemptID]platform.AttemptReport) {
	for _, a := range before {
		if _, executing := p.attempt(session.worker.ID, a.ID); executing {
			continue
		}
		r := reports[a.ID]
		if !r.State.Ended() {
			r.State = model.AttemptLost
		}
		p.removeAttempt(session, a.ID)
		p.notifyPolicy(now, session.worker.ID, a, r.State, r.Error)
	}
}

// handleLeaseReply processes the reports in a worker's reply. It returns an error if the worker has
// seen the epoch of a newer owner.
func (p *loop) handleLeaseReply(r leaseReply) error {
	session := r.session
	if r.err != nil {
		if isStale(r.err) {
			return &journal.DeposedError{Partition: p.cfg.Partition}
		}
		// The failed call may have requested the complete list, so the next one requests it.
		session.listRequested.Store(true)
		return nil
	}
	now := p.cfg.Clock.Now()
	session.lastRenewal = r.sentAt
	session.renewalsPaused.Store(false)
	p.followIncarnation(now, session, r.reply.Incarnation)
	if r.reply.Complete {
		p.completeList(now, session, r.reply)
	}
	// An acknowledgement covers all lower sequences, so the reports are processed in order,
	// whatever their order in the reply.
	slices.SortFunc(r.reply.Reports, func(a, b platform.AttemptReport) int {
		return cmp.Compare(a.Sequence, b.Sequence)
	})
	for _, report := range r.reply.Reports {
		p.handleReport(now, session, report)
	}
	p.cfg.Policy.Observe(schedule.WorkerSamples{
		Worker:   session.worker.ID,
		Usage:    r.reply.Usage,
		Services: r.reply.Services,
	})
	if now.After(session.nextListRequest) || len(session.unansweredStarts) > 0 {
		session.nextListRequest = now.Add(workerCheckInterval)
		session.listRequested.Store(true)
	}
	return nil
}

// followIncarnation detects a restart of the worker. After one, report sequences start again and a
// complete list is requested to find the attempts that were lost.
func (p *loop) followIncarnation(now time.Time, session *workerSession, incarnation string) {
	if session.incarnation == incarnation {
		return
	}
	restarted := session.incarnation != ""
	session.incarnation = incarnation
	if !restarted {
		return
	}
	session.lastSequence = 0
	session.acknowledged.Store(0)
	session.listRequested.Store(true)
	p.cfg.Log.Warn().Str("event", "worker.restarted").Str("worker", string(session.worker.ID)).Send()
}

// completeList ends the attempts that the worker's complete list proves not to execute.
func (p *loop) completeList(now time.Time, session *workerSession, reply platform.LeaseReply) {
	before := p.ledger.Attempts(session.worker.ID)
	if !session.synced {
		// Starts of former owners carry a lower epoch. The worker has seen this owner's epoch and
		// therefore refuses them.
		p.logError("list", p.ledger.ReconcileFormerAttempts(now, session.worker.ID, reply.Reports))
		session.synced = true
	}
	// The worker refuses expired starts by its own clock, so its clock decides which attempts can
	// no longer start.
	p.logError("list", p.ledger.ReconcileOwnAttempts(now, reply.Now, session.worker.ID, reply.Reports))
	listed := map[model.AttemptID]platform.AttemptReport{}
	for _, r := range reply.Reports {
		listed[r.Attempt] = r
	}
	p.handleEndedAttempts(now, session, before, listed)
}

// removeAttempt removes the loop's state of an attempt that has ended.
func (p *loop) removeAttempt(session *workerSession, a model.AttemptID) {
	delete(session.unansweredStarts, a)
	delete(session.throttles, a)
	delete(p.signalSentAt, a)
}

// handleReport passes one report to the ledger, unless it reports an end that was processed before.
func (p *loop) handleReport(now time.Time, session *workerSession, r platform.AttemptReport) {
	delete(session.unansweredStarts, r.Attempt)
	if r.State.Ended() {
		p.handleEnded(now, session, r)
	} else {
		p.logError("report", p.ledger.HandleReport(now, session.worker.ID, r))
	}
	p.acknowledge = append(p.acknowledge, workerSequence{session.worker.ID, session.incarnation, r.Sequence})
}

// handleEnded records the end of an attempt. The worker repeats the report until it is
// acknowledged, which it is once the record is durable.
func (p *loop) handleEnded(now time.Time, session *workerSession, r platform.AttemptReport) {
	if r.Sequence <= session.lastSequence {
		return
	}
	session.lastSequence = r.Sequence
	view, running := p.attempt(session.worker.ID, r.Attempt)
	p.logError("report", p.ledger.HandleReport(now, session.worker.ID, r))
	p.removeAttempt(session, r.Attempt)
	if running {
		p.notifyPolicy(now, session.worker.ID, view, r.State, r.Error)
	}
	p.requestPlan()
}

// attempt returns an attempt that may be executing on the worker.
func (p *loop) attempt(w model.WorkerID, id model.AttemptID) (schedule.AttemptView, bool) {
	for _, a := range p.ledger.Attempts(w) {
		if a.ID == id {
			return a, true
		}
	}
	return schedule.AttemptView{}, false
}

// notifyPolicy passes the end of an attempt to the policy.
func (p *loop) notifyPolicy(now time.Time, w model.WorkerID, a schedule.AttemptView, state model.AttemptState, reason string) {
	p.cfg.Policy.Ended(schedule.AttemptEnd{
		ID:      a.ID,
		Spec:    a.Spec,
		Worker:  w,
		State:   state,
		At:      now,
		RunTime: now.Sub(a.Started),
		Error:   reason,
	})
}

// canReach reports whether a call to the worker is likely to be answered. Calls to unresponsive
// workers would occupy the sender's concurrent calls until they time out.
func (p *loop) canReach(w model.WorkerID, now time.Time) bool {
	session, ok := p.sessions.get(w)
	return ok && session.reachable(now, p.cfg.Timing)
}

// resendSignals sends the signal of an eviction or cancellation again while the attempt
// has not ended, because a signal can be lost.
func (p *loop) resendSignals(now time.Time) {
	for _, s := range p.ledger.PendingSignals() {
		if now.Sub(p.signalSentAt[s.Attempt]) < signalResendDelay || !p.canReach(s.Worker, now) {
			continue
		}
		select {
		case p.o.actions <- signalOnly(s):
			p.signalSentAt[s.Attempt] = now
		default:
			return
		}
	}
}
