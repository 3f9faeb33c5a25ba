package partition

import (
	"context"
	"errors"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// batch is one group commit: the records decided since the last one, the actions that may
// go out once they are durable, and the commands whose replies wait for that.
type batch struct {
	records  []ledger.Record
	entry    []byte
	snapshot []byte
	actions  ledger.Actions
	commands []*command
	// acknowledge holds the report sequences that the batch makes durable.
	acknowledge []workerSequence
}

// batchAck is the outcome of one batch. A batch can be durable although err is set, if
// the snapshot after it could not be written.
type batchAck struct {
	batch   *batch
	durable bool
	err     error
}

// writeJournal appends one batch after the other and reports each outcome to the loop.
func (o *Owner) writeJournal(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-o.batches:
			ack := o.append(ctx, b)
			select {
			case o.acks <- ack:
			case <-ctx.Done():
				return
			}
		}
	}
}

// append makes the batch durable and then writes its snapshot. It retries until the
// outcome is known or ctx ends.
func (o *Owner) append(ctx context.Context, b *batch) batchAck {
	if err := o.journal.Append(ctx, b.entry); err != nil {
		return batchAck{batch: b, err: err}
	}
	if b.snapshot == nil {
		return batchAck{batch: b, durable: true}
	}
	return batchAck{batch: b, durable: true, err: o.journal.WriteSnapshot(ctx, b.snapshot)}
}

// refusal turns the end of an ownership into the reply of commands that are not durable.
func (o *Owner) refusal(err error) *verdict.Error {
	var deposed *journal.DeposedError
	if errors.As(err, &deposed) && deposed.NotWritten {
		return errNotOwner(o.cfg.Partition)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonStore,
		"partition %d stopped before the outcome of its last write was known: %v", o.cfg.Partition, err)
}
