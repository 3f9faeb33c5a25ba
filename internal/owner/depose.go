package owner

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// A claim lapses some time after its owner has gone. Whoever knows for sure that the process
// is gone removes the claim at once. A mistake would only change the owner: the next one's
// epoch fences the former.

// deposeTimeout bounds the calls that remove a claim.
const deposeTimeout = time.Second

// notice removes the claim of a former process of this instance.
func (o *Owner) notice(c Claim) {
	if c.Instance == o.opts.Instance && c.Incarnation != o.life {
		go o.RevokeClaim(c, "its process has been replaced by this one")
	}
}

// RevokeClaim removes a claim whose owner is known to be gone, so that another campaigns at once.
func (o *Owner) RevokeClaim(c Claim, why string) {
	ctx, cancel := context.WithTimeout(context.Background(), deposeTimeout)
	defer cancel()
	err := o.removeClaim(ctx, c)
	o.log.Info().Str("event", "owner.deposed").Str("owner", c.Instance).Int64("epoch", c.Epoch).Str("why", why).AnErr("failed", err).Send()
}

var errClaimChanged = errors.New("the claim has changed")

// removeClaim removes the claim if it still is the given one.
func (o *Owner) removeClaim(ctx context.Context, c Claim) error {
	item, err := o.store.Get(ctx, claimKey)
	if err != nil {
		return err
	}
	now, err := decodeClaim(item.Value)
	if err != nil {
		return err
	}
	if now.Epoch != c.Epoch {
		return errClaimChanged
	}
	_, err = o.store.Commit(ctx, kv.Txn{If: []kv.Condition{{Key: claimKey, Rev: item.Rev}}, Remove: []string{claimKey}})
	return err
}
