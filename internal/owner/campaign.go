package owner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/geraniumwick/geraniumwick/internal/kv"
)

const (
	// campaignTimeout bounds all store calls of one campaign together.
	campaignTimeout = 4 * time.Second
	// campaignCallTimeout is how long the store may take to answer a call of a campaign until the call is made again, and
	// campaignRepeatInterval the time between two later tries.
	campaignCallTimeout    = 300 * time.Millisecond
	campaignRepeatInterval = 200 * time.Millisecond
)

// heldClaim is a claim that this instance has acquired.
type heldClaim struct {
	claim Claim
	// lease is the lease of the store that the claim is bound to.
	lease int64
	// commitRev is the revision of the claim and of the head.
	commitRev int64
	// granted is when its lease was requested, and acquired when it was known to be held.
	granted  moment
	acquired time.Time
	// formerSettled is set if no lease of an owner before the former one lasts any more, and formerEarlierLeases is
	// how long they may have lasted when the former one wrote its last transaction; 0 if that is not known.
	formerSettled       bool
	formerEarlierLeases time.Duration
}

// acquireClaim writes the claim with the next epoch, on condition that there is no claim and that
// the head is unchanged since it was read.
func (o *Owner) acquireClaim(ctx context.Context) (heldClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	head, err := repeatUntilAnswered(ctx, o.readHeadItem)
	if err != nil {
		return heldClaim{}, err
	}
	granted, err := repeatUntilAnswered(ctx, o.grantLease)
	if err != nil {
		return heldClaim{}, err
	}
	c := Claim{
		Epoch: head.Epoch + 1, Instance: o.opts.Instance, Address: o.opts.Address, Speed: o.opts.Speed, Incarnation: o.incarnation,
		Former: head.Owner, Earlier: head.earlierOwners(),
	}
	o.ended.Delete(c.Epoch) // an earlier campaign for the same epoch may have failed
	newHead := commitHead{Epoch: c.Epoch, Owner: o.process(), Earlier: c.formerOwners()}
	txn := kv.Txn{
		If:  []kv.Condition{{Key: claimKey}, {Key: headKey, Rev: head.rev}},
		Set: []kv.Write{{Key: claimKey, Value: encode(c), Lease: granted.lease}, {Key: headKey, Value: encode(newHead)}},
	}
	commitCtx, cancelCommit := context.WithDeadline(ctx, granted.requested.steady.Add(o.opts.LeaseTTL))
	defer cancelCommit()
	commitRev, err := repeatUntilAnswered(commitCtx, func(ctx context.Context) (int64, error) { return o.writeClaim(ctx, txn, granted.lease) })
	if err != nil {
		// The claim may have been written although the call failed. Revoking the lease removes it,
		// so that no claim remains that nobody leads under.
		o.ended.Store(c.Epoch, time.Now())
		go o.revokeLease(granted.lease)
		return heldClaim{}, err
	}
	return heldClaim{
		claim: c, lease: granted.lease, commitRev: commitRev, granted: granted.requested, acquired: time.Now(),
		formerSettled: head.Settled || head.Epoch <= 1, formerEarlierLeases: head.EarlierLeases,
	}, nil
}

// repeatUntilAnswered makes a call to the store, again and again while it fails for a reason that may be the loss of its answer. The
// call must do no harm if it is carried out several times.
func repeatUntilAnswered[T any](ctx context.Context, call func(ctx context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var outcome result
	calls := repetition[result]{
		try: func(ctx context.Context, _ int) result {
			ctx, cancel := context.WithTimeout(ctx, campaignCallTimeout)
			defer cancel()
			value, err := call(ctx)
			return result{value, err}
		},
		interval:  campaignRepeatInterval,
		mayRepeat: func() bool { return true },
	}
	_, decided := calls.run(ctx, func(r result, _ int) bool {
		outcome = r
		return r.err == nil || errors.Is(r.err, kv.ErrConflict)
	})
	if !decided && outcome.err == nil {
		outcome.err = errors.Trace(ctx.Err())
	}
	return outcome.value, outcome.err
}

// headItem is the head with its revision; both are zero if there is none.
type headItem struct {
	commitHead
	rev int64
}

func (o *Owner) readHeadItem(ctx context.Context) (headItem, error) {
	head, rev, err := o.readHead(ctx)
	return headItem{head, rev}, err
}

// grantedLease is a lease of the store, with the time of its request.
type grantedLease struct {
	lease     int64
	requested moment
}

// grantLease requests a lease for a claim. One that is granted without an answer ends by itself.
func (o *Owner) grantLease(ctx context.Context) (grantedLease, error) {
	requested := o.currentMoment()
	lease, err := o.store.Grant(ctx, o.opts.LeaseTTL)
	return grantedLease{lease, requested}, err
}

// writeClaim executes the transaction that writes a claim, and returns its revision. After a conflict it finds out whether an
// earlier try of the same transaction has written the claim.
func (o *Owner) writeClaim(ctx context.Context, txn kv.Txn, lease int64) (int64, error) {
	rev, err := o.store.Commit(ctx, txn)
	if !errors.Is(err, kv.ErrConflict) {
		return rev, err
	}
	item, getErr := o.store.Get(ctx, claimKey)
	switch {
	case errors.Is(getErr, kv.ErrNotFound):
		return 0, err
	case getErr != nil:
		return 0, getErr
	case item.Lease != lease:
		return 0, err
	default:
		return item.Rev, nil
	}
}
