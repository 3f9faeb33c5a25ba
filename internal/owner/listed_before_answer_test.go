package owner

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// slowAnswers are workers whose reports list a run before the start of it is answered.
type slowAnswers struct{ *rebornWorkers }

func (s slowAnswers) Start(ctx context.Context, req StartRequest) batch.Answer {
	answer := s.rebornWorkers.Start(ctx, req)
	pause.For(ctx, 100*time.Millisecond)
	if ctx.Err() != nil {
		return batch.AnswerNone
	}
	return answer
}

func (s slowAnswers) RenewLease(ctx context.Context, req RenewRequest) (batch.Report, batch.Answer) {
	req.MaxWait = min(req.MaxWait, 20*time.Millisecond)
	return s.rebornWorkers.RenewLease(ctx, req)
}

// Guards against tasks that wait for nothing after a take-over (LOST), and against a record that is written again and again: a report has
// listed the run of the only copy of a start, which is answered afterwards or not at all.
func TestTheRecordDoesNotTellOfAStartThatAReportHasAnswered(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.workers.taskDuration = time.Hour
		s := slowAnswers{newSilentWorkers(h)}
		s.startOwner(h, "a", s)
		h.sleep(3 * time.Second)
		h.submit("j", longRunning(4))
		h.sleep(3 * time.Second)
		h.is.Equal(len(h.runningOn([]batch.WorkerID{"w0"})), 4)
		items, _, err := h.store.List(h.ctx, workersKey)
		h.is.NoErr(err)
		var leases map[batch.WorkerID]recordedLease
		h.is.NoErr(cbor.Unmarshal(items[0].Value, &leases))
		h.is.Equal(leases["w0"].LateRuns, noLateRuns)
	}, "w0")
}
