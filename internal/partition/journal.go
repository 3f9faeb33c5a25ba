package partition

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/journal"
	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// batch is one group commit: the records since the last one, the actions that may be sent once
// the records are durable, and the commands whose replies wait for that.
type batch struct {
	records  []ledger.Record
	entry    []byte
	snapshot []byte
	actions  ledger.Actions
	commands []*command
	// acknowledge holds the report sequences that may be acknowledged once the batch is durable.
	acknowledge []workerSequence
}

// batchAck is the outcome of one batch. Without a batch it reports the end of the ownership. A
// batch can be durable although err is set, if the snapshot after it could not be written.
type batchAck struct {
	batch   *batch
	durable bool
	err     error
}

// confirmPeriod is how often an owner checks with the journal whether it still owns the
// partition.
const confirmPeriod = 5 * time.Second

// writeJournal appends one batch after the other and reports each outcome to the loop. Between
// batches it confirms the ownership, so that an owner without appends notices when it is deposed.
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

// confirmOwnership returns an error only if the ownership has ended. If the store does not answer
// it returns nil, because that does not prove that another owner took the partition.
func (o *Owner) confirmOwnership(ctx context.Context) error {
	requestedAt := o.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, confirmPeriod)
	defer cancel()
	err := o.journal.Confirm(ctx)
	if isDeposed(err) {
		return err
	}
	if err == nil {
		o.confirmed.Store(requestedAt.UnixNano())
	}
	return nil
}

// isDeposed reports whether the error says that another owner took the partition.
func isDeposed(err error) bool {
	var deposed *journal.DeposedError
	return errors.As(err, &deposed)
}

// mayRenew reports whether the ownership was confirmed recently enough to renew leases. A new
// owner that cannot reach a worker relies on former owners to stop their renewals in time.
func (o *Owner) mayRenew(now time.Time) bool {
	return now.Sub(time.Unix(0, o.confirmed.Load())) < ledger.MaxUnconfirmedOwnership
}

// append makes the batch durable and then writes its snapshot. It retries until the
// outcome is known or ctx ends.
func (o *Owner) append(ctx context.Context, b *batch) batchAck {
	requestedAt := o.cfg.Clock.Now()
	if err := o.journal.Append(ctx, b.entry); err != nil {
		return batchAck{batch: b, err: err}
	}
	o.confirmed.Store(requestedAt.UnixNano())
	if b.snapshot == nil {
		return batchAck{batch: b, durable: true}
	}
	return batchAck{batch: b, durable: true, err: o.journal.WriteSnapshot(ctx, b.snapshot)}
}

// ownershipEndError returns the reply to the commands of a batch that was in flight when the
// ownership ended with err.
func (o *Owner) ownershipEndError(err error) *verdict.Error {
	var deposed *journal.DeposedError
	if errors.As(err, &deposed) && deposed.NotWritten {
		return errNotOwner(o.cfg.Partition)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonStoreUnavailable,
		"partition %d stopped before the outcome of its last write was known: %v", o.cfg.Partition, err)
}
