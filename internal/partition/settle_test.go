package partition

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/geraniumwick/geraniumwick/internal/bubbletest"
	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// An owner learns from a worker that it was deposed while a write is in flight. Its callers are told the
// outcome of that write, not merely that it may take effect.
func TestCommandsInFlightGetTheOutcomeOfTheirWrite(t *testing.T) {
	for name, c := range map[string]struct {
		ack  *batchAck
		want verdict.Verdict
	}{
		"written":          {&batchAck{durable: true}, verdict.Ran},
		"surely not":       {&batchAck{err: &journal.DeposedError{NotWritten: true}}, verdict.NotRun},
		"unknown":          {&batchAck{err: errors.New("no answer")}, verdict.MayHaveRun},
		"no outcome comes": {nil, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				is := is.New(t)
				o := &Owner{cfg: Config{Timing: DefaultTiming()}, acks: make(chan batchAck, batchQueueSize)}
				waiting := &command{done: make(chan error, 1)}
				p := &loop{o: o, cfg: &o.cfg, inFlight: &batch{commands: []*command{waiting}}}
				if c.ack != nil {
					c.ack.batch = p.inFlight
					o.acks <- *c.ack
				}
				p.settleInFlight(context.Background())
				p.failCommands(&journal.DeposedError{})
				is.Equal(verdict.Of(<-waiting.done), c.want)
			})
		})
	}
}
