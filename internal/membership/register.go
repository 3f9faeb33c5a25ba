package membership

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// registration is the known state of this instance's entry in the store.
type registration struct {
	lease platform.LeaseID
	// written is the entry that the store holds under the lease. It is empty before the first
	// write and after a failed one.
	written Member
	// revision is the ModRevision of the entry, or 0 if there is no entry.
	revision int64
}

// register keeps the entry of this instance in the store until ctx ends.
func (m *Membership) register(ctx context.Context) {
	var r registration
	interval := m.ttl / renewalsPerTTL
	for ctx.Err() == nil {
		err := m.refresh(ctx, &r)
		if err == nil {
			m.waitForRefresh(ctx, interval)
			continue
		}
		if ctx.Err() != nil {
			break
		}
		m.log.Warn().Err(err).Msg("cannot refresh the membership entry")
		pause.For(ctx, min(retryDelay, interval))
	}
	m.deregister(ctx, r)
}

// waitForRefresh waits until the next renewal is due, the entry of this instance changes or
// ctx ends.
func (m *Membership) waitForRefresh(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.selfChanged:
	case <-timer.C:
	}
}

// refresh renews the lease and writes the entry of this instance if the store does not hold
// its current version.
func (m *Membership) refresh(ctx context.Context, r *registration) error {
	if err := m.refreshLease(ctx, r); err != nil {
		return err
	}
	self := m.selfEntry()
	if r.written == self {
		return nil
	}
	return m.writeEntry(ctx, r, self)
}

// refreshLease renews the lease, or requests a new one if there is none or it lapsed.
func (m *Membership) refreshLease(ctx context.Context, r *registration) error {
	if r.lease != 0 {
		err := m.callStore(ctx, func(ctx context.Context) error { return m.store.Renew(ctx, r.lease) })
		if err == nil {
			return nil
		}
		var storeErr *platform.StoreError
		if !errors.As(err, &storeErr) || !storeErr.Lapsed {
			return err
		}
		m.log.Warn().Msg("membership lease lapsed; registering again")
	}
	*r = registration{}
	return m.callStore(ctx, func(ctx context.Context) (err error) {
		r.lease, err = m.store.Grant(ctx, m.ttl)
		return err
	})
}

// writeEntry stores the entry of this instance. If the compare-and-swap is refused because the
// store holds another revision, it is repeated once with that revision. The entry there may be
// one that an earlier call wrote and whose response was lost.
func (m *Membership) writeEntry(ctx context.Context, r *registration, self Member) error {
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	for range 2 {
		var result platform.CompareAndSwapResult
		err = m.callStore(ctx, func(ctx context.Context) (err error) {
			result, err = m.store.CompareAndSwap(ctx, KeyPrefix+string(self.ID), r.revision, value, r.lease)
			return err
		})
		if err != nil {
			r.written = Member{}
			return err
		}
		if result.Applied {
			r.written, r.revision = self, result.Revision
			return nil
		}
		r.revision = result.Current.ModRevision
	}
	r.written = Member{}
	return errors.New("the entry of this instance was changed by another writer")
}

// deregister revokes the lease, which deletes the entry at once.
func (m *Membership) deregister(ctx context.Context, r registration) {
	if r.lease == 0 {
		return
	}
	err := m.callStore(context.WithoutCancel(ctx), func(ctx context.Context) error {
		return m.store.Revoke(ctx, r.lease)
	})
	if err != nil {
		m.log.Warn().Err(err).Msg("cannot revoke the membership lease; it will lapse")
	}
}

// callStore makes one call to the store, bounded by callTimeout. It records the contact if the
// store responded, which includes the response that the lease has lapsed.
func (m *Membership) callStore(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := f(ctx)
	var storeErr *platform.StoreError
	if err == nil || (errors.As(err, &storeErr) && storeErr.Lapsed) {
		m.recordContact()
	}
	return err
}
