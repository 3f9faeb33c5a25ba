package owner

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

const (
	// minTombstoneLife is how long a tombstone is kept at least. A submission that was on its way when its job was cancelled has been
	// carried out by then, also by an instance that stood still with it for half of that time.
	minTombstoneLife = time.Minute
	// tombstoneSweepInterval is the time between two looks at all tombstones.
	tombstoneSweepInterval = 30 * time.Second
	// MaxTombstoneLife is how long a tombstone is kept at most, unless the owner changes meanwhile.
	MaxTombstoneLife = minTombstoneLife + 2*tombstoneSweepInterval
	// tombstonesPerTxn is the number of tombstones that a transaction removes, each with a condition.
	tombstonesPerTxn = kv.MaxTxnEntries / 2
)

// tombstoneSweeper removes tombstones that are older than minTombstoneLife.
type tombstoneSweeper struct {
	// seen are the tombstones of the last look, with their revisions.
	seen map[string]seenTombstone
}

// seenTombstone is a tombstone with the time at which it was first seen at its revision.
type seenTombstone struct {
	rev   int64
	since time.Time
}

// expired returns the tombstones of a listing that have been seen for minTombstoneLife. One that was written again since counts as new.
func (s *tombstoneSweeper) expired(items []kv.Item, now time.Time) []kv.Item {
	seen := make(map[string]seenTombstone, len(items))
	var expired []kv.Item
	for _, item := range items {
		t := s.seen[item.Key]
		if t.rev != item.Rev {
			t = seenTombstone{rev: item.Rev, since: now}
		}
		seen[item.Key] = t
		if now.Sub(t.since) >= minTombstoneLife {
			expired = append(expired, item)
		}
	}
	s.seen = seen
	return expired
}

// sweepTombstones removes old tombstones until ctx ends. A former owner that still does so harms nothing: their age does not depend on
// who owns the jobs.
func (l *leader) sweepTombstones(ctx context.Context) {
	var sweeper tombstoneSweeper
	for {
		pause.For(ctx, tombstoneSweepInterval)
		if ctx.Err() != nil {
			return
		}
		items, _, err := l.owner.store.List(ctx, tombstonePrefix)
		if err == nil {
			err = l.removeTombstones(ctx, sweeper.expired(items, time.Now()))
		}
		if err != nil {
			l.log.Warn().Str("event", "tombstones.failed").Err(err).Send()
		}
	}
}

// removeTombstones removes tombstones unless they have been written again. What fails is done with the next look.
func (l *leader) removeTombstones(ctx context.Context, tombstones []kv.Item) error {
	for len(tombstones) > 0 {
		n := min(len(tombstones), tombstonesPerTxn)
		var txn kv.Txn
		for _, t := range tombstones[:n] {
			txn.If = append(txn.If, kv.Condition{Key: t.Key, Rev: t.Rev})
			txn.Remove = append(txn.Remove, t.Key)
		}
		tombstones = tombstones[n:]
		if _, err := l.owner.store.Commit(ctx, txn); err != nil && !errors.Is(err, kv.ErrConflict) {
			return err
		}
	}
	return nil
}
