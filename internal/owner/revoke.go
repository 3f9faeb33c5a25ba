package owner

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// The claim of an owner that has ended expires with its lease. An instance that knows that the
// owner's process has ended removes the claim earlier, so that the next campaign can begin. This
// is safe even if the process is still running: the epoch of the next owner fences it off, and that owner
// allows for what the process may still do where it is not fenced off.

// revokeClaimTimeout bounds all store calls that remove a claim together.
const revokeClaimTimeout = time.Second

// revokeFormerClaim removes the claim if it belongs to an earlier process of this instance.
func (o *Owner) revokeFormerClaim(c Claim) {
	if c.Instance == o.opts.Instance && c.Address == o.opts.Address && c.Incarnation != o.incarnation {
		go o.revokeClaim(c, true, "its process has been replaced by this one")
	}
}

// RevokeClaim removes a claim whose owner seems to have ended, so that another instance can campaign at once.
func (o *Owner) RevokeClaim(c Claim, reason string) { o.revokeClaim(c, false, reason) }

// revokeClaim removes a claim. ended says that the owner's process has certainly ended, which a port that refuses
// calls does not prove.
func (o *Owner) revokeClaim(c Claim, ended bool, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeClaimTimeout)
	defer cancel()
	err := o.removeClaim(ctx, c.Epoch, ended)
	o.log.Info().Str("event", "owner.deposed").Str("owner", c.Instance).Int64("epoch", c.Epoch).Str("why", reason).AnErr("failed", err).Send()
}

var errClaimChanged = errors.New("the claim has changed")

// removeClaim removes the claim if it still has the epoch, and stores that its owner has ended if that is certain.
func (o *Owner) removeClaim(ctx context.Context, epoch int64, ended bool) error {
	item, err := o.store.Get(ctx, claimKey)
	if err != nil {
		return err
	}
	current, err := decodeClaim(item.Value)
	if err != nil {
		return err
	}
	if current.Epoch != epoch {
		return errClaimChanged
	}
	txn := kv.Txn{If: []kv.Condition{{Key: claimKey, Rev: item.Rev}}, Remove: []string{claimKey}}
	if ended {
		txn.Set = []kv.Write{{Key: endedClaimKey, Value: encode(epoch)}}
	}
	_, err = o.store.Commit(ctx, txn)
	return err
}
