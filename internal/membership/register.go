package membership

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/geraniumwick/geraniumwick/internal/pause"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// registration is what is known of the own entry in the store.
type registration struct {
	lease platform.LeaseID
	// written is the entry that the store holds under the lease; it is empty before the
	// first write and after a failed one.
	written Member
	// revision is the ModRevision of the entry, or 0 if it is absent.
	revision int64
}

// register keeps the own entry in the store until ctx ends.
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
		m.log.Warn().Err(err).Msg("membership entry not refreshed")
		pause.For(ctx, min(retryDelay, interval))
	}
	m.leave(ctx, r)
}

// waitForRefresh waits until the next renewal is due or the own entry changed.
func (m *Membership) waitForRefresh(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.announced:
	case <-timer.C:
	}
}

// refresh renews the lease and writes the own entry if the store does not hold it.
func (m *Membership) refresh(ctx context.Context, r *registration) error {
	if err := m.refreshLease(ctx, r); err != nil {
		return err
	}
	self := m.own()
	if r.written == self {
		return nil
	}
	return m.write(ctx, r, self)
}

// refreshLease renews the lease, or takes a new one if there is none or it lapsed.
func (m *Membership) refreshLease(ctx context.Context, r *registration) error {
	if r.lease != 0 {
		err := m.call(ctx, func(ctx context.Context) error { return m.store.Renew(ctx, r.lease) })
		if err == nil {
			return nil
		}
		var se *platform.StoreError
		if !errors.As(err, &se) || !se.Lapsed {
			return err
		}
		m.log.Warn().Msg("membership lease lapsed, registering again")
	}
	*r = registration{}
	return m.call(ctx, func(ctx context.Context) (err error) {
		r.lease, err = m.store.Grant(ctx, m.ttl)
		return err
	})
}

// write stores the own entry. A refused write shows the revision of what the store holds,
// such as the entry that a call wrote whose answer was lost; it is replaced.
func (m *Membership) write(ctx context.Context, r *registration, self Member) error {
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	for range 2 {
		var result platform.CompareAndSwapResult
		err = m.call(ctx, func(ctx context.Context) (err error) {
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
	return errors.New("another writer changes the entry of this instance")
}

// leave revokes the lease, so that the entry disappears at once.
func (m *Membership) leave(ctx context.Context, r registration) {
	if r.lease == 0 {
		return
	}
	err := m.call(context.WithoutCancel(ctx), func(ctx context.Context) error {
		return m.store.Revoke(ctx, r.lease)
	})
	if err != nil {
		m.log.Warn().Err(err).Msg("membership lease not revoked, it will lapse")
	}
}

// call runs one call of the store with a timeout and notes the contact.
func (m *Membership) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := f(ctx)
	var se *platform.StoreError
	if err == nil || (errors.As(err, &se) && se.Lapsed) {
		m.contacted()
	}
	return err
}
