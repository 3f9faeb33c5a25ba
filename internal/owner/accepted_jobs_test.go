package owner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/geraniumwick/geraniumwick/internal/batch"
	"github.com/geraniumwick/geraniumwick/internal/kv"
	"github.com/geraniumwick/geraniumwick/internal/pause"
)

// pagedStore lists a key at a time, so that a listing is no snapshot: it has the revision of its first page, and jobs
// are written between its pages. Some watches break off.
type pagedStore struct {
	*memoryStore
	random *rand.Rand
}

func (s pagedStore) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	keys, rev, err := s.memoryStore.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	var items []kv.Item
	for _, listed := range keys {
		pause.For(ctx, 20*time.Millisecond)
		item, err := s.Get(ctx, listed.Key)
		if errors.Is(err, kv.ErrNotFound) {
			continue // it was removed meanwhile
		}
		if err != nil {
			return nil, 0, err
		}
		items = append(items, item)
	}
	return items, rev, nil
}

func (s pagedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	s.mu.Lock()
	broken := s.random.IntN(6) == 0
	s.mu.Unlock()
	if broken {
		return nil, 0, kv.ErrCompacted
	}
	return s.memoryStore.Watch(ctx, prefix, after, wait)
}

// Guards against an accepted job that no owner learns of: it is written while one loads, between the pages of a listing,
// during an outage or as a watch breaks off, and no instance tells the owner.
func TestEachAcceptedJobIsFound(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				random := rand.New(rand.NewPCG(seed, 0))
				store := pagedStore{h.store, rand.New(rand.NewPCG(seed, 1))}
				h.workers.taskDuration = 100 * time.Millisecond
				start := func(name string) {
					ctx, cancel := context.WithCancel(h.ctx)
					o := New(Options{Instance: name, BootClock: h.bootClock, Address: name, LeaseTTL: 1200 * time.Millisecond, MaxWorkerLease: 6 * time.Second, JobRetention: time.Hour, ReportEnd: h.reportEnd},
						store, h.workers, fakeRegistry{}, testConfig, zerolog.New(&h.log))
					h.stops[name] = cancel
					h.setOwner(name, o)
					go o.Run(ctx)
				}
				start("a")
				start("b")
				const jobs = 60
				for i := range jobs {
					h.sleep(time.Duration(random.IntN(200)) * time.Millisecond)
					h.submit(fmt.Sprint("j", random.IntN(1000), "-", i), tasks(1))
					switch random.IntN(12) {
					case 0:
						if l := h.leader(); l != "" {
							h.kill(l)
							start(l)
						}
					case 1:
						h.store.setDown(true)
					default:
						h.store.setDown(false)
					}
				}
				h.store.setDown(false)
				h.sleep(14 * time.Second)
				h.requireAllDone(jobs)
			}, "w1", "w2", "w3")
		})
	}
}

// requireAllDone checks that all jobs in the store have been done, and that there are as many.
func (h *harness) requireAllDone(jobs int) {
	h.store.mu.Lock()
	var ids []string
	for key := range h.store.items {
		if prefix, id := parseKey(key); prefix == jobPrefix {
			ids = append(ids, id)
		}
	}
	h.store.mu.Unlock()
	h.is.Equal(len(ids), jobs)
	for _, id := range ids {
		if status := h.storedStatus(id); status != batch.Completed {
			h.t.Errorf("job %s is %s", id, status)
		}
	}
}
