// Package membership maintains the list of live instances. Each instance registers itself in
// the platform's store under a lease and reads the other instances from there. The list
// determines which instance should own a partition; the journal of the partition records which
// one does.
package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/model"
	"github.com/geraniumwick/geraniumwick/internal/platform"
)

// KeyPrefix is the prefix of the store keys of members; the instance id follows it.
const KeyPrefix = "member/"

const (
	// DefaultTTL is the TTL of the lease of a member's entry.
	DefaultTTL = 3 * time.Second
	// DefaultListInterval is the time between two reads of the whole list. The reads find
	// changes that a watch did not deliver although it reported no error.
	DefaultListInterval = 2 * time.Second

	// renewalsPerTTL is the number of lease renewals within one TTL.
	renewalsPerTTL = 3
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// retryDelay is the time between a failed call to the store and the next attempt.
	retryDelay = 200 * time.Millisecond
)

// Member is one live instance.
type Member struct {
	ID             model.InstanceID `json:"id"`
	PeerAddr       string           `json:"peerAddr"`
	OperatorAddr   string           `json:"operatorAddr"`
	DataCentre     model.DataCentre `json:"dataCentre"`
	Draining       bool             `json:"draining,omitempty"`
	ConfigRevision model.Revision   `json:"configRevision"`
	Started        time.Time        `json:"started"`
}

// Config configures a Membership.
type Config struct {
	Store platform.Store
	// Self is the entry of this instance.
	Self Member
	// Clock defaults to the system clock.
	Clock platform.Clock
	// TTL defaults to DefaultTTL.
	TTL time.Duration
	// ListInterval defaults to DefaultListInterval.
	ListInterval time.Duration
	Log          zerolog.Logger
}

// Membership registers this instance and watches the list of all instances.
type Membership struct {
	store        platform.Store
	clock        platform.Clock
	ttl          time.Duration
	listInterval time.Duration
	log          zerolog.Logger

	changed chan struct{}
	// selfChanged wakes register after a change of self.
	selfChanged chan struct{}

	mu          sync.Mutex
	self        Member
	members     []Member
	lastContact time.Time
	// graceUntil is the end of the grace period, in which members that are missing from the
	// list in the store are kept.
	graceUntil time.Time
}

// New returns a Membership without members. Run reads the list.
func New(c Config) *Membership {
	if c.Clock == nil {
		c.Clock = platform.SystemClock{}
	}
	if c.TTL <= 0 {
		c.TTL = DefaultTTL
	}
	if c.ListInterval <= 0 {
		c.ListInterval = DefaultListInterval
	}
	return &Membership{
		store:        c.Store,
		clock:        c.Clock,
		ttl:          c.TTL,
		listInterval: c.ListInterval,
		log:          c.Log,
		changed:      make(chan struct{}, 1),
		selfChanged:  make(chan struct{}, 1),
		self:         c.Self,
	}
}

// Run registers this instance and watches the list until ctx ends. It then revokes the lease,
// so that the other instances need not wait until it lapses.
func (m *Membership) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.watchMembers(ctx) })
	m.register(ctx)
	wg.Wait()
	return nil
}

// Members returns the known members, ordered by ID. During a store outage it returns the last
// list read. This instance is absent while its entry is not in the store.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := slices.Clone(m.members)
	for i := range members {
		if members[i].ID == m.self.ID {
			members[i] = m.self
		}
	}
	return members
}

// Changed returns a channel that receives a value after the list changed. Several changes may
// be combined into one value.
func (m *Membership) Changed() <-chan struct{} { return m.changed }

// Announce changes the entry of this instance. Members shows the change at once; it is written
// to the store as soon as the store responds.
func (m *Membership) Announce(change func(*Member)) {
	m.mu.Lock()
	before := m.self
	change(&m.self)
	m.self.ID = before.ID
	same := m.self == before
	m.mu.Unlock()
	if same {
		return
	}
	notify(m.selfChanged)
	notify(m.changed)
}

// LastContact returns the time of the last response of the store.
func (m *Membership) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}

// recordContact records a response of the store. During an outage that is longer than the TTL
// all leases lapse, and the members have to write their entries again. They get a grace period
// of one TTL for this, in which a missing entry does not mean that the member has ended.
func (m *Membership) recordContact() {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lastContact.IsZero() && now.Sub(m.lastContact) > m.ttl {
		m.graceUntil = now.Add(m.ttl)
	}
	m.lastContact = now
}

// inGracePeriod reports whether the grace period after an outage lasts.
func (m *Membership) inGracePeriod() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Before(m.graceUntil)
}

// selfEntry returns the entry of this instance.
func (m *Membership) selfEntry() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// notify sends a value unless the buffer of c is full, which means that one is pending.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
