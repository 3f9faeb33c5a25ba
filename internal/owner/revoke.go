package owner

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// The claim of an owner that has ended expires with its lease. An instance that knows that the
// owner's process has ended removes the claim earlier, so that the next campaign can begin. This
// is safe even if the process is still running: the epoch of the next owner fences it off.

// revokeClaimTimeout bounds all store calls that remove a claim together.
const revokeClaimTimeout = time.Second

// revokeFormerClaim removes the claim if it belongs to an earlier process of this instance.
func (o *Owner) revokeFormerClaim(c Claim) {
	if c.Instance == o.opts.Instance && c.Incarnation != o.incarnation {
		go o.RevokeClaim(c, "its process has been replaced by this one")
	}
}

// RevokeClaim removes a claim whose owner is known to have ended, so that another instance can
// campaign at once.
func (o *Owner) RevokeClaim(c Claim, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeClaimTimeout)
	defer cancel()
	err := o.removeClaim(ctx, c)
	o.log.Info().Str("event", "owner.deposed").Str("owner", c.Instance).Int64("epoch", c.Epoch).Str("why", reason).AnErr("failed", err).Send()
}

var errClaimChanged = errors.New("the claim has changed")

// removeClaim removes the claim if it still has the epoch of the given one.
func (o *Owner) removeClaim(ctx context.Context, c Claim) error {
	item, err := o.store.Get(ctx, claimKey)
	if err != nil {
		return err
	}
	current, err := decodeClaim(item.Value)
	if err != nil {
		return err
	}
	if current.Epoch != c.Epoch {
		return errClaimChanged
	}
	_, err = o.store.Commit(ctx, kv.Txn{If: []kv.Condition{{Key: claimKey, Rev: item.Rev}}, Remove: []string{claimKey}})
	return err
}
