package partition

import (
	"context"
	"errors"
	"time"

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

// batchAck is the outcome of one batch, or without a batch the end of the ownership. A batch can be durable although err is set, if
// the snapshot after it could not be written.
type batchAck struct {
	batch   *batch
	durable bool
	err     error
}

// confirmPeriod is how often an owner that appends nothing asks the journal whether it is
// still the owner.
const confirmPeriod = 5 * time.Second

// writeJournal appends one batch after the other and reports each outcome to the loop. In
// between it confirms the ownership, so that an idle deposed owner learns of it.
func (o *Owner) writeJournal(ctx context.Context) {
	ticker := time.NewTicker(confirmPeriod)
	defer ticker.Stop()
	for {
		var ack batchAck
		select {
		case <-ctx.Done():
			return
		case b := <-o.batches:
			ack = o.append(ctx, b)
		case <-ticker.C:
			if ack.err = o.confirmOwnership(ctx); ack.err == nil {
				continue
			}
		}
		select {
		case o.acks <- ack:
		case <-ctx.Done():
			return
		}
	}
}

// confirmOwnership returns an error only if the ownership has ended. A store that does not
// answer proves nothing.
func (o *Owner) confirmOwnership(ctx context.Context) error {
	asked := o.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, confirmPeriod)
	defer cancel()
	err := o.journal.Confirm(ctx)
	if isDeposed(err) {
		return err
	}
	if err == nil {
		o.confirmed.Store(asked.UnixNano())
	}
	return nil
}

// isDeposed reports whether the error says that another owner took the partition.
func isDeposed(err error) bool {
	var deposed *journal.DeposedError
	return errors.As(err, &deposed)
}

// mayRenew reports whether the ownership was confirmed recently enough to renew leases. A
// new owner relies on the former one to stop.
func (o *Owner) mayRenew(now time.Time) bool {
	return now.Sub(time.Unix(0, o.confirmed.Load())) < ledger.MaxUnconfirmedOwnership
}

// append makes the batch durable and then writes its snapshot. It retries until the
// outcome is known or ctx ends.
func (o *Owner) append(ctx context.Context, b *batch) batchAck {
	asked := o.cfg.Clock.Now()
	if err := o.journal.Append(ctx, b.entry); err != nil {
		return batchAck{batch: b, err: err}
	}
	o.confirmed.Store(asked.UnixNano())
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
	return verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable,
		"partition %d stopped before the outcome of its last write was known: %v", o.cfg.Partition, err)
}
