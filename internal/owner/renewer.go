package owner

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	// idleWait is how long an idle worker may wait for an attempt to end before it responds to a
	// renewal. busyWait applies to a worker with tasks that end by themselves, and colocatedWait to
	// one where best-effort tasks share the worker with tasks that have a latency target.
	idleWait      = 2 * time.Second
	busyWait      = time.Second
	colocatedWait = 300 * time.Millisecond
	// renewTimeout is added to that wait to bound the whole call.
	renewTimeout = 500 * time.Millisecond
	// renewRetryDelay is the pause after a failed renewal.
	renewRetryDelay = 250 * time.Millisecond
	// ackTimeout is how long a renewer waits for the changes from a report to become durable before
	// it makes the next call without acknowledging the ended attempts of the report.
	ackTimeout = 400 * time.Millisecond
)

// renewalParams holds the parameters of a renewer's next call. The leader's loop sets them after
// each report.
type renewalParams struct {
	ackSeq  int64 // ended attempts up to this sequence number are acknowledged
	maxWait time.Duration
	// renew allows the renewal of the lease while the owner may act. It is set only when the stored
	// workers record holds no end of the lease.
	renew bool
	// awaitsAck is set if the report has ends that cannot be acknowledged yet. Further parameters follow.
	awaitsAck bool
	// generation is the renewer's generation at the time of the report that the parameters follow.
	generation int
}

// renewer renews the lease of one worker and delivers its reports to the loop.
type renewer struct {
	leader *leader
	info   batch.WorkerInfo
	cancel context.CancelFunc
	params renewalParams
	// newParams holds the newest parameters that the renewer has not applied yet.
	newParams chan renewalParams
	// generation is increased whenever a call fails or the worker has been restarted. Parameters of
	// earlier generations are ignored.
	generation  int
	incarnation int64
	clock       workerClock
	leaseEnd    time.Time // the lease has ended by then on any worker's clock
	// renewalSent is set if the last call asked the worker to renew the lease.
	renewalSent bool
}

// reconcileRenewers starts a renewer for each worker that has an address, and stops the renewers of
// workers that are gone or have another address.
func (l *leader) reconcileRenewers() {
	wanted := map[batch.WorkerID]bool{}
	for _, info := range l.state.Workers() {
		wanted[info.ID] = true
		rn := l.renewers[info.ID]
		if rn != nil && rn.info.Address == info.Address {
			continue
		}
		if info.Address == "" {
			continue
		}
		if rn != nil {
			rn.cancel()
		}
		l.startRenewer(info)
	}
	for id, rn := range l.renewers {
		if !wanted[id] {
			rn.cancel()
			delete(l.renewers, id)
		}
	}
}

func (l *leader) startRenewer(info batch.WorkerInfo) {
	ctx, cancel := context.WithCancel(l.ctx)
	rn := &renewer{leader: l, info: info, cancel: cancel, newParams: make(chan renewalParams, 1)}
	l.renewers[info.ID] = rn
	go rn.run(ctx)
}

// maxFirstRenewals limits the concurrent first calls to workers. After a take-over of thousands of
// workers, calling all of them at once would use up the processor for seconds.
const maxFirstRenewals = 64

// firstRenewalPatience is how long such a call counts among them. A worker that has not answered by then may be lost,
// and takes up no processor time.
const firstRenewalPatience = 100 * time.Millisecond

// run calls the worker until ctx ends or the worker rejects the epoch.
func (rn *renewer) run(ctx context.Context) {
	for first := true; ctx.Err() == nil; first = false {
		report, answer := rn.renewLimited(ctx, first)
		switch answer {
		case batch.AnswerOK:
			if report.Clock == 0 && rn.clock.at.IsZero() {
				rn.failed(ctx) // no lease and no start can be given an end on a clock that is not known
				continue
			}
			rn.succeeded(ctx, report)
		case batch.AnswerFenced:
			rn.leader.log.Warn().Str("event", "leader.fenced").Str("worker", string(rn.info.ID)).Send()
			rn.leader.stepDown("a worker has seen a higher epoch")
			return
		default:
			rn.failed(ctx)
		}
	}
}

// renewLimited makes a call. The first call of a renewer waits for the firstRenewals semaphore, and holds it for
// firstRenewalPatience at most, so that many lost workers do not delay the renewals of others.
func (rn *renewer) renewLimited(ctx context.Context, first bool) (batch.Report, batch.Answer) {
	if first {
		select {
		case rn.leader.firstRenewals <- struct{}{}:
			release := sync.OnceFunc(func() { <-rn.leader.firstRenewals })
			defer release()
			timer := time.AfterFunc(firstRenewalPatience, release)
			defer timer.Stop()
		case <-ctx.Done():
			return batch.Report{}, batch.AnswerNone
		}
	}
	return rn.renewLease(ctx)
}

// renewLease makes one call. The first call, and the first one after a failure, acknowledge nothing
// and renew no lease, since the worker may have been restarted.
func (rn *renewer) renewLease(ctx context.Context) (batch.Report, batch.Answer) {
	select {
	case i := <-rn.newParams:
		rn.applyParams(i)
	default:
	}
	request := RenewRequest{Worker: rn.info.ID, Address: rn.info.Address, Epoch: rn.leader.epoch, AckSeq: rn.params.ackSeq}
	now := time.Now()
	// A renewal may take effect even if its response is lost. An unreachable worker is sent none,
	// since the recorded end of its lease would become wrong.
	request.MaxWait = rn.params.maxWait
	if rn.params.renew {
		request.LeaseEnd = rn.nextLeaseEnd(now)
	}
	ctx, cancel := context.WithTimeout(ctx, request.MaxWait+renewTimeout)
	defer cancel()
	report, answer := rn.leader.owner.workers.RenewLease(ctx, request)
	report.RequestedAt = now
	rn.renewalSent = request.LeaseEnd != 0
	kind := callLook
	if rn.renewalSent {
		kind = callRenewal
	}
	rn.leader.calls.add(kind, answer)
	if rn.renewalSent {
		rn.leaseEnd = now.Add(rn.leader.workerLeaseExpiry())
	}
	return report, answer
}

// nextLeaseEnd returns the end of the lease to request, on the worker's clock in milliseconds; 0 while the
// owner may not act.
func (rn *renewer) nextLeaseEnd(now time.Time) int64 {
	if !rn.leader.mayAct() {
		return 0
	}
	return rn.clock.now(now) + rn.leader.owner.opts.MaxWorkerLease.Milliseconds()
}

// succeeded passes a report to the loop, and waits up to ackTimeout for the parameters of the next
// call.
func (rn *renewer) succeeded(ctx context.Context, r batch.Report) {
	now := time.Now()
	if r.Incarnation != rn.incarnation {
		rn.params = renewalParams{}
		rn.generation++
	}
	rn.incarnation = r.Incarnation
	if r.Clock > 0 {
		rn.clock = workerClock{clock: r.Clock, at: now}
	}
	// The worker has sent its report in response, so it has confirmed the renewal, if there was one.
	leaseEnd, confirmed, clock, generation := rn.leaseEnd, rn.renewalSent, rn.clock, rn.generation
	rn.leader.post(func(l *leader, now time.Time) {
		if l.renewers[rn.info.ID] == rn {
			l.clocks[rn.info.ID] = clock
			l.state.LeaseRenewed(rn.info.ID, leaseEnd, confirmed)
			l.handleReport(rn, r, generation, now)
		}
	})
	rn.awaitParams(ctx)
}

// awaitParams waits for the parameters of the next call, and up to ackTimeout for those that acknowledge the ends of the
// last report.
func (rn *renewer) awaitParams(ctx context.Context) {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	for awaits := true; awaits; {
		select {
		case i := <-rn.newParams:
			rn.applyParams(i)
			awaits = i.awaitsAck
		case <-timer.C:
			awaits = false
		case <-ctx.Done():
			awaits = false
		}
	}
}

// applyParams stores the parameters for the next call, unless they belong to an earlier generation.
func (rn *renewer) applyParams(i renewalParams) {
	if i.generation == rn.generation {
		rn.params = i
	}
}

// setParams sets the parameters of the next call. It replaces those that the renewer has not applied
// yet.
func (rn *renewer) setParams(i renewalParams) {
	select {
	case <-rn.newParams:
	default:
	}
	rn.newParams <- i
}

// failed tells the loop that the worker is unreachable, and when its lease ends.
func (rn *renewer) failed(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	rn.params = renewalParams{}
	rn.generation++
	leaseEnd := rn.leaseEnd
	rn.leader.post(func(l *leader, _ time.Time) {
		if l.renewers[rn.info.ID] == rn {
			l.state.LeaseRenewed(rn.info.ID, leaseEnd, false)
			l.state.MarkUnreachable(rn.info.ID)
			l.recordLeaseEnd(rn.info.ID)
		}
	})
	pause.For(ctx, renewRetryDelay)
}

// handleReport applies a worker's report. The ended attempts in it are acknowledged once the
// resulting changes are durable.
func (l *leader) handleReport(rn *renewer, r batch.Report, generation int, now time.Time) {
	id := rn.info.ID
	ackSeq := l.state.ApplyReport(id, r, now)
	if l.workersRecord.contains(id) || l.state.InUse(id) {
		l.workersRecord.setRenewed(id)
	}
	i := renewalParams{ackSeq: ackSeq, maxWait: l.maxReportWait(id), renew: !l.state.MustLapse(id), generation: generation}
	l.setParamsWhenDurable(i, rn)
}

// maxReportWait returns how long a worker may wait for an attempt to end before it sends its report.
func (l *leader) maxReportWait(id batch.WorkerID) time.Duration {
	switch {
	case l.state.MustLapse(id):
		return busyWait
	case !l.state.HasLease(id):
		return 0 // tasks are started on it only after it has confirmed its lease
	case l.state.HasColocatedTasks(id):
		return colocatedWait
	case l.state.HasFiniteTasks(id):
		return busyWait
	default:
		return idleWait
	}
}

// recordLeaseEnd records when the lease of an unreachable worker ends.
func (l *leader) recordLeaseEnd(id batch.WorkerID) {
	if end := l.state.LeaseEnd(id); l.workersRecord.contains(id) && !end.IsZero() {
		l.workersRecord.setLeaseEnd(id, end, l.state.MayStartLate(id))
	}
}
