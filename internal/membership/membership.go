// Package membership keeps the list of live instances. Each instance registers itself in
// the platform's store under a lease and reads the others from there. The list says which
// instance should own a partition; the journal of the partition says which one does.
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
	// DefaultTTL is the lease time of a member's entry.
	DefaultTTL = 3 * time.Second
	// DefaultListInterval is the time between two reads of the whole list. The reads find
	// changes that a watch, which ended silently, did not deliver.
	DefaultListInterval = 2 * time.Second

	// renewalsPerTTL is the number of renewals within one lease time.
	renewalsPerTTL = 3
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
	// retryDelay is the pause after a failed call of the store.
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

// Config is what a Membership needs.
type Config struct {
	Store platform.Store
	// Self is the entry of this instance.
	Self Member
	// Clock defaults to the machine's clock.
	Clock platform.Clock
	// TTL defaults to DefaultTTL.
	TTL time.Duration
	// ListInterval defaults to DefaultListInterval.
	ListInterval time.Duration
	Log          zerolog.Logger
}

// Membership registers this instance and follows the others.
type Membership struct {
	store        platform.Store
	clock        platform.Clock
	ttl          time.Duration
	listInterval time.Duration
	log          zerolog.Logger

	changed chan struct{}
	// announced wakes the registration after a change of the own entry.
	announced chan struct{}

	mu          sync.Mutex
	self        Member
	members     []Member
	lastContact time.Time
	// settleUntil is the time until which members that vanished from the list are kept.
	settleUntil time.Time
}

// New returns a Membership that knows no members until Run has read the list.
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
		announced:    make(chan struct{}, 1),
		self:         c.Self,
	}
}

// Run registers this instance and follows the list until ctx ends. It then revokes the
// lease, so that the others need not wait for it to lapse.
func (m *Membership) Run(ctx context.Context) error {
	var duties sync.WaitGroup
	duties.Go(func() { m.follow(ctx) })
	m.register(ctx)
	duties.Wait()
	return nil
}

// Members returns the known members, ordered by id. During a store outage it is the last
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

// Changed returns a channel that receives a hint after the list changed. Several changes
// may give one hint.
func (m *Membership) Changed() <-chan struct{} { return m.changed }

// Announce changes the own entry. The change is in force locally at once and is written to
// the store as soon as it answers.
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
	notify(m.announced)
	notify(m.changed)
}

// LastContact returns the time of the last answer of the store.
func (m *Membership) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}

// contacted notes an answer of the store. After an outage that is longer than a lease, all
// members have lost their entries and write them again. Until they had the time of one
// lease for it, an absent entry does not mean that the member is gone.
func (m *Membership) contacted() {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lastContact.IsZero() && now.Sub(m.lastContact) > m.ttl {
		m.settleUntil = now.Add(m.ttl)
	}
	m.lastContact = now
}

// isSettling reports whether absent members are kept for the time being.
func (m *Membership) isSettling() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Now().Before(m.settleUntil)
}

// own returns the own entry.
func (m *Membership) own() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// notify sends a hint unless one is already waiting.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
