package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	// idleWait is how long an idle worker may wait for an attempt to end before it responds to a
	// renewal. busyWait applies to a worker with tasks that end by themselves, lastingWait to one with other tasks, whose lease
	// must outlast several lost answers, and colocatedWait to one where best-effort tasks share the worker with tasks that have
	// a latency target.
	idleWait      = 2 * time.Second
	lastingWait   = 1500 * time.Millisecond
	busyWait      = time.Second
	colocatedWait = 300 * time.Millisecond
	// renewTimeout is how much longer than that wait a worker may be without an answer until it counts as unreachable.
	renewTimeout = 750 * time.Millisecond
	// lossyTimeout replaces renewTimeout for a worker that is known to lose answers.
	lossyTimeout = 1500 * time.Millisecond
	// lossyMemory is how long a worker is known for that after the last lost answer.
	lossyMemory = 5 * time.Second
	// lossyPause is the pause between two reports of a worker that is known to lose answers, and lossyIdlePause that of one
	// without tasks that end by themselves. It does not wait for ends: such a call is short, so that a lost answer is
	// noticed soon, and reports several ends at once.
	lossyPause     = 400 * time.Millisecond
	lossyIdlePause = time.Second
	// keptEndsPause is the pause between two reports of a worker that keeps ends and runs tasks that end by themselves; it is lossyPause
	// for others that keep ends.
	keptEndsPause = 150 * time.Millisecond
	// renewAnswerTimeout is how much longer than its wait a renewal may take before it is repeated, and lossyAnswerTimeout
	// replaces it for a worker that is known to lose answers. renewRepeatInterval is the time between two repetitions, and
	// repeatedRenewalTimeout how long each may take.
	renewAnswerTimeout     = 350 * time.Millisecond
	lossyAnswerTimeout     = 200 * time.Millisecond
	renewRepeatInterval    = 100 * time.Millisecond
	repeatedRenewalTimeout = 300 * time.Millisecond
	// maxSilentRepeats is the largest number of repetitions of a call after silentFailures failed ones in a row, unless the
	// worker is known to lose answers or may still keep its tasks. It is asked again soon.
	maxSilentRepeats = 1
	silentFailures   = 2
	// renewRetryDelay is the pause after a failed renewal.
	renewRetryDelay = 250 * time.Millisecond
	// minAckWait is how long a renewer waits for the changes from a report to become durable before it makes the next call
	// without acknowledging the ended attempts of the report. A worker answers such a call at once, with the same ends, so
	// the wait is doubled up to maxAckWait each time.
	minAckWait = 400 * time.Millisecond
	maxAckWait = 1600 * time.Millisecond
)

// renewalParams holds the parameters of a renewer's next call. The leader's loop sets them after
// each report.
type renewalParams struct {
	ackSeq  int64 // ended attempts up to this sequence number are acknowledged
	maxWait time.Duration
	// renew allows the renewal of the lease while the owner may act. It is set only when the stored
	// workers record holds no end of the lease.
	renew bool
	// runsTasks is set if the worker ran tasks when its report was handled, at reportedAt.
	runsTasks  bool
	reportedAt time.Time
	// need is how soon the next report is needed, see reportNeed.
	need batch.Need
	// showsLatency is set if the report is asked for also to see how tasks with a latency target do beside best-effort ones.
	showsLatency bool
	// keepsEnds is set if the worker must keep ends that it has listed. It answers at once while it has any.
	keepsEnds bool
	// awaitsAck is set if the report has ends that cannot be acknowledged yet. Further parameters follow.
	awaitsAck bool
	// generation is the renewer's generation at the time of the report that the parameters follow.
	generation int
}

// reportWait returns how long the worker may wait for an attempt to end before it responds to a call that is sent now. If its
// report shows latencies, the time for which the call has waited to be sent counts.
func (p renewalParams) reportWait(now time.Time) time.Duration {
	if !p.showsLatency || p.maxWait <= colocatedWait {
		return p.maxWait
	}
	return max(colocatedWait, p.maxWait-now.Sub(p.reportedAt))
}

// renewer renews the lease of one worker and delivers its reports to the loop.
type renewer struct {
	leader *leader
	info   batch.WorkerInfo
	cancel context.CancelFunc
	// began is when the renewer was started.
	began time.Time
	// failures is the number of calls in a row that have failed.
	failures int
	// requests bounds the requests to the worker.
	requests *workerRequests
	params   renewalParams
	// newParams holds the newest parameters that the renewer has not applied yet.
	newParams chan renewalParams
	// newStarts are the starts that were sent to the worker and that the renewer has not noted yet, and started signals them.
	// lastStart is the newest one that it has noted.
	newStarts atomic.Pointer[sentStarts]
	started   chan struct{}
	lastStart time.Time
	// waitsFor is how soon the report is needed for which the renewer waits to be admitted; nil if it does not.
	waitsFor atomic.Pointer[batch.Need]
	// generation is increased whenever a call fails or the worker has been restarted. Parameters of
	// earlier generations are ignored.
	generation  int
	incarnation int64
	clock       workerClock
	leaseEnd    time.Time // the lease has ended by then on any worker's clock
	// renewalDue is when the lease has lasted for renewalInterval, so that its renewal comes before all other requests.
	renewalDue time.Time
	// runsTasks is set if the worker ran tasks by the last parameters, if a start was sent since, or if it has not been heard of.
	runsTasks bool
	// need is how soon the next report is needed, see reportNeed.
	need batch.Need
	// ackWait is how long the next wait for an acknowledgement lasts.
	ackWait time.Duration
	// lossyUntil is until when the worker is known to lose answers.
	lossyUntil time.Time
	// leaseIsOld is set if the last call was to renew the lease and has not, though it was answered, or has renewed it to an
	// end from before a long wait.
	leaseIsOld bool
}

// renewal is the outcome of a renewal.
type renewal struct {
	report batch.Report
	answer batch.Answer
	// renewed is set if the request has renewed the lease, and repeated if it was a repetition.
	renewed, repeated bool
	// broken is set if the connection broke before an answer.
	broken  bool
	request RenewRequest
}

// reconcileRenewers starts a renewer for each worker that has an address, and stops the renewers of
// workers that are gone or have another address.
func (l *leader) reconcileRenewers() {
	for info := range l.state.Workers() {
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
		if !l.state.MustBeRenewed(id) {
			rn.cancel()
			delete(l.renewers, id)
			l.requests.forget(id)
		}
	}
}

func (l *leader) startRenewer(info batch.WorkerInfo) {
	ctx, cancel := context.WithCancel(l.ctx)
	now := time.Now()
	rn := &renewer{
		leader: l, info: info, cancel: cancel, began: now, requests: l.requests.of(info.ID), newParams: make(chan renewalParams, 1),
		started: make(chan struct{}, 1), renewalDue: now.Add(l.renewalInterval()), runsTasks: true,
	}
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
		outcome := rn.renewLimited(ctx, first)
		switch outcome.answer {
		case batch.AnswerOK:
			rn.followIncarnation(outcome)
			if outcome.report.Clock == 0 && rn.clock.at.IsZero() {
				rn.failed(ctx) // no lease and no start can be given an end on a clock that is not known
				continue
			}
			rn.failures = 0
			rn.succeeded(ctx, outcome)
			if rn.isOfFormerIncarnation(outcome.report) {
				pause.For(ctx, renewRetryDelay) // nothing is renewed before the newest one reports
			}
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
func (rn *renewer) renewLimited(ctx context.Context, first bool) renewal {
	if first {
		select {
		case rn.leader.firstRenewals <- struct{}{}:
			release := sync.OnceFunc(func() { <-rn.leader.firstRenewals })
			defer release()
			timer := time.AfterFunc(firstRenewalPatience, release)
			defer timer.Stop()
		case <-ctx.Done():
			return renewal{answer: batch.AnswerNone}
		}
	}
	return rn.renewLease(ctx)
}

// renewLease asks the worker to renew its lease and for its report, again and again if the answer may be lost. The first
// call, and the first one after a failure, renew no lease and acknowledge nothing, since the worker may have been
// restarted.
func (rn *renewer) renewLease(ctx context.Context) renewal {
	lossy := time.Now().Before(rn.lossyUntil)
	if !rn.leaseIsOld {
		pause.For(ctx, rn.pauseBefore(lossy))
	}
	if !rn.admit(ctx) {
		return renewal{answer: batch.AnswerNone}
	}
	rn.applyNewParams()
	now := time.Now()
	request, answerTimeout, patience := rn.nextRequest(now), renewAnswerTimeout, renewTimeout
	repeats := 0
	if lossy {
		request.MaxWait, answerTimeout, patience = 0, lossyAnswerTimeout, lossyTimeout
	}
	ctx, cancel := withDeadline(ctx, rn.contactDeadline(now.Add(request.MaxWait+patience), lossy))
	defer cancel()
	var broken atomic.Bool
	calls := repetition[renewal]{
		try: func(ctx context.Context, n int) renewal {
			if n == 1 {
				return rn.request(ctx, request, request.MaxWait+answerTimeout)
			}
			r := rn.request(ctx, request.repetition(broken.Load()), repeatedRenewalTimeout)
			r.repeated = true
			return r
		},
		interval: renewRepeatInterval,
		mayRepeat: func() bool {
			mayWait := rn.failures >= silentFailures && !lossy && !rn.mayKeepTasks(time.Now())
			if mayWait && repeats == maxSilentRepeats || !rn.requests.retries.take(time.Now()) {
				return false
			}
			repeats++
			return true
		},
		admit: func(ctx context.Context, n int) bool {
			now := time.Now()
			return n == 1 || rn.leader.limiter.Acquire(ctx, rn.repeatedRequest(now))
		},
		unsent: renewal{answer: batch.AnswerNone},
	}
	outcome := renewal{answer: batch.AnswerNone}
	calls.run(ctx, func(r renewal, _ int) bool {
		outcome = r
		if r.broken {
			broken.Store(true)
		}
		return r.answer != batch.AnswerNone
	})
	rn.noteLoss(request, outcome)
	return outcome
}

// pauseBefore returns the pause before the next call. A worker that keeps ends answers at once.
func (rn *renewer) pauseBefore(lossy bool) time.Duration {
	switch {
	case lossy:
		return rn.lossyPause()
	case rn.params.keepsEnds && rn.params.maxWait > busyWait:
		return lossyPause
	case rn.params.keepsEnds:
		return keptEndsPause
	default:
		return 0
	}
}

// lossyPause returns the pause before the next call to a worker that is known to lose answers. One that has no lease yet
// is asked again soon.
func (rn *renewer) lossyPause() time.Duration {
	switch {
	case rn.params.maxWait == 0:
		return renewRepeatInterval
	case rn.params.maxWait > busyWait:
		return lossyIdlePause
	default:
		return lossyPause
	}
}

// noteLoss notes what the outcome of a renewal says of the worker: if only a repetition was answered, the worker is there,
// and answers are lost or late.
func (rn *renewer) noteLoss(request RenewRequest, outcome renewal) {
	rn.leaseIsOld = request.LeaseEnd != 0 && (!outcome.renewed || outcome.repeated && request.MaxWait > 0)
	if outcome.answer == batch.AnswerOK && outcome.repeated {
		rn.lossyUntil = time.Now().Add(lossyMemory)
	}
}

// succeeded passes a report to the loop, and waits for the parameters of the next call.
func (rn *renewer) succeeded(ctx context.Context, outcome renewal) {
	now, r := time.Now(), outcome.report
	if outcome.renewed {
		rn.renewalDue = r.RequestedAt.Add(rn.leader.renewalInterval())
	}
	if r.Clock > 0 {
		rn.clock = workerClock{clock: r.Clock, at: now}
	}
	// The worker has sent its report in response, so it has confirmed the renewal, if there was one.
	leaseEnd, confirmed, clock, generation := rn.leaseEnd, outcome.renewed, rn.clock, rn.generation
	rn.leader.post(func(l *leader, now time.Time) {
		if l.renewers[rn.info.ID] == rn {
			l.clocks[rn.info.ID] = clock
			l.noteRenewal(rn.info.ID, r, leaseEnd, confirmed)
			l.handleReport(rn, r, generation, now)
		}
	})
	rn.awaitParams(ctx)
}

// awaitParams waits for the parameters of the next call, and for a while for those that acknowledge the ends of the last
// report.
func (rn *renewer) awaitParams(ctx context.Context) {
	rn.ackWait = max(rn.ackWait, minAckWait)
	timer := time.NewTimer(rn.ackWait)
	defer timer.Stop()
	for {
		select {
		case i := <-rn.newParams:
			rn.applyParams(i)
			if !i.awaitsAck {
				rn.ackWait = minAckWait
				return
			}
		case <-timer.C:
			rn.ackWait = min(2*rn.ackWait, maxAckWait)
			return
		case <-ctx.Done():
			return
		}
	}
}

// applyNewParams stores the newest parameters, if there are any.
func (rn *renewer) applyNewParams() {
	select {
	case i := <-rn.newParams:
		rn.applyParams(i)
	default:
	}
}

// applyParams stores the parameters for the next call, unless they belong to an earlier generation.
func (rn *renewer) applyParams(i renewalParams) {
	if i.generation == rn.generation {
		startedSince := rn.lastStart.After(i.reportedAt)
		rn.params, rn.runsTasks = i, i.runsTasks || startedSince
		if startedSince {
			rn.need = batch.FirstNeed(rn.need, i.need)
		} else {
			rn.need = i.need
		}
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
	rn.failures++
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
