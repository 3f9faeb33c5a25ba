package partition

import (
	"context"
	"sync"

	"github.com/geraniumwick/geraniumwick/internal/config"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// sendConcurrency bounds the calls to workers that one owner makes at once.
const sendConcurrency = 16

// refusedStart is an attempt that certainly never executes, and why.
type refusedStart struct {
	attempt model.AttemptID
	reason  string
}

// startResults holds the outcomes of starts on one worker. unknown holds the attempts whose start
// may have been sent but was not answered.
type startResults struct {
	worker   model.WorkerID
	refused  []refusedStart
	accepted []model.AttemptID
	unknown  []model.AttemptID
}

// signalOnly returns actions that consist of one signal.
func signalOnly(s ledger.Signal) ledger.Actions {
	return ledger.Actions{Signals: []ledger.Signal{s}}
}

// sendActions is the goroutine that sends durable actions to the workers.
func (o *Owner) sendActions(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	semaphore := make(chan struct{}, sendConcurrency)
	send := func(f func()) {
		select {
		case semaphore <- struct{}{}:
		case <-ctx.Done():
			return
		}
		wg.Go(func() {
			defer func() { <-semaphore }()
			f()
		})
	}
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-o.actions:
			for _, s := range a.Signals {
				send(func() { o.sendSignal(ctx, s) })
			}
			for _, group := range o.allowedStarts(ctx, a.Starts) {
				send(func() { o.sendStarts(ctx, group) })
			}
		}
	}
}

// allowedStarts checks the starts against the newest configuration, which is read after their
// records became durable, and groups the allowed ones by worker. The others are reported as
// refused.
func (o *Owner) allowedStarts(ctx context.Context, starts []ledger.Start) [][]ledger.Start {
	if len(starts) == 0 {
		return nil
	}
	doc, err := o.confirmConfiguration(ctx)
	if err != nil {
		o.refuseAll(ctx, starts, "the configuration could not be confirmed")
		return nil
	}
	byWorker := map[model.WorkerID][]ledger.Start{}
	var order []model.WorkerID
	for _, s := range starts {
		if doc.DataCentreOut(s.DataCentre) {
			o.refuseAll(ctx, []ledger.Start{s}, "data centre "+string(s.DataCentre)+" is out of service")
			continue
		}
		if byWorker[s.Worker] == nil {
			order = append(order, s.Worker)
		}
		byWorker[s.Worker] = append(byWorker[s.Worker], s)
	}
	groups := make([][]ledger.Start, 0, len(order))
	for _, w := range order {
		groups = append(groups, byWorker[w])
	}
	return groups
}

// confirmConfiguration reads the newest configuration within StartWindow.
func (o *Owner) confirmConfiguration(ctx context.Context) (*config.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.Timing.StartWindow)
	defer cancel()
	return o.cfg.ConfigSource.Confirm(ctx)
}

// refuseAll reports starts that were not sent as refused.
func (o *Owner) refuseAll(ctx context.Context, starts []ledger.Start, reason string) {
	for _, s := range starts {
		r := startResults{worker: s.Worker, refused: []refusedStart{{s.Attempt.Attempt, reason}}}
		o.report(ctx, r)
	}
}

// report passes results to the loop.
func (o *Owner) report(ctx context.Context, r startResults) {
	select {
	case o.results <- r:
	case <-ctx.Done():
	}
}

// sendStarts sends the starts of one worker in one call.
func (o *Owner) sendStarts(ctx context.Context, starts []ledger.Start) {
	addr, ok := o.addrs.get(starts[0].Worker)
	if !ok {
		o.refuseAll(ctx, starts, "the worker left before the start was sent")
		return
	}
	request := platform.StartRequest{Partition: o.cfg.Partition, Epoch: o.epoch}
	for _, s := range starts {
		request.Attempts = append(request.Attempts, s.Attempt)
	}
	callCtx, cancel := context.WithTimeout(ctx, o.cfg.Timing.WorkerCallTimeout)
	defer cancel()
	reply, err := o.cfg.Workers.Start(callCtx, addr, request)
	o.report(ctx, classifyStarts(starts, reply, err))
}

// classifyStarts divides the starts of a call into refused, accepted and unknown. A start counts as
// refused only if it is proved that it never executes.
func classifyStarts(starts []ledger.Start, reply platform.StartReply, err error) startResults {
	r := startResults{worker: starts[0].Worker}
	answers := map[model.AttemptID]platform.StartResult{}
	for _, answer := range reply.Results {
		answers[answer.Attempt] = answer
	}
	for _, s := range starts {
		id := s.Attempt.Attempt
		answer, answered := answers[id]
		switch {
		case err != nil && (isStale(err) || verdict.Of(err) == verdict.NotRun):
			r.refused = append(r.refused, refusedStart{id, err.Error()})
		case err != nil || !answered:
			r.unknown = append(r.unknown, id)
		case !answer.Accepted:
			r.refused = append(r.refused, refusedStart{id, answer.Error})
		default:
			r.accepted = append(r.accepted, id)
		}
	}
	return r
}

// sendSignal sends one signal. A failure needs no record, because signals are sent again
// until the attempt ends.
func (o *Owner) sendSignal(ctx context.Context, s ledger.Signal) {
	addr, ok := o.addrs.get(s.Worker)
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, o.cfg.Timing.WorkerCallTimeout)
	defer cancel()
	err := o.cfg.Workers.Signal(callCtx, addr, platform.SignalRequest{
		Partition: o.cfg.Partition,
		Epoch:     o.epoch,
		Attempt:   s.Attempt,
		Kind:      s.Kind,
		Share:     s.Share,
	})
	if err != nil {
		o.cfg.Log.Debug().Str("event", "signal.failed").Str("worker", string(s.Worker)).Err(err).Send()
	}
}
