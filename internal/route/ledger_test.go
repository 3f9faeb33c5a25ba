package route

import (
	"context"
	"sync"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/ledger"
	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/verdict"
)

// ledgerClaims implements Claims with a real ledger and the injected faults of fakeClaims.
type ledgerClaims struct {
	fakeClaims
	ledgerMu sync.Mutex
	ledger   *ledger.Ledger
}

func newLedgerClaims() *ledgerClaims {
	l := ledger.New(0)
	l.TakeOwnership(time.Now(), "owner", 1)
	return &ledgerClaims{ledger: l}
}

func (c *ledgerClaims) Claim(_ context.Context, r ledger.ClaimRequest) (ledger.Claim, error) {
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	if c.claimFault != nil {
		return ledger.Claim{}, c.claimFault
	}
	claim, err := c.ledger.Claim(time.Now(), r)
	c.ledger.Take()
	if err == nil && c.loseResponse {
		return ledger.Claim{}, errResponseLost
	}
	return claim, err
}

func (c *ledgerClaims) Settle(_ context.Context, key model.RequestKey, holder model.InstanceID, v verdict.Verdict) error {
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	err := c.ledger.Settle(time.Now(), key, holder, v)
	c.ledger.Take()
	return err
}
