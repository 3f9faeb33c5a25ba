package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/kv"
)

// lossyStore carries out all calls, but answers only some of them.
type lossyStore struct {
	*memoryStore
	mu     sync.Mutex
	random *rand.Rand
	share  float64 // of the calls that get no answer, but for watches
	// renewalsToLose is the number of coming renewals of a lease that get no answer.
	renewalsToLose int
}

func (s *lossyStore) setShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.share = share
}

func (s *lossyStore) loseRenewals(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewalsToLose = n
}

// answer waits for the end of ctx if the answer is lost.
func (s *lossyStore) answer(ctx context.Context, err error) error {
	s.mu.Lock()
	lost := s.random.Float64() < s.share
	s.mu.Unlock()
	if !lost {
		return err
	}
	return silence(ctx)
}

// maxSilence is how long package platform waits for an answer.
const maxSilence = 2 * time.Second

// silence waits as long as package platform does for an answer that is lost.
func silence(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxSilence)
	defer cancel()
	<-ctx.Done()
	return errAnswerLost
}

func (s *lossyStore) Get(ctx context.Context, key string) (kv.Item, error) {
	item, err := s.memoryStore.Get(ctx, key)
	return item, s.answer(ctx, err)
}

func (s *lossyStore) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	items, rev, err := s.memoryStore.List(ctx, prefix)
	return items, rev, s.answer(ctx, err)
}

func (s *lossyStore) Commit(ctx context.Context, t kv.Txn) (int64, error) {
	rev, err := s.memoryStore.Commit(ctx, t)
	return rev, s.answer(ctx, err)
}

func (s *lossyStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	lease, err := s.memoryStore.Grant(ctx, ttl)
	return lease, s.answer(ctx, err)
}

func (s *lossyStore) Renew(ctx context.Context, lease int64) error {
	err := s.memoryStore.Renew(ctx, lease)
	s.mu.Lock()
	lost := s.renewalsToLose > 0
	if lost {
		s.renewalsToLose--
	}
	s.mu.Unlock()
	if lost {
		return silence(ctx)
	}
	return s.answer(ctx, err)
}

// withLossyStore runs a test with an owner whose store answers all calls until the test says otherwise.
func withLossyStore(t *testing.T, seed uint64, test func(h *harness, s *lossyStore, o *Owner)) {
	withHarness(t, func(h *harness) {
		s := &lossyStore{memoryStore: h.store, random: rand.New(rand.NewPCG(seed, 42))}
		o := New(Options{Instance: "a", BootClock: h.bootClock, Address: "a", LeaseTTL: testLeaseTTL, MaxWorkerLease: 6 * time.Second, JobRetention: 20 * time.Second},
			s, h.workers, fakeRegistry{}, testConfig, zerolog.New(&h.log))
		go o.Run(h.ctx)
		h.sleep(3 * time.Second)
		test(h, s, o)
		s.setShare(0)
	}, "w0", "w1")
}

// Guards against a claim that ends since one answer to its renewals is lost (issue 42): the renewal was carried out, but
// the next one was sent only after the whole life of the claim.
func TestAClaimOutlastsALostAnswerToItsRenewal(t *testing.T) {
	withLossyStore(t, 0, func(h *harness, s *lossyStore, o *Owner) {
		epoch := o.Claim().Epoch
		for range 5 {
			s.loseRenewals(1)
			h.sleep(4 * time.Second)
		}
		h.is.Equal(o.Claim().Epoch, epoch)
	})
}
