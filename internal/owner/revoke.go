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
	if c.Instance == o.opts.Instance && c.Incarnation != o.incarnation {
		go o.revokeClaim(c, claimRemoval{Epoch: c.Epoch, Ended: true}, "its process has been replaced by this one")
	}
}

// claimRemoval is the value of claimRemovedKey.
type claimRemoval struct {
	Epoch int64 `cbor:"1,keyasint"`
	// Ended is set if the owner's process has certainly ended. A port that refuses calls does not prove it.
	Ended bool `cbor:"2,keyasint,omitempty"`
}

// RevokeClaim removes a claim whose owner seems to have ended, so that another instance can campaign at once.
func (o *Owner) RevokeClaim(c Claim, reason string) {
	o.revokeClaim(c, claimRemoval{Epoch: c.Epoch}, reason)
}

func (o *Owner) revokeClaim(c Claim, removal claimRemoval, reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), revokeClaimTimeout)
	defer cancel()
	err := o.removeClaim(ctx, removal)
	o.log.Info().Str("event", "owner.deposed").Str("owner", c.Instance).Int64("epoch", c.Epoch).Str("why", reason).AnErr("failed", err).Send()
}

var errClaimChanged = errors.New("the claim has changed")

// removeClaim removes the claim if it still has the epoch of the removal, and stores the removal.
func (o *Owner) removeClaim(ctx context.Context, removal claimRemoval) error {
	item, err := o.store.Get(ctx, claimKey)
	if err != nil {
		return err
	}
	current, err := decodeClaim(item.Value)
	if err != nil {
		return err
	}
	if current.Epoch != removal.Epoch {
		return errClaimChanged
	}
	_, err = o.store.Commit(ctx, kv.Txn{
		If:     []kv.Condition{{Key: claimKey, Rev: item.Rev}},
		Set:    []kv.Write{{Key: claimRemovedKey, Value: encode(removal)}},
		Remove: []string{claimKey},
	})
	return err
}
